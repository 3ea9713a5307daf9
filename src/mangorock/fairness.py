"""Shares the servers among client accounts: whose request is next.

It answers a load in which one account asks more than its share:

* An account that sends ten times as many requests as others: while others
  wait, each account is served as often as the others that wait (start-time
  fair queueing with a cost of one for each request).  Capacity that the
  others leave is used by whoever waits.
* Accounts of very different sizes: equal shares alone would serve a large
  account's requests far less often than all.  The next request of an account
  that is served less than `MIN_SERVED_SHARE` as often as all goes first.
* Requests that are repeated as soon as they are refused: time without a
  waiting request earns no credit, and a repeat that comes before the time it
  was told counts neither as a new request nor as a refusal.

Accounts are compared within one priority.  Requests without an account keep
the positions that they have without shares, and the positions of the others
are divided among the accounts.

Example::

    shares = Shares()
    shares.on_wait((0, 'huka270'))
    shares.order(waiters, [waiter.priority for waiter in waiters])
    shares.on_leave((0, 'huka270'), is_served=True)
"""

import collections

import attrs

# An account whose requests are served less than this share as often as those
# of all accounts is preferred.  The specified minimum is 0.25.
MIN_SERVED_SHARE = 0.3
# Ended requests of an account below which its served share is not known.
MIN_ENDED = 8
# Ended requests of a priority at which all its counts are halved.
HALVED_AT = 2000
# Virtual time by which an account may be ahead after it was preferred; a
# larger lead would delay it long after the overload.
MAX_LEAD = 2.0
# Idle accounts that are remembered beyond those that wait.
MAX_IDLE = 64
# Refusals whose repeats are recognised.
MAX_REFUSALS = 4096
# Priorities that are summarised, the most urgent first.
MAX_SUMMARIES = 8


@attrs.define
class Tally:
    """How many requests ended, and how many of them were served."""

    ended: float = 0.0
    served: float = 0.0

    def add(self, is_served):
        """Count one request."""
        self.ended += 1
        self.served += is_served

    def halve(self):
        """Halve the weight of what was counted."""
        self.ended /= 2
        self.served /= 2

    @property
    def share(self):
        """Return the share that was served, 1 if none ended."""
        return self.served / self.ended if self.ended else 1.0


@attrs.define
class Level:
    """The accounts of one priority.

    ``tags`` are the virtual start times of the next request of each account,
    ``waiting`` the numbers of its waiting requests.
    """

    virtual_time: float = 0.0
    tags: dict = attrs.field(factory=dict)
    waiting: collections.Counter = attrs.field(factory=collections.Counter)
    total: Tally = attrs.field(factory=Tally)
    tallies: dict = attrs.field(factory=dict)
    is_changed: bool = False

    def lag(self, account):
        """Return how far its next request is ahead of the virtual time."""
        tag = self.tags.get(account, 0.0)
        if account not in self.waiting:
            tag = max(tag, self.virtual_time)
        return tag - self.virtual_time

    def is_short(self, account):
        """Return whether the account is served far less often than all."""
        tally = self.tallies.get(account)
        if tally is None or tally.ended < MIN_ENDED:
            return False
        return tally.share < MIN_SERVED_SHARE * self.total.share

    def on_wait(self, account):
        """Note a request that begins to wait."""
        if account not in self.waiting:
            self.tags[account] = self.virtual_time + self.lag(account)
        self.waiting[account] += 1

    def on_leave(self, account):
        """Note a request that waits no longer."""
        self.waiting[account] -= 1
        if self.waiting[account] <= 0:
            del self.waiting[account]
        if len(self.tags) > 2 * len(self.waiting) + MAX_IDLE:
            self.tags = {
                name: tag
                for name, tag in self.tags.items()
                if name in self.waiting or tag > self.virtual_time
            }

    def charge(self, account):
        """Move the account behind those that were served less."""
        tag = self.tags[account]
        first = min(self.tags[name] for name in self.waiting)
        self.virtual_time = max(self.virtual_time, min(tag, first))
        self.tags[account] = min(tag + 1.0, self.virtual_time + MAX_LEAD)

    def count(self, account, is_served):
        """Count the end of a request."""
        self.is_changed = True
        self.total.add(is_served)
        self.tallies.setdefault(account, Tally()).add(is_served)
        if self.total.ended >= HALVED_AT:
            self.total.halve()
            for tally in self.tallies.values():
                tally.halve()
            self.tallies = {
                name: tally
                for name, tally in self.tallies.items()
                if tally.ended >= 1.0
            }


