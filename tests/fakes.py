"""Simulated clock and fake engines for fuzzing, with the oracle's checks.

The oracle checks only what engines, services, callers and operators can
observe.
"""

import heapq

import attrs

from mangorock import engine
from mangorock import ownership
from mangorock_standins import engine as engine_standin


TICK_S = 1.0
MESSAGE_DELAY_S = 0.01
CALL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
VM_LIST_LAG_S = 6.0
ROLE_CHANGE_S = 3.0
LEASE_S = 6.0
OUTPUT_TOKENS = 6
TOKEN_INTERVAL_S = 0.3
NO_RESPONSE = object()


class Violation(AssertionError):
    """The oracle observed a violated guarantee."""


class Clock:
    """Simulated time with a queue of scheduled functions."""

    def __init__(self):
        self.now = 1000.0
        self.queue = []
        self.sequence = 0

    def call_later(self, delay_s, node, function):
        """Schedule ``function`` after ``delay_s`` seconds.

        With a node, it is deferred while the node is paused and dropped once
        the node is dead.
        """
        self.sequence += 1
        entry = (self.now + delay_s, self.sequence, node, function)
        heapq.heappush(self.queue, entry)

    def advance(self, seconds):
        """Advance the time and run every function that falls due."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            due_s, _, node, function = heapq.heappop(self.queue)
            self.now = max(self.now, due_s)
            if node is None:
                function()
            elif node.is_paused:
                node.backlog.append(function)
            elif node.is_alive:
                function()
        self.now = end


@attrs.define
class FakeEngine:
    """An engine that drops its running requests when it changes its role."""

    world: object
    address: str
    checks_fencing: bool
    role: str = 'mixed'
    is_changing: bool = False
    order_id: str = ''
    token: int = 0
    last_acted_token: int = 0
    running: dict = attrs.field(factory=dict)
    crashes_in_role_change: bool = False
    role_change_count: int = 0

    def state(self):
        """Return the current state."""
        count = len(self.running)
        return engine.State(
            self.role, self.is_changing, count, self.order_id, self.token
        )

    def is_stale(self, order):
        """Return whether the order's fencing token is stale."""
        return order.token < self.token

    def handle_order(self, order):
        """Apply an order; raise `Violation` if it must never take effect."""
        if self.checks_fencing and self.is_stale(order):
            return ownership.Outcome.REFUSED
        if order.token < self.last_acted_token:
            raise Violation(f'an order of a lapsed owner took effect: {order}')
        if order.kind == 'fence':
            if self.is_changing:
                return ownership.Outcome.REFUSED
            self.token = self.last_acted_token = order.token
            return ownership.Outcome.TAKEN
        if self.is_changing:
            raise Violation(f'conflicting orders: {order}')
        for attempt in self.running.values():
            if attempt.is_live():
                raise Violation(
                    f'a request was cut by a planned change: {order}'
                )
        self.token = self.last_acted_token = order.token
        self.order_id = order.order_id
        self.is_changing = True
        self.world.clock.call_later(
            ROLE_CHANGE_S, None, lambda: self._finish_role_change(order)
        )
        return ownership.Outcome.TAKEN

    def _finish_role_change(self, order):
        self.is_changing = False
        self.role_change_count += 1
        if self.crashes_in_role_change:
            self.crashes_in_role_change = False
            return
        self.role = order.value

    def accept_request(self, attempt):
        """Start a request, or refuse it before doing any work."""
        if self.is_changing or self.role != 'mixed':
            return False
        self.running[attempt.call_id] = attempt
        self._send_token(attempt, attempt.validator.next_index)
        return True

    def _send_token(self, attempt, index):
        """Send the token at ``index`` and schedule the next one."""
        if not attempt.is_live():
            self.running.pop(attempt.call_id, None)
            return
        data = event_bytes(attempt.call_id, index)
        if index < OUTPUT_TOKENS:
            attempt.deliver(data)
            self.world.clock.call_later(
                TOKEN_INTERVAL_S,
                None,
                lambda: self._send_token(attempt, index + 1),
            )
            return
        self.running.pop(attempt.call_id, None)
        attempt.deliver(data)

    def crash(self):
        """Drop every running request."""
        for attempt in list(self.running.values()):
            attempt.fail()
        self.running.clear()


def event_bytes(call_id, index):
    """Return the event of the token at ``index``, or the final events."""
    if index < OUTPUT_TOKENS:
        word = engine_standin.token_text(call_id, index)
        return (
            f'data: {{"id":"{call_id}","n":{index},"choices":[{{"delta":'
            f'{{"content":"{word}"}},"finish_reason":null}}]}}\n\n'
        ).encode()
    job = engine.Job(call_id, '', OUTPUT_TOKENS)
    stream = engine_standin.Stream(job, 1, 1, index, index)
    return engine_standin.final_event(stream).encode()
