"""Models of engines: how long they prefill, what they cache, their queues.

Engines of different deployments differ by an order of magnitude in speed, and
those of one service by a factor of three, so nothing is assumed: a
`PrefillModel` learns from every prompt that was prefilled.  Both the shared
scheduler and a VM that places by itself use it.
"""

import collections

import attrs

from mangorock import capacity

# Start values of the learnt time to prefill a prompt on an average engine; a
# decode engine prefills beside its streams and so at half the speed.
START_OVERHEAD_S = 0.015
START_PREFILL_TOKENS_PER_S = 48000
START_DECODE_TOKENS_PER_S = 24000
# Weight that remains of the older samples with each new one.
FIT_DECAY = 0.97
# Prompt sizes, in tokens, at which the start values act as two samples of
# weight 1, so that samples of one size do not leave the fit undetermined.
START_SAMPLE_TOKENS = (500, 8000)
# Longest prefill that one sample may show, relative to the expected one: an
# engine that hung says nothing about the others.
MAX_SAMPLE_RATIO = 8.0
# Weight that remains of an engine's older prompts with each new one.
SLOWDOWN_DECAY = 0.93
# An engine is assumed to have prefilled this many more prompts at average
# speed, so that its first ones do not decide alone.
SLOWDOWN_PRIOR_PROMPTS = 1
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.2, 8.0
# Start value of the learnt time between two events of a stream, in seconds,
# and the weight that remains of the older ones with each new event.
START_GAP_S = 0.04
GAP_DECAY = 0.985
# Events whose pace counts for the best pace of an engine, and the factor by
# which the best one grows with each stream, so that an old one is forgotten.
MIN_PACE_EVENTS = 3
BEST_GAP_GROWTH = 1.002
# Start value of the learnt time from the end of a prefill on one engine to the
# first event of another, in seconds, and the weight of the newest sample.
START_HANDOVER_S = 0.06
HANDOVER_WEIGHT = 0.1
# A stream that no load report covers yet counts for this long, in seconds.
UNREPORTED_STREAM_S = 1.0


