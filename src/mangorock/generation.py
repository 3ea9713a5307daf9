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
from mangorock import clocks
from mangorock import delivery
from mangorock import events
from mangorock import limit_refusals
from mangorock import messages
from mangorock import metrics
from mangorock import placement
from mangorock import prefill
from mangorock import queueing
from mangorock import refusals
from mangorock import retries
from mangorock import scheduled_prompt
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
    `context.RequestContext`, ``scheduled`` its prompt at the scheduler.
    """

    gateway: object
    context: object
    service: object
    relay: delivery.EventRelay
    prefill_attempts: int = 0
    pending_prompt: prefill.PendingPrompt | None = None
    scheduled: scheduled_prompt.ScheduledPrompt = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.scheduled = scheduled_prompt.ScheduledPrompt(
            self.gateway, self.context, self.service, self.relay
        )

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
                self.scheduled.notify(messages.NOT_PREFILLED)
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
            and self.scheduled.may_be_placed()
        ):
            placed = await self.scheduled.place()
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

    def _place_locally(self):
        gateway, context = self.gateway, self.context
        servers = gateway.eligible_servers(context)
        if not servers and not self.relay.reply.is_started:
            limit_refusals.check_any(gateway, context, self._wait().until_s)
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
            self._make_demand(), servers, time.monotonic()
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
        if (
            scheduled_prompt.first_event_left_s(self.context, self.relay)
            <= needed_s
        ):
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
        self.scheduled.notify(messages.NOT_PREFILLED)
        raise refusals.backend_refused(
            self.context,
            self.gateway.retry_after_s(self.context.service),
        )

    def _make_demand(self):
        route = self.context.route
        return placement.Demand(
            self.context.request.prompt,
            route.max_gap_s,
            route.target_s,
            self.service.engine.slots if self.service.engine else 1,
            tuple(self.gateway.untried_servers(self.context)),
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
        is_handle_used = has_slot = False
        try:
            if placed.prefill is not None:
                # Later the engine might take no request of this VM.
                rates = self.gateway.registry.rates
                has_slot = rates.take(placed.decode, time.time())
                if not has_slot:
                    return sending.Unsent(sending.AT_LIMIT)
                handle = await self._prefill(placed)
                self.context.prompt_read_at_s = time.monotonic()
                if handle is None:
                    return sending.Unsent('no engine processed the prompt')
                self.scheduled.notify(self.pending_prompt.complete())
            self.relay.switch_server(
                placer,
                placed.decode,
                self._on_first_event,
                self.scheduled.report_pace,
            )
            try:
                outcome = await self._decode(placed, handle, has_slot)
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

    def _on_first_event(self, answer):
        """Record that the prompt is processed; report the engine load."""
        self.gateway.count_start(self.context)
        seconds = self.pending_prompt.complete()
        self.scheduled.notify(
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
        wait_s = (
            scheduled_prompt.first_event_left_s(self.context, self.relay)
            - DECODE_RESERVE_S
        )
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
            self.scheduled.notify(
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
            self.scheduled.notify(
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

    async def _decode(self, placed, handle, has_slot):
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
            has_slot=has_slot,
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
            self.scheduled.notify(
                messages.NOT_PREFILLED, failed=server.server_id
            )
        if isinstance(outcome, sending.Refused) and handle is not None:
            # The engine that kept the KV cache may have lost it.
            self.scheduled.notify(
                messages.NOT_PREFILLED, failed=placed.prefill.server_id
            )
        return outcome


async def serve(gateway, context, service):
    """Serve a stream; return the result for the log."""
    splitter = events.EventSplitter(context.request.last_event_id)
    relay = delivery.EventRelay(context, context.reply, splitter)
    generation = Generation(gateway, context, service, relay)
    return await generation.run()
