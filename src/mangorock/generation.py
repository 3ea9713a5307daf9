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
SILENT_TARGETS = 2.5
SILENT_GAPS = 3.0
MIN_SILENT_S = 0.6
# Left of the caller's patience for the decode of a prefilled prompt.
DECODE_S = 0.1
MAX_PREFILLS = 2
NOT_READ = -1.0  # Told instead of seconds where a prompt was not read.


@attrs.define
class Reading:
    """A prompt that an engine reads, counted there until `end`."""

    placer: object
    server: object
    tokens: int

    since_s: float = attrs.field(factory=time.monotonic)

    def done(self):
        """Take that the prompt was read; return how long it took."""
        seconds = time.monotonic() - self.since_s
        if self.tokens:
            self.placer.on_read(self.server, self.tokens, seconds)
        self.end()
        return seconds

    def __attrs_post_init__(self):
        self.placer.on_reading(self.server, self.tokens)

    def end(self):
        """Count the prompt out, however it ended; may be called twice."""
        self.placer.on_reading(self.server, -self.tokens)
        self.tokens = 0


@attrs.define
class Relay:
    """Writes the events of one answer to the caller.

    The head is that of the first server, whichever goes on later.
    """

    work: object
    reply: object
    splitter: events.EventSplitter
    is_caller_gone: bool = False
    placer: object = None
    server: object = None
    on_first: object = None
    last_s: float = 0.0

    def follow(self, placer, server, on_first):
        """Go on with the events of a server.

        ``on_first(answer)`` is called once, at the first of them.
        """
        self.placer, self.server, self.on_first = placer, server, on_first
        self.last_s = 0.0

    async def feed(self, answer, data):
        """Write whole events; the first one says that the prompt is read."""
        now = time.monotonic()
        self.work.first_s = self.work.first_s or now
        if self.last_s:
            self.placer.on_gap(self.server, now - self.last_s, now)
        else:
            self.on_first(answer)
        self.last_s = now
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
    """One generation on its way; ``gateway`` and ``work`` as elsewhere."""

    gateway: object
    work: object
    service: object
    relay: Relay
    prefills: int = 0
    reading: Reading | None = None
    is_scheduled: bool = False

    async def run(self):
        """Serve the request; return how it ended, for the log."""
        gateway, work = self.gateway, self.work
        while True:
            placed = await self._find_place()
            work.place(placed.servers)
            try:
                outcome = await self._attempt(placed)
            finally:
                self._tell(NOT_READ)
                await gateway.wake(work.service)
            gateway.log_attempt(work, placed.decode, outcome)
            match outcome:
                case sending.Streamed(answer):
                    await self.relay.end(answer)
                    return 'whole'
                case sending.Whole(answer, body):
                    if self._is_final(answer):
                        return await gateway.deliver(work, answer, body)
            self.relay.splitter.restart()
            gateway.next_try(work, placed.decode, outcome)

    async def _find_place(self):
        """Return a `placement.Placement`, long prompts by the scheduler's."""
        prompt = self.work.request.prompt
        if prompt is not None and prompt.tokens >= placement.LONG_TOKENS:
            placed = await self._consult()
            if placed is not None:
                return placed
        return await self.gateway.wait(self.work, self._place)

    async def _consult(self):
        """Return the placement that is advised, None where nobody advises.

        Raises `errors.Overloaded` where no engine is in time.
        """
        gateway, work = self.gateway, self.work
        target_at_s = work.request.received_s + work.route.target_s
        while True:
            left_s = target_at_s - time.monotonic()
            answer = await gateway.consult(self._ask(left_s))
            match answer:
                case scheduler.Assignment():
                    self.is_scheduled = True
                    return self._follow(answer)
                case scheduler.Busy() if left_s > 0:
                    await curio.sleep(answer.wait_s)
                case scheduler.Busy():
                    raise refusals.overloaded(work, gateway.retry_after_s())
                case scheduler.Hopeless():
                    raise refusals.too_late(work, gateway.retry_after_s())
                case _:
                    return None

    def _ask(self, target_left_s):
        work, prompt = self.work, self.work.request.prompt
        return scheduler.Ask(
            service=work.service,
            request_id=work.request.request_id,
            document=prompt.shared_key,
            shared_tokens=prompt.shared_tokens,
            own_tokens=prompt.tokens - prompt.shared_tokens,
            max_gap_s=work.route.max_gap_s,
            target_left_s=target_left_s,
            left_s=self._left_s(),
            tried=[server_id for server_id, _ in work.tried],
        )

    def _follow(self, assignment):
        """Return the placement in an `Assignment`, None if it will not do.

        The scheduler's register may be older than this VM's.
        """
        gateway, work = self.gateway, self.work
        usable = {s.server_id: s for s in gateway.servers(work)}
        decode = usable.get(assignment.decode)
        prefill = usable.get(assignment.prefill)
        gateway.log_assignment(work, assignment)
        if decode is None or (assignment.prefill and prefill is None):
            self._tell(NOT_READ)
            return None
        home = usable.get(assignment.fetch_from)
        return placement.Placement(decode, prefill, assignment.tokens, home)

    def _tell(self, seconds, decode='', load=None, failed=''):
        """Tell the scheduler what became of the prompt, once for each end."""
        if not self.is_scheduled:
            return
        self.is_scheduled = bool(load is None and seconds != NOT_READ)
        work = self.work
        notice = scheduler.Notice(
            work.service, work.request.request_id, seconds, failed, decode
        )
        if load is not None:
            notice = attrs.evolve(
                notice,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
            )
        self.gateway.consultant.report_outcome(notice)

    def _place(self):
        gateway, work = self.gateway, self.work
        servers = gateway.servers(work)
        if not servers:
            raise refusals.no_server(work, gateway.retry_after_s())
        if work.request.prompt is None:
            server = gateway.placer.place_plain(
                servers, self.service.max_connections, time.monotonic()
            )
            return server and placement.Placement(server)
        return gateway.placer.place_generation(
            self._demand(), servers, time.monotonic()
        )

    def _demand(self):
        prompt = self.work.request.prompt
        tokens = prompt.tokens
        if prompt.shared_tokens >= placement.LONG_TOKENS:
            # Some engine keeps a shared part of this size.
            tokens -= prompt.shared_tokens
        return placement.Demand(prompt, tokens, self.work.route.max_gap_s)

    def _is_final(self, answer):
        if self.relay.reply.is_started:
            return False
        return not self.gateway.is_worth_retry(self.work, answer)

    async def _attempt(self, placed):
        """Prefill where that was placed, then decode."""
        handle = None
        placer = self.gateway.placer
        reader = placed.prefill or placed.decode
        self.reading = Reading(placer, reader, placed.tokens)
        is_taken = False
        try:
            if placed.prefill is not None:
                handle = await self._prefill(placed)
                self.work.read_s = time.monotonic()
                if handle is None:
                    return sending.Unsent('the prompt was not read')
                self._tell(self.reading.done())
            self.relay.follow(placer, placed.decode, self._on_first)
            outcome = await self._decode(placed, handle)
            is_taken = isinstance(outcome, sending.Streamed)
            return outcome
        finally:
            self.reading.end()
            if handle is not None and not is_taken:
                await curio.spawn(
                    self.gateway.sender.free, handle, daemon=True
                )

    def _on_first(self, answer):
        """Take the first event: the prompt is read, and a load was told."""
        seconds = self.reading.done()
        self._tell(seconds, self.relay.server.server_id, answer.load)

    async def _prefill(self, placed):
        """Return a `traffic.Handle`, or None to decode without one."""
        gateway = self.gateway
        # The place at the decode engine is held meanwhile.
        gateway.placer.on_send(placed.decode)
        try:
            return await self._call_prefill(placed.prefill, placed.home)
        finally:
            gateway.placer.on_end(placed.decode)

    async def _call_prefill(self, server, home):
        gateway, work = self.gateway, self.work
        if self.prefills:
            if self.prefills >= MAX_PREFILLS or not gateway.budget.spend():
                return None
            gateway.metrics.retried(metrics.Retry.PREFILL)
        self.prefills += 1
        dispatch = gateway.dispatch(
            work,
            server,
            is_prefill=True,
            fetch_from=home.address if home else '',
        )
        wait_s = self._left_s() - DECODE_S
        if wait_s <= 0:
            raise refusals.too_late(work, gateway.retry_after_s())
        try:
            async with curio.timeout_after(wait_s):
                outcome = await gateway.sender.call(
                    work.request, dispatch, True
                )
        except curio.errors.TaskTimeout:
            gateway.sender.failed(server)
            self._tell(NOT_READ, failed=server.server_id)
            raise refusals.too_late(work, gateway.retry_after_s())
        match outcome:
            case sending.Whole(answer, body) if answer.is_success:
                return gateway.wire.decode_handle(server.address, body)
        work.tried.add(server.incarnation)
        gateway.log_attempt(work, server, outcome)
        if not isinstance(outcome, sending.Refused):
            self._tell(NOT_READ, failed=server.server_id)
        return None

    async def _decode(self, placed, handle):
        gateway, work = self.gateway, self.work
        server, home = placed.decode, placed.home
        is_strange = handle is None and home not in (None, server)
        if not gateway.registry.is_usable(server, time.monotonic()):
            return sending.Unsent('the server is leaving')
        dispatch = gateway.dispatch(
            work,
            server,
            handle=handle,
            fetch_from=home.address if is_strange else '',
            resume_after=self.relay.splitter.last_id,
        )
        work.sends += 1
        was_run, work.may_have_run = work.may_have_run, True
        outcome = await gateway.sender.stream(
            work.request, dispatch, self.relay, self._patience()
        )
        work.settle(outcome, was_run)
        if isinstance(outcome, (sending.Broken, sending.Unreachable)):
            self._tell(NOT_READ, failed=server.server_id)
        return outcome

    def _left_s(self):
        """Return the seconds within which the caller waits for an event."""
        patience_s = self.work.route.caller_read_timeout_s
        if patience_s is None:
            return self.work.left_s
        waited_s = time.monotonic() - self.work.request.received_s
        return min(self.work.left_s, patience_s - waited_s)

    def _patience(self):
        route = self.work.route
        can_resume = route.is_resumable and self.work.sends < route.max_servers
        if not can_resume:
            return sending.Patience(route.is_repeatable)
        return sending.Patience(
            True,
            max(MIN_SILENT_S, SILENT_TARGETS * route.target_s),
            max(MIN_SILENT_S, SILENT_GAPS * route.max_gap_s),
        )


async def serve(gateway, work, service):
    """Serve a stream; return how it ended, for the log."""
    splitter = events.EventSplitter(work.request.last_event_id)
    relay = Relay(work, work.reply, splitter)
    generation = Generation(gateway, work, service, relay)
    return await generation.run()
