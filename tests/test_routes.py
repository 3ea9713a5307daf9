"""Tests of requests that leave the plain path.

They are split over a prefill and a decode engine, or forwarded to another
failure domain.
"""

from tests import test_failures
from tests import test_path


class TestPrefillDecodeSplit(test_path.ClusterTestCase):
    def test_prefill_and_decode_on_two_engines(self):
        cluster = self.cluster
        done = cluster.run_ctl(
            'set',
            'pools',
            'language',
            'planning=static',
            'servers.e1.role=prefill',
            'servers.e4.role=decode',
        )
        self.assertEqual(0, done.returncode, done.stderr)
        cluster.wait_status(
            cluster.daemons['entry-1'],
            lambda s: (
                {'prefill', 'decode'} <= {v['role'] for v in s['servers']}
                and not any(v['is_draining'] for v in s['servers'])
            ),
        )
        before = test_path.engine_log(cluster.servers['e1'])['counts'].get(
            'prefill_tokens', 0
        )
        status, answer = test_path.complete(cluster, 'entry-1', 9)
        self.assertEqual(200, status, answer)
        self.assertEqual(9, answer['usage']['completion_tokens'])
        self.assertGreater(
            test_path.engine_log(cluster.servers['e1'])['counts'][
                'prefill_tokens'
            ],
            before,
        )
        self.assertEqual(
            0,
            test_path.engine_log(cluster.servers['e1'])['counts'].get(
                'tokens', 0
            ),
        )
        self.assertEqual(
            9,
            test_path.engine_log(cluster.servers['e4'])['counts'].get(
                'tokens', 0
            ),
        )


class TestForwardingToOtherDomain(test_path.ClusterTestCase):
    def test_domain_without_engines_forwards_requests(self):
        cluster = self.cluster
        done = cluster.run_ctl(
            'set',
            'pools',
            'language',
            'servers.e1.is_draining=true',
            'servers.e4.is_draining=true',
            'servers.e2.is_draining=false',
            '--wait',
        )
        self.assertEqual(0, done.returncode, done.stderr)
        status, answer = test_path.complete(cluster, 'entry-1', 7)
        self.assertEqual(200, status, answer)
        response = test_failures.open_stream(cluster, 'entry-4', 30)
        response.read(100)
        for name in ('e2', 'e3', 'e5', 'e6'):
            cluster.set_faults(cluster.servers[name], cut_streams=1)
        indexes, is_whole, _ = test_failures.read_stream(response)
        for name in ('e2', 'e3', 'e5', 'e6'):
            cluster.set_faults(cluster.servers[name], cut_streams=0)
        self.assertTrue(is_whole)
        self.assertEqual(30, indexes[-1])

    def test_forwarded_order_takes_effect_once(self):
        cluster = self.cluster
        done = cluster.run_ctl(
            'set', 'pools', 'desk', 'servers.s1.is_draining=true', '--wait'
        )
        self.assertEqual(0, done.returncode, done.stderr)
        before = len(cluster.effects())
        answers = [
            test_path.place_order(cluster, vm, 'passed-on')
            for vm in ('entry-1', 'entry-4', 'entry-2')
        ]
        self.assertEqual({201}, {status for status, _ in answers})
        self.assertEqual(before + 1, len(cluster.effects()))
