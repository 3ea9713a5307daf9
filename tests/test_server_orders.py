"""Tests how many servers are ordered, and which VM orders them."""

import types
import unittest

import attrs
import curio
import hypothesis
from hypothesis import strategies

from mangorock import catalog
from mangorock import demand
from mangorock import directory as directories
from mangorock import duty_calls
from mangorock import duty_loop
from mangorock import eras
from mangorock import fleet_size
from mangorock import leadership
from mangorock import messages
from mangorock import metrics
from mangorock import registry
from mangorock import server_orders
from tests import fleet

DOMAINS = ('a', 'b', 'c')
SCALING = catalog.Scaling(1, 38, 4.0, 0.22, {'a': 0.85, 'b': 1.2, 'c': 1.0})
SLOTS = 12
# Spot servers of which 57 remain when one of three domains loses its own.
AFTER_START = 87


def spot(domain):
    return fleet_size.Kind(domain, True)


def on_demand(domain):
    return fleet_size.Kind(domain, False)


class Platform:
    """Servers that start ``boot_s`` after an order, with a planner.

    ``dry`` are the domains that have no spot servers.
    """

    def __init__(self, counts):
        self.planner = fleet_size.FleetPlanner()
        self.demand = demand.ServiceDemand()
        self.counts = dict(counts)
        self.starting = []
        self.dry = set()
        self.now = 0.0
        self.least = sum(counts.values())

    def run(self, seconds, open_count, late_share=0.0, is_known=True):
        """Plan once a second; note the fewest servers that were ready."""
        self.least = sum(self.counts.values())
        for _ in range(int(seconds)):
            self.now += 1.0
            self._start_due()
            ended = 100 if open_count else 0
            self.demand.add(open_count, ended, late_share * ended, self.now)
            self._plan(self.demand if is_known else None)
            self.least = min(self.least, self.ready)

    def _start_due(self):
        for due_s, kind in list(self.starting):
            if due_s <= self.now:
                self.starting.remove((due_s, kind))
                self.counts[kind] = self.counts.get(kind, 0) + 1

    def _plan(self, found):
        present = {
            kind: fleet_size.Presence(count)
            for kind, count in self.counts.items()
        }
        wanted = self.planner.plan(SCALING, SLOTS, present, found, self.now)
        for kind, count in dict(wanted).items():
            self._order(kind, count)

    def _order(self, kind, count):
        booting = sum(1 for _, k in self.starting if k == kind)
        missing = count - self.counts.get(kind, 0) - booting
        if missing > 0 and kind.is_spot and kind.failure_domain in self.dry:
            self.planner.on_unavailable(kind, self.now)
        elif missing > 0:
            due_s = self.now + SCALING.boot_s
            self.starting += [(due_s, kind)] * missing
        elif missing < 0:
            self.counts[kind] = max(count, 0)

    def reclaim(self, domain):
        """Take all spot servers of a domain away."""
        self.dry.add(domain)
        lost = self.counts.pop(spot(domain), 0)
        present = {spot(domain): fleet_size.Presence(0, lost)}
        present |= {
            kind: fleet_size.Presence(count)
            for kind, count in self.counts.items()
        }
        self.planner.plan(SCALING, SLOTS, present, self.demand, self.now)

    @property
    def ready(self):
        return sum(self.counts.values())

    def count(self, is_spot):
        return sum(
            count
            for kind, count in self.counts.items()
            if kind.is_spot is is_spot
        )


def make_platform():
    """Return a platform with 19 on-demand servers in each domain."""
    return Platform({on_demand(domain): 19 for domain in DOMAINS})


