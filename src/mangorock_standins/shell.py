"""What the stand-ins share: a small HTTP server, arguments and faults."""

import urllib.parse

import curio
import orjson

from mangorock import http
from mangorock import signals

MAX_BODY_BYTES = 64_000_000


class Faults:
    """Faults that a control call switches on.

    ``delay_s`` holds each answer back, ``is_down`` refuses with 503,
    ``lose_answers`` applies that many writes and closes without an answer.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.is_down = False
        self.lose_answers = 0

    def update(self, data):
        """Take the fields of a control call."""
        for name in ('delay_s', 'is_down', 'lose_answers'):
            setattr(self, name, data.get(name, getattr(self, name)))


class ConnectionDropped(OSError):
    """Raised to close the connection after the effect."""


def split_path(target):
    """Return (path parts, query dict) of a request target."""
    parsed = urllib.parse.urlsplit(target)
    parts = [
        urllib.parse.unquote(part) for part in parsed.path.split('/') if part
    ]
    query = dict(urllib.parse.parse_qsl(parsed.query))
    return parts, query


async def serve(port, handler, host='127.0.0.1'):
    """Serve ``handler`` until SIGTERM or SIGINT."""
    sock = http.listen(host, port)
    print(f'listening {host}:{sock.getsockname()[1]}', flush=True)
    stop = signals.make_stop_event()
    task = await curio.spawn(http.serve, sock, handler, MAX_BODY_BYTES)
    await stop.wait()
    await task.cancel()


async def respond_json(responder, status, data):
    """Send a JSON answer."""
    await responder.respond(status, orjson.dumps(data))
