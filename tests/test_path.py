"""The whole path, as separate processes on loopback."""

import pathlib
import tempfile
import unittest

from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
TRADERS = ROOT / 'examples' / 'traders'


def headers_of(desk, account='sohar-shops', **more):
    """Return the headers of a caller."""
    key = desk.config['keys'][account]
    return {'authorization': f'Bearer {key}', **more}


def complete(desk, vm, tokens=6, **headers):
    """Return (status, answer) of a stock question at one entry VM."""
    data = {
        'model': 'stock-question',
        'messages': [{'role': 'user', 'content': 'How many bags?'}],
        'max_tokens': tokens,
    }
    return fleet.http_json(
        'POST',
        desk.daemons[vm].caller_address,
        '/v1/chat/completions',
        data,
        headers_of(desk, **headers),
    )


def order(desk, vm, key, account='sohar-shops'):
    """Return (status, answer) of an order at one entry VM."""
    return fleet.http_json(
        'POST',
        desk.daemons[vm].caller_address,
        '/s/place-order',
        {'item': 'briquettes'},
        headers_of(desk, account, **{'idempotency-key': key}),
    )


def log_of(server):
    """Return the orders and counts of one engine."""
    return fleet.http_json('GET', server.address, '/control/log')[1]


class DeskCase(unittest.TestCase):
    """A desk that the tests of a class share."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.desk = fleet.Fleet(TRADERS, folder.name)
        cls.addClassCleanup(cls.desk.close)
        cls.desk.start()


class TestWholePath(DeskCase):
    def test_completion_is_whole_at_every_entry_vm(self):
        for vm in self.desk.daemons:
            status, answer = complete(self.desk, vm)
            self.assertEqual(200, status, answer)
            self.assertEqual(6, answer['usage']['completion_tokens'])
            words = answer['choices'][0]['message']['content'].split()
            suffix = answer['id'][-4:]
            self.assertEqual([f'{suffix}.{i}' for i in range(6)], words)

    def test_order_repeated_at_other_vms_lands_once(self):
        before = len(self.desk.effects())
        answers = [
            order(self.desk, vm, 'one-order') for vm in self.desk.daemons
        ]
        self.assertEqual({201}, {status for status, _ in answers})
        self.assertEqual(1, len({str(body) for _, body in answers}))
        self.assertEqual(before + 1, len(self.desk.effects()))

    def test_same_key_of_another_account_is_another_order(self):
        before = len(self.desk.effects())
        order(self.desk, 'entry-1', 'shared-key')
        order(self.desk, 'entry-2', 'shared-key', 'al-batinah')
        self.assertEqual(before + 2, len(self.desk.effects()))

    def test_edit_is_taken_up_without_a_restart(self):
        done = self.desk.run_ctl(
            'set', 'routes', 'stock-question', 'max_output_tokens=7', '--wait'
        )
        self.assertEqual(0, done.returncode, done.stderr)
        for vm in self.desk.daemons:
            status, answer = complete(self.desk, vm, tokens=8)
            self.assertEqual(400, status, answer)

    def test_two_operators_racing_on_a_row_conflict(self):
        shown = self.desk.run_ctl('show', 'routes', 'orders')
        self.assertEqual(0, shown.returncode)
        first = self.desk.run_ctl(
            'set', 'routes', 'orders', 'priority=3', '--expected=1'
        )
        second = self.desk.run_ctl(
            'set', 'routes', 'orders', 'priority=4', '--expected=1'
        )
        self.assertEqual((0, 3), (first.returncode, second.returncode))
        self.assertIn('conflict', second.stderr)

    def test_unknown_key_and_route_are_refused_as_not_run(self):
        status, answer = fleet.http_json(
            'POST',
            self.desk.daemons['entry-1'].caller_address,
            '/v1/completions',
            {'model': 'nothing', 'prompt': 'x'},
            {'authorization': 'Bearer wrong'},
        )
        self.assertEqual(401, status)
        self.assertEqual('not_run', answer['error']['run'])
        self.assertNotIn('wrong', str(answer))

    def test_operator_call_without_token_is_refused(self):
        daemon = self.desk.daemons['entry-1']
        status, answer = fleet.http_json(
            'GET', daemon.admin_address, '/v1/tables'
        )
        self.assertEqual(401, status, answer)


if __name__ == '__main__':
    unittest.main()
