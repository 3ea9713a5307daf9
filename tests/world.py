"""A small world for fuzzing: several nodes, and fakes at their interfaces.

Nodes run the same state machines as the daemon.  Time, messages, the
platform, engines, services and callers are fakes in one process, so every
run gives the same result.  The oracle is in the fakes: it sees only what
engines, services, callers and operators see.
"""

import collections
import functools
import heapq
import random

import attrs
import orjson

from mangorock import attempts
from mangorock import claims
from mangorock import engine
from mangorock import errors
from mangorock import limits
from mangorock import membership
from mangorock import owner
from mangorock import relay
from mangorock import router
from mangorock import routers
from mangorock import tables
from mangorock_standins import engine as engine_standin
from mangorock_standins import platform as platform_standin

TICK_S = 1.0
DELAY_S = 0.01
CALL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
LIST_LAG_S = 6.0
CHANGE_S = 3.0
LEASE_S = 6.0
TOKENS = 6
TOKEN_EVERY_S = 0.3
NO_ANSWER = object()


class Violation(AssertionError):
    """The oracle saw a promise broken."""


class Clock:
    """Simulated time and what is due."""

    def __init__(self):
        self.now = 1000.0
        self.heap = []
        self.count = 0

    def after(self, delay_s, node, function):
        """Run ``function`` later; for a node only while it runs."""
        self.count += 1
        due = (self.now + delay_s, self.count, node, function)
        heapq.heappush(self.heap, due)

    def advance(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            at, _, node, function = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            if node is None:
                function()
            elif node.is_paused:
                node.backlog.append(function)
            elif node.is_alive:
                function()
        self.now = end


@attrs.define
class FakeEngine:
    """An engine that cuts what it runs when it changes its role."""

    world: object
    address: str
    checks: bool
    role: str = 'mixed'
    is_changing: bool = False
    order_id: str = ''
    token: int = 0
    acted: int = 0
    running: dict = attrs.field(factory=dict)
    crashes_in_change: bool = False
    changes: int = 0

    def state(self):
        """Return the true state."""
        count = len(self.running)
        return engine.State(
            self.role, self.is_changing, count, self.order_id, self.token
        )

    def is_old(self, order):
        """Say whether the order's token is an old one."""
        return order.token < self.token

    def take_order(self, order):
        """Take an order; raise `Violation` on what must never come."""
        if self.checks and self.is_old(order):
            return owner.Outcome.REFUSED
        if order.token < self.acted:
            raise Violation(f'order of a lapsed owner took effect: {order}')
        if order.kind == 'fence':
            if self.is_changing:
                return owner.Outcome.REFUSED
            self.token = self.acted = order.token
            return owner.Outcome.TAKEN
        if self.is_changing:
            raise Violation(f'conflicting orders: {order}')
        for attempt in self.running.values():
            if attempt.is_live():
                raise Violation(f'request cut by a planned change: {order}')
        self.token = self.acted = order.token
        self.order_id = order.order_id
        self.is_changing = True
        self.world.clock.after(CHANGE_S, None, lambda: self._end(order))
        return owner.Outcome.TAKEN

    def _end(self, order):
        self.is_changing = False
        self.changes += 1
        if self.crashes_in_change:
            self.crashes_in_change = False
            return
        self.role = order.value

    def take_request(self, attempt):
        """Start a request, or refuse it before any work."""
        if self.is_changing or self.role != 'mixed':
            return False
        self.running[attempt.call_id] = attempt
        self._step(attempt, attempt.check.next_index)
        return True

    def _step(self, attempt, index):
        """Send the token at ``index`` and then the next."""
        if not attempt.is_live():
            self.running.pop(attempt.call_id, None)
            return
        data = event_bytes(attempt.call_id, index)
        if index < TOKENS:
            attempt.deliver(data)
            self.world.clock.after(
                TOKEN_EVERY_S, None, lambda: self._step(attempt, index + 1)
            )
            return
        self.running.pop(attempt.call_id, None)
        attempt.deliver(data)

    def crash(self):
        """Lose everything that runs."""
        for attempt in list(self.running.values()):
            attempt.break_off()
        self.running.clear()


def event_bytes(call_id, index):
    """Return the stream's event for a token, or the final ones."""
    if index < TOKENS:
        word = engine_standin.token_text(call_id, index)
        return (
            f'data: {{"id":"{call_id}","n":{index},"choices":[{{"delta":'
            f'{{"content":"{word}"}},"finish_reason":null}}]}}\n\n'
        ).encode()
    job = engine.Job(call_id, '', TOKENS)
    stream = engine_standin.Stream(job, 1, 1, index, index)
    return engine_standin.final_event(stream).encode()


@attrs.define
class Attempt:
    """A request on one engine, as its node holds it."""

    node: object
    request: object
    engine: FakeEngine
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
            data = event_bytes(world.crossed.pop(), 2)
        world.clock.after(DELAY_S, self.node, lambda: self._take(data))

    def _take(self, data):
        if self.is_over:
            return
        try:
            self.request.relayed += self.check.feed(data)
        except relay.StreamFault:
            self.break_off()
            return
        if self.check.is_whole:
            self._finish()
            self.request.complete()

    def break_off(self):
        """The stream broke: the node tries again elsewhere."""
        if not self.is_live():
            return
        node = self.node
        self._finish()
        self.request.attempts.end(self.engine.address, attempts.End.BROKEN)
        node.world.clock.after(DELAY_S, node, self.request.try_next)

    def _finish(self):
        self.is_over = True
        self.node.router.finished(self.choice, self.request.demand)


@attrs.define
class Request:
    """A completion at a node, from the caller's side."""

    node: object
    call_id: str
    demand: router.Demand
    attempts: attempts.Attempts
    check: relay.StreamCheck
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
        self.check.restart()
        node.router.sent(choice, self.demand, node.world.clock.now)
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
        if taken is NO_ANSWER:
            attempt.break_off()
            return
        attempt._finish()
        self.attempts.end(attempt.engine.address, attempts.End.REFUSED)
        self.try_next()

    def complete(self):
        """The caller has got everything; is it its own, and whole?"""
        self.end = 'whole'
        parts = [event_bytes(self.call_id, i) for i in range(TOKENS + 1)]
        if self.relayed != b''.join(parts):
            raise Violation(f'the answer is not whole: {self.relayed}')


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
        key = claims.key_of('account', 'route', self.key)
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
        if answer is NO_ANSWER:
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


class Node:
    """One daemon process: the state machines and the glue."""

    def __init__(self, world, vm, domain, number):
        self.world = world
        self.vm = vm
        self.domain = domain
        self.is_alive = True
        self.is_paused = False
        self.is_stopping = False
        self.backlog = []
        rng = random.Random(number)
        me = membership.Member(vm, domain, vm, vm)
        self.membership = membership.Membership(me, rng)
        self.router = router.Router(domain, rng)
        self.router_set = routers.RouterSet()
        self.owner = owner.Owner(vm, f'i{number}')
        self.keeper = tables.Keeper()
        self.shard = claims.Shard()
        self.callbacks = {}
        self.is_joined = False
        self.answered = set()
        self.listed = set()
        self.lease = ''
        self.requests = []
        self.orders = []
        self.ticks = 0
        world.clock.after(0.1 * (number % 5), self, self.tick)

    @property
    def tables(self):
        """Return the revision in force here."""
        return self.keeper.current

    # Time.

    def tick(self):
        """Do what is due, and tick again."""
        now = self.world.clock.now
        self.ticks += 1
        self.world.clock.after(TICK_S, self, self.tick)
        for peer in self.world.nodes.values():
            if peer.vm != self.vm and peer.vm in self.listed:
                if peer.vm not in self.membership.members:
                    message = self.membership.message(now, True, True)
                    self.probe(peer.vm, message)
        for member, message in self.membership.tick(now):
            self.probe(member.vm, message)
        if self.ticks % 2 == 1:
            self.read_vms()
            self.keep_lease()
            self.watch()
        if not self.is_joined:
            self.join()
        self.update(now)
        self.feed(owner.Tick(self.is_wanted()))
        if self.is_stopping:
            self.end_when_idle()

    def stop(self):
        """Take SIGTERM: no new calls, then release, then end."""
        self.is_stopping = True
        self.feed(owner.Release())

    def end_when_idle(self):
        """End the process once nothing is in flight and no duty held."""
        idle = (owner.Phase.FREE, owner.Phase.ENDED)
        if self.is_busy() or self.owner.phase not in idle:
            return
        self.membership.leave()
        message = self.membership.message(self.world.clock.now, False, True)
        for vm in list(self.membership.members):
            self.probe(vm, message)
        self.world.end_gracefully(self)

    def update(self, now):
        """Bring the machines' inputs up to date."""
        self.router_set.join(self.vm)
        for member in self.membership.members.values():
            if member.failure_domain != self.domain:
                continue
            if member.state is membership.State.LEAVING:
                self.router_set.leave(member.vm)
            elif member.state is not membership.State.DEAD:
                self.router_set.join(member.vm)
        for vm in self.listed:
            if vm[0] == self.domain:
                self.router_set.join(vm)
        if self.listed:
            self.router_set.take_list(self.listed, now)
            self.owner.take_vms(self.listed, now)
        self.owner.routers = self.router_set.current()
        if self.tables.revision and self.domain == 'a':
            self.owner.engines = {
                e.address: e.checks for e in self.world.engines.values()
            }

    def is_wanted(self):
        """Say whether this node is the first choice as owner."""
        vms = [m.vm for m in self.membership.alive(self.domain)]
        first = membership.rank('owner', vms)[0]
        return first == self.vm and self.is_joined and self.domain == 'a'

    # Membership and tables.

    def probe(self, vm, message):
        """Probe another node."""
        now = self.world.clock.now

        def on_reply(answer):
            when = self.world.clock.now
            if answer is NO_ANSWER:
                self.membership.take_silence(vm, when)
                return
            follow_up = self.membership.take_answer(answer, when)
            if follow_up is not None:
                self.probe(vm, follow_up)
            if answer.revision > self.tables.revision:
                self.fetch(vm)

        del now
        self.world.call_node(
            self,
            vm,
            lambda peer: peer.membership.take_probe(
                message, self.world.clock.now
            ),
            on_reply,
        )

    def fetch(self, vm, from_zero=False):
        """Ask a node for its newer tables, as a delta where it can."""
        mine = 0 if from_zero else self.tables.revision

        def on_reply(answer):
            if answer is NO_ANSWER or answer is None:
                return
            if isinstance(answer, tables.Delta):
                try:
                    self.take_tables(tables.apply_delta(self.tables, answer))
                except errors.Conflict:
                    self.fetch(vm, True)
                return
            self.take_tables(answer)

        self.world.call_node(
            self, vm, lambda peer: peer.keeper.answer(mine), on_reply
        )

    def take_tables(self, newer):
        """Take newer tables, as the daemon's environment does."""
        before = self.tables.revision
        if not self.keeper.take(newer):
            return
        if newer.revision < before:
            raise Violation(f'{self.vm} reverted from {before}')
        self.membership.revision = newer.revision
        self.router.take_tables(newer)

    def watch(self):
        """Read the tables from the platform."""

        def on_reply(found):
            if found is not NO_ANSWER and found[0] == 200:
                self.take_tables(self.world.parse(found[1]['value']))

        self.world.call_kv(self, lambda kv: kv.get(tables.KEY), on_reply)

    def read_vms(self):
        """Read the platform's VM list."""

        def on_reply(vms):
            if vms is not NO_ANSWER:
                self.listed = set(vms)

        self.world.call_kv(self, lambda kv: list(kv.vms), on_reply)

    def join(self):
        """Be counted as a router by all others of the domain."""
        waiting = [
            m.vm
            for m in self.membership.members.values()
            if m.failure_domain == self.domain
            and m.vm not in self.answered
            and m.state is not membership.State.LEAVING
            and not (
                m.state is membership.State.DEAD and m.vm not in self.listed
            )
        ]
        if not waiting and self.ticks > 4:
            self.is_joined = True
        for vm in waiting:
            self.ask_join(vm)

    def ask_join(self, vm):
        """Ask one node, and learn what is drained."""

        def deliver(peer):
            peer.router_set.join(self.vm)
            return dict(peer.router.drained)

        def on_reply(drained):
            if drained is NO_ANSWER:
                self.membership.take_silence(vm, self.world.clock.now)
                return
            for address, mark in drained.items():
                self.router.drain(address, mark)
            self.answered.add(vm)

        self.world.call_node(self, vm, deliver, on_reply)

    # The owner.

    def feed(self, event):
        """Give the owner an event and run its actions."""
        for action in self.owner.handle(event, self.world.clock.now):
            self.world.clock.after(
                0.001, self, lambda action=action: self.run(action)
            )

    def run(self, action):
        """Carry out one action, as the daemon's duty task does."""
        match action:
            case owner.ReadRecord():
                self.world.call_kv(self, self.read_record, self.on_record)
            case owner.SwapRecord():
                self.world.call_kv(
                    self,
                    lambda kv: kv.swap(
                        'owner', action.record.to_text(), action.expected
                    ),
                    self.on_swapped,
                )
            case owner.AskDrain():
                self.ask_drain(action)
            case owner.ReadState():
                asked_s = self.world.clock.now
                fake = self.world.engines[action.engine]
                self.world.rpc(
                    self,
                    'a',
                    fake.state,
                    lambda s: self.feed(
                        owner.StateRead(
                            action.engine,
                            None if s is NO_ANSWER else s,
                            asked_s,
                        )
                    ),
                )
            case owner.SendOrder():
                self.send_order(action)

    @staticmethod
    def read_record(kv):
        """Return what the daemon reads of the ownership record."""
        status, found = kv.get('owner')
        if status != 200:
            return owner.RecordRead(None, 0)
        record = owner.record_from_text(found['value'])
        alive = kv.get(f'alive/{record.lease}')[0] == 200
        return owner.RecordRead(record, found['version'], alive)

    def on_record(self, event):
        """Take the record as read."""
        if event is NO_ANSWER:
            event = owner.RecordUnknown()
        self.feed(event)

    def on_swapped(self, answer):
        """Take the outcome of a write of the record."""
        if answer is NO_ANSWER:
            self.feed(owner.RecordUnknown())
        elif answer[0]:
            self.feed(owner.RecordSwapped(answer[1]))
        else:
            self.feed(owner.RecordRefused())

    def ask_drain(self, action):
        """Ask a router to drain an engine, or to let it in again."""

        def deliver(peer):
            if action.is_undrain:
                return peer.router.undrain(action.engine, action.mark), 0
            count = peer.router.drain(action.engine, action.mark)
            return count is not None, count

        def on_reply(answer):
            if answer is not NO_ANSWER:
                self.feed(
                    owner.DrainAnswered(
                        action.engine,
                        action.vm,
                        action.mark,
                        *answer,
                        action.is_undrain,
                    )
                )

        if action.vm == self.vm:
            on_reply(deliver(self))
            return
        self.world.call_node(self, action.vm, deliver, on_reply)

    def send_order(self, action):
        """Send an order once; it may arrive long after it was given up."""
        if self.world.pauses_before_order:
            self.world.pauses_before_order = False
            self.is_paused = True
            self.backlog.append(lambda: self.send_order(action))
            return
        fake = self.world.engines[action.engine]
        self.world.rpc(
            self,
            'a',
            lambda: fake.take_order(action.order),
            lambda outcome: self.feed(
                owner.OrderAnswered(
                    action.engine,
                    owner.Outcome.UNKNOWN if outcome is NO_ANSWER else outcome,
                )
            ),
            ORDER_TIMEOUT_S,
            self.world.take_order_delay(),
        )

    def keep_lease(self):
        """Keep a lease alive, or get a new one."""

        def deliver(kv):
            now = self.world.clock.now
            if self.lease and kv.keep(self.lease, now):
                return self.lease
            lease = kv.grant(LEASE_S, now)
            kv.swap(f'alive/{lease}', '', 0, lease)
            return lease

        def on_reply(lease):
            if lease is not NO_ANSWER and lease != self.lease:
                self.lease = lease
                self.feed(owner.LeaseLost(lease))

        self.world.call_kv(self, deliver, on_reply)

    # Claims.

    def submit(self, entry, on_reply):
        """Append an entry to the claim log."""
        ticket = object()
        self.callbacks[ticket] = on_reply
        self.feed_claims(claims.Submit(ticket, entry))

    def feed_claims(self, event):
        """Give the shard an event and run its actions."""
        for action in self.shard.handle(event, self.world.clock.now):
            match action:
                case claims.Reply():
                    self.callbacks.pop(action.ticket)(action)
                case claims.Load():
                    self.load_claims(action)
                case claims.Write():
                    self.write_claims(action)

    def load_claims(self, action):
        """Read the shard's slots; a prefix read stands for each kind."""
        del action

        def deliver(kv):
            return {
                int(key.rpartition('/')[2]): (value, version)
                for key, (value, version, _) in kv.entries.items()
                if key.startswith('claims/')
            }

        def on_reply(slots):
            if slots is NO_ANSWER:
                self.feed_claims(claims.Unavailable())
            else:
                self.feed_claims(claims.Loaded(slots))

        self.world.call_kv(self, deliver, on_reply)

    def write_claims(self, action):
        """Write a slot; a lost answer is told from an unreached platform."""

        def on_reply(answer):
            if answer is NO_ANSWER:
                self.feed_claims(claims.Lost())
            elif answer[0]:
                self.feed_claims(claims.Written(answer[1]))
            else:
                self.feed_claims(claims.Refused())

        self.world.call_kv(
            self,
            lambda kv: kv.swap(
                f'claims/{action.slot}', action.text, action.expected
            ),
            on_reply,
        )

    # Callers.

    def complete(self, call_id):
        """Take a completion from a caller."""
        if self.is_stopping:
            return
        demand = router.Demand(call_id, 10, TOKENS)
        budget = limits.RetryBudget()
        request = Request(
            self,
            call_id,
            demand,
            attempts.Attempts(True, budget),
            relay.StreamCheck(call_id),
        )
        self.requests.append(request)
        request.try_next()

    def order(self, call_id, key):
        """Take a non-repeatable call from a caller."""
        if self.is_stopping:
            return
        budget = limits.RetryBudget()
        order = Order(self, call_id, key, attempts.Attempts(False, budget))
        self.orders.append(order)
        order.start()

    def is_busy(self):
        """Say whether a call is in flight."""
        return any(c.end is None for c in self.requests + self.orders)


class World:
    """Two failure domains, three nodes in the first and one in the other."""

    def __init__(self, checks=(False, True)):
        self.clock = Clock()
        self.kv = platform_standin.Store()
        self.kv.vms = []
        self.is_platform_down = False
        self.lost_answers = 0
        self.lost_requests = 0
        self.cuts = set()
        self.crossed = []
        self.order_delay_s = 0.0
        self.pauses_before_order = False
        self.service_unreachable = 0
        self.effects = collections.Counter()
        self.effect_calls = set()
        self.not_run = set()
        self.nodes = {}
        self.count = 0
        self.accepted = {}
        self.engines = {
            f'10.0.0.{i}:1': FakeEngine(self, f'10.0.0.{i}:1', check)
            for i, check in enumerate(checks)
        }
        for vm in ('a1', 'a2', 'a3', 'b1'):
            self.start(vm)

    # Processes and VMs.

    def start(self, vm):
        """Start a process on a VM, listed after the list's lag."""
        self.count += 1
        self.nodes[vm] = Node(self, vm, vm[0], self.count)
        self.clock.after(LIST_LAG_S, None, self.relist)

    def relist(self):
        """Let the platform's list catch up."""
        self.kv.vms = sorted(self.nodes)

    def kill(self, vm):
        """End a process at once; its VM stays."""
        node = self.nodes[vm]
        node.is_alive = False
        node.is_paused = False
        node.backlog.clear()

    def end_gracefully(self, node):
        """A stopped process ends; a call it still had is cut."""
        for call in node.requests + node.orders:
            if call.end is None:
                raise Violation(f'cut by a planned stop: {call.call_id}')
        node.is_alive = False

    def restart(self, vm):
        """Start a later process on the same VM."""
        self.kill(vm)
        self.start(vm)

    def replace(self, vm):
        """Replace a VM by one of another name."""
        self.kill(vm)
        del self.nodes[vm]
        self.count += 1
        self.start(f'{vm[0]}{self.count + 10}')

    def pause(self, vm):
        """Freeze a process."""
        if self.nodes[vm].is_alive:
            self.nodes[vm].is_paused = True

    def resume(self, vm):
        """Let a frozen process go on where it was."""
        node = self.nodes[vm]
        node.is_paused = False
        backlog, node.backlog = node.backlog, []
        for function in backlog:
            if node.is_paused:
                node.backlog.append(function)
            elif node.is_alive:
                function()

    # Messages.

    def rpc(self, node, domain, deliver, on_reply, timeout_s=None, late_s=0):
        """Send a call; ``on_reply`` gets the answer or `NO_ANSWER`."""
        is_over = []

        def reply(answer):
            if not is_over:
                is_over.append(True)
                on_reply(answer)

        def arrive():
            if self.is_cut(node.domain, domain):
                return
            answer = deliver()
            if self.lost_answers > 0:
                self.lost_answers -= 1
                return
            self.clock.after(DELAY_S, node, lambda: reply(answer))

        timeout_s = timeout_s or CALL_TIMEOUT_S
        self.clock.after(timeout_s, node, lambda: reply(NO_ANSWER))
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return
        self.clock.after(DELAY_S + late_s, None, arrive)

    def is_cut(self, one, other):
        """Say whether two domains (or the platform, 'p') are cut off."""
        return one != other and frozenset((one, other)) in self.cuts

    def call_node(self, node, vm, deliver, on_reply):
        """Call another node; a paused one answers when it goes on."""
        peer = self.nodes.get(vm)
        if peer is None or not peer.is_alive:
            self.clock.after(DELAY_S, node, lambda: on_reply(NO_ANSWER))
            return
        is_over = []

        def reply(answer):
            if not is_over:
                is_over.append(True)
                on_reply(answer)

        def arrive():
            if self.is_cut(node.domain, peer.domain):
                return
            answer = deliver(peer)
            self.clock.after(DELAY_S, node, lambda: reply(answer))

        self.clock.after(CALL_TIMEOUT_S, node, lambda: reply(NO_ANSWER))
        self.clock.after(DELAY_S, peer, arrive)

    def call_kv(self, node, deliver, on_reply):
        """Call the platform."""

        def guarded():
            self.kv.expire(self.clock.now)
            return deliver(self.kv)

        if self.is_platform_down:
            self.clock.after(DELAY_S, node, lambda: on_reply(NO_ANSWER))
            return
        self.rpc(node, 'p', guarded, on_reply)

    def take_order_delay(self):
        """Return how late the next order arrives, once."""
        delay_s, self.order_delay_s = self.order_delay_s, 0.0
        return delay_s

    # Operators.

    @staticmethod
    @functools.cache
    def parse(text):
        """Return the tables in a stored value."""
        return tables.from_data(orjson.loads(text))

    def edit(self, author, name, priority, expected):
        """Edit a route as the administration API does; return revision."""
        status, found = self.kv.get(tables.KEY)
        current = tables.empty()
        if status == 200:
            current = self.parse(found['value'])
        row = {'name': name, 'pool': 'pool', 'priority': priority}
        edits = [tables.Edit('routes', name, row, expected)]
        if not current.revision:
            edits.insert(0, self.pool_edit())
        self.count += 1
        newer = tables.apply(current, edits, f'c{self.count}', author)
        text = orjson.dumps(newer.to_data()).decode()
        done, _ = self.kv.swap(tables.KEY, text, found['version'])
        if done:
            self.accepted[name] = (newer.revision, priority)
        return newer.revision

    def pool_edit(self):
        """Return the edit that writes the pool of all engines."""
        servers = {
            f'e{i}': {
                'address': fake.address,
                'failure_domain': 'a',
                'checks_fencing': fake.checks,
            }
            for i, fake in enumerate(self.engines.values())
        }
        row = {'name': 'pool', 'servers': servers}
        return tables.Edit('pools', 'pool', row, 0)

    # Services and callers.

    def take_effect(self, order):
        """An order arrives at the service and takes effect."""
        if order.call_id in self.not_run:
            raise Violation(f'a call refused as not run ran: {order.call_id}')
        name = order.key or order.call_id
        self.effects[name] += 1
        self.effect_calls.add(order.call_id)
        if self.effects[name] > 1:
            raise Violation(f'a non-repeatable call ran twice: {name}')

    def refused_as_not_run(self, order):
        """A caller is told that its call has not run."""
        if order.call_id in self.effect_calls:
            raise Violation(f'"not run" is not true: {order.call_id}')
        self.not_run.add(order.call_id)

    # Healing.

    def heal(self):
        """End every fault; processes on listed VMs run again."""
        self.is_platform_down = False
        self.lost_answers = self.lost_requests = 0
        self.cuts.clear()
        self.crossed.clear()
        self.service_unreachable = 0
        self.order_delay_s = 0.0
        self.pauses_before_order = False
        for fake in self.engines.values():
            fake.crashes_in_change = False
        for vm, node in list(self.nodes.items()):
            if node.is_paused:
                self.resume(vm)
            if not node.is_alive or node.is_stopping:
                self.restart(vm)
