"""Decides which engine changes its stage.

This handles a lasting shift of the load.  While prompts are long for many
seconds, the queues of the prefill engines stay full and most slots of the
decode engines stay free, or the other way round.  Engines change one at a
time, and not for a short swing, since an engine that changes is unavailable
for some seconds.

`StagePlanner` decides from the state of a service's scheduler.  It is a state
machine without sockets or clocks.
"""

import attrs

from mangorock import registry

# Smoothing time of the queues, and how long a service is observed before its
# first change, in seconds: after a start every queue is full of documents that
# no engine has cached yet.
QUEUE_SMOOTHING_S = 2.0
WARM_UP_S = 4.0
# How long a change takes, in seconds.  The engine's cache survives, but as a
# prefill engine it soon evicts those documents.
STAGE_CHANGE_S = 3.0
# A shift of the load is expected to last this many times as long as it has
# lasted so far.
SHIFT_DURATION_FACTOR = 4.0
# Half-life of the peak occupancy, in seconds; long enough to outlast a swing
# of the load.
PEAK_HALF_LIFE_S = 10.0
# Average queue of the prefill engines above which another one is wanted, in
# seconds, if the decode engines would then be at `MAX_OCCUPANCY`;
# proportionally less if they would have more free slots. Below `SHORT_QUEUE_S`
# a prefill engine may change back.
LONG_QUEUE_S = 0.2
SHORT_QUEUE_S = 0.03
# Highest share of the decode engines' slots in use at the peak after one of
# them leaves, and the share above which a prefill engine changes back.
MAX_OCCUPANCY = 0.5
HIGH_OCCUPANCY = 0.8
# Time between two changes in a service with one decode engine, in seconds;
# divided by their number if there are more, so that about the same share of
# them is away at any time. A change takes about three seconds.
CHANGE_INTERVAL_S = 36.0
MIN_INTERVAL_S = 1.0
# Time since the last change before a prefill engine changes back, in seconds,
# so that a swing of the load moves no engine back and forth.
RETURN_INTERVAL_S = 20.0
# An engine with an open order gets no other one for this long, in seconds; a
# late order is executed within twelve seconds.
SETTLE_S = 15.0
# Least number of decode engines, and the share of them that remains when a
# failure domain is lost: the remaining ones must suffice then too.
MIN_DECODES = 8
REMAINING_SHARE = 2 / 3
MIN_PREFILLS = 1


@attrs.frozen
class Change:
    """An engine and its new stage."""

    server: registry.BackendServer
    stage: registry.Stage


@attrs.define
class StagePlanner:
    """The load samples of one service, and the change that they call for.

    ``queue_s`` is the smoothed average queue of the prefill engines,
    ``occupancy`` the decaying peak share of the decode engines' slots in use.
    ``prefill_wanted_since_s`` is since when another prefill engine is wanted,
    or None.
    """

    queue_s: float = 0.0
    occupancy: float = 0.0
    last_sample_s: float | None = None
    prefill_wanted_since_s: float | None = None
    first_sample_s: float | None = None
    last_change_s: float | None = None
    order_times_s: dict = attrs.field(factory=dict)

    def sample(self, scheduler, servers, now):
        """Sample the queues and slots that ``scheduler`` knows of."""
        prefill_engines = [s for s in servers if s.is_prefill_only]
        decode_engines = [s for s in servers if not s.is_prefill_only]
        queues = [scheduler.queue_s(s, now) for s in prefill_engines]
        known = [e for e in map(scheduler.engine, decode_engines) if e.slots]
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
        if not self._wants_prefill(len(decode_engines)):
            self.prefill_wanted_since_s = None
        elif self.prefill_wanted_since_s is None:
            self.prefill_wanted_since_s = now

    def reset(self):
        """Discard the samples, since another VM schedules now."""
        self.last_sample_s = self.prefill_wanted_since_s = None
        self.queue_s = self.occupancy = 0.0

    def next_change(self, scheduler, servers, now):
        """Return the `Change` to order now, or None."""
        if not self._may_change(servers, now):
            return None
        servers = [s for s in servers if self._is_settled(s.incarnation, now)]
        prefill_engines = [s for s in servers if s.is_prefill_only]
        decode_engines = [s for s in servers if not s.is_prefill_only]
        if (
            self.prefill_wanted_since_s is not None
            and len(decode_engines) > MIN_DECODES
        ):
            payback_s, _, chosen = min(
                (
                    (
                        _payback_s(scheduler, s),
                        scheduler.model.slowdown(s),
                        s,
                    )
                    for s in decode_engines
                ),
                key=lambda row: row[:2],
            )
            if (
                SHIFT_DURATION_FACTOR * (now - self.prefill_wanted_since_s)
                < payback_s
            ):
                return None
            return Change(chosen, registry.Stage.PREFILL)
        if self._wants_decode(len(prefill_engines), now):
            chosen = max(prefill_engines, key=scheduler.model.slowdown)
            return Change(chosen, registry.Stage.DECODE)
        return None

    def _may_change(self, servers, now):
        if self.last_sample_s is None or now - self.first_sample_s < WARM_UP_S:
            return False
        decode_count = sum(not server.is_prefill_only for server in servers)
        interval_s = max(
            MIN_INTERVAL_S, CHANGE_INTERVAL_S / max(1, decode_count)
        )
        return (
            self.last_change_s is None
            or now - self.last_change_s >= interval_s
        )

    def _is_settled(self, incarnation, now):
        ordered_s = self.order_times_s.get(incarnation)
        return ordered_s is None or now - ordered_s >= SETTLE_S

    def _wants_prefill(self, decode_count):
        if decode_count <= MIN_DECODES:
            return False
        left = REMAINING_SHARE * (decode_count - 1)
        part = self.occupancy * decode_count / left / MAX_OCCUPANCY
        return part <= 1.0 and self.queue_s >= part * LONG_QUEUE_S

    def _wants_decode(self, prefill_count, now):
        if prefill_count <= MIN_PREFILLS or self.queue_s > SHORT_QUEUE_S:
            return False
        since_s = RETURN_INTERVAL_S
        if self.last_change_s is not None:
            since_s = now - self.last_change_s
        return since_s >= RETURN_INTERVAL_S and self.occupancy > HIGH_OCCUPANCY

    def on_away(self, incarnation, now):
        """Record that all VMs were told to send an engine nothing."""
        if self._is_settled(incarnation, now):
            self.last_change_s = self.order_times_s[incarnation] = now

    def forget(self, incarnations):
        """Drop the order times of engines that are not in ``incarnations``."""
        self.order_times_s = {
            incarnation: ordered_s
            for incarnation, ordered_s in self.order_times_s.items()
            if incarnation in incarnations
        }


def _payback_s(scheduler, server):
    """Return how long a new prefill engine needs to make up for its change.

    The cost is its time away, and the prefill of its cached documents on other
    engines.
    """
    prefill_engine = attrs.evolve(server, stage=registry.Stage.PREFILL)
    token_s = scheduler.model.token_s(prefill_engine)
    return STAGE_CHANGE_S + scheduler.engine(server).cache.tokens * token_s
