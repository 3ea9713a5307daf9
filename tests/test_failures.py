"""Tests of killed and paused processes, platform outages and restarts.

They run real processes and assert outcomes, never timings.
"""

import concurrent.futures
import http.client
import signal
import unittest

import orjson

from tests import test_path


def open_stream(cluster, vm, tokens=60):
    """Start a streamed completion; return the open response."""
    host, _, port = cluster.daemons[vm].caller_address.partition(':')
    conn = http.client.HTTPConnection(host, int(port), timeout=60)
    data = {
        'model': 'stock-question',
        'messages': [{'role': 'user', 'content': 'How many bags?'}],
        'max_tokens': tokens,
        'stream': True,
    }
    headers = test_path.request_headers(cluster, **{'x-deadline-ms': '60000'})
    conn.request('POST', '/v1/chat/completions', orjson.dumps(data), headers)
    return conn.getresponse()


def read_stream(response):
    """Return the token indexes, the completeness and the text of a stream."""
    try:
        text = response.read().decode()
    except http.client.IncompleteRead as exc:
        text = exc.partial.decode()
    except OSError:
        text = ''
    indexes = [
        orjson.loads(line[6:])['n']
        for line in text.split('\n\n')
        if line.startswith('data: {"id"')
    ]
    return indexes, 'data: [DONE]' in text, text


class TestEngineLoss(test_path.ClusterTestCase):
    def cut_next_streams(self, names, count):
        """Make engines cut their next ``count`` streams at the next token."""
        for name in names:
            self.cluster.set_faults(
                self.cluster.servers[name], cut_streams=count
            )

    def test_stream_is_resumed_on_another_engine(self):
        """Both engines of the domain cut it; another domain resumes it."""
        response = open_stream(self.cluster, 'entry-1')
        self.cut_next_streams(['e1', 'e4'], 1)
        indexes, is_complete, _ = read_stream(response)
        self.cut_next_streams(['e1', 'e4'], 0)
        self.assertTrue(is_complete)
        self.assertEqual(list(range(61)), indexes)

    def test_stream_cut_by_every_engine_is_never_complete(self):
        """More cuts than attempts: the tokens are right but incomplete."""
        engines = [n for n in self.cluster.servers if n[0] == 'e']
        response = open_stream(self.cluster, 'entry-1')
        self.cut_next_streams(engines, 100)
        indexes, is_complete, text = read_stream(response)
        self.cut_next_streams(engines, 0)
        self.assertFalse(is_complete)
        self.assertIn('backend_broken', text)
        self.assertEqual(list(range(len(indexes))), indexes)
        status, answer = test_path.complete(self.cluster, 'entry-2')
        self.assertEqual(200, status, answer)


class TestDeadEngine(test_path.ClusterTestCase):
    def test_dead_engine_is_bypassed(self):
        server = self.cluster.servers['e1']
        server.signal(signal.SIGKILL)
        for vm in self.cluster.daemons:
            status, answer = test_path.complete(self.cluster, vm)
            self.assertEqual(200, status, answer)


class TestDaemonLoss(test_path.ClusterTestCase):
    def test_claim_survives_the_daemon_that_held_it(self):
        for name, server in self.cluster.servers.items():
            if name[0] == 's':
                self.cluster.set_faults(server, delay_s=5.0)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            first = pool.submit(
                test_path.place_order, self.cluster, 'entry-1', 'held'
            )
            while not self.cluster.effects():
                pass
            self.cluster.daemons['entry-1'].process.signal(signal.SIGKILL)
            with self.assertRaises(OSError):
                first.result()
        status, answer = test_path.place_order(self.cluster, 'entry-2', 'held')
        self.assertEqual(409, status)
        self.assertEqual('unknown', answer['error']['run'])
        self.assertEqual(1, len(self.cluster.effects()))
        for name, server in self.cluster.servers.items():
            if name[0] == 's':
                self.cluster.set_faults(server, delay_s=0.0)

    def test_stream_of_killed_daemon_is_incomplete_and_a_retry_succeeds(self):
        response = open_stream(self.cluster, 'entry-4')
        response.read(200)
        self.cluster.daemons['entry-4'].process.signal(signal.SIGKILL)
        _, is_complete, _ = read_stream(response)
        self.assertFalse(is_complete)
        status, _ = test_path.complete(self.cluster, 'entry-7')
        self.assertEqual(200, status)

    def test_paused_daemon_does_not_stop_the_others(self):
        paused = self.cluster.daemons['entry-3'].process
        paused.signal(signal.SIGSTOP)
        for vm in ('entry-2', 'entry-5', 'entry-6', 'entry-8'):
            status, answer = test_path.complete(self.cluster, vm)
            self.assertEqual(200, status, answer)
        paused.signal(signal.SIGCONT)
        status, answer = test_path.complete(self.cluster, 'entry-3')
        self.assertEqual(200, status, answer)


