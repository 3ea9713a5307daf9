"""Tests the scheduler of long prompts, also by replaying a burst."""

import random
import unittest

import attrs

from mangorock import placement
from mangorock import registry
from mangorock import scheduler
from mangorock import traffic

KV_TOKENS = 100000
TARGET_S = 0.6
SPEEDS = (0.6, 1.0, 1.6)


def make_engines(prefills=2, decodes=4):
    made = []
    stages = [registry.Stage.PREFILL] * prefills
    stages += [registry.Stage.DECODE] * decodes
    for number, stage in enumerate(stages):
        made.append(
            registry.BackendServer(
                f'{stage.value}{number}', 's', '', 'a', 8, stage=stage
            )
        )
    return made


def make_ask(request_id, document='doc', own_tokens=3700, **more):
    fields = {
        'service': 's',
        'request_id': request_id,
        'document': document,
        'shared_tokens': 13000,
        'own_tokens': own_tokens,
        'max_gap_s': 0.2,
        'target_left_s': TARGET_S,
        'left_s': 2.4,
        **more,
    }
    return scheduler.Ask(**fields)


def make_notice(ask, seconds):
    return scheduler.Notice('s', ask.request_id, seconds)


class DocumentPlacement(unittest.TestCase):
    """A document is prefilled once and then fetched or reused."""

    def setUp(self):
        self.engines = make_engines()
        self.scheduler = scheduler.Scheduler(KV_TOKENS)

    def place(self, ask, now=0.0):
        return self.scheduler.place(ask, self.engines, now)

    def test_second_prompt_prefills_only_its_own_tokens(self):
        first = self.place(make_ask('r1'))
        self.assertEqual(16700, first.tokens)
        self.scheduler.record_outcome(
            make_notice(make_ask('r1'), 0.35), self.engines, 0.4
        )
        second = self.place(make_ask('r2'), 1.0)
        self.assertEqual(3700, second.tokens)

    def test_document_in_prefill_is_not_fetched(self):
        first = self.place(make_ask('r1'))
        second = self.place(make_ask('r2'))
        if second.prefill != first.prefill:
            self.assertEqual(16700, second.tokens)
        if second.prefill == first.prefill:
            self.assertEqual(3700, second.tokens)

    def test_documents_that_do_not_fit_are_evicted(self):
        cache = scheduler.DocumentCache(100)
        for number in range(5):
            cache.touch(f'doc{number}', 40, 0.0)
        self.assertEqual(
            [False, False, False, True, True],
            [cache.is_available(f'doc{number}', 1.0) for number in range(5)],
        )
        self.assertEqual(80, cache.tokens)

    def test_restarted_engine_has_no_documents(self):
        self.place(make_ask('r1'))
        self.scheduler.record_outcome(
            make_notice(make_ask('r1'), 0.3), self.engines, 0.3
        )
        restarted = [attrs.evolve(s, started_ms=5) for s in self.engines]
        self.scheduler.forget({s.incarnation for s in restarted})
        self.scheduler.miss_share = 1.0
        placed = self.scheduler.place(make_ask('r2'), restarted, 1.0)
        self.assertEqual(16700, placed.tokens)

    def test_engine_that_changed_its_stage_keeps_its_documents(self):
        # Dropping the cache state at a stage change had 3.6 instead of 2.9
        # million tokens prefilled again in a benchmark.
        first = self.place(make_ask('r1'))
        self.scheduler.record_outcome(
            make_notice(make_ask('r1'), 0.3), self.engines, 0.3
        )
        changed = [
            attrs.evolve(s, stage=registry.Stage.PREFILL)
            if s.server_id == first.decode
            else s
            for s in self.engines
        ]
        placed = self.scheduler.place(make_ask('r2'), changed, 1.0)
        self.assertEqual(3700, placed.tokens)

    def test_new_scheduler_finds_documents_of_its_predecessor(self):
        # Each new scheduler had all documents prefilled again in a benchmark
        # that killed VMs: 3.4 instead of 2.0 million tokens.
        decodes = {}
        for number in range(8):
            ask = make_ask(f'r{number}', f'doc{number}')
            decodes[ask.document] = self.place(ask, number).decode
            self.scheduler.record_outcome(
                make_notice(ask, 0.3), self.engines, number + 0.3
            )
        successor = scheduler.Scheduler(KV_TOKENS)
        for number, (document, decode) in enumerate(decodes.items()):
            now = 20.0 + number
            ask = make_ask(f's{number}', document)
            placed = successor.place(ask, self.engines, now)
            self.assertIn(decode, (placed.fetch_from, placed.decode))
            successor.record_outcome(
                make_notice(ask, 0.09), self.engines, now + 0.09
            )
        self.assertLess(successor.miss_share, 0.75)


