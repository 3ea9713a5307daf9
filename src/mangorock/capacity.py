"""Learns how many requests a server takes before its latency grows.

Handles servers of one service that differ in speed, slow down long before
their slots are used, or change their speed for some seconds.  The number at
which latency begins to grow is the knee.  It is learned from the latency of
responses, and from the pace that servers report, against the whole load that
they report, so that a VM with few requests of its own learns it too.

A limit below the slots makes a server less attractive and never unusable:
what one VM wrongly believes takes no server out of use.  A state machine
without I/O; callers pass the time.
"""

import math

import attrs

# Whether capacity is learned and, with reported paces, influences placement.
IS_ENABLED = True
# Buckets of the load for each doubling of it, and the number of buckets.
BUCKETS_PER_DOUBLING = 2
MAX_BUCKETS = 24
# The weight of samples halves within this time, in seconds; the weight of a
# bucket's older samples is at most `MAX_WEIGHT`.
HALF_LIFE_S = 3.0
MAX_WEIGHT = 12.0
# A sample counts for at most this multiple of its bucket's mean.
MAX_SAMPLE_RATIO = 4.0
# Age up to which samples show that latency grows, and how it is without load,
# in seconds.  The latter is remembered longer as a server under constant load
# does not show it again.
GROWTH_VALID_S = 6.0
BASE_VALID_S = 20.0
# Weight that a bucket keeps until `BASE_VALID_S`, so that it remains a base.
KEPT_WEIGHT = 2.0
# Least weight of the samples on both sides of the knee.
MIN_WEIGHT = 1.5
# Least growth of the latency beyond the knee, and the least growth in standard
# errors, so that differences in the work of requests are not taken for it.
MIN_GROWTH = 1.25
MIN_STANDARD_ERRORS = 3.5
# Relative standard deviation that is assumed at first, and the weight of this
# assumption.
PRIOR_DEVIATION = 0.3
PRIOR_WEIGHT = 2.0
# Shortest time between two evaluations of a server, in seconds.
EVALUATION_INTERVAL_S = 0.5
# A limit grows at most by the factor of two in this time, in seconds.
DOUBLING_S = 2.0
# Validity of a reported pace, in seconds; it changes many times a second.
PACE_VALID_S = 0.1
PACE_WEIGHT = 0.2  # Weight of the newest pace in the moving average.
# Range of the factor by which a pace corrects the expected time.
MIN_PACE_FACTOR, MAX_PACE_FACTOR = 0.25, 4.0
# A limit is reported again once it has changed by this factor.
REPORTED_CHANGE = 1.5


@attrs.define
class Bucket:
    """Mean and variance of samples at about the same load.

    ``load`` is the mean load of the samples.
    """

    load: float = 0.0
    mean: float = 0.0
    variance: float = 0.0
    weight: float = 0.0
    updated_s: float = 0.0

    def decayed_weight(self, now):
        """Return the weight that remains of the samples."""
        return self.weight * 0.5 ** ((now - self.updated_s) / HALF_LIFE_S)

    def add(self, load, value, now):
        """Add a sample."""
        if self.weight:
            value = min(value, MAX_SAMPLE_RATIO * self.mean)
        weight = min(MAX_WEIGHT, self.decayed_weight(now)) + 1
        share, difference = 1 / weight, value - self.mean
        self.mean += share * difference
        self.variance = (1 - share) * (
            self.variance + share * difference * difference
        )
        self.load += share * (load - self.load)
        self.weight, self.updated_s = weight, now


@attrs.frozen
class Knee:
    """The load at which latency begins to grow, known until ``valid_until_s``.

    ``score`` is the growth in standard errors.
    """

    load: float
    score: float
    valid_until_s: float


