"""Serves generations: prefill, hand-over, the stream and its resumption.

A long prompt is read on a prefill engine, which keeps its KV cache under a
handle; the decode engine fetches it and streams.  Whatever fails before the
decode has begun may be done again.  A stream that breaks goes on at another
engine behind the last event that the caller has, where its route allows.
"""

import time

import attrs
import curio
import curio.errors

from mangorock import events
from mangorock import metrics
from mangorock import placement
from mangorock import refusals
from mangorock import scheduler
from mangorock import sending

# A stream that may be resumed is given up when it was silent for so many
# targets before its first event, or so many allowed pauses later.
FIRST_EVENT_TARGET_FACTOR = 2.5
MAX_GAP_FACTOR = 3.0
MIN_SILENCE_LIMIT_S = 0.6
# Left of the caller's patience for the decode of a prefilled prompt.
DECODE_RESERVE_S = 0.1
MAX_PREFILL_ATTEMPTS = 2
NOT_READ = -1.0  # Told instead of seconds where a prompt was not read.


@attrs.define
class PendingPrompt:
    """A prompt that an engine reads, counted there until `end`."""

    placer: object
    server: object
    tokens: int

    started_s: float = attrs.field(factory=time.monotonic)

    def complete(self):
        """Take that the prompt was read; return how long it took."""
        seconds = time.monotonic() - self.started_s
        if self.tokens:
            self.placer.on_read(self.server, self.tokens, seconds)
        self.release()
        return seconds

    def __attrs_post_init__(self):
        self.placer.on_reading(self.server, self.tokens)

    def release(self):
        """Count the prompt out, however it ended; may be called twice."""
        self.placer.on_reading(self.server, -self.tokens)
        self.tokens = 0


@attrs.define
class EventRelay:
    """Writes the events of one answer to the caller.

    The head is that of the first server, whichever goes on later.
    """

    context: object
    reply: object
    splitter: events.EventSplitter
    is_caller_gone: bool = False
    placer: object = None
    server: object = None
    on_first_event: object = None
    last_event_at_s: float = 0.0

    def switch_server(self, placer, server, on_first_event):
        """Go on with the events of a server.

        ``on_first_event(answer)`` is called once, at the first of them.
        """
        self.placer, self.server, self.on_first_event = (
            placer,
            server,
            on_first_event,
        )
        self.last_event_at_s = 0.0

    async def feed(self, answer, data):
        """Write whole events; the first one says that the prompt is read."""
        now = time.monotonic()
        self.context.first_event_at_s = self.context.first_event_at_s or now
        if self.last_event_at_s:
            self.placer.on_gap(self.server, now - self.last_event_at_s, now)
        else:
            self.on_first_event(answer)
        self.last_event_at_s = now
        try:
            if not self.reply.is_started:
                await self.reply.start(answer.status, answer.headers, data)
            else:
                await self.reply.send(data)
        except OSError:
            self.is_caller_gone = True
            raise

    async def end(self, answer):
        """End the answer."""
        if not self.reply.is_started:
            await self.reply.start(answer.status, answer.headers)
        await self.reply.end()


