"""Kills, freezes, platform outages and restarts, with real processes.

Verdicts rest on outcomes, never on how fast they came.
"""

import concurrent.futures
import http.client
import signal
import unittest

import orjson

from tests import test_path


def open_stream(desk, vm, tokens=60):
    """Start a streamed stock question; return the open response."""
    host, _, port = desk.daemons[vm].caller.partition(':')
    conn = http.client.HTTPConnection(host, int(port), timeout=60)
    data = {
        'model': 'stock-question',
        'messages': [{'role': 'user', 'content': 'How many bags?'}],
        'max_tokens': tokens,
        'stream': True,
    }
    headers = test_path.request_headers(desk, **{'x-deadline-ms': '60000'})
    conn.request('POST', '/v1/chat/completions', orjson.dumps(data), headers)
    return conn.getresponse()


def read_stream(response):
    """Return the token indexes of a stream, whether it is whole, its text."""
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
    def cut_next(self, names, count):
        """Let engines cut the next streams at their next token."""
        for name in names:
            self.cluster.faults(self.cluster.servers[name], cut_streams=count)

    def test_stream_is_resumed_on_another_engine(self):
        """Both engines of the domain cut it, another domain ends it."""
        response = open_stream(self.cluster, 'entry-1')
        self.cut_next(['e1', 'e4'], 1)
        indexes, is_whole, _ = read_stream(response)
        self.cut_next(['e1', 'e4'], 0)
        self.assertTrue(is_whole)
        self.assertEqual(list(range(61)), indexes)

    def test_stream_that_every_engine_cuts_is_never_taken_for_whole(self):
        """More cuts than attempts: what came is right, and not whole."""
        engines = [n for n in self.cluster.servers if n[0] == 'e']
        response = open_stream(self.cluster, 'entry-1')
        self.cut_next(engines, 100)
        indexes, is_whole, text = read_stream(response)
        self.cut_next(engines, 0)
        self.assertFalse(is_whole)
        self.assertIn('backend_broken', text)
        self.assertEqual(list(range(len(indexes))), indexes)
        status, answer = test_path.complete(self.cluster, 'entry-2')
        self.assertEqual(200, status, answer)


class TestDeadEngine(test_path.ClusterTestCase):
    def test_dead_engine_is_passed_over(self):
        victim = self.cluster.servers['e1']
        victim.signal(signal.SIGKILL)
        for vm in self.cluster.daemons:
            status, answer = test_path.complete(self.cluster, vm)
            self.assertEqual(200, status, answer)


class TestDaemonLoss(test_path.ClusterTestCase):
    def test_claim_outlives_the_daemon_that_held_it(self):
        for name, server in self.cluster.servers.items():
            if name[0] == 's':
                self.cluster.faults(server, delay_s=5.0)
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
                self.cluster.faults(server, delay_s=0.0)

    def test_killed_relay_is_no_whole_answer_and_a_repeat_is(self):
        response = open_stream(self.cluster, 'entry-4')
        response.read(200)
        self.cluster.daemons['entry-4'].process.signal(signal.SIGKILL)
        _, is_whole, _ = read_stream(response)
        self.assertFalse(is_whole)
        status, _ = test_path.complete(self.cluster, 'entry-7')
        self.assertEqual(200, status)

    def test_frozen_daemon_does_not_stop_the_others(self):
        frozen = self.cluster.daemons['entry-3'].process
        frozen.signal(signal.SIGSTOP)
        for vm in ('entry-2', 'entry-5', 'entry-6', 'entry-8'):
            status, answer = test_path.complete(self.cluster, vm)
            self.assertEqual(200, status, answer)
        frozen.signal(signal.SIGCONT)
        status, answer = test_path.complete(self.cluster, 'entry-3')
        self.assertEqual(200, status, answer)


class TestPlatformOutage(test_path.ClusterTestCase):
    def test_traffic_goes_on_and_keyed_calls_are_refused_as_not_run(self):
        desk = self.cluster
        desk.faults(desk.platform, is_down=True)
        for vm in desk.daemons:
            status, answer = test_path.complete(desk, vm)
            self.assertEqual(200, status, answer)
        status, answer = test_path.place_order(desk, 'entry-1', 'outage')
        self.assertEqual(503, status)
        self.assertEqual('not_run', answer['error']['run'])
        self.assertEqual([], desk.effects())
        self.started_while_away()
        desk.faults(desk.platform, is_down=False)
        status, answer = test_path.place_order(desk, 'entry-2', 'outage')
        self.assertEqual(201, status, answer)
        self.assertEqual(1, len(desk.effects()))
        done = desk.ctl('set', 'routes', 'orders', 'priority=2', '--wait')
        self.assertEqual(0, done.returncode, done.stderr)

    def started_while_away(self):
        """A daemon that starts now takes the tables from its peers."""
        desk = self.cluster
        daemon = desk.daemons['entry-8']
        daemon.process.signal(signal.SIGTERM)
        self.assertEqual(0, daemon.process.wait())
        peer = desk.daemons['entry-1'].peer
        desk.extra_flags.append(f'--peers={peer}')
        daemon = desk.start_daemon('entry-8', daemon.failure_domain)
        desk.wait_status(daemon, lambda s: s['revision'] and s['is_joined'])
        status, answer = test_path.complete(desk, 'entry-8')
        self.assertEqual(200, status, answer)

    def test_lost_answer_of_a_change_is_settled(self):
        desk = self.cluster
        desk.faults(desk.platform, lose_answers=1)
        done = desk.ctl('set', 'routes', 'place-order', 'priority=3')
        desk.faults(desk.platform, lose_answers=0)
        self.assertEqual(0, done.returncode, done.stderr)
        history = desk.ctl('history').stdout.splitlines()
        rows = [r for r in history if r.endswith('routes/place-order')]
        self.assertEqual(1, len(rows), history)