@attrs.define
class PrefillFit:
    """A line through samples of (tokens, seconds), newer ones weighing more.

    ``start_overhead_s`` and ``start_token_s`` give its shape before there are
    samples; their scale is adapted to the samples.

    Example::

        fit = PrefillFit(0.015, 1 / 48000)
        fit.add(8000, 0.115)
        fit.predict(4000)       # about 0.065
    """

    start_overhead_s: float
    start_token_s: float
    weight: float = 0.0
    tokens_sum: float = 0.0
    seconds_sum: float = 0.0
    tokens_squared_sum: float = 0.0
    product_sum: float = 0.0
    start_sum: float = 0.0
    overhead_s: float = attrs.field(init=False)
    token_s: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.overhead_s = self.start_overhead_s
        self.token_s = self.start_token_s

    @property
    def mean_token_s(self):
        """Return the seconds for each token of a mean prompt.

        Unlike the slope of the line it cannot vanish where times differ by
        the load of engines rather than by tokens.
        """
        tokens, seconds = self.tokens_sum, self.seconds_sum
        for start_tokens in START_SAMPLE_TOKENS:
            tokens += start_tokens
            seconds += self._start_seconds(start_tokens)
        return seconds / tokens

    def _start_seconds(self, tokens):
        return self.start_overhead_s + self.start_token_s * tokens

    def predict(self, tokens):
        """Return the expected seconds for a prompt."""
        return self.overhead_s + self.token_s * tokens

    def add(self, tokens, seconds):
        """Add a sample."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.predict(tokens))
        self.weight = FIT_DECAY * self.weight + 1
        self.tokens_sum = FIT_DECAY * self.tokens_sum + tokens
        self.seconds_sum = FIT_DECAY * self.seconds_sum + seconds
        self.tokens_squared_sum = (
            FIT_DECAY * self.tokens_squared_sum + tokens * tokens
        )
        self.product_sum = FIT_DECAY * self.product_sum + tokens * seconds
        self.start_sum = FIT_DECAY * self.start_sum + self._start_seconds(
            tokens
        )
        self._solve()

    def _solve(self):
        """Fit the line to the samples and the two scaled start samples."""
        scale = self.seconds_sum / self.start_sum
        weight, x, y = self.weight, self.tokens_sum, self.seconds_sum
        xx, xy = self.tokens_squared_sum, self.product_sum
        for tokens in START_SAMPLE_TOKENS:
            seconds = scale * self._start_seconds(tokens)
            weight, x, y = weight + 1, x + tokens, y + seconds
            xx, xy = xx + tokens * tokens, xy + tokens * seconds
        slope = (weight * xy - x * y) / (weight * xx - x * x)
        # A line through the origin, if the best one has no sensible slope.
        self.token_s = slope if slope > 0 else y / x
        self.overhead_s = max(0.0, (y - self.token_s * x) / weight)


@attrs.define
class Speed:
    """The recent prefill work of one engine.

    ``nominal_s`` is what an average engine would have needed for it, and
    ``busy_s`` what this one needed; ``count`` is the number of prompts.  All
    decay with each new prompt.
    """

    nominal_s: float = 0.0
    busy_s: float = 0.0
    count: float = 0.0

    @property
    def slowdown(self):
        """Return the prefill time relative to an average engine."""
        if not self.count:
            return 1.0
        prior_s = SLOWDOWN_PRIOR_PROMPTS * self.nominal_s / self.count
        ratio = (self.busy_s + prior_s) / (self.nominal_s + prior_s)
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))

    def add(self, nominal_s, busy_s):
        """Add the work on one prompt."""
        self.nominal_s = SLOWDOWN_DECAY * self.nominal_s + nominal_s
        self.busy_s = SLOWDOWN_DECAY * self.busy_s + busy_s
        self.count = SLOWDOWN_DECAY * self.count + 1


@attrs.define
class PrefillModel:
    """The learnt prefill times of all engines that this VM knows.

    ``fits`` has a `PrefillFit` for each service, stage, and whether the
    engine was idle when the prompt arrived: an idle one adds the whole delay
    of its pipeline, a busy one only the work.  ``speeds`` has the `Speed` of
    each incarnation.
    """

    fits: dict = attrs.field(factory=dict)
    speeds: dict = attrs.field(factory=dict)

    def seconds(self, server, tokens, is_queued=False):
        """Return the expected seconds to prefill ``tokens`` on a server."""
        return self.slowdown(server) * self._fit(server, is_queued).predict(
            tokens
        )

    def token_s(self, server):
        """Return the seconds for each further token on a server."""
        return self.slowdown(server) * self._fit(server, True).token_s

    def mean_token_s(self, service):
        """Return the seconds for a token on an average decode engine.

        They include the token's share of the overhead.
        """
        return self._stage_fit(service, False, True).mean_token_s

    def observe(self, server, tokens, seconds, is_queued=False):
        """Record that a server prefilled ``tokens`` within ``seconds``."""
        fit = self._fit(server, is_queued)
        nominal_s = fit.predict(tokens)
        speed = self.speeds.setdefault(server.incarnation, Speed())
        speed.add(nominal_s, min(seconds, MAX_SAMPLE_RATIO * nominal_s))
        # What the engine's speed explains now is not learnt of its stage too.
        fit.add(tokens, seconds / speed.slowdown)

    def slowdown(self, server):
        """Return a server's prefill time relative to an average engine."""
        speed = self.speeds.get(server.incarnation)
        return speed.slowdown if speed is not None else 1.0

    def _fit(self, server, is_queued):
        return self._stage_fit(
            server.service, server.is_prefill_only, is_queued
        )

    def _stage_fit(self, service, is_prefill_only, is_queued):
        key = service, is_prefill_only, is_queued
        found = self.fits.get(key)
        if found is None:
            rate = START_DECODE_TOKENS_PER_S
            if is_prefill_only:
                rate = START_PREFILL_TOKENS_PER_S
            found = self.fits[key] = PrefillFit(START_OVERHEAD_S, 1 / rate)
        return found

    def forget(self, incarnations):
        """Drop the speeds of engines that are not in ``incarnations``."""
        self.speeds = {
            incarnation: speed
            for incarnation, speed in self.speeds.items()
            if incarnation in incarnations
        }


