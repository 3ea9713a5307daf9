"""Tests what is learned of servers that differ in speed, by replayed loads."""

import random
import statistics
import unittest
from unittest import mock

import attrs

from mangorock import capacity
from mangorock import capacity_reports
from mangorock import exposition
from mangorock import messages
from mangorock import placement
from mangorock import registry
from mangorock import scheduler
from mangorock import traffic
from tests import test_scheduler

SLOTS = 30
VMS = 4
STEP_S = 0.004
WORK_S = 0.1
TARGET_S = 0.3
SETTLED_S = 4.0


@attrs.define
class SimulatedServer:
    """A server whose requests share its speed beyond ``knee`` of them.

    ``speed(now)`` is its speed and ``pace(load)`` the pace that it reports.
    ``report`` is a false report that it sends instead, or None.
    """

    server: registry.BackendServer
    knee: float
    speed: object = lambda now: 1.0
    pace: object = lambda load: None
    report: object = None
    jobs: list = attrs.field(factory=list)

    def step(self, now):
        """Work for one step; return the jobs that ended."""
        running = self.jobs[:SLOTS]
        done = []
        progress = self.speed(now) * STEP_S
        progress *= min(1.0, self.knee / max(1, len(running)))
        for job in running:
            job[0] -= progress
            if job[0] <= 0:
                self.jobs.remove(job)
                done.append(job)
        return done

    def make_report(self):
        """Return the load report of a response."""
        if self.report is not None:
            return self.report
        running = min(SLOTS, len(self.jobs))
        waiting, pace = len(self.jobs) - running, self.pace(running)
        return traffic.LoadReport(running, waiting, SLOTS, pace)


def make_server(name):
    return registry.BackendServer(name, 's', name, 'a', SLOTS)


def replay(servers, rate, seconds, vms=VMS, seed=1):
    """Return the placers and the (time, server, latency) of each response."""
    rng = random.Random(seed)
    by_name = {s.server.server_id: s for s in servers}
    listed = [s.server for s in servers]
    placers = [placement.Placer('a', vms) for _ in range(vms)]
    ended = []
    for number in range(int(seconds / STEP_S)):
        now = number * STEP_S
        while rng.random() < rate * STEP_S / (1 + rate * STEP_S):
            placer = rng.choice(placers)
            chosen = placer.place_plain(listed, SLOTS * 8, now)
            if chosen is None:
                continue
            placer.on_send(chosen)
            by_name[chosen.server_id].jobs.append(
                [WORK_S * rng.uniform(0.7, 1.3), now, placer]
            )
        for simulated in servers:
            for _, sent_s, placer in simulated.step(now):
                server, latency_s = simulated.server, now - sent_s + STEP_S
                placer.on_end(server)
                placer.on_answer(
                    server, simulated.make_report(), latency_s, now
                )
                ended.append((now, server.server_id, latency_s))
    return placers, ended


def compare(make_servers, rate, seconds=12, **more):
    """Return two lists of latencies: with learned limits, and without."""
    found = []
    for is_enabled in (True, False):
        with mock.patch.object(capacity, 'IS_ENABLED', is_enabled):
            _, ended = replay(make_servers(), rate, seconds, **more)
        found.append([s for now, _, s in ended if now > SETTLED_S])
    return found


def late_share(latencies):
    return sum(s > TARGET_S for s in latencies) / len(latencies)


def make_mixed(slow_knee=SLOTS, speeds=(1.0,), has_pace=False):
    """Return six servers, the first two with ``slow_knee``."""
    made = []
    for number in range(6):
        knee = slow_knee if number < 2 else SLOTS
        speed = speeds[number % len(speeds)]
        simulated = SimulatedServer(
            make_server(f's{number}'), knee, lambda now, speed=speed: speed
        )
        if has_pace:
            simulated.pace = lambda n, knee=knee: max(1.0, n / knee)
        made.append(simulated)
    return made


