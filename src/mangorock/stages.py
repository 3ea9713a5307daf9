"""Which engine changes its stage, and who may order it.

Answers a mix that stays shifted: prompts are long for many seconds, so the
prefill engines' queues stay full while decode engines have most of their
places free, or the other way round.  One engine at a time changes, and not
within a short swing, since it is away for some seconds.

`StagePlanner` decides by what the scheduler of a service sees.  `Tenure` is
the right to order: a key in the platform's store that exists only while its
lease is renewed, whose revision is the fencing token of every order.  Both
are state machines without sockets or clocks.
"""

import attrs

from mangorock import placement
from mangorock import registry

# Seconds over which queues are averaged, and for which a service is looked
# at before its first change: a start fills every queue with documents that
# nobody has read yet.
QUEUE_SMOOTHING_S = 2.0
WARM_UP_S = 4.0
# An engine that changes is away for so long.  What it keeps stays, but as a
# prefill engine it soon drives it out.
STAGE_CHANGE_S = 3.0
# A shift of the mix is taken to last for so many times as long as it has.
SHIFT_DURATION_FACTOR = 4.0
# The peak of the occupancy halves in so many seconds: it lasts over a swing.
PEAK_HALF_LIFE_S = 10.0
# Average queue of the prefill engines above which another one is wanted where
# the decode engines would be at `MAX_OCCUPANCY`, in proportion less where
# they would have more places free; and below which one may be given back.
LONG_QUEUE_S = 0.2
SHORT_QUEUE_S = 0.03
# The part of the decode engines' places that may be taken at the peak when
# one of them leaves, and above which one is wanted back.
MAX_OCCUPANCY = 0.5
HIGH_OCCUPANCY = 0.8
# Between two changes of a service with one decode engine, in proportion less
# where there are more, so that a like part of them is away at once; a change
# takes about three seconds.
CHANGE_INTERVAL_S = 36.0
MIN_INTERVAL_S = 1.0
# Before an engine goes back, so that no swing moves one to and fro.
RETURN_INTERVAL_S = 20.0
# An engine whose order is open is left alone: a late one is carried out
# within twelve seconds.
SETTLE_S = 15.0
# Decode engines that stay, and the part of them that is left when a failure
# domain is lost: they must do then too.
MIN_DECODES = 8
REMAINING_SHARE = 2 / 3
MIN_PREFILLS = 1


@attrs.frozen
class Change:
    """An engine and the stage that it is to have."""

    server: registry.BackendServer
    stage: registry.Stage


