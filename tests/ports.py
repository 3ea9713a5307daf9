"""Free ports for stand-ins."""

import socket


def free_port():
    """Return a loopback port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]
