"""The stand-ins of the soak, and the ledger by which it judges.

A backend server notes each run of a request; callers' answers are compared
with that.  A promise that was broken is a line in ``Ledger.broken``.
"""

import collections
import random
import time

import attrs
import curio
import h11
import orjson

from tests import fleet
from tests import workers

EVENTS = 6  # Of each whole stream.
NOT_RUN = frozenset((408, 421, 429, 503))
FAULTS = ('fine', 'full', 'cut', 'foreign', 'extra', 'hang')


@attrs.define
class Ledger:
    """What ran where, what callers were told, and what contradicts."""

    runs: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    told: dict = attrs.field(factory=dict)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    broken: list = attrs.field(factory=list)

    def ran(self, request_id, kind, server):
        """Note a run."""
        self.runs[request_id].append(server)
        if kind == 'unsafe':
            if len(self.runs[request_id]) > 1:
                self.broken.append(f'{request_id} ran twice')
            if self.told.get(request_id) in NOT_RUN:
                self.broken.append(f'{request_id} ran after "not run"')

    def answered(self, request_id, kind, status):
        """Note what the caller was told."""
        self.told[request_id] = status
        self.counts[kind, status] += 1
        if kind == 'unsafe' and status in NOT_RUN and self.runs[request_id]:
            self.broken.append(f'{request_id} got {status} and has run')

    def check(self, holds, what):
        """Note a broken promise."""
        if not holds:
            self.broken.append(what)


def answer_body(request_id):
    """Return the body that belongs to a request and to no other."""
    return f'done {request_id} '.encode() * 40


def kind_of(target):
    """Return the kind of the route of a target."""
    return {'look': 'safe', 'place': 'unsafe'}.get(
        target.split('/')[1], 'stream'
    )


class Server(workers.Worker):
    """A backend server that runs requests, notes them and misbehaves."""

    def __init__(self, name, service, ledger, rng, stage=None):
        super().__init__(name, service, self._run, stage=stage)
        self.ledger, self.rng = ledger, rng
        self.fault, self.fault_share = 'fine', 0.3
        self.handles = {}

    def proxied_entry(self, port, state='ready', sequence=1):
        """Return the entry in the store, with the proxy's address."""
        entry = self.entry(state, sequence)
        entry['address'] = f'127.0.0.1:{port}'
        return entry

    def _run(self, seen):
        if seen.headers.get('x-expect-instance', self.name) != self.name:
            head = b'HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\n'
            return head + b'Content-Length: 0\r\n\r\n'
        if seen.method == 'DELETE' or 'x-serving-stage' in seen.headers:
            handle = orjson.dumps({'handle': f'h{self.rng.random()}'})
            return [0.02, workers.whole_response(seen, handle)]
        is_faulty = self.rng.random() < self.fault_share
        fault = self.fault if is_faulty else 'fine'
        if fault == 'full':
            return workers.not_executed_response(seen)
        kind = kind_of(seen.target)
        self.ledger.ran(seen.request_id, kind, self.name)
        if fault == 'hang':
            return [6.0, workers.CLOSE]
        if kind == 'stream':
            return self._stream(seen, fault)
        return self._whole(seen, fault)

    def _whole(self, seen, fault):
        body = answer_body(seen.request_id)
        answer = workers.whole_response(seen, body)
        work_s = self.rng.uniform(0.005, 0.05)
        if fault == 'cut':
            return [
                work_s,
                answer[: -self.rng.randrange(1, 300)],
                workers.CLOSE,
            ]
        if fault == 'foreign':
            other = workers.whole_response(
                seen, b'another', request_id='other'
            )
            return [work_s, other, answer]
        if fault == 'extra':
            return [work_s, answer, workers.whole_response(seen, b'again')]
        return [work_s, answer]

    def _stream(self, seen, fault):
        first = int(seen.headers.get('last-event-id', 0)) + 1
        parts = [workers.response_head(seen, b'Transfer-Encoding: chunked')]
        cut_at = self.rng.randrange(first, EVENTS + 2)
        for number in range(first, EVENTS + 1):
            piece = workers.event_chunks(number, number)
            if fault in ('cut', 'extra') and number == cut_at:
                return [*parts, piece[: len(piece) // 2], workers.CLOSE]
            parts += [self.rng.uniform(0.005, 0.03), piece]
        return [*parts, b'0\r\n\r\n']


class Caller:
    """Asks one kind of request after the other on kept connections."""

    def __init__(self, number, ledger, rng, vms):
        self.number, self.ledger, self.rng, self.vms = number, ledger, rng, vms
        self.asked = 0
        self.exchange = None

    async def run(self, client):
        """Ask for ever."""
        while True:
            kind = self.rng.choice(('safe', 'unsafe', 'stream', 'long'))
            self.asked += 1
            request_id = f'c{self.number}-{self.asked}'
            try:
                async with curio.timeout_after(4.0):
                    await self.ask(client, kind, request_id)
            except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
                self.ledger.counts[kind, type(exc).__name__] += 1
                await self.drop(client)
                await curio.sleep(0.05)
            await curio.sleep(self.rng.uniform(0.0, 0.05))

    async def drop(self, client):
        """Leave the connection, as a caller does that gives up."""
        if self.exchange is not None:
            await client.discard(self.exchange)
            self.exchange = None

    async def ask(self, client, kind, request_id):
        """Ask once and judge the answer; return its status."""
        if self.exchange is None or not self.exchange.is_reusable:
            await self.drop(client)
            address = self.rng.choice(self.vms).address
            self.exchange = await client.open(address, new_connection=True)
        else:
            self.exchange.conn.start_next_cycle()
        exchange = self.exchange
        path, sizes = {
            'safe': ('/look/', ()),
            'unsafe': ('/place/', ()),
            'stream': ('/read/', fleet.prompt_headers()),
            'long': (
                '/read/',
                fleet.prompt_headers(
                    9000, f'd{self.rng.randrange(4)}:6000,o:3000'
                ),
            ),
        }[kind]
        headers = [
            ('host', fleet.HOST),
            ('x-request-id', request_id),
            ('x-deadline-ms', '1400'),
            *sizes,
        ]
        await exchange.send('POST', path, headers, b'order')
        body = await exchange.read()
        self._judge(kind, request_id, exchange, body)
        if exchange.headers.get('connection') == 'close':
            await self.drop(client)
        return exchange.status

    def _judge(self, kind, request_id, exchange, body):
        status, found = exchange.status, exchange.headers
        self.ledger.answered(request_id, kind, status)
        if status != 200:
            return
        check = self.ledger.check
        check(
            found.get('x-request-id') == request_id
            and 'x-response-signature' in found,
            f'{request_id} got another answer: {found}',
        )
        if kind in ('stream', 'long'):
            expected = b''.join(
                b'id: %d\ndata: piece %d\n\n' % (n, n)
                for n in range(1, EVENTS + 1)
            )
        else:
            expected = answer_body(request_id)
        check(body == expected, f'{request_id} got {body[-60:]!r}')


def make_rng(seed, *names):
    """Return a generator of its own for each part of the soak."""
    return random.Random(f'{seed}/{"/".join(map(str, names))}')


def now():
    """Return monotonic seconds."""
    return time.monotonic()
