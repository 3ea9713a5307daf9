"""Tests that large prompts get their part of engines that are overloaded."""

import random
import unittest

import attrs

from mangorock import backlog
from mangorock import catalog
from mangorock import engines as engine_models
from mangorock import messages
from mangorock import scheduler
from tests import test_scheduler

PROFILE = catalog.EngineProfile(64, 440559, 5.0)
TARGET_S, PATIENCE_S = 0.6, 5.0
BURST_S, CRASH_S = (6.0, 18.0), (7.0, 17.0)
LAST_ARRIVAL_S = 22.0
RATE, BURST_FACTOR = 9.0, 2.5
# Of its time left, a caller waits this share at most before it comes back.
RETRY_SHARE = 1 / 3
MAX_CALLS = 3
TICK_S = 0.02


@attrs.define(eq=False)
class Caller:
    """A caller and its prompt; ``is_served`` once its first event came."""

    arrived_s: float
    document: str
    shared_tokens: int
    own_tokens: int
    calls: int = 0
    is_served: bool = False
    is_in_time: bool = False

    @property
    def tokens(self):
        """Return the size of the prompt."""
        return self.shared_tokens + self.own_tokens


def make_callers(seed):
    """Return the callers of a burst, by arrival.

    Documents and prompts have the sizes of the Traders' reviews.
    """
    rng, now, made = random.Random(seed), 0.0, []
    documents = [
        (f'd{n}', min(39900, int(rng.lognormvariate(9.25, 0.7))))
        for n in range(126)
    ]
    while now < LAST_ARRIVAL_S:
        is_burst = BURST_S[0] <= now < BURST_S[1]
        now += rng.expovariate(RATE * (BURST_FACTOR if is_burst else 1.0))
        own_tokens = min(53200, int(rng.lognormvariate(7.62, 1.1)))
        made.append(Caller(now, *rng.choice(documents), own_tokens))
    return made


