"""Small stand-ins for what mangorock meets; the daemon never imports them."""
