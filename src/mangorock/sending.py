"""Sends one request to one backend server and returns the outcome.

Each outcome is a class of its own, as it decides whether the request may be
retried: of the attempts that tried to reach a server, only `Refused` and
`Unreachable` certainly have not run.
"""

import math
import time

import attrs
import curio
import curio.errors
import h11

from mangorock import availability
from mangorock import buffers
from mangorock import events
from mangorock import logs
from mangorock import rate_limits
from mangorock import silence
from mangorock import traffic

# Late answers to earlier requests that are skipped on one connection.
MAX_FOREIGN_ANSWERS = 2
# A request that must not run twice reuses an idle connection only if it was
# used so recently that the server is unlikely to have closed it.
MAX_UNSAFE_IDLE_S = 1.0
# The error of an attempt that was not made.
UNWANTED = 'the server wants no requests'
# The error of an attempt for which this VM had no slot under a limit.
AT_LIMIT = 'the server takes no more requests now'
# The error of an attempt that was given up because the server was silent.
SILENT = 'silent'


class InvalidAnswer(Exception):
    """The bytes received are not a valid answer to this request."""


@attrs.frozen
class Unreachable:
    """No connection could be opened; nothing was sent."""

    error: str


@attrs.frozen
class Unsent:
    """This VM decided not to send the request."""

    error: str


@attrs.frozen
class Refused:
    """The server states that it did not run the request."""

    answer: object


@attrs.frozen
class Broken:
    """The attempt ended without a complete answer; it may have run."""

    error: str


@attrs.frozen
class Whole:
    """The complete answer was received; ``body`` holds its bytes."""

    answer: object
    body: bytes


@attrs.frozen
class Streamed:
    """A stream was relayed to its end."""

    answer: object


