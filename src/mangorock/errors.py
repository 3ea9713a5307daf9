"""The exception tree and the reasons that callers and operators see.

Every error that leaves the daemon carries a stable ``reason`` (an entry of
`Reason`), an HTTP status, a message that names the remedy, and whether the
request has run.  Counters are named after the reasons, so no refusal can be
without one.
"""

import enum


class Run(enum.Enum):
    """Says whether a refused request may have had an effect."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Stable names of everything the daemon can refuse."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NO_ROUTE = 'no_route'
    NOT_FOUND = 'not_found'
    DEADLINE = 'deadline'
    OVERLOADED = 'overloaded'
    ACCOUNT_LIMIT = 'account_limit'
    NO_BACKEND = 'no_backend'
    BACKEND_REFUSED = 'backend_refused'
    BACKEND_BROKEN = 'backend_broken'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_IN_FLIGHT = 'claim_in_flight'
    SHUTTING_DOWN = 'shutting_down'
    NO_TABLES = 'no_tables'
    INVALID_TABLES = 'invalid_tables'
    CONFLICT = 'conflict'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal'


class MangorockError(Exception):
    """Base of every error that mangorock raises on purpose.

    ``reason``, ``status`` and ``run`` are class attributes that a subclass
    sets.  ``retry_after_s`` is seconds, or ``None`` where waiting does not
    help.
    """

    reason = Reason.INTERNAL
    status = 500
    run = Run.NOT_RUN

    def __init__(self, message, run=None, retry_after_s=None):
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        if run is not None:
            self.run = run


class Internal(MangorockError):
    """The daemon itself failed; the request may have run."""

    run = Run.UNKNOWN


class SettingsError(MangorockError):
    """One or more settings are unusable; the message lists all of them."""


class BadRequest(MangorockError):
    """The request cannot be understood."""

    reason = Reason.BAD_REQUEST
    status = 400


class TooLarge(MangorockError):
    """The request is larger than a stated limit."""

    reason = Reason.TOO_LARGE
    status = 413


class Unauthenticated(MangorockError):
    """No known key came with the request."""

    reason = Reason.UNAUTHENTICATED
    status = 401


class Forbidden(MangorockError):
    """The key is known but the route is not open to its account."""

    reason = Reason.FORBIDDEN
    status = 403


class NoRoute(MangorockError):
    """The routes table has no such route."""

    reason = Reason.NO_ROUTE
    status = 404


class NotFound(MangorockError):
    """No such resource."""

    reason = Reason.NOT_FOUND
    status = 404


class DeadlineExceeded(MangorockError):
    """The deadline passed, or no engine can meet it."""

    reason = Reason.DEADLINE
    status = 504


class Overloaded(MangorockError):
    """A bounded queue or the retry budget is exhausted."""

    reason = Reason.OVERLOADED
    status = 503


class AccountLimit(MangorockError):
    """The client account is over its fair share of a busy pool."""

    reason = Reason.ACCOUNT_LIMIT
    status = 429


class NoBackend(MangorockError):
    """No backend server of the pool may take the request now."""

    reason = Reason.NO_BACKEND
    status = 503


class BackendRefused(MangorockError):
    """A backend server refused before it did any work."""

    reason = Reason.BACKEND_REFUSED
    status = 503


class BackendBroken(MangorockError):
    """A backend server failed after the request may have reached it."""

    reason = Reason.BACKEND_BROKEN
    status = 502
    run = Run.UNKNOWN


class ClaimUnavailable(MangorockError):
    """The idempotency key could not be recorded."""

    reason = Reason.CLAIM_UNAVAILABLE
    status = 503


class ClaimInFlight(MangorockError):
    """The idempotency key was used before and no answer is recorded."""

    reason = Reason.CLAIM_IN_FLIGHT
    status = 409
    run = Run.UNKNOWN


class ShuttingDown(MangorockError):
    """The daemon is stopping and takes no new request."""

    reason = Reason.SHUTTING_DOWN
    status = 503


class NoTables(MangorockError):
    """The daemon has not yet learned any revision of the tables."""

    reason = Reason.NO_TABLES
    status = 503


class InvalidTables(MangorockError):
    """The tables break a rule; the message lists every fault."""

    reason = Reason.INVALID_TABLES
    status = 422


class Conflict(MangorockError):
    """Another change of the same row came first."""

    reason = Reason.CONFLICT
    status = 409


class PlatformUnavailable(MangorockError):
    """The key-value service did not answer; nothing was written."""

    reason = Reason.PLATFORM_UNAVAILABLE
    status = 503


class OutcomeUnknown(MangorockError):
    """A write was sent and its answer was lost."""

    reason = Reason.OUTCOME_UNKNOWN
    status = 504
    run = Run.UNKNOWN


def error_body(error):
    """Return the JSON body (as a dict) that callers get for ``error``.

    Example::

        >>> error_body(NoRoute('route "x" is unknown; ask the operator'))
        {'error': {'reason': 'no_route', 'message': ..., 'run': 'not_run'}}
    """
    return {
        'error': {
            'reason': error.reason.value,
            'message': error.message,
            'run': error.run.value,
        }
    }
