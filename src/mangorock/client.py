"""The HTTP/1.1 client, over curio sockets, with h11.

It opens one `Exchange` per request.  A connection that was cancelled, timed
out or broke is never reused, nor is one on which bytes arrived that belong
to no request.
"""

import collections
import socket

import curio
import curio.errors
import curio.socket
import h11

from mangorock import logs

READ_BYTES = 65536
# Shorter than servers keep idle connections open, so that a reused one is
# rarely one that the server has just closed.
MAX_IDLE_S = 30.0
# A server that states its idle timeout may close this much earlier.
KEEP_ALIVE_MARGIN_S = 0.7
MAX_IDLE_PER_ADDRESS = 64
# A longer body is sent while the answer is awaited, since a server may
# answer before it has read all of it.
LONG_BODY_BYTES = 16384
METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
# Keep-alive probes show a connection that went silent within three seconds.
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2


class Exchange:
    """One request to a server and its answer.

    ``is_send_started`` turns true before the first byte is handed to the
    socket.
    ``status``, ``headers`` (lower-case names) and ``raw_headers`` (pairs of
    bytes) are set by `send`; the body is read with `read` (whole) or
    `read_some` (what has arrived; ``b''`` at the end).
    """

    def __init__(self, address, sock, conn, is_reused):
        self.address = address
        self.sock = sock
        self.conn = conn
        self.is_reused = is_reused
        self.is_send_started = False
        self.needs_data = False
        self.status = 0
        self.headers = {}
        self.raw_headers = []
        self.request = None
        self.write_task = None

    async def send(self, method, path, headers, body):
        """Write the request and read the head of the answer.

        The address is sent as ``host`` unless ``headers`` has one.
        """
        head = list(headers)
        if not any(name in ('host', b'host') for name, _ in head):
            head.insert(0, ('host', self.address))
        if body or method in METHODS_WITH_BODY:
            head.append(('content-length', str(len(body))))
        self.request = h11.Request(method=method, target=path, headers=head)
        data = self.conn.send(self.request)
        data += self.conn.send(h11.Data(data=body)) if body else b''
        data += self.conn.send(h11.EndOfMessage())
        self.is_send_started = True
        if len(body) > LONG_BODY_BYTES:
            self.write_task = await curio.spawn(self._write, data, daemon=True)
        else:
            await self.sock.sendall(data)
        await self._read_head()

    async def _write(self, data):
        try:
            await self.sock.sendall(data)
        except OSError as exc:
            # The reading side sees the broken connection and reports it.
            logs.debug('body_not_sent', server=self.address, error=repr(exc))

    async def _read_head(self):
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('closed before an answer')
        self.status = event.status_code
        self.raw_headers = event.headers.raw_items()
        self.headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in event.headers
        }

    async def skip_response(self):
        """Drop the answer whose head was read, and read the next head.

        For a server that answers an earlier request late: that answer
        stands where the one to this request is due.
        """
        await self.read()
        rest, is_closed = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT)
        self.conn.send(self.request)
        self.needs_data = False
        if rest:
            self.conn.receive_data(rest)
        if is_closed:
            self.conn.receive_data(b'')
        await self._read_head()

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
        while not self.is_body_complete:
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
            elif not isinstance(event, h11.EndOfMessage):
                raise ConnectionResetError('closed inside an answer')
        return b''.join(parts)

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
        while not self.is_body_complete:
            parts.append(await self.read_some())
        return b''.join(parts)

    @property
    def is_body_complete(self):
        """Say whether the body was read to its end."""
        return self.conn.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def is_reusable(self):
        """Say whether another request may follow on this connection."""
        if self.write_task is not None and not self.write_task.terminated:
            return False
        return (
            self.conn.their_state is h11.DONE
            and self.conn.our_state is h11.DONE
            and self.conn.trailing_data == (b'', False)
        )

    def idle_timeout_s(self):
        """Return for how many seconds the connection may stay idle."""
        for part in self.headers.get('keep-alive', '').split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                return min(MAX_IDLE_S, int(value) - KEEP_ALIVE_MARGIN_S)
        return MAX_IDLE_S


class Client:
    """Opens exchanges to addresses (``'IP:port'``) and keeps idle ones.

    An exchange that was cancelled, timed out or broke is closed and never
    reused: late bytes of its answer cannot reach another request.
    """

    def __init__(self, connect_timeout_s=2.0, send_timeout_s=None):
        self.connect_timeout_s = connect_timeout_s
        self.send_timeout_s = send_timeout_s
        self.idle_connections = collections.defaultdict(collections.deque)
        self.opened_count = 0

    async def open(self, address, new_connection=False, max_idle_s=None):
        """Return an `Exchange` on a connection to ``address``.

        With ``new_connection`` no kept connection is used: a kept one may have
        been closed by the server, and then a written request's fate is
        unknown.  ``max_idle_s`` takes only those used so recently.
        Raises `OSError` when no connection can be made.
        """
        now = await curio.clock()
        connections = self.idle_connections[address]
        while connections and not new_connection:
            sock, conn, idle_since_s, expires_s = connections[-1]
            if max_idle_s is not None and now - idle_since_s > max_idle_s:
                break
            connections.pop()
            if now < expires_s and is_connection_idle(sock):
                conn.start_next_cycle()
                return Exchange(address, sock, conn, True)
            await sock.close()
        sock = await self._connect(address)
        self.opened_count += 1
        conn = h11.Connection(h11.CLIENT)
        return Exchange(address, sock, conn, False)

    async def _connect(self, address):
        # Addresses are IP:port, so nothing is looked up: a look-up would
        # take a thread of its own for each connection.
        host, _, port = address.rpartition(':')
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        set_socket_options(sock, self.send_timeout_s)
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
        if exchange.write_task is not None:
            await exchange.write_task.cancel()
        await exchange.sock.close()

    async def close_expired(self):
        """Close kept connections whose time is over."""
        now = await curio.clock()
        for address, connections in list(self.idle_connections.items()):
            while connections and connections[0][3] <= now:
                await connections.popleft()[0].close()
            if not connections:
                del self.idle_connections[address]

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

    async def _call(
        self, address, method, path, headers, body, new_connection
    ):
        exchange = await self.open(address, new_connection)
        try:
            await exchange.send(method, path, headers, body)
            return exchange.status, await exchange.read()
        finally:
            await self.release(exchange)

    async def close(self):
        """Close every kept connection."""
        for connections in self.idle_connections.values():
            for sock, *_ in connections:
                await sock.close()
        self.idle_connections.clear()


def is_connection_idle(sock):
    """Say whether an idle connection is open and has nothing to read."""
    try:
        # The socket does not block; curio's own ``recv`` would wait.
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def set_socket_options(sock, send_timeout_s=None):
    """Send at once, and notice a connection that has gone silent."""
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
