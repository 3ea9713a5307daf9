"""HTTP server for callers: reads requests and writes their answers.

One task per connection reads a complete request, passes it to the handler
and waits for the end of the answer.  Meanwhile a second task watches the
socket and cancels the first one when the caller closes its connection, so
that the work at the backend server ends too.
"""

import enum
import math
import socket
import time

import curio
import curio.errors
import curio.io
import h11

from mangorock import buffers
from mangorock import connections
from mangorock import descriptors
from mangorock import errors
from mangorock import logs
from mangorock import reading
from mangorock import sockets
from mangorock import turns

CHUNKED_HEADER = (b'transfer-encoding', b'chunked')
MAX_PROBE_BYTES = 4096
# Connections to each address for probes and scrapes.
MAX_PROBES = 16
ACCEPT_RETRY_S = 0.05
# Pieces in which a long answer is written, to see whether it is taken.
WRITE_BYTES = 65536
# Times that the loop runs to close connections before one more is accepted.
CLOSING_ROUNDS = 3
# Connections beyond the limit of which no more could be closed, as all of them
# have open requests: from here on further requests are refused.
SURPLUS_CONNECTIONS = 16
# A refusal that the caller does not take is given up after this.
REFUSAL_S = 2.0
COUNT_INTERVAL_S = 0.5
LOG_INTERVAL_S = 1.0


class StopReached(curio.errors.TaskCancelled):
    """The grace period of a planned stop ends while a request is open."""


class Progress(enum.Enum):
    """How much of an answer was written to the caller's socket."""

    NONE = 'none'
    PART = 'part'
    WHOLE = 'whole'


class Reply:
    """Writes the answer to one request.

    ``must_close()`` says whether the answer must end the connection.
    ``is_head`` says that the request is a HEAD, whose answer has no body.
    ``progress`` tells how much was written, and ``caller_error`` why no more
    can be: the caller closed its connection or a write to it failed.  It is
    '' as long as neither happened, so an `OSError` that reaches the handler
    then has another cause.
    """

    def __init__(self, connection, must_close):
        self.connection = connection
        self.sock = connection.sock
        self.conn = connection.conn
        self.must_close = must_close
        self.is_head = False
        self.is_started = False
        self.progress = Progress.NONE
        self.caller_error = ''

    async def respond(self, status, headers, body):
        """Send a complete answer."""
        head = [*headers, (b'content-length', str(len(body)).encode())]
        data = self._encode_head(status, head)
        if self.is_head:
            body = b''
        if body:
            # Written below, as `send` would copy it.
            self.conn.send_with_data_passthrough(h11.Data(data=body))
        self.conn.send(h11.EndOfMessage())
        if len(body) <= WRITE_BYTES:
            data, body = data + body, b''
        await self._write(data, Progress.WHOLE, body)

    async def start(self, status, headers, data=b''):
        """Send the head of a streamed answer and its first bytes."""
        head = self._encode_head(status, [*headers, CHUNKED_HEADER])
        await self._write(head + self._encode_data(data), Progress.PART)

    def _encode_head(self, status, headers):
        if self.must_close():
            headers = [*headers, (b'connection', b'close')]
        # Raises an error for a malformed head, which can still be replaced.
        head = h11.Response(status_code=status, headers=headers)
        self.is_started = True
        return self.conn.send(head)

    def _encode_data(self, data):
        return self.conn.send(h11.Data(data=data)) if data else b''

    async def send(self, data):
        """Send a part of a streamed answer."""
        await self._write(self._encode_data(data), Progress.PART)

    async def end(self):
        """End a streamed answer."""
        await self._write(self.conn.send(h11.EndOfMessage()), Progress.WHOLE)

    async def _write(self, data, progress, body=b''):
        """Write ``data`` and ``body``, which is not copied."""
        self.connection.begin_write(len(data) + len(body))
        try:
            await self.sock.sendall(data)
            for offset in range(0, len(body), WRITE_BYTES):
                piece = memoryview(body)[offset : offset + WRITE_BYTES]
                await self.sock.sendall(piece)
                self.connection.on_written(len(piece))
        except OSError as exc:
            self.caller_error = repr(exc)
            raise
        self.progress = progress
        self.connection.end_write()

    def abort(self):
        """Have the connection reset on close, as the answer is incomplete."""
        self.connection.reset_on_close()
        self.conn.send_failed()


