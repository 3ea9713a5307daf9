"""Tests of a store that gives a VM no response for a time.

It accepts changes meanwhile.  A VM is in touch with the store at a moment if
the store has responded to it for the whole stable window before that; then it
must act on every change that was accepted longer ago than the bound.
"""

import unittest
from unittest import mock

import attrs
import curio
import hypothesis
from hypothesis import strategies

from mangorock import errors
from mangorock import mirror
from mangorock import platform
from mangorock import watcher
from tests import fleet
from tests import test_front
from tests import workers

PAGE_SIZE = 2
KEYS = 'abcde'
ROUND_TRIP_S = 0.01
SAMPLE_S = 0.02
END_S = 40.0


@attrs.define
class SimulatedStore:
    """A store whose changes and silences are known in advance.

    ``changes`` are (time, key) pairs, ``silences`` and ``freezes`` (start,
    end) pairs, in seconds and in order.  A change has the revision of its
    position, from 1.  In a freeze the VM does nothing, and the store answers.
    """

    changes: list
    silences: list
    freezes: list = attrs.field(factory=list)

    def is_silent(self, time_s):
        """Say whether the VM gets no response at ``time_s``."""
        return any(start <= time_s < end for start, end in self.silences)

    def is_disturbed(self, start_s, end_s):
        """Say whether a silence or a freeze meets this time."""
        return any(
            start <= end_s and start_s < end
            for start, end in self.silences + self.freezes
        )

    def thaw(self, time_s):
        """Return when the VM does what is due at ``time_s``."""
        for start, end in self.freezes:
            if start <= time_s < end:
                return end
        return time_s

    def frozen_s(self, start_s, end_s):
        """Return for how long the VM is frozen between two moments."""
        return sum(
            max(0.0, min(end, end_s) - max(start, start_s))
            for start, end in self.freezes
        )

    def events(self, after, until_s):
        """Return the events after a revision that were made by ``until_s``."""
        return tuple(
            mirror.Item(key, b'', revision)
            for revision, (made_s, key) in enumerate(self.changes, 1)
            if made_s <= until_s and revision > after
        )

    def respond(self, call, now):
        """Return (time, response) of a call opened at ``now``.

        The response is None if it is lost.
        """
        arrived_s = now + ROUND_TRIP_S / 2
        match call:
            case mirror.ListPage():
                answered_s, response = arrived_s, self._page(call, arrived_s)
            case mirror.Watch():
                answered_s, response = self._changes(call, arrived_s)
        if self.is_silent(arrived_s) or self.is_silent(answered_s):
            return now + call.timeout_s, None
        return answered_s + ROUND_TRIP_S / 2, response

    def _page(self, call, now):
        newest = {event.key: event for event in self.events(0, now)}
        keys = sorted(key for key in newest if key > call.after)
        items = tuple(newest[key] for key in keys[:PAGE_SIZE])
        revision = len(self.events(0, now))
        return mirror.Page(items, len(keys) > PAGE_SIZE, revision)

    def _changes(self, call, arrived_s):
        last_s = arrived_s + call.wait_s
        made_s = [made_s for made_s, _ in self.changes[call.revision :]]
        answered_s = max(arrived_s, min([last_s, *made_s]))
        events = self.events(call.revision, answered_s)
        return answered_s, mirror.Changes(events, len(self.changes))


def follow(store, stable_s, bound_s, jitter, is_clock_stopped):
    """Return (time, known revision of each key) after each call.

    With ``is_clock_stopped`` the VM's clock stands still in a freeze.
    """
    timing = mirror.make_timing(stable_s, bound_s)
    followed = mirror.Mirror('', timing)
    now, known, history = 0.0, {}, []
    while now < END_S:
        call = followed.next_call()
        opened_s = now
        now, response = store.respond(call, now)
        if is_clock_stopped and response is None:
            now += store.frozen_s(opened_s, now)
        now = store.thaw(now)
        pause_s = 0.0
        match response:
            case None:
                pause_s = followed.on_failure(jitter)
            case mirror.Page():
                for item in followed.on_page(response) or ():
                    known[item.key] = item.revision
            case mirror.Changes():
                events = followed.on_changes(response)
                for event in events:
                    known[event.key] = event.revision
                if events:
                    pause_s = followed.batch_delay_s(jitter)
        history.append((now, dict(known)))
        now = store.thaw(now + pause_s)
    return history