class TestPlannedChanges(test_path.ClusterTestCase):
    def test_rolling_restart_cuts_no_stream(self):
        desk = self.cluster
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for vm in list(desk.daemons):
                streams = [open_stream(desk, v, 40) for v in desk.daemons]
                ends = [pool.submit(read_stream, s) for s in streams]
                daemon = desk.daemons[vm]
                daemon.process.signal(signal.SIGTERM)
                self.assertEqual(0, daemon.process.wait(), vm)
                for end in ends:
                    indexes, is_whole, _ = end.result()
                    self.assertTrue(is_whole)
                    self.assertEqual(list(range(41)), indexes)
                started = desk.start_daemon(vm, daemon.failure_domain)
                desk.wait_status(started, lambda s: s['is_joined'])

    def test_role_change_under_traffic_cuts_nothing(self):
        desk = self.cluster
        server = desk.servers['e1']
        domain = desk.tables['pools']['language']['servers']['e1'][
            'failure_domain'
        ]
        vms = [d.vm for d in desk.daemons.values()]
        done = desk.ctl(
            'set',
            'pools',
            'language',
            'planning=static',
            'servers.e1.role=prefill',
        )
        self.assertEqual(0, done.returncode, done.stderr)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            log = {'counts': {}}
            for _ in range(200):
                ends = [
                    pool.submit(test_path.complete, desk, vm) for vm in vms
                ]
                statuses = {end.result()[0] for end in ends}
                self.assertEqual({200}, statuses)
                log = test_path.engine_log(server)
                if log['counts'].get('role_changes'):
                    break
        self.assertEqual(1, log['counts'].get('role_changes'), domain)
        self.assertEqual(0, log['counts'].get('cut_by_change', 0))

    def test_operators_racing_on_other_rows_both_land(self):
        desk = self.cluster
        with concurrent.futures.ThreadPoolExecutor() as pool:
            ends = [
                pool.submit(
                    desk.ctl, 'set', 'routes', name, 'priority=1', vm=vm
                )
                for name, vm in (
                    ('orders', 'entry-1'),
                    ('contract-review', 'entry-2'),
                    ('stock-question', 'entry-3'),
                )
            ]
            codes = [end.result().returncode for end in ends]
        self.assertEqual([0, 0, 0], codes)
        rows = orjson.loads(desk.ctl('show', 'routes').stdout)
        self.assertEqual(1, rows['orders']['priority'])
        self.assertEqual(1, rows['contract-review']['priority'])

    def test_drained_engine_gets_no_new_work(self):
        desk = self.cluster
        done = desk.ctl(
            'set',
            'pools',
            'language',
            'servers.e2.is_draining=true',
            '--wait',
        )
        self.assertEqual(0, done.returncode, done.stderr)
        server = desk.servers['e2']
        before = test_path.engine_log(server)
        for vm in list(desk.daemons) * 2:
            status, answer = test_path.complete(desk, vm)
            self.assertEqual(200, status, answer)
        after = test_path.engine_log(server)
        self.assertEqual(
            before['counts'].get('prompt_tokens'),
            after['counts'].get('prompt_tokens'),
        )


class TestLeavingServer(test_path.ClusterTestCase):
    def assert_no_new_work(self, name):
        """Wait until its routers know, then count what it gets."""
        desk = self.cluster
        row = desk.tables['pools']['language']['servers'][name]
        vms = [
            d
            for d in desk.daemons.values()
            if d.failure_domain == row['failure_domain']
        ]
        for daemon in vms:
            desk.wait_status(
                daemon,
                lambda s: any(
                    v['name'] == name and v['is_leaving'] for v in s['servers']
                ),
            )
        server = desk.servers[name]
        before = test_path.engine_log(server)
        for daemon in vms * 4:
            status, answer = test_path.complete(desk, daemon.vm)
            self.assertEqual(200, status, answer)
        after = test_path.engine_log(server)
        self.assertEqual(before['counts'], after['counts'])

    def test_platforms_list_alone_stops_new_work(self):
        self.cluster.publish_vms(leaving=['engine-3'])
        self.assert_no_new_work('e3')

    def test_engines_own_report_alone_stops_new_work(self):
        server = self.cluster.servers['e4']
        self.cluster.faults(server, is_leaving=True)
        self.assert_no_new_work('e4')


class TestDomainLoss(test_path.ClusterTestCase):
    def test_silent_domain_does_not_stop_the_others_and_catches_up(self):
        desk = self.cluster
        cut = [
            d for d in desk.daemons.values() if d.failure_domain == 'muscat-3'
        ]
        for daemon in cut:
            daemon.process.signal(signal.SIGSTOP)
        live = [d for d in desk.daemons.values() if d not in cut]
        for daemon in live:
            status, answer = test_path.complete(desk, daemon.vm)
            self.assertEqual(200, status, answer)
        done = desk.ctl('set', 'routes', 'orders', 'priority=1')
        self.assertEqual(0, done.returncode, done.stderr)
        for daemon in cut:
            daemon.process.signal(signal.SIGCONT)
        for daemon in cut:
            desk.wait_status(daemon, lambda s: s['revision'] >= 2)
            status, answer = test_path.complete(desk, daemon.vm)
            self.assertEqual(200, status, answer)


if __name__ == '__main__':
    unittest.main()
