"""HTTP/1.1 server, built on curio and h11.

The server reads one request at a time from a connection and passes it to a
handler together with a `Responder`.  The client is in ``client``.
"""

import collections
import math
import socket

import attrs
import curio
import curio.errors
import curio.socket
import h11
import orjson

from mangorock import errors
from mangorock import logs
from mangorock import turns

READ_BYTES = 65536
MAX_HEAD_BYTES = 16384
IDLE_TIMEOUT_S = 75.0
ACCEPT_RETRY_S = 0.05


@attrs.frozen
class Request:
    """A complete request as received by the server.

    ``headers`` maps lower-case names to string values; ``body`` is bytes.
    """

    method: str
    path: str
    headers: dict
    body: bytes

    def json(self):
        """Parse the body as JSON, or raise `errors.BadRequest`."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as exc:
            raise errors.BadRequest(
                f'the body is not valid JSON ({exc}); send a JSON object'
            )


class Responder:
    """Writes the response to a request; the server creates one for each.

    ``is_head`` says that the request is a HEAD, whose response has no body.
    """

    def __init__(self, sock, conn):
        self.sock = sock
        self.conn = conn
        self.is_head = False
        self.is_started = False
        self.is_broken = False

    async def respond(self, status, body, headers=()):
        """Send a complete response; ``body`` is bytes or JSON-serializable."""
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        head = [
            ('content-type', 'application/json'),
            ('content-length', str(len(body))),
            *headers,
        ]
        head = dict(head).items()
        # Raises an error for a malformed head, which can still be replaced.
        response = h11.Response(status_code=status, headers=list(head))
        self.is_started = True
        data = self.conn.send(response)
        if body and not self.is_head:
            data += self.conn.send(h11.Data(data=body))
        data += self.conn.send(h11.EndOfMessage())
        await self._write(data)

    async def start(self, status, headers):
        """Send the status and headers of a streamed response."""
        response = h11.Response(status_code=status, headers=headers)
        self.is_started = True
        await self._write(self.conn.send(response))

    async def send(self, data):
        """Send a part of the body of a streamed response."""
        await self._write(self.conn.send(h11.Data(data=data)))

    async def end(self):
        """End a streamed response."""
        await self._write(self.conn.send(h11.EndOfMessage()))

    async def _write(self, data):
        # A failed or cancelled write may have sent only part of the data, so
        # the connection must not be used after it.
        self.is_broken = True
        await self.sock.sendall(data)
        self.is_broken = False


async def _read_request(sock, conn, max_body_bytes, shared_turns):
    """Return the next `Request`, or ``None`` if the connection closed."""
    head = None
    body = bytearray()
    turn = turns.Turn(shared_turns)
    while True:
        if turn.is_over:
            await turn.end()
        event = conn.next_event()
        turn.count()
        match event:
            case h11.Request():
                head = event
            case h11.Data():
                turn.add_credit(len(event.data))
                body += event.data
                if len(body) > max_body_bytes:
                    raise errors.TooLarge(
                        f'the request body exceeds {max_body_bytes} bytes; '
                        'send a smaller one'
                    )
            case h11.EndOfMessage():
                return _make_request(head, bytes(body))
            case h11.ConnectionClosed() | h11.PAUSED:
                return None
            case h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await sock.sendall(
                        conn.send(
                            h11.InformationalResponse(
                                status_code=100, headers=[]
                            )
                        )
                    )
                async with curio.timeout_after(IDLE_TIMEOUT_S):
                    conn.receive_data(await sock.recv(READ_BYTES))


def _make_request(head, body):
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return Request(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        headers,
        body,
    )


async def send_error(responder, error, headers=()):
    """Send ``error`` as a JSON response, unless a response was started."""
    if responder.is_started:
        return
    extra = list(headers)
    if error.retry_after_s is not None:
        extra.append(('retry-after', str(max(1, round(error.retry_after_s)))))
    await responder.respond(error.status, errors.error_body(error), extra)


async def _serve_connection(sock, handler, max_body_bytes, shared_turns):
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    responder = Responder(sock, conn)
    async with sock:
        try:
            while True:
                responder = Responder(sock, conn)
                request = await _read_request(
                    sock, conn, max_body_bytes, shared_turns
                )
                if request is None:
                    return
                responder.is_head = request.method == 'HEAD'
                await handler(request, responder)
                if conn.our_state is not h11.DONE:
                    return
                if conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except h11.RemoteProtocolError as exc:
            await _reject_request(
                responder, errors.BadRequest(f'malformed HTTP: {exc}')
            )
        except errors.MangorockError as exc:
            await _reject_request(responder, exc)
        except (OSError, curio.errors.TaskTimeout):
            return


async def _reject_request(responder, error):
    state = responder.conn.our_state
    if state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    try:
        await send_error(responder, error, [('connection', 'close')])
    except OSError:
        return


def listen(host, port):
    """Return a listening curio socket; port 0 selects a free port.

    ``SO_REUSEPORT`` is not set, so that a second process on the same VM
    cannot bind a port that a running or suspended process has bound.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(1024)
    return sock


async def serve(sock, handler, max_body_bytes, max_connections=math.inf):
    """Accept connections until the task is cancelled.

    ``handler(request, responder)`` is called for each request.  Each
    connection has a daemonic task, which ends with the process: shutdown
    waits for the last request before that.  Beyond ``max_connections`` the
    oldest connection is closed.
    """
    shared_turns = turns.Turns()
    tasks = collections.deque()
    async with sock:
        while True:
            try:
                connection, _ = await sock.accept()
            except OSError as exc:
                # Such as too many open files, which passes.
                logs.warning('accept_failed', error=repr(exc))
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = await curio.spawn(
                _serve_connection,
                connection,
                handler,
                max_body_bytes,
                shared_turns,
                daemon=True,
            )
            if max_connections < math.inf:
                tasks.append(task)
                await _end_oldest(tasks, max_connections)


async def _end_oldest(tasks, max_connections):
    """Forget the connections that have ended, and end the oldest beyond."""
    if len(tasks) <= max_connections:
        return
    running = [task for task in tasks if not task.terminated]
    tasks.clear()
    tasks.extend(running)
    while len(tasks) > max_connections:
        await tasks.popleft().cancel()
