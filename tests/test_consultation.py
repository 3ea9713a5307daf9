"""Asking another VM where a prompt goes, over loopback and apart from it."""

import unittest

import attrs
import curio

from mangorock import consultation
from mangorock import membership
from mangorock import mirror
from mangorock import scheduler
from tests import ports
from tests import test_scheduler


def make_peers(count, region='r'):
    return [
        consultation.Peer(f'vm{n}', region, ('127.0.0.1', 7000 + n))
        for n in range(count)
    ]


def make_directory(vm, peers):
    me = consultation.Peer(vm, 'r', ('127.0.0.1', 9))
    directory = consultation.Directory(me)
    directory.update_peers(peers)
    return directory


class Choice(unittest.TestCase):
    """Who schedules a service."""

    def test_all_vms_choose_the_same(self):
        peers = make_peers(40)
        chosen = set()
        for peer in peers:
            found = make_directory(peer.vm, peers).scheduler_of('s', 0.0)
            chosen.add(peer.vm if found is None else found.vm)
        self.assertEqual(1, len(chosen))

    def test_silent_vm_is_passed_over_for_a_while(self):
        directory = make_directory('other', make_peers(5))
        first = directory.scheduler_of('s', 0.0).vm
        directory.on_timeout(first, 0.0)
        # One lost datagram is no sign yet.
        self.assertEqual(first, directory.scheduler_of('s', 0.1).vm)
        directory.on_timeout(first, 0.0)
        second = directory.scheduler_of('s', 0.1)
        self.assertNotEqual(first, second and second.vm)
        later = consultation.SKIP_S + 0.1
        self.assertEqual(first, directory.scheduler_of('s', later).vm)

    def test_vm_alone_schedules_itself(self):
        directory = make_directory('vm0', make_peers(1))
        self.assertIsNone(directory.scheduler_of('s', 0.0))

    def test_another_vm_orders_than_the_one_that_schedules(self):
        peers = make_peers(5)
        first = make_directory('other', peers).scheduler_of('s', 0.0).vm
        directory = make_directory(first, peers)
        self.assertIsNone(directory.scheduler_of('s', 0.0))
        self.assertIsNotNone(directory.stage_controller_of('s', 0.0))
        alone = make_directory('vm0', make_peers(1))
        self.assertIsNone(alone.stage_controller_of('s', 0.0))

    def test_small_vms_do_not_schedule(self):
        small = [attrs.evolve(p, capacity=0.4) for p in make_peers(9)]
        large = consultation.Peer('large', 'r', ('127.0.0.1', 1), 2.0)
        directory = make_directory('vm3', [*small, large])
        self.assertEqual(large, directory.scheduler_of('s', 0.0))

    def test_other_regions_are_not_asked(self):
        directory = make_directory('vm9', make_peers(5, 'far'))
        self.assertIsNone(directory.scheduler_of('s', 0.0))


class Messages(unittest.TestCase):
    """What goes over the wire between VMs."""

    def test_each_message_comes_back_as_it_was(self):
        for message in (
            test_scheduler.make_ask('r1', tried=('a', 'b')),
            scheduler.Assignment('d', 'p', '', 3700, 0.2),
            scheduler.Busy(0.1),
            scheduler.Hopeless(9.0),
            scheduler.Away('s', 'd', 6.0),
            scheduler.Wish('s', 'd', 'prefill'),
            scheduler.Notice('s', 'r1', 0.2, 'p', 'd', 1, 2, 8),
        ):
            data = consultation.encode(7, message)
            self.assertEqual((7, message), consultation.decode(data))

    def test_bytes_that_are_no_message_are_refused(self):
        whole = consultation.encode(1, test_scheduler.make_ask('r1'))
        for data in (
            b'',
            b'[]',
            b'7',
            b'["Ask", 1, {}]',
            b'["Peer", 1, {"vm": "x"}]',
            whole[:-4],
            whole.replace(b'3700', b'"x"'),
            whole.replace(b'[]', b'[4]'),
        ):
            with self.assertRaises(ValueError):
                consultation.decode(data)

    def test_key_of_another_writer_names_no_vm(self):
        peer = consultation.Peer('vm3', 'r', ('10.0.0.1', 7000), 2.0)
        good = consultation.encode_peer(peer)
        item = mirror.Item('mangorock/vms/vm3', good, 1)
        self.assertEqual(peer, consultation.decode_peer(item))
        for value in (b'', b'x', b'["r", "no.address", 1]', b'[1]'):
            bad = attrs.evolve(item, value=value)
            self.assertIsNone(consultation.decode_peer(bad))


class Asking(unittest.TestCase):
    """Two VMs over loopback."""

    def run_pair(self, body):
        async def main():
            engines = test_scheduler.make_engines()
            found = {'s': scheduler.Scheduler(test_scheduler.KV_TOKENS)}
            address = '127.0.0.1', ports.free_port()
            first, second = membership.rank('s', ['vm0', 'vm1'])
            peers = [consultation.Peer(first, 'r', address)]
            asked = consultation.SchedulerEndpoint(
                make_directory(first, peers),
                found.get,
                lambda service: engines,
                lambda server_id, seconds: None,
            )
            asking = consultation.SchedulerEndpoint(
                make_directory(second, peers),
                lambda service: None,
                lambda service: [],
                lambda server_id, seconds: None,
            )
            await asked.start(address)
            await asking.start(('127.0.0.1', ports.free_port()))
            try:
                await body(asked, asking, found['s'])
            finally:
                await asked.close()
                await asking.close()

        curio.run(main)

    def test_scheduler_answers_and_takes_the_notice(self):
        async def body(asked, asking, found):
            ask = test_scheduler.make_ask('r1')
            answer = await asking.ask(ask)
            self.assertIsInstance(answer, scheduler.Assignment)
            asking.report_outcome(test_scheduler.make_notice(ask, 0.2))
            async with curio.timeout_after(1.0):
                while found.jobs:
                    await curio.sleep(0.005)

        self.run_pair(body)

    def test_silent_scheduler_costs_one_request_little(self):
        async def body(asked, asking, found):
            await asked.close()
            self.assertIsNone(await asking.ask(test_scheduler.make_ask('r1')))
            self.assertTrue(asking.directory.timeouts)
            self.assertIsNone(await asking.ask(test_scheduler.make_ask('r2')))

        self.run_pair(body)

    def test_malformed_datagram_is_skipped(self):
        async def body(asked, asking, found):
            peers = asking.directory.peers.values()
            for peer in peers:
                asking.raw_socket.sendto(b'\xff\x00', peer.address)
            answer = await asking.ask(test_scheduler.make_ask('r1'))
            self.assertIsInstance(answer, scheduler.Assignment)

        self.run_pair(body)


if __name__ == '__main__':
    unittest.main()