class TestPlatformOutage(test_path.ClusterTestCase):
    def test_traffic_continues_and_keyed_calls_are_refused_as_not_run(self):
        cluster = self.cluster
        cluster.set_faults(cluster.platform, is_down=True)
        for vm in cluster.daemons:
            status, answer = test_path.complete(cluster, vm)
            self.assertEqual(200, status, answer)
        status, answer = test_path.place_order(cluster, 'entry-1', 'outage')
        self.assertEqual(503, status)
        self.assertEqual('not_run', answer['error']['run'])
        self.assertEqual([], cluster.effects())
        self.start_daemon_during_outage()
        cluster.set_faults(cluster.platform, is_down=False)
        status, answer = test_path.place_order(cluster, 'entry-2', 'outage')
        self.assertEqual(201, status, answer)
        self.assertEqual(1, len(cluster.effects()))
        completed = cluster.run_ctl(
            'set', 'routes', 'orders', 'priority=2', '--wait'
        )
        self.assertEqual(0, completed.returncode, completed.stderr)

    def start_daemon_during_outage(self):
        """Start a daemon, which must fetch the tables from its peers."""
        cluster = self.cluster
        daemon = cluster.daemons['entry-8']
        daemon.process.signal(signal.SIGTERM)
        self.assertEqual(0, daemon.process.wait())
        peer = cluster.daemons['entry-1'].peer_address
        cluster.extra_flags.append(f'--peers={peer}')
        daemon = cluster.start_daemon('entry-8', daemon.failure_domain)
        cluster.wait_status(daemon, lambda s: s['revision'] and s['is_joined'])
        status, answer = test_path.complete(cluster, 'entry-8')
        self.assertEqual(200, status, answer)

    def test_change_with_a_lost_response_is_recorded_once(self):
        cluster = self.cluster
        cluster.set_faults(cluster.platform, lose_answers=1)
        completed = cluster.run_ctl(
            'set', 'routes', 'place-order', 'priority=3'
        )
        cluster.set_faults(cluster.platform, lose_answers=0)
        self.assertEqual(0, completed.returncode, completed.stderr)
        history = cluster.run_ctl('history').stdout.splitlines()
        rows = [r for r in history if r.endswith('routes/place-order')]
        self.assertEqual(1, len(rows), history)


