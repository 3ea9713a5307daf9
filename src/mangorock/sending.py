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
UNSAFE_IDLE_S = 1.0
# Longer than any request; stands for no limit.
NEVER_S = 86400.0


class Fault(Exception):
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
class Patience:
    """How long a stream may be silent before its first event and later.

    None waits as long as the request does.  ``may_repeat`` says that the
    request may run again elsewhere.
    """

    may_repeat: bool
    first_s: float | None = None
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
        exchange = await self._open(dispatch, may_repeat)
        if isinstance(exchange, Unreachable):
            return exchange
        try:
            answer = await self._head(exchange, request, dispatch)
            body = await exchange.read()
        except (OSError, h11.ProtocolError, Fault) as exc:
            return self._broken(dispatch, exc)
        finally:
            await self._close(exchange, dispatch)
        if answer.has_not_run:
            return Refused(answer)
        self.outliers.on_success(dispatch.server)
        return Whole(answer, body)

    async def stream(self, request, dispatch, relay, patience):
        """Send and relay an event stream as it arrives.

        ``relay`` has ``splitter`` (an `events.EventSplitter`) and the
        coroutine ``feed``.  A server that is silent for longer than
        ``patience`` allows has broken.
        """
        exchange = await self._open(dispatch, patience.may_repeat)
        if isinstance(exchange, Unreachable):
            return exchange
        try:
            async with within(patience.first_s):
                answer = await self._head(exchange, request, dispatch)
            if answer.has_not_run or not answer.is_success:
                body = await exchange.read()
                if answer.has_not_run:
                    return Refused(answer)
                return Whole(answer, body)
            await self._relay(exchange, answer, relay, patience)
        except (OSError, h11.ProtocolError, Fault, events.EventFault) as exc:
            if relay.is_caller_gone:
                raise
            return self._broken(dispatch, exc)
        except curio.errors.TaskTimeout:
            return self._broken(dispatch, 'silent')
        finally:
            await self._close(exchange, dispatch)
        self.outliers.on_success(dispatch.server)
        return Streamed(answer)

    async def _relay(self, exchange, answer, relay, patience):
        limit_s = patience.first_s
        while True:
            async with within(limit_s):
                data = await exchange.read_some()
            if not data:
                break
            whole = relay.splitter.feed(data)
            if whole:
                limit_s = patience.gap_s
                await relay.feed(answer, whole)
        if not relay.splitter.is_between_events:
            raise Fault('the stream ended inside an event')

    async def _open(self, dispatch, may_repeat):
        self.placer.on_send(dispatch.server)
        self.outliers.on_send(dispatch.server)
        idle_s = None if may_repeat else UNSAFE_IDLE_S
        try:
            return await self.client.open(
                dispatch.server.address, idle_within_s=idle_s
            )
        except OSError as exc:
            self._count_out(dispatch)
            self.outliers.on_failure(dispatch.server, time.monotonic(), True)
            return Unreachable(repr(exc))
        except BaseException:
            self._count_out(dispatch)
            raise

    async def _head(self, exchange, request, dispatch):
        """Send, and return the `Answer` that belongs to the request."""
        sent_s = time.monotonic()
        headers = self.wire.encode_headers(request, dispatch)
        await exchange.send(
            request.method, request.target, headers, request.body
        )
        answer = self._decode(exchange)
        foreign = 0
        while answer.request_id not in ('', request.request_id):
            foreign += 1
            logs.warning(
                'foreign_answer',
                request=request.request_id,
                server=dispatch.server.server_id,
                answer_to=answer.request_id,
            )
            if foreign > MAX_FOREIGN_ANSWERS:
                raise Fault('the connection carries other answers')
            await exchange.skip_answer()
            answer = self._decode(exchange)
        now = time.monotonic()
        latency_s = now - sent_s
        self.placer.on_answer(dispatch.server, answer.load, latency_s, now)
        if answer.is_success and not dispatch.is_prefill:
            check_success(answer)
        return answer

    def _decode(self, exchange):
        return self.wire.decode_answer(exchange.status, exchange.raw_headers)

    def _broken(self, dispatch, error):
        self.failed(dispatch.server)
        return Broken(str(error) or repr(error))

    def failed(self, server):
        """Take note of an attempt that broke or was given up."""
        now = time.monotonic()
        self.outliers.on_failure(server, now)
        self.placer.on_failure(server, now)

    async def _close(self, exchange, dispatch):
        self._count_out(dispatch)
        await self.client.release(exchange)

    def _count_out(self, dispatch):
        self.placer.on_end(dispatch.server)
        self.outliers.on_end(dispatch.server)

    async def free(self, handle):
        """Let an engine drop a prefilled prompt that nobody will fetch."""
        method, path = self.wire.encode_handle_release(handle)
        try:
            async with curio.timeout_after(self.client.connect_timeout_s):
                await self.client.call(handle.address, method, path)
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            # The engine drops it by itself when its time is over.
            logs.event(
                'handle_not_freed', server=handle.address, error=repr(exc)
            )


def check_success(answer):
    """Raise `Fault` for a success that is not the server's own."""
    if not answer.is_signed:
        raise Fault('the success bears no signature')
    if not answer.request_id:
        raise Fault('the success names no request')
    if answer.is_encoded:
        raise Fault('the body was encoded on the way')


def within(seconds):
    """Return a time limit as a context; None sets none.

    There is always one, as else the end of an outer limit would be taken
    for that of this one.
    """
    return curio.timeout_after(NEVER_S if seconds is None else seconds)
