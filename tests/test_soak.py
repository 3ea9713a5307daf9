"""A short seeded soak test, and tests that its checks find violations."""

import types
import unittest
from unittest import mock

from tests import soak
from tests import soak_world
from tests import workers


def make_checker(*steps):
    """Return a checker that recorded these steps of one unsafe request.

    A step is ``'ran'`` or the status of an answer.
    """
    checker = soak_world.InvariantChecker()
    for step in steps:
        if step == 'ran':
            checker.record_run('r1', 'unsafe', 'server')
        else:
            checker.record_answer('r1', 'unsafe', step)
    return checker


class Checks(unittest.TestCase):
    """The invariant checker reports contradictory histories."""

    def test_kept_promises_break_nothing(self):
        for steps in (('ran', 200), ('ran', 502), (503,), (502, 'ran')):
            self.assertEqual([], make_checker(*steps).violations)

    def test_second_run_of_an_unsafe_request(self):
        self.assertTrue(make_checker('ran', 'ran').violations)

    def test_refusal_of_what_has_run_or_runs_later(self):
        self.assertTrue(make_checker('ran', 503).violations)
        self.assertTrue(make_checker(429, 'ran').violations)

    def test_answer_of_another_request(self):
        for status, body, found in (
            (200, b'another', {'x-request-id': 'r1'}),
            (200, soak_world.answer_body('r1'), {'x-request-id': 'r2'}),
        ):
            checker = soak_world.InvariantChecker()
            caller = soak_world.Caller(1, checker, None, [])
            signed = {'x-response-signature': 's', **found}
            exchange = types.SimpleNamespace(status=status, headers=signed)
            caller._check_answer('safe', 'r1', exchange, body)
            self.assertEqual(1, len(checker.violations))

    def test_stream_that_lacks_an_event_but_looks_whole(self):
        checker = soak_world.InvariantChecker()
        caller = soak_world.Caller(1, checker, None, [])
        found = {'x-response-signature': 's', 'x-request-id': 'r1'}
        exchange = types.SimpleNamespace(status=200, headers=found)
        caller._check_answer(
            'stream', 'r1', exchange, b'id: 1\ndata: piece 1\n\n'
        )
        self.assertEqual(1, len(checker.violations))


class Run(unittest.TestCase):
    """Real VMs under faults for some seconds."""

    def test_promises_hold_under_harm(self):
        checker = soak.run_seed(seed=1, seconds=6.0)
        self.assertEqual([], checker.violations)

    def test_servers_that_lie_about_running_are_found(self):
        def refuse(request):
            return workers.not_run(request)

        def run_but_refuse(self, request):
            if (
                'x-serving-stage' in request.headers
                or request.method == 'DELETE'
            ):
                return original_run(self, request)
            kind = soak_world.kind_of(request.target)
            self.checker.record_run(request.request_id, kind, self.name)
            return refuse(request)

        original_run = soak_world.Server._run
        with (
            mock.patch.object(soak_world.Server, '_run', run_but_refuse),
            mock.patch.object(soak, 'START_TIMEOUT_S', 10.0),
            mock.patch.object(soak, 'RECOVERY_TIMEOUT_S', 2.0),
        ):
            checker = soak.run_seed(seed=1, seconds=1.0, vms=1)
        found = '\n'.join(checker.violations)
        self.assertIn('and has run', found)
        self.assertIn('ran twice', found)
        self.assertIn('does not serve', found)


if __name__ == '__main__':
    unittest.main()
