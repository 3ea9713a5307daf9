"""Tests stage changes of engines, and the leadership that orders them."""

import contextlib
import random
import time
import types
import unittest
from unittest import mock

import curio
import orjson

from mangorock import engines
from mangorock import eras
from mangorock import errors
from mangorock import leadership
from mangorock import mirror
from mangorock import presence
from mangorock import registry
from mangorock import scheduler
from mangorock import stages
from mangorock import staging
from tests import fleet
from tests import test_scheduler


class SimulatedService:
    """A scheduler whose queues and slots a test sets."""

    def __init__(self, prefills=3, decodes=12, slots=10):
        self.engines = test_scheduler.make_engines(prefills, decodes)
        self.scheduler = scheduler.Scheduler(test_scheduler.PROFILE)
        self.planner = stages.StagePlanner()
        for server in self.engines:
            self.scheduler.engine(server).slots = slots

    def set_load(self, queue_s, streams, now):
        """Give each prefill engine a queue, each decode engine streams."""
        for server in self.engines:
            engine = self.scheduler.engine(server)
            engine.jobs.clear()
            if server.is_prefill_only and queue_s:
                job = engines.Job(server, 0, queue_s, now)
                engine.add_job('r', job, now)
            engine.running = streams

    def run(self, seconds, queue_s, streams, start_s=0.0):
        """Return the planned changes, each taken as ordered at once."""
        found = []
        for step in range(int(seconds * 4)):
            now = start_s + step / 4
            self.set_load(queue_s, streams, now)
            self.planner.sample(self.scheduler, self.engines, now)
            change = self.planner.next_change(
                self.scheduler, self.engines, now
            )
            if change is not None:
                self.planner.on_away(change.server.incarnation, now)
                found.append(change)
        return found


class Planning(unittest.TestCase):
    """Changes that the planner derives from queues and occupancy."""

    def test_long_prompts_and_free_slots_add_a_prefill_engine(self):
        service = SimulatedService()
        fast = service.engines[5]
        service.scheduler.model.observe(fast, 8000, 0.05)
        changes = service.run(6, queue_s=0.3, streams=2)
        self.assertEqual(
            stages.Change(fast, registry.Stage.PREFILL), changes[0]
        )
        self.assertEqual(
            len(changes),
            len({change.server.incarnation for change in changes}),
        )

    def test_first_seconds_change_nothing(self):
        changes = SimulatedService().run(stages.WARM_UP_S - 0.5, 0.5, 2)
        self.assertEqual([], changes)

    def test_engine_with_large_cache_changes_only_for_a_long_shift(self):
        service = SimulatedService()
        for server in service.engines:
            engine = service.scheduler.engine(server)
            engine.cache.touch('doc', 1200000, 0.0)
        self.assertEqual([], service.run(5, 0.3, 2))
        self.assertTrue(service.run(5, 0.3, 2, start_s=5.0))

    def test_short_swings_change_nothing(self):
        service = SimulatedService()
        for swing in range(6):
            start_s = 4.0 * swing
            changes = service.run(1.0, 0.2, 2, start_s)
            changes += service.run(3.0, 0.0, 2, start_s + 1.0)
            self.assertEqual([], changes)

    def test_full_decode_engines_keep_their_stage(self):
        self.assertEqual(
            [], SimulatedService().run(20, queue_s=0.5, streams=5)
        )

    def test_peak_occupancy_outlasts_the_calm_of_a_swing(self):
        service = SimulatedService()
        service.run(4, queue_s=0.0, streams=8)
        self.assertEqual([], service.run(3, 0.3, 1, start_s=4.0))

    def test_few_decode_engines_keep_their_stage(self):
        # In a benchmark one of three decode engines became a prefill engine,
        # another was removed later, and the last one was overloaded.
        self.assertEqual([], SimulatedService(3, 8).run(20, 0.5, 0))

    def test_slots_must_suffice_without_a_failure_domain(self):
        self.assertEqual([], SimulatedService(6, 12).run(20, 0.5, 4))

    def test_engine_changes_back_when_slots_run_out_but_not_soon(self):
        service = SimulatedService()
        first = service.run(5, queue_s=0.3, streams=2)
        self.assertTrue(first)
        early = service.run(10, 0.0, 9, start_s=5.0)
        self.assertEqual([], early)
        late = service.run(20, 0.0, 9, start_s=15.0)
        self.assertIs(registry.Stage.DECODE, late[0].stage)

    def test_change_rate_depends_on_the_number_of_engines(self):
        few = SimulatedService(3, 9).run(14, queue_s=0.3, streams=1)
        many = SimulatedService(10, 27).run(14, queue_s=0.3, streams=1)
        self.assertLess(len(few), len(many))
        self.assertLess(len(few), 3)


