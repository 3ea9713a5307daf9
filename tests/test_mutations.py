"""Each proof can fail: with a mechanism off, the fuzzing finds it out.

Every test switches one mechanism off, fuzzes within the budget that CI
uses, and asserts that the oracle reports the promise that it protects.
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


BUDGET = hypothesis.settings(test_fuzz.SETTINGS, max_examples=400)


def take_by_lease(self, event, now):
    """Let ownership pass with the lease alone."""
    del now
    record = event.record
    return record is None or record.is_released or not event.is_lease_alive


def accept_any(self, line):
    """Relay events without looking at ids and indexes."""
    if line == relay._DONE:
        self.is_complete = True
    else:
        self.next_index += 1
    return True


def end_without_doubt(self, address, end):
    """Forget that a broken attempt may have run."""
    self.last_end = end
    self.excluded.add(address)


def drain_without_asking(self, owned, now):
    """Skip the acknowledgements of the routers."""
    owned.drained_routers = set(self.routers)
    self._enter_stage(owned, owner.Stage.QUIET, now)
    return [ownership.ReadState(owned.name)]


def is_always_newer(self, other):
    """Take whatever revision comes."""
    del other
    return True


def heal_only(self):
    """Let time pass after the faults, without the checks of liveness.

    A mechanism that is off may break liveness first; the tests below are
    about what must never happen.
    """
    self.world.clear_faults()
    self.run_time(test_fuzz.RECOVERY_S)


class TestMutations(unittest.TestCase):
    def assert_found(self, machine, expected, *patches):
        """Fuzz with the patches on and expect the oracle's words."""
        machine = type(machine.__name__, (machine,), {'recover': heal_only})
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            with self.assertRaises(AssertionError) as caught:
                test_fuzz.run(machine, BUDGET)
        self.assertRegex(str(caught.exception), expected)

    def test_ownership_by_lease_alone(self):
        self.assert_found(
            test_fuzz.Changes,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(owner.Owner, '_may_acquire', take_by_lease),
        )

    def test_tokens_unchecked(self):
        self.assert_found(
            test_fuzz.CheckingChanges,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(
                fakes.FakeEngine, 'is_stale', lambda s, o: False
            ),
        )

    def test_order_before_the_last_has_settled(self):
        self.assert_found(
            test_fuzz.Changes,
            'lapsed owner|conflicting orders|cut by a planned change',
            mock.patch.object(owner, 'MAX_ORDER_DELAY_S', 0.0),
        )

    def test_drain_without_acknowledgements(self):
        self.assert_found(
            test_fuzz.Changes,
            'cut by a planned change',
            mock.patch.object(
                owner.Owner, '_tick_draining', drain_without_asking
            ),
        )

    def test_silent_router_is_not_waited_for(self):
        self.assert_found(
            test_fuzz.Changes,
            'cut by a planned change',
            mock.patch.object(routers, 'REMOVAL_DELAY_S', 0.0),
            mock.patch.object(
                routers.RouterSet, 'current', lambda self: frozenset()
            ),
        )

    def test_stream_unchecked(self):
        self.assert_found(
            test_fuzz.PlainCluster,
            'not whole',
            mock.patch.object(
                relay.StreamValidator, '_validate_event', accept_any
            ),
        )

    def test_dispatch_without_a_claim(self):
        self.assert_found(
            test_fuzz.PlainCluster,
            'ran twice',
            mock.patch.object(
                claims.Shard, '_is_blocked', lambda self, *args: False
            ),
        )

    def test_broken_attempt_taken_as_not_run(self):
        self.assert_found(
            test_fuzz.PlainCluster,
            'ran twice|not true|refused as not run',
            mock.patch.object(attempts.Attempts, 'end', end_without_doubt),
        )

    def test_revisions_not_monotonic(self):
        self.assert_found(
            test_fuzz.PlainCluster,
            'reverted',
            mock.patch.object(
                tables.TablesHistory, 'is_newer', is_always_newer
            ),
        )

    def test_stop_without_waiting(self):
        self.assert_found(
            test_fuzz.PlainCluster,
            'cut by a planned stop',
            mock.patch.object(node.Node, 'is_busy', lambda self: False),
        )


if __name__ == '__main__':
    unittest.main()
