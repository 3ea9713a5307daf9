"""Mutation tests of the fuzzing: it fails where a mechanism is disabled.

Each test disables one mechanism, fuzzes with as many examples as CI does and
asserts that the oracle reports a violation of the invariant that this
mechanism protects.
"""

import contextlib
import unittest
from unittest import mock

import hypothesis

from mangorock import attempts
from mangorock import claims
from mangorock import owner
from mangorock import ownership
from mangorock import relay
from mangorock import routers
from mangorock import tables
from tests import fakes
from tests import node
from tests import test_fuzz


SETTINGS = hypothesis.settings(test_fuzz.SETTINGS, max_examples=400)


def acquire_after_lease(self, event, now):
    """Let a new owner take over as soon as the lease has expired."""
    del now
    record = event.record
    return record is None or record.is_released or not event.is_lease_alive


def accept_any_event(self, line):
    """Relay events without checking their ids and indexes."""
    if line == relay._DONE:
        self.is_complete = True
    else:
        self.next_index += 1
    return True


def end_as_not_run(self, address, end):
    """Treat a broken attempt as one that has not run."""
    self.last_end = end
    self.excluded.add(address)


def drain_without_acknowledgements(self, owned, now):
    """Skip the acknowledgements of the routers that drain an engine."""
    owned.drained_routers = set(self.routers)
    self._enter_stage(owned, owner.Stage.QUIET, now)
    return [ownership.ReadState(owned.name)]


def is_always_newer(self, other):
    """Accept every revision of the tables, also an older one."""
    del other
    return True


def recover_without_checks(self):
    """End the faults and let time pass without the liveness checks.

    A disabled mechanism may break liveness first, but these tests are about
    safety violations.
    """
    self.world.heal()
    self.run_time(test_fuzz.RECOVERY_S)


class TestMutations(unittest.TestCase):
    def assert_detected(self, machine, expected, *patches):
        """Fuzz with the patches and match the oracle's message."""
        machine = type(
            machine.__name__, (machine,), {'recover': recover_without_checks}
        )
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            with self.assertRaises(AssertionError) as caught:
                test_fuzz.run(machine, SETTINGS)
        self.assertRegex(str(caught.exception), expected)

    def test_ownership_by_lease_alone(self):
        self.assert_detected(
            test_fuzz.Changes,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(
                owner.Owner, '_may_acquire', acquire_after_lease
            ),
        )

    def test_tokens_unchecked(self):
        self.assert_detected(
            test_fuzz.CheckingChanges,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(fakes.FakeEngine, 'is_old', lambda s, o: False),
        )

    def test_order_before_the_last_has_settled(self):
        self.assert_detected(
            test_fuzz.Changes,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(owner, 'MAX_ORDER_DELAY_S', 0.0),
        )

    def test_drain_without_acknowledgements(self):
        self.assert_detected(
            test_fuzz.Changes,
            'cut by a planned change',
            mock.patch.object(
                owner.Owner, '_tick_draining', drain_without_acknowledgements
            ),
        )

    def test_silent_router_is_not_waited_for(self):
        self.assert_detected(
            test_fuzz.Changes,
            'cut by a planned change',
            mock.patch.object(routers, 'REMOVAL_DELAY_S', 0.0),
            mock.patch.object(
                routers.RouterSet, 'current', lambda self: frozenset()
            ),
        )

    def test_stream_unchecked(self):
        self.assert_detected(
            test_fuzz.PlainCluster,
            'not whole',
            mock.patch.object(
                relay.StreamValidator, '_validate_event', accept_any_event
            ),
        )

    def test_dispatch_without_a_claim(self):
        self.assert_detected(
            test_fuzz.PlainCluster,
            'ran twice',
            mock.patch.object(
                claims.Shard, '_is_blocked', lambda self, *args: False
            ),
        )

    def test_broken_attempt_taken_as_not_run(self):
        self.assert_detected(
            test_fuzz.PlainCluster,
            'ran twice|not true|refused as not run',
            mock.patch.object(attempts.Attempts, 'end', end_as_not_run),
        )

    def test_revisions_not_monotonic(self):
        self.assert_detected(
            test_fuzz.PlainCluster,
            'reverted',
            mock.patch.object(
                tables.TablesHistory, 'is_newer', is_always_newer
            ),
        )

    def test_stop_without_waiting(self):
        self.assert_detected(
            test_fuzz.PlainCluster,
            'cut by a planned stop',
            mock.patch.object(node.Node, 'is_busy', lambda self: False),
        )


if __name__ == '__main__':
    unittest.main()