class Queues(unittest.TestCase):
    """More long prompts arrive than the engines can prefill in time."""

    def setUp(self):
        self.engines = make_engines()
        self.scheduler = scheduler.Scheduler(KV_TOKENS)

    def burst(self, count, **more):
        return [
            self.scheduler.place(
                make_ask(f'r{n}', f'doc{n}', **more), self.engines, 0.0
            )
            for n in range(count)
        ]

    def test_only_prompts_in_time_are_placed(self):
        answers = self.burst(20)
        placed = [a for a in answers if isinstance(a, scheduler.Assignment)]
        for answer in placed:
            self.assertLessEqual(answer.expected_s, TARGET_S)
        self.assertIsInstance(answers[-1], scheduler.Busy)

    def test_late_prompt_waits_for_a_short_queue(self):
        self.burst(20)
        late = make_ask('late', 'other', target_left_s=-0.1)
        answer = self.scheduler.place(late, self.engines, 0.0)
        self.assertIsInstance(answer, scheduler.Busy)
        answer = self.scheduler.place(late, self.engines, 0.6)
        self.assertIsInstance(answer, scheduler.Assignment)

    def test_prompt_that_outlasts_its_caller_is_refused(self):
        huge = make_ask('r1', own_tokens=200000)
        answer = self.scheduler.place(huge, self.engines, 0.0)
        self.assertIsInstance(answer, scheduler.Hopeless)

    def test_job_without_outcome_expires(self):
        self.burst(20)
        later = scheduler.JOB_TIMEOUT_S + 0.1
        self.scheduler.place(make_ask('r99'), self.engines, later)
        self.assertEqual(['r99'], list(self.scheduler.jobs))

    def test_slow_engine_gets_fewer_prompts(self):
        engines = make_engines(2, 1)
        slow, counts = engines[0].server_id, {}
        for number in range(60):
            now = float(number)
            ask = make_ask(f'r{number}', f'doc{number % 3}')
            placed = self.scheduler.place(ask, engines, now)
            counts[placed.prefill] = counts.get(placed.prefill, 0) + 1
            factor = 3.0 if placed.prefill == slow else 1.0
            seconds = factor * placed.expected_s
            self.scheduler.record_outcome(
                make_notice(ask, seconds), engines, now + min(0.9, seconds)
            )
        self.assertLess(counts.get(slow, 0), 15)

    def test_engine_that_fails_several_vms_is_excluded(self):
        bad = self.engines[0]
        for number in range(3):
            failed = scheduler.Notice('s', f'r{number}', -1, bad.server_id)
            self.scheduler.record_outcome(failed, self.engines, 0.0)
        self.assertNotIn(bad.server_id, {a.prefill for a in self.burst(1)})

    def test_engine_without_free_slots_gets_no_stream(self):
        full = self.engines[2]
        notice = scheduler.Notice('s', 'r0', 0.1, '', full.server_id, 8, 3, 8)
        self.scheduler.record_outcome(notice, self.engines, 0.0)
        decodes = {answer.decode for answer in self.burst(2)}
        self.assertNotIn(full.server_id, decodes)


