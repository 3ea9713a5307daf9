"""Tests the choice of the scheduler and its messages over loopback."""

import unittest
from unittest import mock

import attrs
import curio

from mangorock import consultation
from mangorock import directory as directories
from mangorock import membership
from mangorock import messages
from mangorock import mirror
from mangorock import scheduler
from mangorock_standins import ports
from tests import test_scheduler


def make_peers(count, region='r'):
    return [
        directories.Peer(f'vm{n}', region, ('127.0.0.1', 7000 + n))
        for n in range(count)
    ]


def make_directory(vm, peers):
    me = directories.Peer(vm, 'r', ('127.0.0.1', 9))
    directory = directories.Directory(me)
    directory.update_peers(peers)
    return directory


class SchedulerChoice(unittest.TestCase):
    """Which VM schedules a service."""

    def test_all_vms_choose_the_same_scheduler(self):
        peers = make_peers(40)
        chosen = set()
        for peer in peers:
            found = make_directory(peer.vm, peers).scheduler_of('s', 0.0)
            chosen.add(peer.vm if found is None else found.vm)
        self.assertEqual(1, len(chosen))

    def test_silent_vm_is_skipped_for_a_while(self):
        directory = make_directory('other', make_peers(5))
        first = directory.scheduler_of('s', 0.0).vm
        directory.on_timeout(first, 0.0)
        # A single lost datagram must not skip the VM.
        self.assertEqual(first, directory.scheduler_of('s', 0.1).vm)
        directory.on_timeout(first, 0.0)
        second = directory.scheduler_of('s', 0.1)
        self.assertNotEqual(first, second and second.vm)
        later = directories.SKIP_S + 0.1
        self.assertEqual(first, directory.scheduler_of('s', later).vm)

    def test_vm_that_returns_is_not_skipped_for_one_lost_datagram(self):
        directory = make_directory('other', make_peers(5))
        first = directory.scheduler_of('s', 0.0).vm
        for _ in range(directories.MAX_TIMEOUTS):
            directory.on_timeout(first, 0.0)
        later = directories.SKIP_S + 0.1
        directory.on_timeout(first, later)
        self.assertEqual(first, directory.scheduler_of('s', later).vm)

    def test_single_vm_schedules_itself(self):
        directory = make_directory('vm0', make_peers(1))
        self.assertIsNone(directory.scheduler_of('s', 0.0))

    def test_scheduler_and_stage_controller_differ(self):
        peers = make_peers(5)
        first = make_directory('other', peers).scheduler_of('s', 0.0).vm
        directory = make_directory(first, peers)
        self.assertIsNone(directory.scheduler_of('s', 0.0))
        self.assertIsNotNone(directory.stage_controller_of('s', 0.0))
        alone = make_directory('vm0', make_peers(1))
        self.assertIsNone(alone.stage_controller_of('s', 0.0))

    def test_small_vms_do_not_schedule(self):
        small = [attrs.evolve(p, capacity=0.4) for p in make_peers(9)]
        large = directories.Peer('large', 'r', ('127.0.0.1', 1), 2.0)
        directory = make_directory('vm3', [*small, large])
        self.assertEqual(large, directory.scheduler_of('s', 0.0))

    def test_other_regions_are_not_asked(self):
        directory = make_directory('vm9', make_peers(5, 'far'))
        self.assertIsNone(directory.scheduler_of('s', 0.0))


