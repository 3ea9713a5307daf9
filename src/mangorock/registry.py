"""The backend servers that may be used, according to the service registry.

The servers write the registry in the platform's store themselves, and it is
read with a delay.  `Registry` handles these cases:

- An entry of an earlier incarnation, or an older entry of the current one,
  arrives after a newer entry: it is ignored.  After the server's entry was
  removed, a copy of the last one is ignored as well: only a server that is
  still there writes a newer one.
- Entries lapse while the store is unavailable and are written again a moment
  later: a lapsed server stays usable for `LAPSE_GRACE_S` if its service has
  no other server.
- A server is draining: it gets no new work as soon as its entry says so.
- An engine is about to change its stage: it gets no new work either
  (`Registry.pause`).
- A server states in a response that it leaves or refuses for a time: it gets
  no new work, whatever its entry says (`availability.Availability`).
- A server states how many requests it takes: it stays a candidate, and
  whether it may be sent one now is asked for each (`rate_limits.RateLimits`).
"""

import enum

import attrs

from mangorock import availability as availabilities
from mangorock import rate_limits

# Shorter than the time for which a server that disappeared without notice
# continues to serve, so that the fallback to lapsed servers never selects one
# that has terminated.
LAPSE_GRACE_S = 1.5
# Removed servers whose last entry is remembered; the oldest are dropped beyond
# this number.
MAX_REMOVED = 4096


class Stage(enum.Enum):
    """The work of an engine: only prefill, or decode with own prefill."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server, from its start to its end.

    ``started_ms`` is its start in Unix milliseconds, ``sequence`` increases
    with each report of the incarnation, and ``stage`` is None for plain
    servers.  A server with ``is_spot`` may be reclaimed at short notice.
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
    is_spot: bool = False

    @property
    def incarnation(self):
        """Return the key that identifies this incarnation."""
        return self.server_id, self.started_ms

    @property
    def is_prefill_only(self):
        """Say whether the server only prefills and streams no tokens.

        A server without a stage does both.
        """
        return self.stage is Stage.PREFILL


@attrs.define
class Registry:
    """The newest entry of each server; a state machine without I/O.

    ``last_contact_s`` is the time of the last answer from the registry.
    ``removed`` has the last entries of servers that are no longer known, the
    oldest removal first.
    """

    servers: dict = attrs.field(factory=dict)
    lapsed_since_s: dict = attrs.field(factory=dict)
    paused: dict = attrs.field(factory=dict)
    removed: dict = attrs.field(factory=dict)
    last_contact_s: float = 0.0
    availability: availabilities.Availability = attrs.field(
        factory=availabilities.Availability
    )
    rates: rate_limits.RateLimits = attrs.field(factory=rate_limits.RateLimits)

    def put(self, server):
        """Store an entry; return whether it changed what was known."""
        known = self.servers.get(server.server_id)
        if known is not None and _is_older(server, known):
            return False
        if self._is_known_to_be_removed(server):
            return False
        self.removed.pop(server.server_id, None)
        self.servers[server.server_id] = server
        self.lapsed_since_s.pop(server.server_id, None)
        return server != known

    def _is_known_to_be_removed(self, server):
        """Say whether the entry is not newer than one that was removed."""
        last = self.removed.get(server.server_id)
        if server.server_id in self.lapsed_since_s:
            last = self.servers[server.server_id]
        return last is not None and not _is_older(last, server)

    def remove(self, server_id, now):
        """Mark a server as lapsed at ``now`` as its entry was removed."""
        if server_id in self.servers:
            self.lapsed_since_s.setdefault(server_id, now)

    def replace(self, servers, now):
        """Store a complete listing; servers that it lacks have lapsed."""
        listed = set()
        for server in servers:
            listed.add(server.server_id)
            self.put(server)
        for server_id in self.servers.keys() - listed:
            self.remove(server_id, now)

    def pause(self, server_id, until_s):
        """Give a server no new work until ``until_s``.

        The pause ends early when the server restarts or changes its stage.
        """
        known = self.servers.get(server_id)
        if known is not None:
            self.paused[server_id] = known.incarnation, known.stage, until_s

    def paused_incarnations(self, now):
        """Return the incarnations that are paused at ``now``."""
        return [
            server.incarnation
            for server in self.servers.values()
            if self._is_paused(server, now)
        ]

    def _is_paused(self, server, now):
        return now < self._paused_until_s(server, now)

    def _paused_until_s(self, server, now):
        """Return the end of a server's pause, ``now`` if there is none."""
        incarnation, stage, until_s = self.paused.get(
            server.server_id, (None, None, now)
        )
        if incarnation != server.incarnation or stage is not server.stage:
            return now
        return until_s

    @property
    def incarnations(self):
        """Return the incarnations of all known servers."""
        return {server.incarnation for server in self.servers.values()}

    def purge_lapsed(self, now):
        """Remove servers lapsed beyond the grace period; return their ids."""
        purged_ids = [
            server_id
            for server_id, since_s in self.lapsed_since_s.items()
            if now - since_s > LAPSE_GRACE_S
        ]
        for server_id in purged_ids:
            del self.lapsed_since_s[server_id]
            self.removed[server_id] = self.servers.pop(server_id)
            self.paused.pop(server_id, None)
        while len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]
        self.availability.forget(self.servers.values(), now)
        self.rates.forget(self.servers.values())
        return purged_ids

    def is_usable(self, server, now):
        """Say whether this incarnation may still be sent new work.

        A lapsed server is usable for `LAPSE_GRACE_S`.
        """
        return self._is_present(
            server, now
        ) and self.availability.wants_requests(server, now)

    def _is_present(self, server, now):
        """Say whether the registry allows to use this incarnation."""
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
        """Return the servers of ``service`` that may get new work.

        Lapsed servers are returned only if there are no others.
        """
        usable = [
            server
            for server in self.servers.values()
            if server.service == service
            and self.is_usable(server, now)
            and not self._is_paused(server, now)
        ]
        present = [s for s in usable if s.server_id not in self.lapsed_since_s]
        return present or usable

    def seconds_until_wanted(self, service, now):
        """Return the time until a server of ``service`` wants requests.

        Returns None unless servers refuse and none may get new work now.
        """
        if not self.availability.refusing or self.candidates(service, now):
            return None
        known = self.availability
        staying = [
            server
            for server in self.servers.values()
            if server.service == service
            and self._is_present(server, now)
            and not known.is_leaving(server)
        ]
        if not any(known.wanted_at_s(s, now) > now for s in staying):
            return None
        wanted_at_s = min(
            max(known.wanted_at_s(s, now), self._paused_until_s(s, now))
            for s in staying
        )
        return wanted_at_s - now

    def server_at(self, address):
        """Return the only server at an address, None if there is none."""
        found = [
            server
            for server in self.servers.values()
            if server.address == address
            and server.server_id not in self.lapsed_since_s
        ]
        return found[0] if len(found) == 1 else None


def _is_older(server, known):
    if server.started_ms != known.started_ms:
        return server.started_ms < known.started_ms
    return server.sequence < known.sequence