class Replay:
    """A burst at one scheduler while some of its engines are gone.

    Engines prefill one prompt after the other, at unequal speeds.  A caller
    that is refused comes back after the time that it was told, as long as it
    has time.
    """

    def __init__(self, callers):
        self.callers = callers
        self.engines = [
            attrs.evolve(server, slots=PROFILE.slots)
            for server in test_scheduler.make_engines(2, 4)
        ]
        speeds = test_scheduler.SPEEDS
        self.speeds = {
            server.server_id: speeds[n % len(speeds)]
            for n, server in enumerate(self.engines)
        }
        self.caches = {
            server.server_id: engine_models.DocumentCache(
                scheduler.CACHE_SHARE * PROFILE.kv_tokens
            )
            for server in self.engines
        }
        self.scheduler = scheduler.Scheduler(PROFILE)
        self.free_at_s = {}
        self.calls, self.ends, self.known = [], [], {}

    def usable(self, now):
        """Return the engines that are not gone."""
        if CRASH_S[0] <= now < CRASH_S[1]:
            return self.engines[1:4]
        return self.engines

    def run(self):
        """Play all arrivals until each caller has an end."""
        for number, caller in enumerate(self.callers):
            self.calls.append((caller.arrived_s, number))
        now = 0.0
        while now < LAST_ARRIVAL_S + PATIENCE_S:
            now += TICK_S
            self._end_prefills(now)
            while self.calls and self.calls[0][0] <= now:
                self._call(*self.calls.pop(0))
            self._begin(
                self.scheduler.assign_waiting(self.usable(now), now), now
            )

    def _call(self, now, number):
        caller = self.callers[number]
        caller.calls += 1
        request_id = f'{number}.{caller.calls}'
        self.known[request_id] = number
        left_s = caller.arrived_s + PATIENCE_S - now
        request = messages.PlacementRequest(
            's',
            request_id,
            caller.document,
            caller.shared_tokens,
            caller.own_tokens,
            0.3,
            TARGET_S,
            TARGET_S,
            left_s,
        )
        answer, others = self.scheduler.place(request, self.usable(now), now)
        waiting = backlog.WaitingPrompt(request, None, 0.0, 0.0)
        self._begin([(waiting, answer), *others], now)

    def _begin(self, answers, now):
        for waiting, message in answers:
            request_id = waiting.request.request_id
            match message:
                case messages.Assignment():
                    self._prefill(request_id, message, now)
                case messages.Rejection(retry_after_s):
                    self._refuse(self.known[request_id], retry_after_s, now)

    def _refuse(self, number, retry_after_s, now):
        caller = self.callers[number]
        left_s = caller.arrived_s + PATIENCE_S - now
        again_s = now + min(retry_after_s, RETRY_SHARE * left_s)
        if caller.calls < MAX_CALLS:
            self.calls.append((again_s, number))
            self.calls.sort()

    def _prefill(self, request_id, assignment, now):
        caller = self.callers[self.known[request_id]]
        servers = {s.server_id: s for s in self.engines}
        server_id = assignment.prefill or assignment.decode
        tokens = caller.own_tokens
        sources = {server_id, assignment.fetch_from} - {''}
        if not any(
            self.caches[s].is_available(caller.document, now) for s in sources
        ):
            tokens += caller.shared_tokens
        rate = test_scheduler.rate_of(servers[server_id])
        start_s = max(now, self.free_at_s.get(server_id, 0.0))
        end_s = start_s + tokens / rate / self.speeds[server_id]
        self.free_at_s[server_id] = end_s
        for holder in {server_id, assignment.decode}:
            self.caches[holder].touch(
                caller.document, caller.shared_tokens, end_s
            )
            self.caches[holder].touch(request_id, caller.own_tokens, end_s)
        self.ends.append((end_s, request_id))
        self.ends.sort()

    def _end_prefills(self, now):
        while self.ends and self.ends[0][0] <= now:
            end_s, request_id = self.ends.pop(0)
            caller = self.callers[self.known[request_id]]
            caller.is_served = end_s - caller.arrived_s <= PATIENCE_S
            caller.is_in_time = end_s - caller.arrived_s <= TARGET_S
            engines = self.usable(end_s)
            outcome = messages.Outcome('s', request_id, 0.1)
            self.scheduler.record_outcome(outcome, engines, end_s)
            self._begin(self.scheduler.assign_waiting(engines, end_s), end_s)


def share_served(callers):
    """Return the share of callers that were served."""
    return sum(caller.is_served for caller in callers) / len(callers)


class LargePrompts(unittest.TestCase):
    """A burst while half of the engines are gone shuts out large prompts.

    A large prompt cannot be in time soon after its arrival, and so got only
    what was left by those that could; and since its own prefill counted
    towards the time that it may wait, it was refused before them.
    """

    def test_large_prompts_are_served_half_as_often_as_all(self):
        for seed in (2, 3, 7, 8):
            callers = make_callers(seed)
            Replay(callers).run()
            by_size = sorted(callers, key=lambda caller: caller.tokens)
            tenth = len(callers) // 10
            groups = by_size[-tenth:], by_size[-3 * tenth : -tenth]
            for group in groups:
                self.assertGreaterEqual(
                    share_served(group), 0.5 * share_served(callers), seed
                )


