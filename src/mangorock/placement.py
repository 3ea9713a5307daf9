"""Selects the backend server for each request.

A plain request goes to the server with the lowest expected latency,
estimated from this VM's own requests and the load that servers report.

Placement of generations handles three load patterns:

* Long prompts that share documents: rendezvous hashing sends all requests
  with the same shared part to the same engines, so that every entry VM
  finds the same cache without a call to the others.
* Prefill that delays decode: a decode engine prefills at half speed between
  the tokens of its streams, so long prompts are prefilled on a prefill
  engine and their KV cache is handed over.
* Bursts: each VM uses only its share of the capacity of each engine, so
  that what has been sent finishes in time.
"""

import attrs

from mangorock import engines
from mangorock import loads
from mangorock import registry
from mangorock import rendezvous

# A shared part is routed to the engine that caches it if its prefill takes at
# least this long, in seconds; a shorter one is not worth the detour.
MIN_AFFINITY_S = 0.04
# A decode engine may serve this many times its slots for all entry VMs
# together, since their shares are never used up at the same time.
SLOTS_FACTOR = 2
# Longest prefill queue of an engine, as a multiple of the request's target
# latency, for prefill engines and for decode engines.
PREFILL_QUEUE_TARGETS = 1.5
DECODE_QUEUE_TARGETS = 1.1
# Each other VM is assumed to have this part of this VM's backlog.
OTHER_VMS_FACTOR = 0.5
# A VM's first prompt at an engine may exceed the backlog limit by this factor.
FIRST_PROMPT_FACTOR = 2.0
# Seconds added by a KV cache hand-over, and by each request in flight.
HANDOVER_S = 0.01
IN_FLIGHT_PENALTY_S = 0.002
# Added to the expected wait at engines without affinity for the shared part,
# since a second cached copy evicts other entries.
CACHE_MISS_PENALTY_S = 0.3
# Gaps between events that a generation of ordinary length waits for.
EXPECTED_GAPS = 1.0
# Added to the expected wait for each stream beyond an engine's learned limit.
EXCESS_STREAM_S = 0.05
# Share of the longest allowed gap between events of a stream that a decode
# engine may spend on the prefill of one prompt.
DIRECT_GAP_SHARE = 0.4
# Shares of the longest allowed gap above which a decode engine prefills no
# prompts itself, and none that take longer than `DIRECT_GAP_SHARE`.
MAX_GAP_SHARE = 0.7
LONG_PROMPT_MAX_GAP_SHARE = 0.1
# Prompts of a route are long if the prefill of one takes a decode engine more
# than this share of the longest allowed gap.  Short ones are placed by each VM
# itself: there are many, and they hardly add to an engine's queue.
LONG_GAP_SHARE = 0.2
PROMPT_TOKENS_WEIGHT = 0.1  # Weight of the newest prompt in the average.
# Plain servers of learned capacity that are compared for one request.
MAX_COMPARED = 64
# Factor on the cost of a server in another failure domain.
CROSS_DOMAIN_FACTOR = 1.15


@attrs.frozen
class Demand:
    """What a generation requires of an engine with ``slots`` slots.

    ``target_s`` is the time until its first event is late, ``max_gap_s`` the
    longest pause between its events.  ``sources`` are the servers that a
    cached prefix may be fetched from, also those that take no requests now.
    """

    prompt: object
    max_gap_s: float
    target_s: float
    slots: int
    sources: tuple = ()


@attrs.frozen
class Option:
    """A candidate placement and its expected wait.

    ``prefill`` is None where the decode engine prefills the prompt itself.
    """

    wait_s: float
    decode: registry.BackendServer
    prefill: registry.BackendServer | None = None


@attrs.frozen
class Placement:
    """The engines chosen for a generation.

    ``prefill`` is None where the decode engine prefills the prompt itself;
    ``tokens`` is the number of tokens to prefill; ``affinity_server`` is the
    engine that caches a long shared part, or None.  ``cost_s`` is the time
    that the scheduler expects the prefill itself to take, None if this VM
    chose the engines.
    """

    decode: registry.BackendServer
    prefill: registry.BackendServer | None = None
    tokens: int = 0
    affinity_server: registry.BackendServer | None = None
    cost_s: float | None = None

    @property
    def servers(self):
        """Return the servers whose capacity this placement uses."""
        if self.prefill is None:
            return (self.decode,)
        return (self.prefill, self.decode)


