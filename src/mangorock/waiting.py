"""Queues requests while every suitable server is full.

A burst can exceed the capacity of a service within a fraction of a second.
The excess requests wait in one bounded queue per service, ordered by
priority and then by arrival, where `fairness.Shares` divides the places of
one priority among the client accounts.

A request with an account is refused at its arrival if the rate at which the
queue empties shows that its turn would come too late, and while it waits as
soon as that is certain.  If the queue is full, the request of an account
below its share takes the place of the last one.
"""

import collections

import attrs
import curio

from mangorock import fairness
from mangorock import queue_rate

# Longest wait of a new request, as a fraction of the target latency.
MAX_WAIT_TARGET_FRACTION = 1.0
# Interval of a new try, as a server that is added does not wake the queue.
RECHECK_S = 0.1
# A new request waits if its turn is predicted within this share of the time
# that it may wait; one that waits already is refused if its turn is predicted
# after this multiple of the time that it has left.  Predictions may be wrong,
# and a request that has waited is not given up for a small error.
NEW_WAIT_SHARE = 0.8
LOST_WAIT_FACTOR = 1.2


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
    None if there is no room for it.  ``position_s`` orders the queue without
    accounts.  ``is_displaced`` is set once another request has its place in
    the queue.
    """

    priority: int
    queued_at_s: float
    expires_at_s: float
    place: object = None
    account: str = ''
    is_displaced: bool = False
    position_s: float = attrs.field(init=False)
    wakeup: curio.Event = attrs.field(factory=curio.Event)

    def __attrs_post_init__(self):
        self.position_s = self.queued_at_s

    @property
    def sort_key(self):
        """Return the key that orders the queue without accounts."""
        return self.priority, self.position_s

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

    ``rates`` are the rates at which requests of each priority and of each
    flow are placed, ``returns`` the callers of each flow that were told to
    come back.  ``known_order`` and ``before_new``, the waiters before a new
    request of each flow, hold until the queue changes.
    """

    max_waiters: int
    waiters: list = attrs.field(factory=list)
    shares: fairness.Shares = attrs.field(factory=fairness.Shares)
    rates: dict = attrs.field(factory=dict)
    returns: dict = attrs.field(factory=dict)
    known_order: list | None = None
    before_new: dict = attrs.field(factory=dict)

    def add(self, priority, now, expires_at_s, place=None, account=''):
        """Return a new `Waiter`, or None if it would wait in vain.

        That is so if the queue is full and has no request that gives way, or
        if its turn would come after ``expires_at_s``.  ``place`` is given for
        a stream that broke off, which always finds room.
        """
        waiter = Waiter(priority, now, expires_at_s, place, account)
        if place is None:
            may_wait_s = NEW_WAIT_SHARE * (expires_at_s - now)
            if account and self._wait_before_s(waiter, now) > may_wait_s:
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
        if not any(t.flow == waiter.flow for t in self.waiters):
            self._rate(waiter.flow).on_begin(now)
        self.waiters.append(waiter)
        self.shares.on_wait(waiter.flow)
        self._forget_order()
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
        self._forget_order()
        if is_served:
            self._hand_on_position(waiter)
            self._rate(waiter.priority).on_placed(now)
            self._rate(waiter.flow).on_placed(now)

    def _hand_on_position(self, served):
        """Move the accounts' requests that a served one overtook back by one.

        It had the position of the first of them.  Without this, requests
        without an account would wait for all that overtake.
        """
        overtaken = [
            t
            for t in self.waiters
            if t.account
            and t.priority == served.priority
            and t.position_s < served.position_s
        ]
        if served.account and overtaken:
            overtaken.sort(key=lambda t: t.sort_key)
            behind = [*overtaken[1:], served]
            positions = [t.position_s for t in behind]
            for waiter, position_s in zip(overtaken, positions, strict=True):
                waiter.position_s = position_s

    def _rate(self, key):
        """Return the `queue_rate.QueueRate` of a priority or a flow."""
        found = self.rates.get(key)
        if found is None:
            found = self.rates[key] = queue_rate.QueueRate()
        return found

    def forget(self, now):
        """Drop what is known of flows that have not waited for a while."""
        waiting = {t.flow for t in self.waiters}
        waiting |= {t.priority for t in self.waiters}
        self.rates = {
            key: rate
            for key, rate in self.rates.items()
            if key in waiting or now - rate.since_s <= queue_rate.VALID_S
        }
        self.returns = {
            flow: returning
            for flow, returning in self.returns.items()
            if returning.count(now)
        }

    def _order(self, waiters):
        ordered = sorted(waiters, key=lambda t: t.sort_key)
        return self.shares.order(ordered, [t.priority for t in ordered])

    def _ordered(self):
        if self.known_order is None:
            self.known_order = self._order(self.waiters)
        return self.known_order

    def _before(self, waiter):
        """Return the waiters that go before one, which may be a new one."""
        ordered = self._ordered()
        if waiter in self.waiters:
            return ordered[: ordered.index(waiter)]
        found = self.before_new.get(waiter.flow)
        if found is None:
            ordered = self._order([*self.waiters, waiter])
            found = ordered[: ordered.index(waiter)]
            self.before_new[waiter.flow] = found
        return found

    def _forget_order(self):
        self.known_order = None
        self.before_new = {}

    def _wait_before_s(self, waiter, now):
        """Return the predicted time until a waiter is first, 0 if unknown.

        Requests of accounts that had less may come and overtake it, so that
        it comes no earlier than the rate of its own account allows.
        """
        before = self._before(waiter)
        counts = collections.Counter(t.priority for t in before)
        own_count = sum(t.flow == waiter.flow for t in before)
        queue_s = sum(
            count * self._rate(priority).interval_s(now)
            for priority, count in counts.items()
        )
        own_s = own_count * self._rate(waiter.flow).interval_s(now)
        return max(queue_s, own_s)

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
        if waiter.place is not None or not waiter.account:
            return False
        predicted_s = self._wait_before_s(waiter, now)
        return predicted_s > LOST_WAIT_FACTOR * left_s

    def room_after_s(self, wait, patience_s, now):
        """Return when a refused request may be repeated, None if unknown.

        ``wait`` is the `Wait` of the request, ``patience_s`` how long it may
        wait when it is repeated.  Callers of its account that were told to
        come back before it use the account's share until then.
        """
        if not wait.account:
            return None
        newcomer = Waiter(wait.priority, now, 0.0, account=wait.account)
        before_s = self._wait_before_s(newcomer, now)
        if not before_s:
            return None
        interval_s = self._rate(wait.priority).interval_s(now)
        accounts = {t.account for t in self.waiters} | {wait.account}
        returning = self.returns.setdefault(wait.flow, queue_rate.Returns())
        returning_s = returning.count(now) * interval_s * len(accounts)
        room_s = queue_rate.limit_retry_after_s(
            before_s + returning_s - NEW_WAIT_SHARE * patience_s
        )
        returning.add(now + room_s)
        return room_s

    def first(self):
        """Return the first waiter that may be placed, None without one."""
        return next((t for t in self._ordered() if t.is_blocking), None)
