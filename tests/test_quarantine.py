"""Tests how prompt parts that crash engines are recognised and refused."""

import unittest
from unittest import mock

import attrs
import curio
import h11

from mangorock import consultation
from mangorock import directory as directories
from mangorock import errors
from mangorock import evidence
from mangorock import front
from mangorock import http
from mangorock import isolation
from mangorock import messages
from mangorock import mirror
from mangorock import placement
from mangorock import quarantine
from mangorock import traffic
from mangorock_standins import ports
from tests import fleet
from tests import workers

#: Part of a response: the worker crashes.
CRASH = object()
RESTART_S = 0.4
PART = 'dead'


class CrashingWorker(workers.Worker):
    """An engine that crashes when it begins an answer on `PART`.

    All of its connections are reset and new ones are refused until it is
    back as a new incarnation.
    """

    def __init__(self, name, store):
        super().__init__(name, 'llm', self.answer)
        self.store = store
        self.crashes = 0
        self.answer_after_s = 0.0
        self.sockets = []
        self.restarts = []

    def answer(self, request):
        """Return the parts of the response, the last of which may be a crash.

        The crash follows the first event, so that some of the answer may
        have been received.
        """
        if PART not in request.headers['x-prompt-prefix']:
            return workers.stream_response(request)
        chunked = b'Transfer-Encoding: chunked'
        head = workers.response_head(request, chunked)
        answer = [head + workers.event_chunks(1, 1), 0.02, CRASH]
        return (
            [self.answer_after_s, *answer] if self.answer_after_s else answer
        )

    async def _serve(self, sock):
        self.sockets.append(sock)
        await super()._serve(sock)

    async def _send_response(self, sock, parts):
        if isinstance(parts, list) and parts[-1] is CRASH:
            if await super()._send_response(sock, parts[:-1]):
                await self.crash()
            return False
        return await super()._send_response(sock, parts)

    async def crash(self):
        """Close the listener and all connections, and restart later."""
        self.crashes += 1
        await self.close()
        for sock in self.sockets:
            fleet.shut_down(sock)
        self.sockets = []
        self.restarts.append(await curio.spawn(self._restart, daemon=True))

    async def _restart(self):
        await curio.sleep(RESTART_S)
        self.born += 1
        sock = http.listen('127.0.0.1', self.port)
        self.tasks.append(await curio.spawn(self._accept, sock, daemon=True))
        self.store.put(f'servers/{self.name}', self.entry())


class CrashingFleet(fleet.Fleet):
    """A fleet whose engines crash on requests with `PART`."""

    def __init__(self, count):
        super().__init__()
        self.others = []
        for number in range(count):
            worker = CrashingWorker(f'w{number}', self.store)
            self.workers += (worker,)
            self.store.put(f'servers/{worker.name}', worker.entry())

    @property
    def crashes(self):
        """Return the number of crashes of all engines."""
        return sum(worker.crashes for worker in self.workers)

    @property
    def arrivals(self):
        """Return how often requests with the part reached an engine."""
        return sum(
            PART in request.headers['x-prompt-prefix']
            for worker in self.workers
            for request in worker.received
        )

    async def add_front(self, vm):
        """Start another front of the same fleet and return it."""
        settings = attrs.evolve(
            self.settings,
            vm=vm,
            caller_address=('127.0.0.1', ports.free_port()),
            ready_address=('127.0.0.1', ports.free_port()),
        )
        other = front.FrontDaemon(settings, fleet.make_platform())
        self.others.append(other)
        await other.start()
        await fleet.wait_until(lambda: other.is_ready)
        return other

    async def connect(self, *fronts):
        """Let fronts exchange messages, as VMs that found each other do."""
        peers = []
        for found in fronts:
            address = '127.0.0.1', ports.free_port()
            peer = directories.Peer(found.settings.vm, 'r', address)
            endpoint = consultation.SchedulerEndpoint(
                directories.Directory(peer),
                found.gateway.scheduler,
                found.gateway.healthy_servers,
                found.gateway.pause,
            )
            endpoint.on_part_message = found.gateway.isolation.on_message
            found.gateway.scheduler_endpoint = endpoint
            await endpoint.start(address)
            peers.append(peer)
        for found in fronts:
            endpoint = found.gateway.scheduler_endpoint
            endpoint.directory.update_peers(peers)

    async def __aexit__(self, *exc):
        while self.others:
            await self.others.pop().close()
        await super().__aexit__(*exc)

    async def ask(self, part, found=None, own=None):
        """Send a request with a shared part to a front; return its status.

        The status is that of the head, 0 if there is none.
        """
        own = own or f'own{self.request_count}'
        parts = f'aa:55,{part}:100,{own}:145'
        host, port = (found or self.front).settings.caller_address
        exchange = await self.client.open(f'{host}:{port}', True)
        request_headers = self.request_headers(
            *fleet.prompt_headers(prefix_parts=parts)
        )
        try:
            await exchange.send('GET', '/read/', request_headers, b'')
            await exchange.read()
            self.retry_after_s = exchange.headers.get('retry-after')
        except (OSError, h11.ProtocolError):
            return 0
        finally:
            await self.client.discard(exchange)
        return exchange.status