@attrs.define
class Placer:
    """Selects servers from the load of each incarnation.

    A state machine without I/O: callers pass the time and report events.
    ``vm_count`` is the number of entry VMs that share the servers; ``turn``
    is where the next comparison of a part of them begins.
    """

    failure_domain: str
    vm_count: int = 8
    loads: dict = attrs.field(factory=dict)
    model: engines.PrefillModel = attrs.field(factory=engines.PrefillModel)
    route_tokens: dict = attrs.field(factory=dict)
    turn: int = 0

    def load(self, server):
        """Return the `loads.ServerLoad` of a server's current incarnation."""
        found = self.loads.get(server.incarnation)
        if found is None:
            found = self.loads[server.incarnation] = loads.ServerLoad()
        return found

    def on_send(self, server):
        """Count a request sent to a server."""
        self.load(server).in_flight += 1

    def on_end(self, server):
        """Count a request as ended."""
        self.load(server).in_flight -= 1

    def on_answer(self, server, report, latency_s, now):
        """Record an answer's latency and load ``report`` (None: no report)."""
        is_plain = server.stage is None
        self.load(server).on_answer(report, latency_s, now, is_plain)

    def on_refusal(self, server, report, now):
        """Record that a server refused a request, and its load ``report``.

        The time that it took is not that of an answer.
        """
        self.load(server).on_report(report, now)
        self.on_failure(server, now)

    def on_failure(self, server, now):
        """Penalise a server for a failed or refused request.

        Without the penalty a server that fails at once would look fast.
        """
        self.load(server).on_failure(now)

    def forget(self, incarnations):
        """Drop idle loads of incarnations that are not in ``incarnations``."""
        self.loads = {
            incarnation: load
            for incarnation, load in self.loads.items()
            if incarnation in incarnations or load.in_flight
        }
        self.model.forget(incarnations)

    def learned_limits(self):
        """Yield (incarnation, slots, `capacity.Capacity`) where known."""
        for incarnation, load in self.loads.items():
            if load.report is None:
                continue
            for learned in (load.answers, load.streams):
                if learned.is_notable:
                    yield incarnation, load.report.slots, learned

    def place_plain(self, servers, max_connections, now):
        """Return the cheapest of ``servers``, or None if all are full.

        If the capacity of one is known, that of all is compared.
        """
        limit = self._vm_share(max_connections)
        known = [(server, self.load(server)) for server in servers]
        free = [pair for pair in known if pair[1].in_flight < limit]
        if not free:
            return None
        is_learned = any(load.is_learned(now) for _, load in free)
        if is_learned:
            free = self._some(free)
        return min(free, key=lambda pair: self._cost(pair, is_learned, now))[0]

    def _vm_share(self, total):
        return max(1, total // self.vm_count)

    def _some(self, pairs):
        """Return `MAX_COMPARED` of the servers in turn, which bounds cost."""
        if len(pairs) <= MAX_COMPARED:
            return pairs
        start = self.turn % len(pairs)
        self.turn = start + MAX_COMPARED
        return (pairs + pairs[:MAX_COMPARED])[start : start + MAX_COMPARED]

    def _cost(self, pair, is_learned, now):
        server, load = pair
        if is_learned:
            cost = load.learned_cost_s(now)
        else:
            cost = load.plain_cost_s(now)
        is_local = server.failure_domain == self.failure_domain
        return cost if is_local else cost * CROSS_DOMAIN_FACTOR

    def place_generation(self, demand, servers, now):
        """Return a `Placement`, or None if the engines are full.

        Every pair of a decode engine and an engine to prefill the prompt is
        compared by the time to the first event and the gaps after it.
        """
        decode_engines = [s for s in servers if not s.is_prefill_only]
        prefill_engines = [s for s in servers if s.is_prefill_only]
        sources = [s for s in demand.sources if not s.is_prefill_only]
        affinity_server = self._affinity_server(
            demand.prompt, sources or decode_engines
        )
        tokens = demand.prompt.tokens
        if affinity_server is not None:
            # Assume that some engine has a shared part this long cached.
            tokens = max(0, tokens - demand.prompt.shared_tokens)
        options = []
        for decode in decode_engines:
            if not self._has_capacity(decode, demand):
                continue
            wait_s = EXPECTED_GAPS * self._gap_s(decode, now)
            excess = self.load(decode).excess_streams(now)
            wait_s += EXCESS_STREAM_S * excess
            if decode is not affinity_server:
                wait_s += CACHE_MISS_PENALTY_S
            options += self._options(
                wait_s, decode, prefill_engines, demand, tokens, now
            )
        if not options:
            return None
        key = demand.prompt.shared_part_id
        best = min(options, key=lambda option: self._sort_key(option, key))
        return Placement(best.decode, best.prefill, tokens, affinity_server)

    def _options(self, wait_s, decode, prefill_engines, demand, tokens, now):
        """Return the options to prefill ``tokens`` for ``decode``."""
        options = []
        if self._may_prefill_locally(decode, demand, tokens, now):
            prefill_s = self._prefill_s(decode, tokens, now)
            options.append(Option(wait_s + prefill_s, decode))
        limit_s = PREFILL_QUEUE_TARGETS * demand.target_s
        for prefill in prefill_engines:
            if self._may_prefill(prefill, tokens, limit_s, now):
                prefill_s = HANDOVER_S + self._prefill_s(prefill, tokens, now)
                options.append(Option(wait_s + prefill_s, decode, prefill))
        return options

    def _sort_key(self, option, key):
        """Return a sort key: time and load, then hashes that spread ties."""
        in_flight = self.load(option.decode).in_flight
        if option.prefill is not None:
            in_flight += self.load(option.prefill).in_flight
        return (
            option.wait_s + IN_FLIGHT_PENALTY_S * in_flight,
            rendezvous.weight(key, option.prefill or option.decode),
            rendezvous.weight(key, option.decode),
        )

    def _affinity_server(self, prompt, decode_engines):
        """Return the engine that caches a long shared part, or None."""
        if not decode_engines:
            return None
        shared_s = prompt.shared_tokens * min(
            self.model.token_s(server) for server in decode_engines
        )
        if shared_s < MIN_AFFINITY_S:
            return None
        key = prompt.shared_part_id
        return max(
            decode_engines, key=lambda server: rendezvous.weight(key, server)
        )

    def _gap_s(self, server, now):
        return self.load(server).expected_gap_s(now)

    def _prefill_s(self, server, tokens, now):
        """Return the expected seconds until ``tokens`` are prefilled."""
        return self.model.seconds(
            server, self._total_backlog(server, now) + tokens
        )

    def _total_backlog(self, server, now):
        """Return the tokens of all VMs that a server has still to prefill.

        The VMs have similar load, so the backlog of the others is estimated
        from this VM's own.  A prefill engine's report of its prompts raises
        the estimate for as long as those prompts take.
        """
        load = self.load(server)
        estimated = load.backlog_tokens * self.vm_count * OTHER_VMS_FACTOR
        if load.report is None or not server.is_prefill_only:
            return estimated
        prompts = max(0, load.report.running + load.report.waiting - 1)
        reported = prompts * load.prompt_tokens
        processed = (now - load.reported_s) / self.model.token_s(server)
        return max(estimated, reported - processed)

    def _may_prefill(self, server, tokens, limit_s, now):
        prefill_s = self._prefill_s(server, tokens, now)
        if not self.load(server).backlog_tokens:
            limit_s *= FIRST_PROMPT_FACTOR
        return prefill_s <= limit_s

    def _may_prefill_locally(self, server, demand, tokens, now):
        share = MAX_GAP_SHARE
        direct_s = self.model.seconds(server, tokens)
        if direct_s > DIRECT_GAP_SHARE * demand.max_gap_s:
            share = LONG_PROMPT_MAX_GAP_SHARE
        if self._gap_s(server, now) > share * demand.max_gap_s:
            return False
        limit_s = DECODE_QUEUE_TARGETS * demand.target_s
        return self._may_prefill(server, tokens, limit_s, now)

    def _has_capacity(self, server, demand):
        share = self._vm_share(SLOTS_FACTOR * demand.slots)
        return self.load(server).in_flight < share

    def on_gap(self, server, gap_s, now):
        """Record the gap between two events of a stream."""
        self.load(server).on_gap(gap_s, now)

    def on_prefilled(self, server, tokens, seconds, cost_s=None):
        """Record that the prefill of ``tokens`` took ``seconds``.

        ``cost_s`` is the time without the queue, if a scheduler that knows
        the queue has told it.
        """
        load = self.load(server)
        load.prompt_tokens += PROMPT_TOKENS_WEIGHT * (
            tokens - load.prompt_tokens
        )
        if cost_s is not None:
            self.model.observe(server, tokens, cost_s, is_queued=True)
            return
        other_tokens = (
            max(0, load.backlog_tokens - tokens)
            * self.vm_count
            * OTHER_VMS_FACTOR
        )
        self.model.observe(server, other_tokens + tokens, seconds)

    def is_long(self, route, service, own_tokens):
        """Return whether the prompts of a route delay streams noticeably.

        That is decided by the mean of the route's prompts, so that all of
        them are placed in one way.
        """
        mean = self.route_tokens.get(route.name, own_tokens)
        mean += PROMPT_TOKENS_WEIGHT * (own_tokens - mean)
        self.route_tokens[route.name] = mean
        gap_s = route.max_gap_s or route.target_s
        return mean * self.model.mean_token_s(service) > LONG_GAP_SHARE * gap_s

    def add_backlog(self, server, tokens):
        """Add ``tokens`` to a server's prefill backlog, or subtract them."""
        self.load(server).backlog_tokens += tokens
