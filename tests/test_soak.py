"""A short seeded soak test, and tests that its checks find violations."""

import types
import unittest
from unittest import mock

from tests import arrivals
from tests import soak
from tests import soak_audit
from tests import soak_backends
from tests import soak_limits
from tests import soak_vms
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

    def test_repeats_beyond_the_bound(self):
        checker = soak_world.InvariantChecker()
        for number in range(arrivals.SLACK + 2):
            request = workers.ReceivedRequest(
                'GET', '/look/', {'x-request-id': f'r{number}'}, b''
            )
            for _ in range(2):
                checker.arrivals.record_arrival(request, 'desk', True, 1.0)
        checker.arrivals.record_sent('desk', 1.0)
        checker.check_arrivals()
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


def audit_attempt(history=(), log=(), disturbances=(), **changes):
    """Return the violations that an audit finds with one attempt.

    By default the caller got no byte of an answer within 0.1 s, on a
    connection that had been idle for 0.1 s.
    """
    vm = types.SimpleNamespace(number=0, history=list(history))
    attempt = soak_world.Attempt(
        'r1', 'safe', vm, idle_s=0.1, sent_s=100.0, ended_s=100.1
    )
    for name, value in changes.items():
        setattr(attempt, name, value)
    checker = soak_world.InvariantChecker()
    checker.attempts['r1'] = attempt
    checker.runs['r1'].append('desk-1')
    logs = {0: soak_audit.read_log(log)}
    soak_audit.Audit(checker, logs, disturbances, 0.6, 0.8, 3).run()
    return checker.violations


class AuditTest(unittest.TestCase):
    """A request without a whole answer needs an excuse."""

    def test_connection_that_ends_without_an_excuse(self):
        for changes in (
            {},
            {'progress': 'part'},
            {'error': 'TaskTimeout'},
            {'history': [('kill', 90.0), ('start', 91.0)]},
            {'history': [('term', 99.0)]},
            {'log': ['event=request_done request=r1 end=timeout seconds=1']},
            {
                'progress': 'part',
                'log': ['event=request_done request=r1 end=timeout seconds=0'],
            },
            {'progress': 'part', 'disturbances': [('desk-1', 100.0, 101.0)]},
            {'history': [('term', 98.0), ('exit', 100.0)], 'progress': 'part'},
        ):
            self.assertEqual(1, len(audit_attempt(**changes)), changes)

    def test_excuses(self):
        done = 'event=request_done request=r1 end=%s seconds=1 servers=desk-1'
        for changes in (
            {'progress': 'whole'},
            {'manner': 'leave'},
            {'history': [('kill', 100.0)]},
            {'idle_s': 0.6},
            {'history': [('term', 97.1)]},
            {'history': [('exit', 100.1)]},
            {'history': [('term', 97.5), ('exit', 100.1)], 'progress': 'part'},
            {'progress': 'part', 'log': [done % 'timeout']},
            {
                'progress': 'part',
                'log': [done % 'backend_broken'],
                'disturbances': [('desk-1', 99.0, 99.1)],
            },
        ):
            self.assertEqual([], audit_attempt(**changes), changes)

    def test_log_lines_without_an_excuse(self):
        unanswered = 'event=request_unanswered request=r1 end=caller_gone'
        for line in (
            unanswered,
            'event=request_failed error=x',
            'event=connection_failed error=x',
            'event=connection_expired waited_s=1 has_started=True',
            'Traceback (most recent call last):',
        ):
            found = audit_attempt(log=[line], progress='whole')
            self.assertEqual(1, len(found), line)
        self.assertEqual(2, len(audit_attempt(log=[unanswered])))


def make_server():
    """Return a backend server and a checker that records its runs."""
    checker = soak_world.InvariantChecker()
    rng = soak_world.make_rng(1, 'desk-1')
    return soak_backends.Server('desk-1', 'desk', checker, rng), checker


def make_request(request_id, connection, expected='desk-1'):
    """Return a plain request that must run once."""
    headers = {'x-request-id': request_id, 'x-expect-instance': expected}
    return workers.ReceivedRequest('POST', '/place/', headers, b'', connection)


class ServerTest(unittest.TestCase):
    """The stand-in servers inject what they are told to."""

    def test_refusal_is_written_again_on_its_connection(self):
        server, checker = make_server()
        server.refuses_all = True
        with mock.patch.object(soak_backends, 'COPY_SHARE', 1.0):
            (refusal,) = server._run(make_request('r1', 1))
        server.refuses_all = False
        self.assertNotIn(refusal, server._run(make_request('r2', 2)))
        # The refused request is under way there again.
        self.assertIn(refusal, server._run(make_request('r1', 1)))
        self.assertNotIn(refusal, server._run(make_request('r3', 1)))
        self.assertEqual(['desk-1'], checker.runs['r1'])

    def test_replaced_server_refuses_what_names_the_old_one(self):
        server, checker = make_server()
        server.replace(is_renamed=True)
        (answer,) = server._run(make_request('r1', 1))
        self.assertTrue(answer.startswith(b'HTTP/1.1 421 '), answer)
        self.assertFalse(checker.runs['r1'])
        server._run(make_request('r1', 1, server.name))
        self.assertEqual([server.name], checker.runs['r1'])

    def test_limit_is_named_until_the_server_is_replaced(self):
        server, _ = make_server()
        server.spell = spell = soak_limits.Spell('s', 'desk-1', 2.5)
        for request_id in ('r1', 'r2'):
            _, answer = server._run(make_request(request_id, 1))
            self.assertIn(b'\r\nServer-Limit: 2.5\r\n', answer)
            server.replace(is_renamed=False)
            if request_id == 'r1':
                server.spell = spell
        _, answer = server._run(make_request('r3', 1))
        self.assertNotIn(b'Server-Limit', answer)
        self.assertEqual(['r1', 'r2'], [r for _, r in spell.arrivals])


