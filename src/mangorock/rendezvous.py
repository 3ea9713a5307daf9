"""Rendezvous hashing: all VMs find the same server for a key.

Example::

    max(servers, key=lambda server: weight('document-1', server))
"""

import hashlib


def weight(key, server):
    """Return the rendezvous hash of a server for ``key``."""
    text = f'{key}/{server.server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