@attrs.define
class Curve:
    """Latency, or another measure of slowness, by load."""

    buckets: dict = attrs.field(factory=dict)

    def add(self, load, value, now):
        """Add a sample of ``value`` at a load of at least one request."""
        index = int(BUCKETS_PER_DOUBLING * math.log2(max(1, load)))
        index = min(MAX_BUCKETS - 1, index)
        bucket = self.buckets.get(index)
        if bucket is None:
            bucket = self.buckets[index] = Bucket()
        bucket.add(load, value, now)

    def find_knee(self, now):
        """Return the `Knee`, None if no growth is certain.

        The buckets are split where the growth from those below to those
        above is the most certain.  Only one pass is made over them, as this
        is evaluated for many servers.
        """
        buckets = [
            bucket
            for _, bucket in sorted(self.buckets.items())
            if now - bucket.updated_s <= BASE_VALID_S
        ]
        if len(buckets) < 2:
            return None
        weights = [bucket.decayed_weight(now) for bucket in buckets]
        variance = _relative_variance(buckets, weights)
        sums = _sums_above(buckets, weights, now)
        found = None
        low_weight = low_sum = 0.0
        for split in range(1, len(buckets)):
            below = buckets[split - 1]
            weight = max(weights[split - 1], min(KEPT_WEIGHT, below.weight))
            low_weight += weight
            low_sum += weight * below.mean
            high = sums[split]
            if low_weight < MIN_WEIGHT or high.weight < MIN_WEIGHT:
                continue
            base, mean = low_sum / low_weight, high.values / high.weight
            if base <= 0 or mean < MIN_GROWTH * base:
                continue
            error = math.sqrt(variance * (1 / low_weight + 1 / high.weight))
            score = math.log(mean / base) / error
            if score < MIN_STANDARD_ERRORS or (found and score < found.score):
                continue
            # Beyond the knee, latency is taken to be proportional to the load.
            load = base * high.ratios / high.weight
            load = max(below.load, min(high.lowest, load))
            found = Knee(load, score, high.newest_s + GROWTH_VALID_S)
        return found


@attrs.define
class Sums:
    """Weighted sums over the buckets from one load on upwards.

    ``ratios`` is that of load to mean, ``lowest`` the lowest load.
    """

    weight: float = 0.0
    values: float = 0.0
    ratios: float = 0.0
    lowest: float = 0.0
    newest_s: float = float('-inf')


def _sums_above(buckets, weights, now):
    """Return the `Sums` from each bucket on; old samples do not count."""
    sums = Sums()
    found = []
    for bucket, weight in zip(reversed(buckets), reversed(weights)):
        if now - bucket.updated_s <= GROWTH_VALID_S and bucket.mean > 0:
            sums = Sums(
                sums.weight + weight,
                sums.values + weight * bucket.mean,
                sums.ratios + weight * bucket.load / bucket.mean,
                bucket.load,
                max(sums.newest_s, bucket.updated_s),
            )
        found.append(sums)
    found.reverse()
    return found


def _relative_variance(buckets, weights):
    total, weight_sum = PRIOR_WEIGHT * PRIOR_DEVIATION**2, PRIOR_WEIGHT
    for bucket, weight in zip(buckets, weights):
        total += weight * bucket.variance / (bucket.mean**2 or 1.0)
        weight_sum += weight
    return total / weight_sum