def make_prompt(*part_ids):
    """Return a prompt with the given parts."""
    parts = [traffic.PromptPart(part_id, 100) for part_id in part_ids]
    return traffic.Prompt('m', 100 * len(parts), 40, tuple(parts))


class Scene:
    """A `quarantine.Quarantine` with a short way to add crashes."""

    def __init__(self):
        self.found = quarantine.Quarantine()
        self.engines = 0

    def crash(self, at_s, *prompts, begun_s=None):
        """Add the crash of a new engine with prompts in progress."""
        self.engines += 1
        begun_s = at_s - 0.2 if begun_s is None else begun_s
        uses = [
            use
            for parts in prompts
            for use in evidence.uses_of(make_prompt(*parts), begun_s)
        ]
        incarnation = f'e{self.engines}', self.engines
        self.found.add_crash(incarnation, at_s, uses, at_s)

    def serve(self, now, *parts):
        """Add a complete answer on a prompt."""
        return self.found.on_served(make_prompt(*parts), now)

    def decide(self, now):
        """Return the parts condemned at once and after the settling time."""
        verdicts = self.found.decide(now)
        verdicts += self.found.decide(now + quarantine.SETTLE_S)
        return [verdict.part_id for verdict in verdicts]


class Decisions(unittest.TestCase):
    """Which part is condemned, and for how long."""

    def test_first_part_is_not_condemned_with_the_part_that_crashes(self):
        """Both parts were in progress in the same crashes, and none else.

        The caller of the sound requests shares the first part; it must not
        lose them.
        """
        scene = Scene()
        for number in range(3):
            scene.crash(1.0 + number, ['first', PART, f'own{number}'])
        self.assertEqual([PART], scene.decide(3.1))
        refused = make_prompt('first', PART, 'new')
        self.assertEqual(PART, scene.found.find(refused, 4.0).part_id)
        sound = make_prompt('first', 'other', 'new')
        self.assertIsNone(scene.found.find(sound, 4.0))

    def test_first_part_is_condemned_if_its_other_parts_do_not_explain(self):
        scene = Scene()
        for number in range(4):
            part = f'part{number}'
            scene.crash(1.0 + number, [PART, part, f'own{number}'])
        self.assertEqual([PART], scene.decide(4.1))

    def test_popular_part_is_not_condemned_for_being_in_progress(self):
        """A part of many requests is in progress on every engine."""
        scene = Scene()
        scene.serve(0.5, 'popular', 'own')
        for number in range(6):
            scene.crash(
                1.0 + 0.3 * number,
                ['popular', f'a{number}'],
                ['first', PART, f'own{number}'],
            )
        self.assertEqual([PART], scene.decide(3.0))

    def test_answer_clears_a_part_of_earlier_crashes(self):
        scene = Scene()
        for number in range(2):
            scene.crash(1.0 + number, ['first', PART, f'own{number}'])
        self.assertEqual(['first'], scene.serve(2.5, 'first', 'x', 'own9'))
        self.assertEqual([PART], scene.serve(2.6, PART, 'own8'))
        scene.crash(3.0, ['first', PART, 'own3'])
        self.assertEqual([], scene.decide(3.1))

    def test_answer_at_another_vm_clears_a_part(self):
        scene = Scene()
        for number in range(3):
            scene.crash(1.0 + number, ['shared', f'own{number}'])
        scene.found.merge_served('shared', 3.05)
        self.assertEqual([], scene.decide(3.1))

    def test_vm_that_answered_a_part_tells_the_others(self):
        """Else a VM that had no answer on a sound part would condemn it."""
        scene = Scene()
        scene.serve(0.5, 'popular', 'own')
        scene.crash(1.0, ['popular', 'a'], ['first', PART, 'b'])
        found = scene.found.evidence
        self.assertEqual([('popular', 0.5)], found.take_unreported(1.0))
        scene.crash(1.5, ['popular', 'c'])
        self.assertEqual([], found.take_unreported(1.5))
        scene.serve(1.6, 'popular', 'd')
        self.assertEqual([('popular', 1.6)], found.take_unreported(1.6))

    def test_engines_that_are_lost_together_condemn_no_part(self):
        """A host with many engines fails, and then nothing more."""
        scene = Scene()
        for number in range(6):
            scene.crash(1.0 + 0.01 * number, ['part', f'own{number}'])
        self.assertEqual([], scene.decide(1.2))

    def test_engines_that_are_killed_in_turn_condemn_no_served_part(self):
        """Requests in progress began before the first engine was lost."""
        scene = Scene()
        scene.serve(0.5, 'part', 'own')
        for number in range(6):
            scene.crash(1.0 + number, ['part', f'own{number}'], begun_s=0.9)
        self.assertEqual([], scene.decide(6.1))

    def test_one_prompt_that_is_repeated_condemns_no_shared_part(self):
        """Its own last part may be the one that crashes engines."""
        scene = Scene()
        for number in range(6):
            scene.crash(1.0 + number, ['part', 'own'])
        self.assertEqual([], scene.decide(6.1))

    def test_first_part_is_not_condemned_for_a_prompt_that_is_repeated(self):
        """Its other requests were in progress beside the one that crashes.

        The part that crashes was in one prompt only so far, and its first
        part in several.
        """
        scene = Scene()
        for number in range(4):
            scene.crash(
                1.0 + number,
                ['first', PART, 'own'],
                ['first', f'part{number}', f'own{number}'],
            )
        self.assertEqual([], scene.decide(4.1))
        scene.crash(6.0, ['first', PART, 'own9'])
        self.assertEqual([PART], scene.decide(6.1))

    def test_part_in_progress_by_chance_is_not_condemned(self):
        """A part of several prompts was in progress in the same crashes."""
        scene = Scene()
        for number in range(3):
            scene.crash(
                1.0 + number,
                ['first', PART, 'own'],
                ['a', 'chance', f'own{number}'],
            )
        self.assertEqual([], scene.decide(3.1))
        scene.crash(4.0, ['first', PART, 'own2'])
        self.assertEqual([PART], scene.decide(4.1))

    def test_prompt_that_crashed_two_engines_in_turn_is_held(self):
        """Its caller repeats it, and it crashed two more engines."""
        scene = Scene()
        scene.crash(1.0, ['first', PART, 'own'], ['first', 'x', 'beside'])
        scene.crash(1.1, ['first', PART, 'own'], begun_s=1.05)
        found = scene.found
        held = found.find(make_prompt('first', PART, 'own'), 1.2)
        self.assertEqual('own', held.part_id)
        for parts in (('first', PART, 'own2'), ('first', 'x', 'beside')):
            self.assertIsNone(found.find(make_prompt(*parts), 1.2))
        end_s = 1.1 + quarantine.HOLD_S
        self.assertIsNone(found.find(make_prompt(PART, 'own'), end_s))
        found.expire(end_s)
        self.assertFalse(found.held_until_s)

    def test_listing_older_than_the_key_lifts_nothing(self):
        """Else a VM would lift what it has just stored."""
        scene = Scene()
        scene.found.adopt(PART, 60.0, 1.0)
        self.assertTrue(scene.found.is_unstored(PART, 1.1))
        self.assertEqual([], scene.found.removed({}, 100))
        scene.found.on_stored(PART, 7)
        self.assertFalse(scene.found.is_unstored(PART, 1.1))
        self.assertEqual([], scene.found.removed({}, 6))
        self.assertEqual([], scene.found.removed({PART: None}, 8))
        self.assertEqual([PART], scene.found.removed({}, 8))

    def test_crashes_that_are_explained_count_against_no_other_part(self):
        """Requests with the part that are in progress still crash engines."""
        scene = Scene()
        for number in range(3):
            scene.crash(1.0 + number, ['first', PART, f'own{number}'])
        self.assertEqual([PART], scene.decide(3.1))
        for number in range(3, 9):
            scene.crash(
                1.0 + number,
                ['first', PART, f'own{number}'],
                ['bystander', f'a{number}'],
            )
        self.assertEqual([], scene.decide(9.1))

    def test_old_crashes_are_forgotten(self):
        scene = Scene()
        for number in range(6):
            at_s = number * 0.6 * evidence.EVIDENCE_S
            scene.crash(at_s, ['part', f'own{number}'])
            self.assertEqual([], scene.decide(at_s))

    def test_invented_parts_do_not_fill_the_tables(self):
        scene = Scene()
        for number in range(3 * evidence.MAX_CRASHES):
            now = 0.1 * number
            many = [
                [f'a{number}.{n}', f'own{n}']
                for n in range(2 * evidence.MAX_USES)
            ]
            scene.crash(now, *many)
            for n in range(100):
                scene.serve(now, f'b{number}.{n}', 'own')
            scene.found.adopt(f'c{number}', 60.0, now)
            scene.found.adopt(f'd{number}', 60.0, now)
        found = scene.found
        self.assertLessEqual(len(found.evidence.crashes), evidence.MAX_CRASHES)
        for crash in found.evidence.crashes.values():
            self.assertLessEqual(len(crash.uses), evidence.MAX_USES)
        known = evidence.MAX_CRASHES * evidence.MAX_USES
        self.assertLessEqual(len(found.evidence.suspects), known)
        self.assertLessEqual(
            len(found.evidence.served), evidence.MAX_SERVED_PARTS
        )
        for table in (found.quarantined, found.last_terms_s):
            self.assertLessEqual(len(table), quarantine.MAX_QUARANTINED_PARTS)

    def test_long_ids_are_kept_short_and_apart(self):
        ids = ['a' * 5000 + tail for tail in 'xy'] + ['a/b', 'a b', '\u00e9']
        keys = {evidence.key_of(part_id) for part_id in ids}
        self.assertEqual(len(ids), len(keys))
        for key in keys:
            self.assertLessEqual(len(key), evidence.MAX_ID_CHARS)
            self.assertTrue(key.isalnum())

    def test_part_is_served_again_after_its_term(self):
        scene = Scene()
        prompt = make_prompt(PART, 'own')
        for number in range(3):
            scene.crash(1.0 + number, [PART, f'own{number}'])
        self.assertEqual([PART], scene.decide(3.1))
        end_s = 3.2 + quarantine.SETTLE_S + quarantine.FIRST_TERM_S
        self.assertEqual([], scene.found.expire(end_s - 1.0))
        self.assertEqual([PART], scene.found.expire(end_s))
        self.assertIsNone(scene.found.find(prompt, end_s))
        self.assertEqual([], scene.decide(end_s))

    def test_one_crash_condemns_a_part_again_for_longer(self):
        scene = Scene()
        for number in range(3):
            scene.crash(1.0 + number, [PART, f'own{number}'])
        scene.decide(3.1)
        scene.found.expire(100.0)
        scene.crash(101.0, ['first', PART, 'own4'])
        verdict = scene.found.decide(101.0)[0]
        self.assertEqual(PART, verdict.part_id)
        self.assertEqual(2 * quarantine.FIRST_TERM_S, verdict.term_s)

    def test_answer_after_the_term_clears_the_record(self):
        scene = Scene()
        for number in range(3):
            scene.crash(1.0 + number, [PART, f'own{number}'])
        scene.decide(3.1)
        scene.found.expire(100.0)
        scene.serve(100.5, PART, 'own3')
        scene.crash(101.0, [PART, 'own4'])
        self.assertEqual([], scene.decide(101.0))