class LeadershipLease(unittest.TestCase):
    """No order is allowed in the second half of a lease."""

    def test_order_only_in_the_first_half_of_a_lease(self):
        held = leadership.Leadership(6.0)
        held.begin('l1', 100.0)
        self.assertFalse(held.may_order(100.1))
        held.acquire(41)
        self.assertTrue(held.may_order(102.9))
        self.assertFalse(held.may_order(103.1))
        held.renew(103.0)
        self.assertTrue(held.may_order(105.0))
        self.assertTrue(held.is_expired(109.1))

    def test_suspended_leader_may_not_order(self):
        held = leadership.Leadership(6.0)
        held.begin('l1', 100.0)
        held.acquire(41)
        # The clock advanced while the VM was suspended.
        self.assertFalse(held.may_order(170.0))


class StageRequests(unittest.TestCase):
    """Requests from the scheduler to the VM that orders."""

    def test_request_is_repeated_until_the_announcement(self):
        service, requests = SimulatedService(), []
        register = registry.Registry()
        register.replace(service.engines, 0.0)
        now = [0.0]
        planning_loop = staging.PlanningLoop(
            types.SimpleNamespace(
                registry=register,
                healthy_servers=lambda _: register.candidates('s', now[0]),
            ),
            lambda *request: requests.append(request),
            clock=lambda: now[0],
        )
        for _ in range(28):
            now[0] += 0.25
            service.scheduler.last_asked_s = now[0]
            service.set_load(0.3, 2, now[0])
            planning_loop.plan('s', service.scheduler)
        self.assertGreater(len(requests), 2)
        self.assertEqual(1, len(set(requests)))
        register.pause(requests[0][1], now[0] + 6.0)
        announced = len(requests)
        for _ in range(8):
            now[0] += 0.25
            service.scheduler.last_asked_s = now[0]
            service.set_load(0.3, 2, now[0])
            planning_loop.plan('s', service.scheduler)
        self.assertEqual(announced, len(requests))

    def test_vm_that_no_longer_schedules_requests_nothing(self):
        service, requests = SimulatedService(), []
        planning_loop = staging.PlanningLoop(
            types.SimpleNamespace(), requests.append, clock=lambda: 50.0
        )
        service.scheduler.last_asked_s = 40.0
        planning_loop.plan('s', service.scheduler)
        self.assertEqual([], requests)


class OrderEncoding(unittest.TestCase):
    """Orders and engine states as the platform encodes them."""

    def setUp(self):
        self.server = test_scheduler.make_engines()[0]

    def test_order_states_server_holder_fence_and_count(self):
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

    def test_state_of_another_incarnation_or_shape_is_rejected(self):
        good = {'sequence': 2, 'busy': False, 'born': self.server.started_ms}
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

    def test_rejected_fence_and_refusal_are_distinguished(self):
        end = fleet.orders.decode_order_end(412)
        self.assertIs(staging.OrderEnd.FENCED, end)
        end = fleet.orders.decode_order_end(409)
        self.assertIs(staging.OrderEnd.REFUSED, end)


class ModelStore:
    """A store with leases and one key.

    It loses answers, and applies some calls late.
    """

    def __init__(self, rng, clock):
        self.rng, self.clock = rng, clock
        self.revision = 1
        self.leases = {}
        self.item = None
        self.is_unavailable = False
        self.delayed = []
        self.eras = eras.Eras()

    def apply_delayed(self):
        """Apply the delayed calls, and drop what has expired."""
        for call in self.delayed:
            call()
        self.delayed = []
        now = self.clock()
        for lease, (until_s, _) in list(self.leases.items()):
            if until_s <= now:
                del self.leases[lease]
        if self.item and self.item[1] not in self.leases:
            self.item = None

    def _reply(self, value):
        if self.is_unavailable or self.rng.random() < 0.2:
            raise errors.PlatformUnavailable('no answer')
        return value

    def _require_available(self):
        if self.is_unavailable:
            raise errors.PlatformUnavailable('away')
        self.apply_delayed()

    async def grant_lease(self, ttl_s):
        """Return a new lease."""
        self._require_available()
        lease = f'lease{len(self.leases)}-{self.revision}-{self.rng.random()}'
        self.leases[lease] = self.clock() + ttl_s, ttl_s
        return self._reply(lease)

    async def keep_lease(self, lease):
        """Renew a lease."""
        self._require_available()
        if lease not in self.leases:
            raise presence.LeaseLost()
        ttl_s = self.leases[lease][1]
        self.leases[lease] = self.clock() + ttl_s, ttl_s
        self._reply(None)

    def _create(self, key, value, lease):
        if self.item is not None or lease not in self.leases:
            return None
        self.revision += 1
        found = mirror.Item(key, value, self.revision)
        self.item = found, lease
        return self.revision

    async def create(self, key, value, lease):
        """Create the key, now or later, with or without an answer."""
        self._require_available()
        if self.rng.random() < 0.2:
            self.delayed.append(lambda: self._create(key, value, lease))
            raise errors.PlatformUnavailable('no answer')
        return self._reply(self._create(key, value, lease))

    async def read(self, key):
        """Return the key."""
        self._require_available()
        return self._reply(self.item and self.item[0])


