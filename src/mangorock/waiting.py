"""Queues requests while every suitable server is full.

A burst can exceed the capacity of a service within a fraction of a second.
The excess requests wait in one bounded queue per service, ordered by
priority and then by arrival, where `fairness.Shares` divides the places of
one priority among the client accounts.

A request is refused at its arrival if the rate at which the queue empties
shows that its turn would come too late, and while it waits as soon as that
is certain.  If the queue is full, the request of an account below its share
takes the place of the last one.
"""

import attrs
import curio

from mangorock import fairness
from mangorock import queue_rate

# Longest wait of a new request, as a fraction of the target latency.
MAX_WAIT_TARGET_FRACTION = 1.0
# Interval of a new try, as a server that is added does not wake the queue.
RECHECK_S = 0.1
# A request that waits already is refused if its turn is predicted this many
# times later than it may wait, since a prediction may be wrong.
LOST_WAIT_FACTOR = 1.5


@attrs.frozen
class Wait:
    """How urgently and until when a request waits for a server.

    ``is_resumed`` says that a part of its answer was written.  Such a
    request always finds room in the queue, as there is no way to refuse it.
    """

    priority: int
    until_s: float
    is_resumed: bool = False
    account: str = ''

    @property
    def flow(self):
        """Return the flow whose share it uses."""
        return self.priority, self.account


def wait_of_new_request(context):
    """Return the `Wait` of a request of which no answer was written.

    ``context`` is the request's `context.RequestContext`.
    """
    route = context.route
    target_s = MAX_WAIT_TARGET_FRACTION * route.target_s
    until_s = context.request.received_s + target_s
    until_s = min(until_s, context.deadline_s)
    return Wait(context.priority, until_s, account=context.account_name)


@attrs.define(eq=False)
class Waiter:
    """A queued request; ``wakeup`` is set when it may try again.

    A stream that broke off has ``place()``, which returns its placement,
    None if there is no room for it.  ``is_displaced`` is set once another
    request has its place in the queue.
    """

    priority: int
    queued_at_s: float
    expires_at_s: float
    place: object = None
    account: str = ''
    is_displaced: bool = False
    wakeup: curio.Event = attrs.field(factory=curio.Event)

    @property
    def sort_key(self):
        """Return the key that orders the queue without accounts."""
        return self.priority, self.queued_at_s

    @property
    def flow(self):
        """Return the flow whose share it uses."""
        return self.priority, self.account

    @property
    def is_blocking(self):
        """Return whether the requests behind it must wait.

        A stream that broke off may not use the servers that it has tried,
        even if no other one has room.
        """
        return self.place is None or self.place() is not None


@attrs.define
class WaitQueue:
    """The waiting requests of one service.

    ``rates`` are the rates at which requests of each priority leave it.
    """

    max_waiters: int
    waiters: list = attrs.field(factory=list)
    shares: fairness.Shares = attrs.field(factory=fairness.Shares)
    rates: dict = attrs.field(factory=dict)
    known_order: list | None = None

    def add(self, priority, now, expires_at_s, place=None, account=''):
        """Return a new `Waiter`, or None if it would wait in vain.

        That is so if the queue is full and has no request that gives way, or
        if its turn would come after ``expires_at_s``.  ``place`` is given for
        a stream that broke off, which always finds room.
        """
        waiter = Waiter(priority, now, expires_at_s, place, account)
        if place is None:
            left_s = expires_at_s - now
            if self._wait_before_s(waiter, now) > left_s:
                return None
            if len(self.waiters) >= self.max_waiters:
                ordered = self._order([*self.waiters, waiter])
                displaced = self.shares.displaced(ordered, waiter)
                if displaced is None or displaced.place is not None:
                    return None
                self.remove(displaced, False)
                displaced.is_displaced = True
        if not any(t.priority == priority for t in self.waiters):
            self._rate(priority).on_begin(now)
        self.waiters.append(waiter)
        self.shares.on_wait(waiter.flow)
        self.known_order = None
        return waiter

    def remove(self, waiter, is_served=None, now=None):
        """Remove a waiter from the queue.

        ``is_served`` says whether it was placed at ``now`` or refused; it is
        None if neither, as for a caller that has gone.
        """
        if waiter.is_displaced:
            return
        self.waiters.remove(waiter)
        self.shares.on_leave(waiter.flow, is_served)
        self.known_order = None
        if is_served:
            self._rate(waiter.priority).on_placed(now)

    def _rate(self, priority):
        found = self.rates.get(priority)
        if found is None:
            found = self.rates[priority] = queue_rate.QueueRate()
        return found

    def _order(self, waiters):
        ordered = sorted(waiters, key=lambda t: t.sort_key)
        return self.shares.order(ordered, lambda t: t.priority)

    def _ordered(self):
        if self.known_order is None:
            self.known_order = self._order(self.waiters)
        return self.known_order

    def _before(self, waiter):
        """Return the waiters that go before one, which may be a new one."""
        if not self.waiters:
            return []
        ordered = self._ordered()
        if waiter not in ordered:
            ordered = self._order([*self.waiters, waiter])
        return ordered[: ordered.index(waiter)]

    def _wait_before_s(self, waiter, now):
        """Return the predicted time until a waiter is first, 0 if unknown."""
        intervals_s = {}
        for other in self._before(waiter):
            if other.priority not in intervals_s:
                rate = self._rate(other.priority)
                intervals_s[other.priority] = [0, rate.interval_s(now)]
            intervals_s[other.priority][0] += 1
        return sum(count * each_s for count, each_s in intervals_s.values())

    def is_first(self, priority, waiter=None, account=''):
        """Return whether the request is next.

        Without ``waiter`` the request is a new one, which goes after all
        waiters of the same or a more urgent priority, unless its account has
        had less than theirs.
        """
        if waiter is None:
            waiter = Waiter(priority, float('inf'), 0.0, account=account)
        return not any(t.is_blocking for t in self._before(waiter))

    def is_lost(self, waiter, now):
        """Return whether a waiter has lost its place or its time.

        The first of its priority waits until its time is over.
        """
        left_s = waiter.expires_at_s - now
        if waiter.is_displaced or left_s <= 0:
            return True
        if waiter.place is not None:
            return False
        predicted_s = self._wait_before_s(waiter, now)
        return predicted_s > LOST_WAIT_FACTOR * left_s

    def room_after_s(self, wait, patience_s, now):
        """Return when a new request would be in time, None if unknown.

        ``wait`` is the `Wait` of a request that is refused, ``patience_s``
        how long it may wait when it is repeated.
        """
        newcomer = Waiter(wait.priority, now, 0.0, account=wait.account)
        before_s = self._wait_before_s(newcomer, now)
        if not before_s:
            return None
        return queue_rate.limit_retry_after_s(before_s - patience_s)

    def first(self):
        """Return the first waiter that may be placed, None without one."""
        return next((t for t in self._ordered() if t.is_blocking), None)
