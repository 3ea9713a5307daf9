"""The exception hierarchy and the reasons reported to callers and operators.

Every error that the daemon reports has a stable ``reason`` (a member of
`Reason`), an HTTP status, a message that says how to resolve it, and whether
the request may have run.  Metric counters are named after the reasons, so
every refusal is counted.
"""

import enum


class Run(enum.Enum):
    """Whether a request that failed may have had an effect."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Stable names of the reasons for which a request can fail."""

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
    QUARANTINED = 'quarantined'
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
    """Base class of all errors that mangorock raises deliberately.

    Subclasses set the class attributes ``reason``, ``status`` and ``run``.
    ``retry_after_s`` is in seconds, or ``None`` if a retry would not help.
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
    """Internal error of the daemon; the request may have run."""

    run = Run.UNKNOWN


class SettingsError(MangorockError):
    """One or more settings are invalid; the message lists all of them."""


class BadRequest(MangorockError):
    """The request is malformed or has invalid values."""

    reason = Reason.BAD_REQUEST
    status = 400


class TooLarge(MangorockError):
    """The request exceeds a size limit."""

    reason = Reason.TOO_LARGE
    status = 413


class Unauthenticated(MangorockError):
    """The request has no key, or its key is unknown."""

    reason = Reason.UNAUTHENTICATED
    status = 401


class Forbidden(MangorockError):
    """The key is valid, but its account has no access to the route."""

    reason = Reason.FORBIDDEN
    status = 403


class NoRoute(MangorockError):
    """The requested route does not exist."""

    reason = Reason.NO_ROUTE
    status = 404


class NotFound(MangorockError):
    """The requested resource does not exist."""

    reason = Reason.NOT_FOUND
    status = 404


class DeadlineExceeded(MangorockError):
    """The deadline passed, or no engine can meet it."""

    reason = Reason.DEADLINE
    status = 504


class Overloaded(MangorockError):
    """A bounded queue is full or the retry budget is exhausted."""

    reason = Reason.OVERLOADED
    status = 503


class AccountLimit(MangorockError):
    """The client account exceeds its fair share of a busy pool."""

    reason = Reason.ACCOUNT_LIMIT
    status = 429


class NoBackend(MangorockError):
    """No backend server of the pool can accept the request now."""

    reason = Reason.NO_BACKEND
    status = 503


class BackendRefused(MangorockError):
    """A backend server refused the request without executing it."""

    reason = Reason.BACKEND_REFUSED
    status = 503


class BackendBroken(MangorockError):
    """A backend server failed after it may have received the request."""

    reason = Reason.BACKEND_BROKEN
    status = 502
    run = Run.UNKNOWN


class Quarantined(MangorockError):
    """A part of the prompt crashes engines and is not sent to any."""

    reason = Reason.QUARANTINED
    status = 503


class ClaimUnavailable(MangorockError):
    """The idempotency key could not be recorded."""

    reason = Reason.CLAIM_UNAVAILABLE
    status = 503


class ClaimInFlight(MangorockError):
    """The idempotency key was used before and no response is recorded."""

    reason = Reason.CLAIM_IN_FLIGHT
    status = 409
    run = Run.UNKNOWN


class ShuttingDown(MangorockError):
    """The daemon is shutting down and accepts no new requests."""

    reason = Reason.SHUTTING_DOWN
    status = 503


class NoTables(MangorockError):
    """The daemon has not received any revision of the tables yet."""

    reason = Reason.NO_TABLES
    status = 503


class InvalidTables(MangorockError):
    """The tables are invalid; the message lists every error."""

    reason = Reason.INVALID_TABLES
    status = 422


class Conflict(MangorockError):
    """The same row was changed concurrently by someone else."""

    reason = Reason.CONFLICT
    status = 409


class PlatformUnavailable(MangorockError):
    """The key-value store did not respond; nothing was written."""

    reason = Reason.PLATFORM_UNAVAILABLE
    status = 503


class OutcomeUnknown(MangorockError):
    """A write was sent, but its response was lost."""

    reason = Reason.OUTCOME_UNKNOWN
    status = 504
    run = Run.UNKNOWN


def error_body(error):
    """Return the JSON response body for ``error`` as a dict.

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