class Planning(unittest.TestCase):
    """The number of servers under the loads that showed the cost."""

    def test_spot_servers_replace_the_others_before_there_is_demand(self):
        # Guards against paying for on-demand servers, and against servers that
        # go before others have taken their place.
        platform = make_platform()
        platform.run(12, 0)
        self.assertEqual(
            (0, AFTER_START), (platform.count(False), platform.count(True))
        )
        self.assertEqual(57, platform.least)

    def test_servers_that_register_late_are_kept(self):
        # Guards against a plan that takes the first servers for all.
        platform = Platform({on_demand('a'): 2})
        for count in (4, 9, 14, 19):
            platform.run(1, 0)
            platform.counts |= {on_demand(domain): count for domain in DOMAINS}
        platform.run(12, 0)
        self.assertEqual(AFTER_START, platform.ready)

    def test_servers_go_until_the_demand_fills_its_share(self):
        platform = make_platform()
        platform.run(12, 0)
        platform.run(25, 80)
        slots = platform.ready * SLOTS
        self.assertGreaterEqual(slots * fleet_size.TARGET_OCCUPANCY, 80)
        self.assertLess(platform.ready, 40)

    def test_servers_stay_while_answers_are_late(self):
        platform = make_platform()
        platform.run(12, 0)
        platform.run(25, 20, late_share=0.5)
        self.assertEqual(AFTER_START, platform.ready)

    def test_unknown_demand_sends_no_server_back(self):
        platform = make_platform()
        platform.run(12, 0)
        platform.run(25, 5, is_known=False)
        self.assertEqual(AFTER_START, platform.ready)

    def test_short_burst_orders_nothing(self):
        # Guards against servers that are ready when the burst is over.
        platform = make_platform()
        platform.run(12, 0)
        platform.run(40, 60)
        before = platform.planner.wanted
        platform.run(1, 90)
        platform.run(3, 60)
        self.assertEqual(before, platform.planner.wanted)

    def test_growing_demand_is_followed(self):
        platform = make_platform()
        platform.run(12, 0)
        platform.run(40, 30)
        fewer = platform.ready
        platform.run(20, 150)
        self.assertGreater(platform.ready, 3 * fewer)

    def test_reclaimed_servers_are_replaced_elsewhere(self):
        # Guards against spot servers that carry more than the rest can bear.
        platform = make_platform()
        platform.run(12, 0)
        platform.run(40, 60)
        least = fleet_size.REMAINING_SHARE * 60 / SLOTS
        least /= fleet_size.TARGET_OCCUPANCY
        for domain in ('a', 'b'):
            platform.reclaim(domain)
            self.assertGreaterEqual(platform.ready, least)
            platform.run(8, 60)
            self.assertGreaterEqual(platform.ready, least)
        self.assertGreaterEqual(platform.count(False), least)
        platform.dry.clear()
        platform.run(20, 60)
        self.assertEqual(0, platform.count(False))

    @hypothesis.settings(max_examples=200, database=None, deadline=None)
    @hypothesis.seed(1)
    @hypothesis.given(
        strategies.integers(1, 60),
        strategies.sets(strategies.sampled_from(DOMAINS)),
    )
    def test_any_domain_may_lose_its_spot_servers(self, needed, domains):
        counts = fleet_size._cheapest(SCALING, needed, sorted(domains))
        total = sum(counts.values())
        self.assertGreaterEqual(total, needed)
        for domain in DOMAINS:
            lost = counts.get(spot(domain), 0)
            share = 1.0 if len(domains) > 1 else fleet_size.REMAINING_SHARE
            self.assertGreaterEqual(total - lost, share * needed)
            in_domain = lost + counts[on_demand(domain)]
            self.assertTrue(1 <= in_domain <= SCALING.max_servers)


class Api:
    """A platform that answers orders with ``ends``, the last one for ever."""

    def __init__(self, *ends):
        self.ends = list(ends)
        self.orders = []

    async def call(self, order, fence):
        self.orders.append((order, fence))
        return self.ends.pop(0) if len(self.ends) > 1 else self.ends[0]


class Ordering(unittest.TestCase):
    """Orders follow the plan, and are repeated where they had no effect."""

    def setUp(self):
        self.now = 100.0
        self.registry = registry.Registry(last_contact_s=100.0)
        for number in range(9):
            self.registry.put(
                registry.BackendServer(
                    f'e{number}',
                    's',
                    f'10.0.0.{number}:80',
                    DOMAINS[number % 3],
                    SLOTS,
                )
            )
        service = catalog.Service(
            's', 100, catalog.EngineProfile(SLOTS, 9000, 5.0), SCALING
        )
        self.gateway = types.SimpleNamespace(
            registry=self.registry,
            catalog=types.SimpleNamespace(services={'s': service}),
            placer=types.SimpleNamespace(vm_count=3),
            metrics=metrics.Metrics(),
        )
        self.holder = types.SimpleNamespace(fence=7, may_act=lambda: True)

    def step(self, api, seconds):
        orders = server_orders.ServerOrders(
            self.gateway, api, demand.DemandTotals(), lambda: self.now
        )

        async def run():
            for _ in range(seconds):
                self.now += 1.0
                self.registry.last_contact_s = self.now
                await orders.step(self.holder)

        curio.run(run)
        return [(o.failure_domain, o.count, o.is_spot) for o, _ in api.orders]

    def test_order_is_sent_once_and_again_if_it_has_no_effect(self):
        # Guards against orders a second, and against one that a late order
        # undid.
        api = Api(duty_calls.CallEnd.TAKEN)
        expected = [(domain, 5, True) for domain in DOMAINS]
        self.assertEqual(expected, self.step(api, 5))
        self.assertEqual({7}, {fence for _, fence in api.orders})
        self.assertEqual(2 * expected, self.step(api, 9)[:6])

    def test_nothing_is_ordered_without_the_right(self):
        self.holder.may_act = lambda: False
        self.assertEqual([], self.step(Api(duty_calls.CallEnd.TAKEN), 3))

    def test_unavailable_kind_is_not_ordered_again_at_once(self):
        api = Api(duty_calls.CallEnd.CONFLICT)
        self.assertEqual(3, len(self.step(api, 3)))

    def test_encoding(self):
        order = duty_calls.ServerOrder('s', 'a', 6, True)
        method, path, headers, body = fleet.cloud.encode_duty(
            order, 'vm-1', 12
        )
        self.assertEqual(('POST', '/scale'), (method, path))
        self.assertEqual(b'vm-1', dict(headers)[fleet.cloud.HOLDER])
        self.assertEqual(b'12', dict(headers)[fleet.cloud.FENCE])
        self.assertEqual(
            b'{"service":"s","zone":"a","desiredCount":6,"spot":true}', body
        )