class OwedTurns(unittest.TestCase):
    """A band of sizes that is owed a turn, and what waits beside it.

    Turns for large prompts must not delay more urgent kinds, nor let those
    of a calm time be saved for a rush of large prompts.
    """

    def setUp(self):
        self.backlog = backlog.Backlog()

    def add(self, request_id, own_tokens, shortest_s, priority=1):
        request = test_scheduler.make_request(
            request_id, '', own_tokens, shared_tokens=0, priority=priority
        )
        prompt = backlog.WaitingPrompt(request, None, TARGET_S, PATIENCE_S)
        prompt.shortest_s = shortest_s
        prompt.band = self.backlog.bands.band(request)
        self.backlog.add(prompt)
        return prompt

    def add_prompts(self):
        for number in range(32):
            self.add(f'r{number}', 100 + number, 0.1)
            self.backlog.remove(f'r{number}')
        large = self.add('large', 1000, 1.0)
        self.add('small', 100, 0.1)
        self.add('urgent', 100, 0.1, priority=0)
        return large

    def names(self):
        ordered = self.backlog.ordered(0.0)
        return [prompt.request.request_id for prompt in ordered]

    def test_owed_prompt_goes_behind_more_urgent_ones(self):
        large = self.add_prompts()
        self.assertEqual(['urgent', 'small', 'large'], self.names())
        for _ in range(8):
            self.backlog.bands.on_end(large.band, False)
        self.assertEqual(['urgent', 'large', 'small'], self.names())

    def test_turns_of_a_calm_time_are_not_saved(self):
        large = self.add_prompts()
        for _ in range(1000):
            self.backlog.bands.on_end(large.band, True)
        for _ in range(8):
            self.backlog.bands.on_end(large.band, False)
        self.assertTrue(self.backlog.is_owed(large))

    def test_debt_of_an_overload_ends_soon_after_it(self):
        large = self.add_prompts()
        for _ in range(1000):
            self.backlog.bands.on_end(large.band, False)
        for _ in range(16):
            self.backlog.bands.on_end(large.band, True)
        self.assertFalse(self.backlog.is_owed(large))


class SlowPrefill(unittest.TestCase):
    """The prefill of a large prompt takes twice its target, or longer.

    It was refused for that though its caller would have waited, also by
    engines without any other work.  Engines that were slow in a burst kept
    that reputation after it, as nothing was sent to them that corrects it.
    """

    def setUp(self):
        self.engines = test_scheduler.make_engines(0, 1)
        self.scheduler = scheduler.Scheduler(PROFILE)

    def ask(self, request_id, own_tokens):
        request = test_scheduler.make_request(
            request_id,
            '',
            own_tokens,
            shared_tokens=0,
            target_s=TARGET_S,
            target_left_s=TARGET_S,
            left_s=PATIENCE_S,
        )
        return self.scheduler.place(request, self.engines, 0.0)[0]

    def test_idle_engines_take_a_prompt_that_ends_before_its_caller(self):
        answer = self.ask('large', 40000)
        self.assertIsInstance(answer, messages.Assignment)
        self.assertGreater(answer.expected_s, 2 * TARGET_S)

    def test_large_prompt_may_wait_until_its_target(self):
        self.ask('first', 12000)
        for request_id, own_tokens in (('small', 100), ('large', 20000)):
            answer = self.ask(request_id, own_tokens)
            self.assertIsInstance(answer, messages.Queued, request_id)


class SlowReputation(unittest.TestCase):
    """Engines that seem slow get prompts again when others have too many.

    Nothing is sent to them that could correct what was learnt, so that they
    idle beside engines that are overloaded, and large prompts are refused as
    nothing seems fast enough for them.
    """

    def setUp(self):
        self.engines = test_scheduler.make_engines(2, 1)
        self.scheduler = scheduler.Scheduler(PROFILE)

    def place(self, request_id, now):
        request = test_scheduler.make_request(
            request_id, '', 4000, shared_tokens=0
        )
        return self.scheduler.place(request, self.engines, now)[0]

    def test_engine_that_was_slow_serves_a_burst_ten_seconds_later(self):
        for number in range(50):
            now = number / 2
            for request_id in (f'r{number}a', f'r{number}b'):
                placed = self.place(request_id, now)
                is_slow = getattr(placed, 'prefill', '') and number < 30
                outcome = messages.Outcome('s', request_id, 0.1)
                self.scheduler.record_outcome(
                    outcome, self.engines, now + (0.8 if is_slow else 0.1)
                )
        answers = [self.place(f'burst{n}', 25.0) for n in range(12)]
        self.assertTrue(any(getattr(a, 'prefill', '') for a in answers))


if __name__ == '__main__':
    unittest.main()
