"""Finds free ports for stand-ins and tests."""

import random
import socket

# Below the range from which the system takes the ports of outgoing
# connections, which would come and go between the check and the use.
FIRST_PORT = 10000
LAST_PORT = 32000

_rng = random.SystemRandom()


def free_port():
    """Return a loopback port that no socket is bound to at the moment."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                # In use; another one is tried.
                continue
        return port
