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
DECODE_READING_TOKENS = 8000
PREFILL_TOKENS_PER_S = 48000
DECODE_TOKENS_PER_S = 24000
HANDOVER_S = 0.01
OTHERS_SHARE = 0.5
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
    latency_s: float = 0.0
    report: object = None
    reported_s: float = 0.0


@attrs.frozen
class Placement:
    """Where a generation runs; ``prefill`` is None without a hand-over."""

    decode: registry.BackendServer
    prefill: registry.BackendServer | None = None
    tokens: int = 0

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

    def on_read(self, server, tokens):
        """Count the tokens that a server has to read, or has read."""
        self.load(server).reading += tokens

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

    def place_generation(self, prompt, servers):
        """Return a `Placement`, or None when the engines are full.

        The engine that decodes is the same for all prompts with the same
        shared part, as it keeps that part; the prompt is read there or on
        the prefill engine that is expected to be done first.
        """
        key = prompt.shared_key or (prompt.parts and prompt.parts[-1].part_id)
        tokens = prompt.tokens
        is_long = tokens >= HANDOVER_TOKENS
        if is_long:
            tokens -= prompt.shared_tokens
        decode = self._pick_decode(servers, key, is_long)
        if decode is None:
            return None
        prefill = self._pick_prefill(servers, key)
        direct_s = self._read_s(decode, tokens, DECODE_TOKENS_PER_S)
        if prefill is not None:
            apart_s = self._read_s(prefill, tokens, PREFILL_TOKENS_PER_S)
            if apart_s + HANDOVER_S < direct_s and self._may_read(
                prefill, tokens, PREFILL_READING_TOKENS
            ):
                return Placement(decode, prefill, tokens)
        if self._may_read(decode, tokens, DECODE_READING_TOKENS):
            return Placement(decode, None, tokens)
        return None

    def _read_s(self, server, tokens, tokens_per_s):
        """Return the expected seconds until ``tokens`` more are read."""
        others = self.load(server).reading * self.vms * OTHERS_SHARE
        return (others + tokens) / tokens_per_s

    def _may_read(self, server, tokens, limit):
        reading = self.load(server).reading
        return not reading or reading + tokens <= limit / self.vms

    def _pick_decode(self, servers, key, is_affine):
        limit = self._share(DECODE_PLACES)
        free = [
            server
            for server in servers
            if _is_at(server, registry.Stage.DECODE)
            and self.load(server).in_flight < limit
        ]
        if not free:
            return None
        if is_affine:
            return max(free, key=lambda server: _weight(key, server))
        return min(
            free,
            key=lambda server: (
                self.load(server).reading,
                self.load(server).in_flight,
                _weight(key, server),
            ),
        )

    def _pick_prefill(self, servers, key):
        free = [s for s in servers if _is_at(s, registry.Stage.PREFILL)]
        if not free:
            return None
        return min(
            free,
            key=lambda server: (
                self.load(server).reading,
                _weight(key, server),
            ),
        )


def _is_at(server, stage):
    # A server that tells no stage does both, as a decode engine does.
    return (server.stage or registry.Stage.DECODE) is stage


def _weight(key, server):
    text = f'{key}/{server.server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
