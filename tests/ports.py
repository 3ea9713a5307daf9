"""Finds free ports for stand-ins and tests."""

import socket


def free_port():
    """Return a loopback port that no socket is bound to at the moment."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]
