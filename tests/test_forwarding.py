"""Tests of request forwarding: routing, queueing, ejection and placement.

Each test of a load pattern replays that pattern against the state machine
that handles it.
"""

import random
import unittest

from mangorock import catalog
from mangorock import errors
from mangorock import events
from mangorock import outliers
from mangorock import placement
from mangorock import registry
from mangorock import traffic
from mangorock import waiting
from tests import fleet

from adapter import settings


def make_route(prefix, service='s', host='h'):
    shares = (catalog.Share(service, 1.0),)
    return catalog.Route(
        prefix, host, prefix, catalog.Kind.SAFE, shares, 1.0, 0.2
    )


def make_server(name, stage=None, domain='a', **more):
    return registry.BackendServer(
        name, 's', f'10.0.0.1:{name[1:]}', domain, 8, stage=stage, **more
    )


class Routing(unittest.TestCase):
    """Routes match by host and longest prefix, and split by weight."""

    def test_longest_prefix_of_the_host_wins(self):
        routes = tuple(make_route(p) for p in ('/', '/a/', '/a/b/'))
        found = catalog.Catalog(1, routes, {}, catalog.CallerLimits())
        for path, prefix in (
            ('/a/b/c', '/a/b/'),
            ('/a/bc', '/a/'),
            ('/ab/', '/'),
            ('/a', '/'),
        ):
            self.assertEqual(prefix, found.find_route('h', path).prefix)
        self.assertIsNone(found.find_route('other', '/a/'))

    def test_split_follows_the_weights(self):
        shares = (catalog.Share('x', 90), catalog.Share('y', 10))
        route = catalog.Route(
            'r', 'h', '/', catalog.Kind.SAFE, shares, 1.0, 0.2
        )
        picked = [route.pick_service(n / 1000) for n in range(1000)]
        self.assertEqual(100, picked.count('y'))


class ServerRegistry(unittest.TestCase):
    """Server entries that arrive late, lapse or are replaced."""

    def test_older_entries_have_no_effect(self):
        register = registry.Registry()
        register.put(make_server('w1', started_ms=5, sequence=7))
        for started_ms, sequence in ((5, 6), (4, 9)):
            older = make_server(
                'w1',
                started_ms=started_ms,
                sequence=sequence,
                is_draining=True,
            )
            self.assertFalse(register.put(older))
        self.assertEqual(1, len(register.candidates('s', 0.0)))

    def test_lapsed_servers_serve_only_while_there_is_no_other(self):
        register = registry.Registry()
        first, second = make_server('w1'), make_server('w2')
        register.put(first)
        register.put(second)
        register.remove('w1', 10.0)
        self.assertEqual([second], register.candidates('s', 10.1))
        register.remove('w2', 10.0)
        self.assertEqual(2, len(register.candidates('s', 10.1)))
        late_s = 10.1 + registry.LAPSE_GRACE_S
        self.assertEqual([], register.candidates('s', late_s))
        self.assertEqual({'w1', 'w2'}, set(register.purge_lapsed(late_s)))

    def test_draining_server_is_no_candidate(self):
        register = registry.Registry()
        register.put(make_server('w1', sequence=1))
        register.put(make_server('w1', sequence=2, is_draining=True))
        self.assertEqual([], register.candidates('s', 0.0))

    def test_new_incarnation_makes_the_old_one_unusable(self):
        register = registry.Registry()
        old = make_server('w1', started_ms=1)
        register.put(make_server('w1', started_ms=2))
        self.assertFalse(register.is_usable(old, 0.0))

    def test_older_entry_does_not_bring_a_removed_server_back(self):
        # The entries of a server are delivered out of order at times.
        register = registry.Registry()
        register.put(make_server('w1', started_ms=5, sequence=8))
        register.put(
            make_server('w1', started_ms=5, sequence=9, is_draining=True)
        )
        register.remove('w1', 10.0)
        register.purge_lapsed(10.1 + registry.LAPSE_GRACE_S)
        for started_ms, sequence in ((5, 8), (5, 9), (4, 20)):
            older = make_server('w1', started_ms=started_ms, sequence=sequence)
            register.put(older)
            self.assertFalse(register.is_usable(older, 20.0))
            self.assertEqual([], register.candidates('s', 20.0))

    def test_removed_server_is_back_with_a_newer_entry(self):
        for started_ms, sequence in ((5, 10), (6, 0)):
            register = registry.Registry()
            register.put(make_server('w1', started_ms=5, sequence=9))
            register.remove('w1', 10.0)
            register.purge_lapsed(10.1 + registry.LAPSE_GRACE_S)
            newer = make_server('w1', started_ms=started_ms, sequence=sequence)
            self.assertTrue(register.put(newer))
            self.assertTrue(register.is_usable(newer, 20.0))


