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

# Prompts with more tokens to read are long, and shared parts of this size
# are worth finding again.
LONG_TOKENS = 2000
# Requests in flight at one decode engine from all entry VMs together.
DECODE_PLACES = 64
# Tokens that one engine may have to read from all entry VMs together: about
# one target of the longest stage at the speeds below.
PREFILL_READING_TOKENS = 45000
DECODE_READING_TOKENS = 16000
# Speeds of an engine of average make, corrected by each engine's own pace.
PREFILL_TOKENS_PER_S = 48000
DECODE_TOKENS_PER_S = 24000
# The part of this VM's share that the other VMs are taken to have too.
OTHERS_SHARE = 0.5
# A VM's first prompt at an engine may go over the limit by this factor.
FIRST_SLACK = 2.0
# Seconds that a hand-over adds, and that each request in flight adds.
HANDOVER_S = 0.01
PLACE_S = 0.002
# Seconds by which another engine must be better than the one that keeps the
# shared part, since a second copy drives others out.
STRANGE_S = 0.3
# Pauses between events that a run of ordinary length waits for.
GAPS = 1.0
GAP_WEIGHT = 0.3  # Of the newest pause in the average.
# Parts of the longest allowed pause above which a decode engine reads no
# short, or no long prompt itself.
GAP_SHARE = 0.7
LONG_GAP_SHARE = 0.1
PACE_WEIGHT = 0.1  # Of the newest prompt in an engine's pace.
MIN_PACE = 0.5
MAX_PACE = 3.0
FIRST_EVENT_S = 0.02  # Spent on a prompt besides reading.
# How long a load that a plain server told counts.
REPORT_VALID_S = 1.0
# A server in another failure domain must be this much better.
FAR_PENALTY = 1.15
LATENCY_WEIGHT = 0.2  # Of the newest latency in the average.
FIRST_LATENCY_S = 0.05  # Assumed of a server without an answer yet.
# Added to the latency of a server whose answer failed, as its request had to
# be sent again or was lost; halves with each second.
FAILURE_S = 0.5


@attrs.define
class ServerLoad:
    """What this VM knows of the load of one life of a server."""

    in_flight: int = 0
    reading: int = 0
    pace: float = 1.0
    prompt_tokens: float = 1000.0
    gap_s: float = 0.0
    gap_at_s: float = 0.0
    latency_s: float = 0.0
    failure_s: float = 0.0
    failed_at_s: float = 0.0
    report: object = None
    reported_s: float = 0.0


@attrs.frozen
class Demand:
    """What a generation asks of an engine."""

    prompt: object
    tokens_to_read: int
    max_gap_s: float


@attrs.frozen
class Way:
    """A decode engine, who reads the prompt, and the expected wait."""

    wait_s: float
    decode: registry.BackendServer
    prefill: registry.BackendServer | None = None


