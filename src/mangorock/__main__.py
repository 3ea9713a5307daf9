"""Entry point of the command ``mangorock`` and of ``python -m mangorock``."""

import importlib

from mangorock import signals


def run():
    """Run the daemon.

    The signal handlers are installed before the daemon's modules are
    imported, which takes long.
    """
    received = signals.install()
    importlib.import_module('mangorock.daemon').run(received)


if __name__ == '__main__':
    run()
