"""Tests keys of client accounts: who is let in, and what servers see."""

import unittest
from unittest import mock

import curio
import hypothesis
from hypothesis import strategies

from mangorock import clocks
from mangorock import logs
from mangorock import mirror
from mangorock import placement
from mangorock import revocation
from tests import fleet
from tests import test_front
from tests import test_silences
from tests import workers

KEY, OTHER_KEY, SECOND_KEY = 'k-first', 'k-other', 'k-second'


def make_config(version=2, keys=(KEY, SECOND_KEY), **account):
    """Return a configuration with two accounts and a public route."""
    config = fleet.make_config(version)
    config['routes'][1]['public'] = True
    config['tenants'] = [
        {'name': 'first', 'apiKeys': list(keys), **account},
        {'name': 'other', 'apiKeys': [OTHER_KEY]},
    ]
    return config


async def get(cluster, *keys, path='/look/'):
    """Return the status of a request that is sent with ``keys``."""
    headers = [('X-Api-Key', key) for key in keys]
    exchange, _ = await cluster.request('GET', path, *headers)
    return exchange.status


class Keys(unittest.TestCase):
    """Requests with and without keys, over loopback."""

    def setUp(self):
        self.worker = workers.Worker('w1', 'desk', workers.whole_response)

    def make_fleet(self, config=None, **settings):
        return fleet.Fleet(
            self.worker, config=config or make_config(), **settings
        )

    @test_front.run
    async def test_server_gets_the_account_and_never_the_key(self):
        # Guards against a key that is passed on, and against an account that
        # the caller chose.
        async with self.make_fleet() as cluster:
            await cluster.request(
                'GET',
                '/look/',
                ('X-API-KEY', KEY),
                ('X-Tenant-Id', 'other'),
                ('x-tenant-id', 'other'),
                ('connection', 'x-tenant-id, x-api-key'),
            )
        headers = self.worker.received[0].headers
        self.assertEqual('first', headers['x-tenant-id'])
        self.assertNotIn('x-api-key', headers)

    @test_front.run
    async def test_request_without_a_valid_key_is_refused(self):
        # Guards against requests that run without an account.
        async with self.make_fleet() as cluster:
            for keys in ((), ('k-none',), ('',), (KEY, OTHER_KEY), (KEY, KEY)):
                with self.subTest(keys=keys):
                    self.assertEqual(401, await get(cluster, *keys))
            self.assertEqual(404, await get(cluster, path='/none/'))
        self.assertEqual([], self.worker.received)

    @test_front.run
    async def test_public_route_needs_no_key(self):
        async with self.make_fleet() as cluster:
            self.assertEqual(200, await get(cluster, path='/place/'))
            self.assertEqual(200, await get(cluster, KEY, path='/place/'))
        for request in self.worker.received:
            self.assertFalse({'x-api-key', 'x-tenant-id'} & {*request.headers})

    @test_front.run
    async def test_priority_of_the_account_goes_before_the_routes(self):
        async with self.make_fleet(make_config(priority=0)) as cluster:
            await get(cluster, KEY)
            await get(cluster, OTHER_KEY)
        self.assertEqual(
            ['0', '1'],
            [r.headers['x-request-priority'] for r in self.worker.received],
        )

    @test_front.run
    async def test_change_of_keys_is_in_force(self):
        async with self.make_fleet() as cluster:
            changed = make_config(5, keys=('k-new',))
            cluster.store.put('op/config', changed)
            await cluster.wait_for_updates()
            self.assertEqual(401, await get(cluster, KEY))
            self.assertEqual(200, await get(cluster, 'k-new'))

    @test_front.run
    async def test_key_that_is_removed_while_the_request_waits(self):
        # Guards against a check at the arrival of the request only.
        config = make_config()
        # How long a request waits.
        config['routes'][0]['targetLatencyMs'] = 1400
        async with fleet.Fleet(config=config) as cluster:
            cluster.store.put('servers/w1', self.worker.entry())
            await cluster.wait_for_updates()
            full = mock.patch.object(
                placement.Placer, 'place_plain', lambda *args: None
            )
            with full:
                waiting = await curio.spawn(get, cluster, KEY)
                await fleet.wait_until(
                    lambda: cluster.front.gateway.wait_queues
                )
                cluster.store.put('op/config', make_config(5, keys=()))
                self.assertEqual(401, await waiting.join())

    @test_front.run
    async def test_strict_vm_without_the_store_serves_public_routes_only(self):
        # Guards against a key that works after it was removed unnoticed.
        async with self.make_fleet(stable_s=0.5, revocation_s=0.6) as cluster:
            await curio.sleep(1.0)
            self.assertEqual(200, await get(cluster, KEY))
            cluster.store.is_silent = True
            await curio.sleep(0.7)
            for key in (KEY, 'k-none'):
                self.assertEqual(503, await get(cluster, key))
            self.assertEqual(200, await get(cluster, path='/place/'))
            cluster.store.is_silent = False
            await fleet.wait_until(
                lambda: cluster.front.gateway.keys.is_certain(
                    clocks.boot_clock()
                )
            )
            self.assertEqual(200, await get(cluster, KEY))

    @test_front.run
    async def test_vm_that_is_not_strict_serves_on_without_the_store(self):
        async with self.make_fleet(stable_s=0.5) as cluster:
            cluster.store.is_silent = True
            await curio.sleep(0.7)
            self.assertEqual(200, await get(cluster, KEY))


