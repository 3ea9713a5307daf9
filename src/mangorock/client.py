"""The HTTP/1.1 client, over curio sockets, with h11.

It opens one `Exchange` per request.  A connection that was cancelled, timed
out or broke is never reused.
"""

import collections
import socket

import curio
import curio.errors
import curio.socket
import h11

READ_BYTES = 65536
# Shorter than servers keep idle connections open, so that a reused one is
# rarely one that the server has just closed.
REUSE_WITHIN_S = 30.0
MAX_IDLE_PER_ADDRESS = 64


class Exchange:
    """One request to a server and its answer.

    ``is_written`` turns true before the first byte is handed to the socket.
    ``status`` and ``headers`` are set by `send`; the body is read with
    `read` (whole) or `read_some` (what has arrived; ``b''`` at the end).
    """

    def __init__(self, address, sock, conn, is_reused):
        self.address = address
        self.sock = sock
        self.conn = conn
        self.is_reused = is_reused
        self.is_written = False
        self.needs_data = False
        self.status = 0
        self.headers = {}

    async def send(self, method, path, headers, body):
        """Write the request and read the head of the answer."""
        head = [('host', self.address), *headers]
        head.append(('content-length', str(len(body))))
        data = self.conn.send(
            h11.Request(method=method, target=path, headers=head)
        )
        data += self.conn.send(h11.Data(data=body)) if body else b''
        data += self.conn.send(h11.EndOfMessage())
        self.is_written = True
        await self.sock.sendall(data)
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('closed before an answer')
        self.status = event.status_code
        self.headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in event.headers
        }

    async def _next_event(self):
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.conn.receive_data(await self.sock.recv(READ_BYTES))

    async def read_some(self):
        """Return the bytes that arrived together, ``b''`` at the end.

        A close before the end of the message raises `h11.ProtocolError` or
        `OSError`; it is never taken for an end.
        """
        conn, parts = self.conn, []
        while True:
            if self.needs_data:
                conn.receive_data(await self.sock.recv(READ_BYTES))
                self.needs_data = False
            event = conn.next_event()
            if event is h11.NEED_DATA:
                # Remembered, so that the next call does not ask h11 again.
                self.needs_data = True
                if parts:
                    return b''.join(parts)
            elif isinstance(event, h11.Data):
                parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            else:
                raise ConnectionResetError('closed inside an answer')

    def abort(self):
        """End both directions at once; a waiting read fails."""
        try:
            with self.sock.blocking() as sock:
                sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def read(self):
        """Return the whole body."""
        parts = []
        while self.conn.their_state is not h11.DONE:
            parts.append(await self.read_some())
        return b''.join(parts)

    @property
    def is_whole(self):
        """Say whether the answer was read to its end."""
        return (
            self.conn.their_state is h11.DONE
            and self.conn.our_state is h11.DONE
        )


class Client:
    """Opens exchanges to addresses (``'IP:port'``) and keeps idle ones.

    An exchange that was cancelled, timed out or broke is closed and never
    reused: late bytes of its answer cannot reach another request.
    """

    def __init__(self, connect_timeout_s=2.0):
        self.connect_timeout_s = connect_timeout_s
        self.idle = collections.defaultdict(collections.deque)

    async def open(self, address, is_fresh=False):
        """Return an `Exchange` on a connection to ``address``.

        With ``is_fresh`` no kept connection is used: a kept one may have
        been closed by the server, and then a written request's fate is
        unknown.  Raises `OSError` when no connection can be made.
        """
        now = await curio.clock()
        kept = self.idle[address]
        while kept and not is_fresh:
            sock, conn, since_s = kept.pop()
            if now - since_s < REUSE_WITHIN_S:
                conn.start_next_cycle()
                return Exchange(address, sock, conn, True)
            await sock.close()
        sock = await self._connect(address)
        conn = h11.Connection(h11.CLIENT)
        return Exchange(address, sock, conn, False)

    async def _connect(self, address):
        # Addresses are IP:port, so nothing is looked up: a look-up would
        # take a thread of its own for each connection.
        host, _, port = address.rpartition(':')
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(self.connect_timeout_s):
                await sock.connect((host, int(port)))
        except curio.errors.TaskTimeout:
            await sock.close()
            raise ConnectionError(f'no connection to {address} in time')
        except BaseException:
            await sock.close()
            raise
        return sock

    async def release(self, exchange):
        """Keep the connection of a whole exchange, close any other."""
        kept = self.idle[exchange.address]
        if exchange.is_whole and len(kept) < MAX_IDLE_PER_ADDRESS:
            now = await curio.clock()
            kept.append((exchange.sock, exchange.conn, now))
            return
        await exchange.sock.close()

    async def call(self, address, method, path, headers=(), body=b''):
        """Send a request that may be repeated, return (status, bytes).

        A request that dies on a kept connection is sent once more on a
        fresh one.  Raises `OSError` or `h11.ProtocolError`.
        """
        try:
            return await self._call(
                address, method, path, headers, body, False
            )
        except (OSError, h11.ProtocolError):
            return await self._call(address, method, path, headers, body, True)

    async def call_once(self, address, method, path, headers=(), body=b''):
        """Like `call`, but never sent twice."""
        return await self._call(address, method, path, headers, body, True)

    async def _call(self, address, method, path, headers, body, is_fresh):
        exchange = await self.open(address, is_fresh)
        try:
            await exchange.send(method, path, headers, body)
            return exchange.status, await exchange.read()
        finally:
            await self.release(exchange)

    async def close(self):
        """Close every kept connection."""
        for kept in self.idle.values():
            for sock, _, _ in kept:
                await sock.close()
        self.idle.clear()
