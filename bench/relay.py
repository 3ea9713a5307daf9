"""Measures the overhead of relaying token streams through one daemon.

``python bench/relay.py`` reads streams of 37 ms per token, first directly
from the engines, then through the daemon.  For both it prints the number of
tokens, the time to the first token and the time between tokens, and for the
daemon its CPU time per token and peak memory.  It ends by itself in about a
minute.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import hdrh.histogram

from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
CLIENT_KEY = 'key-of-the-relay-bench'
MAX_RECORDED_US = 60_000_000


def write_config(folder, engines):
    """Write the configuration of a fleet of one daemon and some engines.

    The engines keep their speed under any load, so that differences between
    the two runs come from the daemon.
    """
    account = {'bench': {'key_sha256': fleet.key_digest(CLIENT_KEY)}}
    servers = {
        f'e{i}': {'address': f'10.0.0.{i + 1}:80', 'failure_domain': 'a'}
        for i in range(engines)
    }
    tables = {
        'routes': {
            'bench': {
                'name': 'bench',
                'pool': 'bench',
                'deadline_ms': 60000,
                'max_output_tokens': 1000,
                'accounts': account,
            }
        },
        'pools': {
            'bench': {
                'name': 'bench',
                'max_queue': 10000,
                'servers': servers,
            }
        },
    }
    config = {
        'entry_vms': [{'vm': 'a1', 'failure_domain': 'a'}],
        'engines': {
            'default': {
                'decode_ms': 37.0,
                'max_batch': 1000000,
                'prefill_tps': 1e9,
            }
        },
        'keys': {'bench': CLIENT_KEY},
    }
    (folder / 'tables.json').write_text(json.dumps(tables))
    (folder / 'fleet.json').write_text(json.dumps(config))


def cpu_seconds(pid):
    """Return the CPU time that a process has used, in seconds."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def peak_memory_mb(pid):
    """Return the peak resident memory of a process, in MB."""
    with open(f'/proc/{pid}/status') as file:
        for line in file:
            if line.startswith('VmHWM'):
                return int(line.split()[1]) / 1024
    return 0.0


def run_clients(args, addresses, is_direct):
    """Run client processes concurrently and return their merged times."""
    command = [
        sys.executable,
        str(ROOT / 'bench' / 'streams.py'),
        f'--rate={args.rate / args.clients}',
        f'--seconds={args.seconds}',
        f'--tokens={args.tokens}',
        '--model=bench',
        f'--key={CLIENT_KEY}',
        f'--address={addresses}',
    ]
    if is_direct:
        command.append('--is-direct')
    clients = [
        subprocess.Popen([*command, f'--seed={i}'], stdout=subprocess.PIPE)
        for i in range(args.clients)
    ]
    merged = {}
    for client in clients:
        data = json.loads(client.communicate()[0])
        for name, value in data.items():
            merged[name] = merged.get(name, type(value)()) + value
    return merged


def percentiles(values_ms):
    """Return the 50th, 95th and 99th percentile, in ms."""
    histogram = hdrh.histogram.HdrHistogram(1, MAX_RECORDED_US, 3)
    for value in values_ms:
        histogram.record_value(max(1, int(value * 1000)))
    return [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]


def print_result(name, times, args):
    """Print the results of a run; return its two 95th percentiles."""
    first = percentiles(times['first_ms'])
    between = percentiles(times['between_ms'])
    print(
        f'{name:8} complete {times["whole"]} broken {times["broken"]} '
        f'tokens {times["tokens"]}; first token ms p50/p95/p99 '
        f'{first[0]:.1f}/{first[1]:.1f}/{first[2]:.1f}; between '
        f'{between[0]:.1f}/{between[1]:.1f}/{between[2]:.1f}'
    )
    return first[1], between[1]


def main():
    """Run with and without the daemon and print the difference."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--rate', type=float, default=26.0)
    parser.add_argument('--tokens', type=int, default=440)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--engines', type=int, default=2)
    parser.add_argument('--clients', type=int, default=2)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        write_config(folder, args.engines)
        with fleet.Fleet(folder, ROOT / 'out' / 'relay') as cluster:
            engines = ','.join(s.address for s in cluster.servers.values())
            direct_times = run_clients(args, engines, True)
            daemon = cluster.daemons['a1']
            pid = daemon.process.popen.pid
            cpu_before_s = cpu_seconds(pid)
            relayed_times = run_clients(args, daemon.caller_address, False)
            daemon_cpu_s = cpu_seconds(pid) - cpu_before_s
            memory_mb = peak_memory_mb(pid)
    direct_p95 = print_result('direct', direct_times, args)
    relayed_p95 = print_result('relayed', relayed_times, args)
    print(
        'added at p95: first token '
        f'{relayed_p95[0] - direct_p95[0]:.1f} ms, between '
        f'tokens {relayed_p95[1] - direct_p95[1]:.1f} ms; daemon '
        f'{daemon_cpu_s * 1e6 / max(1, relayed_times["tokens"]):.1f} '
        'us per token, '
        f'peak {memory_mb:.0f} MB'
    )


if __name__ == '__main__':
    main()
