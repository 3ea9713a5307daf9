"""Chooses the backend server for a request.

The router is a state machine without sockets or clocks.  Engine reports are
stale when they arrive, so the router adds the requests that this daemon
sent since the state that a report describes, and scales them by the number
of routers to allow for what the others sent.  Only a few sampled candidates
are compared: if many routers picked the single best server from the same
stale reports, they would overload it (herding).
"""

import collections

import attrs

CHOICE_SAMPLE = 3
ESTIMATE_SAMPLE = 12
MAX_PIECES = 4096
DEFAULT_PREFILL_TPS = 10_000.0
DEFAULT_STEP_S = 0.03
LEARNING_RATE = 0.2
FAILURE_PAUSE_S = 1.0
REPORT_LAG_S = 1.0
# Transfer rate of KV cache between engines, in prompt tokens per second.
TRANSFER_TPS = 100_000.0
BATCH_SLOTS = 64
NO_DRAIN_VERSION = (0, 0)


@attrs.frozen
class Demand:
    """What a request requires of an engine.

    ``pieces`` are the cache keys of the pieces of its prompt, in order.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    pieces: tuple = ()


@attrs.frozen
class SentRequest:
    """A request of this daemon in flight at a backend server."""

    at_s: float
    uncached_tokens: int


@attrs.define
class View:
    """The state of one backend server, as known to this daemon."""

    pool: str
    name: str
    address: str
    failure_domain: str
    vm: str = ''
    role: str = 'mixed'
    report: object = None
    report_at_s: float = -1e9
    is_draining: bool = False
    is_leaving: bool = False
    paused_until_s: float = -1e9
    prefill_tps: float = DEFAULT_PREFILL_TPS
    step_s: float = DEFAULT_STEP_S
    in_flight: dict = attrs.field(factory=dict)
    pieces: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    last_event_seen: int = 0

    def is_available(self, now):
        """Return whether the server may be sent new requests."""
        if self.is_draining or self.is_shutting_down():
            return False
        if self.report is not None and self.report.is_changing:
            return False
        return now >= self.paused_until_s

    def is_shutting_down(self):
        """Return whether the VM list or the engine announces a shutdown."""
        if self.report is not None and self.report.is_leaving:
            return True
        return self.is_leaving

    def cached_tokens(self, demand, piece_tokens):
        """Return the length of the prompt prefix assumed to be cached."""
        count = 0
        for key in demand.pieces:
            if key not in self.pieces:
                break
            count += piece_tokens
        return min(count, demand.prompt_tokens)

    def add_cached(self, keys):
        """Record pieces that the engine has cached.

        Beyond `MAX_PIECES` the least recently added ones are dropped.
        """
        for key in keys:
            self.pieces[key] = True
            self.pieces.move_to_end(key)
        while len(self.pieces) > MAX_PIECES:
            self.pieces.popitem(last=False)

    def remove_cached(self, keys):
        """Record pieces that the engine has evicted."""
        for key in keys:
            self.pieces.pop(key, None)


@attrs.frozen
class Choice:
    """The chosen server.

    ``prefill`` is a second server that prefills the prompt, or ``None``.
    """

    view: View
    expected_s: float
    uncached_tokens: int
    prefill: View | None = None


@attrs.frozen(order=True)
class Estimate:
    """Expected seconds to finish, and the part spent on other requests."""

    total_s: float
    wait_s: float


@attrs.define
class Router:
    """Routes requests among the backend servers of a failure domain.

    ``rng`` is a seeded ``random.Random``.  ``drain_versions`` and
    ``undrain_versions`` hold, by engine address, the versions of the latest
    drains in force and of the latest undrains; versions increase, so late
    calls are recognised.
    """

    failure_domain: str
    rng: object
    piece_tokens: int = 2048
    views: dict = attrs.field(factory=dict)
    round_robin_counts: dict = attrs.field(factory=dict)
    drain_versions: dict = attrs.field(factory=dict)
    undrain_versions: dict = attrs.field(factory=dict)

    def update_tables(self, tables):
        """Update the views to a revision of the tables.

        Only servers of this failure domain are routed to directly.  Others
        are reached through the daemons of their failure domain, so that a
        drain needs acknowledgements from one failure domain only.
        """
        listed = {}
        for pool in tables.pools.values():
            for name, server in pool.servers.items():
                if server.failure_domain != self.failure_domain:
                    continue
                listed[(pool.name, name)] = server
        for key in [k for k in self.views if k not in listed]:
            if not self.views[key].in_flight:
                del self.views[key]
            else:
                self.views[key].is_draining = True
        for key, server in listed.items():
            self._update_server(key, server)

    def _update_server(self, key, server):
        view = self.views.get(key)
        if view is None or view.address != server.address:
            view = View(*key, server.address, server.failure_domain, server.vm)
            view.role = server.role
            self.views[key] = view
        view.is_draining = server.is_draining
        view.vm = server.vm

    def update_vms(self, vms):
        """Send no new requests to servers on VMs that are leaving."""
        states = {vm.name: vm.state for vm in vms}
        for view in self.views.values():
            view.is_leaving = states.get(view.vm, 'live') == 'leaving'

    def on_report(self, key, report, now):
        """Update a view from an engine's report and cache events."""
        view = self.views.get(key)
        if view is None:
            return
        if report.has_gap or report.last_event < view.last_event_seen:
            # The missed events may include evictions, so no piece known so
            # far can be assumed to be cached.
            view.pieces.clear()
        view.last_event_seen = report.last_event
        view.add_cached(report.stored)
        view.remove_cached(report.evicted)
        view.report = report
        view.report_at_s = now
        view.role = report.role

    def drain(self, address, drain_version):
        """Send no new requests to an engine until an undrain.

        Returns the number of requests in flight there, or ``None`` if the
        drain is outdated: its ``drain_version`` is lower than that of the
        drain in force, or not higher than that of the latest undrain.
        """
        if drain_version <= self.undrain_versions.get(
            address, NO_DRAIN_VERSION
        ):
            return None
        if drain_version < self.drain_versions.get(address, NO_DRAIN_VERSION):
            return None
        self.drain_versions[address] = drain_version
        return sum(
            len(view.in_flight)
            for view in self.views.values()
            if view.address == address
        )

    def undrain(self, address, drain_version):
        """Allow new requests to an engine again.

        Returns ``False``, without effect, if a drain with a higher
        ``drain_version`` is in force.
        """
        if drain_version < self.drain_versions.get(address, NO_DRAIN_VERSION):
            return False
        self.drain_versions.pop(address, None)
        latest = self.undrain_versions.get(address, NO_DRAIN_VERSION)
        self.undrain_versions[address] = max(drain_version, latest)
        return True

    def candidates(self, pool, now, roles, excluded=()):
        """Return the views of a pool that may be sent new requests."""
        return [
            view
            for view in self.views.values()
            if view.pool == pool
            and view.role in roles
            and view.address not in excluded
            and view.address not in self.drain_versions
            and view.is_available(now)
        ]

    def choose(self, pool, policy, demand, now, excluded=()):
        """Return the best `Choice`, or ``None`` if no server is available.

        One mixed engine is compared with the best pair of a prefill and a
        decode engine.
        """
        mixed = self.candidates(pool, now, ('mixed',), excluded)
        best = self._choose_among(pool, mixed, policy, demand, now)
        split = self._choose_split(pool, policy, demand, now, excluded)
        if best is None or (
            split is not None and split.expected_s < best.expected_s
        ):
            return split
        return best

    def _choose_split(self, pool, policy, demand, now, excluded):
        decoders = self.candidates(pool, now, ('decode',), excluded)
        prefillers = self.candidates(pool, now, ('prefill',), excluded)
        if not decoders or not prefillers:
            return None
        first = self._choose_among(
            f'{pool}/prefill',
            prefillers,
            policy,
            attrs.evolve(demand, output_tokens=0),
            now,
        )
        second = self._choose_among(
            f'{pool}/decode',
            decoders,
            policy,
            attrs.evolve(demand, prompt_tokens=0, pieces=()),
            now,
        )
        transfer_s = demand.prompt_tokens / TRANSFER_TPS
        return Choice(
            second.view,
            first.expected_s + transfer_s + second.expected_s,
            first.uncached_tokens,
            first.view,
        )

    def _choose_among(self, counter_key, views, policy, demand, now):
        if not views:
            return None
        match policy:
            case 'round_robin':
                count = self.round_robin_counts.get(counter_key, 0)
                self.round_robin_counts[counter_key] = count + 1
                view = views[count % len(views)]
            case 'least_load':
                view = min(views, key=self._reported_load)
            case _:
                view = self._fastest(views, demand, now)
        return Choice(
            view,
            self.finish_time_s(view, demand, now),
            self._uncached(view, demand),
        )

    def _fastest(self, views, demand, now):
        sampled = views
        if len(views) > CHOICE_SAMPLE:
            sampled = self.rng.sample(views, CHOICE_SAMPLE)
            cached = max(views, key=lambda v: self._cached(v, demand))
            if self._cached(cached, demand):
                sampled.append(cached)
        return min(sampled, key=lambda v: self.finish_time_s(v, demand, now))

    @staticmethod
    def _reported_load(view):
        if view.report is None:
            return 0
        return view.report.running + view.report.queued

    def _cached(self, view, demand):
        return view.cached_tokens(demand, self.piece_tokens)

    def _uncached(self, view, demand):
        return max(0, demand.prompt_tokens - self._cached(view, demand))

    def finish_time_s(self, view, demand, now):
        """Return the expected seconds until a server finishes ``demand``."""
        queued, running = 0.0, 0.0
        if view.report is not None:
            queued = view.report.queued_tokens
            running = view.report.running
        unreported = self._unreported(view, now)
        age_s = now - view.report_at_s
        queued = max(0.0, queued - age_s * view.prefill_tps)
        queued += sum(s.uncached_tokens for s in unreported)
        running += len(unreported)
        prefill_s = (queued + self._uncached(view, demand)) / view.prefill_tps
        slowdown = 1.0 + running / BATCH_SLOTS
        return prefill_s + demand.output_tokens * view.step_s * slowdown

    def estimate(self, pool, demand, now):
        """Return the `Estimate` of the best server, for admission control.

        It does not depend on the routing policy.  The servers are sampled,
        so that the cost of a request does not grow with the fleet; the
        sample is larger than that of a choice.
        """
        mixed = self.candidates(pool, now, ('mixed',))
        if len(mixed) > ESTIMATE_SAMPLE:
            mixed = self.rng.sample(mixed, ESTIMATE_SAMPLE)
        estimates = [self._estimate(view, demand, now) for view in mixed]
        prompt = attrs.evolve(demand, output_tokens=0)
        output = attrs.evolve(demand, prompt_tokens=0, pieces=())
        first = [
            self._estimate(view, prompt, now)
            for view in self.candidates(pool, now, ('prefill',))
        ]
        second = [
            self._estimate(view, output, now)
            for view in self.candidates(pool, now, ('decode',))
        ]
        if first and second:
            one, two = min(first), min(second)
            estimates.append(
                Estimate(one.total_s + two.total_s, one.wait_s + two.wait_s)
            )
        return min(estimates, default=Estimate(0.0, 0.0))

    def _estimate(self, view, demand, now):
        total_s = self.finish_time_s(view, demand, now)
        idle_s = self._uncached(view, demand) / view.prefill_tps
        idle_s += demand.output_tokens * view.step_s
        return Estimate(total_s, max(0.0, total_s - idle_s))

    @staticmethod
    def _unreported(view, now):
        since = view.report_at_s - REPORT_LAG_S
        return [s for s in view.in_flight.values() if s.at_s > since]

    def on_sent(self, choice, demand, now):
        """Record that a request is about to be sent."""
        views = [(choice.view, 0 if choice.prefill else choice)]
        if choice.prefill is not None:
            views.append((choice.prefill, choice))
        for view, work in views:
            tokens = work.uncached_tokens if work else 0
            view.in_flight[demand.request_id] = SentRequest(now, tokens)

    def on_first_token(self, choice, demand, seconds):
        """Update the prefill rate from the ``seconds`` to the first token."""
        view = choice.prefill or choice.view
        view.add_cached(demand.pieces)
        if choice.uncached_tokens > self.piece_tokens / 4 and seconds > 0:
            speed = choice.uncached_tokens / seconds
            view.prefill_tps += LEARNING_RATE * (speed - view.prefill_tps)

    def on_finished(self, choice, demand, step_s=0.0):
        """Record the end of a request.

        ``step_s`` is its mean time between tokens, 0 if unknown.
        """
        choice.view.in_flight.pop(demand.request_id, None)
        if choice.prefill is not None:
            choice.prefill.in_flight.pop(demand.request_id, None)
        if step_s > 0.0:
            view = choice.view
            view.step_s += LEARNING_RATE * (step_s - view.step_s)

    def on_failure(self, view, now):
        """Pause new requests to a server that failed.

        The pause lasts `FAILURE_PAUSE_S`.
        """
        view.paused_until_s = now + FAILURE_PAUSE_S
