"""Placing the long prompts of all entry VMs, replaying the load it answers."""

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


def read(ask, seconds):
    return scheduler.Notice('s', ask.request_id, seconds)


class Documents(unittest.TestCase):
    """A document is read once and fetched or kept afterwards."""

    def setUp(self):
        self.engines = make_engines()
        self.scheduler = scheduler.Scheduler(KV_TOKENS)

    def place(self, ask, now=0.0):
        return self.scheduler.place(ask, self.engines, now)

    def test_second_prompt_reads_only_its_own_part(self):
        first = self.place(make_ask('r1'))
        self.assertEqual(16700, first.tokens)
        self.scheduler.take(read(make_ask('r1'), 0.35), self.engines, 0.4)
        second = self.place(make_ask('r2'), 1.0)
        self.assertEqual(3700, second.tokens)

    def test_document_that_is_still_being_read_is_not_counted_on(self):
        first = self.place(make_ask('r1'))
        second = self.place(make_ask('r2'))
        if second.prefill != first.prefill:
            self.assertEqual(16700, second.tokens)
        if second.prefill == first.prefill:
            self.assertEqual(3700, second.tokens)

    def test_documents_that_do_not_fit_yield(self):
        kept = scheduler.Kept(100)
        for number in range(5):
            kept.touch(f'doc{number}', 40, 0.0)
        self.assertEqual(
            [False, False, False, True, True],
            [kept.has(f'doc{number}', 1.0) for number in range(5)],
        )
        self.assertEqual(80, kept.tokens)

    def test_engine_of_another_life_keeps_nothing(self):
        self.place(make_ask('r1'))
        self.scheduler.take(read(make_ask('r1'), 0.3), self.engines, 0.3)
        again = [attrs.evolve(s, born_ms=5) for s in self.engines]
        self.scheduler.forget({s.life for s in again})
        self.scheduler.unknown_share = 1.0
        placed = self.scheduler.place(make_ask('r2'), again, 1.0)
        self.assertEqual(16700, placed.tokens)

    def test_engine_that_changed_its_stage_keeps_its_documents(self):
        # Seen on the bench: forgetting them had 3.6 instead of 2.9 million
        # tokens read again.
        first = self.place(make_ask('r1'))
        self.scheduler.take(read(make_ask('r1'), 0.3), self.engines, 0.3)
        changed = [
            attrs.evolve(s, stage=registry.Stage.PREFILL)
            if s.server_id == first.decode
            else s
            for s in self.engines
        ]
        placed = self.scheduler.place(make_ask('r2'), changed, 1.0)
        self.assertEqual(3700, placed.tokens)

    def test_new_scheduler_finds_the_documents_of_the_one_before(self):
        # Seen on the bench: where kills moved the duty from VM to VM, each
        # read all documents again, 3.4 instead of 2.0 million tokens.
        decodes = {}
        for number in range(8):
            ask = make_ask(f'r{number}', f'doc{number}')
            decodes[ask.document] = self.place(ask, number).decode
            self.scheduler.take(read(ask, 0.3), self.engines, number + 0.3)
        successor = scheduler.Scheduler(KV_TOKENS)
        for number, (document, decode) in enumerate(decodes.items()):
            now = 20.0 + number
            ask = make_ask(f's{number}', document)
            placed = successor.place(ask, self.engines, now)
            self.assertIn(decode, (placed.fetch_from, placed.decode))
            successor.take(read(ask, 0.09), self.engines, now + 0.09)
        self.assertLess(successor.unknown_share, 0.75)


class Queues(unittest.TestCase):
    """More long prompts than the engines can read in time."""

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

    def test_only_what_is_in_time_gets_a_place(self):
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

    def test_prompt_that_its_caller_will_not_see_is_refused_at_once(self):
        huge = make_ask('r1', own_tokens=200000)
        answer = self.scheduler.place(huge, self.engines, 0.0)
        self.assertIsInstance(answer, scheduler.Hopeless)

    def test_end_that_is_not_told_blocks_no_engine_for_long(self):
        self.burst(20)
        later = scheduler.EXPIRE_S + 0.1
        self.scheduler.place(make_ask('r99'), self.engines, later)
        self.assertEqual(['r99'], list(self.scheduler.jobs))

    def test_slow_engine_gets_less(self):
        engines = make_engines(2, 1)
        slow, counts = engines[0].server_id, {}
        for number in range(60):
            now = float(number)
            ask = make_ask(f'r{number}', f'doc{number % 3}')
            placed = self.scheduler.place(ask, engines, now)
            counts[placed.prefill] = counts.get(placed.prefill, 0) + 1
            factor = 3.0 if placed.prefill == slow else 1.0
            seconds = factor * placed.expected_s
            self.scheduler.take(
                read(ask, seconds), engines, now + min(0.9, seconds)
            )
        self.assertLess(counts.get(slow, 0), 15)

    def test_engine_that_fails_one_vm_after_another_is_left_out(self):
        bad = self.engines[0]
        for number in range(3):
            failed = scheduler.Notice('s', f'r{number}', -1, bad.server_id)
            self.scheduler.take(failed, self.engines, 0.0)
        self.assertNotIn(bad.server_id, {a.prefill for a in self.burst(1)})

    def test_engine_with_all_places_taken_gets_no_stream(self):
        full = self.engines[2]
        notice = scheduler.Notice('s', 'r0', 0.1, '', full.server_id, 8, 3, 8)
        self.scheduler.take(notice, self.engines, 0.0)
        decodes = {answer.decode for answer in self.burst(2)}
        self.assertNotIn(full.server_id, decodes)