@attrs.define
class Sender:
    """Sends requests to backend servers and records how they went.

    The load goes to ``placer``, failures and successes go to ``outliers``,
    and what servers say of leaving, refusing for a time and limits to
    ``registry``.  ``tell_limit(server, per_s)`` tells the other VMs.
    """

    client: object
    wire: object
    placer: object
    outliers: object
    registry: object
    metrics: object
    tell_limit: object = attrs.field(default=lambda server, per_s: None)

    async def call(self, request, dispatch, limits):
        """Send the request, read the complete answer, return the outcome.

        ``limits.first_event_s`` is the limit on the whole answer.
        """
        exchange = await self._open_exchange(request, dispatch, limits)
        if isinstance(exchange, (Unreachable, Unsent)):
            return exchange
        timer = silence.SilenceTimer(limits.first_event_s, limits.may_give_up)
        try:
            answer = await self._send_and_read_head(
                exchange, request, dispatch, timer
            )
            body = await timer.read(exchange.read)
        except (OSError, h11.ProtocolError, InvalidAnswer) as exc:
            return self._broken_outcome(dispatch, exc)
        except silence.ServerSilent:
            return self._broken_outcome(dispatch, SILENT)
        finally:
            await self._close_exchange(exchange, dispatch)
        if answer.has_not_run:
            return Refused(answer)
        self.outliers.on_success(dispatch.server)
        return Whole(answer, body)

    async def stream(self, request, dispatch, relay, limits):
        """Send the request, relay its event stream, return the outcome.

        ``relay`` has ``splitter`` (an `events.EventSplitter`) and the
        coroutine ``feed``.  A server that is given up according to
        ``limits`` counts as broken.
        """
        exchange = await self._open_exchange(request, dispatch, limits)
        if isinstance(exchange, (Unreachable, Unsent)):
            return exchange
        timer = silence.SilenceTimer(limits.first_event_s, limits.may_give_up)
        try:
            answer = await self._send_and_read_head(
                exchange, request, dispatch, timer
            )
            if answer.has_not_run or not answer.is_success:
                body = await exchange.read()
                if answer.has_not_run:
                    return Refused(answer)
                return Whole(answer, body)
            timer.restart(limits.first_event_s)
            await self._relay(exchange, answer, relay, timer, limits.gap_s)
        except (
            OSError,
            h11.ProtocolError,
            InvalidAnswer,
            events.EventOrderError,
        ) as exc:
            if relay.is_caller_gone:
                raise
            return self._broken_outcome(dispatch, exc)
        except silence.ServerSilent:
            return self._broken_outcome(dispatch, SILENT)
        finally:
            await self._close_exchange(exchange, dispatch)
        self.outliers.on_success(dispatch.server)
        return Streamed(answer)

    async def _relay(self, exchange, answer, relay, timer, gap_s):
        """Relay the stream to its end, and check that it goes on.

        The limit is on the time between whole events, since a stalled server
        may send a byte now and then.
        """
        while data := await timer.read(exchange.read_some):
            whole = relay.splitter.feed(data)
            self.client.held.set(
                exchange,
                len(relay.splitter.partial_event),
                buffers.Kind.STREAM,
            )
            if whole:
                await relay.feed(answer, whole)
                timer.restart(gap_s)
        if not relay.splitter.is_between_events:
            raise InvalidAnswer('the stream ended inside an event')

    async def _open_exchange(self, request, dispatch, limits):
        if not self._wants_requests(dispatch.server):
            return Unsent(UNWANTED)
        rates = self.registry.rates
        if not dispatch.has_slot and not rates.take(
            dispatch.server, time.time()
        ):
            return Unsent(AT_LIMIT)
        self.placer.on_send(dispatch.server)
        self.outliers.on_send(dispatch.server)
        idle_s = None if limits.may_repeat else MAX_UNSAFE_IDLE_S
        try:
            exchange = await self.client.open(
                dispatch.server.address,
                max_idle_s=idle_s,
                request_id=request.request_id,
            )
        except OSError as exc:
            self._release_server(dispatch)
            self.outliers.on_failure(dispatch.server, time.monotonic(), True)
            return Unreachable(repr(exc))
        except BaseException:
            self._release_server(dispatch)
            raise
        # Connecting takes up to some seconds, in which the registry or another
        # response may have told that the server wants no requests.
        if not self._wants_requests(dispatch.server):
            await self._close_exchange(exchange, dispatch)
            return Unsent(UNWANTED)
        return exchange

    def _wants_requests(self, server):
        return self.registry.is_usable(server, time.monotonic())

    def _wants_calls(self, server):
        """Say whether a server may get calls that callers do not need."""
        is_limited = self.registry.rates.is_limited(server, time.time())
        return not is_limited and self._wants_requests(server)

    def _note_availability(self, server, answer, is_late=False):
        """Record what a server says of leaving or refusing for a time.

        The time of a refusal that ``is_late`` began before it was read.
        """
        known, now = self.registry.availability, time.monotonic()
        if answer.is_leaving and known.on_leaving(server):
            self.metrics.add('server_leaving')
            logs.event(
                'server_leaving',
                server=server.server_id,
                service=server.service,
                started_ms=server.started_ms,
            )
        stated_s = answer.refusal_s
        if stated_s is None or is_late:
            return
        used_s = availability.bound_refusal_s(stated_s)
        if used_s != stated_s and known.is_report_due(server, now):
            logs.event(
                'retry_after_invalid',
                server=server.server_id,
                stated_s=stated_s,
                used_s=used_s,
            )
        if known.on_refusal(server, stated_s, now):
            self.metrics.add('server_unwilling')
            logs.event(
                'server_unwilling',
                server=server.server_id,
                service=server.service,
                seconds=used_s,
            )

    def note_response(self, address, status, raw_headers):
        """Record what a server says in a response to another call."""
        server = self.registry.server_at(address)
        if server is not None:
            answer = self.wire.decode_answer(status, raw_headers)
            self._note_availability(server, answer)
            self._note_limit(server, answer, -math.inf)

    def _note_limit(self, server, answer, sent_unix_s):
        """Record the limit on requests that a server states, or its end."""
        if answer.status == traffic.MISDIRECTED:
            # Another server responded.
            return
        rates, stated = self.registry.rates, answer.limit_per_s
        change = rates.on_answer(server, stated, sent_unix_s, time.time())
        match change:
            case rate_limits.LimitChange.INVALID:
                known = self.registry.availability
                if not known.is_report_due(server, time.monotonic()):
                    return
            case None:
                return
            case _:
                self.tell_limit(server, rate_limits.bound_per_s(stated))
        self.metrics.add(f'server_limit_{change.value}')
        logs.event(
            f'server_limit_{change.value}',
            server=server.server_id,
            service=server.service,
            per_s=stated,
        )

    async def _send_and_read_head(self, exchange, request, dispatch, timer):
        """Send the request and return the `traffic.Answer` that belongs to it.

        Late answers to earlier requests on the connection are skipped.
        """
        sent_s, sent_unix_s = time.monotonic(), time.time()
        headers = self.wire.encode_headers(request, dispatch)
        await exchange.write(
            request.method, request.target, headers, request.body
        )
        await timer.read(exchange.read_head)
        answer = self._read_answer(exchange, request, dispatch)
        check_origin(answer, exchange.is_reused)
        foreign_answers = 0
        while is_foreign(answer, request):
            foreign_answers += 1
            logs.warning(
                'foreign_answer',
                request=request.request_id,
                server=dispatch.server.server_id,
                answer_to=answer.request_id,
            )
            if foreign_answers > MAX_FOREIGN_ANSWERS:
                raise InvalidAnswer(
                    'too many answers to other requests on the connection'
                )
            await timer.read(exchange.read)
            exchange.expect_response()
            await timer.read(exchange.read_head)
            answer = self._read_answer(exchange, request, dispatch)
            check_origin(answer, True)
        now = time.monotonic()
        server, report = dispatch.server, answer.load
        self._note_limit(server, answer, sent_unix_s)
        if answer.has_not_run:
            self.placer.on_refusal(server, report, now)
        else:
            self.placer.on_answer(server, report, now - sent_s, now)
        if answer.is_success and not dispatch.is_prefill:
            check_success(answer)
        return answer

    def _read_answer(self, exchange, request, dispatch):
        """Decode the head of an answer, also of one to another request."""
        answer = self.wire.decode_answer(exchange.status, exchange.raw_headers)
        is_late = is_foreign(answer, request)
        self._note_availability(dispatch.server, answer, is_late)
        return answer

    def _broken_outcome(self, dispatch, error):
        self.record_failure(dispatch.server)
        return Broken(str(error) or repr(error))

    def record_failure(self, server):
        """Record an attempt that broke or was given up."""
        now = time.monotonic()
        self.outliers.on_failure(server, now)
        self.placer.on_failure(server, now)

    async def _close_exchange(self, exchange, dispatch):
        self._release_server(dispatch)
        await self.client.release(exchange)

    def _release_server(self, dispatch):
        self.placer.on_end(dispatch.server)
        self.outliers.on_end(dispatch.server)

    async def free_handle(self, handle):
        """Tell an engine to drop a prefilled prompt that is not needed."""
        server = self.registry.server_at(handle.address)
        if server is not None and not self._wants_calls(server):
            # The engine drops it when the handle expires.
            return
        method, path = self.wire.encode_handle_release(handle)
        try:
            async with curio.timeout_after(self.client.connect_timeout_s):
                await self.client.call(handle.address, method, path)
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            # The engine drops it anyway when the handle expires.
            logs.event(
                'handle_not_freed', server=handle.address, error=repr(exc)
            )


def is_foreign(answer, request):
    """Say whether an answer bears the id of another request."""
    return answer.request_id not in ('', request.request_id)


def check_origin(answer, has_earlier_requests):
    """Raise `InvalidAnswer` for an answer that may be to another request.

    That is one without a request id where the connection had others: a
    server may have written the answer to one of them once more.
    """
    if has_earlier_requests and not answer.request_id:
        raise InvalidAnswer(
            'the answer has no request id on a connection with earlier '
            'requests'
        )


def check_success(answer):
    """Raise `InvalidAnswer` for a success that the server did not send."""
    if not answer.is_signed:
        raise InvalidAnswer('the success has no signature')
    if not answer.request_id:
        raise InvalidAnswer('the success has no request id')
    if answer.is_encoded:
        raise InvalidAnswer('the body was re-encoded in transit')