@attrs.define
class SimulatedEngines:
    """FIFO engines of unequal speed."""

    engines: list
    speeds: dict
    free_at_s: dict = attrs.field(factory=dict)
    cache: dict = attrs.field(factory=dict)

    def prefill(self, prefiller, decode, fetch_from, prompt, now):
        """Return when the prefill of a prompt ends."""
        tokens, document = prompt
        holders = (prefiller, fetch_from) if fetch_from else (prefiller,)
        if not any(
            self._is_cached(server, document, now) for server in holders
        ):
            tokens += 13000
        rate = (
            placement.prefill_rate(prefiller)
            * self.speeds[prefiller.server_id]
        )
        start_s = max(now, self.free_at_s.get(prefiller.server_id, 0.0))
        end_s = start_s + tokens / rate
        self.free_at_s[prefiller.server_id] = end_s
        for server in {prefiller, decode}:
            cache = self._cache(server)
            cache.touch(document, 13000, end_s)
            cache.touch(object(), prompt[0], end_s)
        return end_s

    def _cache(self, server):
        return self.cache.setdefault(
            server.server_id, scheduler.DocumentCache(8 * KV_TOKENS)
        )

    def _is_cached(self, server, document, now):
        return self._cache(server).is_available(document, now)


def make_arrivals(seed):
    """Return (second, VM, prompt): four seconds of low load, then a burst."""
    rng, now, made = random.Random(seed), 0.0, []
    while now < 12.0:
        now += rng.expovariate(14.0 if now < 4.0 else 26.0)
        prompt = int(rng.lognormvariate(7.9, 0.8)), f'doc{rng.randrange(90)}'
        made.append((now, rng.randrange(40), prompt))
    return made


def make_simulated_engines():
    engines = make_engines(5, 6)
    speeds = {
        s.server_id: SPEEDS[n % len(SPEEDS)] for n, s in enumerate(engines)
    }
    return SimulatedEngines(engines, speeds)


def count_in_time_with_scheduler(arrivals):
    """Return how many prompts meet the target with one scheduler."""
    simulated, shared_scheduler = (
        make_simulated_engines(),
        scheduler.Scheduler(8 * KV_TOKENS),
    )
    by_id = {s.server_id: s for s in simulated.engines}
    in_time, ends = 0, []
    for number, (now, _, prompt) in enumerate(arrivals):
        while ends and ends[0][0] <= now:
            end_s, began_s, ask = ends.pop(0)
            shared_scheduler.record_outcome(
                make_notice(ask, end_s - began_s), simulated.engines, end_s
            )
        ask = make_ask(f'r{number}', prompt[1], prompt[0])
        placed = shared_scheduler.place(ask, simulated.engines, now)
        if not isinstance(placed, scheduler.Assignment):
            continue
        decode = by_id[placed.decode]
        prefiller = by_id.get(placed.prefill, decode)
        fetch_from = by_id.get(placed.fetch_from)
        end_s = simulated.prefill(prefiller, decode, fetch_from, prompt, now)
        ends.append((end_s, now, ask))
        ends.sort(key=lambda end: end[0])
        in_time += end_s - now <= TARGET_S
    return in_time


def count_in_time_per_vm(arrivals):
    """Return how many meet the target if each VM places by itself."""
    simulated, placers, in_time, ends = make_simulated_engines(), {}, 0, []
    for now, vm, prompt in arrivals:
        while ends and ends[0][0] <= now:
            _, placer, prefiller, tokens = ends.pop(0)
            placer.add_backlog(prefiller, -tokens)
        placer = placers.setdefault(vm, placement.Placer('a', 40))
        parts = (
            traffic.PromptPart(prompt[1], 13000),
            traffic.PromptPart('own', prompt[0]),
        )
        asked = traffic.Prompt('m', 13000 + prompt[0], 40, parts)
        demand = placement.Demand(asked, prompt[0], 0.2)
        placed = placer.place_generation(demand, simulated.engines, now)
        if placed is None:
            continue
        prefiller = placed.prefill or placed.decode
        end_s = simulated.prefill(
            prefiller, placed.decode, placed.affinity_server, prompt, now
        )
        placer.add_backlog(prefiller, placed.tokens)
        ends.append((end_s, placer, prefiller, placed.tokens))
        ends.sort(key=lambda end: end[0])
        in_time += end_s - now <= TARGET_S
    return in_time


class Replay(unittest.TestCase):
    """A burst of long prompts at forty VMs, with and without scheduler."""

    def test_one_scheduler_has_a_quarter_more_in_time(self):
        for seed in (1, 2, 3):
            arrivals = make_arrivals(seed)
            before = count_in_time_per_vm(arrivals)
            after = count_in_time_with_scheduler(arrivals)
            self.assertGreaterEqual(after, 1.25 * before)


if __name__ == '__main__':
    unittest.main()
