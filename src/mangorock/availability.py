"""Records which backend servers want no requests, by their own responses.

A server that is about to stop, or is overloaded, says so in its responses
before the store tells it, and also while the store is unavailable.  Both
statements are about one incarnation at the address that responded:

- A server that leaves gets no new request until its incarnation ends.
- A server that refuses for a time gets none until that time is over.  Unlike
  `outliers.OutlierDetector`, this keeps no minimum number of servers in use.
"""

import math

import attrs

# A longer refusal is taken as a fault of the figure.
MAX_REFUSAL_S = 60.0
# Statements of servers that the registry no longer has are kept, as their
# entries may be written again; the oldest are dropped beyond this number.
MAX_REMEMBERED = 4096
# An invalid figure is reported once per server in this time.
REPORT_INTERVAL_S = 10.0


def bound_refusal_s(seconds):
    """Return for how long a server refuses, from what it states.

    A figure that is no time counts as not stated: 0.
    """
    if not math.isfinite(seconds) or seconds < 0:
        return 0.0
    return min(seconds, MAX_REFUSAL_S)


@attrs.define
class Availability:
    """The statements of all servers; a state machine without I/O.

    ``leaving`` has the keys of servers that leave, ``refusing`` the times
    until which servers refuse, ``reported`` those of the last reports of
    invalid figures.
    """

    leaving: dict = attrs.field(factory=dict)
    refusing: dict = attrs.field(factory=dict)
    reported: dict = attrs.field(factory=dict)

    def on_leaving(self, server):
        """Record that a server leaves; return whether that is new."""
        is_new = _key(server) not in self.leaving
        self.leaving[_key(server)] = None
        return is_new

    def on_refusal(self, server, seconds, now):
        """Record a refusal for ``seconds``; return whether it begins one.

        A refusal that is in force is never shortened.
        """
        seconds = bound_refusal_s(seconds)
        if not seconds:
            return False
        key, is_new = _key(server), self.wanted_at_s(server, now) <= now
        self.refusing[key] = max(self.refusing.get(key, now), now + seconds)
        return is_new

    def is_report_due(self, server, now):
        """Say whether an invalid figure is to be reported, and record it."""
        key = _key(server)
        if now - self.reported.get(key, -math.inf) < REPORT_INTERVAL_S:
            return False
        self.reported[key] = now
        return True

    def is_leaving(self, server):
        """Say whether a server has announced that it leaves."""
        return bool(self.leaving) and _key(server) in self.leaving

    def wanted_at_s(self, server, now):
        """Return when a server wants requests again, ``now`` if it does."""
        if not self.refusing:
            return now
        return max(now, self.refusing.get(_key(server), now))

    def wants_requests(self, server, now):
        """Say whether a server may be sent a request."""
        if self.is_leaving(server):
            return False
        return self.wanted_at_s(server, now) <= now

    def forget(self, servers, now):
        """Drop what no longer applies; ``servers`` are those known."""
        self.refusing = {k: s for k, s in self.refusing.items() if s > now}
        self.reported = {
            key: reported_s
            for key, reported_s in self.reported.items()
            if now - reported_s < REPORT_INTERVAL_S
        }
        surplus = len(self.leaving) - MAX_REMEMBERED
        if surplus > 0:
            known = {_key(server) for server in servers}
            unknown = [key for key in self.leaving if key not in known]
            for key in unknown[:surplus]:
                del self.leaving[key]


def _key(server):
    # The address is part of it: a response 421 comes from another server
    # than the entry names, and the entry may be corrected.
    return server.server_id, server.started_ms, server.address
