"""Entry point of ``python -m mangorock``, which runs the daemon."""

from mangorock import daemon

daemon.run()
