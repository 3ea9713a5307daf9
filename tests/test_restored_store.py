"""Tests of a store that comes back from an older copy.

What was written since the copy is gone, leases too, and revisions and leases
are given out again.
"""

import random
import types
import unittest
from unittest import mock

import curio

from mangorock import duty_calls
from mangorock import eras
from mangorock import errors
from mangorock import isolation
from mangorock import leadership
from mangorock import metrics
from mangorock import mirror
from mangorock import presence
from mangorock import usage
from mangorock import usage_reports
from tests import fleet
from tests import test_front
from tests import vm_fleet
from tests import wire_store
from tests import workers

LEASE_S = 6.0
KEY = 'mangorock/duties'
SEEDS = 150
STEPS = 400
WINDOW_S = 5.0
STEP_S = 0.5


def make_store(wire, clock):
    """Return the real client of a `wire_store.WireStore`."""
    store = fleet.stores.Store('10.0.0.9:1', wire)
    store.clock = clock
    return store


class Leaders:
    """VMs that seek one leadership, and order when they may."""

    def __init__(self, seed, vms=3):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.wire = wire_store.WireStore(self.clock)
        self.orders = []
        self.holders = [
            leadership.make_lease_holder(
                f'vm-{number}',
                KEY,
                LEASE_S,
                make_store(self.wire, self.clock),
                clock=self.clock,
            )
            for number in range(vms)
        ]

    def clock(self):
        """Return the time of the simulation."""
        return self.now

    async def run(self):
        """Let VMs act in random order beside outages and restores."""
        for _ in range(STEPS):
            self.now += self.rng.choice((0.05, 0.25, 0.5, 1.0))
            chance = self.rng.random()
            if chance < 0.02:
                self.wire.restore(self.rng.uniform(0.0, 12.0))
            elif chance < 0.05:
                self.wire.is_away = not self.wire.is_away
            holder = self.rng.choice(self.holders)
            if self.rng.random() < 0.7:
                try:
                    await holder.ensure()
                except errors.PlatformUnavailable:
                    continue
            if holder.may_act():
                self.orders.append((self.now, holder.vm, holder.fence))

    def find_conflict(self):
        """Return a description of two leaders' conflict, or None."""
        holders = {}
        for before, after in zip(self.orders, self.orders[1:]):
            if after[2] < before[2]:
                return f'fence {after} after {before}'
            if before[1] != after[1] and after[0] - before[0] < LEASE_S / 2:
                return f'{after} too soon after {before}'
        for _, vm, fence in self.orders:
            if holders.setdefault(fence, vm) != vm:
                return f'fence {fence} of {vm} and {holders[fence]}'
        return None


def find_conflict():
    """Return the first conflict of the seeds, or None."""
    for seed in range(SEEDS):
        leaders = Leaders(seed)
        curio.run(leaders.run)
        found = leaders.find_conflict()
        if found is not None:
            return f'seed {seed}: {found}'
    return None


class Leading(unittest.TestCase):
    """Orders of two leaders, one of whom has lost its lease unnoticed."""

    def test_tokens_grow_and_leaders_do_not_overlap(self):
        # Guards against a token that a restored store gives out again, and a
        # holder that believes in a lease which the copy does not have.
        self.assertIsNone(find_conflict())

    def test_finds_tokens_without_an_era(self):
        with mock.patch.object(
            eras, 'make_position', lambda era, revision: revision
        ):
            self.assertIsNotNone(find_conflict())

    def test_finds_a_leader_that_does_not_wait_for_the_earlier_leases(self):
        with mock.patch.object(
            eras.Eras, 'may_lead', lambda self, lease_s, now: True
        ):
            self.assertIsNotNone(find_conflict())

    def test_finds_a_lease_of_an_earlier_era_that_is_kept(self):
        def drop_expired(self):
            if self.leadership.is_expired(self.clock()):
                self.leadership.lose()
            self.era = self.store.eras.era

        with (
            mock.patch.object(
                leadership.LeaseHolder, 'drop_expired', drop_expired
            ),
            mock.patch.object(
                fleet.stores.Store, '_check_lease', lambda self, lease: None
            ),
        ):
            self.assertIsNotNone(find_conflict())

    def test_some_orders_are_sent_in_later_eras(self):
        leaders = Leaders(1)
        curio.run(leaders.run)
        self.assertGreater(len(leaders.orders), 10)
        self.assertGreater(len({vm for _, vm, _ in leaders.orders}), 1)


