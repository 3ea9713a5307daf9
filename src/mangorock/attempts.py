"""Tracks the attempts of a request and decides whether to retry.

Requests are retried in this layer only.  How an attempt ended tells whether
the request may have run: it has not run on a server that refused it or was
unreachable, and a broken answer leaves it unknown.  A request that is not
repeatable is never sent again once a byte of it was written.
"""

import enum

import attrs

from mangorock import errors
from mangorock import metrics

MAX_ATTEMPTS = 4


class End(enum.Enum):
    """How an attempt ended without a complete answer."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    BROKEN = 'broken'


RETRY_REASONS = {
    End.UNREACHABLE: metrics.RetryReason.CONNECT,
    End.REFUSED: metrics.RetryReason.REFUSED,
    End.BROKEN: metrics.RetryReason.BROKEN_STREAM,
}


@attrs.define
class Attempts:
    """The attempts of one request.

    ``may_have_run`` becomes true with the first broken attempt and decides
    the ``run`` field of a later refusal.  ``excluded`` holds the addresses
    already tried.
    """

    is_repeatable: bool
    budget: object
    count: int = 0
    excluded: set = attrs.field(factory=set)
    may_have_run: bool = False
    last_end: End | None = None

    def begin(self):
        """Count an attempt about to start, or raise if no more is allowed.

        Raises `errors.BackendBroken` or `errors.BackendRefused`.
        """
        if self.count:
            self._check_retry()
        self.count += 1

    def _check_retry(self):
        if self.may_have_run and not self.is_repeatable:
            raise self.error(
                'the connection to the server was lost after the request was '
                'sent, and it is not repeatable; check whether it took effect'
            )
        if self.count >= MAX_ATTEMPTS:
            raise self.error(f'{self.count} servers failed; retry later')
        if not self.budget.spend():
            raise self.error('the retry budget is exhausted; retry later')

    def end(self, address, end):
        """Record how the attempt at ``address`` ended."""
        self.last_end = end
        self.excluded.add(address)
        if end is End.BROKEN:
            self.may_have_run = True

    def error(self, message):
        """Return the refusal that matches how the attempts ended."""
        if self.may_have_run:
            return errors.BackendBroken(message, retry_after_s=1)
        if self.last_end is not None:
            return errors.BackendRefused(message, retry_after_s=1)
        return errors.NoBackend(message, retry_after_s=1)

    def run_state(self):
        """Return the `errors.Run` that a refusal reports."""
        if self.may_have_run:
            return errors.Run.UNKNOWN
        return errors.Run.NOT_RUN