class Decoding(unittest.TestCase):
    """Accounts of a stored configuration."""

    def decode(self, *accounts):
        """Return the `catalog.Catalog` and the log lines."""
        config = fleet.make_config(2, tenants=list(accounts))
        lines = []
        with mock.patch.object(
            logs,
            'warning',
            lambda name, **fields: lines.append(logs.render(name, fields)),
        ):
            found = fleet.bodies.decode_catalog(fleet.orjson.dumps(config))
        return found, lines

    def test_invalid_key_is_unknown_and_the_others_hold(self):
        # Guards against a doubled key that lets one account in as another,
        # and against keys in logs.
        found, lines = self.decode(
            {'name': 'a', 'apiKeys': ['k-a', 'k-both', '']},
            {'name': 'b', 'apiKeys': ['k-both']},
            {'name': 'c', 'apiKeys': 'k-text'},
            {'name': 'two words', 'apiKeys': ['k-d']},
        )
        names = {key: account.name for key, account in found.by_key.items()}
        self.assertEqual({'k-a': 'a'}, names)
        self.assertEqual(4, len(lines))
        self.assertNotIn('k-', ''.join(lines))

    def test_no_accounts_need_no_key_and_an_empty_table_lets_nobody_in(self):
        self.assertIsNone(
            fleet.bodies.decode_catalog(
                fleet.orjson.dumps(fleet.make_config(2))
            ).accounts
        )
        self.assertEqual((), self.decode()[0].accounts)

    def test_many_keys(self):
        found, _ = self.decode(
            *(
                {'name': f'a{n}', 'apiKeys': [f'k{n}-{m}' for m in range(7)]}
                for n in range(1400)
            )
        )
        self.assertEqual('a77', found.find_account('k77-3').name)


def find_late_use(store, bounds, jitter, is_clock_stopped):
    """Return a moment at which a removed key works too late, or None.

    The changes of ``store`` are removals.  The VM's boot clock counts frozen
    time; its monotonic clock, by which it waits, may not.
    """
    stable_s, change_s, bound_s = bounds
    timing = mirror.make_timing(stable_s, change_s, bound_s)
    followed = mirror.Mirror('', timing)
    keys = revocation.KeyConfirmation(bound_s)
    now, known = 0.0, 0
    while now < test_silences.END_S:
        call, sent_s = followed.next_call(), now
        now, response = store.respond(call, now)
        if is_clock_stopped and response is None:
            now += store.frozen_s(sent_s, now)
        now, pause_s = store.thaw(now), 0.0
        # Requests that come until this call has its answer.
        for received_s in (sent_s, (sent_s + now) / 2, now):
            removed_s = next((s for s, _ in store.changes[known:]), now)
            is_late = received_s > removed_s + bound_s
            if is_late and keys.is_certain(received_s):
                return received_s
        match response:
            case None:
                pause_s = followed.on_failure(jitter)
            case mirror.Page():
                if followed.on_page(response, sent_s) is not None:
                    known = followed.revision
            case mirror.Changes():
                if followed.on_changes(response, sent_s):
                    pause_s = followed.batch_delay_s(jitter)
                known = followed.revision
        keys.on_confirmed(followed.confirmed_s)
        now = store.thaw(now + pause_s)
    return None


def find_failure():
    """Return the first inputs for which a removed key works, or None."""
    found = []

    @hypothesis.seed(1)
    @hypothesis.settings(
        max_examples=300,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        test_silences.SILENCES,
        test_silences.CHANGES,
        strategies.sampled_from(((4.0, 3.0, 5.0), (1.0, 0.5, 1.0))),
        test_silences.JITTER,
        strategies.booleans(),
    )
    def check(silences, changes, bounds, jitter, is_clock_stopped):
        store = test_silences.make_store(silences, changes)
        late_s = find_late_use(store, bounds, jitter, is_clock_stopped)
        if late_s is not None:
            found.append((store, bounds, jitter, is_clock_stopped, late_s))

    check()
    return found[0] if found else None


class GeneratedRemovals(unittest.TestCase):
    """Keys are removed before, in and after silences and freezes."""

    def test_removed_key_does_not_work_after_the_bound(self):
        # Guards against requests that run with a key that was removed while
        # this VM was frozen or got no response from the store.
        self.assertIsNone(find_failure())

    def test_finds_keys_that_are_never_in_doubt(self):
        with mock.patch.object(
            revocation.KeyConfirmation, 'is_certain', lambda *args: True
        ):
            self.assertIsNotNone(find_failure())

    def test_finds_a_bound_that_is_exceeded(self):
        exact = revocation.KeyConfirmation.is_certain
        with mock.patch.object(
            revocation.KeyConfirmation,
            'is_certain',
            lambda keys, received_s: exact(keys, received_s - 1.0),
        ):
            self.assertIsNotNone(find_failure())

    def test_sound_mirror_confirms_its_keys_in_time(self):
        # Guards against watches that wait so long that a sound VM refuses.
        for bounds in ((4.0, 3.0, 5.0), (1.0, 0.5, 1.0), (10.0, 2.0, 3.0)):
            timing = mirror.make_timing(*bounds)
            age_s = 2 * timing.watch_wait_s + timing.batch_delay_s
            with self.subTest(bounds=bounds):
                self.assertLessEqual(age_s, 0.81 * bounds[2])
