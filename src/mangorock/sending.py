"""Sends one request to one backend server and says how that ended.

The end of an attempt decides what may follow, so it is a type: only
`Refused` and `Unreachable` are sure not to have run.
"""

import time

import attrs
import curio
import curio.errors
import h11

from mangorock import events
from mangorock import logs

# Late answers to earlier requests that are skipped before giving up.
MAX_FOREIGN_ANSWERS = 2
# A request that must not run twice takes a kept connection only if it was
# used so recently that the server can hardly have closed it.
MAX_UNSAFE_IDLE_S = 1.0
# Longer than any request; stands for no limit.
NO_LIMIT_S = 86400.0


class InvalidAnswer(Exception):
    """What came back is no answer to this request."""


@attrs.frozen
class Unreachable:
    """No connection could be made; nothing was sent."""

    error: str


@attrs.frozen
class Unsent:
    """The request was not sent for a reason of this VM's own."""

    error: str


@attrs.frozen
class Refused:
    """The server states that it did not run the request."""

    answer: object


@attrs.frozen
class Broken:
    """The attempt ended without a whole answer; it may have run."""

    error: str


@attrs.frozen
class Whole:
    """The answer came whole; ``body`` is its bytes."""

    answer: object
    body: bytes


@attrs.frozen
class Streamed:
    """A stream was relayed to its end."""

    answer: object


@attrs.frozen
class SilenceLimits:
    """How long a stream may be silent before its first event and later.

    None waits as long as the request does.  ``may_repeat`` says that the
    request may run again elsewhere.
    """

    may_repeat: bool
    first_event_s: float | None = None
    gap_s: float | None = None


@attrs.define
class Sender:
    """Sends dispatches through one client with one wire format."""

    client: object
    wire: object
    placer: object
    outliers: object

    async def call(self, request, dispatch, may_repeat):
        """Send and read the whole answer."""
        exchange = await self._open_exchange(dispatch, may_repeat)
        if isinstance(exchange, Unreachable):
            return exchange
        try:
            answer = await self._send_and_read_head(
                exchange, request, dispatch
            )
            body = await exchange.read()
        except (OSError, h11.ProtocolError, InvalidAnswer) as exc:
            return self._broken_outcome(dispatch, exc)
        finally:
            await self._close_exchange(exchange, dispatch)
        if answer.has_not_run:
            return Refused(answer)
        self.outliers.succeeded(dispatch.server)
        return Whole(answer, body)

    async def stream(self, request, dispatch, relay, limits):
        """Send and relay an event stream as it arrives.

        ``relay`` has ``splitter`` (an `events.EventSplitter`) and the
        coroutine ``feed``.  A server that is silent for longer than
        ``limits`` allows has broken.
        """
        exchange = await self._open_exchange(dispatch, limits.may_repeat)
        if isinstance(exchange, Unreachable):
            return exchange
        try:
            async with time_limit(limits.first_event_s):
                answer = await self._send_and_read_head(
                    exchange, request, dispatch
                )
            if answer.has_not_run or not answer.is_success:
                body = await exchange.read()
                if answer.has_not_run:
                    return Refused(answer)
                return Whole(answer, body)
            await self._relay(exchange, answer, relay, limits)
        except (
            OSError,
            h11.ProtocolError,
            InvalidAnswer,
            events.EventFault,
        ) as exc:
            if relay.is_caller_gone:
                raise
            return self._broken_outcome(dispatch, exc)
        except curio.errors.TaskTimeout:
            return self._broken_outcome(dispatch, 'silent')
        finally:
            await self._close_exchange(exchange, dispatch)
        self.outliers.succeeded(dispatch.server)
        return Streamed(answer)

    async def _relay(self, exchange, answer, relay, limits):
        limit_s = limits.first_event_s
        while True:
            async with time_limit(limit_s):
                data = await exchange.read_some()
            if not data:
                break
            whole = relay.splitter.feed(data)
            if whole:
                limit_s = limits.gap_s
                await relay.feed(answer, whole)
        if not relay.splitter.is_between_events:
            raise InvalidAnswer('the stream ended inside an event')

    async def _open_exchange(self, dispatch, may_repeat):
        self.placer.on_send(dispatch.server)
        self.outliers.on_send(dispatch.server)
        idle_s = None if may_repeat else MAX_UNSAFE_IDLE_S
        try:
            return await self.client.open(
                dispatch.server.address, idle_within_s=idle_s
            )
        except OSError as exc:
            self._release_server(dispatch)
            self.outliers.failed(dispatch.server, time.monotonic(), True)
            return Unreachable(repr(exc))
        except BaseException:
            self._release_server(dispatch)
            raise

    async def _send_and_read_head(self, exchange, request, dispatch):
        """Send, and return the `Answer` that belongs to the request."""
        sent_s = time.monotonic()
        headers = self.wire.encode_headers(request, dispatch)
        await exchange.send(
            request.method, request.target, headers, request.body
        )
        answer = self._decode_head(exchange)
        foreign_answers = 0
        while answer.request_id not in ('', request.request_id):
            foreign_answers += 1
            logs.warning(
                'foreign_answer',
                request=request.request_id,
                server=dispatch.server.server_id,
                answer_to=answer.request_id,
            )
            if foreign_answers > MAX_FOREIGN_ANSWERS:
                raise InvalidAnswer('the connection carries other answers')
            await exchange.skip_answer()
            answer = self._decode_head(exchange)
        now = time.monotonic()
        latency_s = now - sent_s
        self.placer.on_answer(dispatch.server, answer.load, latency_s, now)
        if answer.is_success and not dispatch.is_prefill:
            check_success(answer)
        return answer

    def _decode_head(self, exchange):
        return self.wire.decode_answer(exchange.status, exchange.raw_headers)

    def _broken_outcome(self, dispatch, error):
        self.record_failure(dispatch.server)
        return Broken(str(error) or repr(error))

    def record_failure(self, server):
        """Take note of an attempt that broke or was given up."""
        now = time.monotonic()
        self.outliers.failed(server, now)
        self.placer.on_failure(server, now)

    async def _close_exchange(self, exchange, dispatch):
        self._release_server(dispatch)
        await self.client.release(exchange)

    def _release_server(self, dispatch):
        self.placer.on_end(dispatch.server)
        self.outliers.on_end(dispatch.server)

    async def free_handle(self, handle):
        """Let an engine drop a prefilled prompt that nobody will fetch."""
        method, path = self.wire.encode_free(handle)
        try:
            async with curio.timeout_after(self.client.connect_timeout_s):
                await self.client.call(handle.address, method, path)
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            # The engine drops it by itself when its time is over.
            logs.event(
                'handle_not_freed', server=handle.address, error=repr(exc)
            )


def check_success(answer):
    """Raise `InvalidAnswer` for a success that is not the server's own."""
    if not answer.is_proved:
        raise InvalidAnswer('the success bears no signature')
    if not answer.request_id:
        raise InvalidAnswer('the success names no request')
    if answer.is_encoded:
        raise InvalidAnswer('the body was encoded on the way')


def time_limit(seconds):
    """Return a time limit as a context; None sets none.

    There is always one, as else the end of an outer limit would be taken
    for that of this one.
    """
    return curio.timeout_after(NO_LIMIT_S if seconds is None else seconds)
