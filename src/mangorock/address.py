"""Addresses of the form ``IP:port``.

Example::

    parse('10.0.0.1:8080')     # ('10.0.0.1', 8080)
"""

import ipaddress
import re

MAX_PORT = 65535
# Digits of other scripts are not part of a port.
_PORT = re.compile(r'[0-9]{1,5}')


def parse(text):
    """Return the host and the port of an IPv4 address.

    Raises `ValueError` for anything that no connection can be opened to.
    """
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port):
        raise ValueError('the port is not a number')
    return host, check_port(int(port))


def check_port(port):
    """Return a port; raise `ValueError` if it is none."""
    if type(port) is not int or not 1 <= port <= MAX_PORT:
        raise ValueError(f'the port is not from 1 to {MAX_PORT}')
    return port
