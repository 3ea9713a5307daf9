"""Counts the requests of each client account in windows of true time.

It answers a load of 1,400 accounts at 300 VMs whose reports must be right
within a few per cent, while the time of day of single VMs jumps by seconds.
Each VM counts its own requests (`UsageCounter`) by a time that hangs on the
steady clock and on the median of the other VMs (`TrueTime`).  The VMs that
rank first for the duties add up what all have counted (`Collector`).

All times that are passed in as ``steady_s`` are of a clock that also advances
while the VM is suspended and that never jumps.

Example::

    counter = UsageCounter(Windows(window_s=5.0, late_s=10.0), TrueTime())
    counter.time.on_time_of_day(1767225601.0, steady_s=100.0)
    counter.add('acme', 100.0)          # 353445120
    counter.take_ended(110.0)           # [(353445120, {'acme': 1})]
"""

import collections
import math
import statistics

import attrs

# Samples of this VM's time of day, one a second, of which the median counts.
# A jump that lasts shorter than the half of them has no effect.
TIME_SAMPLES = 241
# What another VM said of the time counts for this long, in seconds.
VOTE_VALID_S = 30.0
# Messages are late where a VM was suspended; of so many of a VM the earliest
# counts.
VOTES_PER_VM = 8
# Fewer VMs than this cannot tell whose clock is wrong.
MIN_VOTES = 3

# Parts of the time until a report is due.  A VM fixes its counts when refusals
# of the window's last requests have come, and sends them within the spread, as
# datagrams of all VMs at once overflow a socket's buffer.  A report is closed
# without the missing VMs while there is time for its write and repeats.
SETTLE_PART = 0.1
SPREAD_PART = 0.1
CLOSE_PART = 0.6


@attrs.frozen
class Windows:
    """Windows of ``window_s``, reported ``late_s`` after the end of each."""

    window_s: float
    late_s: float

    def at(self, unix_s):
        """Return the number of the window at a time."""
        return math.floor(unix_s / self.window_s)

    def end_s(self, window):
        """Return the end of a window."""
        return (window + 1) * self.window_s

    def is_late(self, window, unix_s):
        """Return whether the report of a window is late by now."""
        return unix_s > self.end_s(window) + self.late_s

    def oldest(self, unix_s):
        """Return the first window whose report is not late yet."""
        return math.ceil((unix_s - self.late_s) / self.window_s) - 1

    @property
    def settle_s(self):
        """Return the time from a window's end until its counts are fixed."""
        return SETTLE_PART * self.late_s

    @property
    def spread_s(self):
        """Return the time in which the VMs begin to send their counts."""
        return SPREAD_PART * self.late_s

    @property
    def all_sent_s(self):
        """Return the time from a window's end until all have sent."""
        return self.settle_s + self.spread_s

    @property
    def close_s(self):
        """Return the time from a window's end until it is closed anyway."""
        return CLOSE_PART * self.late_s


