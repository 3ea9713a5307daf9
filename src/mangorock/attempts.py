"""Which server a request is sent to next, and when it is given up.

This is the one retry layer.  An attempt ends in a way that tells whether
the request may have run: refused and unreachable servers have not run it,
a broken answer leaves it unknown.  What may not be repeated is never sent
again once a byte was written.
"""

import enum

import attrs

from mangorock import errors
from mangorock import metrics

MAX_ATTEMPTS = 4


class End(enum.Enum):
    """How an attempt ended without a whole answer."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    BROKEN = 'broken'


RETRY_REASONS = {
    End.UNREACHABLE: metrics.Retry.CONNECT,
    End.REFUSED: metrics.Retry.REFUSED,
    End.BROKEN: metrics.Retry.BROKEN_STREAM,
}


@attrs.define
class Attempts:
    """The attempts of one request.

    ``may_have_run`` turns true with the first broken attempt and decides
    the ``run_state`` field of a later refusal.
    """

    is_repeatable: bool
    budget: object
    count: int = 0
    excluded: set = attrs.field(factory=set)
    may_have_run: bool = False
    last_end: End | None = None

    def begin(self):
        """Count an attempt about to start; raise when there is no more.

        Raises `errors.BackendBroken` or `errors.BackendRefused`.
        """
        if self.count:
            self._check_retry()
        self.count += 1

    def _check_retry(self):
        if self.may_have_run and not self.is_repeatable:
            raise self.error(
                'the server was lost after the request was written and it '
                'may not be repeated; look up whether it took effect'
            )
        if self.count >= MAX_ATTEMPTS:
            raise self.error(f'{self.count} servers failed; retry later')
        if not self.budget.spend():
            raise self.error('the retry budget is spent; retry later')

    def end(self, address, end):
        """Note how the attempt at ``address`` ended."""
        self.last_end = end
        self.excluded.add(address)
        if end is End.BROKEN:
            self.may_have_run = True

    def error(self, message):
        """Return the refusal that is true after these attempts."""
        if self.may_have_run:
            return errors.BackendBroken(message, retry_after_s=1)
        if self.last_end is not None:
            return errors.BackendRefused(message, retry_after_s=1)
        return errors.NoBackend(message, retry_after_s=1)

    def run_state(self):
        """Return the `errors.Run` of a refusal now."""
        if self.may_have_run:
            return errors.Run.UNKNOWN
        return errors.Run.NOT_RUN
