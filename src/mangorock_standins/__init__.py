"""Simulated backend servers and platform; the daemon never imports them."""
