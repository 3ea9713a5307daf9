"""Changing the stages of engines, and the right to order it."""

import contextlib
import random
import types
import unittest
from unittest import mock

import curio
import orjson

from mangorock import errors
from mangorock import mirror
from mangorock import presence
from mangorock import registry
from mangorock import scheduler
from mangorock import stages
from mangorock import staging
from tests import fleet
from tests import test_scheduler


class Service:
    """A scheduler whose queues and places a test sets."""

    def __init__(self, prefills=3, decodes=12, slots=10):
        self.engines = test_scheduler.make_engines(prefills, decodes)
        self.scheduler = scheduler.Scheduler(test_scheduler.KV_TOKENS)
        self.planner = stages.StagePlanner()
        for server in self.engines:
            self.scheduler.engine(server).slots = slots

    def load(self, queue_s, streams, now):
        """Give each prefill engine a queue, each decode engine streams."""
        for server in self.engines:
            engine = self.scheduler.engine(server)
            engine.jobs.clear()
            if server.is_prefill_only and queue_s:
                job = scheduler.Job(server.life, queue_s, now)
                engine.add('r', job, now)
            engine.running = streams

    def play(self, seconds, queue_s, streams, start_s=0.0):
        """Return the changes wanted, ordered at once."""
        found = []
        for step in range(int(seconds * 4)):
            now = start_s + step / 4
            self.load(queue_s, streams, now)
            self.planner.sample(self.scheduler, self.engines, now)
            change = self.planner.wanted(self.scheduler, self.engines, now)
            if change is not None:
                self.planner.on_away(change.server.life, now)
                found.append(change)
        return found


class Planning(unittest.TestCase):
    """The mix stays shifted."""

    def test_long_prompts_and_free_places_make_a_prefill_engine(self):
        service = Service()
        fast = service.engines[5]
        service.scheduler.engine(fast).busy_s *= 0.7
        changes = service.play(6, queue_s=0.3, streams=2)
        self.assertEqual(
            stages.Change(fast, registry.Stage.PREFILL), changes[0]
        )
        self.assertEqual(
            len(changes), len({change.server.life for change in changes})
        )

    def test_first_seconds_change_nothing(self):
        changes = Service().play(stages.OBSERVE_S - 0.5, 0.5, 2)
        self.assertEqual([], changes)

    def test_engine_that_keeps_much_changes_only_for_a_long_shift(self):
        service = Service()
        for server in service.engines:
            engine = service.scheduler.engine(server)
            engine.kept.touch('doc', 1200000, 0.0)
        self.assertEqual([], service.play(5, 0.3, 2))
        self.assertTrue(service.play(5, 0.3, 2, start_s=5.0))

    def test_short_swings_change_nothing(self):
        service = Service()
        for swing in range(6):
            start_s = 4.0 * swing
            changes = service.play(1.0, 0.2, 2, start_s)
            changes += service.play(3.0, 0.0, 2, start_s + 1.0)
            self.assertEqual([], changes)

    def test_full_decode_engines_keep_their_stage(self):
        self.assertEqual([], Service().play(20, queue_s=0.5, streams=5))

    def test_peak_of_a_swing_counts_through_its_calm(self):
        service = Service()
        service.play(4, queue_s=0.0, streams=8)
        self.assertEqual([], service.play(3, 0.3, 1, start_s=4.0))

    def test_few_decode_engines_keep_their_stage(self):
        # Seen on the bench: of three one was made a prefill engine, one was
        # taken away later, and the last could not do.
        self.assertEqual([], Service(3, 8).play(20, 0.5, 0))

    def test_places_must_do_without_a_failure_domain_too(self):
        self.assertEqual([], Service(6, 12).play(20, 0.5, 4))

    def test_engine_goes_back_when_places_run_out_but_not_soon(self):
        service = Service()
        first = service.play(5, queue_s=0.3, streams=2)
        self.assertTrue(first)
        early = service.play(10, 0.0, 9, start_s=5.0)
        self.assertEqual([], early)
        late = service.play(20, 0.0, 9, start_s=15.0)
        self.assertIs(registry.Stage.DECODE, late[0].stage)

    def test_fewer_engines_change_one_after_the_other(self):
        few = Service(3, 9).play(14, queue_s=0.3, streams=1)
        many = Service(10, 27).play(14, queue_s=0.3, streams=1)
        self.assertLess(len(few), len(many))
        self.assertLess(len(few), 3)


class Right(unittest.TestCase):
    """A lease that is half over allows no order."""

    def test_order_only_in_the_first_half_of_a_lease(self):
        tenure = stages.Tenure(6.0)
        tenure.begin('l1', 100.0)
        self.assertFalse(tenure.may_order(100.1))
        tenure.win(41)
        self.assertTrue(tenure.may_order(102.9))
        self.assertFalse(tenure.may_order(103.1))
        tenure.renew(103.0)
        self.assertTrue(tenure.may_order(105.0))
        self.assertTrue(tenure.is_over(109.1))

    def test_suspended_holder_may_not_order(self):
        tenure = stages.Tenure(6.0)
        tenure.begin('l1', 100.0)
        tenure.win(41)
        # The clock went on while the VM stood still.
        self.assertFalse(tenure.may_order(170.0))


