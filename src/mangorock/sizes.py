"""Keeps large prompts from being shut out of engines that are overloaded.

A large prompt cannot be in time soon after its arrival, or never, while small
ones still can.  An order by the time that is left therefore serves only small
ones for as long as the engines are overloaded.

The prompts of one kind, those of one priority and target latency, are divided
by size into bands: the largest tenth, the fifth below it, and the rest.  Each
ended prompt of the two upper bands adds to the debt of its band the share of
all prompts that is owed to it, and each served one takes one off.  While the
debt of a band is positive, its next prompt goes first among those of its
priority.

Example::

    sizes = Sizes()
    band = sizes.band(request)
    sizes.on_end(band, is_served=False)
    sizes.is_owed(band)
"""

import bisect
import collections

import attrs

# The bands end at these parts of the recent sizes, the last at the largest.
BAND_ENDS = (0.7, 0.9)
# A band is served at least this share as often as all prompts of its kind.
# The specified minimum is 0.5; some that are assigned are lost afterwards.
MIN_SERVED_SHARE = 0.6
# What a band may be ahead before an overload, and how much of its debt is kept
# after one, in prompts.
MAX_LEAD, MAX_DEBT = 2.0, 4.0
# Sizes of a kind that are remembered, and after how many new ones the bounds
# of its bands are found again.
MAX_SIZES, REFRESHED_AFTER = 256, 16
# Weight of the newest prompt in the share that is served.
SERVED_WEIGHT = 1 / 32
# Kinds that are remembered; callers do not choose them.
MAX_KINDS = 64


@attrs.frozen
class Band:
    """The band of a prompt: its kind, and 0 for the smallest sizes."""

    kind: tuple
    number: int


@attrs.define
class Kind:
    """The sizes and the shares of one kind of prompt."""

    sizes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SIZES)
    )
    bounds: list = attrs.field(factory=list)
    new_sizes: int = 0
    served_share: float = 1.0
    debts: list = attrs.field(
        factory=lambda: [-MAX_LEAD] * (len(BAND_ENDS) + 1)
    )

    def add_size(self, tokens):
        """Note the size of a prompt; return the number of its band."""
        self.sizes.append(tokens)
        self.new_sizes += 1
        if self.new_sizes >= REFRESHED_AFTER:
            self.new_sizes = 0
            ordered = sorted(self.sizes)
            self.bounds = [ordered[int(e * len(ordered))] for e in BAND_ENDS]
        return bisect.bisect_right(self.bounds, tokens)

    def count(self, number, is_served):
        """Count the end of a prompt of a band."""
        self.served_share += SERVED_WEIGHT * (is_served - self.served_share)
        debt = self.debts[number] + MIN_SERVED_SHARE * self.served_share
        debt -= is_served
        self.debts[number] = min(MAX_DEBT, max(-MAX_LEAD, debt))


@attrs.define
class Sizes:
    """The kinds of the prompts of one service; a state machine."""

    kinds: dict = attrs.field(factory=dict)

    def band(self, request):
        """Return the `Band` of a new `messages.PlacementRequest`."""
        key = request.priority, request.target_s
        kind = self.kinds.get(key)
        if kind is None:
            if len(self.kinds) >= MAX_KINDS:
                self.kinds.clear()
            kind = self.kinds[key] = Kind()
        tokens = request.shared_tokens + request.own_tokens
        return Band(key, kind.add_size(tokens))

    def on_end(self, band, is_served):
        """Count a prompt that was assigned or refused."""
        kind = self.kinds.get(band.kind)
        if kind is not None:
            kind.count(band.number, is_served)

    def is_owed(self, band):
        """Return whether the next prompt of a band goes first."""
        kind = self.kinds.get(band.kind)
        return (
            kind is not None
            and band.number > 0
            and kind.debts[band.number] > 0
        )
