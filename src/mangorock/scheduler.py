"""Places the long prompts of all entry VMs on the engines of one service.

A VM that places long prompts alone sees only its own: one in some seconds
where there are many VMs.  It cannot know how long each engine's queue is,
nor which engine has read a document before.  So one VM, chosen by hashing,
does it for all (see ``consultation``).  It answers three patterns:

* long prompts come faster than engines read them: each goes where it is
  read first, and one that can no longer be in time gets its turn only while
  the queues are short, so that it does not make others late as well;
* prompts share documents: an engine that keeps the document reads the rest
  alone, and any other fetches the document from it;
* engines differ in speed: each one's pace is learnt from all its prompts;
* an engine fails while its health is good: what one VM met spares the others
  the same.

What it knows is advice.  It may be lost at any time: a VM without it places
by itself, and two VMs that do it at once only place less well.
"""

import collections

import attrs

from mangorock import outliers as outliers_module
from mangorock import placement
from mangorock import registry

# From the end of reading to the first event at the caller, in seconds.
FIRST_EVENT_S = 0.05
# A hand-over to a decode engine adds this much, in seconds.
HANDOVER_S = 0.01
# An engine that lacks the document must be this much better, in seconds,
# since a copy drives other documents out.
COPY_S = 0.02
# Queue behind which a prompt that will be late still gets a place; about
# half of the time to the first token that users ask for.
LATE_QUEUE_S = 0.3
# The part of the longest allowed pause that a decode engine may spend on
# reading one long prompt between the events of its streams.
DIRECT_GAP_SHARE = 0.4
# The part of an engine's memory that keeps what was read before; runs and
# short prompts take the rest.
KEPT_SHARE = 0.8
# Of the newest prompt in the part of unknown documents that is not kept.
UNKNOWN_WEIGHT = 0.1
# Spent on a prompt besides its tokens, in seconds.
PROMPT_S = 0.015
# An engine's pace is learnt from about so many seconds of reading.
PACE_MEMORY_S = 1.0
MIN_PACE, MAX_PACE = 0.4, 6.0
# A prompt whose end was not told counts no longer than this, in seconds.
EXPIRE_S = 4.0
# How soon a prompt without a place may ask again, in seconds, and how much
# later for each one that was told so within `BUSY_MEMORY_S`.
ASK_AGAIN_S = 0.06
ASK_AGAIN_EACH_S = 0.004
BUSY_MEMORY_S = 0.3
# A stream sent to a decode engine counts until its load is told, or so long.
STREAM_S = 1.0
# Each stream beyond an engine's places, and each one on it, in seconds.
OVERFULL_S = 0.02
STREAM_COST_S = 0.001

_text = attrs.validators.instance_of(str)
_number = attrs.validators.instance_of((int, float))
_texts = attrs.validators.deep_iterable(_text)


@attrs.frozen
class Ask:
    """A long prompt that wants a place.

    ``document`` is the part that others share, of ``shared_tokens``;
    ``own_tokens`` come behind it.  ``target_left_s`` and ``left_s`` are the
    seconds until its first event is late, and until its caller leaves.
    ``tried`` are the ids of servers not to be used.
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
    """Where a prompt goes, by server ids.

    ``prefill`` is '' where the decode engine reads it, ``fetch_from`` is ''
    or the engine whose copy of the document is fetched.  ``tokens`` are
    left to read, expected to be done in ``expected_s``.
    """

    decode: str = attrs.field(validator=_text)
    prefill: str = attrs.field(validator=_text)
    fetch_from: str = attrs.field(validator=_text)
    tokens: int = attrs.field(validator=_number)
    expected_s: float = attrs.field(validator=_number)


@attrs.frozen
class Busy:
    """No place now; ask again after ``wait_s``."""

    wait_s: float = attrs.field(validator=_number)


@attrs.frozen
class Hopeless:
    """No engine can read the prompt before its caller leaves."""

    best_s: float = attrs.field(validator=_number)


@attrs.frozen
class Away:
    """An engine changes its stage and takes nothing for some seconds."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    seconds: float = attrs.field(validator=_number)


