"""A short seeded soak test, and tests that its checks find violations."""

import types
import unittest
from unittest import mock

from tests import soak
from tests import soak_world
from tests import workers


def check_history(*steps):
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


class CheckerTest(unittest.TestCase):
    """The invariant checker reports contradictory histories."""

    def test_valid_histories_have_no_violations(self):
        for steps in (('ran', 200), ('ran', 502), (503,), (502, 'ran')):
            self.assertEqual([], check_history(*steps).violations)

    def test_second_execution_of_an_unsafe_request(self):
        self.assertTrue(check_history('ran', 'ran').violations)

    def test_not_run_status_of_an_executed_request(self):
        self.assertTrue(check_history('ran', 503).violations)
        self.assertTrue(check_history(429, 'ran').violations)

    def test_answer_to_another_request(self):
        for status, body, headers in (
            (200, b'another', {'x-request-id': 'r1'}),
            (200, soak_world.answer_body('r1'), {'x-request-id': 'r2'}),
        ):
            checker = soak_world.InvariantChecker()
            caller = soak_world.Caller(1, checker, None, [])
            signed_headers = {'x-response-signature': 's', **headers}
            exchange = types.SimpleNamespace(
                status=status, headers=signed_headers
            )
            caller._check_answer('safe', 'r1', exchange, body)
            self.assertEqual(1, len(checker.violations))

    def test_complete_stream_without_an_event(self):
        checker = soak_world.InvariantChecker()
        caller = soak_world.Caller(1, checker, None, [])
        headers = {'x-response-signature': 's', 'x-request-id': 'r1'}
        exchange = types.SimpleNamespace(status=200, headers=headers)
        caller._check_answer(
            'stream', 'r1', exchange, b'id: 1\ndata: piece 1\n\n'
        )
        self.assertEqual(1, len(checker.violations))


class SoakTest(unittest.TestCase):
    """Real VMs under faults for some seconds."""

    def test_no_violations_under_faults(self):
        checker = soak.run_seed(seed=1, seconds=6.0)
        self.assertEqual([], checker.violations)

    def test_false_refusals_of_servers_are_found(self):
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