def find_late(store, stable_s, bound_s, jitter, is_clock_stopped):
    """Return the time at which a mirror in touch lacks a change, or None."""
    history = follow(store, stable_s, bound_s, jitter, is_clock_stopped)
    position = 0
    for number in range(int(END_S / SAMPLE_S)):
        now = number * SAMPLE_S
        while position < len(history) and history[position][0] <= now:
            position += 1
        if now < stable_s or store.is_disturbed(now - stable_s, now):
            continue
        known = history[position - 1][1] if position else {}
        for event in store.events(0, now - bound_s):
            if known.get(event.key, 0) < event.revision:
                return now
    return None


def sum_up(gaps):
    """Return the times that follow each other by ``gaps``, in ms."""
    times, now = [], 0.0
    for gap_ms in gaps:
        now += gap_ms / 1000
        times.append(now)
    return times


GAP_MS = strategies.integers(0, 3000)
#: The gap before a silence or freeze, its length, and which of both it is.
SILENCES = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 6000),
        strategies.one_of(
            strategies.integers(1, 400), strategies.integers(400, 8000)
        ),
        strategies.sampled_from(('silence', 'silence', 'freeze')),
    ),
    min_size=1,
    max_size=4,
)
CHANGES = strategies.lists(
    strategies.tuples(GAP_MS, strategies.sampled_from(KEYS)), max_size=12
)
# The stable window and the bound of a change, in seconds.
BOUNDS = strategies.sampled_from(
    (
        (1.0, 0.5),
        (1.0, 1.0),
        (3.0, 2.0),
        (4.0, 3.0),
        (5.0, 4.0),
        (10.0, 0.5),
        (2.0, 10.0),
    )
)
# Those of them with a bound that is shorter than a delay after events.
SHORT_BOUNDS = strategies.sampled_from(((1.0, 0.5), (10.0, 0.5)))
JITTER = strategies.sampled_from((0.0, 0.5, 0.999))


def make_store(silences, changes):
    """Return the `SimulatedStore` of generated silences and changes."""
    ends = sum_up([ms for row in silences for ms in row[:2]])
    spans = list(zip(ends[::2], ends[1::2]))
    kinds = [kind for _, _, kind in silences]
    made_s = sum_up([gap_ms for gap_ms, _ in changes])
    return SimulatedStore(
        list(zip(made_s, [key for _, key in changes])),
        [span for span, kind in zip(spans, kinds) if kind == 'silence'],
        [span for span, kind in zip(spans, kinds) if kind == 'freeze'],
    )


def find_failure(possible_bounds=BOUNDS):
    """Return the first inputs for which a change is known late, or None."""
    found = []

    @hypothesis.seed(1)
    @hypothesis.settings(
        max_examples=300,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        SILENCES, CHANGES, possible_bounds, JITTER, strategies.booleans()
    )
    def check(silences, changes, bounds, jitter, is_clock_stopped):
        store = make_store(silences, changes)
        late_s = find_late(store, *bounds, jitter, is_clock_stopped)
        if late_s is not None:
            found.append((store, bounds, jitter, is_clock_stopped, late_s))

    check()
    return found[0] if found else None


class GeneratedSilences(unittest.TestCase):
    """Silences of every phase and length, beside changes of several keys."""

    def test_mirror_in_touch_knows_every_change_in_time(self):
        # Guards against waits that outlast the stable window.
        self.assertIsNone(find_failure())

    def test_finds_a_watch_that_is_given_up_too_late(self):
        with mock.patch.object(mirror, 'WATCH_TIMEOUT_PART', 1.1):
            self.assertIsNotNone(find_failure())

    def test_finds_a_listing_that_is_repeated_too_late(self):
        with mock.patch.multiple(
            mirror, LIST_TIMEOUT_PART=1.1, LIST_TIMEOUT_S=10.0
        ):
            self.assertIsNotNone(find_failure())

    def test_finds_a_delay_that_outlasts_a_short_bound(self):
        # Guards against a delay after events that is the same for all bounds.
        with mock.patch.multiple(
            mirror, BATCH_DELAY_PART=9.0, MAX_BATCH_DELAY_S=0.8
        ):
            self.assertIsNotNone(find_failure(SHORT_BOUNDS))


