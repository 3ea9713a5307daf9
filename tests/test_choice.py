"""Tests which engines are chosen for a prompt."""

import unittest

from mangorock import choice
from mangorock import engines as engine_models
from tests import test_scheduler

KV_TOKENS = test_scheduler.KV_TOKENS


class EnginesAtWork(unittest.TestCase):
    """Decode engines that stream, at different paces."""

    def setUp(self):
        self.servers = test_scheduler.make_engines(1, 2)
        self.model = engine_models.PrefillModel()
        self.engines = {
            server.server_id: engine_models.Engine(
                engine_models.DocumentCache(KV_TOKENS), 64
            )
            for server in self.servers
        }
        self.queues_s = {}
        self.streams = dict.fromkeys(self.engines, 0)

    def best(self, **more):
        states = [
            choice.EngineState(
                server,
                self.engines[server.server_id],
                self.queues_s.get(server.server_id, 0.0),
                self.streams[server.server_id],
                64,
                self.model.slowdown(server),
            )
            for server in self.servers
        ]
        fields = {'document': '', 'shared_tokens': 0, **more}
        request = test_scheduler.make_request('r', **fields)
        found = choice.Choice(states, self.model, 1.0, 0.0)
        return found.best(request, request.target_left_s)

    def set_gap(self, name, gap_s, best_gap_s=0.02):
        self.engines[name].gap_s = gap_s
        self.engines[name].best_gap_s = best_gap_s

    def test_long_stream_goes_to_the_faster_engine(self):
        # A stream of 80 events at 0.1 s each did not end within the eight
        # seconds of its caller.
        self.set_gap('decode1', 0.1)
        self.set_gap('decode2', 0.04)
        self.streams['decode1'], self.streams['decode2'] = 5, 30
        best = self.best(own_tokens=300, output_events=80, end_left_s=8.0)
        self.assertEqual('decode2', best.decode.server.server_id)

    def test_short_stream_uses_the_slow_engine(self):
        self.set_gap('decode1', 0.1)
        self.set_gap('decode2', 0.04)
        self.streams['decode1'], self.streams['decode2'] = 5, 30
        best = self.best(own_tokens=300, output_events=2, end_left_s=2.5)
        self.assertEqual('decode1', best.decode.server.server_id)

    def test_crowded_engine_prefills_nothing(self):
        # In a benchmark, prefill beside many streams slowed them until none
        # ended before its caller gave up.
        for name in ('decode1', 'decode2'):
            self.set_gap(name, 0.15)
            self.streams[name] = 30
        self.queues_s['prefill0'] = 0.3
        best = self.best(own_tokens=300, max_gap_s=0.2)
        self.assertEqual('prefill0', best.prefiller.server.server_id)

    def test_engine_that_is_slow_by_itself_is_not_crowded(self):
        # Slow engines had such gaps with little to do, and were left idle.
        for name in ('decode1', 'decode2'):
            self.set_gap(name, 0.1, 0.07)
            self.streams[name] = 5
        self.queues_s['prefill0'] = 0.3
        self.assertTrue(self.best(own_tokens=300, max_gap_s=0.2).is_direct)

    def test_calm_engine_prefills_a_short_prompt(self):
        for name in ('decode1', 'decode2'):
            self.streams[name] = 5
        self.assertTrue(self.best(own_tokens=300).is_direct)

    def test_slow_hand_over_does_not_drive_prefill_beside_streams(self):
        # The first event of a crowded engine comes late after a hand-over
        # too; taken for a slow link, that moved all prefill beside streams.
        found = test_scheduler.scheduler.Scheduler(test_scheduler.PROFILE)
        servers = test_scheduler.make_engines(1, 2)
        for number in range(60):
            request = test_scheduler.make_request(
                f'r{number}', f'd{number}', 9000
            )
            now = 10.0 * number
            placed = test_scheduler.place(found, request, servers, now)
            outcome = test_scheduler.make_outcome(request, 0.2)
            found.record_outcome(outcome, servers, now + 0.2)
            first_event = test_scheduler.messages.Outcome(
                's', request.request_id, 0.2, '', placed.decode, 30, 0, 64
            )
            found.record_outcome(first_event, servers, now + 3.0)
        limit_s = test_scheduler.scheduler.MAX_HANDOVER_S
        for engine in found.engines.values():
            self.assertLessEqual(engine.handover_s, limit_s)

    def test_engines_that_were_tried_are_not_chosen(self):
        best = self.best(own_tokens=300, tried=('decode1', 'prefill0'))
        self.assertEqual('decode2', best.decode.server.server_id)
        self.assertIsNone(self.best(tried=('decode1', 'decode2')))

    def test_document_is_fetched_from_an_engine_with_a_limit(self):
        # Documents of engines that took few requests were prefilled again at
        # the others, which had no room for their own prompts then.
        self.engines['decode1'].cache.touch('d', 9000, 0.0)
        best = self.best(
            document='d', shared_tokens=9000, avoided=('decode1',)
        )
        self.assertEqual('decode2', best.decode.server.server_id)
        self.assertEqual('decode1', best.fetch_from.server_id)


if __name__ == '__main__':
    unittest.main()