def worst_of_limit(*moments_s, history=(), faults=(), passed_s=100.0):
    """Return the worst window of a limit that was first named at 100 s."""
    vm = types.SimpleNamespace(
        number=0, history=[('start', 0.0), *map(tuple, history)]
    )
    attempts = {'r1': soak_world.Attempt('r1', 'safe', vm)}
    arrivals = [(moment_s, 'r1') for moment_s in moments_s]
    spell = soak_limits.Spell(
        's', 'desk-1', 2.0, 100.0, arrivals, [(passed_s, 0)]
    )
    return spell.worst(attempts, faults)


class LimitTest(unittest.TestCase):
    """The check of limits counts what the rule counts."""

    def test_window_with_the_most_requests(self):
        times_s = 102.9, 103.0, 105.0, 106.9, 107.1, 111.2
        self.assertEqual(3, worst_of_limit(*times_s))
        spell = soak_limits.Spell('s', 'desk-1', 2.0)
        self.assertEqual(17, spell.allowed)

    def test_vms_that_are_excused(self):
        for changes in (
            {'passed_s': 104.6},
            {'history': [('term', 103.0), ('start', 104.0)]},
            {'history': [('pause', 103.0), ('resume', 104.0)]},
            {'history': [('term', 104.9)]},
            {'faults': [('desk-1', 103.0, 104.5)]},
        ):
            self.assertEqual(0, worst_of_limit(105.0, **changes), changes)

    def test_vms_that_are_not_excused(self):
        for changes in (
            {'passed_s': 104.5},
            {'history': [('pause', 98.0), ('resume', 99.0)]},
            {
                'history': [('pause', 103.0), ('resume', 104.0)],
                'passed_s': 104.4,
            },
            {'history': [('term', 105.1)]},
            {'faults': [('desk-1', 103.0, 103.9), ('desk-2', 104.0, 106.0)]},
        ):
            self.assertEqual(1, worst_of_limit(105.0, **changes), changes)


class SoakTest(unittest.TestCase):
    """Real VMs under faults for some seconds."""

    def test_no_violations_under_faults(self):
        checker = soak.run_seed(seed=1, seconds=6.0)
        self.assertEqual([], checker.violations)

    def test_no_violations_with_a_store_that_goes_back(self):
        checker = soak.run_seed(seed=4, seconds=10.0)
        self.assertEqual([], checker.violations)
        self.assertTrue(checker.counts['store', 'restored'])

    def test_seeds_that_failed(self):
        for seed, has_limits, cause in (
            (1, False, 'SIGHUP during the handling of SIGHUP halted a VM'),
            (
                2,
                False,
                'an idle timeout closed a connection with unread bytes',
            ),
            (
                4,
                False,
                'an idle timeout closed a connection with unread bytes',
            ),
            (8, False, 'a silent stream was given up with no retry left'),
            (401, False, 'a copy of a refusal passed for the answer'),
            (502, True, 'the limits that servers named were not read'),
        ):
            with self.subTest(seed=seed, cause=cause):
                # As they were when they failed.
                checker = soak.run_seed(
                    seed,
                    seconds=12.0,
                    has_limits=has_limits,
                    has_restores=False,
                )
                self.assertEqual([], checker.violations)

    def test_false_refusals_of_servers_are_found(self):
        def refuse(request):
            return workers.not_executed_response(request)

        def run_but_refuse(self, request):
            if (
                'x-serving-stage' in request.headers
                or request.method == 'DELETE'
            ):
                return original_run(self, request)
            kind = soak_world.kind_of(request.target)
            self.checker.record_run(request.request_id, kind, self.name)
            return refuse(request)

        original_run = soak_backends.Server._run
        with (
            mock.patch.object(soak_backends.Server, '_run', run_but_refuse),
            mock.patch.object(soak_vms, 'START_TIMEOUT_S', 10.0),
            mock.patch.object(soak, 'RECOVERY_TIMEOUT_S', 2.0),
        ):
            checker = soak.run_seed(seed=1, seconds=1.0, vms=1)
        found = '\n'.join(checker.violations)
        self.assertIn('and has run', found)
        self.assertIn('ran twice', found)
        self.assertIn('does not serve', found)


if __name__ == '__main__':
    unittest.main()
