"""Errors for requests that cannot be served.

Each error tells the caller correctly whether the request has run.  Whatever
the reason, a request that may have run on a server before gets
`errors.BackendBroken`, which leaves that open.

Example::

    raise refusals.overloaded(context, retry_after_s=1.2)
"""

from mangorock import errors


def backend_broken():
    """Return the error for a request that may have run."""
    return errors.BackendBroken(
        'the server failed before the answer was complete; check whether '
        'the request took effect before repeating it'
    )


def no_backend(context, retry_after_s):
    """Return the error for a service without a usable server."""
    return _if_not_run(
        context,
        errors.NoBackend(
            f'no server of {context.service} is available for the request; '
            'try again',
            retry_after_s=retry_after_s,
        ),
    )


def backend_refused(context, retry_after_s):
    """Return the error for servers that refused to run the request."""
    return _if_not_run(
        context,
        errors.BackendRefused(
            f'the servers of {context.service} refused the request; try again',
            retry_after_s=retry_after_s,
        ),
    )


def overloaded(context, retry_after_s):
    """Return the error if no server had a free slot in time."""
    return _if_not_run(
        context,
        errors.Overloaded(
            f'all servers of {context.service} are full; try again',
            retry_after_s=retry_after_s,
        ),
    )


def no_answer_in_time(context, retry_after_s):
    """Return the error if no answer can come before the caller gives up."""
    return _if_not_run(
        context,
        errors.Overloaded(
            f'{context.service} cannot answer before the caller gives up; try '
            'again',
            retry_after_s=retry_after_s,
        ),
    )


def keys_unconfirmed(retry_after_s):
    """Return the error while keys may have been removed unnoticed."""
    return errors.NoTables(
        'the store has not confirmed the keys of client accounts for too '
        'long; try again, another VM may reach the store',
        retry_after_s=retry_after_s,
    )


def unauthenticated():
    """Return the error for a request without a valid key."""
    return errors.Unauthenticated(
        'the request has no valid key of a client account; send one key that '
        'the configuration has'
    )


def key_removed(context):
    """Return the error for a request whose key was removed meanwhile."""
    return _if_not_run(context, unauthenticated())


def quarantined(context, part_id, retry_after_s):
    """Return the error for a prompt with a part that crashes engines."""
    return _if_not_run(
        context,
        errors.Quarantined(
            f'engines crash on part {part_id!r} of the prompt; send the '
            'request without it',
            retry_after_s=retry_after_s,
        ),
    )


def deadline_passed(context, retry_after_s):
    """Return the error for a request whose deadline has passed."""
    if not context.may_have_run:
        return errors.Overloaded(
            'the deadline passed before the request was sent; try again',
            retry_after_s=retry_after_s,
        )
    return errors.DeadlineExceeded(
        'the deadline passed before the answer was complete; check whether '
        'the request took effect before repeating it',
        run=errors.Run.UNKNOWN,
    )


def stopped(context, retry_after_s):
    """Return the error for a request that is open when this VM stops."""
    if not context.may_have_run:
        return errors.ShuttingDown(
            'this VM stopped before the request was sent; send it again, the '
            'load balancer will pick another VM',
            retry_after_s=retry_after_s,
        )
    return errors.DeadlineExceeded(
        'this VM stopped before the answer was complete; check whether the '
        'request took effect before repeating it',
        run=errors.Run.UNKNOWN,
    )


def _if_not_run(context, refusal):
    return backend_broken() if context.may_have_run else refusal
