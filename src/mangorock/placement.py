"""Which backend server gets a request.

Plain requests go to the server that is expected to answer first, seen from
this VM's own requests and the load that servers tell.

Generations answer three patterns.  Long prompts that share documents: all
requests with the same shared part go to the same engines (rendezvous
hashing), so that every entry VM finds the same cache without a call.
Prefill in the way of decode: a decode engine reads prompts at half speed
between the tokens of others, so long prompts are read on a prefill engine
and handed over.  A burst: each VM keeps only its share of places at each
engine in use, so that what is sent is in time.
"""

import hashlib

import attrs

from mangorock import registry

# Prompts with more tokens to read go through a prefill engine.
HANDOVER_TOKENS = 2000
# Requests in flight at one engine from all entry VMs together; from runs
# on the users' bench (see docs/MEASUREMENTS.md).
PREFILL_PLACES = 16
DECODE_PLACES = 64
PREFILL_READING_TOKENS = 30000
DECODE_READING_TOKENS = 16000
PREFILL_TOKENS_PER_S = 48000
DECODE_TOKENS_PER_S = 24000
HANDOVER_S = 0.01
OTHERS_SHARE = 0.5
GAPS = 1.0
GAP_WEIGHT = 0.3
GAP_SHARE = 1.0
PLACE_S = 0.002
STRANGE_S = 1.0
# How long a load that a server told counts.
REPORT_VALID_S = 1.0
# A server in another failure domain must be this much better.
FAR_PENALTY = 1.15
LATENCY_WEIGHT = 0.2  # Of the newest latency in the average.
FIRST_LATENCY_S = 0.05  # Assumed of a server without an answer yet.


@attrs.define
class ServerLoad:
    """What this VM knows of the load of one life of a server."""

    in_flight: int = 0
    reading: int = 0
    gap_s: float = 0.0
    gap_at_s: float = 0.0
    latency_s: float = 0.0
    report: object = None
    reported_s: float = 0.0


@attrs.frozen
class Demand:
    """What a generation asks of an engine."""

    prompt: object
    tokens_to_read: int
    max_gap_s: float


@attrs.frozen
class Placement:
    """Where a generation runs; ``prefill`` is None without a hand-over."""

    decode: registry.BackendServer
    prefill: registry.BackendServer | None = None
    tokens: int = 0
    home: registry.BackendServer | None = None

    @property
    def servers(self):
        """Return the servers whose places this takes."""
        if self.prefill is None:
            return (self.decode,)
        return (self.prefill, self.decode)


