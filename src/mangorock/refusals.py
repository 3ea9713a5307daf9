"""The refusals of forwarding: each says truly whether the request has run.

Whatever the reason, a request that may have run at a server before gets the
one refusal that promises nothing.

Example::

    raise refusals.overloaded(context, retry_after_s=1.2)
"""

from mangorock import errors


def backend_broken():
    """Return the refusal of a request that may have run."""
    return errors.BackendBroken(
        'the server broke off; look up whether the request took effect '
        'before repeating it'
    )


def no_backend(context, retry_after_s):
    """Return the refusal where no server is known or sound."""
    return _if_not_run(
        context,
        errors.NoBackend(
            f'no server of {context.service} may take the request now; try '
            'again',
            retry_after_s=retry_after_s,
        ),
    )


def backend_refused(context, retry_after_s):
    """Return the refusal where servers refused before they worked."""
    return _if_not_run(
        context,
        errors.BackendRefused(
            f'the servers of {context.service} refused the request; try again',
            retry_after_s=retry_after_s,
        ),
    )


def overloaded(context, retry_after_s):
    """Return the refusal where no place came free in time."""
    return _if_not_run(
        context,
        errors.Overloaded(
            f'every server of {context.service} is full; try again',
            retry_after_s=retry_after_s,
        ),
    )


def no_answer_in_time(context, retry_after_s):
    """Return the refusal of what cannot come before the caller leaves."""
    return _if_not_run(
        context,
        errors.Overloaded(
            f'{context.service} cannot answer before the caller gives up; try '
            'again',
            retry_after_s=retry_after_s,
        ),
    )


def deadline_passed(context):
    """Return the refusal of a request whose deadline has passed."""
    if not context.may_have_run:
        return errors.Overloaded(
            'the deadline passed before the request was sent; try again'
        )
    return errors.DeadlineExceeded(
        'no answer came before the deadline; look up whether the request '
        'took effect before repeating it',
        run=errors.Run.UNKNOWN,
    )


def _if_not_run(context, refusal):
    return backend_broken() if context.may_have_run else refusal