class Messages(unittest.TestCase):
    """The encoding of messages between VMs."""

    def test_messages_survive_a_round_trip(self):
        for message in (
            test_scheduler.make_request('r1', tried=('a', 'b')),
            messages.Assignment('d', 'p', '', 3700, 0.2, 0.1),
            messages.Queued(0.1),
            messages.Rejection(9.0),
            messages.EnginePause('s', 'd', 6.0),
            messages.StageRequest('s', 'd', 'prefill'),
            messages.Outcome('s', 'r1', 0.2, 'p', 'd', 1, 2, 8),
            test_scheduler.make_request('r1', avoided=('a', 'b')),
            messages.ServerLimit('i-1', 7, '10.0.0.1:80', 1.5),
            messages.ServerLimit('i-1', 7, '10.0.0.1:80', None),
        ):
            data = consultation.encode(7, message)
            self.assertEqual((7, message), consultation.decode(data))

    def test_malformed_datagrams_are_rejected(self):
        whole = consultation.encode(1, test_scheduler.make_request('r1'))
        for data in (
            b'',
            b'[]',
            b'7',
            b'["PlacementRequest", 1, {}]',
            b'["Peer", 1, {"vm": "x"}]',
            whole[:-4],
            whole.replace(b'3700', b'"x"'),
            whole.replace(b'[]', b'[4]'),
            whole.replace(b'3700', b'-1'),
            whole.replace(b'3700', b'1e300'),
            whole.replace(b'3700', b'true'),
            whole.replace(b',1,', b',[],'),
        ):
            with self.assertRaises(ValueError):
                consultation.decode(data)

    def test_malformed_key_yields_no_peer(self):
        peer = directories.Peer('vm3', 'r', ('10.0.0.1', 7000), 2.0)
        good = directories.encode_peer(peer)
        item = mirror.Item('mangorock/vms/vm3', good, 1)
        self.assertEqual(peer, directories.decode_peer(item))
        for value in (b'', b'x', b'["r", "no.address", 1]', b'[1]'):
            bad = attrs.evolve(item, value=value)
            self.assertIsNone(directories.decode_peer(bad))


