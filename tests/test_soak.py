"""A short seeded soak, and each of its checks shown red."""

import types
import unittest
from unittest import mock

from tests import soak
from tests import soak_world
from tests import workers


def make_ledger(*steps):
    """Return a ledger after runs and answers of one unsafe request."""
    ledger = soak_world.Ledger()
    for step in steps:
        if step == 'ran':
            ledger.ran('r1', 'unsafe', 'server')
        else:
            ledger.answered('r1', 'unsafe', step)
    return ledger


class Checks(unittest.TestCase):
    """What contradicts a promise is found."""

    def test_kept_promises_break_nothing(self):
        for steps in (('ran', 200), ('ran', 502), (503,), (502, 'ran')):
            self.assertEqual([], make_ledger(*steps).broken)

    def test_second_run_of_an_unsafe_request(self):
        self.assertTrue(make_ledger('ran', 'ran').broken)

    def test_refusal_of_what_has_run_or_runs_later(self):
        self.assertTrue(make_ledger('ran', 503).broken)
        self.assertTrue(make_ledger(429, 'ran').broken)

    def test_answer_of_another_request(self):
        for status, body, found in (
            (200, b'another', {'x-request-id': 'r1'}),
            (200, soak_world.answer_body('r1'), {'x-request-id': 'r2'}),
        ):
            ledger = soak_world.Ledger()
            caller = soak_world.Caller(1, ledger, None, [])
            signed = {'x-response-signature': 's', **found}
            exchange = types.SimpleNamespace(status=status, headers=signed)
            caller._judge('safe', 'r1', exchange, body)
            self.assertEqual(1, len(ledger.broken))

    def test_stream_that_lacks_an_event_but_looks_whole(self):
        ledger = soak_world.Ledger()
        caller = soak_world.Caller(1, ledger, None, [])
        found = {'x-response-signature': 's', 'x-request-id': 'r1'}
        exchange = types.SimpleNamespace(status=200, headers=found)
        caller._judge('stream', 'r1', exchange, b'id: 1\ndata: piece 1\n\n')
        self.assertEqual(1, len(ledger.broken))


class Run(unittest.TestCase):
    """Real VMs for some seconds."""

    def test_promises_hold_under_harm(self):
        ledger = soak.play(seed=1, seconds=6.0)
        self.assertEqual([], ledger.broken)

    def test_servers_that_lie_about_running_are_found(self):
        def full(seen):
            return workers.not_executed_response(seen)

        def lies(self, seen):
            if 'x-serving-stage' in seen.headers or seen.method == 'DELETE':
                return honest(self, seen)
            kind = soak_world.kind_of(seen.target)
            self.ledger.ran(seen.request_id, kind, self.name)
            return full(seen)

        honest = soak_world.Server._run
        with (
            mock.patch.object(soak_world.Server, '_run', lies),
            mock.patch.object(soak, 'START_S', 10.0),
            mock.patch.object(soak, 'HEALED_S', 2.0),
        ):
            ledger = soak.play(seed=1, seconds=1.0, vms=1)
        found = '\n'.join(ledger.broken)
        self.assertIn('and has run', found)
        self.assertIn('ran twice', found)
        self.assertIn('does not serve', found)


if __name__ == '__main__':
    unittest.main()