class Ingress:
    """Serves callers' connections, with explicit `start` and `close`.

    ``handler(request, reply)`` is called for each `reading.RawRequest`;
    ``get_limits()`` returns the `catalog.CallerLimits` in force;
    ``encode_refusal(error)`` returns (status, headers, body) for a request
    that cannot be read.  ``shared_turns`` are the `turns.Turns` of the
    process and ``account`` its `buffers.Buffers`.
    ``get_max_connections()`` returns how many connections there may be.
    """

    def __init__(
        self,
        handler,
        get_limits,
        encode_refusal,
        shared_turns=None,
        account=None,
        get_max_connections=lambda: math.inf,
    ):
        self.account = account or buffers.Buffers()
        self.get_max_connections = get_max_connections
        self.logged_s = -LOG_INTERVAL_S
        self.unlogged_closings = 0
        self.on_closed = None
        self.handler = handler
        self.get_limits = get_limits
        self.encode_refusal = encode_refusal
        self.reader = reading.RequestReader(
            get_limits, shared_turns or turns.Turns()
        )
        self.is_stopping = False
        self.in_flight = 0
        self.connections = {}
        self.listener = None
        self.accepting = None

    async def start(self, listener):
        """Accept connections on a listening socket."""
        self.listener = listener
        sockets.limit_buffers(listener)
        self.accepting = await curio.spawn(self._accept, daemon=True)

    async def close(self):
        """Accept no more connections; idempotent.

        Those that the system has accepted already are served, as their
        callers may have sent a request.  There is no pause between the last
        of them and the end of the listening socket.
        """
        if self.listener is None:
            return
        listener, self.listener = self.listener, None
        await self.accepting.cancel()
        while True:
            try:
                accepted, _ = listener._socket.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError as exc:
                # This caller left; others may be behind it.
                logs.debug('accept_failed', error=repr(exc))
                continue
            except OSError as exc:
                logs.warning('accept_failed', error=repr(exc))
                break
            await self.start_connection(curio.io.Socket(accepted))
        await listener.close()

    async def _accept(self):
        """Accept connections until the task is cancelled."""
        listener = self.listener
        while True:
            try:
                accepted, _ = await listener.accept()
            except OSError as exc:
                logs.warning('accept_failed', error=repr(exc))
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await self.start_connection(accepted)
            await self.account.wait_for_closing()

    async def start_connection(self, sock):
        """Serve a caller's connection until it ends."""
        sockets.set_socket_options(sock)
        conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.get_limits().max_head_bytes,
        )
        connection = connections.Connection(
            sock, conn, time.monotonic(), self.account
        )
        task = await curio.spawn(
            self._serve_connection, connection, daemon=True
        )
        # Counted before its task runs, so that a stop waits for it.
        self.connections[task] = connection
        connection.read(0)
        await self._keep_limit()

    async def _keep_limit(self):
        """Close connections beyond the limit, and wait until they are.

        Those that are idle or did not complete a request for longest go
        first.
        """
        limit, now = self.get_max_connections(), time.monotonic()
        if len(self.connections) <= limit:
            return
        peers = [
            descriptors.Peer(
                connection,
                connection.is_idle(now),
                connection.reply is not None,
                connection.waits_since_s,
            )
            for connection in self.connections.values()
            if not connection.is_cut
        ]
        chosen = descriptors.choose_closed(peers, limit)
        for connection in chosen:
            connection.cut()
        self._log_closed(chosen, limit, now)
        for _ in range(CLOSING_ROUNDS):
            if len(self.connections) <= limit:
                return
            await curio.sleep(0)

    def _log_closed(self, chosen, limit, now):
        self.unlogged_closings += len(chosen)
        if self.on_closed is not None and chosen:
            self.on_closed(len(chosen))
        if not chosen or now - self.logged_s < LOG_INTERVAL_S:
            return
        logs.warning(
            'connections_closed',
            reason='descriptors',
            count=self.unlogged_closings,
            open=len(self.connections),
            limit=limit,
        )
        self.logged_s, self.unlogged_closings = now, 0

    async def count_unread(self):
        """Count what the kernel holds for the connections, forever."""
        while True:
            await curio.sleep(COUNT_INTERVAL_S)
            for connection in list(self.connections.values()):
                connection.count_unread()

    async def _serve_connection(self, connection):
        task = await curio.current_task()
        sock, conn = connection.sock, connection.conn
        try:
            async with sock:
                while await self._serve_request(task, connection):
                    conn.start_next_cycle()
                    connection.begin_cycle(time.monotonic())
        except OSError as exc:
            logs.debug('connection_ended', error=repr(exc))
        except Exception as exc:
            logs.exception('connection_failed', error=repr(exc))
            raise
        finally:
            connection.close()
            del self.connections[task]

    async def _serve_request(self, task, connection):
        """Serve one request; return whether the connection may be reused."""
        sock, conn = connection.sock, connection.conn
        reply = Reply(connection, lambda: self.is_stopping)
        try:
            request = await self.reader.read(connection)
        except h11.RemoteProtocolError as exc:
            # The rest of the text may contain a header, and so a key.
            problem = str(exc).partition(':')[0]
            error = errors.BadRequest(
                f'malformed HTTP request ({problem}); correct it'
            )
            return await self._refuse(reply, error)
        except errors.MangorockError as exc:
            return await self._refuse(reply, exc)
        if request is None:
            return False
        reply.is_head = request.method == 'HEAD'
        max_connections = self.get_max_connections() + SURPLUS_CONNECTIONS
        if len(self.connections) > max_connections:
            return await self._refuse(reply, reading.no_room())
        self.in_flight += 1
        connection.reply = reply
        watcher = await curio.spawn(
            _watch_caller, sock, task, reply, daemon=True
        )
        try:
            await self.handler(request, reply)
        finally:
            self.in_flight -= 1
            connection.reply = None
            await watcher.cancel()
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    async def _refuse(self, reply, error):
        logs.event('request_refused', reason=error.reason.value)
        if reply.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            status, headers, body = self.encode_refusal(error)
            headers = [*headers, (b'connection', b'close')]
            async with curio.ignore_after(REFUSAL_S):
                await reply.respond(status, headers, body)
        return False

    async def close_idle_connections(self):
        """Close the connections on which no request is being served.

        One that has received bytes is not idle: a request may be in them.
        Nor is one that waits since less than `connections.MIN_IDLE_S`: its
        caller may just be sending.
        """
        now = time.monotonic()
        for task, connection in list(self.connections.items()):
            if connection.is_idle(now):
                await task.cancel(blocking=False)

    async def end_requests(self):
        """Have the handler answer each open request now.

        It gets `StopReached`.  Answers that have begun go on.
        """
        for task, connection in list(self.connections.items()):
            reply = connection.reply
            if reply is not None and not reply.is_started:
                await task.cancel(exc=StopReached, blocking=False)


async def _watch_caller(sock, task, reply):
    """Cancel ``task`` if the caller closes its connection.

    Data, such as a pipelined request, ends the watch.
    """
    try:
        if await sock.recv(1, socket.MSG_PEEK):
            return
        reply.caller_error = 'closed'
    except OSError as exc:
        reply.caller_error = repr(exc)
    await task.cancel(blocking=False)
