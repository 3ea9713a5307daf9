"""HTTP server and fault injection that all simulated servers share."""

import urllib.parse

import curio
import orjson

from mangorock import http
from mangorock import signals
from mangorock import wakeup

MAX_BODY_BYTES = 64_000_000


class Faults:
    """Faults to inject, as set by ``POST /control/faults``.

    ``delay_s`` delays each response, ``is_down`` makes all calls fail with
    status 503, and ``lose_answers`` is the number of calls that are executed
    but whose connection is then closed without a response.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.is_down = False
        self.lose_answers = 0

    def update(self, data):
        """Set the faults that ``data`` names and keep the others."""
        for name in ('delay_s', 'is_down', 'lose_answers'):
            setattr(self, name, data.get(name, getattr(self, name)))


class ConnectionDropped(OSError):
    """Raised to close a connection without completing the response."""


def split_path(target):
    """Return the path segments and the query dict of a request target."""
    parsed = urllib.parse.urlsplit(target)
    parts = [
        urllib.parse.unquote(part) for part in parsed.path.split('/') if part
    ]
    query = dict(urllib.parse.parse_qsl(parsed.query))
    return parts, query


async def serve(port, handler, host='127.0.0.1'):
    """Serve HTTP requests with ``handler`` until SIGTERM or SIGINT."""
    sock = http.listen(host, port)
    print(f'listening {host}:{sock.getsockname()[1]}', flush=True)
    stop = wakeup.make_wakeup()
    signals.install().listen(signals.STOP, stop.set)
    task = await curio.spawn(http.serve, sock, handler, MAX_BODY_BYTES)
    await stop.wait()
    await task.cancel()


async def respond_json(responder, status, data):
    """Send ``data`` as a JSON response."""
    await responder.respond(status, orjson.dumps(data))
