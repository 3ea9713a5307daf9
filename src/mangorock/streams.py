"""Relays one stream of a completion, and breaks off silent ones.

One task owns the caller's and the engine's socket of a stream.  Tokens
that arrive together leave in one write, and each was checked to be the
next of this request's own answer.
"""

import time

import attrs
import curio
import h11
import orjson

from mangorock import attempts
from mangorock import calls
from mangorock import engine
from mangorock import errors
from mangorock import logs
from mangorock import relay

# A stream that has begun and then is silent for this long is broken.
STALL_S = 3.0
STREAM_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('transfer-encoding', 'chunked'),
)


class CallerGone(Exception):
    """The caller closed its connection before the answer was whole."""


@attrs.define
class Watched:
    """What the sweeper of silent streams looks at."""

    exchange: object
    silent_after_s: float


class AttemptEnded(Exception):
    """An attempt ended without a whole answer."""

    def __init__(self, address, end):
        super().__init__(address, end)
        self.address = address
        self.end = end


async def stream_from(work, target, silent_s):
    """Relay one stream until the answer is whole.

    Raises `AttemptEnded` when it is refused or breaks, and `CallerGone`.
    """
    env, check = work.env, work.validator
    check.discard_partial_event()
    try:
        exchange = await env.client.open(target.address, True)
    except OSError:
        raise AttemptEnded(target.address, attempts.End.UNREACHABLE)
    watched = Watched(exchange, time.monotonic() + silent_s)
    env.streams[id(watched)] = watched
    try:
        await exchange.send(
            target.method, target.path, target.headers, target.body
        )
        if exchange.status != 200:
            raise AttemptEnded(target.address, attempts.End.REFUSED)
        while not check.is_complete:
            data = await exchange.read_some()
            if not data:
                raise relay.InvalidStream('the stream ended early')
            await relay_checked(work, check.feed(data), watched)
    except (OSError, h11.ProtocolError, relay.InvalidStream) as exc:
        if work.responder.is_broken:
            await cancel(work, target)
            raise CallerGone()
        log_broken(work, target, exc)
        raise AttemptEnded(target.address, attempts.End.BROKEN)
    finally:
        del env.streams[id(watched)]
        await exchange.sock.close()


def log_broken(work, target, exc):
    """Log a stream that broke."""
    logs.warning(
        'stream_broken',
        request=work.call.internal_id,
        server=target.address,
        at_token=work.validator.next_index,
        error=repr(exc),
    )


async def relay_checked(work, data, watched):
    """Write checked events to the caller, if it asked for a stream."""
    if not data:
        return
    now = time.monotonic()
    watched.silent_after_s = now + STALL_S
    work.last_token_s = now
    if not work.first_token_s:
        work.first_token_s = now
    if not work.call.is_stream:
        return
    if not work.responder.is_started:
        await work.responder.start(
            200,
            [
                *STREAM_HEADERS,
                (calls.REQUEST_ID_HEADER, work.call.request_id),
            ],
        )
    await work.responder.send(data)


async def cancel(work, target):
    """Tell the server that nobody wants the answer any more."""
    try:
        await engine.cancel(
            work.env.client, target.address, work.call.internal_id
        )
    except (OSError, h11.ProtocolError):
        return


async def fail_stream(work, error):
    """Tell the caller of a begun stream that it will not be whole."""
    if work.responder.is_started and not work.responder.is_broken:
        data = b'data: ' + orjson.dumps(errors.error_body(error)) + b'\n\n'
        await work.responder.send(data)


async def sweep_silent(env):
    """Break streams that have been silent for too long, for ever."""
    while True:
        await curio.sleep(0.25)
        now = time.monotonic()
        for watched in list(env.streams.values()):
            if now > watched.silent_after_s:
                watched.exchange.abort()
