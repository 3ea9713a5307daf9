"""Schedules the long prompts of all entry VMs on the engines of one service.

A VM that places long prompts alone sees only its own: one every few seconds
where there are many VMs.  It cannot know the length of each engine's queue,
nor which engines have a document in their cache.  So one VM, chosen by
hashing, schedules for all (see ``consultation``).  It handles these cases:

* Long prompts arrive faster than engines prefill them.  Each goes to the
  engine that finishes it first.  A prompt that will miss its target is
  admitted only while queues are short, so that it does not delay others.
* Prompts share documents.  An engine that has the document cached prefills
  only the rest; any other engine fetches the document from it.
* Engines differ in speed.  Each engine's speed is learnt from all prompts
  that it prefills.
* An engine fails requests although its health check passes.  Failures that
  one VM reports count against the engine for all VMs.

The scheduler's state is advisory and may be lost at any time.  A VM that gets
no answer places its prompts by itself, and two VMs that schedule at once only
make placement less efficient.
"""

import collections

import attrs

from mangorock import outliers as outliers_module
from mangorock import placement
from mangorock import registry

# Delay from the end of prefill to the first event at the caller, in seconds.
FIRST_EVENT_DELAY_S = 0.05
# Extra time for the hand-over to a decode engine, in seconds.
HANDOVER_S = 0.01
# An engine without the document must be this much faster to be chosen, in
# seconds, since the copy evicts other documents from its cache.
COPY_PENALTY_S = 0.02
# Longest queue behind which a prompt that misses its target is still placed,
# in seconds; about half of the time to first token that users ask for.
MAX_LATE_QUEUE_S = 0.3
# Share of the longest allowed gap between events of a stream that a decode
# engine may spend on the prefill of one long prompt.
DIRECT_GAP_SHARE = 0.4
# Share of the KV cache that holds documents of earlier requests; running
# requests and short prompts use the rest.
CACHE_SHARE = 0.8
# Weight of the newest sample in `Scheduler.miss_share`.
MISS_SHARE_WEIGHT = 0.1
# Fixed overhead for each prompt, in seconds.
PROMPT_OVERHEAD_S = 0.015
# Half-life of the samples behind `Engine.slowdown`, in seconds of prefill
# work.
SLOWDOWN_WINDOW_S = 1.0
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.4, 6.0
# A job whose outcome was not reported is dropped after this time.
JOB_TIMEOUT_S = 4.0
# Wait of a prompt that was not placed before it asks again, in seconds, and
# the extra wait for each `Busy` answer within the last `BUSY_WINDOW_S`.
RETRY_DELAY_S = 0.06
RETRY_DELAY_EACH_S = 0.004
BUSY_WINDOW_S = 0.3
# A stream that no load report covers yet counts for this long, in seconds.
UNREPORTED_STREAM_S = 1.0
# Cost of each stream beyond an engine's slots, and of each running stream, in
# seconds.
OVERLOAD_PENALTY_S = 0.02
STREAM_COST_S = 0.001

_text = attrs.validators.instance_of(str)
_number = attrs.validators.instance_of((int, float))
_texts = attrs.validators.deep_iterable(_text)


@attrs.frozen
class Ask:
    """A request to place a long prompt.

    ``document`` identifies the shared prefix of ``shared_tokens`` tokens;
    ``own_tokens`` follow it.  ``target_left_s`` is the time until the first
    event is late, ``left_s`` the time until the caller gives up.  ``tried``
    are the ids of servers that must not be used.
    """

    service: str = attrs.field(validator=_text)
    request_id: str = attrs.field(validator=_text)
    document: str = attrs.field(validator=_text)
    shared_tokens: int = attrs.field(validator=_number)
    own_tokens: int = attrs.field(validator=_number)
    max_gap_s: float = attrs.field(validator=_number)
    target_left_s: float = attrs.field(validator=_number)
    left_s: float = attrs.field(validator=_number)
    tried: tuple = attrs.field(validator=_texts, converter=tuple, default=())


@attrs.frozen
class Assignment:
    """The placement of a prompt, by server ids.

    ``prefill`` is '' if the decode engine prefills the prompt itself.
    ``fetch_from`` is '' or the engine from which the document is fetched.
    ``tokens`` is the number of tokens left to prefill, expected to take
    ``expected_s`` including the queue.
    """

    decode: str = attrs.field(validator=_text)
    prefill: str = attrs.field(validator=_text)
    fetch_from: str = attrs.field(validator=_text)
    tokens: int = attrs.field(validator=_number)
    expected_s: float = attrs.field(validator=_number)