class Messages(unittest.TestCase):
    """What other VMs and the store may contain."""

    def test_longest_messages_fit_into_a_datagram(self):
        part_id, number = 'a' * evidence.MAX_ID_CHARS, -1.2345678901234567e-10
        longest = [
            messages.CrashReport(
                's' * 100,
                10**13,
                abs(number),
                [(part_id, part_id, 1000, number)] * isolation.MAX_USE_ROWS,
            ),
            messages.PartsServed(
                [(part_id, abs(number))] * isolation.MAX_SERVED_ROWS
            ),
        ]
        for message in longest:
            data = consultation.encode(0, message)
            self.assertLessEqual(len(data), consultation.MAX_DATAGRAM_BYTES)
            self.assertEqual(type(message), type(consultation.decode(data)[1]))

    def test_malformed_messages_are_not_created(self):
        malformed = [
            lambda: messages.CrashReport('s', 1, 0.1, [('a', 'b', 0)]),
            lambda: messages.CrashReport('s', 1, 0.1, ['abcd']),
            lambda: messages.CrashReport('s', 1, 0.1, [('a', 'b', -1, 0.1)]),
            lambda: messages.CrashReport('s', 1, -0.1, []),
            lambda: messages.PartsServed([('a', 'b')]),
            lambda: messages.PartsServed(3),
            lambda: messages.PartQuarantined('a', float('nan')),
        ]
        for create in malformed:
            with self.assertRaises((ValueError, TypeError)):
                create()

    def test_malformed_key_quarantines_nothing(self):
        for value in (b'', b'x', b'[]', b'{"term_s": 0}', b'{"term_s": "x"}'):
            item = mirror.Item(isolation.PREFIX + 'a', value, 1)
            self.assertIsNone(isolation.decode_term(item))


