"""Options and the state of sockets."""

import socket

# TCP keep-alive probes detect a dead connection within three seconds.
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2
# Receive and send buffer of each connection, which the kernel doubles.  By
# default it grows to megabytes where nobody reads, and counts as memory of
# the machine.
BUFFER_BYTES = 65536


def is_connection_idle(sock):
    """Return whether a connection is open and has no unread bytes."""
    try:
        # The underlying socket is non-blocking; curio's ``recv`` would wait.
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def set_socket_options(sock, send_timeout_s=None):
    """Disable Nagle's algorithm and detect dead connections.

    Keep-alive and the write timeout are set only with ``send_timeout_s``.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    if send_timeout_s is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES)
    timeout_ms = int(send_timeout_s * 1000)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_ms)


def limit_buffers(sock):
    """Limit what the kernel holds for a socket; before it connects.

    Accepted connections have the limits of the listening socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
