"""Predicts how long a request waits, from the rate at which a queue empties.

It answers a load that lasts: the queue is long, and a new request at its end
could only wait until its time is over and be refused then.  The prediction
refuses it at once and tells when there is room.

The rate is that of the last placements from the queue.  It counts only while
requests wait, and a placement that is overdue lowers it at once.  The first
request of a priority is never refused by a prediction, as placements of those
that wait are what renews the rate.

Example::

    rate = QueueRate()
    rate.on_begin(now)          # a first request waits
    rate.on_placed(now + 0.1)
    rate.interval_s(now + 0.1)
"""

import collections

import attrs

# Placements that the rate is averaged over; more than the slots that servers
# free at the same moment.
MAX_SAMPLES = 32
# Placements below which the rate is not known.
MIN_SAMPLES = 8
# Time without waiting requests after which the rate is not known any more.
VALID_S = 5.0
# Shortest Retry-After of a predicted wait, in seconds.
MIN_RETRY_AFTER_S = 0.2
# Longest one: the load of a later moment cannot be predicted.
MAX_RETRY_AFTER_S = 10.0
# Callers of one account that are still to come back and are counted.
MAX_RETURNS = 1024


@attrs.define
class QueueRate:
    """The placements of one priority from one queue.

    ``since_s`` is the time of the last placement, or the time at which
    requests began to wait after it.
    """

    since_s: float = 0.0
    intervals: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def on_begin(self, now):
        """Note that requests wait where none did."""
        if now - self.since_s > VALID_S:
            self.intervals.clear()
        self.since_s = now

    def on_placed(self, now):
        """Note a placement of a request that waited."""
        self.intervals.append(now - self.since_s)
        self.since_s = now

    def interval_s(self, now):
        """Return the mean time between placements, 0 if it is unknown."""
        count = len(self.intervals)
        if count < MIN_SAMPLES:
            return 0.0
        total_s = sum(self.intervals)
        open_s = max(0.0, now - self.since_s)
        return max(total_s / count, (total_s + open_s) / (count + 1))


@attrs.define
class Returns:
    """When the refused callers of one account were told to come back."""

    times_s: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RETURNS)
    )

    def add(self, at_s):
        """Note that a caller was told to come back at ``at_s``."""
        self.times_s.append(at_s)

    def count(self, now):
        """Return how many callers are still to come back."""
        while self.times_s and self.times_s[0] <= now:
            self.times_s.popleft()
        return len(self.times_s)


def limit_retry_after_s(seconds):
    """Return a predicted time until there is room, within its bounds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