class Holder:
    """A lease that this VM gets at once."""

    vm = 'vm-1'
    fence = None
    next_fence = 5
    may = True

    async def ensure(self):
        self.fence = self.next_fence
        return self.may

    async def act(self, holder):
        """Do nothing, as a job."""

    def drop_expired(self):
        """Keep the lease, which has not expired."""


class Holding(unittest.TestCase):
    """One VM holds the duties; the next one takes over when it is silent."""

    def setUp(self):
        self.now = 0.0
        self.sent = []
        names = [f'vm-{number}' for number in range(1, 6)]
        peers = [
            directories.Peer(name, 'r', (f'10.0.0.{index}', 7000))
            for index, name in enumerate(names)
        ]
        ranked = directories.membership.rank(duty_loop.SUBJECT, names)
        # The second in rank.
        self.vm, self.first = ranked[1], ranked[0]
        own = next(peer for peer in peers if peer.vm == self.vm)
        self.directory = directories.Directory(own)
        self.directory.update_peers(peers)
        self.holder = Holder()
        self.holder.vm = self.vm
        self.loop = duty_loop.DutyLoop(
            types.SimpleNamespace(
                directory=self.directory,
                send_to=lambda peer, message: self.sent.append(peer.vm),
            ),
            self.holder,
            demand.DemandCounter(),
            demand.DemandTotals(),
            clock=lambda: self.now,
        )

    def run_for(self, seconds, answers):
        for _ in range(int(seconds / duty_loop.INTERVAL_S)):
            self.now += duty_loop.INTERVAL_S
            self.loop.send_samples()
            for vm in self.sent if answers else ():
                self.loop.on_message(messages.DemandTaken(vm))
            self.sent.clear()
            curio.run(self.loop.step)

    def test_second_in_rank_leaves_the_duties_to_the_first(self):
        self.run_for(6, answers=True)
        self.assertIsNone(self.holder.fence)

    def test_second_in_rank_takes_over_from_a_silent_first(self):
        # Guards against duties that wait until the store drops a dead VM.
        self.run_for(6, answers=False)
        self.assertEqual(5, self.holder.fence)

    def test_jobs_begin_anew_when_the_holder_may_act_later(self):
        # Guards against jobs that go on with what they knew in an earlier
        # tenure, where the right is held before it may be used.
        began = []
        job = types.SimpleNamespace(
            reset=lambda: began.append(self.holder.fence), step=self.holder.act
        )
        self.loop.jobs.append(job)
        for fence in (7, 9):
            self.holder.may, self.holder.next_fence = False, fence
            self.run_for(4, answers=False)
            self.holder.may = True
            self.run_for(4, answers=False)
        self.assertEqual([7, 9], began)

    def test_sample_is_answered_and_counted(self):
        answer = self.loop.on_message(
            messages.DemandSample('vm-9', [('s', 4, 10, 1, 2)])
        )
        self.assertEqual(messages.DemandTaken(self.vm), answer)
        self.loop.totals.close_interval(self.now)
        found = self.loop.totals.of('s')
        self.assertAlmostEqual(0.3, found.pressure)
        self.assertEqual(1, self.loop.totals.vm_count)


class LeaseOfDuties(unittest.TestCase):
    """The lease that no holder may use in its second half."""

    def test_holder_that_was_suspended_may_not_act(self):
        # Guards against orders of a VM that woke after another took over.
        now = [100.0]
        held = leadership.make_lease_holder(
            'vm-1',
            'k',
            6.0,
            types.SimpleNamespace(eras=eras.Eras()),
            clock=lambda: now[0],
        )
        held.leadership.begin('l1', 100.0)
        held.leadership.acquire(41)
        self.assertTrue(held.may_act())
        now[0] = 103.5
        self.assertFalse(held.may_act())
        now[0] = 107.0
        held.drop_expired()
        self.assertIsNone(held.fence)


class Counting(unittest.TestCase):
    """The demand of a VM and of all."""

    def test_open_requests_remain_open_in_the_next_sample(self):
        counter = demand.DemandCounter()
        counter.on_open('s')
        counter.on_open('s')
        counter.on_end('s', is_late=True, is_refused=False)
        first, second = counter.take(), counter.take()
        self.assertEqual([(1, 1, 1, 0)], [attrs.astuple(s)[1:] for s in first])
        self.assertEqual(
            [(1, 0, 0, 0)], [attrs.astuple(s)[1:] for s in second]
        )

    def test_sample_of_a_lost_vm_ends(self):
        totals = demand.DemandTotals()
        totals.on_sample('vm-1', [demand.Sample('s', 5, 0, 0, 0)], 0.0)
        totals.close_interval(1.0)
        self.assertEqual(1, totals.vm_count)
        totals.close_interval(9.0)
        self.assertEqual(0, totals.vm_count)
