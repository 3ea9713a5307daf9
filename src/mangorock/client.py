"""HTTP/1.1 client with a connection pool, built on curio and h11.

`Client` opens one `exchange.Exchange` per request.  A connection is never
reused after a cancelled, timed out or failed exchange, or if it received
bytes that do not belong to a request.
"""

import collections
import socket

import curio
import curio.errors
import curio.socket
import h11

from mangorock import buffers
from mangorock import exchange as exchanges
from mangorock import sockets
from mangorock import turns

MAX_IDLE_PER_ADDRESS = 64


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
        self.idle_connections = collections.defaultdict(collections.deque)
        self.opened_count = 0
        self.on_response = lambda address, status, raw_headers: None

    async def open(self, address, new_connection=False, max_idle_s=None):
        """Return an `exchange.Exchange` on a connection to ``address``.

        With ``new_connection`` no pooled connection is used: the server may
        have closed it, and then it is unknown whether a request written to
        it was executed.  ``max_idle_s`` limits how long a pooled connection
        may have been idle.  Raises `OSError` if connecting fails.
        """
        now = await curio.clock()
        connections = self.idle_connections[address]
        while connections and not new_connection:
            sock, conn, idle_since_s, expires_s = connections[-1]
            if max_idle_s is not None and now - idle_since_s > max_idle_s:
                break
            connections.pop()
            if now < expires_s and sockets.is_connection_idle(sock):
                conn.start_next_cycle()
                return self._make_exchange(address, sock, conn, True)
            await self._close(sock)
        await self._close_surplus()
        sock = await self._connect(address)
        self.opened_count += 1
        self.open_count += 1
        conn = h11.Connection(h11.CLIENT)
        return self._make_exchange(address, sock, conn, False)

    def _make_exchange(self, address, sock, conn, is_reused):
        turn = turns.Turn(self.turns)
        return exchanges.Exchange(
            address, sock, conn, is_reused, turn, self.held
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
        connections = self.idle_connections[exchange.address]
        idle_timeout_s = exchange.idle_timeout_s()
        if (
            exchange.is_reusable
            and idle_timeout_s > 0
            and len(connections) < MAX_IDLE_PER_ADDRESS
        ):
            now = await curio.clock()
            connections.append(
                (exchange.sock, exchange.conn, now, now + idle_timeout_s)
            )
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
        idle = sorted(
            (connections[0][2], address)
            for address, connections in self.idle_connections.items()
            if connections
        )
        for _, address in idle:
            connections = self.idle_connections[address]
            while connections and self.open_count >= self.max_sockets:
                await self._close(connections.popleft()[0])

    async def close_expired(self):
        """Close pooled connections that have exceeded their idle timeout."""
        now = await curio.clock()
        for address, connections in list(self.idle_connections.items()):
            while connections and connections[0][3] <= now:
                await self._close(connections.popleft()[0])
            if not connections:
                del self.idle_connections[address]

    async def call(self, address, method, path, headers=(), body=b''):
        """Send a request that may be repeated; return (status, body).

        If the request fails, it is sent once more on a new connection.
        Raises `OSError` or `h11.ProtocolError`.
        """
        try:
            return await self._call(
                address, method, path, headers, body, False
            )
        except (OSError, h11.ProtocolError):
            return await self._call(address, method, path, headers, body, True)

    async def call_once(self, address, method, path, headers=(), body=b''):
        """Like `call`, but never send the request twice."""
        return await self._call(address, method, path, headers, body, True)

    async def _call(
        self, address, method, path, headers, body, new_connection
    ):
        exchange = await self.open(address, new_connection)
        try:
            await exchange.send(method, path, headers, body)
            self.on_response(address, exchange.status, exchange.raw_headers)
            return exchange.status, await exchange.read()
        finally:
            await self.release(exchange)

    async def close(self):
        """Close all pooled connections."""
        for connections in self.idle_connections.values():
            for sock, *_ in connections:
                await self._close(sock)
        self.idle_connections.clear()
