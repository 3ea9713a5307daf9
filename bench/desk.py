"""Measures the goodput of an example fleet under a changing request mix.

``python -m bench.desk --desk traders --routing finish_time --seed 1`` starts
the processes of the fleet ``examples/traders`` and sends open-loop requests.
Their mix alternates between mostly short questions and many long prompts.
``--faults`` injects faults on the way.  Prints goodput and times by kind of
request, role changes, refusals and retries as JSON; ``--plot FILE`` draws
goodput over time.  It ends by itself.
"""

import argparse
import json
import os
import pathlib
import random
import selectors
import signal
import socket
import sys
import threading
import time

import attrs

from bench import relay
from bench import streams
from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
MIX_PHASE_S = 20.0
SHARED_PREFIX_TOKENS = 6144
CHARS_PER_TOKEN = 4
RESPONSE_GRACE_S = 15.0


@attrs.frozen
class RequestKind:
    """A kind of request: its tokens, deadline and share of the mix.

    ``shared_prefixes`` is the number of prompt prefixes that its requests
    choose from; ``weights`` are the weights in the two phases of the mix.
    """

    model: str
    account: str
    unique_tokens: int
    shared_prefixes: int
    output_tokens: int
    deadline_s: float
    weights: tuple


# Long prompts are rare in the first phase of the mix, frequent in the second.
REQUEST_KINDS = {
    'traders': (
        RequestKind('contract-review', 'al-batinah', 3000, 4, 80, 6.0, (1, 5)),
        RequestKind('stock-question', 'sohar-shops', 60, 0, 60, 3.0, (9, 5)),
    ),
    'ausflug': (
        RequestKind(
            'itinerary-summary', 'melk-tours', 2000, 6, 80, 6.0, (1, 4)
        ),
        RequestKind('spoken-answer', 'wachau-bus', 40, 0, 40, 2.0, (9, 6)),
    ),
}


@attrs.define
class Request:
    """A request and its result."""

    kind: RequestKind
    due_s: float
    sock: object = None
    tokens: int = 0
    first_token_s: float = 0.0
    ended_s: float = 0.0
    is_complete: bool = False
    head: bytes = b''
    tail: bytes = b''

    def is_good(self):
        """Return whether the response was complete and within the deadline."""
        in_time = self.ended_s - self.due_s <= self.kind.deadline_s
        return self.is_complete and in_time