@attrs.define
class DocumentCache:
    """A model of the documents in an engine's cache, with LRU eviction.

    Example::

        cache = DocumentCache(capacity=100)
        cache.touch('a', 60, since_s=0.5)
        cache.touch('b', 60, since_s=0.7)      # evicts a
        cache.is_available('b', now=0.6)       # False: prefilled at 0.7
    """

    capacity: float
    tokens: float = 0.0
    entries: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )

    def touch(self, document, tokens, since_s):
        """Record the use of a document that is cached by ``since_s``."""
        known, known_since_s = self.entries.pop(document, (0, since_s))
        self.entries[document] = tokens, min(since_s, known_since_s)
        self.tokens += tokens - known
        while self.tokens > self.capacity and len(self.entries) > 1:
            _, (dropped, _) = self.entries.popitem(last=False)
            self.tokens -= dropped

    def is_available(self, document, now):
        """Return whether other engines can fetch the document now."""
        found = self.entries.get(document)
        return found is not None and found[1] <= now


@attrs.frozen
class Job:
    """A prompt that an engine has to prefill or is prefilling.

    ``cost_s`` is the expected time.  ``unknown_tokens`` are those of its
    document if it is not known whether the engine finds it in a cache;
    ``tokens`` includes the expected share of them.
    """

    server: object
    tokens: int
    cost_s: float
    since_s: float
    unknown_tokens: int = 0
    is_queued: bool = False


@attrs.define
class Engine:
    """The queue, streams and cache of one incarnation of an engine.

    ``jobs`` are in the order in which they were sent; the engine prefills one
    after the other.
    """

    cache: DocumentCache
    slots: int = 0
    running: int = 0
    jobs: dict = attrs.field(factory=dict)
    job_started_s: float = 0.0
    gap_s: float = START_GAP_S
    best_gap_s: float = float('inf')
    handover_s: float = START_HANDOVER_S
    stream_starts_s: list = attrs.field(factory=list)
    learned: capacity.Capacity = attrs.field(factory=capacity.Capacity)

    def queue_s(self, now):
        """Return the expected seconds until its queue is empty."""
        if not self.jobs:
            return 0.0
        costs = [job.cost_s for job in self.jobs.values()]
        return sum(costs) - min(costs[0], now - self.job_started_s)

    def add_job(self, request_id, job, now):
        """Append a prompt to its queue."""
        if not self.jobs:
            self.job_started_s = now
        self.jobs[request_id] = job

    def remove_job(self, request_id, is_prefilled, now):
        """Remove a prompt from its queue.

        Returns the time that the engine spent on it, or None if the prompt
        was not prefilled.
        """
        job = self.jobs.pop(request_id, None)
        if job is None or not is_prefilled:
            return None
        busy_s = now - self.job_started_s
        self.job_started_s = now
        return busy_s

    def count_streams(self, now):
        """Return the reported streams plus those started since."""
        self.stream_starts_s = [
            s for s in self.stream_starts_s if now - s < UNREPORTED_STREAM_S
        ]
        return self.running + len(self.stream_starts_s)

    def add_handover(self, seconds):
        """Record a hand-over from or to the engine."""
        self.handover_s += HANDOVER_WEIGHT * (seconds - self.handover_s)

    def add_stream(self, events, seconds):
        """Record how long the events of a stream took."""
        gaps = events - 1
        if gaps > 0:
            kept = GAP_DECAY**gaps
            self.gap_s = kept * self.gap_s + (1 - kept) * seconds / gaps
        if events >= MIN_PACE_EVENTS:
            self.best_gap_s = min(
                BEST_GAP_GROWTH * self.best_gap_s, seconds / gaps
            )

    def learn_capacity(self, events, seconds, now):
        """Learn how many streams it takes before their gaps grow."""
        if events > 1:
            streams = max(1, self.count_streams(now))
            gap_s = seconds / (events - 1)
            self.learned.observe(streams, gap_s, self.slots, now)

    def usable_slots(self, now):
        """Return the streams that do not slow each other down, as learned."""
        if not capacity.IS_ENABLED:
            return self.slots
        return self.learned.limit(self.slots, now)

    def update_load(self, running, slots):
        """Record the load that the engine reported."""
        self.running, self.slots = running, slots
        self.stream_starts_s = []