class Reporters(Leaders):
    """VMs of which the leader reports the windows of usage."""

    def __init__(self, seed, vms=3):
        super().__init__(seed, vms)
        self.reports = []
        self.jobs = {}
        for number, holder in enumerate(self.holders):
            self.jobs[holder.vm] = usage_reports.UsageReports(
                make_exchange(holder.vm, self.clock, number),
                holder.store,
                self,
                metrics.Metrics(),
                False,
            )

    async def call(self, report, fence):
        """Take a report as the platform does."""
        self.reports.append((report.window, report.counts, fence))
        return self.rng.choice(
            (duty_calls.CallEnd.TAKEN, duty_calls.CallEnd.UNKNOWN)
        )

    async def run(self):
        """Let the leader report beside outages and restores."""
        for _ in range(STEPS):
            chance = self.rng.random()
            if chance < 0.01:
                self.wire.restore(self.rng.uniform(0.0, 12.0))
            elif chance < 0.03:
                self.wire.is_away = not self.wire.is_away
            await self.step()

    async def step(self):
        """Let each VM seek the leadership, and report if it has it."""
        self.now += STEP_S
        for holder in self.rng.sample(self.holders, len(self.holders)):
            known_fence = holder.fence
            try:
                if not await holder.ensure():
                    continue
            except errors.PlatformUnavailable:
                continue
            job = self.jobs[holder.vm]
            if holder.fence != known_fence:
                job.reset()
            await job.step(holder)

    def find_contradiction(self):
        """Return a window with two reports, or None."""
        known = {}
        for window, counts, _ in self.reports:
            if known.setdefault(window, counts) != counts:
                return f'window {window}: {known[window]}, {counts}'
        return None


def make_exchange(vm, clock, number):
    """Return what `usage_reports.UsageReports` needs of an exchange."""
    windows = usage.Windows(WINDOW_S, 10.0)
    return types.SimpleNamespace(
        vm=vm,
        clock=clock,
        unix_s=clock,
        counter=types.SimpleNamespace(windows=windows),
        endpoint=types.SimpleNamespace(
            directory=types.SimpleNamespace(all_peers=(), peers={'x': 1})
        ),
        collector=types.SimpleNamespace(
            parts=[windows.at(clock())],
            reported=lambda window: {vm},
            totals=lambda window: {'acme': 1000 * number + window % 1000},
        ),
    )


class Reporting(unittest.TestCase):
    """Reports of windows whose only record was lost."""

    def test_no_window_is_reported_twice_with_other_counts(self):
        # Guards against a lost report that is made anew with other counts.
        for seed in range(SEEDS // 3):
            reporters = Reporters(seed)
            curio.run(reporters.run)
            found = reporters.find_contradiction()
            self.assertIsNone(found, f'seed {seed}')

    def test_finds_a_window_that_is_reported_again(self):
        with mock.patch.object(
            usage_reports.UsageReports, '_last_ended', lambda self: 0
        ):
            found = None
            for seed in range(SEEDS // 3):
                reporters = Reporters(seed)
                curio.run(reporters.run)
                found = found or reporters.find_contradiction()
            self.assertIsNotNone(found)

    def test_windows_are_reported_on_after_a_restore(self):
        # Guards against a caution that reports nothing any more.
        reporters = Reporters(2)

        async def main():
            for steps in (80, 120):
                for _ in range(steps):
                    await reporters.step()
                reporters.wire.restore(9.0)

        curio.run(main)
        self.assertIsNone(reporters.find_contradiction())
        windows = {window for window, _, _ in reporters.reports}
        self.assertGreater(len(windows), 200 * STEP_S / WINDOW_S - 6)


class Following(unittest.TestCase):
    """What a VM has of the store after a restore that it did not notice."""

    @test_front.run
    async def test_change_behind_a_passed_revision_is_read(self):
        # Guards against a watch from a revision of the earlier history.
        async with fleet.Fleet(stable_s=1.0) as cluster:
            store = cluster.store
            copy = store.take_copy()
            for number in range(20):
                store.put(f'mangorock/vms/other-{number}', b'x')
            await cluster.wait_for_updates()
            store.is_silent = True
            await curio.sleep(0.1)
            store.restore(copy)
            store.put('op/config', fleet.make_config(9))
            for number in range(30):
                store.put(f'mangorock/vms/again-{number}', b'x')
            store.is_silent = False
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 9, 4.0
            )

    @test_front.run
    async def test_own_key_is_written_anew(self):
        # Guards against a lease whose id another VM has now.
        with mock.patch.object(presence, 'RENEW_S', 0.05):
            async with fleet.Fleet() as cluster:
                store, key = cluster.store, 'mangorock/vms/vm-1'
                copy = store.take_copy()
                await fleet.wait_until(lambda: key in store.items)
                copy.items.pop(key, None)
                lease = store.last_lease
                store.restore(copy)
                store.last_lease = lease
                await fleet.wait_until(lambda: key in store.items, 3.0)

    @test_front.run
    async def test_lost_quarantine_is_not_lifted(self):
        # Guards against a loss that is taken for an operator's decision.
        with mock.patch.multiple(
            isolation,
            LIST_INTERVAL_S=0.05,
            STORE_DELAY_S=(0.0, 0.01),
            STORE_OTHERS_DELAY_S=(0.0, 0.01),
        ):
            async with fleet.Fleet() as cluster:
                store = cluster.store
                key = isolation.PREFIX + 'dead'
                copy = store.take_copy()
                gateway = cluster.front.gateway
                gateway.quarantine.adopt('dead', 60.0, 0.0)
                gateway.quarantine.quarantined['dead'].until_s = 1e12
                await gateway.isolation._apply('dead', (0.0, 0.01))
                await fleet.wait_until(lambda: key in store.items)
                await curio.sleep(0.2)
                store.restore(copy)
                for number in range(30):
                    store.put(f'mangorock/vms/again-{number}', b'x')
                await curio.sleep(0.5)
                self.assertIn('dead', gateway.quarantine.quarantined)
                await fleet.wait_until(lambda: key in store.items, 3.0)

    @test_front.run
    async def test_older_configuration_of_the_copy_is_not_taken(self):
        async with fleet.Fleet() as cluster:
            store = cluster.store
            copy = store.take_copy()
            store.put('op/config', fleet.make_config(9))
            await cluster.wait_for_updates()
            store.restore(copy)
            await curio.sleep(1.0)
            self.assertEqual(9, cluster.front.gateway.catalog.version)
            store.put('op/config', fleet.make_config(12))
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 12, 3.0
            )