class LoadGenerator:
    """Sends requests on schedule and reads responses with one selector."""

    def __init__(self, cluster, args):
        self.args = args
        self.kinds = REQUEST_KINDS[args.desk]
        self.keys = cluster.config['keys']
        self.addresses = [d.caller_address for d in cluster.daemons.values()]
        self.random = random.Random(args.seed)
        self.selector = selectors.DefaultSelector()
        self.requests = []
        self.stopped_addresses = set()

    def schedule(self):
        """Return all requests with their due times, derived from the seed."""
        due_s, requests = 0.0, []
        while due_s < self.args.seconds:
            due_s += self.random.expovariate(self.args.rate)
            phase = int(due_s / MIX_PHASE_S) % 2
            weights = [kind.weights[phase] for kind in self.kinds]
            kind = self.random.choices(self.kinds, weights)[0]
            requests.append(Request(kind, due_s))
        return requests

    def run(self, start_s):
        """Send each request when due; read until all responses have ended."""
        pending = self.schedule()
        for request in pending:
            request.due_s += start_s
        self.requests = list(pending)
        pending.reverse()
        deadline_s = start_s + self.args.seconds + RESPONSE_GRACE_S
        while time.monotonic() < deadline_s:
            if not pending and not self.selector.get_map():
                break
            for ready, _ in self.selector.select(0.01):
                self.receive(ready.data)
            while pending and pending[-1].due_s <= time.monotonic():
                self.send(pending.pop())

    def send(self, request):
        """Send a request to a random entry VM that is running.

        A load balancer in front of the entry VMs would leave out a stopped VM.
        """
        running = [
            a for a in self.addresses if a not in self.stopped_addresses
        ]
        address = self.random.choice(running)
        kind = request.kind
        prompt = f'{self.random.random()} ' * (kind.unique_tokens // 5)
        if kind.shared_prefixes:
            prefix_number = self.random.randrange(kind.shared_prefixes)
            prompt = (
                f'book{prefix_number} '
                * (SHARED_PREFIX_TOKENS * CHARS_PER_TOKEN // 6)
                + prompt
            )
        body = {
            'model': kind.model,
            'prompt': prompt,
            'max_tokens': kind.output_tokens,
            'stream': True,
        }
        data = streams.make_request(
            address, '/v1/completions', self.keys[kind.account], body
        )
        deadline = f'\r\nx-deadline-ms: {int(kind.deadline_s * 1000)}'
        data = data.replace(
            b'\r\nconnection', deadline.encode() + b'\r\nconnection', 1
        )
        host, _, port = address.partition(':')
        try:
            request.sock = socket.create_connection((host, int(port)))
            request.sock.sendall(data)
        except OSError:
            request.ended_s = time.monotonic()
            return
        request.sock.setblocking(False)
        self.selector.register(request.sock, selectors.EVENT_READ, request)

    def receive(self, request):
        """Read available data of a response and count its tokens."""
        now = time.monotonic()
        try:
            data = request.sock.recv(streams.READ_BYTES)
        except OSError:
            data = b''
        request.head = (request.head + data)[:400]
        request.tokens += (request.tail + data).count(streams.TOKEN_MARKER)
        request.tokens -= request.tail.count(streams.TOKEN_MARKER)
        request.tail = (request.tail + data)[-8:]
        if request.tokens and not request.first_token_s:
            request.first_token_s = now
        if streams.END_MARKER in request.tail + data:
            request.is_complete = (
                request.tokens == request.kind.output_tokens + 1
            )
            data = b''
        if not data:
            request.ended_s = now
            self.selector.unregister(request.sock)
            request.sock.close()


def inject_faults(cluster, load, seconds):
    """Slow one engine, drain one, kill a daemon and stop the platform."""
    time.sleep(seconds * 0.25)
    cluster.set_faults(cluster.servers['e1'], speed=0.3)
    time.sleep(seconds * 0.25)
    cluster.run_ctl('set', 'pools', 'language', 'servers.e2.is_draining=true')
    time.sleep(seconds * 0.15)
    stopped_daemon = cluster.daemons['entry-8']
    load.stopped_addresses.add(stopped_daemon.caller_address)
    stopped_daemon.process.signal(signal.SIGKILL)
    cluster.set_faults(cluster.platform, is_down=True)
    time.sleep(seconds * 0.1)
    cluster.set_faults(cluster.platform, is_down=False)


def measure(args):
    """Run the benchmark; return its results and the load generator."""
    folder = ROOT / 'examples' / args.desk
    with fleet.Fleet(folder, ROOT / 'out' / f'desk-{os.getpid()}') as cluster:
        tables = fleet.copy_tables(cluster.tables)
        tables['pools']['language']['routing'] = args.routing
        tables['pools']['language']['planning'] = args.planning
        cluster.apply_tables(tables)
        load = LoadGenerator(cluster, args)
        start_s = time.monotonic() + 0.5
        if args.faults:
            thread = threading.Thread(
                target=inject_faults, args=(cluster, load, args.seconds)
            )
            thread.start()
        load.run(start_s)
        if args.faults:
            thread.join()
        return summarize(cluster, load, start_s, args), load


def summarize(cluster, load, start_s, args):
    """Return the results as a dict."""
    kinds = {}
    for kind in load.kinds:
        requests = [r for r in load.requests if r.kind is kind]
        good = sum(r.is_good() for r in requests)
        first_token_ms = [
            (r.first_token_s - r.due_s) * 1000
            for r in requests
            if r.first_token_s
        ]
        kinds[kind.model] = {
            'asked': len(requests),
            'good': good,
            'first_token_ms': relay.percentiles(first_token_ms),
        }
    counts = {}
    for daemon in cluster.daemons.values():
        if daemon.process.popen.poll() is None:
            metrics = cluster.call_admin(daemon, 'GET', '/v1/metrics')[1]
            for name, value in metrics.items():
                if name.startswith(('refused.', 'retried.')) and value:
                    counts[name] = counts.get(name, 0) + value
    engines = collect_engine_counts(cluster)
    good = sum(r.is_good() for r in load.requests)
    wasted_tokens = sum(r.tokens for r in load.requests if not r.is_good())
    return {
        'desk': args.desk,
        'routing': args.routing,
        'planning': args.planning,
        'seed': args.seed,
        'rate': args.rate,
        'goodput': round(good / len(load.requests), 4),
        'kinds': kinds,
        'wasted_tokens': wasted_tokens,
        'counts': counts,
        **engines,
    }


def collect_engine_counts(cluster):
    """Return the role changes and the cache hit ratio of all engines."""
    changes = cached = prompt = 0
    for name, server in cluster.servers.items():
        if name[0] == 'e':
            log = fleet.http_json('GET', server.address, '/control/log')[1]
            counts = log['counts']
            changes += counts.get('role_changes', 0)
            cached += counts.get('cached_tokens', 0)
            prompt += counts.get('prompt_tokens', 0)
    return {
        'role_changes': changes,
        'cache_hit': round(cached / max(1, prompt), 3),
    }


def plot(load, start_s, path):
    """Plot goodput over time, in slices of 2 seconds."""
    import matplotlib.pyplot as pyplot

    slices = {}
    for request in load.requests:
        slice_number = int((request.due_s - start_s) / 2)
        good, asked = slices.get(slice_number, (0, 0))
        slices[slice_number] = (good + request.is_good(), asked + 1)
    xs = sorted(slices)
    pyplot.plot([2 * x for x in xs], [slices[x][0] for x in xs], label='good')
    pyplot.plot([2 * x for x in xs], [slices[x][1] for x in xs], label='asked')
    pyplot.xlabel('seconds')
    pyplot.ylabel('requests in 2 s')
    pyplot.legend()
    pyplot.savefig(path)


def main():
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--desk', choices=list(REQUEST_KINDS), default='traders'
    )
    parser.add_argument('--routing', default='finish_time')
    parser.add_argument('--planning', default='static')
    parser.add_argument('--rate', type=float, default=10.0)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--faults', action='store_true')
    parser.add_argument('--plot', default='')
    args = parser.parse_args()
    figures, load = measure(args)
    json.dump(figures, sys.stdout)
    print()
    if args.plot:
        plot(load, min(r.due_s for r in load.requests), args.plot)


if __name__ == '__main__':
    main()
