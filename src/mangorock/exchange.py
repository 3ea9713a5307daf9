"""One HTTP/1.1 request to a server and its response, on curio and h11."""

import re
import socket

import curio
import h11

from mangorock import logs

READ_BYTES = 65536
# Longest answer that is read whole.  A server in trouble may send bytes
# without end.
MAX_ANSWER_BYTES = 16 << 20
# Interim responses before the final one, for the same reason.
MAX_INTERIM_RESPONSES = 16
# Shorter than the idle timeout of servers, so that a reused connection has
# rarely just been closed by the server.
MAX_IDLE_S = 30.0
# Subtracted from the idle timeout that a server announces, because the
# server may close the connection slightly earlier.
KEEP_ALIVE_MARGIN_S = 0.7
# A longer body is sent concurrently with reading the response, because a
# server may respond before it has read the whole body.
LONG_BODY_BYTES = 16384
METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9]')


class AnswerTooLongError(OSError):
    """A server sent more than an answer may have."""


class JoinedAnswersError(OSError):
    """A server wrote an answer within the head of another one."""


class Exchange:
    """One request to a server and its response.

    ``is_send_started`` is set before the first byte is written to the
    socket.  `send` sets ``status``, ``headers`` (lower-case names) and
    ``raw_headers`` (pairs of bytes).  Read the body with `read` (all of it)
    or `read_some` (the bytes available; ``b''`` at the end).  A read that
    was cancelled or timed out may be repeated; nothing is lost by it.
    """

    def __init__(self, address, connection, is_reused, turn, held):
        self.address = address
        self.connection = connection
        self.sock = connection.sock
        self.conn = connection.conn
        self.is_reused = is_reused
        self.turn = turn
        self.held = held
        self.is_cut = False
        self.is_send_started = False
        self.needs_data = False
        self.status = 0
        self.headers = {}
        self.raw_headers = []
        self.request = None
        self.write_task = None
        self.reads = 0
        self.body = bytearray()

    async def send(self, method, path, headers, body):
        """Send the request and read the status and headers of the response."""
        await self.write(method, path, headers, body)
        await self.read_head()

    async def write(self, method, path, headers, body):
        """Send the request.

        The address is sent as the ``host`` header unless ``headers`` has one.
        """
        head = list(headers)
        if not any(name in ('host', b'host') for name, _ in head):
            head.insert(0, ('host', self.address))
        if body or method in METHODS_WITH_BODY:
            head.append(('content-length', str(len(body))))
        self.request = h11.Request(method=method, target=path, headers=head)
        data = self.conn.send(self.request)
        if body:
            self.conn.send(h11.Data(data=body))
        self.conn.send(h11.EndOfMessage())
        self.is_send_started = True
        if len(body) > LONG_BODY_BYTES:
            self.write_task = await curio.spawn(
                self._write, data, body, daemon=True
            )
        else:
            await self.sock.sendall(data + body)

    async def _write(self, head, body):
        # Not joined, as that would copy a long body.
        try:
            await self.sock.sendall(head)
            await self.sock.sendall(body)
        except OSError as exc:
            # Reading the response fails too, and reports the error.
            logs.debug('body_not_sent', server=self.address, error=repr(exc))

    async def read_head(self):
        """Read the status and headers of the response.

        Raises `JoinedAnswersError` if it is unknown to which of two responses
        they belong.
        """
        event = await self._next_event()
        for _ in range(MAX_INTERIM_RESPONSES):
            if not isinstance(event, h11.InformationalResponse):
                break
            self._check_head(event)
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('connection closed before the response')
        self._check_head(event)
        self.status = event.status_code
        self.raw_headers = event.headers.raw_items()
        self.headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in event.headers
        }

    def _check_head(self, event):
        """Raise `JoinedAnswersError` for a head with a second status line.

        A server that cuts an answer off within a header value, or within its
        reason phrase, and writes the next one behind it puts the headers of
        the next one under the first status.
        """
        values = [event.reason, *(value for _, value in event.headers)]
        if any(map(STATUS_LINE.search, values)):
            raise JoinedAnswersError(
                f'{self.address} wrote an answer within the head of another '
                'one; check the server'
            )

    def expect_response(self):
        """Prepare to read another response, after this one was read.

        Needed if a server sends the late response to an earlier request
        before the response to this one.
        """
        rest, is_closed = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT)
        self.conn.send(self.request)
        self.needs_data = False
        if rest:
            self.conn.receive_data(rest)
        if is_closed:
            self.conn.receive_data(b'')

    async def _next_event(self):
        while True:
            if self.turn.is_over:
                await self.turn.end()
            event = self.conn.next_event()
            self.turn.count()
            if event is not h11.NEED_DATA:
                return event
            self.conn.receive_data(await self.sock.recv(READ_BYTES))

    async def read_some(self):
        """Return the body bytes available, or ``b''`` at the end.

        Waits until at least one byte is available, and returns at the end of
        a turn what there is.  If the connection is closed before the end of
        the message, `h11.ProtocolError` or `OSError` is raised.
        """
        conn, turn, parts = self.conn, self.turn, []
        while not self.is_body_complete:
            if turn.is_over:
                if parts:
                    return b''.join(parts)
                await turn.end()
            if self.needs_data:
                conn.receive_data(await self.sock.recv(READ_BYTES))
                self.reads += 1
                self.needs_data = False
            event = conn.next_event()
            turn.count()
            if event is h11.NEED_DATA:
                # Saves the next call another `next_event` call.
                self.needs_data = True
                if parts:
                    return b''.join(parts)
            elif isinstance(event, h11.Data):
                turn.add_credit(len(event.data))
                parts.append(event.data)
            elif not isinstance(event, h11.EndOfMessage):
                raise ConnectionResetError(
                    'connection closed within the response'
                )
        return b''.join(parts)

    def abort(self):
        """Shut down the socket in both directions; a pending read fails."""
        try:
            with self.sock.blocking() as sock:
                sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def read(self):
        """Return the whole body, a long one as a bytearray.

        Raises `AnswerTooLongError` beyond `MAX_ANSWER_BYTES`, and if all
        answers that are being read take too much memory.
        """
        while not self.is_body_complete:
            await self.held.wait_for_closing()
            data = await self.read_some()
            self.body += data
            self.held.add(self, len(data))
            if self.is_cut or len(self.body) > MAX_ANSWER_BYTES:
                raise AnswerTooLongError(
                    f'{self.address} sent more than {MAX_ANSWER_BYTES} bytes, '
                    'or the most of all answers that took too much memory; '
                    'check the server'
                )
        body, self.body = self.body, bytearray()
        self.held.remove(self)
        # A long body is not copied.
        return body if len(body) > READ_BYTES else bytes(body)

    def cut(self):
        """Drop the body and end the answer; a pending read fails."""
        self.is_cut = True
        self.body = bytearray()
        self.abort()

    @property
    def is_body_complete(self):
        """Whether the whole body was read."""
        return self.conn.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def is_reusable(self):
        """Whether the connection can be used for another request."""
        if self.write_task is not None and not self.write_task.terminated:
            return False
        return (
            self.conn.their_state is h11.DONE
            and self.conn.our_state is h11.DONE
            and self.conn.trailing_data == (b'', False)
        )

    def idle_timeout_s(self):
        """Return for how many seconds the connection may be kept idle."""
        for part in self.headers.get('keep-alive', '').split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                return min(MAX_IDLE_S, int(value) - KEEP_ALIVE_MARGIN_S)
        return MAX_IDLE_S