@attrs.define
class Placer:
    """Loads by life, and the choice; a state machine.

    ``vms`` is the number of entry VMs that share the servers.
    """

    failure_domain: str
    vms: int = 8
    loads: dict = attrs.field(factory=dict)

    def load(self, server):
        """Return the `ServerLoad` of a life."""
        found = self.loads.get(server.life)
        if found is None:
            found = self.loads[server.life] = ServerLoad()
        return found

    def on_send(self, server):
        """Count a request to a server."""
        self.load(server).in_flight += 1

    def on_end(self, server):
        """Count a request out."""
        self.load(server).in_flight -= 1

    def on_answer(self, server, report, latency_s, now):
        """Take what an answer told; ``report`` may be None."""
        load = self.load(server)
        if load.latency_s:
            latency_s = (
                LATENCY_WEIGHT * latency_s
                + (1 - LATENCY_WEIGHT) * load.latency_s
            )
        load.latency_s = latency_s
        if report is not None:
            load.report = report
            load.reported_s = now

    def forget(self, lives):
        """Keep only the loads of ``lives`` and of those in use."""
        self.loads = {
            life: load
            for life, load in self.loads.items()
            if life in lives or load.in_flight
        }

    def place_plain(self, servers, max_connections, now):
        """Return the best of ``servers``, or None when all are full."""
        limit = self._share(max_connections)
        free = [s for s in servers if self.load(s).in_flight < limit]
        if not free:
            return None
        return min(free, key=lambda server: self._cost(server, now))

    def _share(self, whole):
        return max(1, whole // self.vms)

    def _cost(self, server, now):
        load = self.load(server)
        queue = load.in_flight + 1
        if load.report is not None and now - load.reported_s < REPORT_VALID_S:
            report = load.report
            queue += max(0, report.running + report.waiting - report.slots / 2)
        cost = queue * (load.latency_s or FIRST_LATENCY_S)
        is_near = server.failure_domain == self.failure_domain
        return cost if is_near else cost * FAR_PENALTY

    def place_generation(self, request, servers, now):
        """Return a `Placement`, or None when the engines are full.

        All pairs of a decode engine and a way to read the prompt are
        compared by the time to the first event and the pauses behind it.
        """
        decodes = [s for s in servers if _is_at(s, registry.Stage.DECODE)]
        prefills = [s for s in servers if _is_at(s, registry.Stage.PREFILL)]
        home = self._home(request.prompt, decodes)
        found = []
        for decode in decodes:
            if not self._has_room(decode):
                continue
            wait_s = GAPS * self._gap_s(decode, now)
            if decode is not home:
                wait_s += STRANGE_S
            if self._may_read_direct(decode, request, now):
                found.append(
                    (wait_s + self._read_s(decode, request), decode, None)
                )
            for prefill in prefills:
                if self._may_read(prefill, request, PREFILL_READING_TOKENS):
                    found.append(
                        (
                            wait_s
                            + HANDOVER_S
                            + self._read_s(prefill, request),
                            decode,
                            prefill,
                        )
                    )
        if not found:
            return None
        key = request.prompt.shared_key
        _, decode, prefill = min(found, key=lambda way: self._rank(way, key))
        return Placement(
            decode, prefill, request.tokens_to_read, home or decode
        )

    def _rank(self, way, key):
        """Order ways by time, then load, then a hash that spreads VMs."""
        wait_s, decode, prefill = way
        in_flight = self.load(decode).in_flight
        if prefill is not None:
            in_flight += self.load(prefill).in_flight
        return (
            wait_s + PLACE_S * in_flight,
            _weight(key, prefill or decode),
            _weight(key, decode),
        )

    @staticmethod
    def _home(prompt, decodes):
        """Return the engine that keeps a long shared part, or None."""
        if prompt.shared_tokens < HANDOVER_TOKENS or not decodes:
            return None
        key = prompt.shared_key
        return max(decodes, key=lambda server: _weight(key, server))

    def _gap_s(self, server, now):
        load = self.load(server)
        return load.gap_s * _fade(now - load.gap_at_s)

    def _read_s(self, server, request):
        """Return the expected seconds until the prompt is read."""
        others = self.load(server).reading * self.vms * OTHERS_SHARE
        rate = PREFILL_TOKENS_PER_S
        if _is_at(server, registry.Stage.DECODE):
            rate = DECODE_TOKENS_PER_S
        return (others + request.tokens_to_read) / rate

    def _may_read(self, server, request, limit):
        load = self.load(server)
        tokens = load.reading + request.tokens_to_read
        return not load.reading or tokens <= limit / self.vms

    def _may_read_direct(self, server, request, now):
        if self._gap_s(server, now) > GAP_SHARE * request.max_gap_s:
            return False
        return self._may_read(server, request, DECODE_READING_TOKENS)

    def _has_room(self, server):
        return self.load(server).in_flight < self._share(DECODE_PLACES)

    def on_gap(self, server, gap_s, now):
        """Take the pause between two events of a stream."""
        load = self.load(server)
        load.gap_s += GAP_WEIGHT * (gap_s - load.gap_s)
        load.gap_at_s = now

    def on_reading(self, server, tokens):
        """Count a prompt to read in (or, negative, out)."""
        self.load(server).reading += tokens


def _fade(age_s):
    """Return how much an observation of this age still says."""
    return 0.5 ** max(0.0, age_s - 1.0)


def _is_at(server, stage):
    # A server that tells no stage does both, as a decode engine does.
    return (server.stage or registry.Stage.DECODE) is stage


def _weight(key, server):
    text = f'{key}/{server.server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
