"""Counting the entry VMs, over loopback and apart from it."""

import random
import unittest
from unittest import mock

import curio

from mangorock import presence
from tests import fleet


class Counting(unittest.TestCase):
    """A lapse of all leases does not widen anybody's share."""

    def test_lapsed_keys_that_come_back_change_nothing(self):
        census = presence.Census(8)
        for counted in (8, 8, 0, 1, 5, 8):
            self.assertEqual(8, census.take(counted))

    def test_growth_counts_at_once_and_shrinking_later(self):
        census = presence.Census(8)
        self.assertEqual(12, census.take(12))
        used = [census.take(4) for _ in range(presence.COUNTS_TO_SHRINK)]
        self.assertEqual([12] * (len(used) - 1) + [4], used)


class Announcing(unittest.TestCase):
    """A VM's key is written, and written again when its lease ends."""

    def test_key_is_written_again_after_a_lost_lease(self):
        async def main():
            with mock.patch.object(presence, 'RENEW_S', 0.02):
                async with fleet.Fleet() as desk:
                    store = desk.front.store
                    while desk.store.last_lease < 1:
                        await curio.sleep(0.01)
                    desk.store.last_lease += 1
                    while desk.store.requested_paths.count('/-/kv-txn') < 2:
                        await curio.sleep(0.01)
                    self.assertIn('mangorock/vms/vm-1', desk.store.items)
                    self.assertEqual(1, len(await presence.read_once(store)))

        random.seed(1)
        curio.run(main)


if __name__ == '__main__':
    unittest.main()