class ReplayedLoads(unittest.TestCase):
    """Loads on servers of one service that differ in speed."""

    def test_equal_servers_are_chosen_as_without_learning(self):
        # A limit learned from noise would change the choice.
        with_it, without = compare(make_mixed, 900)
        self.assertEqual(without, with_it)

    def test_three_speeds(self):
        # A pace that stays the same must not hide the slow servers.
        with_it, without = compare(
            lambda: make_mixed(speeds=(0.6, 1.0, 1.6), has_pace=True), 1000
        )
        self.assertLessEqual(
            statistics.fmean(with_it), statistics.fmean(without)
        )

    def test_server_that_slows_at_a_third_of_its_slots(self):
        # Half of the slots was taken for the limit of all servers.
        with_it, without = compare(lambda: make_mixed(SLOTS / 3), 1000, vms=40)
        self.assertGreater(late_share(without), 0.03)
        self.assertLess(late_share(with_it), 0.7 * late_share(without))

    def test_pace_shows_the_limit_to_vms_with_few_requests(self):
        with_it, without = compare(
            lambda: make_mixed(SLOTS / 3, has_pace=True), 1000, vms=40
        )
        self.assertLess(late_share(with_it), 0.1 * late_share(without))
        # It must not be left idle for the latency that it once had, either.
        _, ended = replay(make_mixed(SLOTS / 3, has_pace=True), 1000, 12, 40)
        found = [s for t, name, s in ended if name == 's0' and t > 8]
        self.assertGreater(len(found) / 4, 40)
        self.assertLess(statistics.fmean(found), 1.5 * WORK_S)

    def test_server_that_halves_its_speed_and_recovers(self):
        # What was learned of the slow time kept requests away afterwards.
        servers = make_mixed(has_pace=True)
        servers[0].speed = lambda now: 0.5 if 6 <= now < 12 else 1.0
        _, ended = replay(servers, 800, 20)

        def rate(from_s, to_s):
            times = [t for t, name, _ in ended if name == 's0']
            return sum(from_s <= t < to_s for t in times) / (to_s - from_s)

        before = rate(3, 6)
        self.assertLess(rate(8, 12), 0.75 * before)
        self.assertGreater(rate(16, 20), 0.85 * before)
        # Load moved all at once would overload it.
        self.assertLess(rate(12, 13), 1.3 * before)

    def test_server_with_false_reports(self):
        # It says that it is idle and fast; it is the slowest.
        def make_servers():
            servers = make_mixed(SLOTS / 3)
            servers[0].report = traffic.LoadReport(0, 0, SLOTS, 0.01)
            return servers

        with_it, without = compare(make_servers, 1000, vms=40)
        self.assertLess(late_share(with_it), late_share(without))

    def test_false_report_takes_no_server_out_of_use(self):
        servers = make_mixed()
        servers[0].report = traffic.LoadReport(10**6, 10**6, 1, 100.0)
        _, ended = replay(servers, 600, 12)
        times = [t for t, name, _ in ended if name == 's0']
        for second in range(2, 12, 2):
            self.assertTrue(any(second <= t < second + 2 for t in times))


class LearnedLimit(unittest.TestCase):
    """The limit of one server from single responses."""

    def setUp(self):
        self.learned = capacity.Capacity()

    def observe(self, from_s, to_s, interval_s=0.05, slow_from=10, pace=None):
        for number in range(int((to_s - from_s) / interval_s)):
            load = 1 + number * 7 % 30
            latency_s = 0.1 * max(1.0, load / slow_from)
            self.learned.observe(
                load, latency_s, SLOTS, from_s + number * interval_s, pace
            )

    def test_one_response_a_second(self):
        # The load is the server's, so a VM needs few requests of its own.
        self.observe(0, 12, 1.0, slow_from=6)
        self.assertTrue(3 <= self.learned.limit(SLOTS, 12) <= 12)

    def test_paces_show_the_limit_where_latencies_vary(self):
        # Requests differ in work by a factor of 15, their paces do not.
        rng = random.Random(3)
        for second in range(12):
            load = 1 + second * 7 % 30
            latency_s, pace = rng.uniform(0.02, 0.3), max(1.0, load / 6)
            self.learned.observe(load, latency_s, SLOTS, second, pace)
        self.assertTrue(3 <= self.learned.limit(SLOTS, 12) <= 12)

    def test_limit_is_at_least_one(self):
        # Without any request, a server that recovered would not be noticed.
        self.observe(0, 5, slow_from=0.1)
        self.assertGreaterEqual(self.learned.limit(SLOTS, 5), 1)

    def test_limit_is_forgotten_gradually(self):
        self.observe(0, 5)
        limits = [self.learned.limit(SLOTS, 5 + s / 2) for s in range(40)]
        self.assertLess(limits[0], SLOTS / 2)
        self.assertEqual(SLOTS, limits[-1])
        for limit, following in zip(limits, limits[1:]):
            self.assertLessEqual(limit, following)
            self.assertLessEqual(following, 1.5 * limit)

    def test_response_after_a_hang_changes_little(self):
        # One latency of 100 s made the limit too low, then let it be lost.
        self.observe(0, 5)
        self.learned.observe(3, 100.0, SLOTS, 5)
        self.observe(5, 10)
        self.assertTrue(6 <= self.learned.limit(SLOTS, 10) <= 20)

    def test_recovery_is_learned_from_responses(self):
        self.observe(0, 5)
        self.observe(5, 20, slow_from=100)
        self.assertEqual(SLOTS, self.learned.limit(SLOTS, 20))

    def test_pace_is_valid_for_a_moment(self):
        for number in range(50):
            self.learned.on_pace(1.0, number * 0.1)
        self.learned.on_pace(2.0, 5.0)
        self.assertGreater(self.learned.pace_factor(5.05), 1.5)
        self.assertLess(self.learned.pace_factor(5.2), 1.01)

    def test_change_is_reported_once(self):
        self.observe(0, 5)
        self.assertIsNotNone(self.learned.take_change(SLOTS, 5))
        self.assertIsNone(self.learned.take_change(SLOTS, 5))
        self.assertEqual(SLOTS, self.learned.take_change(SLOTS, 40))
        self.assertIsNone(self.learned.take_change(SLOTS, 40))


