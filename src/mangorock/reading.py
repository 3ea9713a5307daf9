"""Reads whole requests from callers' connections within their limits."""

import random
import socket
import time

import attrs
import curio
import curio.errors
import h11

from mangorock import buffers
from mangorock import errors
from mangorock import exchange
from mangorock import logs
from mangorock import sockets
from mangorock import turns

# Memory that each header takes beside its text.
HEADER_BYTES = 200
# How long a caller with a large request waits at most while memory is short,
# and how often it looks for room.
MAX_WAIT_S = 1.0
WAIT_CHECK_S = 0.25
RETRY_AFTER_RANGE_S = (0.8, 1.6)


class ConnectionIdle(OSError):
    """A connection sent nothing for longer than the limits allow."""


@attrs.frozen
class RawRequest:
    """A complete request as received; header names are lower case."""

    method: str
    target: str
    headers: tuple
    body: bytes
    received_s: float


@attrs.define
class RequestReader:
    """Reads requests; one reader serves all connections.

    ``get_limits()`` returns the `catalog.CallerLimits` in force,
    ``shared_turns`` are the `turns.Turns` of the process.
    """

    get_limits: object
    shared_turns: turns.Turns

    async def read(self, connection):
        """Return the next `RawRequest`, None if the caller closed.

        The limits in force are read at each step, as the configuration may
        change while the connection is open.  Raises `errors.Overloaded` if
        the account of memory has no room for the request.
        """
        conn, head, body = connection.conn, None, connection.body
        turn = turns.Turn(self.shared_turns)
        while True:
            if turn.is_over:
                await turn.end()
            _check_not_cut(connection)
            event = conn.next_event()
            turn.count()
            match event:
                case h11.Request():
                    head = event
                    connection.head_bytes = size_of_head(head)
                    check_framing(head)
                    check_announced_size(
                        head, self.get_limits().max_body_bytes
                    )
                case h11.Data():
                    turn.add_credit(len(event.data))
                    body += event.data
                    check_body_size(body, self.get_limits().max_body_bytes)
                case h11.EndOfMessage():
                    request = _make_request(head, bytes(body))
                    connection.serve(len(body))
                    _check_not_cut(connection)
                    return request
                case h11.ConnectionClosed() | h11.PAUSED:
                    return None
                case h11.NEED_DATA:
                    await self._receive(connection, head)

    async def _receive(self, connection, head):
        sock, conn = connection.sock, connection.conn
        if conn.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await sock.sendall(conn.send(continue_response))
        rest_bytes = len(conn.trailing_data[0])
        has_started = head is not None or rest_bytes > 0
        connection.read(rest_bytes)
        since_s, is_expired = time.monotonic(), False
        while not is_expired:
            try:
                async with curio.timeout_after(
                    self._wait_limit_s(has_started) - _seconds_since(since_s)
                ):
                    # Takes no memory until there is room for it.
                    await sock.recv(1, socket.MSG_PEEK)
                await _wait_for_room(connection)
                data = await sock.recv(connection.next_read_bytes)
                break
            except curio.errors.TaskTimeout:
                # The limit may have become longer meanwhile.
                waited_s = _seconds_since(since_s)
                is_expired = waited_s >= self._wait_limit_s(has_started)
        else:
            data = await self._receive_last(sock, waited_s, has_started)
        connection.read(rest_bytes, len(data))
        _check_not_cut(connection)
        conn.receive_data(data)

    def _wait_limit_s(self, has_started):
        limits = self.get_limits()
        return limits.head_timeout_s if has_started else limits.idle_timeout_s

    @staticmethod
    async def _receive_last(sock, waited_s, has_started):
        """Return what has come on a connection whose time is over.

        Raises `ConnectionIdle` if nothing has.
        """
        is_unread = not sockets.is_connection_idle(sock)
        logs.event(
            'connection_expired',
            waited_s=waited_s,
            has_started=has_started,
            is_unread=is_unread,
        )
        if not is_unread:
            raise ConnectionIdle(f'no bytes came for {waited_s:.3f} s')
        return await sock.recv(exchange.READ_BYTES)


async def _wait_for_room(connection):
    """Read nothing more while the memory is needed by others.

    A caller that had to wait for `MAX_WAIT_S` is refused, so that its memory
    is free for others.
    """
    _check_not_cut(connection)
    await connection.account.wait_for_closing()
    began_s = time.monotonic()
    while connection.must_wait:
        if _seconds_since(began_s) >= MAX_WAIT_S:
            raise no_room()
        await curio.sleep(WAIT_CHECK_S)
    _check_not_cut(connection)


def _check_not_cut(connection):
    """Raise an error if a connection was cut off before it was served."""
    if connection.is_cut and connection.kind is buffers.Kind.CONNECTION:
        raise ConnectionIdle('the connection was idle, and others need room')
    if connection.is_cut:
        raise no_room()


def no_room():
    """Return the error for a request that this VM has no room for."""
    return errors.Overloaded(
        'this VM has no room to read the request; try again',
        retry_after_s=random.uniform(*RETRY_AFTER_RANGE_S),
    )


def size_of_head(head):
    """Return the memory that the head of a request takes, in bytes."""
    return sum(
        len(name) + len(value) + HEADER_BYTES for name, value in head.headers
    )


def check_announced_size(head, max_bytes):
    """Raise `errors.TooLarge` before a body that is announced as too long.

    The text is that of `check_body_size`.
    """
    for name, value in head.headers:
        if name == b'content-length' and int(value) > max_bytes:
            raise _too_large(max_bytes)


def check_framing(head):
    """Reject a request with two headers that define its length.

    A server that interprets them differently would take part of the body
    for another request (request smuggling).  Raises `errors.BadRequest`.
    """
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise errors.BadRequest(
            'both Content-Length and Transfer-Encoding are given; send one'
        )


def check_body_size(body, max_bytes):
    """Raise `errors.TooLarge` if a body has more than ``max_bytes``."""
    if len(body) > max_bytes:
        raise _too_large(max_bytes)


def _too_large(max_bytes):
    return errors.TooLarge(
        f'the body exceeds {max_bytes} bytes; send a smaller one'
    )


def _seconds_since(moment_s):
    return time.monotonic() - moment_s


def _make_request(head, body):
    return RawRequest(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        tuple(head.headers),
        body,
        time.monotonic(),
    )
