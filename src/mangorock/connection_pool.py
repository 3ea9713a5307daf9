"""The idle connections to servers, and which of them a request may use.

An answer bears the id of its request.  A server may write an answer too many,
which arrives where the next one is due; the id tells, unless the same request
is under way there again.  So a connection carries each request id once, and
calls without an id use connections of their own.

`ConnectionPool` is a state machine without sockets.

Example::

    pool = ConnectionPool()
    pool.put('10.1.0.5:80', connection, now)
    pool.take('10.1.0.5:80', 'r1', now)     # not if it carried r1 before
"""

import collections

import attrs

MAX_IDLE_PER_ADDRESS = 64
# A connection is closed after so many requests, which bounds the ids that are
# kept for it.
MAX_REQUESTS = 500


@attrs.define(eq=False)
class Connection:
    """A connection to a server; ``conn`` is its `h11.Connection`.

    ``carried`` has the hashes of the ids of the requests that were sent on
    it.  ``idle_since_s`` and ``expires_s`` are set while it is idle.
    """

    sock: object
    conn: object
    has_ids: bool = False
    carried: set = attrs.field(factory=set)
    idle_since_s: float = 0.0
    expires_s: float = 0.0

    @property
    def is_used_up(self):
        """Say whether no further request may be sent on it."""
        return len(self.carried) >= MAX_REQUESTS

    def may_carry(self, request_id):
        """Say whether no request with this id was sent on it."""
        return hash(request_id) not in self.carried

    def on_send(self, request_id):
        """Record a request, '' for a call without an id."""
        if request_id:
            self.has_ids = True
            self.carried.add(hash(request_id))


@attrs.define
class ConnectionPool:
    """The idle connections, by address and by whether they carried ids."""

    idle: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def put(self, address, connection, now, idle_timeout_s):
        """Keep a connection; return whether there is room for it."""
        found = self.idle[address, connection.has_ids]
        is_full = len(found) >= MAX_IDLE_PER_ADDRESS
        if is_full or connection.is_used_up:
            return False
        connection.idle_since_s = now
        connection.expires_s = now + idle_timeout_s
        found.append(connection)
        return True

    def take(self, address, request_id, now, max_idle_s=None):
        """Remove and return the connection that was used last.

        Those that carried the request are left out.  Returns None if there
        is no other, or none that was used within ``max_idle_s``.
        """
        found = self.idle.get((address, bool(request_id)), ())
        for index in reversed(range(len(found))):
            connection = found[index]
            if (
                max_idle_s is not None
                and now - connection.idle_since_s > max_idle_s
            ):
                return None
            if connection.may_carry(request_id):
                del found[index]
                return connection
        return None

    def take_oldest(self):
        """Remove and return the connection that is idle longest, or None."""
        filled = [found for found in self.idle.values() if found]
        if not filled:
            return None
        return min(filled, key=lambda f: f[0].idle_since_s).popleft()

    def take_expired(self, now):
        """Remove and return the connections past their idle timeout."""
        expired = []
        for key, found in list(self.idle.items()):
            while found and found[0].expires_s <= now:
                expired.append(found.popleft())
            if not found:
                del self.idle[key]
        return expired

    def take_all(self):
        """Remove and return all connections."""
        taken = [c for found in self.idle.values() for c in found]
        self.idle.clear()
        return taken
