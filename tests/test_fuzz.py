"""Stateful fuzzing of several nodes, checked by the oracle in `tests.world`.

The rules inject faults and traffic in random order.  The oracle checks safety
during the whole run; liveness is checked once, after the last fault.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from mangorock import errors
from mangorock import owner
from mangorock import ownership
from tests import world

SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=False,
    phases=[hypothesis.Phase.generate],
)
# The cluster recovers within this time after the last fault.  It covers the
# lag of the VM list, the time until a VM counts as gone, the settling time of
# a new owner and a few rounds of probes.
RECOVERY_S = 120.0
# A new revision of the tables is in force at all nodes within this time.
PROPAGATION_S = 15.0

NODE_NUMBERS = st.integers(0, 3)
SHORT_TIMES = st.sampled_from([0.005, 0.02, 0.1, 0.5, 1.0])
LONG_TIMES = st.sampled_from([2.0, 5.0, 8.0, 15.0, 35.0])


class BaseMachine(stateful.RuleBasedStateMachine):
    """Time, completions, planned role changes and the final liveness check.

    ``checks_tokens`` says for each engine whether it checks tokens.
    """

    checks_tokens = (False, True)

    def __init__(self):
        super().__init__()
        self.world = world.World(self.checks_tokens)
        self.calls = 0
        self.world.edit('first', 'r0', 1, 0)
        self.world.clock.advance(15.0)
        self.run_time(25.0)

    def node(self, number):
        """Return the node of this number, modulo the number of nodes."""
        nodes = list(self.world.nodes.values())
        return nodes[number % len(nodes)]

    def run_time(self, seconds):
        """Advance the simulated clock."""
        self.world.clock.advance(seconds)

    def next_id(self):
        """Return an unused call id."""
        self.calls += 1
        return f'call{self.calls:04d}'

    # Time and callers.

    @stateful.rule(seconds=SHORT_TIMES)
    def wait_short(self, seconds):
        self.run_time(seconds)

    @stateful.rule(seconds=LONG_TIMES)
    def wait_long(self, seconds):
        self.run_time(seconds)

    @stateful.rule(
        number=NODE_NUMBERS, count=st.integers(1, 6), every=SHORT_TIMES
    )
    def completions(self, number, count, every):
        for i in range(count):
            node = self.node(number + i)
            call_id = self.next_id()
            self.world.clock.call_later(
                i * every,
                node,
                lambda node=node, call_id=call_id: node.start_completion(
                    call_id
                ),
            )

    @stateful.rule(
        number=st.integers(0, 1), role=st.sampled_from(['mixed', 'prefill'])
    )
    def want_role(self, number, role):
        address = list(self.world.engines)[number]
        for node in self.world.nodes.values():
            if node.is_alive and not node.is_paused:
                node.handle_owner_event(ownership.RoleRequested(address, role))

    @stateful.rule()
    def pause_owner_before_its_next_call(self):
        for node in self.world.nodes.values():
            if node.owner.phase is owner.Phase.OWNING and node.is_alive:
                node.is_paused = True

    @stateful.rule()
    def resume_all(self):
        for vm in list(self.world.nodes):
            self.world.resume(vm)

    # Liveness.

    def recover(self):
        """Check that the cluster recovers in time after the faults end."""
        self.world.clear_faults()
        self.run_time(RECOVERY_S)
        revision = self.world.edit(
            'ops', 'r9', 1, self.world.accepted_edits.get('r9', (0, 0))[0]
        )
        self.run_time(PROPAGATION_S)
        nodes = list(self.world.nodes.values())
        outdated = [n.vm for n in nodes if n.tables.revision < revision]
        assert not outdated, f'revision {revision} is not in force: {outdated}'
        rows = nodes[0].tables.routes
        for name, (_, priority) in self.world.accepted_edits.items():
            assert rows[name].priority == priority, f'{name} reverted'
        self.check_owner(nodes)
        self.check_requests(nodes)

    def check_owner(self, nodes):
        """Check that one node owns the engines and no node still drains."""
        owners = [n for n in nodes if n.owner.phase is owner.Phase.OWNING]
        states = [(n.vm, n.owner.phase.value, n.is_joined) for n in nodes]
        assert len(owners) == 1, f'owners: {states}'
        for node in nodes:
            assert not node.router.drain_versions, f'{node.vm} still drains'

    def check_requests(self, nodes):
        """Check that nodes in domain a serve completions and orders."""
        for address in self.world.engines:
            for node in nodes:
                node.handle_owner_event(
                    ownership.RoleRequested(address, 'mixed')
                )
        self.run_time(20.0)
        for node in nodes:
            if node.failure_domain == 'a':
                node.start_completion(self.next_id())
                node.start_service_call(self.next_id(), f'fresh{self.calls}')
        self.run_time(20.0)
        for node in nodes:
            if node.failure_domain == 'a':
                ends = (
                    node.requests[-1].outcome,
                    node.service_calls[-1].outcome,
                )
                assert ends == ('whole', 'whole'), f'{node.vm}: {ends}'

    def teardown(self):
        self.recover()


class Cluster(BaseMachine):
    """Faults, callers and operators in any order."""

    @stateful.rule(
        number=NODE_NUMBERS, key=st.sampled_from(['', 'k1', 'k2', 'k3'])
    )
    def order(self, number, key):
        node = self.node(number)
        if node.is_alive and not node.is_paused:
            node.start_service_call(self.next_id(), key)

    # Operators.

    @stateful.rule(
        name=st.sampled_from(['r0', 'r1']),
        priority=st.integers(0, 9),
        is_stale=st.booleans(),
    )
    def edit(self, name, priority, is_stale):
        last = self.world.accepted_edits.get(name, (0, 0))[0]
        expected = max(0, last - 1) if is_stale else last
        try:
            self.world.edit('ops', name, priority, expected)
        except errors.Conflict:
            assert expected != last, 'a fresh edit conflicted'

    # Faults.

    @stateful.rule(number=NODE_NUMBERS)
    def kill(self, number):
        self.world.kill(self.node(number).vm)

    @stateful.rule(number=NODE_NUMBERS)
    def restart(self, number):
        self.world.restart(self.node(number).vm)

    @stateful.rule(number=NODE_NUMBERS)
    def replace(self, number):
        self.world.replace(self.node(number).vm)

    @stateful.rule(number=NODE_NUMBERS)
    def pause(self, number):
        self.world.pause(self.node(number).vm)

    @stateful.rule(number=NODE_NUMBERS)
    def resume(self, number):
        self.world.resume(self.node(number).vm)

    @stateful.rule(number=NODE_NUMBERS)
    def stop(self, number):
        node = self.node(number)
        if node.is_alive and not node.is_paused:
            node.stop()

    @stateful.rule(
        pair=st.sampled_from(['ab', 'ap', 'bp']), is_cut=st.booleans()
    )
    def cut_link(self, pair, is_cut):
        cuts = self.world.partitions
        (cuts.add if is_cut else cuts.discard)(frozenset(pair))

    @stateful.rule(is_down=st.booleans())
    def platform_outage(self, is_down):
        self.world.is_platform_down = is_down

    @stateful.rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.world.lost_answers += count

    @stateful.rule(count=st.integers(1, 3))
    def lose_requests(self, count):
        self.world.lost_requests += count

    @stateful.rule(count=st.integers(1, 4))
    def service_unreachable(self, count):
        self.world.unreachable_sends += count

    @stateful.rule(seconds=st.sampled_from([1.0, 6.0, 12.0, 18.0]))
    def delay_next_order(self, seconds):
        self.world.next_order_delay_s = seconds

    @stateful.rule(number=st.integers(0, 1))
    def crash_engine(self, number):
        list(self.world.engines.values())[number].crash()

    @stateful.rule(number=st.integers(0, 1))
    def crash_in_change(self, number):
        list(self.world.engines.values())[number].crashes_in_role_change = True

    @stateful.rule()
    def cross_deliver_event(self):
        self.world.misdelivered_ids.append('another')


class Changes(BaseMachine):
    """Planned role changes under traffic, with late orders and lost owners."""

    checks_tokens = (False, False)

    @stateful.rule(
        number=st.integers(0, 1),
        role=st.sampled_from(['mixed', 'prefill']),
        seconds=st.sampled_from([6.0, 12.0, 18.0]),
    )
    def want_role_with_late_order(self, number, role, seconds):
        self.world.next_order_delay_s = seconds
        self.want_role(number, role)
        self.run_time(4.0)

    @stateful.rule(
        number=st.integers(0, 1), role=st.sampled_from(['mixed', 'prefill'])
    )
    def pause_owner_at_its_order(self, number, role):
        self.world.pauses_before_order = True
        self.want_role(number, role)
        self.run_time(4.0)

    @stateful.rule(seconds=LONG_TIMES)
    def resume_all_under_traffic(self, seconds):
        self.run_time(seconds)
        for node in self.world.nodes.values():
            if node.is_alive and not node.is_paused:
                node.start_completion(self.next_id())
                node.start_completion(self.next_id())
        self.run_time(0.5)
        self.resume_all()

    @stateful.rule()
    def replace_owner(self):
        for vm, node in list(self.world.nodes.items()):
            if node.owner.phase is owner.Phase.OWNING:
                self.world.replace(vm)

    @stateful.rule(number=NODE_NUMBERS)
    def pause_just_after_routing(self, number):
        node = self.node(number)
        if node.is_alive and not node.is_paused:
            node.start_completion(self.next_id())
            node.is_paused = True

    @stateful.rule(number=NODE_NUMBERS)
    def start_stopped_node(self, number):
        node = self.node(number)
        if not node.is_alive:
            self.world.restart(node.vm)


class CheckingChanges(Changes):
    """Planned role changes of engines that check tokens."""

    checks_tokens = (True, True)


class CheckingCluster(Cluster):
    """Every engine checks tokens, so an expired lease passes ownership on."""

    checks_tokens = (True, True)


class PlainCluster(Cluster):
    """No engine checks tokens."""

    checks_tokens = (False, False)


def run(machine, settings=SETTINGS):
    """Fuzz one state machine."""
    stateful.run_state_machine_as_test(machine, settings=settings)


class TestFuzz(unittest.TestCase):
    def test_mixed_engines(self):
        run(Cluster)

    def test_engines_with_token_checks(self):
        run(CheckingCluster)

    def test_engines_without_token_checks(self):
        run(PlainCluster)

    def test_role_changes_without_token_checks(self):
        run(Changes)

    def test_role_changes_with_token_checks(self):
        run(CheckingChanges)


if __name__ == '__main__':
    unittest.main()