class Starting(unittest.TestCase):
    """A VM that starts while the store has only the copy."""

    @test_front.run
    async def test_configuration_that_neighbours_know_is_not_forgotten(self):
        # Guards against a VM that serves an older configuration than others.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with vm_fleet.VmFleet(2, worker) as cluster:
            store, (neighbour, vm) = cluster.store, cluster.vms
            copy = store.take_copy()
            store.put('op/config', fleet.make_config(9))
            await fleet.wait_until(
                lambda: neighbour.front.gateway.catalog.version == 9, 5.0
            )
            await vm.front.close()
            store.restore(copy)
            await vm.start_front()
            await curio.sleep(1.5)
            version = vm.front.gateway.catalog.version
            self.assertFalse(vm.front.is_ready and version < 9, version)


class Calls(unittest.TestCase):
    """Single calls that an answer of another era meets."""

    def setUp(self):
        self.now = 100.0
        self.wire = wire_store.WireStore(lambda: self.now)
        self.store = make_store(self.wire, lambda: self.now)

    def test_lease_of_an_earlier_era_is_lost(self):
        async def main():
            lease = await self.store.grant_lease(LEASE_S)
            self.wire.restore(10.0)
            other = make_store(self.wire, lambda: self.now)
            await other.grant_lease(LEASE_S)
            with self.assertRaises(presence.LeaseLost):
                await self.store.keep_lease(lease)
            with self.assertRaises(presence.LeaseLost):
                await self.store.create('k', b'v', lease)

        curio.run(main)

    def test_key_under_the_lease_of_another_vm_is_removed(self):
        async def main():
            lease = await self.store.grant_lease(LEASE_S)
            self.wire.restore(10.0)
            other = make_store(self.wire, lambda: self.now)
            await other.grant_lease(LEASE_S)
            with self.assertRaises(presence.LeaseLost):
                await self.store.create('k', b'v', lease)
            self.assertNotIn('k', self.wire.contents.items)

        curio.run(main)

    def test_answer_of_an_earlier_era_is_no_answer(self):
        async def main():
            self.wire.era = 2
            await self.store.read('k')
            self.wire.era = 1
            with self.assertRaises(errors.PlatformUnavailable):
                await self.store.read('k')

        curio.run(main)

    def test_watch_from_an_earlier_era_has_no_history(self):
        async def main():
            lease = await self.store.grant_lease(LEASE_S)
            position = await self.store.create('k', b'v', lease)
            self.wire.restore(10.0)
            await self.store.read('k')
            with self.assertRaises(mirror.HistoryLost):
                await self.store.watch('', position, 1.0, 2.0)

        curio.run(main)


if __name__ == '__main__':
    unittest.main()
