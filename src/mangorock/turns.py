"""Shares the event loop among connections whose peers never pause.

A read that finds bytes does not wait, so a task that parses what a peer sends
without pause would let no other task run, and no timeout expire.  Each
connection therefore counts the protocol events that it processes, and lets
others run after `EVENTS_PER_TURN` of them.

Bytes in tiny pieces cost far more time than their number suggests.  A
connection has a credit of events, which grows with time and with the bytes
received; one that has used it up pauses after each turn, the longer the more
such connections there are.  So they take a bounded part of the time together.

Example::

    turn = turns.Turn(shared)
    while True:
        if turn.is_over:
            await turn.end()
        event = conn.next_event()
        turn.count()
        turn.add_credit(len(event.data))
"""

import time

import attrs
import curio

# Protocol events of one connection between two of its pauses.
EVENTS_PER_TURN = 32
# The credit of a connection, in events, and how it grows.
MAX_CREDIT_EVENTS = 1024
CREDIT_EVENTS_PER_S = 1000
BYTES_PER_EVENT = 256
# Pause of a connection without credit, for each of them.
PAUSE_S = 0.001


@attrs.define
class Turns:
    """Counts the connections of a process that pause for lack of credit."""

    pausing: int = 0


@attrs.define
class Turn:
    """The turns of one connection.

    ``shared`` is the same for all connections of a process.
    """

    shared: Turns
    event_count: int = 0
    credit: float = MAX_CREDIT_EVENTS
    credited_s: float = attrs.field(factory=time.monotonic)

    def count(self):
        """Count a protocol event."""
        self.event_count += 1
        self.credit -= 1.0

    def add_credit(self, received_bytes):
        """Let the bytes that an event brought pay for others."""
        self.credit += received_bytes / BYTES_PER_EVENT

    @property
    def is_over(self):
        """Say whether others have to run before the next event."""
        return self.event_count >= EVENTS_PER_TURN

    async def end(self):
        """Let others run, and pause if the credit is used up."""
        now = time.monotonic()
        self.event_count = 0
        grown = self.credit + (now - self.credited_s) * CREDIT_EVENTS_PER_S
        self.credit = min(MAX_CREDIT_EVENTS, grown)
        self.credited_s = now
        if self.credit > 0.0:
            await curio.sleep(0)
            return
        # A deficit is not carried over: the pause has paid for it.
        self.credit = 0.0
        self.shared.pausing += 1
        try:
            await curio.sleep(PAUSE_S * self.shared.pausing)
        finally:
            self.shared.pausing -= 1