@attrs.frozen
class Busy:
    """No engine is free in time; ask again after ``wait_s``."""

    wait_s: float = attrs.field(validator=_number)


@attrs.frozen
class Hopeless:
    """No engine can prefill the prompt before its caller gives up."""

    best_s: float = attrs.field(validator=_number)


@attrs.frozen
class Away:
    """An engine changes its stage and accepts no requests for some seconds."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    seconds: float = attrs.field(validator=_number)


@attrs.frozen
class Wish:
    """A request to change an engine to the given stage."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    stage: str = attrs.field(
        validator=attrs.validators.in_([s.value for s in registry.Stage])
    )


@attrs.frozen
class Notice:
    """The outcome of a prompt: prefilled in ``seconds``, or -1 if it was not.

    ``failed`` is the id of an engine that failed the prompt, or ''.
    ``decode`` is the engine that streams it; ``running``, ``waiting`` and
    ``slots`` are the load that this engine reported.  ``slots`` is 0 if it
    reported none.
    """

    service: str = attrs.field(validator=_text)
    request_id: str = attrs.field(validator=_text)
    seconds: float = attrs.field(validator=_number)
    failed: str = attrs.field(validator=_text, default='')
    decode: str = attrs.field(validator=_text, default='')
    running: int = attrs.field(validator=_number, default=0)
    waiting: int = attrs.field(validator=_number, default=0)
    slots: int = attrs.field(validator=_number, default=0)


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
    """A prompt in an engine's queue.

    ``nominal_s`` is the prefill time on an engine of average speed.
    ``nominal_document_s`` is that of the whole document if it is not known
    whether the engine finds it in a cache, else 0; ``nominal_s`` includes the
    expected share of it.
    """

    incarnation: tuple
    nominal_s: float
    since_s: float
    nominal_document_s: float = 0.0


@attrs.define
class Engine:
    """The queue, speed and cache of one incarnation of an engine.

    ``nominal_s`` is the recently completed prefill work, in seconds of an
    engine of average speed, and ``busy_s`` the time that it took.  Both decay
    exponentially as work is completed.
    """

    cache: DocumentCache
    nominal_s: float = SLOWDOWN_WINDOW_S / 4
    busy_s: float = SLOWDOWN_WINDOW_S / 4
    jobs: dict = attrs.field(factory=dict)
    job_started_s: float = 0.0
    stream_starts_s: list = attrs.field(factory=list)
    running: int = 0
    slots: int = 0

    @property
    def slowdown(self):
        """Return its prefill time relative to an average engine."""
        return min(
            MAX_SLOWDOWN, max(MIN_SLOWDOWN, self.busy_s / self.nominal_s)
        )

    def queue_s(self, now):
        """Return the seconds until its queue is empty."""
        if not self.jobs:
            return 0.0
        costs = [self.slowdown * job.nominal_s for job in self.jobs.values()]
        return sum(costs) - min(costs[0], now - self.job_started_s)

    def add_job(self, request_id, job, now):
        """Append a prompt to its queue."""
        if not self.jobs:
            self.job_started_s = now
        self.jobs[request_id] = job

    def remove_job(self, request_id, is_prefilled, now):
        """Remove a prompt, and update the slowdown if it was prefilled.

        Returns the time spent on the prompt, or None if it was not prefilled.
        """
        job = self.jobs.pop(request_id, None)
        if job is None or not is_prefilled:
            return None
        decay = 0.5 ** (job.nominal_s / SLOWDOWN_WINDOW_S)
        busy_s = now - self.job_started_s
        self.nominal_s = decay * self.nominal_s + job.nominal_s
        self.busy_s = decay * self.busy_s + busy_s
        self.job_started_s = now
        return busy_s

    def count_streams(self, now):
        """Return the reported streams plus those started since."""
        self.stream_starts_s = [
            s for s in self.stream_starts_s if now - s < UNREPORTED_STREAM_S
        ]
        return self.running + len(self.stream_starts_s)


@attrs.frozen
class Candidate:
    """A prefilling and a decoding engine, with the expected times.

    ``cost_s`` is the prefill time; ``finish_s`` also includes the queue and
    the hand-over.  The candidate with the lowest ``rank_s`` is chosen.
    """

    prefiller: registry.BackendServer
    decode: registry.BackendServer
    fetch_from: registry.BackendServer | None
    tokens: int
    cost_s: float
    finish_s: float
    rank_s: float
    unknown_tokens: int = 0


