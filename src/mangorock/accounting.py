"""Logs and counts how each request ended.

Every request gets one ``request_done`` line.  Its ``answer`` says whether
the whole answer, a part or none of it was written to the caller.  A request
without a whole answer whose caller was still there is counted as
``unanswered`` and logged as a warning, whatever the reason was.
"""

import time

import attrs

from mangorock import clocks
from mangorock import errors
from mangorock import ingress
from mangorock import logs
from mangorock import sending


# The callers choose the parts of their prompts.
MAX_LOGGED_CHARS = 200
# Ends of requests for which the servers had no room.
LACKS_ROOM = frozenset(
    (
        errors.Reason.OVERLOADED.value,
        errors.Reason.BACKEND_REFUSED.value,
        errors.Reason.NO_BACKEND.value,
    )
)


@attrs.frozen
class End:
    """The end of one request.

    ``request`` and ``context`` are None if the request was refused before
    they were known.  ``reason`` is the result or the reason of the refusal;
    ``error`` describes the exception that ended the request unanswered.
    """

    raw: object
    request: object
    context: object
    reply: object
    reason: str
    error: str = ''

    @property
    def is_unanswered(self):
        """Say whether a caller that is still there got no whole answer."""
        return (
            self.reply.progress is not ingress.Progress.WHOLE
            and not self.reply.caller_error
        )


def record(gateway, end):
    """Write the ``request_done`` line and update the metrics.

    ``gateway`` is the `gateway.Gateway` that served the request.
    """
    seconds = time.monotonic() - end.raw.received_s
    gateway.metrics.timing('request', seconds)
    _count_arrivals(gateway.metrics, end.context)
    _count_demand(gateway.demand, end, seconds)
    fields = {
        **_describe_request(end),
        'end': end.reason,
        'answer': end.reply.progress.value,
        'seconds': seconds,
        **_describe_service(end.context),
        **_describe_prompt(end.request),
        'config': gateway.catalog.version,
        'register_age_s': time.monotonic() - gateway.registry.last_contact_s,
    }
    if end.error or end.reply.caller_error:
        fields['error'] = end.error
        fields['caller'] = end.reply.caller_error
    logs.event('request_done', **fields)
    if end.is_unanswered:
        gateway.metrics.add('unanswered')
        logs.warning('request_unanswered', **fields)


def _count_arrivals(metrics, context):
    """Count what was sent beyond once, and what the budget paid for."""
    if context is None:
        return
    ledger = context.ledger
    if ledger.sends > 1:
        metrics.add('arrivals_beyond_first', ledger.sends - 1)
    if ledger.paid:
        metrics.add('retries_paid', ledger.paid)


def _count_demand(counter, end, seconds):
    """Count the end of a request, and whether it came too late."""
    context = end.context
    if context is None:
        return
    first_s = context.seconds_since_received(context.first_event_at_s)
    latency_s = first_s if first_s >= 0 else seconds
    is_refused = end.reason in LACKS_ROOM
    counter.on_end(
        context.service,
        is_late=not is_refused and latency_s > context.route.target_s,
        is_refused=is_refused,
    )


def _describe_request(end):
    if end.context is not None:
        return {
            'request': end.request.request_id,
            'route': end.context.route.name,
        }
    return {
        'request': end.request.request_id if end.request else '',
        'host': end.request.host if end.request else '',
        'target': end.raw.target,
    }


def _describe_service(context):
    if context is None:
        return {}
    return {
        'placed_s': context.seconds_since_received(context.placed_at_s),
        'read_s': context.seconds_since_received(context.prompt_read_at_s),
        'first_s': context.seconds_since_received(context.first_event_at_s),
        'service': context.service,
        'account': context.account_name,
        'sends': context.sends,
        'arrivals': context.ledger.sends,
        'paid': context.ledger.paid,
        'servers': context.server_ids,
    }


def _describe_prompt(request):
    if request is None or request.prompt is None:
        return {}
    prompt = request.prompt
    return {
        'prompt_tokens': prompt.tokens,
        'shared_tokens': prompt.shared_tokens,
        'max_output_tokens': prompt.max_output_tokens,
    }


async def record_attempt(gateway, context, server, outcome):
    """Log an attempt that ended without an answer; note it as evidence.

    ``parts`` are the parts of its prompt that other requests may share.
    """
    if gateway.isolation is not None:
        await gateway.isolation.on_attempt(context, server, outcome)
    if isinstance(outcome, (sending.Whole, sending.Streamed)):
        return
    prompt = context.request.prompt
    shared = prompt.parts[:-1] if prompt is not None else ()
    logs.event(
        'attempt_failed',
        request=context.request.request_id,
        server=server.server_id,
        outcome=type(outcome).__name__,
        error=getattr(outcome, 'error', ''),
        send=context.sends,
        left_s=context.left_s,
        budget=context.ledger.budget.left(clocks.boot_clock()),
        parts=','.join(part.part_id for part in shared)[:MAX_LOGGED_CHARS],
    )


def log_assignment(context, assignment):
    """Log where the shared scheduler placed a prompt."""
    logs.event(
        'prompt_assigned',
        request=context.request.request_id,
        decode=assignment.decode,
        prefill=assignment.prefill,
        fetch_from=assignment.fetch_from,
        tokens=assignment.tokens,
        expected_s=assignment.expected_s,
    )


def log_refusals(service, backlog):
    """Log the prompts of other VMs too that a `backlog.Backlog` refused."""
    for refusal in backlog.take_refusals():
        logs.event('prompt_refused', service=service, **attrs.asdict(refusal))


def log_shares(service, place, shares):
    """Log how accounts were served by one `fairness.Shares`.

    ``place`` says where requests wait: in the VM's queue or at its scheduler.
    """
    for found in shares.take_summaries():
        logs.event(
            'account_shares',
            service=service,
            place=place,
            **attrs.asdict(found),
        )
