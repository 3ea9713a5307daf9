"""Finds free loopback ports for stand-ins, tests and the demo.

A port that is free when it is drawn may be drawn by another process before a
server listens on it.  Each port is therefore reserved machine-wide under a
name that only one socket can have, and that ends with its process.
"""

import collections
import random
import socket

# Below the range from which the system takes the ports of outgoing
# connections, which would come and go between the check and the use.
FIRST_PORT = 10000
LAST_PORT = 32000
# Reservations that a process keeps; the servers of earlier ones listen, or
# have ended.
MAX_RESERVED = 500

_rng = random.SystemRandom()
_reserved = collections.deque()


def free_port():
    """Return a port of 127.0.0.1 that nothing uses and nobody else draws."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        reservation = _reserve(port)
        if reservation is None:
            continue
        if _is_free(port):
            _keep(reservation)
            return port
        reservation.close()


def _reserve(port):
    """Return the socket that reserves a port, None if another one does."""
    reservation = socket.socket(socket.AF_UNIX)
    try:
        # A name that begins with a null byte is no file.
        reservation.bind(f'\0mangorock-port-{port}')
    except OSError:
        reservation.close()
        return None
    return reservation


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            # A server listens on it.
            return False
    return True


def _keep(reservation):
    _reserved.append(reservation)
    if len(_reserved) > MAX_RESERVED:
        _reserved.popleft().close()