@attrs.define
class Fleet:
    """Engines of unequal speed that read first come, first served."""

    engines: list
    speeds: dict
    free_at_s: dict = attrs.field(factory=dict)
    kept: dict = attrs.field(factory=dict)

    def read(self, reader, decode, fetch_from, prompt, now):
        """Return when a prompt is read."""
        tokens, document = prompt
        holders = (reader, fetch_from) if fetch_from else (reader,)
        if not any(self._has(server, document, now) for server in holders):
            tokens += 13000
        rate = placement.prefill_rate(reader) * self.speeds[reader.server_id]
        start_s = max(now, self.free_at_s.get(reader.server_id, 0.0))
        end_s = start_s + tokens / rate
        self.free_at_s[reader.server_id] = end_s
        for server in {reader, decode}:
            kept = self._kept(server)
            kept.touch(document, 13000, end_s)
            kept.touch(object(), prompt[0], end_s)
        return end_s

    def _kept(self, server):
        return self.kept.setdefault(
            server.server_id, scheduler.Kept(8 * KV_TOKENS)
        )

    def _has(self, server, document, now):
        return self._kept(server).has(document, now)


def make_arrivals(seed):
    """Return (second, VM, prompt): four seconds of calm, then a burst."""
    rng, now, made = random.Random(seed), 0.0, []
    while now < 12.0:
        now += rng.expovariate(14.0 if now < 4.0 else 26.0)
        prompt = int(rng.lognormvariate(7.9, 0.8)), f'doc{rng.randrange(90)}'
        made.append((now, rng.randrange(40), prompt))
    return made


def make_fleet():
    engines = make_engines(5, 6)
    speeds = {
        s.server_id: SPEEDS[n % len(SPEEDS)] for n, s in enumerate(engines)
    }
    return Fleet(engines, speeds)


def in_time_by_scheduler(arrivals):
    """Return how many prompts are read in time with one scheduler."""
    fleet, decider = make_fleet(), scheduler.Scheduler(8 * KV_TOKENS)
    by_id = {s.server_id: s for s in fleet.engines}
    in_time, ends = 0, []
    for number, (now, _, prompt) in enumerate(arrivals):
        while ends and ends[0][0] <= now:
            end_s, began_s, ask = ends.pop(0)
            decider.take(read(ask, end_s - began_s), fleet.engines, end_s)
        ask = make_ask(f'r{number}', prompt[1], prompt[0])
        placed = decider.place(ask, fleet.engines, now)
        if not isinstance(placed, scheduler.Assignment):
            continue
        decode = by_id[placed.decode]
        reader = by_id.get(placed.prefill, decode)
        fetch_from = by_id.get(placed.fetch_from)
        end_s = fleet.read(reader, decode, fetch_from, prompt, now)
        ends.append((end_s, now, ask))
        ends.sort(key=lambda end: end[0])
        in_time += end_s - now <= TARGET_S
    return in_time


def in_time_by_each_vm(arrivals):
    """Return how many are in time where each VM places by itself."""
    fleet, placers, in_time, ends = make_fleet(), {}, 0, []
    for now, vm, prompt in arrivals:
        while ends and ends[0][0] <= now:
            _, placer, reader, tokens = ends.pop(0)
            placer.add_backlog(reader, -tokens)
        placer = placers.setdefault(vm, placement.Placer('a', 40))
        parts = (
            traffic.PromptPart(prompt[1], 13000),
            traffic.PromptPart('own', prompt[0]),
        )
        asked = traffic.Prompt('m', 13000 + prompt[0], 40, parts)
        demand = placement.Demand(asked, prompt[0], 0.2)
        placed = placer.place_generation(demand, fleet.engines, now)
        if placed is None:
            continue
        reader = placed.prefill or placed.decode
        end_s = fleet.read(
            reader, placed.decode, placed.affinity_server, prompt, now
        )
        placer.add_backlog(reader, placed.tokens)
        ends.append((end_s, placer, reader, placed.tokens))
        ends.sort(key=lambda end: end[0])
        in_time += end_s - now <= TARGET_S
    return in_time


class Replay(unittest.TestCase):
    """A burst of long prompts at forty VMs, against the decision before."""

    def test_one_scheduler_has_a_quarter_more_in_time(self):
        for seed in (1, 2, 3):
            arrivals = make_arrivals(seed)
            before = in_time_by_each_vm(arrivals)
            after = in_time_by_scheduler(arrivals)
            self.assertGreaterEqual(after, 1.25 * before)


if __name__ == '__main__':
    unittest.main()
