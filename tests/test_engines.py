"""Tests what is learnt of engines."""

import random
import unittest

from mangorock import engines as engine_models
from tests import test_scheduler


class Learning(unittest.TestCase):
    """Engines of any speed are known after some prompts."""

    def test_time_to_prefill_is_learnt_at_any_speed(self):
        # The estimate is used to judge whether a prompt is in time, so it
        # must be right within a fifth.
        servers = test_scheduler.make_engines(3, 3)
        for scale in (0.1, 1 / 3, 3.0, 10.0):
            rng, model = random.Random(1), engine_models.PrefillModel()

            def seconds(server, tokens, scale=scale):
                rate = scale * test_scheduler.rate_of(server)
                speed = 1 + 0.4 * (servers.index(server) % 3 - 1)
                return (0.02 / scale) + tokens / rate / speed

            for _ in range(300):
                server = rng.choice(servers)
                tokens = int(rng.lognormvariate(7.5, 1.0))
                measured_s = seconds(server, tokens) * rng.uniform(0.9, 1.1)
                model.observe(server, tokens, measured_s)
            for server in servers:
                for tokens in (1000, 4000, 12000):
                    ratio = model.seconds(server, tokens) / seconds(
                        server, tokens
                    )
                    self.assertTrue(0.8 < ratio < 1.25, (scale, tokens, ratio))

    def test_long_prompts_stay_long_whatever_the_load_did_to_others(self):
        # Prompts on engines of different load took a time that did not grow
        # with their tokens, so that a VM took all prompts for short ones and
        # placed them by itself, beside the scheduler.
        server = test_scheduler.make_engines(2, 1)[2]
        model = engine_models.PrefillModel()
        for number in range(40):
            tokens, seconds = ((600, 0.12), (9000, 0.13))[number % 2]
            model.observe(server, tokens, seconds, True)
        expected_s = 3700 * model.mean_token_s(server.service)
        self.assertGreater(expected_s, 0.06)

    def test_slow_prompts_are_not_counted_twice(self):
        # Both the stage and the engine were made slower by what one prompt
        # showed, so that 4.4 times its seconds were expected of the next.
        server = test_scheduler.make_engines(2, 1)[0]
        for count in (1, 2, 3, 10):
            model = engine_models.PrefillModel()
            for _ in range(count):
                model.observe(server, 4000, 0.8)
            self.assertLessEqual(model.seconds(server, 4000), 1.25 * 0.8)

    def test_prompts_of_one_size_leave_a_sensible_line(self):
        fit = engine_models.PrefillFit(0.015, 1 / 48000)
        for _ in range(200):
            fit.add(2000, 0.03)
        self.assertAlmostEqual(0.03, fit.predict(2000), delta=0.002)
        self.assertGreater(fit.token_s, 0.0)
        self.assertGreaterEqual(fit.overhead_s, 0.0)

    def test_engine_that_hung_once_does_not_change_the_others(self):
        fit = engine_models.PrefillFit(0.015, 1 / 48000)
        for _ in range(50):
            fit.add(2000, 0.057)
        fit.add(2000, 60.0)
        self.assertLess(fit.predict(2000), 0.1)

    def test_pace_of_streams_follows_their_events(self):
        engine = engine_models.Engine(engine_models.DocumentCache(100))
        for _ in range(20):
            engine.add_stream(11, 1.0)
        self.assertAlmostEqual(0.1, engine.gap_s, delta=0.01)
        engine.add_stream(1, 0.0)
        self.assertAlmostEqual(0.1, engine.gap_s, delta=0.01)


if __name__ == '__main__':
    unittest.main()
