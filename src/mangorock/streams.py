"""Relays one stream of a completion and aborts silent streams.

One task owns both sockets of a stream, the caller's and the engine's.
Tokens that arrive together are written at once, after each was checked to
be the next one of this request's own answer.
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

# A stream that is silent for this long after its first token is broken.
STALL_TIMEOUT_S = 3.0
STREAM_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('transfer-encoding', 'chunked'),
)


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


@attrs.define
class WatchedStream:
    """A stream that `abort_silent_streams` watches."""

    exchange: object
    stall_deadline_s: float


class AttemptEnded(Exception):
    """An attempt ended without a complete answer."""

    def __init__(self, address, end):
        super().__init__(address, end)
        self.address = address
        self.end = end


async def stream_from(context, target, first_token_timeout_s):
    """Relay one stream until the answer is complete.

    Raises `AttemptEnded` if the request is refused or the stream breaks,
    and `CallerGone` if the caller disconnects.
    """
    env, check = context.env, context.validator
    check.discard_partial_event()
    try:
        exchange = await env.client.open(target.address, True)
    except OSError:
        raise AttemptEnded(target.address, attempts.End.UNREACHABLE)
    watched = WatchedStream(exchange, time.monotonic() + first_token_timeout_s)
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
            await relay_checked(context, check.feed(data), watched)
    except (OSError, h11.ProtocolError, relay.InvalidStream) as exc:
        if context.responder.is_broken:
            await cancel(context, target)
            raise CallerGone()
        log_broken_stream(context, target, exc)
        raise AttemptEnded(target.address, attempts.End.BROKEN)
    finally:
        del env.streams[id(watched)]
        await exchange.sock.close()


def log_broken_stream(context, target, exc):
    """Log a broken stream and the next expected token."""
    logs.warning(
        'stream_broken',
        request=context.call.internal_id,
        server=target.address,
        at_token=context.validator.next_index,
        error=repr(exc),
    )


async def relay_checked(context, data, watched):
    """Write checked events to a caller that asked for a stream."""
    if not data:
        return
    now = time.monotonic()
    watched.stall_deadline_s = now + STALL_TIMEOUT_S
    context.last_token_s = now
    if not context.first_token_s:
        context.first_token_s = now
    if not context.call.is_stream:
        return
    if not context.responder.is_started:
        await context.responder.start(
            200,
            [
                *STREAM_HEADERS,
                (calls.REQUEST_ID_HEADER, context.call.request_id),
            ],
        )
    await context.responder.send(data)


async def cancel(context, target):
    """Tell the server that the answer is no longer needed."""
    try:
        await engine.cancel(
            context.env.client, target.address, context.call.internal_id
        )
    except (OSError, h11.ProtocolError):
        return


async def fail_stream(context, error):
    """Send an error event to the caller of a stream that has started."""
    if context.responder.is_started and not context.responder.is_broken:
        data = b'data: ' + orjson.dumps(errors.error_body(error)) + b'\n\n'
        await context.responder.send(data)


async def abort_silent_streams(env):
    """Abort streams that have been silent for too long, forever."""
    while True:
        await curio.sleep(0.25)
        now = time.monotonic()
        for watched in list(env.streams.values()):
            if now > watched.stall_deadline_s:
                watched.exchange.abort()
