"""Positions in the history of the platform's store, across its restores.

A store that is restored from an older copy begins a new era: what was written
after the copy is gone, leases included, and revisions and leases are given out
again.  So a revision alone names no place in its history.  A position is the
era and the revision in one number: those of a later era are higher, whatever
their revision, and so are fencing tokens that are made of them.  In a store
that tells no era, positions are its revisions.

`Eras` records which era the store is in.  What a new one means is the same for
all that is kept of the store: it is listed anew, own keys are written anew, no
order is given until each lease of the earlier era has run out, and what is
known is not forgotten because a copy lacks it.

Example::

    eras = Eras()
    eras.observe(1, now=10.0)
    eras.observe(2, now=25.0)               # True, a new era
    eras.observe(1, now=25.1)               # False, a late answer
    eras.may_lead(lease_s=6.0, now=30.0)    # False until 31.0
    make_position(2, 36) > make_position(1, 90)     # True
"""

import attrs

REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
# Positions are fencing tokens, which JSON readers may take as floats.
MAX_ERA = (1 << 53 - REVISION_BITS) - 1


def make_position(era, revision):
    """Return the position of a revision in an era.

    Raises `ValueError` if one of them is out of range.
    """
    if not 0 <= revision <= MAX_REVISION or not 0 <= era <= MAX_ERA:
        raise ValueError(f'no position has era {era}, revision {revision}')
    return era << REVISION_BITS | revision


def era_of(position):
    """Return the era of a position, 0 where the store tells none."""
    return position >> REVISION_BITS


def revision_of(position):
    """Return the revision of a position in its era."""
    return position & MAX_REVISION


@attrs.frozen
class Lease:
    """A lease that the store granted in an era; its id may recur later."""

    era: int
    lease_id: object

    def __str__(self):
        return f'{self.era}.{self.lease_id}'


@attrs.define
class Eras:
    """The newest era that the store told, 0 for none.

    ``since_s`` is when its first answer came, in the time of
    `clocks.boot_clock`; the era began before.  ``has_changed`` says that this
    process has seen an earlier one.
    """

    era: int = 0
    since_s: float = float('-inf')
    has_changed: bool = False

    def observe(self, era, now):
        """Take the era of an answer; return whether it is the newest one.

        Nothing may be concluded from an answer of an earlier era.  ``era`` is
        0 where the answer tells none.
        """
        if era > self.era:
            self.has_changed = self.has_changed or self.era > 0
            self.era, self.since_s = era, now
        return era == self.era

    def is_over(self, position):
        """Say whether a position lies in an earlier era."""
        return era_of(position) < self.era

    def may_lead(self, lease_s, now):
        """Say whether each lease of an earlier era has run out.

        Whoever held one renewed it before this era began, and may not have
        noticed that it began.
        """
        return now - self.since_s >= lease_s