class Wishing(unittest.TestCase):
    """What the scheduler wants reaches the VM that orders."""

    def test_wish_is_repeated_until_all_were_told(self):
        service, wishes = Service(), []
        register = registry.Registry()
        register.replace(service.engines, 0.0)
        now = [0.0]
        planners = staging.Planners(
            types.SimpleNamespace(
                registry=register,
                healthy_servers=lambda _: register.candidates('s', now[0]),
            ),
            lambda *wish: wishes.append(wish),
            clock=lambda: now[0],
        )
        for _ in range(28):
            now[0] += 0.25
            service.scheduler.asked_s = now[0]
            service.load(0.3, 2, now[0])
            planners.look('s', service.scheduler)
        self.assertGreater(len(wishes), 2)
        self.assertEqual(1, len(set(wishes)))
        register.pause(wishes[0][1], now[0] + 6.0)
        told = len(wishes)
        for _ in range(8):
            now[0] += 0.25
            service.scheduler.asked_s = now[0]
            service.load(0.3, 2, now[0])
            planners.look('s', service.scheduler)
        self.assertEqual(told, len(wishes))

    def test_vm_that_is_no_longer_asked_wishes_nothing(self):
        service, wishes = Service(), []
        planners = staging.Planners(
            types.SimpleNamespace(), wishes.append, clock=lambda: 50.0
        )
        service.scheduler.asked_s = 40.0
        planners.look('s', service.scheduler)
        self.assertEqual([], wishes)


class Wire(unittest.TestCase):
    """Orders and engines' own reports as the platform has them."""

    def setUp(self):
        self.server = test_scheduler.make_engines()[0]

    def test_order_names_life_holder_fence_and_count(self):
        change = stages.Change(self.server, registry.Stage.DECODE)
        order = staging.Order(change, 'vm-1', 41, 3)
        method, path, headers, body = fleet.orders.encode_order(order)
        self.assertEqual(('POST', '/-/order'), (method, path))
        self.assertIn(
            (b'x-expect-instance', self.server.server_id.encode()), headers
        )
        self.assertEqual(
            {
                'operation': 'stage',
                'stage': 'decode',
                'holder': 'vm-1',
                'fence': 41,
                'expected': 3,
            },
            orjson.loads(body),
        )

    def test_report_of_another_life_or_shape_is_not_used(self):
        good = {'sequence': 2, 'busy': False, 'born': self.server.born_ms}
        state = fleet.orders.decode_state(self.server, 200, orjson.dumps(good))
        self.assertEqual(staging.EngineState(2, False), state)
        for changed in ({'born': 7}, {'sequence': 'x'}, {'sequence': None}):
            body = orjson.dumps(good | changed)
            self.assertIsNone(
                fleet.orders.decode_state(self.server, 200, body)
            )
        for body in (b'', b'[]', b'\xff'):
            self.assertIsNone(
                fleet.orders.decode_state(self.server, 200, body)
            )
        self.assertIsNone(fleet.orders.decode_state(self.server, 503, b'{}'))

    def test_newer_fence_elsewhere_ends_the_tenure(self):
        end = fleet.orders.decode_order_end(412)
        self.assertIs(staging.OrderEnd.FENCED, end)
        end = fleet.orders.decode_order_end(409)
        self.assertIs(staging.OrderEnd.REFUSED, end)


class ModelStore:
    """Leases and one key; answers get lost, calls are done late."""

    def __init__(self, rng, clock):
        self.rng, self.clock = rng, clock
        self.revision = 1
        self.leases = {}
        self.item = None
        self.is_away = False
        self.late = []

    def settle(self):
        """Do what is late, and end what has lapsed."""
        for call in self.late:
            call()
        self.late = []
        now = self.clock()
        for lease, (until_s, _) in list(self.leases.items()):
            if until_s <= now:
                del self.leases[lease]
        if self.item and self.item[1] not in self.leases:
            self.item = None

    def _answer(self, value):
        if self.is_away or self.rng.random() < 0.2:
            raise errors.PlatformUnavailable('no answer')
        return value

    def _refuse_if_away(self):
        if self.is_away:
            raise errors.PlatformUnavailable('away')
        self.settle()

    async def grant_lease(self, ttl_s):
        """Return a lease."""
        self._refuse_if_away()
        lease = f'lease{len(self.leases)}-{self.revision}-{self.rng.random()}'
        self.leases[lease] = self.clock() + ttl_s, ttl_s
        return self._answer(lease)

    async def keep_lease(self, lease):
        """Renew a lease."""
        self._refuse_if_away()
        if lease not in self.leases:
            raise presence.LeaseLost()
        ttl_s = self.leases[lease][1]
        self.leases[lease] = self.clock() + ttl_s, ttl_s
        self._answer(None)

    def _create(self, key, value, lease):
        if self.item is not None or lease not in self.leases:
            return None
        self.revision += 1
        found = mirror.Item(key, value, self.revision)
        self.item = found, lease
        return self.revision

    async def create(self, key, value, lease):
        """Create the key, now or later, heard of or not."""
        self._refuse_if_away()
        if self.rng.random() < 0.2:
            self.late.append(lambda: self._create(key, value, lease))
            raise errors.PlatformUnavailable('no answer')
        return self._answer(self._create(key, value, lease))

    async def read(self, key):
        """Return the key."""
        self._refuse_if_away()
        return self._answer(self.item and self.item[0])


