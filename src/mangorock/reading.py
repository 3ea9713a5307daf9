"""Reads whole requests from callers' connections within their limits."""

import time

import attrs
import curio
import curio.errors
import h11

from mangorock import client
from mangorock import errors
from mangorock import logs
from mangorock import turns


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

    async def read(self, sock, conn):
        """Return the next `RawRequest`, None if the caller closed.

        The limits in force are read at each step, as the configuration may
        change while the connection is open.
        """
        head, body = None, bytearray()
        turn = turns.Turn(self.shared_turns)
        while True:
            if turn.is_over:
                await turn.end()
            event = conn.next_event()
            turn.count()
            match event:
                case h11.Request():
                    head = event
                    check_framing(head)
                case h11.Data():
                    turn.add_credit(len(event.data))
                    body += event.data
                    check_body_size(body, self.get_limits().max_body_bytes)
                case h11.EndOfMessage():
                    return _make_request(head, bytes(body))
                case h11.ConnectionClosed() | h11.PAUSED:
                    return None
                case h11.NEED_DATA:
                    await self._receive(sock, conn, head)

    async def _receive(self, sock, conn, head):
        if conn.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await sock.sendall(conn.send(continue_response))
        has_started = head is not None or bool(conn.trailing_data[0])
        since_s, is_expired = time.monotonic(), False
        while not is_expired:
            try:
                async with curio.timeout_after(
                    self._wait_limit_s(has_started) - _seconds_since(since_s)
                ):
                    data = await sock.recv(client.READ_BYTES)
                break
            except curio.errors.TaskTimeout:
                # The limit may have become longer meanwhile.
                waited_s = _seconds_since(since_s)
                is_expired = waited_s >= self._wait_limit_s(has_started)
        else:
            data = await self._receive_last(sock, waited_s, has_started)
        conn.receive_data(data)

    def _wait_limit_s(self, has_started):
        limits = self.get_limits()
        return limits.head_timeout_s if has_started else limits.idle_timeout_s

    @staticmethod
    async def _receive_last(sock, waited_s, has_started):
        """Return what has come on a connection whose time is over.

        Raises `ConnectionIdle` if nothing has.
        """
        is_unread = not client.is_connection_idle(sock)
        logs.event(
            'connection_expired',
            waited_s=waited_s,
            has_started=has_started,
            is_unread=is_unread,
        )
        if not is_unread:
            raise ConnectionIdle(f'no bytes came for {waited_s:.3f} s')
        return await sock.recv(client.READ_BYTES)


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
        raise errors.TooLarge(
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