class ChangesBehindASilence(unittest.TestCase):
    """A VM that is in touch again acts on what was stored meanwhile."""

    STABLE_S = 1.0
    BOUND_S = 0.95
    SILENCE_S = 0.3

    async def _old_arrivals(self, phase_s):
        """Return which servers got requests after the changes."""
        servers = [
            workers.Worker(name, service, workers.whole_response)
            for name, service in (
                ('w1', 'desk'),
                ('w2', 'desk'),
                ('w3', 'desk-b'),
                ('w4', 'desk-b'),
            )
        ]
        cluster = fleet.Fleet(
            *servers,
            stable_s=self.STABLE_S,
            config_s=self.BOUND_S,
            drain_s=self.BOUND_S,
        )
        async with cluster:
            await curio.sleep(self.STABLE_S)
            store = cluster.store
            # A first change ends the watches, so that new ones are opened.
            store.put('op/config', fleet.make_config(5))
            store.put('servers/w1', servers[0].entry('draining', 2))
            await curio.sleep(phase_s)
            store.is_silent = True
            config = fleet.make_config(9)
            for route in config['routes']:
                route['service'] = 'desk-b'
            config['services'].append({**config['services'][0]})
            config['services'][-1]['name'] = 'desk-b'
            store.put('op/config', config)
            store.put('servers/w3', servers[2].entry('draining', 2))
            await curio.sleep(self.SILENCE_S)
            store.is_silent = False
            await curio.sleep(self.STABLE_S)
            for _ in range(6):
                await cluster.request('GET', '/look/')
        return [server.name for server in servers if server.received]

    def test_change_whose_watch_met_a_silence_is_in_force_in_time(self):
        # Guards against orders to a service or server that was left before.
        for phase_s in (0.0, 0.35, 0.65, 0.85):
            with self.subTest(phase_s=phase_s):
                arrivals = curio.run(self._old_arrivals, phase_s)
                self.assertEqual(['w4'], arrivals)


class LostResponse(unittest.TestCase):
    """A response of the store is lost while a watch waits."""

    @test_front.run
    async def test_watch_without_a_response_is_repeated_in_time(self):
        # Guards against a margin that is the same for all stable windows.
        async with fleet.Fleet(stable_s=1.0) as cluster:
            await curio.sleep(0.1)
            cluster.store.is_silent = True
            cluster.store.put('op/config', fleet.make_config(9))
            await fleet.wait_until(lambda: cluster.store.lost_responses)
            cluster.store.is_silent = False
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 9, 1.0
            )


class MovedStore(unittest.TestCase):
    """The settings file names another address of the store."""

    @test_front.run
    async def test_change_at_the_new_address_is_in_force_in_time(self):
        # Guards against a watch that waits at the old address.
        moved = fleet.Store()
        await moved.start()
        moved.put('op/config', fleet.make_config(9))
        async with fleet.Fleet() as cluster:
            await curio.sleep(0.1)
            cluster.store.is_silent = True
            settings = attrs.evolve(
                cluster.settings, store_address=f'127.0.0.1:{moved.port}'
            )
            begun_s = await curio.clock()
            await cluster.front.reload(lambda: settings)
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 9, 5.0
            )
            took_s = await curio.clock() - begun_s
        await moved.close()
        self.assertLess(took_s, cluster.settings.config_s)


class TablesReadAgain(Exception):
    """The daemon has asked for the tables again."""


class LostWatchOfTables(unittest.TestCase):
    """The product's own daemon: the response to a watch of the tables."""

    def test_change_behind_a_lost_response_is_read_in_time(self):
        # Guards against a watch that outlasts the bound on a change.
        passed_s = [0.0]

        async def sleep(seconds):
            passed_s[0] += seconds

        class LossyPlatform:
            """Loses the first response; the change is made just before."""

            async def watch(self, key, after, wait_s):
                if not passed_s[0]:
                    passed_s[0] += wait_s + platform.CALL_TIMEOUT_S
                    raise errors.PlatformUnavailable('no response')
                raise TablesReadAgain()

        env = mock.Mock()
        env.platform = LossyPlatform()
        env.tables.revision = 0
        env.rng.random.return_value = 0.999
        with mock.patch.object(watcher.curio, 'sleep', sleep):
            with self.assertRaises(TablesReadAgain):
                curio.run(watcher.watch_tables, env)
        # 15 s in all, of which 3 s for the other daemons.
        self.assertLessEqual(passed_s[0], 15.0 - 3.0)


if __name__ == '__main__':
    unittest.main()
