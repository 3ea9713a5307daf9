"""Deterministic simulation for fuzzing: several nodes with fake interfaces.

Time, messages, the platform, engines, services and callers are simulated in
one process, so every run gives the same result.
"""

import collections
import functools

import orjson

from mangorock import tables
from mangorock_standins import platform as platform_standin
from tests import fakes
from tests import node as node_module


def call_once(on_reply):
    """Wrap ``on_reply`` so that it runs only for the first response."""
    is_called = []

    def reply(answer):
        if not is_called:
            is_called.append(True)
            on_reply(answer)

    return reply


class World:
    """Two failure domains: three nodes in the first, one in the second."""

    def __init__(self, fencing_checks=(False, True)):
        self.clock = fakes.Clock()
        self.kv = platform_standin.Store()
        self.kv.vms = []
        self.is_platform_down = False
        self.lost_answers = 0
        self.lost_requests = 0
        self.partitions = set()
        self.misdelivered_ids = []
        self.next_order_delay_s = 0.0
        self.pauses_before_order = False
        self.unreachable_sends = 0
        self.effects = collections.Counter()
        self.executed_calls = set()
        self.refused_calls = set()
        self.nodes = {}
        self.last_id = 0
        self.accepted_edits = {}
        self.engines = {
            f'10.0.0.{i}:1': fakes.FakeEngine(
                self, f'10.0.0.{i}:1', checks_fencing
            )
            for i, checks_fencing in enumerate(fencing_checks)
        }
        for vm in ('a1', 'a2', 'a3', 'b1'):
            self.start(vm)

    # Processes and VMs.

    def start(self, vm):
        """Start a process on a VM; the VM list shows it after a delay."""
        self.last_id += 1
        self.nodes[vm] = node_module.Node(self, vm, vm[0], self.last_id)
        self.clock.call_later(fakes.VM_LIST_LAG_S, None, self.update_vm_list)

    def update_vm_list(self):
        """Update the platform's VM list to the current VMs."""
        self.kv.vms = sorted(self.nodes)

    def kill(self, vm):
        """Kill a process at once; its VM remains."""
        node = self.nodes[vm]
        node.is_alive = False
        node.is_paused = False
        node.backlog.clear()

    def exit_gracefully(self, node):
        """Exit a stopped process; raise `Violation` if a call is in flight."""
        for call in node.requests + node.service_calls:
            if call.outcome is None:
                raise fakes.Violation(
                    f'call cut by a planned stop: {call.call_id}'
                )
        node.is_alive = False

    def restart(self, vm):
        """Kill the process of a VM and start a new one there."""
        self.kill(vm)
        self.start(vm)

    def replace(self, vm):
        """Replace a VM by one with another name."""
        self.kill(vm)
        del self.nodes[vm]
        self.last_id += 1
        self.start(f'{vm[0]}{self.last_id + 10}')

    def pause(self, vm):
        """Pause a process."""
        if self.nodes[vm].is_alive:
            self.nodes[vm].is_paused = True

    def resume(self, vm):
        """Resume a paused process and run its backlog."""
        node = self.nodes[vm]
        node.is_paused = False
        backlog, node.backlog = node.backlog, []
        for function in backlog:
            if node.is_paused:
                node.backlog.append(function)
            elif node.is_alive:
                function()

    # Messages.

    def rpc(
        self,
        node,
        failure_domain,
        deliver,
        on_reply,
        timeout_s=None,
        extra_delay_s=0,
    ):
        """Send a call; ``on_reply`` gets the response.

        Without one by the timeout it gets `fakes.NO_RESPONSE`.
        """
        reply = call_once(on_reply)

        def arrive():
            if self.is_partitioned(node.failure_domain, failure_domain):
                return
            answer = deliver()
            if self.lost_answers > 0:
                self.lost_answers -= 1
                return
            self.clock.call_later(
                fakes.MESSAGE_DELAY_S, node, lambda: reply(answer)
            )

        timeout_s = timeout_s or fakes.CALL_TIMEOUT_S
        self.clock.call_later(
            timeout_s, node, lambda: reply(fakes.NO_RESPONSE)
        )
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return
        self.clock.call_later(
            fakes.MESSAGE_DELAY_S + extra_delay_s, None, arrive
        )

    def is_partitioned(self, first, second):
        """Return whether two failure domains are partitioned.

        'p' stands for the platform.
        """
        return (
            first != second and frozenset((first, second)) in self.partitions
        )

    def call_node(self, node, vm, deliver, on_reply):
        """Call another node; a paused node responds once it is resumed."""
        peer = self.nodes.get(vm)
        if peer is None or not peer.is_alive:
            self.clock.call_later(
                fakes.MESSAGE_DELAY_S,
                node,
                lambda: on_reply(fakes.NO_RESPONSE),
            )
            return
        reply = call_once(on_reply)

        def arrive():
            if self.is_partitioned(node.failure_domain, peer.failure_domain):
                return
            answer = deliver(peer)
            self.clock.call_later(
                fakes.MESSAGE_DELAY_S, node, lambda: reply(answer)
            )

        self.clock.call_later(
            fakes.CALL_TIMEOUT_S, node, lambda: reply(fakes.NO_RESPONSE)
        )
        self.clock.call_later(fakes.MESSAGE_DELAY_S, peer, arrive)

    def call_kv(self, node, deliver, on_reply):
        """Call the platform's store."""

        def expire_and_deliver():
            self.kv.expire_leases(self.clock.now)
            return deliver(self.kv)

        if self.is_platform_down:
            self.clock.call_later(
                fakes.MESSAGE_DELAY_S,
                node,
                lambda: on_reply(fakes.NO_RESPONSE),
            )
            return
        self.rpc(node, 'p', expire_and_deliver, on_reply)

    def pop_order_delay(self):
        """Return the delay of the next order and reset it."""
        delay_s, self.next_order_delay_s = self.next_order_delay_s, 0.0
        return delay_s

    # Operators.

    @staticmethod
    @functools.cache
    def parse_tables(text):
        """Return the tables of a stored value."""
        return tables.from_data(orjson.loads(text))

    def edit(self, author, name, priority, expected):
        """Edit a route like the administration API; return the revision."""
        status, found = self.kv.get(tables.KEY)
        current = tables.empty()
        if status == 200:
            current = self.parse_tables(found['value'])
        row = {'name': name, 'pool': 'pool', 'priority': priority}
        edits = [tables.Edit('routes', name, row, expected)]
        if not current.revision:
            edits.insert(0, self.make_pool_edit())
        self.last_id += 1
        newer = tables.apply(current, edits, f'c{self.last_id}', author)
        text = orjson.dumps(newer.to_data()).decode()
        is_written, _ = self.kv.swap(tables.KEY, text, found['version'])
        if is_written:
            self.accepted_edits[name] = (newer.revision, priority)
        return newer.revision

    def make_pool_edit(self):
        """Return an edit that creates the pool of all engines."""
        servers = {
            f'e{i}': {
                'address': fake_engine.address,
                'failure_domain': 'a',
                'checks_fencing': fake_engine.checks_fencing,
            }
            for i, fake_engine in enumerate(self.engines.values())
        }
        row = {'name': 'pool', 'servers': servers}
        return tables.Edit('pools', 'pool', row, 0)

    # Services and callers.

    def record_effect(self, service_call):
        """Record that a service ran a call, and check the guarantees.

        A call refused as not run must never run, and no non-repeatable call
        may run twice.
        """
        if service_call.call_id in self.refused_calls:
            raise fakes.Violation(
                f'a call refused as not run ran: {service_call.call_id}'
            )
        name = service_call.key or service_call.call_id
        self.effects[name] += 1
        self.executed_calls.add(service_call.call_id)
        if self.effects[name] > 1:
            raise fakes.Violation(f'a non-repeatable call ran twice: {name}')

    def record_not_run(self, service_call):
        """Record that a caller was told "not run", and check that it is so."""
        if service_call.call_id in self.executed_calls:
            raise fakes.Violation(
                f'"not run" is not true: {service_call.call_id}'
            )
        self.refused_calls.add(service_call.call_id)

    # Recovery.

    def clear_faults(self):
        """Clear every fault, and restart stopping and dead processes."""
        self.is_platform_down = False
        self.lost_answers = self.lost_requests = 0
        self.partitions.clear()
        self.misdelivered_ids.clear()
        self.unreachable_sends = 0
        self.next_order_delay_s = 0.0
        self.pauses_before_order = False
        for fake_engine in self.engines.values():
            fake_engine.crashes_in_role_change = False
        for vm, node in list(self.nodes.items()):
            if node.is_paused:
                self.resume(vm)
            if not node.is_alive or node.is_stopping:
                self.restart(vm)
