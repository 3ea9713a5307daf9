"""Chooses the engines for one prompt: where it goes.

Every way to serve the prompt is a `Candidate`: a decode engine prefills it
beside its streams, or a prefill engine does and hands the KV cache over.  The
candidate with the earliest first event is chosen, where some seconds are
added for what would delay other requests:

* A copy of a document evicts others from the cache, so an engine that has
  the document, or one that another copy was fetched from, is preferred.
* Prefill beside streams delays all of them for as long as it lasts, so a long
  prompt goes to a decode engine only if it has few streams or the prefill
  engines are much later.
* A hand-over occupies links and a second engine.
* More streams than slots wait for a slot.
* A long stream at a slow engine may not end before its caller gives up, or
  have pauses that its caller does not accept, so it goes to a fast one.
"""

import attrs

from mangorock import registry
from mangorock import rendezvous

# A copy of a document evicts others from an engine's cache; this share of them
# will have to be prefilled again.
EVICTED_SHARE = 0.2
# A hand-over must be this much faster to be chosen, in seconds.
HANDOVER_PENALTY_S = 0.03
# Cost of each stream beyond an engine's slots, and of each running stream, in
# seconds.
OVERLOAD_PENALTY_S = 0.05
STREAM_COST_S = 0.001
# Cost of delaying a stream by a prefill, for each second of it.
DISTURBANCE_COST = 0.3
# A decode engine is crowded while the mean gap between events of its streams
# exceeds this share of the longest allowed one, and this multiple of the one
# that it has with little to do.  A prefill there would slow all of them down
# until none ends in time; its cost in seconds.
CROWDED_GAP_SHARE = 0.4
CROWDED_SLOWDOWN = 2.0
CROWDED_PENALTY_S = 0.5
# Engines of each stage that are compared for one prompt, those first that are
# expected to finish a prompt of ordinary length first.  It bounds the cost of
# a decision where there are many.
MAX_COMPARED = 5
ORDINARY_PREFILL_S = 0.1
# A document counts as cached that is expected this much after the prefill
# begins, in seconds, since both times are estimates.
CACHE_TOLERANCE_S = 0.01
# Cost of each second that a stream is expected to last, in seconds.
DURATION_COST = 0.02
# Share of the longest allowed gap up to which the mean gap of an engine makes
# no event late; the probability that a gap is too long, for each unit that the
# share is higher; and the cost of a stream that is certain to have one.
CALM_GAP_SHARE = 0.4
LATE_EVENT_RISK = 0.15
LATE_EVENT_PENALTY_S = 0.3
# A stream that is expected to last this share of the time that its caller
# waits may not end before, since the expected length is often far off; one
# that is expected to last for the other share does not.
SAFE_DURATION_SHARE, LOST_DURATION_SHARE = 0.3, 0.7
DURATION_PENALTY_S = 0.5
MIN_END_LEFT_S = 0.001
# Cost of a stream beside a prefill, whose events come later, in seconds.
PREFILLING_COST_S = 0.02


@attrs.define
class EngineState:
    """An engine as the choice sees it at one moment.

    ``queue_s`` is its queue, with what is reserved for prompts that still
    wait at the scheduler.
    """

    server: registry.BackendServer
    engine: object
    queue_s: float
    streams: int
    slots: int
    slowdown: float = 1.0


@attrs.frozen
class Candidate:
    """An engine that prefills and one that decodes, with expected times.

    ``cost_s`` is the prefill time, ``queue_s`` the time until it begins, and
    ``first_event_s`` the time until the first event.  The candidate with the
    lowest ``rank_s`` is chosen.
    """

    prefiller: EngineState
    decode: EngineState
    fetch_from: registry.BackendServer | None
    tokens: int
    unknown_tokens: int
    cost_s: float
    queue_s: float
    first_event_s: float
    rank_s: float

    @property
    def is_direct(self):
        """Return whether the decode engine prefills the prompt itself."""
        return self.prefiller is self.decode

    @property
    def shortest_s(self):
        """Return the time until the first event without the queue."""
        return self.first_event_s - self.queue_s


