"""Calls at a node, and what their callers see of them."""

import attrs

from mangorock import attempts
from mangorock import claims
from mangorock import errors
from mangorock import relay
from mangorock import router
from tests import fakes


@attrs.define
class Attempt:
    """A request on one engine, as its node holds it."""

    node: object
    request: object
    engine: fakes.FakeEngine
    choice: object
    is_over: bool = False

    @property
    def call_id(self):
        """Return the id that the engine sees."""
        return self.request.call_id

    @property
    def check(self):
        """Return the answer so far."""
        return self.request.check

    def is_live(self):
        """Say whether the node still waits for it."""
        return not self.is_over and self.node.is_alive

    def deliver(self, data):
        """Bring bytes to the node, in order."""
        world = self.node.world
        if world.crossed:
            data = fakes.event_bytes(world.crossed.pop(), 2)
        world.clock.after(fakes.DELAY_S, self.node, lambda: self._take(data))

    def _take(self, data):
        if self.is_over:
            return
        try:
            self.request.relayed += self.check.feed(data)
        except relay.InvalidStream:
            self.break_off()
            return
        if self.check.is_complete:
            self._finish()
            self.request.complete()

    def break_off(self):
        """The stream broke: the node tries again elsewhere."""
        if not self.is_live():
            return
        node = self.node
        self._finish()
        self.request.attempts.end(self.engine.address, attempts.End.BROKEN)
        node.world.clock.after(fakes.DELAY_S, node, self.request.try_next)

    def _finish(self):
        self.is_over = True
        self.node.router.on_finished(self.choice, self.request.demand)


@attrs.define
class Request:
    """A completion at a node, from the caller's side."""

    node: object
    call_id: str
    demand: router.Demand
    attempts: attempts.Attempts
    check: relay.StreamValidator
    relayed: bytes = b''
    end: object = None

    def try_next(self):
        """Make the next attempt, or refuse."""
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
                raise self.attempts.error('no engine may take the request')
        except errors.MangorockError as exc:
            self.end = exc.run
            return
        self.check.discard_partial_event()
        node.router.on_sent(choice, self.demand, node.world.clock.now)
        fake = node.world.engines[choice.view.address]
        attempt = Attempt(node, self, fake, choice)
        # A process can be paused between its choice and its send.
        node.world.clock.after(0.001, node, lambda: self._send(attempt, fake))

    def _send(self, attempt, fake):
        attempt.node.world.rpc(
            attempt.node,
            'a',
            lambda: fake.take_request(attempt),
            lambda taken: self._on_taken(attempt, taken),
        )

    def _on_taken(self, attempt, taken):
        if attempt.is_over or taken is True:
            return
        if taken is fakes.NO_ANSWER:
            attempt.break_off()
            return
        attempt._finish()
        self.attempts.end(attempt.engine.address, attempts.End.REFUSED)
        self.try_next()

    def complete(self):
        """The caller has got everything; is it its own, and whole?"""
        self.end = 'whole'
        parts = [
            fakes.event_bytes(self.call_id, i) for i in range(fakes.TOKENS + 1)
        ]
        if self.relayed != b''.join(parts):
            raise fakes.Violation(f'the answer is not whole: {self.relayed}')


@attrs.define
class Order:
    """A non-repeatable call of a service at a node."""

    node: object
    call_id: str
    key: str
    attempts: attempts.Attempts
    claim: claims.Entry | None = None
    end: object = None

    def start(self):
        """Claim the key, or send at once when there is none."""
        if not self.key:
            self.send()
            return
        now = self.node.world.clock.now
        key = claims.claim_key('account', 'route', self.key)
        self.claim = claims.Entry(key, self.call_id, claims.Kind.CLAIMED, now)
        self.node.submit(self.claim, self._on_claimed)

    def _on_claimed(self, reply):
        if reply.outcome is claims.Outcome.ACCEPTED:
            self.send()
        elif reply.outcome is claims.Outcome.FOUND:
            done = reply.found.kind is claims.Kind.DONE
            self.refuse(errors.Run.UNKNOWN, 'replayed' if done else None)
        else:
            self.refuse(errors.Run.NOT_RUN)

    def send(self):
        """Send to the service, once a try is allowed."""
        try:
            self.attempts.begin()
        except errors.MangorockError as exc:
            self.refuse(exc.run)
            return
        world = self.node.world
        if world.service_unreachable > 0:
            world.service_unreachable -= 1
            self.attempts.end('service', attempts.End.UNREACHABLE)
            self.send()
            return
        world.rpc(self.node, 'a', self._arrive, self._on_answer)

    def _arrive(self):
        self.node.world.take_effect(self)
        return True

    def _on_answer(self, answer):
        if answer is fakes.NO_ANSWER:
            self.attempts.end('service', attempts.End.BROKEN)
            self.send()
            return
        self.end = 'whole'
        if self.claim is not None:
            self._record(claims.Kind.DONE)

    def refuse(self, run, end=None):
        """Tell the caller, and give the key back when nothing has run."""
        self.end = end or run
        if run is errors.Run.NOT_RUN:
            self.node.world.refused_as_not_run(self)
            if self.claim is not None and self.attempts.count:
                self._record(claims.Kind.RELEASED)

    def _record(self, kind):
        entry = attrs.evolve(self.claim, kind=kind)
        self.node.submit(entry, lambda reply: None)
