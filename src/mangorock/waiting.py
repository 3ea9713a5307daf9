"""Queues requests while every suitable server is full.

A burst can exceed the capacity of a service within a fraction of a second.
The excess requests wait in one bounded queue per service, ordered by
priority and then by arrival.  A request leaves the queue as soon as it can
no longer be served in time.
"""

import attrs
import curio

# Longest wait of a new request, as a fraction of the target latency.
MAX_WAIT_TARGET_FRACTION = 1.0
# Interval of a new try, as a server that is added does not wake the queue.
RECHECK_S = 0.1


@attrs.frozen
class Wait:
    """How urgently and until when a request waits for a server.

    ``is_resumed`` says that a part of its answer was written.  Such a
    request always finds room in the queue, as there is no way to refuse it.
    """

    priority: int
    until_s: float
    is_resumed: bool = False


def wait_of_new_request(context):
    """Return the `Wait` of a request of which no answer was written.

    ``context`` is the request's `context.RequestContext`.
    """
    route = context.route
    target_s = MAX_WAIT_TARGET_FRACTION * route.target_s
    until_s = context.request.received_s + target_s
    return Wait(context.priority, min(until_s, context.deadline_s))


@attrs.define(eq=False)
class Waiter:
    """A queued request; ``wakeup`` is set when it may try again.

    A stream that broke off has ``place()``, which returns its placement,
    None if there is no room for it.
    """

    priority: int
    queued_at_s: float
    expires_at_s: float
    place: object = None
    wakeup: curio.Event = attrs.field(factory=curio.Event)

    @property
    def sort_key(self):
        """Return the key that orders the queue."""
        return self.priority, self.queued_at_s

    @property
    def is_blocking(self):
        """Return whether the requests behind it must wait.

        A stream that broke off may not use the servers that it has tried,
        even if no other one has room.
        """
        return self.place is None or self.place() is not None


@attrs.define
class WaitQueue:
    """The waiting requests of one service."""

    max_waiters: int
    waiters: list = attrs.field(factory=list)

    def add(self, priority, now, expires_at_s, place=None):
        """Return a new `Waiter`, or None if the queue is full.

        ``place`` is given for a stream that broke off.
        """
        if len(self.waiters) >= self.max_waiters and place is None:
            return None
        waiter = Waiter(priority, now, expires_at_s, place)
        self.waiters.append(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a waiter from the queue."""
        self.waiters.remove(waiter)

    def is_first(self, priority, waiter=None):
        """Return whether the request is next.

        Without ``waiter`` the request is a new one, which goes after all
        waiters of the same or a more urgent priority.
        """
        if waiter is None:
            earlier = [t for t in self.waiters if t.priority <= priority]
        else:
            earlier = [
                t
                for t in self.waiters
                if t is not waiter and t.sort_key <= waiter.sort_key
            ]
        return not any(t.is_blocking for t in earlier)

    def first(self):
        """Return the first waiter that may be placed, None without one."""
        waiters = sorted(self.waiters, key=lambda t: t.sort_key)
        return next((t for t in waiters if t.is_blocking), None)