@attrs.define
class Scheduler:
    """The queues and cached documents of one service; a state machine.

    ``kv_tokens`` is the KV cache size of one engine.  The servers that callers
    pass in are those that may be used according to this VM's registry.

    A document that is unknown here may have been prefilled before this VM
    began to schedule.  A new document goes to the decode engine that
    rendezvous hashing selects unless that one is full, so an unknown document
    is looked for there; ``miss_share`` is the share of such documents that was
    not found.
    """

    kv_tokens: int
    engines: dict = attrs.field(factory=dict)
    jobs: dict = attrs.field(factory=dict)
    last_asked_s: float = float('-inf')
    miss_share: float = 1.0
    busy_times_s: collections.deque = attrs.field(factory=collections.deque)
    outliers: outliers_module.OutlierDetector = attrs.field(
        factory=outliers_module.OutlierDetector
    )

    def engine(self, server):
        """Return the `Engine` of a server's incarnation in any stage."""
        found = self.engines.get(server.incarnation)
        if found is None:
            cache = DocumentCache(CACHE_SHARE * self.kv_tokens)
            found = self.engines[server.incarnation] = Engine(cache)
        return found

    def place(self, ask, servers, now):
        """Return an `Assignment`, `Busy` or `Hopeless`; None if no engine."""
        self.last_asked_s = now
        self._expire_jobs(now)
        servers = [
            server
            for server in self.outliers.select_healthy(servers, now)
            if server.server_id not in ask.tried
        ]
        best = self._best_candidate(ask, servers, now)
        if best is None:
            return None
        finish_s = best.finish_s + FIRST_EVENT_DELAY_S
        if finish_s <= ask.target_left_s:
            return self._assign(ask, best, now)
        if best.cost_s + FIRST_EVENT_DELAY_S > ask.left_s:
            return Hopeless(best.cost_s)
        is_queue_short = best.finish_s - best.cost_s <= MAX_LATE_QUEUE_S
        if is_queue_short and finish_s <= ask.left_s:
            return self._assign(ask, best, now)
        return self._defer(now)

    def _defer(self, now):
        """Return a `Busy` whose wait grows with the waiting prompts.

        This limits the rate of repeated requests to the scheduler.
        """
        while self.busy_times_s and now - self.busy_times_s[0] > BUSY_WINDOW_S:
            self.busy_times_s.popleft()
        self.busy_times_s.append(now)
        return Busy(
            RETRY_DELAY_S + RETRY_DELAY_EACH_S * len(self.busy_times_s)
        )

    def _best_candidate(self, ask, servers, now):
        decode_engines = [s for s in servers if not s.is_prefill_only]
        if not decode_engines:
            return None
        holders = [
            server
            for server in servers
            if self.engine(server).cache.is_available(ask.document, now)
        ]
        affinity_server = max(
            decode_engines,
            key=lambda s: placement.rendezvous_weight(ask.document, s),
        )
        likely_holders = holders or [affinity_server]
        target = min(
            decode_engines,
            key=lambda s: self._stream_cost_s(s, likely_holders, now),
        )
        sources = holders, affinity_server
        candidates = [
            self._make_candidate(ask, server, target, sources, now)
            for server in servers
            if server.is_prefill_only
        ]
        for server in decode_engines:
            candidate = self._make_candidate(ask, server, server, sources, now)
            if self._may_prefill_directly(ask, candidate):
                candidates.append(candidate)
        if not candidates:
            candidates = [
                self._make_candidate(ask, target, target, sources, now)
            ]
        return min(candidates, key=lambda candidate: candidate.rank_s)

    def _stream_cost_s(self, server, likely_holders, now):
        """Return the cost of a stream: load, lack of slots, copying."""
        engine = self.engine(server)
        streams = engine.count_streams(now)
        cost_s = STREAM_COST_S * streams
        if engine.slots:
            cost_s += OVERLOAD_PENALTY_S * max(0, streams + 1 - engine.slots)
        if server not in likely_holders:
            cost_s += COPY_PENALTY_S
        return cost_s

    def _make_candidate(self, ask, prefiller, decode, sources, now):
        holders, affinity_server = sources
        engine = self.engine(prefiller)
        tokens, unknown, fetch_from = ask.own_tokens, 0, None
        is_cached = ask.document in engine.cache.entries
        if not is_cached and holders:
            fetch_from = _nearest(holders, prefiller)
        elif not is_cached:
            fetch_from = (
                None if prefiller is affinity_server else affinity_server
            )
            unknown = ask.shared_tokens
            tokens += int(self.miss_share * unknown)
        cost_s = engine.slowdown * _nominal_s(prefiller, tokens)
        finish_s = engine.queue_s(now) + cost_s
        if prefiller is not decode:
            finish_s += HANDOVER_S
        rank_s = finish_s if is_cached else finish_s + COPY_PENALTY_S
        return Candidate(
            prefiller,
            decode,
            fetch_from,
            tokens,
            cost_s,
            finish_s,
            rank_s,
            unknown,
        )

    def _may_prefill_directly(self, ask, candidate):
        """Return whether a decode engine may prefill beside its streams.

        It must have no other prefill, and must not delay the streams' events
        for too long.
        """
        limit_s = DIRECT_GAP_SHARE * ask.max_gap_s
        return (
            not self.engine(candidate.prefiller).jobs
            and candidate.cost_s <= limit_s
        )

    def _assign(self, ask, candidate, now):
        engine, decode = (
            self.engine(candidate.prefiller),
            self.engine(candidate.decode),
        )
        self._remove_job(ask.request_id, False, now)
        rate = placement.prefill_rate(candidate.prefiller)
        job = Job(
            candidate.prefiller.incarnation,
            _nominal_s(candidate.prefiller, candidate.tokens),
            now,
            candidate.unknown_tokens / rate,
        )
        engine.add_job(ask.request_id, job, now)
        self.jobs[ask.request_id] = job
        done_s = now + candidate.finish_s
        for holder in (engine, decode):
            holder.cache.touch(ask.request_id, ask.own_tokens, done_s)
            if ask.shared_tokens:
                holder.cache.touch(ask.document, ask.shared_tokens, done_s)
        decode.stream_starts_s.append(now)
        is_direct = candidate.prefiller is candidate.decode
        return Assignment(
            decode=candidate.decode.server_id,
            prefill='' if is_direct else candidate.prefiller.server_id,
            fetch_from=candidate.fetch_from.server_id
            if candidate.fetch_from
            else '',
            tokens=candidate.tokens,
            expected_s=candidate.finish_s,
        )

    def record_outcome(self, notice, servers, now):
        """Update queues, failure records and loads from a `Notice`."""
        is_prefilled = notice.seconds >= 0
        incarnation = self._remove_job(notice.request_id, is_prefilled, now)
        for server in servers:
            if server.server_id == notice.failed:
                self.outliers.on_failure(server, now)
            elif is_prefilled and server.incarnation == incarnation:
                self.outliers.on_success(server)
            if server.server_id == notice.decode and notice.slots:
                self._update_load(self.engine(server), notice)

    @staticmethod
    def _update_load(engine, notice):
        engine.running = notice.running + notice.waiting
        engine.slots = notice.slots
        engine.stream_starts_s = []

    def _remove_job(self, request_id, is_prefilled, now):
        """Remove a prompt; return the incarnation of its engine, or None."""
        job = self.jobs.pop(request_id, None)
        if job is None:
            return None
        engine = self.engines.get(job.incarnation)
        if engine is not None:
            slowdown = engine.slowdown
            busy_s = engine.remove_job(request_id, is_prefilled, now)
            if busy_s is not None and job.nominal_document_s:
                self._update_miss_share(job, busy_s / slowdown)
        return job.incarnation

    def _update_miss_share(self, job, nominal_s):
        """Update the miss share from an unknown document's prefill time."""
        own_s = job.nominal_s - self.miss_share * job.nominal_document_s
        share = (nominal_s - own_s) / job.nominal_document_s
        share = min(1.0, max(0.0, share))
        self.miss_share += MISS_SHARE_WEIGHT * (share - self.miss_share)

    def _expire_jobs(self, now):
        while self.jobs:
            request_id, job = next(iter(self.jobs.items()))
            if now - job.since_s < JOB_TIMEOUT_S:
                return
            self._remove_job(request_id, False, now)

    def forget(self, incarnations):
        """Drop the state of engines that are not in ``incarnations``."""
        self.engines = {
            incarnation: engine
            for incarnation, engine in self.engines.items()
            if incarnation in incarnations
        }
        self.outliers.forget(incarnations)


def _nominal_s(server, tokens):
    """Return the seconds that an average engine needs to prefill."""
    return PROMPT_OVERHEAD_S + tokens / placement.prefill_rate(server)


def _nearest(holders, prefiller):
    """Return a holder, in the prefiller's failure domain if possible."""
    near = [
        holder
        for holder in holders
        if holder.failure_domain == prefiller.failure_domain
    ]
    return (near or holders)[0]
