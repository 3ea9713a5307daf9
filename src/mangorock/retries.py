"""Decides whether a failed attempt is repeated on another server.

Requests on the platform are retried in this layer only.  What a retry will
cost is reserved here from the budget of its service; `budget.Ledger` knows
what the request has cost before.
"""

from mangorock import clocks
from mangorock import metrics
from mangorock import refusals
from mangorock import sending
from mangorock import silence

# Retries after attempts that did not run on any server.  Those that sent
# nothing cost no retry budget and need a limit of their own.
MAX_NOT_RUN_RETRIES = 3


def is_due(gateway, context, answer):
    """Return whether a server error should be retried elsewhere."""
    return (
        answer.status >= 500
        and context.route.is_repeatable
        and context.is_server_left
        and context.left_s > silence.MIN_ATTEMPT_TIMEOUT_S
        and context.ledger.can_pay(clocks.boot_clock())
    )


def prepare(gateway, context, server, outcome):
    """Reserve and count a retry, or raise the error that ends the request.

    Attempts that sent nothing may use the same server again.
    """
    route = context.route
    if not isinstance(outcome, sending.Unsent):
        context.tried.add(server.incarnation)
    match outcome:
        case sending.Unreachable() | sending.Unsent():
            context.unsent_attempts += 1
            if context.unsent_attempts > MAX_NOT_RUN_RETRIES:
                raise refusals.no_backend(
                    context, gateway.retry_after_s(context.service)
                )
            _reserve(gateway, context)
            gateway.metrics.count_retry(metrics.RetryReason.CONNECT)
        case sending.Refused():
            if context.sends > MAX_NOT_RUN_RETRIES:
                raise refusals.backend_refused(
                    context, gateway.retry_after_s(context.service)
                )
            _reserve(gateway, context)
            gateway.metrics.count_retry(metrics.RetryReason.REFUSED)
        case _:
            if not route.is_repeatable or not context.is_server_left:
                raise refusals.backend_broken()
            _reserve(gateway, context)
            gateway.metrics.count_retry(metrics.RetryReason.BROKEN)


def _reserve(gateway, context):
    """Reserve the next send, or raise the error that ends the request."""
    if not context.ledger.reserve(clocks.boot_clock()):
        gateway.metrics.add('retry_budget_exhausted')
        raise refusals.backend_refused(
            context, gateway.retry_after_s(context.service)
        )
