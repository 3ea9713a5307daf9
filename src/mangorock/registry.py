"""The backend servers that may be used, as their register says.

The register is written by the servers themselves and read late.  Three
patterns are answered here.  An entry of an earlier incarnation, or an older
one of this incarnation, arrives after a newer one and is ignored.  Entries
lapse while the register was away and come back a moment later: a lapsed
server stays usable for `LAPSE_GRACE_S` where its service has no other.  A
draining server gets
nothing new from the moment that its entry says so.  Neither does an engine
that is about to change its stage (`Registry.pause`).
"""

import enum

import attrs

# Shorter than the time for which a server that left without notice goes on
# serving, so that the last resort never sends to one that has ended.
LAPSE_GRACE_S = 1.5


class Stage(enum.Enum):
    """What an engine does: only prefill, or decode with its own prefill."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server.

    ``started_ms`` is the Unix millisecond of its start, ``sequence`` grows
    with each report of that incarnation, ``stage`` is None for plain servers.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    started_ms: int = 0
    sequence: int = 0
    is_draining: bool = False
    stage: Stage | None = None

    @property
    def incarnation(self):
        """Return what distinguishes this incarnation from any other."""
        return self.server_id, self.started_ms

    @property
    def is_prefill_only(self):
        """Say whether it streams nothing; one without a stage does both."""
        return self.stage is Stage.PREFILL


@attrs.define
class Registry:
    """Keeps the newest entry of each server; a state machine.

    ``last_contact_s`` is when the register was last heard of.
    """

    servers: dict = attrs.field(factory=dict)
    lapsed_since_s: dict = attrs.field(factory=dict)
    paused: dict = attrs.field(factory=dict)
    last_contact_s: float = 0.0

    def put(self, server):
        """Take an entry; return whether it is news."""
        known = self.servers.get(server.server_id)
        if known is not None and _is_older(server, known):
            return False
        self.servers[server.server_id] = server
        self.lapsed_since_s.pop(server.server_id, None)
        return server != known

    def remove(self, server_id, now):
        """Note that an entry is gone since ``now``."""
        if server_id in self.servers:
            self.lapsed_since_s.setdefault(server_id, now)

    def replace(self, servers, now):
        """Take a whole listing; entries that it lacks have lapsed."""
        listed = set()
        for server in servers:
            listed.add(server.server_id)
            self.put(server)
        for server_id in self.servers.keys() - listed:
            self.remove(server_id, now)

    def pause(self, server_id, until_s):
        """Offer a server for no new work until then, or its next stage."""
        known = self.servers.get(server_id)
        if known is not None:
            self.paused[server_id] = known.incarnation, known.stage, until_s

    def paused_incarnations(self, now):
        """Return the incarnations that are offered for no new work."""
        return [
            server.incarnation
            for server in self.servers.values()
            if self._is_paused(server, now)
        ]

    def _is_paused(self, server, now):
        incarnation, stage, until_s = self.paused.get(
            server.server_id, (None, None, now)
        )
        return (
            now < until_s
            and incarnation == server.incarnation
            and stage is server.stage
        )

    @property
    def incarnations(self):
        """Return the incarnations of all servers that are known."""
        return {server.incarnation for server in self.servers.values()}

    def purge_lapsed(self, now):
        """Drop and return the ids of entries lapsed for longer."""
        purged_ids = [
            server_id
            for server_id, since_s in self.lapsed_since_s.items()
            if now - since_s > LAPSE_GRACE_S
        ]
        for server_id in purged_ids:
            del self.lapsed_since_s[server_id]
            del self.servers[server_id]
            self.paused.pop(server_id, None)
        return purged_ids

    def is_usable(self, server, now):
        """Say whether new work may still be sent to this incarnation."""
        known = self.servers.get(server.server_id)
        if (
            known is None
            or known.incarnation != server.incarnation
            or known.is_draining
        ):
            return False
        since_s = self.lapsed_since_s.get(server.server_id)
        return since_s is None or now - since_s <= LAPSE_GRACE_S

    def candidates(self, service, now):
        """Return the servers of ``service`` that may get new work."""
        usable = [
            server
            for server in self.servers.values()
            if server.service == service
            and self.is_usable(server, now)
            and not self._is_paused(server, now)
        ]
        present = [s for s in usable if s.server_id not in self.lapsed_since_s]
        return present or usable


def _is_older(server, known):
    if server.started_ms != known.started_ms:
        return server.started_ms < known.started_ms
    return server.sequence < known.sequence
