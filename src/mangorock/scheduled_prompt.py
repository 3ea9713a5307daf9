"""Places a prompt by the shared scheduler and tells it what became of it.

The scheduler (``consultation``) counts on an outcome for each prompt that it
assigned, since the prompts behind it depend on that.
"""

import time

import attrs

from mangorock import accounting
from mangorock import admission
from mangorock import logs
from mangorock import messages
from mangorock import placement
from mangorock import refusals


@attrs.define
class ScheduledPrompt:
    """The prompt of one request, as the shared scheduler knows it.

    ``gateway`` is the `gateway.Gateway`, ``context`` the
    `context.RequestContext`, ``relay`` the `delivery.EventRelay`.
    ``is_notice_due`` is set while the scheduler expects to hear what became
    of the prompt.
    """

    gateway: object
    context: object
    service: object
    relay: object
    is_notice_due: bool = False

    def may_be_placed(self):
        """Say whether an engine that decodes is left to the scheduler.

        It gets only those for which this VM has a slot under their limits.
        """
        avoided = self.gateway.ids_at_limit(self.context)
        return not avoided or any(
            not server.is_prefill_only and server.server_id not in avoided
            for server in self.gateway.untried_servers(self.context)
        )

    async def place(self):
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
            left_s=first_event_left_s(self.context, self.relay),
            priority=priority,
            end_left_s=context.left_s,
            output_events=prompt.expected_output_tokens
            / self.service.engine.event_tokens,
            tried=[server_id for server_id, _ in context.tried],
            account=context.account_name,
            avoided=self.gateway.ids_at_limit(context),
        )

    def _resolve_assignment(self, assignment):
        """Return the placement of an assignment, None if it is not usable.

        The scheduler's register may be older than this VM's and name
        servers that this VM no longer uses.
        """
        gateway, context = self.gateway, self.context
        untried = gateway.untried_servers(context)
        known = {server.server_id: server for server in untried}
        usable = {s.server_id: s for s in gateway.eligible_servers(context)}
        decode = usable.get(assignment.decode)
        prefill = usable.get(assignment.prefill)
        accounting.log_assignment(context, assignment)
        if decode is None or (assignment.prefill and prefill is None):
            self.notify(messages.NOT_PREFILLED)
            return None
        return placement.Placement(
            decode,
            prefill,
            assignment.tokens,
            known.get(assignment.fetch_from),
            assignment.cost_s,
        )

    def notify(self, seconds, decode='', load=None, failed=''):
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

    def report_pace(self, server, event_count, seconds):
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


def first_event_left_s(context, relay):
    """Return how long the caller still waits for the first event."""
    caller_read_timeout_s = context.route.caller_read_timeout_s
    if caller_read_timeout_s is None:
        return context.left_s
    waiting_since_s = context.request.received_s
    if relay.reply.is_started:
        waiting_since_s = relay.delivered_at_s
    waited_s = time.monotonic() - waiting_since_s
    return min(context.left_s, caller_read_timeout_s - waited_s)
