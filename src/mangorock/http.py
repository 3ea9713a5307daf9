"""The HTTP/1.1 server, over curio sockets, with h11.

It reads one request at a time from a connection and hands it to a handler
together with a `Responder`.  The other half is ``client``.
"""

import socket

import attrs
import curio
import curio.errors
import curio.socket
import h11
import orjson

from mangorock import errors

READ_BYTES = 65536
MAX_HEAD_BYTES = 16384
IDLE_TIMEOUT_S = 75.0


@attrs.frozen
class Request:
    """A whole request as the server read it.

    ``headers`` has lower-case names and text values, ``body`` is bytes.
    """

    method: str
    path: str
    headers: dict
    body: bytes

    def json(self):
        """Return the body as JSON, or raise `errors.BadRequest`."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as exc:
            raise errors.BadRequest(
                f'the body is not JSON ({exc}); send one JSON object'
            )


class Responder:
    """Writes the one answer to a request; made by the server for each."""

    def __init__(self, sock, conn):
        self.sock = sock
        self.conn = conn
        self.is_started = False
        self.is_broken = False

    async def respond(self, status, body, headers=()):
        """Send a whole answer; ``body`` is bytes or a JSON-able value."""
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        head = [
            ('content-type', 'application/json'),
            ('content-length', str(len(body))),
            *headers,
        ]
        head = dict(head).items()
        self.is_started = True
        data = self.conn.send(
            h11.Response(status_code=status, headers=list(head))
        )
        data += self.conn.send(h11.Data(data=body)) if body else b''
        data += self.conn.send(h11.EndOfMessage())
        await self._write(data)

    async def start(self, status, headers):
        """Send the head of a streamed answer."""
        self.is_started = True
        response = h11.Response(status_code=status, headers=headers)
        await self._write(self.conn.send(response))

    async def send(self, data):
        """Send a part of a streamed answer."""
        await self._write(self.conn.send(h11.Data(data=data)))

    async def end(self):
        """End a streamed answer."""
        await self._write(self.conn.send(h11.EndOfMessage()))

    async def _write(self, data):
        # A write that fails or is cancelled may be half done: nothing may
        # follow it on this connection.
        self.is_broken = True
        await self.sock.sendall(data)
        self.is_broken = False


async def _read_request(sock, conn, max_body_bytes):
    """Return the next `Request`, or ``None`` when the peer closed."""
    head = None
    body = bytearray()
    while True:
        event = conn.next_event()
        match event:
            case h11.Request():
                head = event
            case h11.Data():
                body += event.data
                if len(body) > max_body_bytes:
                    raise errors.TooLarge(
                        f'the body is over {max_body_bytes} bytes; '
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
    """Send ``error`` as its JSON body, if no answer was started yet."""
    if responder.is_started:
        return
    extra = list(headers)
    if error.retry_after_s is not None:
        extra.append(('retry-after', str(max(1, round(error.retry_after_s)))))
    await responder.respond(error.status, errors.error_body(error), extra)


async def _serve_connection(sock, handler, max_body_bytes):
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    responder = Responder(sock, conn)
    async with sock:
        try:
            while True:
                responder = Responder(sock, conn)
                request = await _read_request(sock, conn, max_body_bytes)
                if request is None:
                    return
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
    """Return a bound, listening curio socket; port 0 picks a free one.

    ``SO_REUSEPORT`` is never set, so a second process on the same VM cannot
    bind a port that a running or paused process holds.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(1024)
    return sock


async def serve(sock, handler, max_body_bytes):
    """Accept connections for ever; cancel the task to stop accepting.

    ``handler(request, responder)`` is called for each request.  The
    connections' own tasks are daemonic: they end with the process, after
    the shutdown stage has seen the last request off.
    """
    async with sock:
        while True:
            connection, _ = await sock.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await curio.spawn(
                _serve_connection,
                connection,
                handler,
                max_body_bytes,
                daemon=True,
            )