@attrs.define
class Generation:
    """One generation on its way; ``gateway`` and ``context`` as elsewhere."""

    gateway: object
    context: object
    service: object
    relay: EventRelay
    prefill_attempts: int = 0
    pending_prompt: PendingPrompt | None = None
    is_notice_due: bool = False

    async def run(self):
        """Serve the request; return how it ended, for the log."""
        gateway, context = self.gateway, self.context
        while True:
            placed = await self._choose_placement()
            context.record_placement(placed.servers)
            try:
                outcome = await self._attempt(placed)
            finally:
                self._notify_scheduler(NOT_READ)
                await gateway.notify_first_waiter(context.service)
            gateway.log_attempt(context, placed.decode, outcome)
            match outcome:
                case sending.Streamed(answer):
                    await self.relay.end(answer)
                    return 'whole'
                case sending.Whole(answer, body):
                    if self._is_final(answer):
                        return await gateway.deliver(context, answer, body)
            self.relay.splitter.restart()
            gateway.prepare_retry(context, placed.decode, outcome)

    async def _choose_placement(self):
        """Return a `placement.Placement`, long prompts by the scheduler's."""
        prompt = self.context.request.prompt
        if prompt is not None and prompt.tokens >= placement.LONG_TOKENS:
            placed = await self._ask_scheduler()
            if placed is not None:
                return placed
        return await self.gateway.wait_for_placement(
            self.context, self._place_locally
        )

    async def _ask_scheduler(self):
        """Return the placement that is advised, None where nobody advises.

        Raises `errors.Overloaded` where no engine is in time.
        """
        gateway, context = self.gateway, self.context
        target_at_s = context.request.received_s + context.route.target_s
        while True:
            left_s = target_at_s - time.monotonic()
            answer = await gateway.ask_scheduler(self._make_ask(left_s))
            match answer:
                case scheduler.Assignment():
                    self.is_notice_due = True
                    return self._resolve_assignment(answer)
                case scheduler.Busy() if left_s > 0:
                    await curio.sleep(answer.wait_s)
                case scheduler.Busy():
                    raise refusals.overloaded(context, gateway.retry_after_s())
                case scheduler.Hopeless():
                    raise refusals.too_late(context, gateway.retry_after_s())
                case _:
                    return None

    def _make_ask(self, target_left_s):
        context, prompt = self.context, self.context.request.prompt
        return scheduler.Ask(
            service=context.service,
            request_id=context.request.request_id,
            document=prompt.shared_key,
            shared_tokens=prompt.shared_tokens,
            own_tokens=prompt.tokens - prompt.shared_tokens,
            max_gap_s=context.route.max_gap_s,
            target_left_s=target_left_s,
            left_s=self._first_event_left_s(),
            tried=[server_id for server_id, _ in context.tried],
        )

    def _resolve_assignment(self, assignment):
        """Return the placement in an `Assignment`, None if it will not do.

        The scheduler's register may be older than this VM's.
        """
        gateway, context = self.gateway, self.context
        usable = {s.server_id: s for s in gateway.eligible_servers(context)}
        decode = usable.get(assignment.decode)
        prefill = usable.get(assignment.prefill)
        gateway.log_assignment(context, assignment)
        if decode is None or (assignment.prefill and prefill is None):
            self._notify_scheduler(NOT_READ)
            return None
        home = usable.get(assignment.fetch_from)
        return placement.Placement(decode, prefill, assignment.tokens, home)

    def _notify_scheduler(self, seconds, decode='', load=None, failed=''):
        """Tell the scheduler what became of the prompt, once for each end."""
        if not self.is_notice_due:
            return
        self.is_notice_due = bool(load is None and seconds != NOT_READ)
        context = self.context
        notice = scheduler.Notice(
            context.service,
            context.request.request_id,
            seconds,
            failed,
            decode,
        )
        if load is not None:
            notice = attrs.evolve(
                notice,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
            )
        self.gateway.scheduler_client.tell(notice)

    def _place_locally(self):
        gateway, context = self.gateway, self.context
        servers = gateway.eligible_servers(context)
        if not servers:
            raise refusals.no_server(context, gateway.retry_after_s())
        if context.request.prompt is None:
            server = gateway.placer.place_plain(
                servers, self.service.max_connections, time.monotonic()
            )
            return server and placement.Placement(server)
        return gateway.placer.place_generation(
            self._make_demand(), servers, time.monotonic()
        )

    def _make_demand(self):
        prompt = self.context.request.prompt
        tokens = prompt.tokens
        if prompt.shared_tokens >= placement.LONG_TOKENS:
            # Some engine keeps a shared part of this size.
            tokens -= prompt.shared_tokens
        return placement.Demand(prompt, tokens, self.context.route.max_gap_s)

    def _is_final(self, answer):
        if self.relay.reply.is_started:
            return False
        return not self.gateway.should_retry(self.context, answer)

    async def _attempt(self, placed):
        """Prefill where that was placed, then decode."""
        handle = None
        placer = self.gateway.placer
        reader = placed.prefill or placed.decode
        self.pending_prompt = PendingPrompt(placer, reader, placed.tokens)
        is_handle_used = False
        try:
            if placed.prefill is not None:
                handle = await self._prefill(placed)
                self.context.prompt_read_at_s = time.monotonic()
                if handle is None:
                    return sending.Unsent('the prompt was not read')
                self._notify_scheduler(self.pending_prompt.complete())
            self.relay.switch_server(
                placer, placed.decode, self._on_first_event
            )
            outcome = await self._decode(placed, handle)
            is_handle_used = isinstance(outcome, sending.Streamed)
            return outcome
        finally:
            self.pending_prompt.release()
            if handle is not None and not is_handle_used:
                await curio.spawn(
                    self.gateway.sender.free, handle, daemon=True
                )

    def _on_first_event(self, answer):
        """Take the first event: the prompt is read, and a load was told."""
        seconds = self.pending_prompt.complete()
        self._notify_scheduler(
            seconds, self.relay.server.server_id, answer.load
        )

    async def _prefill(self, placed):
        """Return a `traffic.Handle`, or None to decode without one."""
        gateway = self.gateway
        # The place at the decode engine is held meanwhile.
        gateway.placer.on_send(placed.decode)
        try:
            return await self._request_prefill(placed.prefill, placed.home)
        finally:
            gateway.placer.on_end(placed.decode)

    async def _request_prefill(self, server, home):
        gateway, context = self.gateway, self.context
        if self.prefill_attempts:
            if (
                self.prefill_attempts >= MAX_PREFILL_ATTEMPTS
                or not gateway.retry_budget.spend()
            ):
                return None
            gateway.metrics.retried(metrics.Retry.PREFILL)
        self.prefill_attempts += 1
        dispatch = gateway.make_dispatch(
            context,
            server,
            is_prefill=True,
            fetch_from=home.address if home else '',
        )
        wait_s = self._first_event_left_s() - DECODE_RESERVE_S
        if wait_s <= 0:
            raise refusals.too_late(context, gateway.retry_after_s())
        try:
            async with curio.timeout_after(wait_s):
                outcome = await gateway.sender.call(
                    context.request, dispatch, True
                )
        except curio.errors.TaskTimeout:
            gateway.sender.failed(server)
            self._notify_scheduler(NOT_READ, failed=server.server_id)
            raise refusals.too_late(context, gateway.retry_after_s())
        match outcome:
            case sending.Whole(answer, body) if answer.is_success:
                return gateway.wire.decode_handle(server.address, body)
        context.tried.add(server.life)
        gateway.log_attempt(context, server, outcome)
        if not isinstance(outcome, sending.Refused):
            self._notify_scheduler(NOT_READ, failed=server.server_id)
        return None

    async def _decode(self, placed, handle):
        gateway, context = self.gateway, self.context
        server, home = placed.decode, placed.home
        is_cached_elsewhere = handle is None and home not in (None, server)
        if not gateway.registry.is_usable(server, time.monotonic()):
            return sending.Unsent('the server is leaving')
        dispatch = gateway.make_dispatch(
            context,
            server,
            handle=handle,
            fetch_from=home.address if is_cached_elsewhere else '',
            resume_after=self.relay.splitter.last_id,
        )
        context.sends += 1
        may_have_run_before, context.may_have_run = context.may_have_run, True
        outcome = await gateway.sender.stream(
            context.request, dispatch, self.relay, self._silence_limits()
        )
        context.record_outcome(outcome, may_have_run_before)
        if isinstance(outcome, (sending.Broken, sending.Unreachable)):
            self._notify_scheduler(NOT_READ, failed=server.server_id)
        return outcome

    def _first_event_left_s(self):
        """Return the seconds within which the caller waits for an event."""
        patience_s = self.context.route.patience_s
        if patience_s is None:
            return self.context.left_s
        waited_s = time.monotonic() - self.context.request.received_s
        return min(self.context.left_s, patience_s - waited_s)

    def _silence_limits(self):
        route = self.context.route
        can_resume = (
            route.is_resumable and self.context.sends < route.max_servers
        )
        if not can_resume:
            return sending.Patience(route.is_repeatable)
        return sending.Patience(
            True,
            max(MIN_SILENCE_LIMIT_S, FIRST_EVENT_TARGET_FACTOR * route.target_s),
            max(MIN_SILENCE_LIMIT_S, MAX_GAP_FACTOR * route.max_gap_s),
        )


async def serve(gateway, context, service):
    """Serve a stream; return how it ended, for the log."""
    splitter = events.EventSplitter(context.request.last_event_id)
    relay = EventRelay(context, context.reply, splitter)
    generation = Generation(gateway, context, service, relay)
    return await generation.run()