class Simulation:
    """VMs that all get requests for changes of one engine."""

    def __init__(self, seed, vms=3):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.calls = 0
        self.store = ModelStore(self.rng, lambda: self.now)
        self.service = SimulatedService()
        self.registry = registry.Registry()
        self.registry.replace(self.service.engines, self.now)
        self.orders = []
        self.controllers = [self.make_controller(f'vm{n}') for n in range(vms)]

    def make_controller(self, vm):
        """Return a `staging.StageController` on the simulated clock."""
        return staging.StageController(
            vm,
            6.0,
            self.registry,
            self.store,
            client=types.SimpleNamespace(call_once=self.call),
            wire=types.SimpleNamespace(
                encode_state_request=lambda server: ('GET', '', []),
                decode_state=lambda server, status, body: staging.EngineState(
                    0, False
                ),
                encode_order=lambda order: ('POST', '', [], order),
                decode_order_end=lambda status: staging.OrderEnd.TAKEN,
            ),
            announce_away=lambda service, server_id, seconds: None,
            clock=lambda: self.now,
            boot_clock=lambda: self.now,
        )

    async def call(self, address, method, path, headers, body=None):
        """Record an order, sometimes without an answer."""
        self.calls += 1
        if method == 'POST':
            self.orders.append((self.now, body.holder, body.fence))
            if self.rng.random() < 0.3:
                raise ConnectionResetError('no answer')
        return 202, b''

    async def run(self, steps):
        """Step random VMs, with time gaps and an unavailable store."""
        for _ in range(steps):
            self.now += self.rng.choice((0.1, 0.25, 0.25, 1.0))
            if self.rng.random() < 0.02:
                self.now += 7.0
            if self.rng.random() < 0.05:
                self.store.is_unavailable = not self.store.is_unavailable
            controller = self.rng.choice(self.controllers)
            controller.order_times_s.clear()
            controller.request_stage('s', 'decode3', registry.Stage.PREFILL)
            with contextlib.suppress(errors.MangorockError):
                await controller.step('s')


def find_conflict(seeds=200):
    """Return a description of two leaders' conflict, or None."""
    for seed in range(seeds):
        simulation = Simulation(seed)
        curio.run(simulation.run, 400)
        for before, after in zip(simulation.orders, simulation.orders[1:]):
            if before[1] == after[1]:
                continue
            if after[2] <= before[2]:
                return f'seed {seed}: fence {after} after {before}'
            if after[0] - before[0] < 3.0:
                return f'seed {seed}: {after} too soon after {before}'
    return None


@mock.patch.object(staging, 'ANNOUNCE_DELAY_S', 0)
class ConcurrentControllers(unittest.TestCase):
    """Several VMs order at once; answers get lost, leases expire."""

    def test_orders_of_two_leaders_do_not_overlap(self):
        self.assertIsNone(find_conflict())

    def test_some_orders_are_sent(self):
        simulation = Simulation(1)
        curio.run(simulation.run, 400)
        self.assertGreater(len(simulation.orders), 3)

    def test_finds_a_leader_that_orders_during_its_whole_lease(self):
        def may_order(self, now):
            return self.is_held

        original = leadership.Leadership.may_order
        leadership.Leadership.may_order = may_order
        try:
            self.assertIsNotNone(find_conflict())
        finally:
            leadership.Leadership.may_order = original

    def test_finds_a_store_that_overwrites_the_key(self):
        def create(self, key, value, lease):
            self.item = None
            return original(self, key, value, lease)

        original = ModelStore._create
        ModelStore._create = create
        try:
            self.assertIsNotNone(find_conflict())
        finally:
            ModelStore._create = original


class LapsedLease(unittest.TestCase):
    """A slow store creates the key after its lease has expired."""

    def test_right_is_sought_anew(self):
        async def create(key, value, lease):
            raise presence.LeaseLost()

        simulation = Simulation(3, vms=1)
        controller, original = (
            simulation.controllers[0],
            simulation.store.create,
        )
        simulation.store.create = create
        controller.request_stage('s', 'decode3', registry.Stage.PREFILL)
        curio.run(controller.step, 's')
        self.assertIsNone(controller.leaderships['s'].lease)
        simulation.store.create = original


class EnginesWithLimits(unittest.TestCase):
    """An engine that states a limit keeps its stage."""

    def test_engine_is_neither_asked_nor_ordered(self):
        # Guards against reads of its state every 0.25 s beside its requests.
        simulation = Simulation(3, vms=1)
        limited = simulation.registry.servers['decode3']
        rates = simulation.registry.rates
        rates.on_told(limited, 1.0, time.time(), 0.0)
        curio.run(simulation.run, 50)
        self.assertEqual(0, simulation.calls)
        rates.on_told(limited, None, time.time() - 10.0, 0.0)
        curio.run(simulation.run, 50)
        self.assertGreater(simulation.calls, 0)


if __name__ == '__main__':
    unittest.main()
