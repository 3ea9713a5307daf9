"""Measures slopes: what a daemon's control work costs as the fleet grows.

``python -m bench.scale`` prints a line for each slope: seconds, bytes or
calls against the number of members, servers, accounts, rows or entries.
The state machines of the daemon run in this process; ``--processes N``
also starts N real daemons and reads their processor time, memory and
platform calls while idle.  It takes about two minutes.
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
IDLE_S = 15.0
# Framing and TCP of a unary call, on top of its message, both ways.
CALL_OVERHEAD_BYTES = 250


def timed(function, repeats):
    """Return the mean seconds of a call."""
    began = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - began) / repeats


def show(name, size, value, unit):
    """Print one point of a slope."""
    print(f'{name:34}{size:>8}  {value:12.3f} {unit}', flush=True)


def make_data(routes, accounts, pools, servers):
    """Return the data of tables of this size, as an operator writes it.

    Each account is on two routes.
    """
    data = {'routes': {}, 'pools': {}}
    for i in range(pools):
        each = range(i, servers, pools)
        data['pools'][f'p{i}'] = {
            'name': f'p{i}',
            'servers': {
                f'e{j}': {
                    'address': f'10.{j // 250}.{j % 250}.1:80',
                    'failure_domain': f'd{j % 5}',
                }
                for j in each
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
    """Cost of taking a revision, of a delta, and their sizes."""
    for accounts in (100, 700, 1400):
        data = make_data(10, accounts, 10, 600)
        data['revision'] = 1
        text = orjson.dumps(data)
        old = tables.from_data(orjson.loads(text))
        row = data['routes']['r0'] | {'priority': 7}
        edit = tables.Edit('routes', 'r0', row, 0)
        new = tables.apply(old, [edit], 'c', 'ops')
        delta = tables.make_delta(old, new)
        size = len(orjson.dumps(new.to_data()))
        show('tables: whole value', accounts, size / 1e3, 'kB')
        size = len(orjson.dumps([delta.put, delta.deleted]))
        show('tables: delta of one field', accounts, size, 'bytes')
        taken = timed(lambda: tables.from_data(orjson.loads(text)), 3)
        show('tables: take whole', accounts, taken * 1e3, 'ms')
        taken = timed(lambda: tables.apply_delta(old, delta), 3)
        show('tables: take delta', accounts, taken * 1e3, 'ms')
        taken = timed(lambda: tables.make_delta(old, new), 3)
        show('tables: make delta', accounts, taken * 1e3, 'ms')
        measure_identify(new, accounts)


def measure_identify(found, accounts):
    """Cost of finding the account of a key, the last of the route."""
    headers = {'authorization': 'Bearer unknown'}

    def ask():
        try:
            identify.authorize(found, 'r0', headers)
        except identify.errors.MangorockError:
            return

    show('identify: unknown key', accounts, timed(ask, 20) * 1e6, 'us')


def measure_membership():
    """Cost, bytes and calls of probing, for one member of many."""
    for count in (8, 76, 380):
        nodes = {}
        for i in range(count):
            vm, domain = f'entry-{i}', f'd{i % 5}'
            me = membership.Member(vm, domain, f'10.0.{i}.1:8082', '')
            nodes[vm] = membership.Membership(me, random.Random(i))
        everyone = [n.me for n in nodes.values()]
        for node in nodes.values():
            for member in everyone:
                node.merge_member(member, 0.0)
            node.pending_news.clear()
        sent, used, seconds = run_probes(nodes, 30)
        node_s = count * 30
        show('membership: probes', count, sent[0] / node_s, 'calls/s/node')
        show('membership: bytes', count, sent[1] / node_s, 'bytes/s/node')
        show('membership: machine', count, used / node_s * 1e6, 'us/s/node')
        del seconds


def run_probes(nodes, seconds):
    """Let every node tick once a second; return what was sent."""
    calls = size = 0
    began = time.process_time()
    dumping = 0.0
    for now in range(1, seconds + 1):
        for node in nodes.values():
            for member, message in node.tick(float(now)):
                peer = nodes[member.vm]
                answer = peer.on_probe(message, float(now))
                node.on_answer(answer, float(now))
                at = time.process_time()
                for one in (message, answer):
                    size += peers.message_to_proto(one).ByteSize()
                size += CALL_OVERHEAD_BYTES
                dumping += time.process_time() - at
                calls += 1
    used = time.process_time() - began - dumping
    return (calls, size), used, seconds


def measure_router():
    """Cost of a choice and of an estimate, against engines in the pool."""
    for count in (6, 24, 120):
        chosen = router.Router('d0', random.Random(1))
        data = make_data(1, 1, 1, count * 5)
        data['revision'] = 1
        chosen.update_tables(tables.from_data(data))
        demand = router.Demand('r', 3000, 100, ('a', 'b'))
        seconds = timed(
            lambda: chosen.choose('p0', 'finish_time', demand, 1.0), 300
        )
        show('router: choose', count, seconds * 1e6, 'us')
        seconds = timed(lambda: chosen.estimate('p0', demand, 1.0), 300)
        show('router: estimate', count, seconds * 1e6, 'us')


def measure_claims():
    """Cost of a claim, the bytes of a write, and memory of the index."""
    for count in (1000, 10_000, 50_000):
        shard = claims.Shard()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        at = time.process_time()
        written, version = 0, 0
        pending = shard.handle(submit(0), 1.0)
        for i in range(1, count + 1):
            while pending:
                action = pending.pop(0)
                if isinstance(action, claims.Load):
                    pending += shard.handle(claims.Loaded({}), 1.0)
                elif isinstance(action, claims.Write):
                    version += 1
                    written += len(action.text)
                    event = claims.Written(version)
                    pending += shard.handle(event, 1.0)
            pending = shard.handle(submit(i), 1.0)
        used = time.process_time() - at
        grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        show('claims: machine', count, used / count * 1e6, 'us/claim')
        show('claims: write', count, written / version, 'bytes/write')
        show('claims: memory', count, grown * 1024 / count, 'bytes/claim')


def submit(number):
    """Return the submission of one claim."""
    key = claims.claim_key('account', 'route', str(number))
    entry = claims.Entry(key, key, claims.Kind.CLAIMED, 1.0)
    return claims.Submit(number, entry)


def measure_processes(count):
    """Start daemons of one domain and read what they use while idle."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        relay.make_desk(folder, 6)
        config = json.loads((folder / 'fleet.json').read_text())
        config['entry_vms'] = [
            {'vm': f'a{i}', 'failure_domain': 'a'} for i in range(count)
        ]
        (folder / 'fleet.json').write_text(json.dumps(config))
        with fleet.Fleet(folder, ROOT / 'out' / f'scale-{count}') as desk:
            pids = [d.process.handle.pid for d in desk.daemons.values()]
            time.sleep(5.0)
            cpu = sum(relay.cpu_seconds(p) for p in pids)
            calls = platform_calls(desk)
            time.sleep(IDLE_S)
            cpu = sum(relay.cpu_seconds(p) for p in pids) - cpu
            calls = platform_calls(desk) - calls
            memory = max(relay.peak_memory_mb(p) for p in pids)
    share = cpu / IDLE_S / count * 100
    show('processes: idle', count, share, '% of a core each')
    show('processes: memory', count, memory, 'MB peak')
    show('processes: platform', count, calls / IDLE_S, 'calls/s in all')


def platform_calls(desk):
    """Return the calls that the platform has counted."""
    found = fleet.http_json('GET', desk.platform.address, '/control/calls')
    return sum(found[1].values())


def main():
    """Measure every slope."""
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
