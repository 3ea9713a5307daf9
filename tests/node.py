"""One daemon process of the fuzzing: the state machines and the glue.

It runs the same state machines as the daemon; only the messages, the time
and the platform are fakes.
"""

import random

from mangorock import attempts
from mangorock import claims
from mangorock import errors
from mangorock import limits
from mangorock import membership
from mangorock import owner
from mangorock import ownership
from mangorock import relay
from mangorock import router
from mangorock import routers
from mangorock import tables
from tests import callers
from tests import fakes


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
        self.keeper = tables.TablesHistory()
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
        self.world.clock.after(fakes.TICK_S, self, self.tick)
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
        self.feed(ownership.Tick(self.is_wanted()))
        if self.is_stopping:
            self.end_when_idle()

    def stop(self):
        """Take SIGTERM: no new calls, then release, then end."""
        self.is_stopping = True
        self.feed(ownership.ReleaseRequested())

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
        members = self.membership.members.values()
        self.router_set.update_members(members, self.domain)
        for vm in self.listed:
            if vm[0] == self.domain:
                self.router_set.join(vm)
        if self.listed:
            self.router_set.update_vm_list(self.listed, now)
            self.owner.update_listed_vms(self.listed, now)
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
            if answer is fakes.NO_ANSWER:
                self.membership.on_timeout(vm, when)
                return
            follow_up = self.membership.on_answer(answer, when)
            if follow_up is not None:
                self.probe(vm, follow_up)
            if answer.revision > self.tables.revision:
                self.fetch(vm)

        del now
        self.world.call_node(
            self,
            vm,
            lambda peer: peer.membership.on_probe(
                message, self.world.clock.now
            ),
            on_reply,
        )

    def fetch(self, vm, from_zero=False):
        """Ask a node for its newer tables, as a delta where it can."""
        mine = 0 if from_zero else self.tables.revision

        def on_reply(answer):
            if answer is fakes.NO_ANSWER or answer is None:
                return
            if isinstance(answer, tables.Delta):
                try:
                    self.take_tables(tables.apply_delta(self.tables, answer))
                except errors.Conflict:
                    self.fetch(vm, True)
                return
            self.take_tables(answer)

        self.world.call_node(
            self, vm, lambda peer: peer.keeper.changes_since(mine), on_reply
        )

    def take_tables(self, newer):
        """Take newer tables, as the daemon's environment does."""
        before = self.tables.revision
        if not self.keeper.advance(newer):
            return
        if newer.revision < before:
            raise fakes.Violation(f'{self.vm} reverted from {before}')
        self.membership.revision = newer.revision
        self.router.update_tables(newer)

    def watch(self):
        """Read the tables from the platform."""

        def on_reply(found):
            if found is not fakes.NO_ANSWER and found[0] == 200:
                self.take_tables(self.world.parse(found[1]['value']))

        self.world.call_kv(self, lambda kv: kv.get(tables.KEY), on_reply)

    def read_vms(self):
        """Read the platform's VM list."""

        def on_reply(vms):
            if vms is not fakes.NO_ANSWER:
                self.listed = set(vms)

        self.world.call_kv(self, lambda kv: list(kv.vms), on_reply)

    def join(self):
        """Be counted as a router by all others of the domain."""
        waiting = routers.members_to_ask(
            self.membership.members.values(),
            self.domain,
            self.answered,
            self.listed,
        )
        if not waiting and self.ticks > 4:
            self.is_joined = True
        for member in waiting:
            self.ask_join(member.vm)

    def ask_join(self, vm):
        """Ask one node, and learn what is drained."""

        def deliver(peer):
            peer.router_set.join(self.vm)
            return dict(peer.router.drain_marks)

        def on_reply(drained):
            if drained is fakes.NO_ANSWER:
                self.membership.on_timeout(vm, self.world.clock.now)
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
            case ownership.ReadRecord():
                self.world.call_kv(self, self.read_record, self.on_record)
            case ownership.SwapRecord():
                self.world.call_kv(
                    self,
                    lambda kv: kv.swap(
                        'owner', action.record.to_text(), action.expected
                    ),
                    self.on_swapped,
                )
            case ownership.RequestDrain():
                self.ask_drain(action)
            case ownership.ReadState():
                asked_s = self.world.clock.now
                fake = self.world.engines[action.engine]
                self.world.rpc(
                    self,
                    'a',
                    fake.state,
                    lambda s: self.feed(
                        ownership.StateRead(
                            action.engine,
                            None if s is fakes.NO_ANSWER else s,
                            asked_s,
                        )
                    ),
                )
            case ownership.SendOrder():
                self.send_order(action)

    @staticmethod
    def read_record(kv):
        """Return what the daemon reads of the ownership record."""
        status, found = kv.get('owner')
        if status != 200:
            return ownership.RecordRead(None, 0)
        record = ownership.parse_record(found['value'])
        alive = kv.get(f'alive/{record.lease}')[0] == 200
        return ownership.RecordRead(record, found['version'], alive)

    def on_record(self, event):
        """Take the record as read."""
        if event is fakes.NO_ANSWER:
            event = ownership.RecordOutcomeUnknown()
        self.feed(event)

    def on_swapped(self, answer):
        """Take the outcome of a write of the record."""
        if answer is fakes.NO_ANSWER:
            self.feed(ownership.RecordOutcomeUnknown())
        elif answer[0]:
            self.feed(ownership.RecordSwapped(answer[1]))
        else:
            self.feed(ownership.RecordConflict())

    def ask_drain(self, action):
        """Ask a router to drain an engine, or to let it in again."""

        def deliver(peer):
            if action.is_undrain:
                return peer.router.undrain(
                    action.engine, action.drain_version
                ), 0
            count = peer.router.drain(action.engine, action.drain_version)
            return count is not None, count

        def on_reply(answer):
            if answer is not fakes.NO_ANSWER:
                self.feed(
                    ownership.DrainAnswered(
                        action.engine,
                        action.vm,
                        action.drain_version,
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
                ownership.OrderAnswered(
                    action.engine,
                    ownership.Outcome.UNKNOWN
                    if outcome is fakes.NO_ANSWER
                    else outcome,
                )
            ),
            fakes.ORDER_TIMEOUT_S,
            self.world.take_order_delay(),
        )

    def keep_lease(self):
        """Keep a lease alive, or get a new one, with or for the duty."""
        if self.owner.phase is owner.Phase.FREE and not self.is_wanted():
            return

        def deliver(kv):
            now = self.world.clock.now
            if self.lease and kv.keep(self.lease, now):
                return self.lease
            lease = kv.grant(fakes.LEASE_S, now)
            kv.swap(f'alive/{lease}', '', 0, lease)
            return lease

        def on_reply(lease):
            if lease is not fakes.NO_ANSWER and lease != self.lease:
                self.lease = lease
                self.feed(ownership.LeaseLost(lease))

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
                    if action.ticket is not None:
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
            if slots is fakes.NO_ANSWER:
                self.feed_claims(claims.Unavailable())
            else:
                self.feed_claims(claims.Loaded(slots))

        self.world.call_kv(self, deliver, on_reply)

    def write_claims(self, action):
        """Write a slot; a lost answer is told from an unreached platform."""

        def on_reply(answer):
            if answer is fakes.NO_ANSWER:
                self.feed_claims(claims.WriteUnknown())
            elif answer[0]:
                self.feed_claims(claims.Written(answer[1]))
            else:
                self.feed_claims(claims.WriteConflict())

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
        demand = router.Demand(call_id, 10, fakes.TOKENS)
        budget = limits.RetryBudget()
        request = callers.Request(
            self,
            call_id,
            demand,
            attempts.Attempts(True, budget),
            relay.StreamValidator(call_id),
        )
        self.requests.append(request)
        request.try_next()

    def order(self, call_id, key):
        """Take a non-repeatable call from a caller."""
        if self.is_stopping:
            return
        budget = limits.RetryBudget()
        order = callers.Order(
            self, call_id, key, attempts.Attempts(False, budget)
        )
        self.orders.append(order)
        order.start()

    def is_busy(self):
        """Say whether a call is in flight."""
        return any(c.end is None for c in self.requests + self.orders)
