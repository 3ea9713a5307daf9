"""Tests of the VMs' presence keys and their count, partly over loopback."""

import random
import unittest
from unittest import mock

import curio

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


if __name__ == '__main__':
    unittest.main()
