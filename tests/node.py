"""A fuzzed daemon process.

It runs the state machines of the daemon; messages, time and the platform are
simulated.
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
    """One daemon process: its state machines and the glue between them."""

    def __init__(self, world, vm, failure_domain, number):
        self.world = world
        self.vm = vm
        self.failure_domain = failure_domain
        self.is_alive = True
        self.is_paused = False
        self.is_stopping = False
        self.backlog = []
        rng = random.Random(number)
        local_member = membership.Member(vm, failure_domain, vm, vm)
        self.membership = membership.Membership(local_member, rng)
        self.router = router.Router(failure_domain, rng)
        self.router_set = routers.RouterSet()
        self.owner = owner.Owner(vm, f'i{number}')
        self.tables_history = tables.TablesHistory()
        self.shard = claims.Shard()
        self.callbacks = {}
        self.is_joined = False
        self.joined_peers = set()
        self.listed_vms = set()
        self.lease = ''
        self.requests = []
        self.service_calls = []
        self.ticks = 0
        world.clock.call_later(0.1 * (number % 5), self, self.tick)

    @property
    def tables(self):
        """Return the tables in force on this node."""
        return self.tables_history.current

    # Time.

    def tick(self):
        """Run the periodic work and schedule the next tick."""
        now = self.world.clock.now
        self.ticks += 1
        self.world.clock.call_later(fakes.TICK_S, self, self.tick)
        for peer in self.world.nodes.values():
            if peer.vm != self.vm and peer.vm in self.listed_vms:
                if peer.vm not in self.membership.members:
                    message = self.membership.message(now, True, True)
                    self.probe(peer.vm, message)
        for member, message in self.membership.tick(now):
            self.probe(member.vm, message)
        if self.ticks % 2 == 1:
            self.read_vm_list()
            self.keep_lease()
            self.read_tables()
        if not self.is_joined:
            self.join_domain()
        self.update_inputs(now)
        self.handle_owner_event(ownership.Tick(self.is_preferred_owner()))
        if self.is_stopping:
            self.exit_when_idle()

    def stop(self):
        """Handle SIGTERM: refuse new calls, release ownership, then exit."""
        self.is_stopping = True
        self.handle_owner_event(ownership.ReleaseRequested())

    def exit_when_idle(self):
        """Exit once no call is in flight and the ownership is released."""
        idle_phases = (owner.Phase.FREE, owner.Phase.ENDED)
        if self.is_busy() or self.owner.phase not in idle_phases:
            return
        self.membership.leave()
        message = self.membership.message(self.world.clock.now, False, True)
        for vm in list(self.membership.members):
            self.probe(vm, message)
        self.world.exit_gracefully(self)

    def update_inputs(self, now):
        """Update the inputs of the state machines."""
        self.router_set.join(self.vm)
        members = self.membership.members.values()
        self.router_set.update_members(members, self.failure_domain)
        for vm in self.listed_vms:
            if vm[0] == self.failure_domain:
                self.router_set.join(vm)
        if self.listed_vms:
            self.router_set.update_vm_list(self.listed_vms, now)
            self.owner.update_listed_vms(self.listed_vms, now)
        self.owner.routers = self.router_set.current()
        if self.tables.revision and self.failure_domain == 'a':
            self.owner.engines = {
                e.address: e.checks_fencing
                for e in self.world.engines.values()
            }

    def is_preferred_owner(self):
        """Return whether this node is the preferred owner of the engines."""
        vms = [m.vm for m in self.membership.alive(self.failure_domain)]
        preferred = membership.rank('owner', vms)[0]
        return (
            preferred == self.vm
            and self.is_joined
            and self.failure_domain == 'a'
        )

    # Membership and tables.

    def probe(self, vm, message):
        """Send a membership probe to another node."""
        now = self.world.clock.now

        def on_reply(answer):
            replied_at_s = self.world.clock.now
            if answer is fakes.NO_RESPONSE:
                self.membership.on_timeout(vm, replied_at_s)
                return
            follow_up = self.membership.on_answer(answer, replied_at_s)
            if follow_up is not None:
                self.probe(vm, follow_up)
            if answer.revision > self.tables.revision:
                self.fetch_tables(vm)

        del now
        self.world.call_node(
            self,
            vm,
            lambda peer: peer.membership.on_probe(
                message, self.world.clock.now
            ),
            on_reply,
        )

    def fetch_tables(self, vm, fetch_all=False):
        """Fetch newer tables from a node, as a delta if possible."""
        known_revision = 0 if fetch_all else self.tables.revision

        def on_reply(answer):
            if answer is fakes.NO_RESPONSE or answer is None:
                return
            if isinstance(answer, tables.Delta):
                try:
                    self.apply_tables(tables.apply_delta(self.tables, answer))
                except errors.Conflict:
                    self.fetch_tables(vm, True)
                return
            self.apply_tables(answer)

        self.world.call_node(
            self,
            vm,
            lambda peer: peer.tables_history.changes_since(known_revision),
            on_reply,
        )

    def apply_tables(self, newer):
        """Apply newer tables, as the daemon's environment does."""
        before = self.tables.revision
        if not self.tables_history.advance(newer):
            return
        if newer.revision < before:
            raise fakes.Violation(f'{self.vm} reverted from {before}')
        self.membership.revision = newer.revision
        self.router.update_tables(newer)

    def read_tables(self):
        """Read the tables from the platform store."""

        def on_reply(found):
            if found is not fakes.NO_RESPONSE and found[0] == 200:
                self.apply_tables(self.world.parse_tables(found[1]['value']))

        self.world.call_kv(self, lambda kv: kv.get(tables.KEY), on_reply)

    def read_vm_list(self):
        """Read the platform's VM list."""

        def on_reply(vms):
            if vms is not fakes.NO_RESPONSE:
                self.listed_vms = set(vms)

        self.world.call_kv(self, lambda kv: list(kv.vms), on_reply)

    def join_domain(self):
        """Register as a router with every member of the failure domain."""
        unconfirmed = routers.members_to_ask(
            self.membership.members.values(),
            self.failure_domain,
            self.joined_peers,
            self.listed_vms,
        )
        if not unconfirmed and self.ticks > 4:
            self.is_joined = True
        for member in unconfirmed:
            self.request_join(member.vm)

    def request_join(self, vm):
        """Register with one node and copy its drain versions."""

        def deliver(peer):
            peer.router_set.join(self.vm)
            return dict(peer.router.drain_versions)

        def on_reply(drain_versions):
            if drain_versions is fakes.NO_RESPONSE:
                self.membership.on_timeout(vm, self.world.clock.now)
                return
            for address, drain_version in drain_versions.items():
                self.router.drain(address, drain_version)
            self.joined_peers.add(vm)

        self.world.call_node(self, vm, deliver, on_reply)

    # Ownership.

    def handle_owner_event(self, event):
        """Pass an event to the owner and execute the resulting actions."""
        for action in self.owner.handle(event, self.world.clock.now):
            self.world.clock.call_later(
                0.001, self, lambda action=action: self.execute(action)
            )

    def execute(self, action):
        """Execute one action, as the daemon's duty task does."""
        match action:
            case ownership.ReadRecord():
                self.world.call_kv(self, self.read_record, self.on_record_read)
            case ownership.SwapRecord():
                self.world.call_kv(
                    self,
                    lambda kv: kv.swap(
                        'owner', action.record.to_text(), action.expected
                    ),
                    self.on_record_swapped,
                )
            case ownership.RequestDrain():
                self.request_drain(action)
            case ownership.ReadState():
                requested_at_s = self.world.clock.now
                fake_engine = self.world.engines[action.engine]
                self.world.rpc(
                    self,
                    'a',
                    fake_engine.state,
                    lambda s: self.handle_owner_event(
                        ownership.StateRead(
                            action.engine,
                            None if s is fakes.NO_RESPONSE else s,
                            requested_at_s,
                        )
                    ),
                )
            case ownership.SendOrder():
                self.send_order(action)

    @staticmethod
    def read_record(kv):
        """Read the ownership record and whether its lease is alive."""
        status, found = kv.get('owner')
        if status != 200:
            return ownership.RecordRead(None, 0)
        record = ownership.parse_record(found['value'])
        is_lease_alive = kv.get(f'alive/{record.lease}')[0] == 200
        return ownership.RecordRead(record, found['version'], is_lease_alive)

    def on_record_read(self, event):
        """Pass the record read from the store to the owner."""
        if event is fakes.NO_RESPONSE:
            event = ownership.RecordOutcomeUnknown()
        self.handle_owner_event(event)

    def on_record_swapped(self, answer):
        """Pass the outcome of a record write to the owner."""
        if answer is fakes.NO_RESPONSE:
            self.handle_owner_event(ownership.RecordOutcomeUnknown())
        elif answer[0]:
            self.handle_owner_event(ownership.RecordSwapped(answer[1]))
        else:
            self.handle_owner_event(ownership.RecordConflict())

    def request_drain(self, action):
        """Ask a router to drain an engine or to undrain it."""

        def deliver(peer):
            if action.is_undrain:
                return peer.router.undrain(
                    action.engine, action.drain_version
                ), 0
            count = peer.router.drain(action.engine, action.drain_version)
            return count is not None, count

        def on_reply(answer):
            if answer is not fakes.NO_RESPONSE:
                self.handle_owner_event(
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
        """Send an order once; it may arrive long after its timeout."""
        if self.world.pauses_before_order:
            self.world.pauses_before_order = False
            self.is_paused = True
            self.backlog.append(lambda: self.send_order(action))
            return
        fake_engine = self.world.engines[action.engine]
        self.world.rpc(
            self,
            'a',
            lambda: fake_engine.handle_order(action.order),
            lambda outcome: self.handle_owner_event(
                ownership.OrderAnswered(
                    action.engine,
                    ownership.Outcome.UNKNOWN
                    if outcome is fakes.NO_RESPONSE
                    else outcome,
                )
            ),
            fakes.ORDER_TIMEOUT_S,
            self.world.pop_order_delay(),
        )

    def keep_lease(self):
        """Renew or acquire a lease while owner or preferred owner."""
        if (
            self.owner.phase is owner.Phase.FREE
            and not self.is_preferred_owner()
        ):
            return

        def deliver(kv):
            now = self.world.clock.now
            if self.lease and kv.renew_lease(self.lease, now):
                return self.lease
            lease = kv.grant_lease(fakes.LEASE_S, now)
            kv.swap(f'alive/{lease}', '', 0, lease)
            return lease

        def on_reply(lease):
            if lease is not fakes.NO_RESPONSE and lease != self.lease:
                self.lease = lease
                self.handle_owner_event(ownership.LeaseLost(lease))

        self.world.call_kv(self, deliver, on_reply)

    # Claims.

    def submit_claim(self, entry, on_reply):
        """Submit an entry to the claim log."""
        ticket = object()
        self.callbacks[ticket] = on_reply
        self.handle_claim_event(claims.Submit(ticket, entry))

    def handle_claim_event(self, event):
        """Pass an event to the shard and execute the resulting actions."""
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
        """Read the shard's slots; a prefix read serves every kind of load."""
        del action

        def deliver(kv):
            return {
                int(key.rpartition('/')[2]): (value, version)
                for key, (value, version, _) in kv.entries.items()
                if key.startswith('claims/')
            }

        def on_reply(slots):
            if slots is fakes.NO_RESPONSE:
                self.handle_claim_event(claims.Unavailable())
            else:
                self.handle_claim_event(claims.Loaded(slots))

        self.world.call_kv(self, deliver, on_reply)

    def write_claims(self, action):
        """Write a slot; a missing response leaves the outcome unknown."""

        def on_reply(answer):
            if answer is fakes.NO_RESPONSE:
                self.handle_claim_event(claims.WriteUnknown())
            elif answer[0]:
                self.handle_claim_event(claims.Written(answer[1]))
            else:
                self.handle_claim_event(claims.WriteConflict())

        self.world.call_kv(
            self,
            lambda kv: kv.swap(
                f'claims/{action.slot}', action.text, action.expected
            ),
            on_reply,
        )

    # Callers.

    def start_completion(self, call_id):
        """Start a completion request from a caller."""
        if self.is_stopping:
            return
        demand = router.Demand(call_id, 10, fakes.OUTPUT_TOKENS)
        budget = limits.RetryBudget()
        request = callers.CompletionRequest(
            self,
            call_id,
            demand,
            attempts.Attempts(True, budget),
            relay.StreamValidator(call_id),
        )
        self.requests.append(request)
        request.try_next()

    def start_service_call(self, call_id, key):
        """Start a non-repeatable service call from a caller."""
        if self.is_stopping:
            return
        budget = limits.RetryBudget()
        service_call = callers.ServiceCall(
            self, call_id, key, attempts.Attempts(False, budget)
        )
        self.service_calls.append(service_call)
        service_call.start()

    def is_busy(self):
        """Return whether a call is in flight."""
        return any(
            c.outcome is None for c in self.requests + self.service_calls
        )