class TestPlannedChanges(test_path.ClusterTestCase):
    def test_rolling_restart_cuts_no_stream(self):
        cluster = self.cluster
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for vm in list(cluster.daemons):
                streams = [
                    open_stream(cluster, v, 40) for v in cluster.daemons
                ]
                futures = [pool.submit(read_stream, s) for s in streams]
                daemon = cluster.daemons[vm]
                daemon.process.signal(signal.SIGTERM)
                self.assertEqual(0, daemon.process.wait(), vm)
                for future in futures:
                    indexes, is_complete, _ = future.result()
                    self.assertTrue(is_complete)
                    self.assertEqual(list(range(41)), indexes)
                started = cluster.start_daemon(vm, daemon.failure_domain)
                cluster.wait_status(started, lambda s: s['is_joined'])

    def test_role_change_under_traffic_cuts_no_request(self):
        cluster = self.cluster
        server = cluster.servers['e1']
        domain = cluster.tables['pools']['language']['servers']['e1'][
            'failure_domain'
        ]
        vms = [d.vm for d in cluster.daemons.values()]
        completed = cluster.run_ctl(
            'set',
            'pools',
            'language',
            'planning=static',
            'servers.e1.role=prefill',
        )
        self.assertEqual(0, completed.returncode, completed.stderr)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            log = {'counts': {}}
            for _ in range(200):
                futures = [
                    pool.submit(test_path.complete, cluster, vm) for vm in vms
                ]
                statuses = {future.result()[0] for future in futures}
                self.assertEqual({200}, statuses)
                log = test_path.engine_log(server)
                if log['counts'].get('role_changes'):
                    break
        self.assertEqual(1, log['counts'].get('role_changes'), domain)
        self.assertEqual(0, log['counts'].get('cut_by_change', 0))

    def test_concurrent_edits_of_different_rows_all_succeed(self):
        cluster = self.cluster
        with concurrent.futures.ThreadPoolExecutor() as pool:
            futures = [
                pool.submit(
                    cluster.run_ctl, 'set', 'routes', name, 'priority=1', vm=vm
                )
                for name, vm in (
                    ('orders', 'entry-1'),
                    ('contract-review', 'entry-2'),
                    ('stock-question', 'entry-3'),
                )
            ]
            codes = [future.result().returncode for future in futures]
        self.assertEqual([0, 0, 0], codes)
        rows = orjson.loads(cluster.run_ctl('show', 'routes').stdout)
        self.assertEqual(1, rows['orders']['priority'])
        self.assertEqual(1, rows['contract-review']['priority'])

    def test_drained_engine_gets_no_new_requests(self):
        cluster = self.cluster
        completed = cluster.run_ctl(
            'set',
            'pools',
            'language',
            'servers.e2.is_draining=true',
            '--wait',
        )
        self.assertEqual(0, completed.returncode, completed.stderr)
        server = cluster.servers['e2']
        before = test_path.engine_log(server)
        for vm in list(cluster.daemons) * 2:
            status, answer = test_path.complete(cluster, vm)
            self.assertEqual(200, status, answer)
        after = test_path.engine_log(server)
        self.assertEqual(
            before['counts'].get('prompt_tokens'),
            after['counts'].get('prompt_tokens'),
        )


class TestLeavingServer(test_path.ClusterTestCase):
    def assert_no_new_requests(self, name):
        """Assert that a server gets no requests once its routers mark it."""
        cluster = self.cluster
        row = cluster.tables['pools']['language']['servers'][name]
        daemons = [
            d
            for d in cluster.daemons.values()
            if d.failure_domain == row['failure_domain']
        ]
        for daemon in daemons:
            cluster.wait_status(
                daemon,
                lambda s: any(
                    v['name'] == name and v['is_leaving'] for v in s['servers']
                ),
            )
        server = cluster.servers[name]
        before = test_path.engine_log(server)
        for daemon in daemons * 4:
            status, answer = test_path.complete(cluster, daemon.vm)
            self.assertEqual(200, status, answer)
        after = test_path.engine_log(server)
        self.assertEqual(before['counts'], after['counts'])

    def test_platform_vm_list_alone_stops_new_requests(self):
        self.cluster.publish_vms(leaving=['engine-3'])
        self.assert_no_new_requests('e3')

    def test_engine_report_alone_stops_new_requests(self):
        server = self.cluster.servers['e4']
        self.cluster.set_faults(server, is_leaving=True)
        self.assert_no_new_requests('e4')


class TestDomainLoss(test_path.ClusterTestCase):
    def test_paused_domain_does_not_stop_the_others_and_catches_up(self):
        cluster = self.cluster
        paused = [
            d
            for d in cluster.daemons.values()
            if d.failure_domain == 'muscat-3'
        ]
        for daemon in paused:
            daemon.process.signal(signal.SIGSTOP)
        running = [d for d in cluster.daemons.values() if d not in paused]
        for daemon in running:
            status, answer = test_path.complete(cluster, daemon.vm)
            self.assertEqual(200, status, answer)
        completed = cluster.run_ctl('set', 'routes', 'orders', 'priority=1')
        self.assertEqual(0, completed.returncode, completed.stderr)
        for daemon in paused:
            daemon.process.signal(signal.SIGCONT)
        for daemon in paused:
            cluster.wait_status(daemon, lambda s: s['revision'] >= 2)
            status, answer = test_path.complete(cluster, daemon.vm)
            self.assertEqual(200, status, answer)


if __name__ == '__main__':
    unittest.main()