@attrs.define
class Capacity:
    """What is learned of one server incarnation.

    Example::

        learned = Capacity()
        learned.observe(load=4, latency_s=0.1, slots=30, now=0.0)
        ...
        learned.observe(load=24, latency_s=0.25, slots=30, now=3.0)
        learned.limit(30, now=3.0)      # about 10
    """

    latencies: Curve = attrs.field(factory=Curve)
    paces: Curve = attrs.field(factory=Curve)
    knee: Knee | None = None
    start_limit: float = 0.0
    start_s: float = 0.0
    evaluated_s: float = float('-inf')
    mean_pace: float = 0.0
    pace: float = 0.0
    pace_s: float = float('-inf')
    reported_limit: float = 0.0

    def observe(self, load, latency_s, slots, now, pace=None):
        """Record a response at a server with ``load`` open requests.

        ``latency_s`` is None if it depends mainly on the request, ``pace``
        if the server did not report it.
        """
        if not IS_ENABLED:
            return
        if latency_s:
            self.latencies.add(load, latency_s, now)
        if pace:
            self.paces.add(load, pace, now)
        if now - self.evaluated_s >= EVALUATION_INTERVAL_S:
            self.evaluated_s = now
            self._evaluate(slots, now)

    def _evaluate(self, slots, now):
        found = [
            knee
            for knee in (
                self.latencies.find_knee(now),
                self.paces.find_knee(now),
            )
            if knee is not None
        ]
        if self.knee is None and not found:
            return
        limit = self.limit(slots, now)
        if found:
            knee = min(found, key=lambda knee: knee.load)
            self.start_limit = max(1.0, min(limit, knee.load))
        elif limit < slots:
            knee = attrs.evolve(
                self.knee, valid_until_s=min(self.knee.valid_until_s, now)
            )
            self.start_limit = limit
        else:
            knee = None
        self.knee, self.start_s = knee, now

    def limit(self, slots, now):
        """Return how many requests the server takes, at most ``slots``.

        It falls at once and grows gradually, so that a server that becomes
        faster again is not sent everything at the same time.
        """
        knee = self.knee
        if knee is None:
            return slots
        limit = self.start_limit
        if now < knee.valid_until_s:
            limit = min(max(1.0, knee.load), _grown(limit, now - self.start_s))
            return min(slots, limit)
        valid_s = max(0.0, knee.valid_until_s - self.start_s)
        limit = min(max(1.0, knee.load, limit), _grown(limit, valid_s))
        ended_s = max(self.start_s, knee.valid_until_s)
        return min(slots, _grown(limit, now - ended_s))

    def on_pace(self, pace, now):
        """Record the pace that the server reported, None if it did not."""
        if pace is None or pace <= 0:
            return
        if self.mean_pace:
            self.mean_pace += PACE_WEIGHT * (pace - self.mean_pace)
        else:
            self.mean_pace = pace
        self.pace, self.pace_s = pace, now

    def pace_factor(self, now):
        """Return the time that work takes now relative to recent responses.

        The latencies of those include the server's mean pace.  As that gets
        older, the usual pace is assumed again, since a server that is avoided
        for its pace does not report a better one.
        """
        age_s = now - self.pace_s - PACE_VALID_S
        if age_s <= 0:
            factor = self.pace / self.mean_pace
        elif self.mean_pace in (0.0, 1.0):
            return 1.0
        else:
            weight = 0.5 ** (age_s / HALF_LIFE_S)
            factor = self.mean_pace ** (weight - 1)
        return min(MAX_PACE_FACTOR, max(MIN_PACE_FACTOR, factor))

    @property
    def is_notable(self):
        """Return whether a limit is known, or was when last reported."""
        return self.knee is not None or self.reported_limit > 0

    def take_change(self, slots, now):
        """Return the limit if it has changed since the last call, or None."""
        limit = self.limit(slots, now)
        known = self.reported_limit or slots
        is_restored = limit == slots != known
        ratio = max(limit, known) / max(1.0, min(limit, known))
        if ratio < REPORTED_CHANGE and not is_restored:
            return None
        self.reported_limit = 0.0 if limit == slots else limit
        return limit


def _grown(limit, seconds):
    """Return how far a limit has grown in this time."""
    # The exponent is bounded because larger powers overflow.
    return limit * 2.0 ** min(32.0, max(0.0, seconds) / DOUBLING_S)


def excess(load, slots, learned, now):
    """Return how many requests exceed the learned limit with one more.

    Returns 0 where nothing below ``slots`` is learned.
    """
    if not IS_ENABLED or learned.knee is None:
        return 0.0
    limit = learned.limit(slots, now)
    return max(0.0, load + 1 - limit) if limit < slots else 0.0
