"""Measures how the daemon's control-plane cost scales with the fleet.

``python -m bench.scale`` prints a line for each size: time, bytes or calls
against the number of members, servers, accounts, rows or entries.  The state
machines of the daemon run in this process; ``--processes N`` also starts N
real daemons and reads their CPU time, memory and platform calls while idle.
It takes about two minutes.
"""

import argparse
import json
import os
import pathlib
import random
import resource
import tempfile
import time

import orjson

from bench import relay
from mangorock import claims
from mangorock import identify
from mangorock import membership
from mangorock import peers
from mangorock import router
from mangorock import tables
from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
IDLE_PERIOD_S = 15.0
# Framing and TCP headers of a unary call, both ways, without its messages.
CALL_OVERHEAD_BYTES = 250


def mean_seconds(function, repeats):
    """Return the mean CPU time of a call, in seconds."""
    started_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started_s) / repeats


def print_point(name, size, value, unit):
    """Print one measurement."""
    print(f'{name:34}{size:>8}  {value:12.3f} {unit}', flush=True)


def make_data(routes, accounts, pools, servers):
    """Return tables of the given size, as operators write them.

    Each account has access to two routes.
    """
    data = {'routes': {}, 'pools': {}}
    for i in range(pools):
        server_numbers = range(i, servers, pools)
        data['pools'][f'p{i}'] = {
            'name': f'p{i}',
            'servers': {
                f'e{j}': {
                    'address': f'10.{j // 250}.{j % 250}.1:80',
                    'failure_domain': f'd{j % 5}',
                }
                for j in server_numbers
            },
        }
    for i in range(routes):
        data['routes'][f'r{i}'] = {
            'name': f'r{i}',
            'pool': f'p{i % pools}',
            'accounts': {
                f'a{j}': {'key_sha256': f'{j:064x}', 'share': 1}
                for j in range(accounts)
                if i in (j % routes, (j + 1) % routes)
            },
        }
    return data


def measure_tables():
    """Measure the time and size of whole revisions and of deltas."""
    for accounts in (100, 700, 1400):
        data = make_data(10, accounts, 10, 600)
        data['revision'] = 1
        encoded_tables = orjson.dumps(data)
        old = tables.from_data(orjson.loads(encoded_tables))
        row = data['routes']['r0'] | {'priority': 7}
        edit = tables.Edit('routes', 'r0', row, 0)
        new = tables.apply(old, [edit], 'c', 'ops')
        delta = tables.make_delta(old, new)
        size = len(orjson.dumps(new.to_data()))
        print_point('tables: whole value', accounts, size / 1e3, 'kB')
        size = len(orjson.dumps([delta.put, delta.deleted]))
        print_point('tables: delta of one field', accounts, size, 'bytes')
        duration_s = mean_seconds(
            lambda: tables.from_data(orjson.loads(encoded_tables)), 3
        )
        print_point(
            'tables: load whole value', accounts, duration_s * 1e3, 'ms'
        )
        duration_s = mean_seconds(lambda: tables.apply_delta(old, delta), 3)
        print_point('tables: apply delta', accounts, duration_s * 1e3, 'ms')
        duration_s = mean_seconds(lambda: tables.make_delta(old, new), 3)
        print_point('tables: make delta', accounts, duration_s * 1e3, 'ms')
        measure_identify(new, accounts)


def measure_identify(known_tables, accounts):
    """Measure the lookup of a key that no account of the route has."""
    headers = {'authorization': 'Bearer unknown'}

    def identify_unknown():
        try:
            identify.authorize(known_tables, 'r0', headers)
        except identify.errors.MangorockError:
            return

    print_point(
        'identify: unknown key',
        accounts,
        mean_seconds(identify_unknown, 20) * 1e6,
        'us',
    )


def measure_membership():
    """Measure the probes of one member: calls, bytes and CPU time."""
    for count in (8, 76, 380):
        nodes = {}
        for i in range(count):
            vm, domain = f'entry-{i}', f'd{i % 5}'
            member = membership.Member(vm, domain, f'10.0.{i}.1:8082', '')
            nodes[vm] = membership.Membership(member, random.Random(i))
        members = [node.me for node in nodes.values()]
        for node in nodes.values():
            for member in members:
                node.take_news(member, 0.0)
            node.pending.clear()
        sent, cpu_s, seconds = run_probes(nodes, 30)
        node_seconds = count * 30
        print_point(
            'membership: probes', count, sent[0] / node_seconds, 'calls/s/node'
        )
        print_point(
            'membership: bytes', count, sent[1] / node_seconds, 'bytes/s/node'
        )
        print_point(
            'membership: CPU time',
            count,
            cpu_s / node_seconds * 1e6,
            'us/s/node',
        )
        del seconds