@attrs.frozen
class Summary:
    """How the accounts of one priority were served.

    ``lowest`` is the account that was served least often, ``largest`` the one
    that asked most.
    """

    priority: int
    accounts: int
    share: float
    lowest: str
    lowest_share: float
    largest: str
    largest_share: float


@attrs.define
class Shares:
    """The shares of the accounts; a state machine without a clock.

    A flow is a pair of a priority and the name of an account, '' for
    requests without one, of which nothing is kept.
    """

    levels: dict = attrs.field(factory=dict)
    refusals: dict = attrs.field(factory=dict)

    def _level(self, priority):
        found = self.levels.get(priority)
        if found is None:
            found = self.levels[priority] = Level()
        return found

    def on_wait(self, flow):
        """Note a request that begins to wait."""
        priority, account = flow
        if account:
            self._level(priority).on_wait(account)

    def on_leave(self, flow, is_served=None):
        """Note a request that waits no longer.

        ``is_served`` is None for one whose caller does not wait any more.
        """
        priority, account = flow
        if not account:
            return
        level = self._level(priority)
        if is_served:
            level.charge(account)
        level.on_leave(account)
        if is_served is not None:
            level.count(account, is_served)

    def on_placed_at_once(self, flow):
        """Note a request that was served without a wait."""
        self.on_wait(flow)
        self.on_leave(flow, True)

    def on_refusal(self, flow, request_id='', now=0.0, until_s=0.0):
        """Note a request that was refused without a wait.

        Its caller was told to repeat it not before ``until_s``.
        """
        priority, account = flow
        if not account:
            return
        if now >= self.refusals.pop(request_id, now):
            self._level(priority).count(account, False)
        if request_id:
            self.refusals[request_id] = until_s
            if len(self.refusals) > MAX_REFUSALS:
                del self.refusals[next(iter(self.refusals))]

    def order(self, items, groups):
        """Return the items in the order in which they are served.

        ``items`` are in the order that holds without shares; each has a
        ``flow``.  ``groups`` has the group of each item: only items of one
        group change places.
        """
        positions = {}
        for position, item in enumerate(items):
            if item.flow[1]:
                positions.setdefault(groups[position], []).append(position)
        ordered = list(items)
        for found in positions.values():
            keys = self._keys([items[p].flow for p in found])
            by_key = sorted(zip(keys, found, strict=True))
            for position, (_, source) in zip(found, by_key, strict=True):
                ordered[position] = items[source]
        return ordered

    def _keys(self, flows):
        """Return the sort keys of requests that are given by their flows.

        The next request of a flow starts at its tag, each further one a unit
        of virtual time later.  Only the next one can be preferred.
        """
        keys, next_lags = [], {}
        for flow in flows:
            lag, rank = next_lags.get(flow), 1
            if lag is None:
                level = self._level(flow[0])
                lag = level.lag(flow[1])
                rank = 0 if level.is_short(flow[1]) else 1
            next_lags[flow] = lag + 1.0
            keys.append((rank, lag))
        return keys

    def displaced(self, ordered, newcomer):
        """Return the item that a newcomer displaces from a full queue.

        ``ordered`` has the newcomer.  Only the last request with an account
        of the same priority gives way, and None is returned where that is
        the newcomer itself.
        """
        priority, account = newcomer.flow
        if not account:
            return None
        last = [i for i in ordered if i.flow[0] == priority and i.flow[1]][-1]
        return None if last is newcomer else last

    def take_summaries(self):
        """Return a `Summary` of each priority that refused requests.

        Those without an ended request since the last call are left out.
        """
        found = []
        for priority, level in sorted(self.levels.items())[:MAX_SUMMARIES]:
            known = {
                name: tally
                for name, tally in level.tallies.items()
                if tally.ended >= MIN_ENDED
            }
            if known and level.is_changed and level.total.share < 1.0:
                found.append(_summarise(priority, level, known))
            level.is_changed = False
        return found


def _summarise(priority, level, tallies):
    lowest = min(tallies, key=lambda name: tallies[name].share)
    largest = max(tallies, key=lambda name: tallies[name].ended)
    return Summary(
        priority,
        len(level.tallies),
        level.total.share,
        lowest,
        tallies[lowest].share,
        largest,
        tallies[largest].share,
    )
