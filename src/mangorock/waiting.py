"""Who goes first when every suitable server is full.

Answers a burst: more requests than places arrive within a fraction of a
second.  They wait in one line for each service, the most urgent first and
the oldest first among equals; the line is bounded, and whoever can no
longer be in time leaves it at once.
"""

import attrs
import curio


@attrs.define(eq=False)
class Waiter:
    """A place in the line; ``wakeup`` is set when it may try again."""

    priority: int
    queued_at_s: float
    expires_at_s: float
    wakeup: curio.Event = attrs.field(factory=curio.Event)

    @property
    def sort_key(self):
        """Return what orders the line."""
        return self.priority, self.queued_at_s


@attrs.define
class WaitQueue:
    """The tickets of one service."""

    max_waiters: int
    waiters: list = attrs.field(factory=list)

    def add(self, priority, now, expires_at_s):
        """Return a `Waiter`, or None when the line is full."""
        if len(self.waiters) >= self.max_waiters:
            return None
        waiter = Waiter(priority, now, expires_at_s)
        self.waiters.append(waiter)
        return waiter

    def remove(self, waiter):
        """Give up a place."""
        self.waiters.remove(waiter)

    def is_first(self, priority, waiter=None):
        """Say whether nobody more urgent waits before this request."""
        if waiter is None:
            return all(t.priority > priority for t in self.waiters)
        return all(
            t is waiter or t.sort_key > waiter.sort_key for t in self.waiters
        )

    def first(self):
        """Return the first ticket, or None."""
        return min(self.waiters, key=lambda t: t.sort_key, default=None)