@attrs.define
class Choice:
    """The engines of a service at one moment, and what is known of them.

    ``model`` is the `engines.PrefillModel` and ``miss_share`` the share of
    documents of unknown place that are in no cache.
    """

    states: list
    model: object
    miss_share: float
    now: float
    prefills: list = attrs.field(init=False)
    decodes: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.prefills = [s for s in self.states if s.server.is_prefill_only]
        self.decodes = [s for s in self.states if not s.server.is_prefill_only]
        self.prefills.sort(key=self._ordinary_finish_s)
        self.decodes.sort(key=self._ordinary_finish_s)

    def _ordinary_finish_s(self, state):
        cost_s = ORDINARY_PREFILL_S * state.slowdown
        return state.queue_s + cost_s + STREAM_COST_S * state.streams

    def has_free_engine(self, lookahead_s):
        """Return whether an engine's queue ends within ``lookahead_s``."""
        return any(s.queue_s <= lookahead_s for s in self.states)

    def best(self, request, target_left_s):
        """Return the best `Candidate` for a request, or None.

        One that is in time, ``target_left_s`` from now, goes before others.
        """
        prefills = _usable(self.prefills, request)
        decodes = _usable(self.decodes, request)
        if not decodes:
            return None
        sources = self._sources(request)
        target = min(
            decodes,
            key=lambda s: self._stream_cost_s(request, s, sources),
        )
        candidates = [
            self._make_candidate(request, state, target, sources)
            for state in prefills[:MAX_COMPARED]
        ]
        candidates += [
            self._make_candidate(request, state, state, sources)
            for state in self._shortlist(decodes, sources)
        ]
        return min(
            candidates,
            key=lambda c: (
                c.first_event_s > target_left_s,
                c.rank_s,
            ),
        )

    @staticmethod
    def _shortlist(decodes, sources):
        """Return the first decode engines, and one that has the document."""
        found = decodes[:MAX_COMPARED]
        for state in decodes[MAX_COMPARED:]:
            if sources.has(state.server):
                return [*found, state]
        return found

    def _sources(self, request):
        """Return the `Sources` of the request's document."""
        if not request.shared_tokens:
            return Sources([], None)
        decodes = _untried(self.decodes, request)
        states = _untried(self.prefills, request) + decodes
        holders = [
            state.server
            for state in states
            if state.engine.cache.is_available(request.document, self.now)
        ]
        if holders:
            return Sources(holders, None)
        affinity_server = max(
            (state.server for state in decodes),
            key=lambda s: rendezvous.weight(request.document, s),
        )
        return Sources([], affinity_server)

    def _stream_cost_s(self, request, state, sources):
        """Return the cost of a stream: load, lack of slots, pace, copying."""
        cost_s = STREAM_COST_S * state.streams
        if state.slots:
            cost_s += OVERLOAD_PENALTY_S * max(
                0, state.streams + 1 - state.slots
            )
        if state.queue_s > 0:
            cost_s += PREFILLING_COST_S
        if not sources.has(state.server):
            cost_s += self._copy_cost_s(request, state.server)
        return cost_s + self._pace_cost_s(request, state.engine.gap_s)

    def _copy_cost_s(self, request, server):
        """Return the cost of one more copy of the document."""
        tokens = EVICTED_SHARE * request.shared_tokens
        return tokens * self.model.token_s(server)

    @staticmethod
    def _pace_cost_s(request, gap_s):
        """Return the cost of a stream whose events come ``gap_s`` apart."""
        gaps = max(0.0, request.output_events - 1)
        duration_s = gaps * gap_s
        cost_s = DURATION_COST * duration_s
        if request.max_gap_s:
            excess = max(0.0, gap_s / request.max_gap_s - CALM_GAP_SHARE)
            risk = min(1.0, LATE_EVENT_RISK * excess * gaps)
            cost_s += LATE_EVENT_PENALTY_S * risk
        share = duration_s / max(request.end_left_s, MIN_END_LEFT_S)
        range_share = LOST_DURATION_SHARE - SAFE_DURATION_SHARE
        risk = (share - SAFE_DURATION_SHARE) / range_share
        return cost_s + DURATION_PENALTY_S * min(1.0, max(0.0, risk))

    def _make_candidate(self, request, prefiller, decode, sources):
        server = prefiller.server
        tokens, unknown, fetch_from = request.own_tokens, 0, None
        # By then the prompts before it have been prefilled.
        starts_s = self.now + prefiller.queue_s + CACHE_TOLERANCE_S
        is_cached = prefiller.engine.cache.is_available(
            request.document, starts_s
        )
        if request.shared_tokens and not is_cached:
            fetch_from = sources.nearest(server)
            if not sources.holders:
                unknown = request.shared_tokens
                tokens += int(self.miss_share * unknown)
        is_queued = prefiller.queue_s > 0
        cost_s = self.model.seconds(server, tokens, is_queued)
        first_event_s = prefiller.queue_s + cost_s
        rank_s = self._stream_cost_s(request, decode, sources)
        if not is_cached:
            rank_s += self._copy_cost_s(request, server)
        if prefiller is not decode:
            # The slower of the two links decides.
            first_event_s += max(
                prefiller.engine.handover_s, decode.engine.handover_s
            )
            rank_s += HANDOVER_PENALTY_S
        else:
            rank_s += self._disturbance_s(request, decode, cost_s)
        return Candidate(
            prefiller,
            decode,
            fetch_from,
            tokens,
            unknown,
            cost_s,
            prefiller.queue_s,
            first_event_s,
            rank_s + first_event_s,
        )

    @staticmethod
    def is_calm(state, request):
        """Return whether an engine has no streams or no long pauses."""
        engine = state.engine
        limit_s = max(
            CROWDED_GAP_SHARE * request.max_gap_s,
            CROWDED_SLOWDOWN * engine.best_gap_s,
        )
        return not state.streams or engine.gap_s <= limit_s

    def _disturbance_s(self, request, state, cost_s):
        """Return the cost of a prefill for the streams beside it."""
        penalty_s = DISTURBANCE_COST * state.streams * cost_s
        if not self.is_calm(state, request):
            penalty_s += CROWDED_PENALTY_S
        return penalty_s

    def reserve(self, candidate):
        """Count the prefill of a prompt, also of one that still waits."""
        candidate.prefiller.queue_s += candidate.cost_s
        is_direct = candidate.is_direct
        states = self.decodes if is_direct else self.prefills
        states.sort(key=self._ordinary_finish_s)


def _usable(states, request):
    """Return the states of servers that the request may be sent to."""
    untried = _untried(states, request)
    if not request.avoided:
        return untried
    return [s for s in untried if s.server.server_id not in request.avoided]


def _untried(states, request):
    """Return the states of servers that the request has not tried."""
    if not request.tried:
        return states
    return [s for s in states if s.server.server_id not in request.tried]


@attrs.frozen
class Sources:
    """Where the document of a prompt is.

    ``holders`` are the servers that are known to have it cached; if there
    are none, ``affinity_server`` is where other schedulers put it.
    """

    holders: list
    affinity_server: registry.BackendServer | None

    def has(self, server):
        """Return whether a server is likely to have the document."""
        if not self.holders:
            return self.affinity_server in (None, server)
        return server in self.holders

    def nearest(self, server):
        """Return the server to fetch from, or None.

        It is in the fetching server's failure domain if possible.
        """
        if not self.holders:
            is_itself = self.affinity_server is server
            return None if is_itself else self.affinity_server
        near = [
            holder
            for holder in self.holders
            if holder.failure_domain == server.failure_domain
        ]
        return (near or self.holders)[0]