class EngineLimits(unittest.TestCase):
    """The scheduler counts streams against what it has learned."""

    def setUp(self):
        self.server = test_scheduler.make_engines(0, 1)[0]
        self.scheduler = scheduler.Scheduler(
            attrs.evolve(test_scheduler.PROFILE, slots=64)
        )

    def report(self, seconds_for, seconds=6):
        """Report the pace of streams while 2 to 40 of them run."""
        engine = self.scheduler.engine(self.server)
        for number in range(20 * seconds):
            streams = 2 + number * 7 % 39
            engine.update_load(streams, 64)
            pace = messages.StreamPace(
                's', 'decode0', 11, 10 * seconds_for(number, streams)
            )
            self.scheduler.record_pace(pace, [self.server], number / 20)
        return engine.usable_slots(seconds)

    def test_engine_whose_gaps_grow_has_fewer_usable_slots(self):
        usable = self.report(lambda n, streams: 0.03 * max(1, streams / 12))
        self.assertTrue(6 <= usable <= 24, usable)
        with mock.patch.object(capacity, 'IS_ENABLED', False):
            engine = self.scheduler.engine(self.server)
            self.assertEqual(64, engine.usable_slots(6))

    def test_false_pace_of_one_vm_changes_nothing(self):
        # One of ten messages says that streams stand still.
        usable = self.report(lambda n, streams: 0.03 if n % 10 else 30.0)
        self.assertEqual(64, usable)

    def test_streams_go_to_the_engine_below_its_limit(self):
        placer = placement.Placer('a', 1)
        servers = test_scheduler.make_engines(0, 2)
        demand = placement.Demand(traffic.Prompt('m', 100, 50), 0.5, 1.0, 64)
        for server in servers:
            placer.on_answer(server, traffic.LoadReport(20, 0, 64), 0.1, 0.0)
        first = placer.place_generation(demand, servers, 0.1).decode
        learned = placer.load(first).streams
        learned.knee = capacity.Knee(8.0, 5.0, 9.0)
        learned.start_limit = 8.0
        chosen = placer.place_generation(demand, servers, 0.1).decode
        self.assertIsNot(first, chosen)

    def test_vm_that_places_by_itself_learns_from_gaps(self):
        # The time to the first event depends on the prompt, and shows nothing.
        placer = placement.Placer('a', 1)
        for number in range(200):
            now, running = number * 0.05, 2 + number * 7 % 39
            report = traffic.LoadReport(running, 0, 64)
            placer.on_answer(self.server, report, 3.0 / running, now)
            gap_s = 0.03 * max(1, running / 12)
            placer.on_gap(self.server, gap_s, now)
        load = placer.load(self.server)
        self.assertEqual(64, load.answers.limit(64, now))
        self.assertTrue(6 <= load.streams.limit(64, now) <= 24)


class Reports(unittest.TestCase):
    """What operators see of learned limits."""

    def test_lines_are_bounded_and_continue(self):
        placer = placement.Placer('a')
        counts = exposition.make_prometheus_metrics()
        for number in range(25):
            load = placer.load(make_server(f's{number}'))
            load.report = traffic.LoadReport(5, 0, SLOTS)
            load.answers.knee = capacity.Knee(8.0, 5.0, 1000.0)
            load.answers.start_limit = 8.0
        shown = capacity_reports.CapacityReports()
        for now, expected in ((0, 10), (1, 10), (6, 20), (12, 25), (18, 25)):
            shown.report(placer, [], counts, now)
            self.assertEqual(expected, counts.counts['capacity_learned'])
        text = exposition.render(counts).decode()
        self.assertIn('mangorock_level{name="capacity_limited"} 25.0', text)
