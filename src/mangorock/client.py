"""HTTP/1.1 client with a connection pool, built on curio and h11.

`Client` opens one `exchange.Exchange` per request.  A connection is never
reused after a cancelled, timed out or failed exchange, or if it received
bytes that do not belong to a request.
"""

import socket
import time

import curio
import curio.errors
import curio.socket
import h11

from mangorock import buffers
from mangorock import connection_pool
from mangorock import exchange as exchanges
from mangorock import logs
from mangorock import sockets
from mangorock import turns

# Calls whose answer takes longer to connect and read than this are logged.
SLOW_ANSWER_S = 0.5


class Client:
    """Opens exchanges to addresses (``'IP:port'``) and pools connections.

    The connection of a cancelled, timed out or failed exchange is closed, so
    that late bytes of its response cannot reach another request.
    ``on_response(address, status, raw_headers)`` gets each response to `call`.
    """

    def __init__(
        self,
        connect_timeout_s=2.0,
        send_timeout_s=None,
        shared_turns=None,
        held=None,
        max_sockets=None,
    ):
        self.connect_timeout_s = connect_timeout_s
        self.send_timeout_s = send_timeout_s
        self.turns = shared_turns or turns.Turns()
        self.held = held or buffers.Buffers()
        # At most so many connections are kept, None: no limit of their own.
        self.max_sockets = max_sockets
        self.open_count = 0
        self.pool = connection_pool.ConnectionPool()
        self.opened_count = 0
        self.on_response = lambda address, status, raw_headers: None

    async def open(
        self, address, new_connection=False, max_idle_s=None, request_id=''
    ):
        """Return an `exchange.Exchange` on a connection to ``address``.

        With ``new_connection`` no pooled connection is used: the server may
        have closed it, and then it is unknown whether a request written to
        it was executed.  ``max_idle_s`` limits how long a pooled connection
        may have been idle.  ``request_id`` is the id that the answer will
        bear, '' if it bears none.  Raises `OSError` if connecting fails.
        """
        now = await curio.clock()
        while not new_connection:
            found = self.pool.take(address, request_id, now, max_idle_s)
            if found is None:
                break
            if now < found.expires_s and sockets.is_connection_idle(
                found.sock
            ):
                found.conn.start_next_cycle()
                return self._make_exchange(address, found, request_id, True)
            await self._close(found.sock)
        await self._close_surplus()
        sock = await self._connect(address)
        self.opened_count += 1
        self.open_count += 1
        conn = h11.Connection(h11.CLIENT)
        connection = connection_pool.Connection(sock, conn)
        return self._make_exchange(address, connection, request_id, False)

    def _make_exchange(self, address, connection, request_id, is_reused):
        connection.on_send(request_id)
        turn = turns.Turn(self.turns)
        return exchanges.Exchange(
            address, connection, is_reused, turn, self.held
        )

    async def _connect(self, address):
        # Addresses are IP:port, which avoids DNS lookups: each would need a
        # thread of its own.
        host, _, port = address.rpartition(':')
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.set_socket_options(sock, self.send_timeout_s)
        if self.max_sockets is not None:
            sockets.limit_buffers(sock)
        try:
            async with curio.timeout_after(self.connect_timeout_s):
                await sock.connect((host, int(port)))
        except curio.errors.TaskTimeout:
            await sock.close()
            raise ConnectionError(f'connection to {address} timed out')
        except BaseException:
            await sock.close()
            raise
        return sock

    async def release(self, exchange):
        """Pool the connection if it is reusable, otherwise close it."""
        self.held.remove(exchange)
        connection, timeout_s = exchange.connection, exchange.idle_timeout_s()
        if exchange.is_reusable and timeout_s > 0:
            connection.conn = exchange.conn
            now = await curio.clock()
            if self.pool.put(exchange.address, connection, now, timeout_s):
                return
        await self.discard(exchange)

    async def discard(self, exchange):
        """Close the connection of an exchange."""
        self.held.remove(exchange)
        if exchange.write_task is not None:
            await exchange.write_task.cancel()
        await self._close(exchange.sock)

    async def _close(self, sock):
        self.open_count -= 1
        await sock.close()

    async def _close_surplus(self):
        """Close idle connections beyond ``max_sockets``, the oldest first."""
        if self.max_sockets is None or self.open_count < self.max_sockets:
            return
        while self.open_count >= self.max_sockets:
            oldest = self.pool.take_oldest()
            if oldest is None:
                return
            await self._close(oldest.sock)

    async def close_expired(self):
        """Close pooled connections that have exceeded their idle timeout."""
        for connection in self.pool.take_expired(await curio.clock()):
            await self._close(connection.sock)

    async def call(self, address, method, path, headers=(), body=b''):
        """Send a request that may be repeated; return (status, body).

        If the request fails, it is sent once more.  Raises `OSError` or
        `h11.ProtocolError`.
        """
        try:
            return await self.call_once(address, method, path, headers, body)
        except (OSError, h11.ProtocolError):
            return await self.call_once(address, method, path, headers, body)

    async def call_once(self, address, method, path, headers=(), body=b''):
        """Like `call`, but never send the request twice."""
        status, _, data = await self.fetch(
            address, method, path, headers, body
        )
        return status, data

    async def fetch(self, address, method, path, headers=(), body=b''):
        """Send a request once; return (status, raw headers, body).

        Each call has a connection to itself: the answer bears no id, so on a
        shared one it could be the late answer to an earlier call.
        """
        begun_s = time.monotonic()
        exchange = await self.open(address, new_connection=True)
        try:
            opened_s = time.monotonic()
            await exchange.send(method, path, headers, body)
            self.on_response(address, exchange.status, exchange.raw_headers)
            head_s = time.monotonic()
            data = await exchange.read()
            _log_slow(address, path, exchange, data, begun_s, opened_s, head_s)
            return exchange.status, exchange.raw_headers, data
        finally:
            await self.discard(exchange)

    async def close(self):
        """Close all pooled connections."""
        for connection in self.pool.take_all():
            await self._close(connection.sock)


def _log_slow(address, path, exchange, data, begun_s, opened_s, head_s):
    """Log a call that took long, apart from the wait for its answer."""
    connect_s, body_s = opened_s - begun_s, time.monotonic() - head_s
    if connect_s + body_s > SLOW_ANSWER_S:
        logs.event(
            'answer_slow',
            server=address,
            path=path.partition('?')[0],
            bytes=len(data),
            reads=exchange.reads,
            connect_s=connect_s,
            body_s=body_s,
        )