class RequestsThatCrashEngines(unittest.TestCase):
    """Engines that crash on a part of a prompt, behind a front."""

    def test_part_that_crashes_engines_stops_reaching_them(self):
        """Each request with the part crashed an engine, and then another.

        After five crashes and the time in which all VMs react, at most three
        more may reach an engine, while sound requests with the same first
        part are served.
        """

        async def main():
            async with CrashingFleet(6) as cluster:
                while cluster.crashes < 5:
                    await cluster.ask(PART)
                    await curio.sleep(RESTART_S / 2)
                    if cluster.request_count > 40:
                        break
                await curio.sleep(cluster.settings.stable_s)
                before, served = cluster.arrivals, 0
                for number in range(10):
                    await cluster.ask(PART)
                    served += await cluster.ask(f'ok{number}') == 200
                    await curio.sleep(RESTART_S / 4)
                self.assertLessEqual(cluster.arrivals - before, 3)
                self.assertGreaterEqual(served, 9)

        curio.run(main)

    def test_refusal_says_that_the_request_has_not_run(self):
        async def main():
            async with CrashingFleet(6) as cluster:
                await crash_until_refused(cluster)
                before = cluster.arrivals
                self.assertEqual(503, await cluster.ask(PART))
                self.assertGreater(float(cluster.retry_after_s), 10.0)
                self.assertEqual(before, cluster.arrivals)
                counts = cluster.front.metrics.counts
                reason = errors.Reason.QUARANTINED.value
                self.assertGreater(counts[f'refused.{reason}'], 0)

        curio.run(main)

    def test_all_vms_refuse_a_part_when_one_has_recognised_it(self):
        """Each VM paid the crashes again if it kept its evidence to itself.

        The store is down, and each VM sees only some of the requests.
        """

        async def main():
            async with CrashingFleet(8) as cluster:
                fronts = [cluster.front]
                for number in range(2, 5):
                    fronts.append(await cluster.add_front(f'vm-{number}'))
                await cluster.connect(*fronts)
                cluster.store.status = 503
                for number in range(8):
                    found = fronts[number % len(fronts)]
                    await cluster.ask(PART, found)
                    await curio.sleep(0.1)
                await curio.sleep(2 * quarantine.SETTLE_S)
                crashes = cluster.crashes
                for found in fronts:
                    self.assertEqual(503, await cluster.ask(PART, found))
                    self.assertEqual(200, await cluster.ask('ok', found))
                self.assertEqual(crashes, cluster.crashes)
                self.assertLessEqual(crashes, 5)

        curio.run(main)

    def test_vm_that_starts_later_refuses_a_known_part(self):
        async def main():
            async with CrashingFleet(6) as cluster:
                await crash_until_refused(cluster)
                key = isolation.PREFIX + PART
                await fleet.wait_until(lambda: key in cluster.store.items)
                crashes = cluster.crashes
                late = await cluster.add_front('vm-2')
                held = late.gateway.quarantine.quarantined
                await fleet.wait_until(lambda: PART in held)
                self.assertEqual(503, await cluster.ask(PART, late))
                self.assertEqual(crashes, cluster.crashes)
                # An operator removes the key to lift the quarantine.
                cluster.store.remove(key)
                await fleet.wait_until(lambda: PART not in held, 6.0)

        curio.run(main)

    def test_broken_answers_of_an_engine_that_runs_condemn_no_part(self):
        """Garbled answers and reset connections look like crashes at first."""

        def break_off(request):
            chunked = b'Transfer-Encoding: chunked'
            head = workers.response_head(request, chunked)
            return [head + workers.event_chunks(1, 1), workers.CLOSE]

        async def main():
            engines = [
                workers.Worker(f'w{number}', 'llm', break_off)
                for number in range(4)
            ]
            async with fleet.Fleet(*engines) as cluster:
                for number in range(8):
                    parts = f'aa:55,bb:100,own{number}:145'
                    await request_whole(cluster, parts)
                    await curio.sleep(0.15)
                found = cluster.front.gateway.quarantine
                self.assertFalse(found.evidence.crashes)
                self.assertFalse(found.quarantined)

        curio.run(main)

    def test_waiting_request_is_refused_when_its_part_is_recognised(self):
        """It waited for an engine that it would have crashed."""

        async def main():
            async with CrashingFleet(2) as cluster:
                gateway = cluster.front.gateway
                with mock.patch.object(
                    placement.Placer, 'place_generation', return_value=None
                ):
                    task = await curio.spawn(cluster.ask, PART)
                    queues = gateway.wait_queues
                    await fleet.wait_until(
                        lambda: any(q.waiters for q in queues.values())
                    )
                    decided = messages.PartQuarantined(PART, 60.0)
                    await gateway.isolation.on_message(decided)
                    async with curio.timeout_after(0.1):
                        self.assertEqual(503, await task.join())
                reason = errors.Reason.QUARANTINED.value
                counts = cluster.front.metrics.counts
                self.assertEqual(1, counts[f'refused.{reason}'])
                self.assertEqual(0, cluster.arrivals)

        curio.run(main)

    def test_silent_engine_is_not_probed(self):
        """New connections are dear, and a silent engine has not crashed."""

        def hang(request):
            return [3.0, workers.CLOSE]

        async def main():
            engine = workers.Worker('w1', 'llm', hang)
            async with fleet.Fleet(engine) as cluster:
                await request_whole(cluster, 'aa:55,bb:100,own:145')
                self.assertEqual(1, len(engine.received))
                self.assertFalse(cluster.front.gateway.isolation.losses)

        curio.run(main)

    def test_engine_that_stops_as_planned_has_not_crashed(self):
        """It may end its last streams when its grace period is over."""

        async def main():
            async with CrashingFleet(2) as cluster:
                for worker in cluster.workers:
                    worker.answer_after_s = 0.3
                task = await curio.spawn(cluster.ask, PART)
                await fleet.wait_until(lambda: cluster.arrivals)
                for worker in cluster.workers:
                    cluster.store.put(
                        f'servers/{worker.name}',
                        worker.entry('draining', sequence=2),
                    )
                await cluster.wait_for_updates()
                await task.join()
                await curio.sleep(0.2)
                self.assertEqual(1, cluster.crashes)
                found = cluster.front.gateway.quarantine
                self.assertFalse(found.evidence.crashes)

        curio.run(main)


async def crash_until_refused(cluster):
    """Send requests that crash engines until they are refused.

    Raises `AssertionError` if they are not after twenty.
    """
    found = cluster.front.gateway.quarantine
    for _ in range(20):
        await cluster.ask(PART)
        await curio.sleep(RESTART_S)
        if PART in found.quarantined:
            return
    raise AssertionError('the part was not recognised')


async def request_whole(cluster, parts):
    """Send a request whose answer may break off."""
    exchange = await cluster.open()
    request_headers = cluster.request_headers(
        *fleet.prompt_headers(prefix_parts=parts)
    )
    try:
        await exchange.send('GET', '/read/', request_headers, b'')
        await exchange.read()
    except (OSError, h11.ProtocolError):
        return
    finally:
        await cluster.client.discard(exchange)