@attrs.frozen
class Wish:
    """An engine should change to the stage of this name."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    stage: str = attrs.field(
        validator=attrs.validators.in_([s.value for s in registry.Stage])
    )


@attrs.frozen
class Notice:
    """A prompt was read in ``seconds``, or (-1) will not be.

    ``failed`` is the id of an engine that failed it, or ''.  ``decode`` and
    the three numbers behind it tell the load of the engine that streams it;
    ``slots`` is 0 where it told none.
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
class Kept:
    """What an engine keeps of documents: the last recently used yield.

    Example::

        kept = Kept(capacity=100)
        kept.touch('a', 60, since_s=0.5)
        kept.touch('b', 60, since_s=0.7)     # drives a out
        kept.has('b', now=0.6)               # False: it is read until 0.7
    """

    capacity: float
    tokens: float = 0.0
    parts: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )

    def touch(self, part, tokens, since_s):
        """Take that a part was used; it is there ``since_s`` at the latest."""
        known, known_since_s = self.parts.pop(part, (0, since_s))
        self.parts[part] = tokens, min(since_s, known_since_s)
        self.tokens += tokens - known
        while self.tokens > self.capacity and len(self.parts) > 1:
            _, (dropped, _) = self.parts.popitem(last=False)
            self.tokens -= dropped

    def has(self, part, now):
        """Say whether others may fetch the part."""
        found = self.parts.get(part)
        return found is not None and found[1] <= now


@attrs.frozen
class Job:
    """A prompt being read, in ``read_s`` by an engine of average make.

    ``shared_read_s`` is the time for an unknown document in full, 0 for a
    known one; the expected part of it is in ``read_s``.
    """

    life: tuple
    read_s: float
    since_s: float
    shared_read_s: float = 0.0


@attrs.define
class Engine:
    """What is known of one life of an engine.

    ``read_s`` is what it has read lately, in seconds of an engine of
    average make, ``busy_s`` how long it took; older reading counts less.
    """

    kept: Kept
    read_s: float = PACE_MEMORY_S / 4
    busy_s: float = PACE_MEMORY_S / 4
    jobs: dict = attrs.field(factory=dict)
    worked_since_s: float = 0.0
    streams: list = attrs.field(factory=list)
    running: int = 0
    slots: int = 0

    @property
    def pace(self):
        """Return how much longer it reads than an average engine."""
        return min(MAX_PACE, max(MIN_PACE, self.busy_s / self.read_s))

    def queue_s(self, now):
        """Return the seconds until it has read what it was given."""
        if not self.jobs:
            return 0.0
        costs = [self.pace * job.read_s for job in self.jobs.values()]
        return sum(costs) - min(costs[0], now - self.worked_since_s)

    def add(self, request_id, job, now):
        """Give it a prompt to read."""
        if not self.jobs:
            self.worked_since_s = now
        self.jobs[request_id] = job

    def drop(self, request_id, is_read, now):
        """Take a prompt from it, and learn its pace if that was read.

        Returns how long it was busy with it, None if it was not read.
        """
        job = self.jobs.pop(request_id, None)
        if job is None or not is_read:
            return None
        fade = 0.5 ** (job.read_s / PACE_MEMORY_S)
        busy_s = now - self.worked_since_s
        self.read_s = fade * self.read_s + job.read_s
        self.busy_s = fade * self.busy_s + busy_s
        self.worked_since_s = now
        return busy_s

    def count_streams(self, now):
        """Return the streams told, and those sent since."""
        self.streams = [s for s in self.streams if now - s < STREAM_S]
        return self.running + len(self.streams)


@attrs.frozen
class Way:
    """A reader and a decode engine, and how long reading will take."""

    reader: registry.BackendServer
    decode: registry.BackendServer
    fetch_from: registry.BackendServer | None
    tokens: int
    cost_s: float
    finish_s: float
    rank_s: float
    unknown_tokens: int = 0