@attrs.define
class StagePlanner:
    """What was seen of one service, and the change that follows.

    ``queue_s`` is the average queue of the prefill engines, ``occupancy``
    the peak part of the decode engines' places that were taken.
    ``pressed_s`` is since when another prefill engine is wanted.
    """

    queue_s: float = 0.0
    occupancy: float = 0.0
    last_sample_s: float | None = None
    prefill_wanted_since_s: float | None = None
    first_sample_s: float | None = None
    last_change_s: float | None = None
    order_times_s: dict = attrs.field(factory=dict)

    def sample(self, scheduler, servers, now):
        """Take in the queues and places that ``scheduler`` knows of."""
        prefills = [s for s in servers if s.is_prefill_only]
        decodes = [s for s in servers if not s.is_prefill_only]
        queues = [scheduler.engine(s).queue_s(now) for s in prefills]
        known = [e for e in map(scheduler.engine, decodes) if e.slots]
        if not queues or not known:
            return
        queue_s = sum(queues) / len(queues)
        streams = sum(engine.count_streams(now) for engine in known)
        occupancy = streams / sum(engine.slots for engine in known)
        if self.last_sample_s is None:
            self.last_sample_s = self.first_sample_s = now
        passed_s = now - self.last_sample_s
        weight = min(1.0, passed_s / QUEUE_SMOOTHING_S)
        self.queue_s += weight * (queue_s - self.queue_s)
        decayed = self.occupancy * 0.5 ** (passed_s / PEAK_HALF_LIFE_S)
        self.occupancy = max(occupancy, decayed)
        self.last_sample_s = now
        if not self._wants_prefill(len(decodes)):
            self.prefill_wanted_since_s = None
        elif self.prefill_wanted_since_s is None:
            self.prefill_wanted_since_s = now

    def reset(self):
        """Forget what was seen: another VM schedules now."""
        self.last_sample_s = self.prefill_wanted_since_s = None
        self.queue_s = self.occupancy = 0.0

    def next_change(self, scheduler, servers, now):
        """Return the `Change` that should be ordered now, or None."""
        if not self._may_change(servers, now):
            return None
        servers = [s for s in servers if self._is_settled(s.life, now)]
        prefills = [s for s in servers if s.is_prefill_only]
        decodes = [s for s in servers if not s.is_prefill_only]
        if (
            self.prefill_wanted_since_s is not None
            and len(decodes) > MIN_DECODES
        ):
            payback_s, _, chosen = min(
                (
                    (_payback_s(scheduler, s), scheduler.engine(s).slowdown, s)
                    for s in decodes
                ),
                key=lambda row: row[:2],
            )
            if (
                SHIFT_DURATION_FACTOR * (now - self.prefill_wanted_since_s)
                < payback_s
            ):
                return None
            return Change(chosen, registry.Stage.PREFILL)
        if self._wants_decode(len(prefills), now):
            chosen = max(prefills, key=lambda s: scheduler.engine(s).slowdown)
            return Change(chosen, registry.Stage.DECODE)
        return None

    def _may_change(self, servers, now):
        if self.last_sample_s is None or now - self.first_sample_s < WARM_UP_S:
            return False
        decodes = sum(not server.is_prefill_only for server in servers)
        interval_s = max(MIN_INTERVAL_S, CHANGE_INTERVAL_S / max(1, decodes))
        return (
            self.last_change_s is None
            or now - self.last_change_s >= interval_s
        )

    def _is_settled(self, life, now):
        ordered_s = self.order_times_s.get(life)
        return ordered_s is None or now - ordered_s >= SETTLE_S

    def _wants_prefill(self, decodes):
        if decodes <= MIN_DECODES:
            return False
        left = REMAINING_SHARE * (decodes - 1)
        part = self.occupancy * decodes / left / MAX_OCCUPANCY
        return part <= 1.0 and self.queue_s >= part * LONG_QUEUE_S

    def _wants_decode(self, prefills, now):
        if prefills <= MIN_PREFILLS or self.queue_s > SHORT_QUEUE_S:
            return False
        since_s = RETURN_INTERVAL_S
        if self.last_change_s is not None:
            since_s = now - self.last_change_s
        return since_s >= RETURN_INTERVAL_S and self.occupancy > HIGH_OCCUPANCY

    def on_away(self, life, now):
        """Take that all VMs were told to spare an engine."""
        if self._is_settled(life, now):
            self.last_change_s = self.order_times_s[life] = now

    def forget(self, lives):
        """Keep only the orders to ``lives``."""
        self.order_times_s = {
            life: ordered_s
            for life, ordered_s in self.order_times_s.items()
            if life in lives
        }


def _payback_s(scheduler, server):
    """Return after how long a new prefill engine has read what it cost.

    That is its time away, and what it kept, to be read again elsewhere.
    """
    engine = scheduler.engine(server)
    rate = placement.PREFILL_TOKENS_PER_S / engine.slowdown
    return STAGE_CHANGE_S + engine.cache.tokens / rate


@attrs.define
class Leadership:
    """The right to order the engines of a service.

    A lease runs for ``lease_s`` from before each call that renewed it.  No
    order is sent in its second half, so that the next holder's first order
    comes at least half a lease after this one's last.  Times are of a clock
    that also counts while the VM is suspended.

    Example::

        tenure = Tenure(lease_s=6.0)
        tenure.begin('lease-7', 100.0)
        tenure.win(41)
        tenure.may_order(102.9)      # True
        tenure.may_order(103.1)      # False, until `renew`
    """

    lease_s: float
    lease: object = None
    fence: int | None = None
    renewed_s: float = 0.0

    def begin(self, lease, now):
        """Take a lease that was asked for at ``now``."""
        self.lease, self.fence, self.renewed_s = lease, None, now

    def acquire(self, fence):
        """Take that the key is this VM's, under this fencing token."""
        self.fence = fence

    def renew(self, now):
        """Take that the lease was renewed by a call sent at ``now``."""
        self.renewed_s = now

    def lose(self):
        """Give up the right; the lease lapses by itself."""
        self.lease = self.fence = None

    @property
    def is_held(self):
        """Say whether the key was won and not known to be lost."""
        return self.fence is not None

    def needs_renewal(self, now):
        """Say whether a third of the lease has run."""
        return now - self.renewed_s > self.lease_s / 3

    def is_expired(self, now):
        """Say whether the lease may have run out."""
        return now - self.renewed_s > self.lease_s

    def may_order(self, now):
        """Say whether an order may be sent now."""
        return self.is_held and now - self.renewed_s < self.lease_s / 2
