"""A stand-in worker with scripted responses."""

import attrs
import curio
import h11

from mangorock import http
from mangorock_standins import ports

SIGNATURE = b'3e1b.07.5a2.600.0.c9f2a4d1'
#: Part of a response: the worker closes the connection.
CLOSE = object()


@attrs.define
class ReceivedRequest:
    """A request that a worker received.

    ``connection`` is the number of the connection on which it came.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    connection: int = 0

    @property
    def request_id(self):
        """Return the caller's request id."""
        return self.headers.get('x-request-id', '')


def response_head(request, *more, status=200, request_id=None):
    """Return the head of a signed response, to which a body is appended."""
    request_id = request_id or request.request_id
    lines = [
        b'HTTP/1.1 %d X' % status,
        b'X-Request-Id: ' + request_id.encode(),
        b'X-Response-Signature: ' + SIGNATURE,
        *more,
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def whole_response(request, body=b'done', status=200, request_id=None):
    """Return a complete signed response."""
    length = b'Content-Length: %d' % len(body)
    return (
        response_head(request, length, status=status, request_id=request_id)
        + body
    )


def not_executed_response(request):
    """Return the response of an overloaded worker that ran nothing."""
    lines = [
        b'HTTP/1.1 503 X',
        b'X-Not-Executed: 1',
        b'X-Request-Id: ' + request.request_id.encode(),
        b'Content-Length: 0',
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def event_chunks(first, last):
    """Return one chunk with the events ``first`` to ``last``."""
    data = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )
    return b'%x\r\n%s\r\n' % (len(data), data)


def stream_response(request, last=4):
    """Return a stream that resumes after the last-event-id of the request."""
    first = int(request.headers.get('last-event-id', 0)) + 1
    chunked = b'Transfer-Encoding: chunked'
    return (
        response_head(request, chunked)
        + event_chunks(first, last)
        + b'0\r\n\r\n'
    )


class Worker:
    """A worker that responds by ``script``, a list of request handlers.

    Each handler gets a `ReceivedRequest` and returns bytes, or a list of
    bytes, seconds to pause and `CLOSE`. The last handler serves all further
    requests.
    """

    def __init__(self, name, service, *script, stage=None, born=1):
        self.name = name
        self.service = service
        self.script = list(script)
        self.stage = stage
        self.born = born
        self.port = ports.free_port()
        self.received = []
        self.disconnects = 0
        self.connections = 0
        self.tasks = []

    @property
    def address(self):
        """Return the address as IP:port."""
        return f'127.0.0.1:{self.port}'

    def entry(self, state='ready', sequence=1):
        """Return the worker's entry in the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': sequence,
            'born': self.born,
        }
        if self.stage:
            entry['stage'] = self.stage
        return entry

    async def start(self):
        """Start listening."""
        sock = http.listen('127.0.0.1', self.port)
        self.tasks.append(await curio.spawn(self._accept, sock, daemon=True))

    async def close(self):
        """Stop listening."""
        while self.tasks:
            await self.tasks.pop().cancel()

    async def _accept(self, sock):
        async with sock:
            while True:
                accepted, _ = await sock.accept()
                await curio.spawn(self._serve, accepted, daemon=True)

    async def _serve(self, sock):
        self.connections += 1
        connection = self.connections
        conn = h11.Connection(h11.SERVER)
        async with sock:
            while True:
                request = await self._read(sock, conn)
                if request is None:
                    return
                request.connection = connection
                self.received.append(request)
                handler = self.script[0]
                if len(self.script) > 1:
                    self.script.pop(0)
                if not await self._send_response(sock, handler(request)):
                    return
                conn = h11.Connection(h11.SERVER)

    async def _send_response(self, sock, parts):
        for part in [parts] if isinstance(parts, bytes) else parts:
            if part is CLOSE:
                return False
            if not isinstance(part, bytes):
                if not await self._pause(sock, part):
                    return False
                continue
            await sock.sendall(part)
        return True

    async def _pause(self, sock, seconds):
        """Pause; return False if the peer closes the connection meanwhile."""
        async with curio.ignore_after(seconds):
            if not await sock.recv(1):
                self.disconnects += 1
                return False
        return True

    @staticmethod
    async def _read(sock, conn):
        head, body = None, b''
        while True:
            event = conn.next_event()
            match event:
                case h11.Request():
                    head = event
                case h11.Data():
                    body += event.data
                case h11.EndOfMessage():
                    headers = {
                        name.decode(): value.decode('latin-1')
                        for name, value in head.headers
                    }
                    return ReceivedRequest(
                        head.method.decode(),
                        head.target.decode(),
                        headers,
                        body,
                    )
                case h11.ConnectionClosed():
                    return None
                case h11.NEED_DATA:
                    try:
                        conn.receive_data(await sock.recv(65536))
                    except OSError:
                        return None
