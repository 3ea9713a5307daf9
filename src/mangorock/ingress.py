"""HTTP server for callers: reads requests and writes their answers.

One task per connection reads a complete request, passes it to the handler
and waits for the end of the answer.  Meanwhile a second task watches the
socket and cancels the first one when the caller closes its connection, so
that the work at the backend server ends too.
"""

import enum
import socket
import struct
import time

import attrs
import curio
import curio.errors
import curio.io
import h11

from mangorock import client
from mangorock import errors
from mangorock import logs
from mangorock import reading
from mangorock import turns

# Closes a connection with a reset, so that a truncated answer cannot look
# complete.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CHUNKED_HEADER = (b'transfer-encoding', b'chunked')
MAX_PROBE_BYTES = 4096
ACCEPT_RETRY_S = 0.05
# Longer than a caller's first request takes to follow its connection.
MIN_IDLE_S = 0.2


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
    ``progress`` tells how much was written, and ``caller_error`` why no more
    can be: the caller closed its connection or a write to it failed.  It is
    '' as long as neither happened, so an `OSError` that reaches the handler
    then has another cause.
    """

    def __init__(self, sock, conn, must_close):
        self.sock = sock
        self.conn = conn
        self.must_close = must_close
        self.is_started = False
        self.progress = Progress.NONE
        self.caller_error = ''

    async def respond(self, status, headers, body):
        """Send a complete answer."""
        head = [*headers, (b'content-length', str(len(body)).encode())]
        data = self._encode_head(status, head)
        data += self.conn.send(h11.Data(data=body)) if body else b''
        data += self.conn.send(h11.EndOfMessage())
        await self._write(data, Progress.WHOLE)

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

    async def _write(self, data, progress):
        try:
            await self.sock.sendall(data)
        except OSError as exc:
            self.caller_error = repr(exc)
            raise
        self.progress = progress

    def abort(self):
        """Have the connection reset on close, as the answer is incomplete."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.conn.send_failed()


@attrs.define
class Connection:
    """A caller's connection, and since when it waits for a request.

    ``reply`` is that of the request that is being handled, or None.
    """

    sock: object
    conn: h11.Connection
    waits_since_s: float
    reply: Reply | None = None

    def is_idle(self, now):
        """Say whether nothing has come for `MIN_IDLE_S`."""
        return (
            self.conn.our_state is h11.IDLE
            and now - self.waits_since_s >= MIN_IDLE_S
            and not self.conn.trailing_data[0]
            and client.is_connection_idle(self.sock)
        )


class Ingress:
    """Serves callers' connections, with explicit `start` and `close`.

    ``handler(request, reply)`` is called for each `reading.RawRequest`;
    ``get_limits()`` returns the `catalog.CallerLimits` in force;
    ``encode_refusal(error)`` returns (status, headers, body) for a request
    that cannot be read.  ``shared_turns`` are the `turns.Turns` of the
    process.
    """

    def __init__(self, handler, get_limits, encode_refusal, shared_turns=None):
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

    async def start_connection(self, sock):
        """Serve a caller's connection until it ends."""
        client.set_socket_options(sock)
        conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.get_limits().max_head_bytes,
        )
        connection = Connection(sock, conn, time.monotonic())
        task = await curio.spawn(
            self._serve_connection, connection, daemon=True
        )
        # Counted before its task runs, so that a stop waits for it.
        self.connections[task] = connection

    async def _serve_connection(self, connection):
        task = await curio.current_task()
        sock, conn = connection.sock, connection.conn
        try:
            async with sock:
                while await self._serve_request(task, connection):
                    conn.start_next_cycle()
                    connection.waits_since_s = time.monotonic()
        except OSError as exc:
            logs.debug('connection_ended', error=repr(exc))
        except Exception as exc:
            logs.exception('connection_failed', error=repr(exc))
            raise
        finally:
            del self.connections[task]

    async def _serve_request(self, task, connection):
        """Serve one request; return whether the connection may be reused."""
        sock, conn = connection.sock, connection.conn
        reply = Reply(sock, conn, lambda: self.is_stopping)
        try:
            request = await self.reader.read(sock, conn)
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
            await reply.respond(status, headers, body)
        return False

    async def close_idle_connections(self):
        """Close the connections on which no request is being served.

        One that has received bytes is not idle: a request may be in them.
        Nor is one that waits since less than `MIN_IDLE_S`: its caller may
        just be sending.
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
