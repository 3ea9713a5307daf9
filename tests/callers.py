"""Completions and service calls at a fuzzed node, as callers see them."""

import attrs

from mangorock import attempts
from mangorock import claims
from mangorock import errors
from mangorock import relay
from mangorock import router
from tests import fakes


@attrs.define
class Attempt:
    """A node's attempt to run a completion on one engine."""

    node: object
    request: object
    engine: fakes.FakeEngine
    choice: object
    is_finished: bool = False

    @property
    def call_id(self):
        """Return the call id that the engine receives."""
        return self.request.call_id

    @property
    def validator(self):
        """Return the stream validator that the request's attempts share."""
        return self.request.validator

    def is_live(self):
        """Return whether the node still waits for the response."""
        return not self.is_finished and self.node.is_alive

    def deliver(self, data):
        """Deliver bytes to the node after the message delay.

        An injected misdelivery replaces them by another call's event.
        """
        world = self.node.world
        if world.misdelivered_ids:
            data = fakes.event_bytes(world.misdelivered_ids.pop(), 2)
        world.clock.call_later(
            fakes.MESSAGE_DELAY_S, self.node, lambda: self._on_data(data)
        )

    def _on_data(self, data):
        if self.is_finished:
            return
        try:
            self.request.relayed += self.validator.feed(data)
        except relay.InvalidStream:
            self.fail()
            return
        if self.validator.is_complete:
            self._finish()
            self.request.on_complete()

    def fail(self):
        """End the attempt as broken and let the node retry elsewhere."""
        if not self.is_live():
            return
        node = self.node
        self._finish()
        self.request.attempts.end(self.engine.address, attempts.End.BROKEN)
        node.world.clock.call_later(
            fakes.MESSAGE_DELAY_S, node, self.request.try_next
        )

    def _finish(self):
        self.is_finished = True
        self.node.router.on_finished(self.choice, self.request.demand)


@attrs.define
class CompletionRequest:
    """A completion request at a node and the bytes relayed to its caller."""

    node: object
    call_id: str
    demand: router.Demand
    attempts: attempts.Attempts
    validator: relay.StreamValidator
    relayed: bytes = b''
    outcome: object = None

    def try_next(self):
        """Start the next attempt, or refuse the request."""
        node = self.node
        try:
            self.attempts.begin()
            choice = None
            if node.is_joined:
                choice = node.router.choose(
                    'pool',
                    'finish_time',
                    self.demand,
                    node.world.clock.now,
                    self.attempts.excluded,
                )
            if choice is None:
                raise self.attempts.error('no engine can accept the request')
        except errors.MangorockError as exc:
            self.outcome = exc.run
            return
        self.validator.discard_partial_event()
        node.router.on_sent(choice, self.demand, node.world.clock.now)
        fake_engine = node.world.engines[choice.view.address]
        attempt = Attempt(node, self, fake_engine, choice)
        # The delay lets a process be paused between choosing and sending.
        node.world.clock.call_later(
            0.001, node, lambda: self._send(attempt, fake_engine)
        )

    def _send(self, attempt, fake_engine):
        attempt.node.world.rpc(
            attempt.node,
            'a',
            lambda: fake_engine.accept_request(attempt),
            lambda is_accepted: self._on_accepted(attempt, is_accepted),
        )

    def _on_accepted(self, attempt, is_accepted):
        if attempt.is_finished or is_accepted is True:
            return
        if is_accepted is fakes.NO_RESPONSE:
            attempt.fail()
            return
        attempt._finish()
        self.attempts.end(attempt.engine.address, attempts.End.REFUSED)
        self.try_next()

    def on_complete(self):
        """Check that the caller received its own complete response."""
        self.outcome = 'whole'
        parts = [
            fakes.event_bytes(self.call_id, i)
            for i in range(fakes.OUTPUT_TOKENS + 1)
        ]
        if self.relayed != b''.join(parts):
            raise fakes.Violation(f'the response is not whole: {self.relayed}')


@attrs.define
class ServiceCall:
    """A non-repeatable service call at a node."""

    node: object
    call_id: str
    key: str
    attempts: attempts.Attempts
    claim: claims.Entry | None = None
    outcome: object = None

    def start(self):
        """Claim the idempotency key, or send at once without a key."""
        if not self.key:
            self.send()
            return
        now = self.node.world.clock.now
        key = claims.claim_key('account', 'route', self.key)
        self.claim = claims.Entry(key, self.call_id, claims.Kind.CLAIMED, now)
        self.node.submit_claim(self.claim, self._on_claimed)

    def _on_claimed(self, reply):
        if reply.outcome is claims.Outcome.ACCEPTED:
            self.send()
        elif reply.outcome is claims.Outcome.FOUND:
            is_done = reply.found.kind is claims.Kind.DONE
            self.refuse(errors.Run.UNKNOWN, 'replayed' if is_done else None)
        else:
            self.refuse(errors.Run.NOT_RUN)

    def send(self):
        """Send to the service if another attempt is allowed."""
        try:
            self.attempts.begin()
        except errors.MangorockError as exc:
            self.refuse(exc.run)
            return
        world = self.node.world
        if world.unreachable_sends > 0:
            world.unreachable_sends -= 1
            self.attempts.end('service', attempts.End.UNREACHABLE)
            self.send()
            return
        world.rpc(self.node, 'a', self._execute, self._on_answer)

    def _execute(self):
        self.node.world.record_effect(self)
        return True

    def _on_answer(self, answer):
        if answer is fakes.NO_RESPONSE:
            self.attempts.end('service', attempts.End.BROKEN)
            self.send()
            return
        self.outcome = 'whole'
        if self.claim is not None:
            self._record(claims.Kind.DONE)

    def refuse(self, run, outcome=None):
        """Refuse the call, and release its key if the call has not run."""
        self.outcome = outcome or run
        if run is errors.Run.NOT_RUN:
            self.node.world.record_not_run(self)
            if self.claim is not None and self.attempts.count:
                self._record(claims.Kind.RELEASED)

    def _record(self, kind):
        entry = attrs.evolve(self.claim, kind=kind)
        self.node.submit_claim(entry, lambda reply: None)
