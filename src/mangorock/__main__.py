"""Lets ``python -m mangorock`` run the daemon."""

from mangorock import daemon

daemon.run()