@attrs.define
class Scheduler:
    """The queues and kept documents of one service; a state machine.

    ``kv_tokens`` is the memory of one engine.  Servers are those that may
    be used, from this VM's own register.

    A document that is not known here may have been read before this VM
    began to schedule.  New documents are put at the decode engine that
    hashing names where that is not full, so there an unknown one is looked
    for; ``unknown_share`` is the part that was not found.
    """

    kv_tokens: int
    engines: dict = attrs.field(factory=dict)
    jobs: dict = attrs.field(factory=dict)
    asked_s: float = float('-inf')
    unknown_share: float = 1.0
    busy_at_s: collections.deque = attrs.field(factory=collections.deque)
    outliers: outliers_module.OutlierDetector = attrs.field(
        factory=outliers_module.OutlierDetector
    )

    def engine(self, server):
        """Return the `Engine` of a life, whatever its stage."""
        found = self.engines.get(server.life)
        if found is None:
            kept = Kept(KEPT_SHARE * self.kv_tokens)
            found = self.engines[server.life] = Engine(kept)
        return found

    def place(self, ask, servers, now):
        """Return an `Assignment`, `Busy` or `Hopeless`; None if no engine."""
        self.asked_s = now
        self._expire(now)
        servers = [
            server
            for server in self.outliers.select_healthy(servers, now)
            if server.server_id not in ask.tried
        ]
        best = self._best(ask, servers, now)
        if best is None:
            return None
        finish_s = best.finish_s + FIRST_EVENT_S
        if finish_s <= ask.target_left_s:
            return self._assign(ask, best, now)
        if best.cost_s + FIRST_EVENT_S > ask.left_s:
            return Hopeless(best.cost_s)
        is_queue_short = best.finish_s - best.cost_s <= LATE_QUEUE_S
        if is_queue_short and finish_s <= ask.left_s:
            return self._assign(ask, best, now)
        return self._busy(now)

    def _busy(self, now):
        """Spread those who wait, so that asking stays cheap."""
        while self.busy_at_s and now - self.busy_at_s[0] > BUSY_MEMORY_S:
            self.busy_at_s.popleft()
        self.busy_at_s.append(now)
        return Busy(ASK_AGAIN_S + ASK_AGAIN_EACH_S * len(self.busy_at_s))

    def _best(self, ask, servers, now):
        decodes = [s for s in servers if not s.is_prefill_only]
        if not decodes:
            return None
        holders = [
            server
            for server in servers
            if self.engine(server).kept.has(ask.document, now)
        ]
        home = max(
            decodes, key=lambda s: placement.rendezvous_weight(ask.document, s)
        )
        keepers = holders or [home]
        target = min(decodes, key=lambda s: self._stream_rank(s, keepers, now))
        sources = holders, home
        ways = [
            self._way(ask, server, target, sources, now)
            for server in servers
            if server.is_prefill_only
        ]
        for server in decodes:
            way = self._way(ask, server, server, sources, now)
            if self._may_read_direct(ask, way):
                ways.append(way)
        if not ways:
            ways = [self._way(ask, target, target, sources, now)]
        return min(ways, key=lambda way: way.rank_s)

    def _stream_rank(self, server, keepers, now):
        """Order decode engines for a stream: free places, then copies."""
        engine = self.engine(server)
        streams = engine.count_streams(now)
        cost_s = STREAM_COST_S * streams
        if engine.slots:
            cost_s += OVERFULL_S * max(0, streams + 1 - engine.slots)
        if server not in keepers:
            cost_s += COPY_S
        return cost_s

    def _way(self, ask, reader, decode, sources, now):
        holders, home = sources
        engine = self.engine(reader)
        tokens, unknown, fetch_from = ask.own_tokens, 0, None
        keeps = ask.document in engine.kept.parts
        if not keeps and holders:
            fetch_from = _nearest(holders, reader)
        elif not keeps:
            fetch_from = None if reader is home else home
            unknown = ask.shared_tokens
            tokens += int(self.unknown_share * unknown)
        cost_s = engine.pace * _read_s(reader, tokens)
        finish_s = engine.queue_s(now) + cost_s
        if reader is not decode:
            finish_s += HANDOVER_S
        rank_s = finish_s if keeps else finish_s + COPY_S
        return Way(
            reader,
            decode,
            fetch_from,
            tokens,
            cost_s,
            finish_s,
            rank_s,
            unknown,
        )

    def _may_read_direct(self, ask, way):
        """Say whether streams of the engine bear the prompt in between."""
        limit_s = DIRECT_GAP_SHARE * ask.max_gap_s
        return not self.engine(way.reader).jobs and way.cost_s <= limit_s

    def _assign(self, ask, way, now):
        engine, decode = self.engine(way.reader), self.engine(way.decode)
        self._drop(ask.request_id, False, now)
        rate = placement.prefill_rate(way.reader)
        job = Job(
            way.reader.life,
            _read_s(way.reader, way.tokens),
            now,
            way.unknown_tokens / rate,
        )
        engine.add(ask.request_id, job, now)
        self.jobs[ask.request_id] = job
        done_s = now + way.finish_s
        for keeper in (engine, decode):
            keeper.kept.touch(ask.request_id, ask.own_tokens, done_s)
            if ask.shared_tokens:
                keeper.kept.touch(ask.document, ask.shared_tokens, done_s)
        decode.streams.append(now)
        is_direct = way.reader is way.decode
        return Assignment(
            decode=way.decode.server_id,
            prefill='' if is_direct else way.reader.server_id,
            fetch_from=way.fetch_from.server_id if way.fetch_from else '',
            tokens=way.tokens,
            expected_s=way.finish_s,
        )

    def take(self, notice, servers, now):
        """Take what became of a prompt."""
        is_read = notice.seconds >= 0
        life = self._drop(notice.request_id, is_read, now)
        for server in servers:
            if server.server_id == notice.failed:
                self.outliers.on_failure(server, now)
            elif is_read and server.life == life:
                self.outliers.on_success(server)
            if server.server_id == notice.decode and notice.slots:
                self._take_load(self.engine(server), notice)

    @staticmethod
    def _take_load(engine, notice):
        engine.running = notice.running + notice.waiting
        engine.slots = notice.slots
        engine.streams = []

    def _drop(self, request_id, is_read, now):
        """Count a prompt out; return the life that had it, or None."""
        job = self.jobs.pop(request_id, None)
        if job is None:
            return None
        engine = self.engines.get(job.life)
        if engine is not None:
            pace = engine.pace
            busy_s = engine.drop(request_id, is_read, now)
            if busy_s is not None and job.shared_read_s:
                self._learn_unknown(job, busy_s / pace)
        return job.life

    def _learn_unknown(self, job, read_s):
        """Take how long a prompt with an unknown document took to read."""
        own_s = job.read_s - self.unknown_share * job.shared_read_s
        share = (read_s - own_s) / job.shared_read_s
        share = min(1.0, max(0.0, share))
        self.unknown_share += UNKNOWN_WEIGHT * (share - self.unknown_share)

    def _expire(self, now):
        while self.jobs:
            request_id, job = next(iter(self.jobs.items()))
            if now - job.since_s < EXPIRE_S:
                return
            self._drop(request_id, False, now)

    def forget(self, lives):
        """Keep only the engines of ``lives``."""
        self.engines = {
            life: engine
            for life, engine in self.engines.items()
            if life in lives
        }
        self.outliers.forget(lives)


def _read_s(server, tokens):
    """Return the seconds in which an average engine reads a prompt."""
    return PROMPT_S + tokens / placement.prefill_rate(server)


def _nearest(holders, reader):
    """Return a holder, in the reader's failure domain if there is one."""
    near = [
        holder
        for holder in holders
        if holder.failure_domain == reader.failure_domain
    ]
    return (near or holders)[0]