@attrs.frozen
class Placement:
    """Where a generation runs; ``prefill`` is None without a hand-over.

    ``tokens`` are those to read, ``home`` the engine that keeps a long
    shared part, or None.
    """

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
        found = self.loads.get(server.incarnation)
        if found is None:
            found = self.loads[server.incarnation] = ServerLoad()
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

    def on_failure(self, server, now):
        """Take that an answer failed: a fast failure is no fast server."""
        load = self.load(server)
        load.failure_s = FAILURE_S + self._failure_s(load, now)
        load.failed_at_s = now

    @staticmethod
    def _failure_s(load, now):
        return load.failure_s * 0.5 ** (now - load.failed_at_s)

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
        latency_s = load.latency_s or FIRST_LATENCY_S
        cost = queue * (latency_s + self._failure_s(load, now))
        is_near = server.failure_domain == self.failure_domain
        return cost if is_near else cost * FAR_PENALTY

    def place_generation(self, demand, servers, now):
        """Return a `Placement`, or None when the engines are full.

        All pairs of a decode engine and a way to read the prompt are
        compared by the time to the first event and the pauses behind it.
        """
        decodes = [s for s in servers if not s.is_prefill_only]
        prefills = [s for s in servers if s.is_prefill_only]
        home = self._home(demand.prompt, decodes)
        ways = []
        for decode in decodes:
            if not self._has_room(decode):
                continue
            wait_s = GAPS * self._gap_s(decode, now)
            if decode is not home:
                wait_s += STRANGE_S
            ways += self._ways(wait_s, decode, prefills, demand, now)
        if not ways:
            return None
        key = demand.prompt.shared_key
        best = min(ways, key=lambda way: self._rank(way, key))
        return Placement(
            best.decode, best.prefill, demand.tokens_to_read, home
        )

    def _ways(self, wait_s, decode, prefills, demand, now):
        """Return the ways to have a prompt read for ``decode``."""
        ways = []
        if self._may_read_direct(decode, demand, now):
            read_s = self._read_s(decode, demand, now)
            ways.append(Way(wait_s + read_s, decode))
        for prefill in prefills:
            if self._may_read(prefill, demand, PREFILL_READING_TOKENS, now):
                read_s = HANDOVER_S + self._read_s(prefill, demand, now)
                ways.append(Way(wait_s + read_s, decode, prefill))
        return ways

    def _rank(self, way, key):
        """Order ways by time, then load, then a hash that spreads VMs."""
        in_flight = self.load(way.decode).in_flight
        if way.prefill is not None:
            in_flight += self.load(way.prefill).in_flight
        return (
            way.wait_s + PLACE_S * in_flight,
            weight(key, way.prefill or way.decode),
            weight(key, way.decode),
        )

    @staticmethod
    def _home(prompt, decodes):
        """Return the engine that keeps a long shared part, or None."""
        if prompt.shared_tokens < LONG_TOKENS or not decodes:
            return None
        key = prompt.shared_key
        return max(decodes, key=lambda server: weight(key, server))

    def _gap_s(self, server, now):
        load = self.load(server)
        return load.gap_s * _fade(now - load.gap_at_s)

    def _read_s(self, server, demand, now):
        """Return the expected seconds until the prompt is read."""
        tokens = self._backlog(server, now) + demand.tokens_to_read
        return self.load(server).pace * tokens / rate(server)

    def _backlog(self, server, now):
        """Return the tokens that a server has still to read, of all VMs.

        The VMs' requests are alike, so what this one has outstanding
        stands for the others too; a prefill engine's own report of its
        prompts counts for as long as those take.
        """
        load = self.load(server)
        guess = load.reading * self.vms * OTHERS_SHARE
        if load.report is None or not server.is_prefill_only:
            return guess
        prompts = max(0, load.report.running + load.report.waiting - 1)
        told = prompts * load.prompt_tokens
        passed = (now - load.reported_s) * rate(server) / load.pace
        return max(guess, told - passed)

    def _may_read(self, server, demand, limit, now):
        load = self.load(server)
        tokens = self._backlog(server, now) + demand.tokens_to_read
        if not load.reading and tokens <= FIRST_SLACK * limit:
            return True
        return load.pace * tokens <= limit

    def _may_read_direct(self, server, demand, now):
        share = GAP_SHARE
        if demand.tokens_to_read > LONG_TOKENS:
            share = LONG_GAP_SHARE
        if self._gap_s(server, now) > share * demand.max_gap_s:
            return False
        return self._may_read(server, demand, DECODE_READING_TOKENS, now)

    def _has_room(self, server):
        return self.load(server).in_flight < self._share(DECODE_PLACES)

    def on_gap(self, server, gap_s, now):
        """Take the pause between two events of a stream."""
        load = self.load(server)
        load.gap_s += GAP_WEIGHT * (gap_s - load.gap_s)
        load.gap_at_s = now

    def on_read(self, server, tokens, seconds):
        """Take how long a prompt of ``tokens`` took to be read."""
        load = self.load(server)
        load.prompt_tokens += PACE_WEIGHT * (tokens - load.prompt_tokens)
        others = max(0, load.reading - tokens) * self.vms * OTHERS_SHARE
        ratio = seconds / (FIRST_EVENT_S + (others + tokens) / rate(server))
        ratio = min(MAX_PACE, max(MIN_PACE, ratio))
        load.pace += PACE_WEIGHT * (ratio - load.pace)

    def on_reading(self, server, tokens):
        """Count a prompt to read in (or, negative, out)."""
        self.load(server).reading += tokens


def rate(server):
    """Return how many tokens of prompts an average engine reads a second."""
    if not server.is_prefill_only:
        return DECODE_TOKENS_PER_S
    return PREFILL_TOKENS_PER_S


def _fade(age_s):
    """Return how much an observation of this age still says."""
    return 0.5 ** max(0.0, age_s - 1.0)


def weight(key, server):
    """Return the rendezvous weight of a server for ``key``."""
    text = f'{key}/{server.server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