class MessageExchange(unittest.TestCase):
    """Two VMs that exchange messages over loopback."""

    def run_with_endpoints(self, body):
        async def main():
            engines = test_scheduler.make_engines()
            found = {'s': scheduler.Scheduler(test_scheduler.PROFILE)}
            address = '127.0.0.1', ports.free_port()
            first, second = membership.rank('s', ['vm0', 'vm1'])
            peers = [directories.Peer(first, 'r', address)]
            answering = consultation.SchedulerEndpoint(
                make_directory(first, peers),
                found.get,
                lambda service: engines,
                lambda server_id, seconds: None,
            )
            requesting = consultation.SchedulerEndpoint(
                make_directory(second, peers),
                lambda service: None,
                lambda service: [],
                lambda server_id, seconds: None,
            )
            await answering.start(address)
            await requesting.start(('127.0.0.1', ports.free_port()))
            try:
                await body(answering, requesting, found['s'])
            finally:
                await answering.close()
                await requesting.close()

        curio.run(main)

    def test_scheduler_replies_and_records_the_outcome(self):
        async def body(answering, requesting, found):
            ask = test_scheduler.make_request('r1')
            answer = await requesting.ask(lambda: ask)
            self.assertIsInstance(answer, messages.Assignment)
            requesting.report_outcome(test_scheduler.make_outcome(ask, 0.2))
            async with curio.timeout_after(1.0):
                while found.jobs:
                    await curio.sleep(0.005)

        self.run_with_endpoints(body)

    def test_silent_scheduler_yields_no_reply(self):
        async def body(answering, requesting, found):
            await answering.close()
            self.assertIsNone(
                await requesting.ask(lambda: test_scheduler.make_request('r1'))
            )
            self.assertTrue(requesting.directory.timeouts)
            self.assertIsNone(
                await requesting.ask(lambda: test_scheduler.make_request('r2'))
            )

        self.run_with_endpoints(body)

    def test_message_of_another_build_is_dropped(self):
        # In a fleet halfway through a rollout, VMs of the build before ask
        # with `Ask`; the scheduler goes on serving those of its own build.
        async def body(answering, requesting, found):
            old = b'["Ask",3,{"service":"s","request_id":"r0","tried":[]}]'
            for peer in requesting.directory.peers.values():
                requesting.raw_socket.sendto(old, peer.address)
            answer = await requesting.ask(
                lambda: test_scheduler.make_request('r1')
            )
            self.assertIsInstance(answer, messages.Assignment)

        self.run_with_endpoints(body)

    def test_scheduler_of_another_build_is_taken_as_silent(self):
        async def body(answering, requesting, found):
            known = dict(consultation.MESSAGES)
            del known['PlacementRequest']
            # Only the answering side decodes requests.
            with mock.patch.object(consultation, 'MESSAGES', known):
                answer = await requesting.ask(
                    lambda: test_scheduler.make_request('r1')
                )
            self.assertIsNone(answer)

        self.run_with_endpoints(body)

    def test_error_while_handling_a_message_ends_nothing(self):
        async def body(answering, requesting, found):
            backlog, found.backlog = found.backlog, None
            self.assertIsNone(
                await requesting.ask(lambda: test_scheduler.make_request('r1'))
            )
            found.backlog = backlog
            answer = await requesting.ask(
                lambda: test_scheduler.make_request('r2')
            )
            self.assertIsInstance(answer, messages.Assignment)

        self.run_with_endpoints(body)

    def test_queued_prompt_is_assigned_when_an_engine_frees(self):
        async def body(answering, requesting, found):
            for number in range(6):
                await requesting.ask(
                    lambda: test_scheduler.make_request('r%d' % number)
                )
            waiting = await curio.spawn(
                requesting.ask,
                lambda: test_scheduler.make_request(
                    'late', target_left_s=9.0, left_s=9.0
                ),
            )
            await curio.sleep(0.1)
            self.assertIn('late', found.backlog.prompts)
            for number in range(6):
                request = test_scheduler.make_request('r%d' % number)
                requesting.report_outcome(
                    test_scheduler.make_outcome(request, 0.1)
                )
            async with curio.timeout_after(1.0):
                answer = await waiting.join()
            self.assertIsInstance(answer, messages.Assignment)

        self.run_with_endpoints(body)

    def test_prompt_whose_caller_left_does_not_wait(self):
        async def body(answering, requesting, found):
            for number in range(6):
                await requesting.ask(
                    lambda: test_scheduler.make_request('r%d' % number)
                )
            waiting = await curio.spawn(
                requesting.ask,
                lambda: test_scheduler.make_request(
                    'left', target_left_s=9.0, left_s=9.0
                ),
            )
            await curio.sleep(0.1)
            self.assertIn('left', found.backlog.prompts)
            await waiting.cancel()
            async with curio.timeout_after(1.0):
                while found.backlog.prompts:
                    await curio.sleep(0.005)

        self.run_with_endpoints(body)

    def test_prompt_of_a_removed_service_does_not_wait(self):
        # A prompt at the own scheduler waited until its deadline.
        async def body(answering, requesting, found):
            services = {'s': found}
            answering.schedulers = services.get
            for number in range(6):
                await answering.ask(
                    lambda: test_scheduler.make_request('r%d' % number)
                )
            waiting = await curio.spawn(
                answering.ask,
                lambda: test_scheduler.make_request(
                    'late', target_left_s=9.0, left_s=9.0
                ),
            )
            async with curio.timeout_after(1.0):
                while 'late' not in found.backlog.prompts:
                    await curio.sleep(0.005)
            services.clear()
            async with curio.timeout_after(2.0):
                self.assertIsNone(await waiting.join())

        self.run_with_endpoints(body)

    def test_malformed_datagram_is_skipped(self):
        async def body(answering, requesting, found):
            peers = requesting.directory.peers.values()
            for peer in peers:
                requesting.raw_socket.sendto(b'\xff\x00', peer.address)
            answer = await requesting.ask(
                lambda: test_scheduler.make_request('r1')
            )
            self.assertIsInstance(answer, messages.Assignment)

        self.run_with_endpoints(body)


if __name__ == '__main__':
    unittest.main()
