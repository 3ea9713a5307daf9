"""Divides the sockets of a process between callers and everything else.

Load pattern: more connections of callers than the process has descriptors,
idle ones, or ones that never complete a request.  A part is reserved for
servers, the store, other VMs and probes.  Callers have the rest: beyond it the
connections that are idle are closed first, then those that have not completed
a request for longest.
"""

import attrs

# Part of all sockets that is reserved.
RESERVED_PART = 0.3
# Listening sockets, epoll, wake-ups, datagrams, probes and scrapes.
FIXED_SOCKETS = 64
MIN_CALLER_SOCKETS = 8
# Closed at once beyond the limit, as a part of it, so that the search for
# them is not repeated for each connection.
CLOSED_PART = 1 / 32


@attrs.frozen
class Peer:
    """A caller's connection.

    ``waits_since_s`` is when it was accepted or last completed a request.
    ``is_idle`` is not set for one that was only just accepted.  ``is_served``
    says that a request is open, which may have run.
    """

    connection: object
    is_idle: bool
    is_served: bool
    waits_since_s: float


@attrs.frozen
class SocketShares:
    """The sockets of a process, of which there may be ``max_sockets``."""

    max_sockets: int

    @property
    def max_reserved(self):
        """Return how many connections to servers and others are reserved."""
        return int(RESERVED_PART * self.max_sockets)

    def max_callers(self, other_sockets):
        """Return how many connections callers may have.

        ``other_sockets`` are open to servers and others; where they exceed
        the reserve, callers have fewer.
        """
        reserved = max(self.max_reserved, other_sockets + FIXED_SOCKETS)
        return max(MIN_CALLER_SOCKETS, self.max_sockets - reserved)


def choose_closed(peers, limit):
    """Return the connections of ``peers`` to close, in this order.

    Those whose request is open are never among them.
    """
    excess = len(peers) - limit
    if excess <= 0:
        return []
    closable = [peer for peer in peers if not peer.is_served]
    closable.sort(key=lambda peer: peer.waits_since_s)
    idle = [peer for peer in closable if peer.is_idle]
    others = [peer for peer in closable if not peer.is_idle]
    idle = idle[: max(excess, int(CLOSED_PART * limit))]
    chosen = idle + others[: max(0, excess - len(idle))]
    return [peer.connection for peer in chosen]