class EventStreams(unittest.TestCase):
    """Only complete events are passed on, in order and without gaps."""

    def test_events_do_not_depend_on_chunk_sizes(self):
        data = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(1, 30))
        rng = random.Random(3)
        for _ in range(50):
            splitter, got, rest = events.EventSplitter(), b'', data
            while rest:
                size = rng.randint(1, 40)
                got += splitter.feed(rest[:size])
                rest = rest[size:]
            self.assertEqual(data, got)
            self.assertEqual(29, splitter.last_id)

    def test_missing_or_repeated_event_is_a_fault(self):
        for ids in ((1, 3), (1, 1), (2, 1)):
            splitter = events.EventSplitter()
            data = b''.join(b'id: %d\ndata: x\n\n' % n for n in ids)
            with self.assertRaises(events.EventOrderError):
                splitter.feed(data)

    def test_text_without_an_id_is_a_fault_unless_it_is_a_comment(self):
        sound = b'id: 1\ndata: a\n\n'
        comments = b': wait\n\n:\r\n: wait\r\n\r\n'
        splitter = events.EventSplitter()
        self.assertEqual(sound + comments, splitter.feed(sound + comments))
        for text in (b'data: b\n\n', b'{}\n\n', b':' * 90 + b'\nfailed\n\n'):
            with self.assertRaises(events.EventOrderError):
                events.EventSplitter(1).feed(text)

    def test_resumed_stream_continues_after_the_last_complete_event(self):
        splitter = events.EventSplitter()
        splitter.feed(b'id: 1\ndata: x\n\nid: 2\nda')
        self.assertFalse(splitter.is_between_events)
        splitter.restart()
        data = b'id: 2\ndata: x\n\n'
        self.assertEqual(data, splitter.feed(data))


class WaitQueue(unittest.TestCase):
    """A burst is queued by priority, then by arrival."""

    def test_most_urgent_then_oldest_goes_first(self):
        queue = waiting.WaitQueue(8)
        late = queue.add(0, 3.0, 9.0)
        low_priority = queue.add(1, 1.0, 9.0)
        early = queue.add(0, 2.0, 9.0)
        order = []
        while first := queue.first():
            self.assertTrue(queue.is_first(first.priority, first))
            order.append(first)
            queue.remove(first)
        self.assertEqual([early, late, low_priority], order)

    def test_new_request_overtakes_only_lower_priorities(self):
        queue = waiting.WaitQueue(8)
        queue.add(1, 1.0, 9.0)
        self.assertTrue(queue.is_first(0))
        self.assertFalse(queue.is_first(1))

    def test_queue_is_bounded(self):
        queue = waiting.WaitQueue(1)
        queue.add(1, 1.0, 9.0)
        self.assertIsNone(queue.add(0, 2.0, 9.0))


class OutlierDetection(unittest.TestCase):
    """Failing and crashed servers are ejected, at most half of a service."""

    def test_unreachable_server_is_ejected_then_probed(self):
        found, servers = (
            outliers.OutlierDetector(),
            [
                make_server('w1'),
                make_server('w2'),
                make_server('w3'),
            ],
        )
        found.on_failure(servers[0], 10.0, is_unreachable=True)
        self.assertEqual(servers[1:], found.select_healthy(servers, 10.1))
        later_s = 10.1 + outliers.FIRST_EJECTION_S
        self.assertEqual(servers, found.select_healthy(servers, later_s))
        found.on_send(servers[0])
        self.assertEqual(servers[1:], found.select_healthy(servers, later_s))
        found.on_end(servers[0])
        found.on_success(servers[0])
        self.assertEqual(servers, found.select_healthy(servers, later_s))

    def test_half_of_a_service_is_never_ejected(self):
        found = outliers.OutlierDetector()
        servers = [make_server(f'w{n}') for n in range(1, 5)]
        for server in servers:
            found.on_failure(server, 10.0, is_unreachable=True)
        self.assertEqual(2, len(found.select_healthy(servers, 10.1)))

    def test_server_that_fails_half_of_its_requests_is_ejected(self):
        found, server = outliers.OutlierDetector(), make_server('w1')
        rng, is_ejected = random.Random(1), False
        for number in range(20):
            if rng.random() < 0.5:
                is_ejected |= found.on_failure(server, number / 10)
            else:
                found.on_success(server)
        self.assertTrue(is_ejected)

    def test_rare_failures_do_not_eject_a_server(self):
        found, server = outliers.OutlierDetector(), make_server('w1')
        for number in range(200):
            if number % 20 == 0:
                self.assertFalse(found.on_failure(server, number / 10))
            else:
                found.on_success(server)