class World:
    """VMs that are all wished a change, one engine's order book."""

    def __init__(self, seed, vms=3):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = ModelStore(self.rng, lambda: self.now)
        self.service = Service()
        self.registry = registry.Registry()
        self.registry.replace(self.service.engines, self.now)
        self.orders = []
        self.stagers = [self.make_stager(f'vm{n}') for n in range(vms)]

    def make_stager(self, vm):
        """Return a `staging.Stager` on this world's clock."""
        return staging.Stager(
            vm,
            6.0,
            self.registry,
            self.store,
            client=types.SimpleNamespace(call_once=self.call),
            wire=types.SimpleNamespace(
                encode_state_call=lambda server: ('GET', '', []),
                decode_state=lambda server, status, body: staging.EngineState(
                    0, False
                ),
                encode_order=lambda order: ('POST', '', [], order),
                decode_order_end=lambda status: staging.OrderEnd.TAKEN,
            ),
            tell_away=lambda service, server_id, seconds: None,
            clock=lambda: self.now,
            boot_clock=lambda: self.now,
        )

    async def call(self, address, method, path, headers, body=None):
        """Take an order, maybe without an answer."""
        if method == 'POST':
            self.orders.append((self.now, body.holder, body.fence))
            if self.rng.random() < 0.3:
                raise ConnectionResetError('no answer')
        return 202, b''

    async def play(self, steps):
        """Let the VMs look in any order, with gaps and a store away."""
        for _ in range(steps):
            self.now += self.rng.choice((0.1, 0.25, 0.25, 1.0))
            if self.rng.random() < 0.02:
                self.now += 7.0
            if self.rng.random() < 0.05:
                self.store.is_away = not self.store.is_away
            stager = self.rng.choice(self.stagers)
            stager.ordered_s.clear()
            stager.wish('s', 'decode3', registry.Stage.PREFILL)
            with contextlib.suppress(errors.MangorockError):
                await stager.act('s')


def find_fault(seeds=200):
    """Return what two holders did against each other, or None."""
    for seed in range(seeds):
        world = World(seed)
        curio.run(world.play, 400)
        for before, after in zip(world.orders, world.orders[1:]):
            if before[1] == after[1]:
                continue
            if after[2] <= before[2]:
                return f'seed {seed}: fence {after} after {before}'
            if after[0] - before[0] < 3.0:
                return f'seed {seed}: {after} too soon after {before}'
    return None


@mock.patch.object(staging, 'NEWS_S', 0)
class Racing(unittest.TestCase):
    """Several VMs order at once, with lost answers and lapsed leases."""

    def test_orders_of_two_holders_never_mix(self):
        self.assertIsNone(find_fault())

    def test_somebody_orders(self):
        world = World(1)
        curio.run(world.play, 400)
        self.assertGreater(len(world.orders), 3)

    def test_finds_a_holder_that_orders_through_its_whole_lease(self):
        def may_order(self, now):
            return self.is_held

        held = stages.Tenure.may_order
        stages.Tenure.may_order = may_order
        try:
            self.assertIsNotNone(find_fault())
        finally:
            stages.Tenure.may_order = held

    def test_finds_a_key_that_is_written_whoever_has_it(self):
        def create(self, key, value, lease):
            self.item = None
            return made(self, key, value, lease)

        made = ModelStore._create
        ModelStore._create = create
        try:
            self.assertIsNotNone(find_fault())
        finally:
            ModelStore._create = made


class LapsedLease(unittest.TestCase):
    """A slow store takes the key after its lease has run out."""

    def test_right_is_sought_anew(self):
        async def create(key, value, lease):
            raise presence.LeaseLost()

        world = World(3, vms=1)
        stager, made = world.stagers[0], world.store.create
        world.store.create = create
        stager.wish('s', 'decode3', registry.Stage.PREFILL)
        curio.run(stager.act, 's')
        self.assertIsNone(stager.tenures['s'].lease)
        world.store.create = made


if __name__ == '__main__':
    unittest.main()
