"""Tests the request path end to end with separate processes on loopback."""

import pathlib
import tempfile
import unittest

from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
TRADERS = ROOT / 'examples' / 'traders'


def request_headers(cluster, account='sohar-shops', **extra):
    """Return the request headers of a client account."""
    key = cluster.config['keys'][account]
    return {'authorization': f'Bearer {key}', **extra}


def complete(cluster, vm, tokens=6, **headers):
    """Send a completion request to an entry VM; return (status, body)."""
    data = {
        'model': 'stock-question',
        'messages': [{'role': 'user', 'content': 'How many bags?'}],
        'max_tokens': tokens,
    }
    return fleet.http_json(
        'POST',
        cluster.daemons[vm].caller_address,
        '/v1/chat/completions',
        data,
        request_headers(cluster, **headers),
    )


def place_order(cluster, vm, key, account='sohar-shops'):
    """Send a service call to an entry VM; return (status, body)."""
    return fleet.http_json(
        'POST',
        cluster.daemons[vm].caller_address,
        '/s/place-order',
        {'item': 'briquettes'},
        request_headers(cluster, account, **{'idempotency-key': key}),
    )


def engine_log(server):
    """Return the orders and counters that an engine has recorded."""
    return fleet.http_json('GET', server.address, '/control/log')[1]


class ClusterTestCase(unittest.TestCase):
    """Starts one cluster that all tests of the class share."""

    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.cluster = fleet.Fleet(TRADERS, directory.name)
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start()


class TestRequestPath(ClusterTestCase):
    def test_completion_is_complete_at_every_entry_vm(self):
        for vm in self.cluster.daemons:
            status, answer = complete(self.cluster, vm)
            self.assertEqual(200, status, answer)
            self.assertEqual(6, answer['usage']['completion_tokens'])
            tokens = answer['choices'][0]['message']['content'].split()
            suffix = answer['id'][-4:]
            self.assertEqual([f'{suffix}.{i}' for i in range(6)], tokens)

    def test_order_repeated_at_other_vms_takes_effect_once(self):
        before = len(self.cluster.effects())
        answers = [
            place_order(self.cluster, vm, 'one-order')
            for vm in self.cluster.daemons
        ]
        self.assertEqual({201}, {status for status, _ in answers})
        self.assertEqual(1, len({str(body) for _, body in answers}))
        self.assertEqual(before + 1, len(self.cluster.effects()))

    def test_same_key_of_another_account_is_another_order(self):
        before = len(self.cluster.effects())
        place_order(self.cluster, 'entry-1', 'shared-key')
        place_order(self.cluster, 'entry-2', 'shared-key', 'al-batinah')
        self.assertEqual(before + 2, len(self.cluster.effects()))

    def test_table_change_applies_without_restart(self):
        result = self.cluster.run_ctl(
            'set', 'routes', 'stock-question', 'max_output_tokens=7', '--wait'
        )
        self.assertEqual(0, result.returncode, result.stderr)
        for vm in self.cluster.daemons:
            status, answer = complete(self.cluster, vm, tokens=8)
            self.assertEqual(400, status, answer)

    def test_two_operators_racing_on_a_row_conflict(self):
        shown = self.cluster.run_ctl('show', 'routes', 'orders')
        self.assertEqual(0, shown.returncode)
        accepted = self.cluster.run_ctl(
            'set', 'routes', 'orders', 'priority=3', '--expected=1'
        )
        rejected = self.cluster.run_ctl(
            'set', 'routes', 'orders', 'priority=4', '--expected=1'
        )
        self.assertEqual((0, 3), (accepted.returncode, rejected.returncode))
        self.assertIn('conflict', rejected.stderr)

    def test_unknown_key_and_route_are_refused_as_not_run(self):
        status, answer = fleet.http_json(
            'POST',
            self.cluster.daemons['entry-1'].caller_address,
            '/v1/completions',
            {'model': 'nothing', 'prompt': 'x'},
            {'authorization': 'Bearer wrong'},
        )
        self.assertEqual(401, status)
        self.assertEqual('not_run', answer['error']['run'])
        self.assertNotIn('wrong', str(answer))

    def test_operator_call_without_token_is_refused(self):
        daemon = self.cluster.daemons['entry-1']
        status, answer = fleet.http_json(
            'GET', daemon.admin_address, '/v1/tables'
        )
        self.assertEqual(401, status, answer)


if __name__ == '__main__':
    unittest.main()
