"""Tests of the VMs' presence keys and their count, partly over loopback."""

import random
import unittest
from unittest import mock

import curio

from mangorock import errors
from mangorock import presence
from tests import fleet


class Counting(unittest.TestCase):
    """A simultaneous lapse of all leases does not enlarge any VM's share."""

    def test_keys_that_lapse_and_return_change_nothing(self):
        counter = presence.VmCounter(8)
        for counted in (8, 8, 0, 1, 5, 8):
            self.assertEqual(8, counter.add_count(counted))

    def test_growth_counts_at_once_and_shrinking_is_delayed(self):
        counter = presence.VmCounter(8)
        self.assertEqual(12, counter.add_count(12))
        vms = [counter.add_count(4) for _ in range(presence.COUNTS_TO_SHRINK)]
        self.assertEqual([12] * (len(vms) - 1) + [4], vms)


class Announcing(unittest.TestCase):
    """A VM writes its key, and writes it again after its lease has ended."""

    def test_key_is_written_again_after_a_lost_lease(self):
        async def main():
            with mock.patch.object(presence, 'RENEW_S', 0.02):
                async with fleet.Fleet() as test_fleet:
                    store = test_fleet.front.store
                    while test_fleet.store.last_lease < 1:
                        await curio.sleep(0.01)
                    test_fleet.store.last_lease += 1
                    while (
                        test_fleet.store.requested_paths.count('/-/kv-txn') < 2
                    ):
                        await curio.sleep(0.01)
                    self.assertIn('mangorock/vms/vm-1', test_fleet.store.items)
                    self.assertEqual(1, len(await presence.list_items(store)))

        random.seed(1)
        curio.run(main)

    def test_key_is_written_although_its_first_write_failed(self):
        # The lease was kept from then on, and the key never written.
        put = fleet.stores.Store.put
        failures = [errors.PlatformUnavailable('no answer')]

        async def fail_once(*args):
            if failures:
                raise failures.pop()
            return await put(*args)

        async def main():
            with (
                mock.patch.object(presence, 'RENEW_S', 0.02),
                mock.patch.object(fleet.stores.Store, 'put', fail_once),
            ):
                async with fleet.Fleet() as test_fleet:
                    await fleet.wait_until(
                        lambda: 'mangorock/vms/vm-1' in test_fleet.store.items
                    )

        curio.run(main)


if __name__ == '__main__':
    unittest.main()
