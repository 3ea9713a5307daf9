"""Serves generations: prefill, KV cache transfer, streaming, resumption.

A long prompt is processed by a prefill engine, which keeps its KV cache under
a handle; the decode engine fetches the cache and streams the output.  Steps
that fail before the decode begins may be repeated.  If the route allows it, a
stream that breaks is resumed on another engine after the last event that the
caller received.
"""

import time

import attrs
import curio
import curio.errors

from mangorock import accounting
from mangorock import admission
from mangorock import clocks
from mangorock import delivery
from mangorock import events
from mangorock import limited
from mangorock import logs
from mangorock import messages
from mangorock import metrics
from mangorock import placement
from mangorock import prefill
from mangorock import queueing
from mangorock import refusals
from mangorock import retries
from mangorock import sending
from mangorock import silence
from mangorock import waiting

# Part of the time until the caller gives up that prefill leaves to decode.
DECODE_RESERVE_S = 0.1
MAX_PREFILL_ATTEMPTS = 2


@attrs.define
class Generation:
    """Serves one generation over all its attempts.

    ``gateway`` is the `gateway.Gateway`, ``context`` the
    `context.RequestContext`.  ``is_notice_due`` is set while the shared
    scheduler expects to hear what became of the prompt.
    """

    gateway: object
    context: object
    service: object
    relay: delivery.EventRelay
    prefill_attempts: int = 0
    pending_prompt: prefill.PendingPrompt | None = None
    is_notice_due: bool = False

    async def run(self):
        """Serve the request; return the result for the log."""
        gateway, context = self.gateway, self.context
        while True:
            placed = await self._choose_placement()
            if placed.prefill is not None and not self._may_prefill():
                placed = self._avoid_prefill(placed)
            context.record_placement(placed.servers)
            try:
                outcome = await self._attempt(placed)
            finally:
                self._notify_scheduler(messages.NOT_PREFILLED)
                await gateway.notify_first_waiter(context.service)
            await accounting.record_attempt(
                gateway, context, placed.decode, outcome
            )
            match outcome:
                case sending.Streamed(answer):
                    await self.relay.end(answer)
                    return 'whole'
                case sending.Whole(answer, body):
                    if self._is_final(answer):
                        return await gateway.deliver(context, answer, body)
            if self.relay.reply.is_started and not self.relay.is_resumable:
                raise refusals.backend_broken()
            self.relay.splitter.restart()
            retries.prepare(gateway, context, placed.decode, outcome)

    async def _choose_placement(self):
        """Return a `placement.Placement`.

        Prompts of routes with long ones are placed by the shared scheduler
        if it answers, all others by this VM.
        """
        context, prompt = self.context, self.context.request.prompt
        is_generation = self.service.engine is not None and prompt is not None
        if (
            is_generation
            and self.gateway.placer.is_long(
                context.route,
                context.service,
                max(0, prompt.tokens - prompt.shared_tokens),
            )
            and self._may_ask_scheduler()
        ):
            placed = await self._ask_scheduler()
            if placed is not None:
                return placed
        return await queueing.wait_for_placement(
            self.gateway, self.context, self._place_locally, self._wait()
        )

    def _wait(self):
        """Return the `waiting.Wait`.

        A stream that was begun waits until its deadline, as a caller that
        has lost its patience closes the connection.
        """
        if not self.relay.reply.is_started:
            return waiting.wait_of_new_request(self.context)
        deadline_s = self.context.deadline_s
        return waiting.Wait(
            messages.RESUMED_PRIORITY,
            deadline_s,
            True,
            self.context.account_name,
        )

    def _limited(self, servers):
        """Return the incarnations of the servers that state limits."""
        return self.gateway.registry.rates.limited(servers, time.time())

    def _may_ask_scheduler(self):
        """Say whether an engine that decodes is left to the scheduler.

        It does not know the slots of this VM under the limits of engines.
        """
        servers = self.gateway.untried_servers(self.context)
        avoided = self._limited(servers)
        return not avoided or any(
            not server.is_prefill_only and server.incarnation not in avoided
            for server in servers
        )

    async def _ask_scheduler(self):
        """Return the placement that the shared scheduler chose.

        Returns None if no scheduler answers or its choice is not usable
        here.  Raises `errors.Overloaded` if no engine can answer in time.
        """
        gateway, context = self.gateway, self.context
        try:
            self._make_request()
        except ValueError as exc:
            # The caller's headers describe a prompt that no engine can take.
            logs.event(
                'prompt_not_schedulable',
                request=context.request.request_id,
                error=exc,
            )
            return None
        match await gateway.ask_scheduler(self._make_request):
            case messages.Assignment() as assignment:
                self.is_notice_due = True
                return self._resolve_assignment(assignment)
            case messages.Rejection(retry_after_s):
                if self.relay.reply.is_started or context.may_have_run:
                    return None
                raise refusals.no_answer_in_time(
                    context, gateway.spread(retry_after_s)
                )
        return None

    def _make_request(self):
        """Return the `messages.PlacementRequest` as of now.

        A stream that is resumed comes first: its caller waits for the next
        event.
        """
        context, prompt = self.context, self.context.request.prompt
        admission.check_sendable(self.gateway, context)
        route, now = context.route, time.monotonic()
        priority = context.priority
        target_at_s = context.request.received_s + route.target_s
        if self.relay.reply.is_started:
            priority = messages.RESUMED_PRIORITY
            target_at_s = now + route.max_gap_s
        shared_tokens = min(prompt.shared_tokens, prompt.tokens)
        return messages.PlacementRequest(
            service=context.service,
            request_id=context.request.request_id,
            document=prompt.shared_part_id,
            shared_tokens=shared_tokens,
            own_tokens=prompt.tokens - shared_tokens,
            max_gap_s=route.max_gap_s,
            target_s=route.target_s,
            target_left_s=target_at_s - now,
            left_s=self._first_event_left_s(),
            priority=priority,
            end_left_s=context.left_s,
            output_events=prompt.expected_output_tokens
            / self.service.engine.event_tokens,
            tried=[
                server_id
                for server_id, _ in context.tried
                | self._limited(self.gateway.untried_servers(context))
            ],
            account=context.account_name,
        )

    def _resolve_assignment(self, assignment):
        """Return the placement of an assignment, None if it is not usable.

        The scheduler's register may be older than this VM's and name
        servers that this VM no longer uses.
        """
        gateway, context = self.gateway, self.context
        usable = {s.server_id: s for s in gateway.eligible_servers(context)}
        decode = usable.get(assignment.decode)
        prefill = usable.get(assignment.prefill)
        accounting.log_assignment(context, assignment)
        if decode is None or (assignment.prefill and prefill is None):
            self._notify_scheduler(messages.NOT_PREFILLED)
            return None
        return placement.Placement(
            decode,
            prefill,
            assignment.tokens,
            usable.get(assignment.fetch_from),
            assignment.cost_s,
        )

    def _notify_scheduler(self, seconds, decode='', load=None, failed=''):
        """Report to the scheduler what became of the prompt.

        A prompt may be reported as processed first and with the load of
        its decode engine later; after a report with a load or of a prompt
        that was not processed no other one follows.
        """
        if not self.is_notice_due:
            return
        self.is_notice_due = bool(
            load is None and seconds != messages.NOT_PREFILLED
        )
        context = self.context
        outcome = messages.Outcome(
            context.service,
            context.request.request_id,
            seconds,
            failed,
            decode,
        )
        if load is not None:
            outcome = attrs.evolve(
                outcome,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
            )
        self.gateway.scheduler_endpoint.report_outcome(outcome)

    def _place_locally(self):
        gateway, context = self.gateway, self.context
        servers = gateway.eligible_servers(context)
        if not servers and not self.relay.reply.is_started:
            limited.check_any(gateway, context, self._wait().until_s)
        return self._place_on(servers)

    def _place_on(self, servers):
        """Return a placement on some of ``servers``, None if all are full."""
        placer = self.gateway.placer
        if self.context.request.prompt is None:
            server = placer.place_plain(
                servers, self.service.max_connections, time.monotonic()
            )
            return server and placement.Placement(server)
        return placer.place_generation(
            self._make_demand(servers), servers, time.monotonic()
        )

    def _place_replacement(self, servers):
        """Return a placement for which time and retry budget suffice, or None.

        What a prefill costs beside the decode is reserved.
        """
        placed = self._place_on(servers)
        if placed is None:
            return None
        if not self.context.is_prefill_left:
            placed = attrs.evolve(placed, prefill=None)
        reader = placed.prefill or placed.decode
        model = self.gateway.placer.model
        needed_s = DECODE_RESERVE_S + model.seconds(reader, placed.tokens)
        if self._first_event_left_s() <= needed_s:
            return None
        if placed.prefill is None:
            return placed
        return placed if self._may_prefill() else None

    def _may_prefill(self):
        """Reserve a prefill and its decode; return whether that is allowed."""
        return (
            self.prefill_attempts < MAX_PREFILL_ATTEMPTS
            and self.context.is_prefill_left
            and self.context.ledger.reserve(clocks.boot_clock(), True)
        )

    def _avoid_prefill(self, placed):
        """Return the placement without its prefill engine.

        The decode engine prefills then, which delays its other streams: only
        an answer that was begun is worth that, or a request that the route
        allows on one more server only.  Raises `errors.BackendRefused` for
        others.
        """
        if self.relay.reply.is_started or not self.context.is_prefill_left:
            return attrs.evolve(placed, prefill=None)
        self._notify_scheduler(messages.NOT_PREFILLED)
        raise refusals.backend_refused(
            self.context,
            self.gateway.retry_after_s(self.context.service),
        )

    def _make_demand(self, servers):
        route = self.context.route
        return placement.Demand(
            self.context.request.prompt,
            route.max_gap_s,
            route.target_s,
            self.service.engine.slots if self.service.engine else 1,
            self._limited(servers),
        )

    def _is_final(self, answer):
        if self.relay.reply.is_started:
            return False
        return not retries.is_due(self.gateway, self.context, answer)

    async def _attempt(self, placed):
        """Prefill if the placement names a prefill engine, then decode."""
        handle = None
        placer = self.gateway.placer
        reader = placed.prefill or placed.decode
        self.pending_prompt = prefill.PendingPrompt(
            placer, reader, placed.tokens, placed.cost_s
        )
        is_handle_used = False
        try:
            if placed.prefill is not None:
                handle = await self._prefill(placed)
                self.context.prompt_read_at_s = time.monotonic()
                if handle is None:
                    return sending.Unsent('no engine processed the prompt')
                self._notify_scheduler(self.pending_prompt.complete())
            self.relay.switch_server(
                placer, placed.decode, self._on_first_event, self._report_pace
            )
            try:
                outcome = await self._decode(placed, handle)
            finally:
                self.relay.report_pace()
            is_handle_used = isinstance(outcome, sending.Streamed)
            return outcome
        finally:
            self.pending_prompt.release()
            if handle is not None and not is_handle_used:
                await curio.spawn(
                    self.gateway.sender.free_handle, handle, daemon=True
                )

    def _report_pace(self, server, event_count, seconds):
        """Tell the scheduler how fast events of a stream came."""
        endpoint = self.gateway.scheduler_endpoint
        if endpoint is not None and event_count > 1:
            endpoint.report_pace(
                messages.StreamPace(
                    self.context.service,
                    server.server_id,
                    event_count,
                    seconds,
                )
            )

    def _on_first_event(self, answer):
        """Record that the prompt is processed; report the engine load."""
        self.gateway.count_start(self.context)
        seconds = self.pending_prompt.complete()
        self._notify_scheduler(
            seconds, self.relay.server.server_id, answer.load
        )

    async def _prefill(self, placed):
        """Return a `traffic.Handle`, or None if the prefill failed."""
        gateway = self.gateway
        # Reserves the slot at the decode engine during the prefill.
        gateway.placer.on_send(placed.decode)
        try:
            return await self._request_prefill(
                placed.prefill, placed.affinity_server
            )
        finally:
            gateway.placer.on_end(placed.decode)

    async def _request_prefill(self, server, affinity_server):
        gateway, context = self.gateway, self.context
        if not gateway.registry.is_usable(server, time.monotonic()):
            return None
        if self.prefill_attempts:
            gateway.metrics.count_retry(metrics.RetryReason.PREFILL)
        self.prefill_attempts += 1
        dispatch = gateway.make_dispatch(
            context,
            server,
            is_prefill=True,
            fetch_from=self._source_address(affinity_server),
        )
        wait_s = self._first_event_left_s() - DECODE_RESERVE_S
        if self.relay.reply.is_started:
            wait_s = context.left_s
        if wait_s <= 0:
            raise refusals.no_answer_in_time(
                context, gateway.retry_after_s(context.service)
            )
        context.prefills += 1
        try:
            async with curio.timeout_after(wait_s):
                outcome = await gateway.sender.call(
                    context.request, dispatch, silence.SilenceLimits(True)
                )
        except curio.errors.TaskTimeout:
            gateway.sender.record_failure(server)
            self._notify_scheduler(
                messages.NOT_PREFILLED, failed=server.server_id
            )
            raise refusals.no_answer_in_time(
                context, gateway.retry_after_s(context.service)
            )
        match outcome:
            case sending.Whole(answer, body) if answer.is_success:
                context.ledger.on_prefilled()
                return gateway.wire.decode_handle(server.address, body)
            case sending.Unreachable() | sending.Unsent():
                context.ledger.on_unreachable()
                context.prefills -= 1
            case sending.Refused():
                context.prefills -= 1
        context.tried.add(server.incarnation)
        await accounting.record_attempt(gateway, context, server, outcome)
        if not isinstance(outcome, (sending.Refused, sending.Unsent)):
            self._notify_scheduler(
                messages.NOT_PREFILLED, failed=server.server_id
            )
        return None

    def _source_address(self, server):
        """Return the address to fetch a cached prefix from, '' for none.

        A server may have become unusable since the request was placed.
        """
        is_usable = self.gateway.registry.is_usable
        if server is None or not is_usable(server, time.monotonic()):
            return ''
        return server.address

    async def _decode(self, placed, handle):
        gateway, context = self.gateway, self.context
        server, affinity_server = placed.decode, placed.affinity_server
        is_cached_elsewhere = handle is None and affinity_server not in (
            None,
            server,
        )
        if not gateway.registry.is_usable(server, time.monotonic()):
            return sending.Unsent('the server is draining or gone')
        dispatch = gateway.make_dispatch(
            context,
            server,
            handle=handle,
            fetch_from=self._source_address(affinity_server)
            if is_cached_elsewhere
            else '',
            resume_after=self.relay.splitter.last_id,
        )
        limits = silence.limits_of_stream(
            context,
            lambda: gateway.can_replace(
                context, server, self._place_replacement
            ),
        )
        may_have_run_before = context.begin_attempt()
        outcome = await gateway.sender.stream(
            context.request, dispatch, self.relay, limits
        )
        context.record_outcome(outcome, may_have_run_before)
        if isinstance(outcome, (sending.Broken, sending.Unreachable)):
            self._notify_scheduler(
                messages.NOT_PREFILLED, failed=server.server_id
            )
        if isinstance(outcome, sending.Refused) and handle is not None:
            # The engine that kept the KV cache may have lost it.
            self._notify_scheduler(
                messages.NOT_PREFILLED, failed=placed.prefill.server_id
            )
        return outcome

    def _first_event_left_s(self):
        """Return how long the caller still waits for the first event."""
        caller_read_timeout_s = self.context.route.caller_read_timeout_s
        if caller_read_timeout_s is None:
            return self.context.left_s
        waiting_since_s = self.context.request.received_s
        if self.relay.reply.is_started:
            waiting_since_s = self.relay.delivered_at_s
        waited_s = time.monotonic() - waiting_since_s
        return min(self.context.left_s, caller_read_timeout_s - waited_s)


async def serve(gateway, context, service):
    """Serve a stream; return the result for the log."""
    splitter = events.EventSplitter(context.request.last_event_id)
    relay = delivery.EventRelay(context, context.reply, splitter)
    generation = Generation(gateway, context, service, relay)
    return await generation.run()
