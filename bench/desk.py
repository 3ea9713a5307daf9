"""Loads a whole desk and measures goodput through shifts of the mix.

``python bench/desk.py --desk traders --routing finish_time --seed 1``
starts the desk's processes, sends open-loop requests whose mix swings
between long prompts and quick questions, brings about faults on the way,
and prints goodput by kind, role changes, times, refusals and retries as
JSON.  ``--plot FILE`` draws goodput over time.  It ends by itself.
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
SWING_S = 20.0
BOOK_TOKENS = 6144
CHARS = 4
STRAGGLERS_S = 15.0


@attrs.frozen
class Kind:
    """One kind of call: tokens, deadline, and its two weights."""

    model: str
    account: str
    fresh_tokens: int
    books: int
    output_tokens: int
    deadline_s: float
    weights: tuple


# Weights in the two halves of a swing: long prompts rare, then frequent.
DESKS = {
    'traders': (
        Kind('contract-review', 'al-batinah', 3000, 4, 80, 6.0, (1, 5)),
        Kind('stock-question', 'sohar-shops', 60, 0, 60, 3.0, (9, 5)),
    ),
    'ausflug': (
        Kind('itinerary-summary', 'melk-tours', 2000, 6, 80, 6.0, (1, 4)),
        Kind('spoken-answer', 'wachau-bus', 40, 0, 40, 2.0, (9, 6)),
    ),
}


@attrs.define
class Call:
    """One request and how it ended."""

    kind: Kind
    due_s: float
    sock: object = None
    tokens: int = 0
    first_s: float = 0.0
    ended_s: float = 0.0
    is_whole: bool = False
    head: bytes = b''
    tail: bytes = b''

    def is_good(self):
        """Say whether it was answered whole and in time."""
        in_time = self.ended_s - self.due_s <= self.kind.deadline_s
        return self.is_whole and in_time


class Load:
    """Sends the requests on one selector."""

    def __init__(self, desk, args):
        self.args = args
        self.kinds = DESKS[args.desk]
        self.keys = desk.config['keys']
        self.addresses = [d.caller_address for d in desk.daemons.values()]
        self.random = random.Random(args.seed)
        self.selector = selectors.DefaultSelector()
        self.calls = []
        self.dead = set()

    def schedule(self):
        """Return all calls with their due times, from the seed."""
        at, calls = 0.0, []
        while at < self.args.seconds:
            at += self.random.expovariate(self.args.rate)
            half = int(at / SWING_S) % 2
            weights = [k.weights[half] for k in self.kinds]
            kind = self.random.choices(self.kinds, weights)[0]
            calls.append(Call(kind, at))
        return calls

    def run(self, began):
        """Send each call when due; read until all have ended."""
        waiting = self.schedule()
        for call in waiting:
            call.due_s += began
        self.calls = list(waiting)
        waiting.reverse()
        end = began + self.args.seconds + STRAGGLERS_S
        while time.monotonic() < end:
            if not waiting and not self.selector.get_map():
                break
            for ready, _ in self.selector.select(0.01):
                self.read(ready.data)
            while waiting and waiting[-1].due_s <= time.monotonic():
                self.open(waiting.pop())

    def open(self, call):
        """Send one call to an entry VM that the balancer finds alive."""
        live = [a for a in self.addresses if a not in self.dead]
        address = self.random.choice(live)
        kind = call.kind
        prompt = f'{self.random.random()} ' * (kind.fresh_tokens // 5)
        if kind.books:
            book = self.random.randrange(kind.books)
            prompt = f'book{book} ' * (BOOK_TOKENS * CHARS // 6) + prompt
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
            call.sock = socket.create_connection((host, int(port)))
            call.sock.sendall(data)
        except OSError:
            call.ended_s = time.monotonic()
            return
        call.sock.setblocking(False)
        self.selector.register(call.sock, selectors.EVENT_READ, call)

    def read(self, call):
        """Take what arrived."""
        now = time.monotonic()
        try:
            data = call.sock.recv(streams.READ_BYTES)
        except OSError:
            data = b''
        call.head = (call.head + data)[:400]
        call.tokens += (call.tail + data).count(streams.TOKEN)
        call.tokens -= call.tail.count(streams.TOKEN)
        call.tail = (call.tail + data)[-8:]
        if call.tokens and not call.first_s:
            call.first_s = now
        if streams.END in call.tail + data:
            call.is_whole = call.tokens == call.kind.output_tokens + 1
            data = b''
        if not data:
            call.ended_s = now
            self.selector.unregister(call.sock)
            call.sock.close()


def bring_faults(desk, load, seconds):
    """Slow one engine, drain one, kill a daemon, take the platform away."""
    time.sleep(seconds * 0.25)
    desk.set_faults(desk.servers['e1'], speed=0.3)
    time.sleep(seconds * 0.25)
    desk.run_ctl('set', 'pools', 'language', 'servers.e2.is_draining=true')
    time.sleep(seconds * 0.15)
    victim = desk.daemons['entry-8']
    load.dead.add(victim.caller_address)
    victim.process.signal(signal.SIGKILL)
    desk.set_faults(desk.platform, is_down=True)
    time.sleep(seconds * 0.1)
    desk.set_faults(desk.platform, is_down=False)


def measure(args):
    """Run one desk and return its figures."""
    folder = ROOT / 'examples' / args.desk
    with fleet.Fleet(folder, ROOT / 'out' / f'desk-{os.getpid()}') as desk:
        tables = fleet.copy_tables(desk.tables)
        tables['pools']['language']['routing'] = args.routing
        tables['pools']['language']['planning'] = args.planning
        desk.apply_tables(tables)
        load = Load(desk, args)
        began = time.monotonic() + 0.5
        if args.faults:
            thread = threading.Thread(
                target=bring_faults, args=(desk, load, args.seconds)
            )
            thread.start()
        load.run(began)
        if args.faults:
            thread.join()
        return summarise(desk, load, began, args), load


def summarise(desk, load, began, args):
    """Return the figures as a dict."""
    kinds = {}
    for kind in load.kinds:
        calls = [c for c in load.calls if c.kind is kind]
        good = sum(c.is_good() for c in calls)
        first = [(c.first_s - c.due_s) * 1000 for c in calls if c.first_s]
        kinds[kind.model] = {
            'asked': len(calls),
            'good': good,
            'first_token_ms': relay.percentiles(first),
        }
    counts = {}
    for daemon in desk.daemons.values():
        if daemon.process.popen.poll() is None:
            found = desk.call_admin(daemon, 'GET', '/v1/metrics')[1]
            for name, value in found.items():
                if name.startswith(('refused.', 'retried.')) and value:
                    counts[name] = counts.get(name, 0) + value
    engines = collect_engines(desk)
    good = sum(c.is_good() for c in load.calls)
    late = sum(c.tokens for c in load.calls if not c.is_good())
    return {
        'desk': args.desk,
        'routing': args.routing,
        'planning': args.planning,
        'seed': args.seed,
        'rate': args.rate,
        'goodput': round(good / len(load.calls), 4),
        'kinds': kinds,
        'wasted_tokens': late,
        'counts': counts,
        **engines,
    }


def collect_engines(desk):
    """Return role changes and the cache hit share over all engines."""
    changes = cached = prompt = 0
    for name, server in desk.servers.items():
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


def plot(load, began, path):
    """Draw goodput over time, in slices of two seconds."""
    import matplotlib.pyplot as pyplot

    slices = {}
    for call in load.calls:
        number = int((call.due_s - began) / 2)
        good, asked = slices.get(number, (0, 0))
        slices[number] = (good + call.is_good(), asked + 1)
    xs = sorted(slices)
    pyplot.plot([2 * x for x in xs], [slices[x][0] for x in xs], label='good')
    pyplot.plot([2 * x for x in xs], [slices[x][1] for x in xs], label='asked')
    pyplot.xlabel('seconds')
    pyplot.ylabel('requests in 2 s')
    pyplot.legend()
    pyplot.savefig(path)


def main():
    """Run and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--desk', choices=list(DESKS), default='traders')
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
        plot(load, min(c.due_s for c in load.calls), args.plot)


if __name__ == '__main__':
    main()
