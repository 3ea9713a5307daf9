"""Who goes first when every suitable server is full.

Answers a burst: more requests than places arrive within a fraction of a
second.  They wait in one line for each service, the most urgent first and
the oldest first among equals; the line is bounded, and whoever can no
longer be in time leaves it at once.
"""

import attrs
import curio


@attrs.define(eq=False)
class Ticket:
    """A place in the line; ``turn`` is set when it may try again."""

    priority: int
    since_s: float
    until_s: float
    turn: curio.Event = attrs.field(factory=curio.Event)

    @property
    def rank(self):
        """Return what orders the line."""
        return self.priority, self.since_s


@attrs.define
class Line:
    """The tickets of one service."""

    max_tickets: int
    tickets: list = attrs.field(factory=list)

    def join(self, priority, now, until_s):
        """Return a `Ticket`, or None when the line is full."""
        if len(self.tickets) >= self.max_tickets:
            return None
        ticket = Ticket(priority, now, until_s)
        self.tickets.append(ticket)
        return ticket

    def leave(self, ticket):
        """Give up a place."""
        self.tickets.remove(ticket)

    def is_first(self, priority, ticket=None):
        """Say whether nobody more urgent waits before this request."""
        if ticket is None:
            return all(t.priority > priority for t in self.tickets)
        return all(t is ticket or t.rank > ticket.rank for t in self.tickets)

    def first(self):
        """Return the first ticket, or None."""
        return min(self.tickets, key=lambda t: t.rank, default=None)