def make_demand(shared=0, own=300, key='doc'):
    parts = (traffic.PromptPart('own', own),)
    if shared:
        parts = (traffic.PromptPart(key, shared), *parts)
    prompt = traffic.Prompt('m', shared + own, 40, parts)
    return placement.Demand(prompt, 0.3, 0.6, 64)


DECODE_ENGINES = [
    make_server(f'd{n}', registry.Stage.DECODE) for n in range(1, 5)
]
PREFILL_ENGINES = [
    make_server(f'p{n}', registry.Stage.PREFILL) for n in (1, 2)
]


class Placement(unittest.TestCase):
    """Placement of long and short bursts, and of shared documents."""

    def place(self, placer, demand, now=0.0):
        placed = placer.place_generation(
            demand, DECODE_ENGINES + PREFILL_ENGINES, now
        )
        if placed is not None:
            prefiller = placed.prefill or placed.decode
            placer.add_backlog(prefiller, placed.tokens)
            placer.on_send(placed.decode)
        return placed

    def test_all_vms_find_the_same_engine_for_a_document(self):
        for key in ('a', 'b', 'c', 'd'):
            engines = set()
            for _ in range(8):
                placer = placement.Placer('a')
                demand = make_demand(13000, 3700, key)
                engines.add(self.place(placer, demand).decode.server_id)
            self.assertEqual(1, len(engines))

    def test_documents_spread_over_the_engines(self):
        placer = placement.Placer('a')
        engines = {
            placer.place_generation(
                make_demand(13000, 3700, f'doc{n}'),
                DECODE_ENGINES + PREFILL_ENGINES,
                0.0,
            ).affinity_server.server_id
            for n in range(40)
        }
        self.assertEqual(4, len(engines))

    def test_burst_of_long_prompts_fills_every_engine(self):
        placer, prefillers = placement.Placer('a'), []
        for number in range(40):
            demand = make_demand(13000, 3700, f'doc{number}')
            placed = self.place(placer, demand)
            if placed is None:
                break
            prefillers.append((placed.prefill or placed.decode).server_id)
        self.assertIsNone(placed)
        self.assertEqual({'p1', 'p2', 'd1', 'd2', 'd3', 'd4'}, set(prefillers))
        self.assertTrue(prefillers[0].startswith('p'))

    def test_burst_of_short_prompts_spreads(self):
        placer, prefillers = placement.Placer('a'), []
        for _ in range(24):
            placed = self.place(placer, make_demand())
            prefillers.append((placed.prefill or placed.decode).server_id)
        self.assertEqual(6, len(set(prefillers)))
        self.assertLess(max(map(prefillers.count, prefillers)), 12)

    def test_decode_engine_with_long_gaps_prefills_no_prompt(self):
        placer = placement.Placer('a')
        for server in DECODE_ENGINES:
            for _ in range(10):
                placer.on_gap(server, 0.9, 0.0)
        placed = self.place(placer, make_demand())
        self.assertIsNotNone(placed.prefill)
        placed = self.place(placer, make_demand(), now=9.0)
        self.assertIsNone(placed.prefill)

    def test_plain_requests_avoid_the_slow_server(self):
        placer = placement.Placer('a')
        slow, fast = make_server('w1'), make_server('w2')
        for _ in range(20):
            placer.on_answer(slow, None, 0.5, 0.0)
            placer.on_answer(fast, None, 0.05, 0.0)
        placed = placer.place_plain([slow, fast], 80, 0.0)
        self.assertEqual('w2', placed.server_id)

    def test_server_that_fails_fast_is_avoided_for_some_seconds(self):
        placer = placement.Placer('a')
        broken, healthy = make_server('s1'), make_server('s2')
        placer.on_answer(broken, None, 0.001, 0.0)
        placer.on_failure(broken, 0.0)
        placer.on_answer(healthy, None, 0.05, 0.0)
        for now, expected in ((0.1, healthy), (2.0, healthy), (6.0, broken)):
            placed = placer.place_plain([broken, healthy], 80, now)
            self.assertIs(expected, placed)

    def test_each_vm_uses_its_share_of_the_connections(self):
        placer, server = placement.Placer('a'), make_server('w1')
        for _ in range(10):
            self.assertIsNotNone(placer.place_plain([server], 80, 0.0))
            placer.on_send(server)
        self.assertIsNone(placer.place_plain([server], 80, 0.0))