def run_probes(nodes, seconds):
    """Simulate one tick per node and second, and all probes.

    Returns (calls, bytes), the CPU time without that of encoding messages to
    count their bytes, and the simulated seconds.
    """
    calls = size = 0
    started_s = time.process_time()
    encoding_s = 0.0
    for now in range(1, seconds + 1):
        for node in nodes.values():
            for member, message in node.tick(float(now)):
                peer = nodes[member.vm]
                answer = peer.take_probe(message, float(now))
                node.take_answer(answer, float(now))
                encoding_started_s = time.process_time()
                for sent_message in (message, answer):
                    size += peers.from_message(sent_message).ByteSize()
                size += CALL_OVERHEAD_BYTES
                encoding_s += time.process_time() - encoding_started_s
                calls += 1
    cpu_s = time.process_time() - started_s - encoding_s
    return (calls, size), cpu_s, seconds


def measure_router():
    """Measure a choice and an estimate, by engines in the pool."""
    for count in (6, 24, 120):
        tested_router = router.Router('d0', random.Random(1))
        data = make_data(1, 1, 1, count * 5)
        data['revision'] = 1
        tested_router.update_tables(tables.from_data(data))
        demand = router.Demand('r', 3000, 100, ('a', 'b'))
        seconds = mean_seconds(
            lambda: tested_router.choose('p0', 'finish_time', demand, 1.0), 300
        )
        print_point('router: choose', count, seconds * 1e6, 'us')
        seconds = mean_seconds(
            lambda: tested_router.estimate('p0', demand, 1.0), 300
        )
        print_point('router: estimate', count, seconds * 1e6, 'us')


def measure_claims():
    """Measure the CPU time, bytes written and memory per claim."""
    for count in (1000, 10_000, 50_000):
        shard = claims.Shard()
        memory_before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started_s = time.process_time()
        written_bytes, version = 0, 0
        pending = shard.handle(make_submission(0), 1.0)
        for i in range(1, count + 1):
            while pending:
                action = pending.pop(0)
                if isinstance(action, claims.Load):
                    pending += shard.handle(claims.Loaded({}), 1.0)
                elif isinstance(action, claims.Write):
                    version += 1
                    written_bytes += len(action.text)
                    event = claims.Written(version)
                    pending += shard.handle(event, 1.0)
            pending = shard.handle(make_submission(i), 1.0)
        cpu_s = time.process_time() - started_s
        memory_growth_kb = (
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            - memory_before_kb
        )
        print_point('claims: CPU time', count, cpu_s / count * 1e6, 'us/claim')
        print_point(
            'claims: write', count, written_bytes / version, 'bytes/write'
        )
        print_point(
            'claims: memory',
            count,
            memory_growth_kb * 1024 / count,
            'bytes/claim',
        )


def make_submission(number):
    """Return the event that submits one claim."""
    key = claims.claim_key('account', 'route', str(number))
    entry = claims.Entry(key, key, claims.Kind.CLAIMED, 1.0)
    return claims.Submit(number, entry)


def measure_processes(count):
    """Measure idle daemons of one failure domain, as real processes."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        relay.write_config(folder, 6)
        config = json.loads((folder / 'fleet.json').read_text())
        config['entry_vms'] = [
            {'vm': f'a{i}', 'failure_domain': 'a'} for i in range(count)
        ]
        (folder / 'fleet.json').write_text(json.dumps(config))
        with fleet.Fleet(folder, ROOT / 'out' / f'scale-{count}') as cluster:
            pids = [d.process.popen.pid for d in cluster.daemons.values()]
            time.sleep(5.0)
            cpu_s = sum(relay.cpu_seconds(p) for p in pids)
            calls = platform_calls(cluster)
            time.sleep(IDLE_PERIOD_S)
            cpu_s = sum(relay.cpu_seconds(p) for p in pids) - cpu_s
            calls = platform_calls(cluster) - calls
            memory = max(relay.peak_memory_mb(p) for p in pids)
    cpu_percent = cpu_s / IDLE_PERIOD_S / count * 100
    print_point('processes: idle', count, cpu_percent, '% of a core each')
    print_point('processes: memory', count, memory, 'MB peak')
    print_point(
        'processes: platform', count, calls / IDLE_PERIOD_S, 'calls/s in total'
    )


def platform_calls(cluster):
    """Return the number of calls that the platform has received."""
    response = fleet.http_json(
        'GET', cluster.platform.address, '/control/calls'
    )
    return sum(response[1].values())


def main():
    """Run all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--processes', default='4,16,40')
    args = parser.parse_args()
    measure_tables()
    measure_membership()
    measure_router()
    measure_claims()
    for count in filter(None, args.processes.split(',')):
        measure_processes(int(count))
    print(f'cores {os.cpu_count()}')


if __name__ == '__main__':
    main()
