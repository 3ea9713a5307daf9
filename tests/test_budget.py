"""Tests of the retry budget of each service.

Entry VMs are processes; the store, the servers and the callers are stand-ins
in this process, which count every arrival at a server.
"""

import itertools
import pathlib
import random
import signal
import tempfile
import time
import unittest

import curio
import h11

from mangorock import budget
from mangorock import client as clients
from tests import arrivals
from tests import fleet
from tests import soak_backends
from tests import soak_proxy
from tests import soak_vms
from tests import soak_world
from tests import workers

VMS = 3
START_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 6.0


class Desk:
    """Entry VMs before servers of which some refuse.

    ``rates`` maps the kinds of requests to requests a second; the servers
    whose names begin with ``refusing`` refuse this ``share`` of what they get.
    """

    def __init__(self, folder, rates, refusing, share=1.0):
        self.rates, self.refusing, self.share = rates, refusing, share
        self.rng = random.Random(1)
        self.log = arrivals.ArrivalLog()
        self.checker = soak_world.InvariantChecker()
        self.is_refusing = False
        self.store = fleet.Store()
        self.store.put('op/config', fleet.make_config(2))
        stages = [('desk', None)] * 3
        stages += [('llm', 'prefill')] * 2 + [('llm', 'decode')] * 4
        self.servers = [
            self._make_server(f'{stage or service}-{number}', service, stage)
            for number, (service, stage) in enumerate(stages)
        ]
        self.vms = [
            soak_vms.Vm(n, folder, soak_proxy.Proxy(('127.0.0.1', 0)))
            for n in range(VMS)
        ]
        self.client = clients.Client()
        self.ids = itertools.count()

    def _make_server(self, name, service, stage):
        server = soak_backends.Server(
            name, service, self.checker, random.Random(name), stage
        )
        sound_run = server.script[0]

        def run(request):
            if not request.request_id:
                # A report, or a handle that is freed.
                return sound_run(request)
            is_refused = (
                self.is_refusing
                and name.startswith(self.refusing)
                and self.rng.random() < self.share
            )
            self.log.record_arrival(
                request, service, not is_refused, time.monotonic()
            )
            if is_refused:
                return workers.not_executed_response(request)
            return sound_run(request)

        server.script = [run]
        self.store.put(f'servers/{name}', server.entry())
        return server

    async def start(self):
        """Start all and wait until the VMs serve."""
        await self.store.start()
        for server in self.servers:
            await server.start()
        for vm in self.vms:
            vm.proxy.target = '127.0.0.1', self.store.port
            await vm.proxy.start()
            vm.start()
        async with curio.timeout_after(START_TIMEOUT_S):
            for vm in self.vms:
                while await self._send('safe', vm) != 200:
                    await curio.sleep(0.1)

    async def close(self):
        """Stop all that was started here."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                await vm.stop(signal.SIGKILL)
            await vm.proxy.close()
        for server in self.servers:
            await server.close()
        await self.store.close()
        await self.client.close()

    async def run(self, seconds):
        """Send requests at the given rates for this time."""
        self.is_refusing = True
        senders = [
            await curio.spawn(self._send_kind, kind, rate, seconds)
            for kind, rate in self.rates.items()
        ]
        for sender in senders:
            await sender.join()

    async def _send_kind(self, kind, rate, seconds):
        next_s = await curio.clock()
        end_s, tasks = next_s + seconds, []
        while next_s < end_s:
            await curio.sleep(max(0.0, next_s - await curio.clock()))
            vm = self.rng.choice(self.vms)
            tasks.append(await curio.spawn(self._send, kind, vm))
            next_s += 1 / rate
        for task in tasks:
            await task.join()

    async def _send(self, kind, vm):
        """Send one request; return its status, 0 without an answer."""
        path, headers = soak_world.describe_request(kind, self.rng)
        service = 'desk' if kind in ('safe', 'unsafe') else 'llm'
        self.log.record_sent(service, time.monotonic())
        own = [
            ('host', fleet.HOST),
            ('x-request-id', f'b{next(self.ids)}'),
            ('x-deadline-ms', '1400'),
        ]
        try:
            async with curio.timeout_after(REQUEST_TIMEOUT_S):
                status, _ = await self.client.call_once(
                    vm.address, 'POST', path, [*own, *headers], b'order'
                )
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            # While the VM starts, and where it resets a stream.
            return 0
        return status


def run_desk(rates, refusing, seconds, share=1.0):
    """Return the `arrivals.ArrivalLog` of a desk whose servers refuse.

    The parameters are as for `Desk`.
    """

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            desk = Desk(pathlib.Path(folder), rates, refusing, share)
            try:
                await desk.start()
                await desk.run(seconds)
            finally:
                await desk.close()
            return desk.log

    return curio.run(main)


def open_ledger(repeats, others=0):
    """Return a ledger in a budget with so many repeats and other ledgers."""
    terms = budget.Terms(0.0, 10.0, repeats)
    share = fleet.HeldShare()
    service = budget.ServiceBudget(terms, share)
    found = [budget.Ledger(service) for _ in range(1 + others)]
    return found if others else found[0]


class Ledgers(unittest.TestCase):
    """Each arrival beyond the first is paid for, at any order of sends."""

    def test_first_accepted_prefill_is_free(self):
        ledger = open_ledger(0)
        self.assertTrue(ledger.send(1.0, True))
        ledger.on_prefilled()
        self.assertTrue(ledger.send(1.1))
        self.assertEqual((2, 0), (ledger.sends, ledger.paid))

    def test_refused_prefill_makes_the_decode_a_repeat(self):
        ledger = open_ledger(1)
        self.assertTrue(ledger.send(1.0, True))
        self.assertTrue(ledger.reserve(1.0))
        self.assertTrue(ledger.send(1.1))
        self.assertFalse(ledger.reserve(1.2))
        self.assertFalse(ledger.send(1.2))
        self.assertEqual((2, 1), (ledger.sends, ledger.paid))

    def test_accepted_prefill_after_a_refused_one_pays_for_the_decode(self):
        ledger = open_ledger(1)
        ledger.send(1.0, True)
        self.assertTrue(ledger.reserve(1.0, True))
        self.assertTrue(ledger.send(1.1, True))
        ledger.on_prefilled()
        self.assertTrue(ledger.send(1.2))
        self.assertEqual((3, 1), (ledger.sends, ledger.paid))

    def test_second_prefill_and_its_decode_are_reserved_together(self):
        ledger = open_ledger(1)
        ledger.send(1.0, True)
        ledger.on_prefilled()
        ledger.send(1.1)
        self.assertFalse(ledger.reserve(1.2, True))
        self.assertTrue(ledger.reserve(1.2))

    def test_what_reached_no_server_is_not_paid_for(self):
        first, second = open_ledger(1, others=1)
        for ledger in (first, second):
            ledger.send(1.0)
        self.assertTrue(first.send(1.1))
        self.assertFalse(second.reserve(1.2))
        first.on_unreachable()
        self.assertFalse(second.reserve(1.2))
        self.assertTrue(first.send(1.3))
        self.assertEqual((2, 1), (first.sends, first.paid))

    def test_reservation_is_kept_from_others_until_it_is_given_back(self):
        first, second = open_ledger(1, others=1)
        for ledger in (first, second):
            ledger.send(1.0)
        self.assertTrue(first.reserve(1.1))
        self.assertFalse(second.reserve(1.1))
        first.close()
        first.close()
        self.assertTrue(second.reserve(1.1))

    def test_repeats_are_forgotten_after_the_window(self):
        ledger = open_ledger(1)
        ledger.send(1.0)
        self.assertTrue(ledger.send(2.0))
        self.assertFalse(ledger.reserve(11.5))
        self.assertTrue(ledger.reserve(13.1))


class RefusingServers(unittest.TestCase):
    """Servers that refuse fast get no more repeats than their service may."""

    def test_service_does_not_spend_what_others_earned(self):
        rates = {'stream': 80, 'safe': 5, 'unsafe': 5}
        log = run_desk(rates, 'desk', seconds=13.0)
        self.assertLessEqual(log.excess('desk'), 0)

    def test_refused_prefills_are_paid_for(self):
        rates = {'long': 30, 'stream': 90}
        log = run_desk(rates, ('prefill', 'decode'), seconds=13.0, share=0.8)
        self.assertLessEqual(log.excess('llm'), 0)

    def test_server_that_refuses_fast_does_not_attract_requests(self):
        # The time of a refusal was taken for that of an answer.
        def answer(request):
            return [0.05, workers.whole_response(request)]

        async def main():
            refusing = workers.Worker(
                'w1', 'desk', workers.not_executed_response
            )
            sound = workers.Worker('w2', 'desk', answer)
            async with fleet.Fleet(refusing, sound) as cluster:
                for _ in range(20):
                    exchange, _ = await cluster.request('GET', '/look/')
                    statuses.append(exchange.status)

        statuses = []
        curio.run(main)
        self.assertEqual([200] * 20, statuses)


if __name__ == '__main__':
    unittest.main()