@attrs.define
class TrueTime:
    """The time of day, which no jump of a single VM's clock changes.

    This VM's own time hangs on the steady clock (`own`) and is what others
    are told.  It is never corrected itself, so that no error goes round.
    """

    offsets: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=TIME_SAMPLES)
    )
    votes: dict = attrs.field(factory=dict)
    sampled_s: float = -math.inf
    own_offset_s: float = 0.0
    offset_s: float = 0.0

    def on_time_of_day(self, unix_s, steady_s):
        """Take a sample of this VM's time of day; call it often."""
        if steady_s - self.sampled_s < 1.0:
            return
        self.sampled_s = steady_s
        offset_s = unix_s - steady_s
        if not self.offsets:
            # A jump soon after the start must not outvote the first samples.
            self.offsets.extend([offset_s] * (TIME_SAMPLES // 2 + 1))
        self.offsets.append(offset_s)
        self.own_offset_s = statistics.median(self.offsets)
        self._correct(steady_s)

    def on_vote(self, vm, unix_s, steady_s):
        """Take what another VM says of the time."""
        votes = self.votes.setdefault(
            vm, collections.deque(maxlen=VOTES_PER_VM)
        )
        votes.append((unix_s - steady_s, steady_s))

    def _correct(self, steady_s):
        for vm, votes in list(self.votes.items()):
            if steady_s - votes[-1][1] > VOTE_VALID_S:
                del self.votes[vm]
        # A message can only be late, which makes its offset smaller.
        told = [max(votes)[0] for votes in self.votes.values()]
        self.offset_s = self.own_offset_s
        if len(told) + 1 >= MIN_VOTES:
            self.offset_s = statistics.median([self.own_offset_s, *told])

    def own(self, steady_s):
        """Return this VM's time, which is not corrected by others."""
        return steady_s + self.own_offset_s

    def at(self, steady_s):
        """Return the true time, in seconds since the start of 1970."""
        return steady_s + self.offset_s


@attrs.define
class UsageCounter:
    """Counts the requests of this VM by account and window.

    ``next_window`` is the first one whose counts are not fixed.
    """

    windows: Windows
    time: TrueTime
    counts: dict = attrs.field(factory=dict)
    next_window: int | None = None

    def add(self, account, steady_s):
        """Count a request that begins; return the window that has it."""
        self._follow(steady_s)
        window = self.windows.at(self.time.at(steady_s))
        # The clock may have been corrected to before what was fixed.
        window = max(window, self.next_window)
        found = self.counts.setdefault(window, collections.Counter())
        found[account] += 1
        return window

    def remove(self, account, window):
        """Undo a count of a request that did not run, if there is time."""
        found = self.counts.get(window)
        if found is not None and found[account]:
            found[account] -= 1

    def begin(self, context, steady_s):
        """Count a request once; return whether this call did.

        ``context`` is its `context.RequestContext`.  Requests without an
        account do not count.
        """
        if context.account is None or context.counted_window is not None:
            return False
        context.counted_window = self.add(context.account_name, steady_s)
        return True

    def undo(self, context):
        """Undo what `begin` did for a request that did not run."""
        self.remove(context.account_name, context.counted_window)
        context.counted_window = None

    def take_ended(self, steady_s, delay_s=0.0):
        """Fix and return the (window, counts) of windows that have ended.

        ``delay_s`` has passed since the end of each and the time for
        refusals.  Windows whose reports are late are dropped.
        """
        self._follow(steady_s)
        unix_s = self.time.at(steady_s)
        since_s = unix_s - self.windows.settle_s - delay_s
        self.next_window = max(self.next_window, self.windows.oldest(unix_s))
        return self._take_until(self.windows.at(since_s))

    def take_all(self, steady_s):
        """Fix and return all (window, counts), of the current one, too."""
        self._follow(steady_s)
        return self._take_until(self.windows.at(self.time.at(steady_s)) + 1)

    def _take_until(self, end):
        taken = []
        while self.next_window < end:
            counts = self.counts.pop(self.next_window, {})
            counted = {a: n for a, n in sorted(counts.items()) if n}
            taken.append((self.next_window, counted))
            self.next_window += 1
        for window in [w for w in self.counts if w < end]:
            del self.counts[window]
        return taken

    def _follow(self, steady_s):
        """Begin with the present window; follow a clock that was far off."""
        window = self.windows.at(self.time.at(steady_s))
        ahead = math.ceil(self.windows.late_s / self.windows.window_s)
        if self.next_window is None or self.next_window > window + 1 + ahead:
            self.next_window = window


@attrs.define
class Part:
    """The counts of one process for one window, in ``count`` pieces."""

    count: int
    pieces: dict = attrs.field(factory=dict)

    @property
    def is_whole(self):
        """Return whether all pieces have come."""
        return len(self.pieces) == self.count


@attrs.define
class Collector:
    """The counts of all VMs by window.

    A VM that was restarted has counts of more than one ``run`` in a window.
    """

    windows: Windows
    parts: dict = attrs.field(factory=dict)

    def on_counts(self, counts, unix_s):
        """Take a `messages.UsageCounts`; return whether its window counts."""
        oldest = self.windows.oldest(unix_s)
        for window in [w for w in self.parts if w < oldest]:
            del self.parts[window]
        if not oldest <= counts.window <= self.windows.at(unix_s) + 1:
            return False
        of_window = self.parts.setdefault(counts.window, {})
        part = of_window.setdefault(
            (counts.vm, counts.run), Part(counts.pieces)
        )
        if counts.piece < part.count:
            part.pieces.setdefault(counts.piece, counts)
        return True

    def of_earlier_runs(self, vm, run):
        """Return the `messages.UsageCounts` of a VM's other processes."""
        return [
            counts
            for of_window in self.parts.values()
            for (known_vm, known_run), part in of_window.items()
            if known_vm == vm and known_run != run
            for counts in part.pieces.values()
        ]

    def reported(self, window):
        """Return the names of the VMs whose counts are complete."""
        found = self.parts.get(window, {})
        return {vm for (vm, _), part in found.items() if part.is_whole} - {
            vm for (vm, _), part in found.items() if not part.is_whole
        }

    def totals(self, window):
        """Return the counts of all VMs, by account."""
        totals = collections.Counter()
        for part in self.parts.get(window, {}).values():
            for counts in part.pieces.values():
                for account, count in counts.rows:
                    totals[account] += count
        return dict(sorted(totals.items()))