def make_settings_file():
    """Return the fields that the platform writes at least."""
    return {
        'nodeName': 'vm-1',
        'zone': 'a',
        'ip': '10.0.0.1',
        'listen': {'front': '10.0.0.1:80', 'ready': '10.0.0.1:81'},
        'platform': {'address': '10.0.0.9:1'},
        'bounds': {'graceS': 8},
    }


class Settings(unittest.TestCase):
    """Decoding of the platform's settings file."""

    def test_every_fault_is_reported(self):
        with self.assertRaises(errors.SettingsError) as caught:
            settings.decode({'listen': {'front': 'x'}, 'bounds': {}})
        for name in ('nodeName', 'zone', 'listen.front', 'bounds.graceS'):
            self.assertIn(name, caught.exception.message)

    def test_watch_timeout_follows_from_the_stable_window(self):
        file = make_settings_file()
        timing = settings.decode(file).mirror_timing
        self.assertLess(timing.watch_timeout_s + timing.min_backoff_s, 3.0)
        self.assertIsNone(settings.decode(file).peer_address)
        file['bounds'] |= {
            'stableWindowMs': 4000,
            'configMs': 3000,
            'drainMs': 5000,
        }
        file['internalPorts'] = [7660, 7675]
        found = settings.decode(file)
        timing = found.mirror_timing
        self.assertLess(timing.watch_timeout_s + timing.min_backoff_s, 4.0)
        self.assertLess(timing.watch_wait_s, timing.watch_timeout_s)
        self.assertEqual(('10.0.0.1', 7660), found.peer_address)

    def test_memory_of_answers_follows_from_the_limit(self):
        file = make_settings_file()
        file['limits'] = {'memoryMb': 160}
        self.assertEqual(32_000_000, settings.decode(file).max_held_bytes)
        file['limits']['memoryMb'] = 'much'
        with self.assertRaises(errors.SettingsError):
            settings.decode(file)

    def test_retry_terms_follow_from_the_bounds(self):
        file = {
            'nodeName': 'vm-1',
            'zone': 'a',
            'ip': '10.0.0.1',
            'listen': {'front': '10.0.0.1:80', 'ready': '10.0.0.1:81'},
            'platform': {'address': '10.0.0.9:1'},
            'bounds': {
                'graceS': 8,
                'retryBudgetRatio': 0.5,
                'budgetWindowS': 20,
                'budgetSlack': 0,
            },
        }
        found = settings.decode(file).retry_terms
        self.assertEqual((20.0, 0.0), (found.window_s, found.slack))
        self.assertTrue(0.4 < found.ratio <= 0.5)
        for name in ('retryBudgetRatio', 'budgetWindowS', 'budgetSlack'):
            file['bounds'][name] = -1
        with self.assertRaises(errors.SettingsError) as caught:
            settings.decode(file)
        self.assertEqual(3, caught.exception.message.count('is -1'))

    def test_invalid_port_is_reported(self):
        with self.assertRaises(errors.SettingsError) as caught:
            settings.decode({'internalPorts': ['x']})
        self.assertIn('internalPorts', caught.exception.message)

    def test_unreadable_file_is_a_settings_error(self):
        with self.assertRaises(errors.SettingsError):
            settings.load(str(fleet.ROOT / 'missing.json'))


if __name__ == '__main__':
    unittest.main()
