"""Callers and the invariant checker of the soak test.

Backend servers record each execution of a request, and the answers that
callers receive are compared with these records.  Each violated invariant is
a line in ``InvariantChecker.violations``.
"""

import collections
import random
import time

import attrs
import curio
import h11

from mangorock import sockets
from tests import arrivals as arrival_logs
from tests import fleet

EVENTS = 6  # The number of events in a complete stream.
# Statuses that say that the request was not executed.
NOT_RUN = frozenset((408, 421, 429, 503))
# Kinds of requests that run at most once.
RUNS_ONCE = frozenset(('unsafe', 'once'))
# The services that the routes of a kind of request may lead to.
SERVICES = {'safe': ('desk', 'annex'), 'unsafe': ('desk', 'annex')}


@attrs.define
class Attempt:
    """A request that a caller sent on a connection to ``vm``.

    ``manner`` is ``stay``, ``leave`` or ``half_close``.  ``idle_s`` is how
    long the connection had been idle, 0 for a new one.  ``progress`` tells
    how much of the answer the caller read (``none``, ``part``, ``whole``) and
    ``error`` why it read no more.  ``limit_label`` names the limit that the
    head of the answer named, which came at ``head_s``.
    """

    request_id: str
    kind: str
    vm: object
    manner: str = 'stay'
    idle_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = 0.0
    progress: str = 'none'
    error: str = ''
    head_s: float = 0.0
    limit_label: str = ''


@attrs.define
class InvariantChecker:
    """Records executions and answers and checks them for contradictions.

    ``runs`` maps request ids to the servers that executed the request,
    ``statuses`` to the status that the caller received and ``attempts`` to
    the `Attempt`.  ``broken`` holds the ids of requests that a server broke
    off, ``arrivals`` what reached which service.
    """

    attempts: dict = attrs.field(factory=dict)
    broken: set = attrs.field(factory=set)
    arrivals: arrival_logs.ArrivalLog = attrs.field(
        factory=arrival_logs.ArrivalLog
    )
    runs: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    statuses: dict = attrs.field(factory=dict)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)

    def record_run(self, request_id, kind, server):
        """Record that a server executes a request."""
        self.runs[request_id].append(server)
        if kind in RUNS_ONCE:
            if len(self.runs[request_id]) > 1:
                self.violations.append(f'{request_id} ran twice')
            if self.statuses.get(request_id) in NOT_RUN:
                self.violations.append(f'{request_id} ran after "not run"')

    def record_answer(self, request_id, kind, status):
        """Record the status that the caller received."""
        self.statuses[request_id] = status
        self.counts[kind, status] += 1
        is_false = status in NOT_RUN and self.runs[request_id]
        if kind in RUNS_ONCE and is_false:
            self.violations.append(f'{request_id} got {status} and has run')

    def check_arrivals(self):
        """Check that no service got more repeats than it may."""
        for service in self.arrivals.sent:
            excess = self.arrivals.excess(service)
            self.check(
                excess <= 0, f'{service} got {excess} repeats too many in 10 s'
            )

    def check(self, is_satisfied, violation):
        """Record a violation unless the invariant holds."""
        if not is_satisfied:
            self.violations.append(violation)


def answer_body(request_id):
    """Return an answer body that is unique to the request."""
    return f'done {request_id} '.encode() * 40


def kind_of(target):
    """Return the kind of request that the route of a target serves."""
    return {'look': 'safe', 'place': 'unsafe', 'ask': 'once'}.get(
        target.split('/')[1], 'stream'
    )


def describe_request(kind, rng):
    """Return the path and the headers of a request of this kind."""
    match kind:
        case 'safe':
            return '/look/', ()
        case 'unsafe':
            return '/place/', ()
        case 'stream':
            return '/read/', fleet.prompt_headers()
        case 'once':
            return '/ask/', fleet.prompt_headers()
    parts = f'd{rng.randrange(4)}:6000,o:3000'
    return '/read/', fleet.prompt_headers(9000, parts)


class Caller:
    """Sends random kinds of requests over a persistent connection."""

    def __init__(self, number, checker, rng, vms):
        self.number, self.checker, self.rng, self.vms = (
            number,
            checker,
            rng,
            vms,
        )
        self.request_count = 0
        self.exchange = None
        self.vm = None
        self.idle_since_s = 0.0

    async def run(self, client):
        """Send requests until cancelled."""
        while True:
            kind = self.rng.choice(('safe', 'unsafe', 'stream', 'long'))
            self.request_count += 1
            request_id = f'c{self.number}-{self.request_count}'
            try:
                async with curio.timeout_after(4.0):
                    await self.send_request(client, kind, request_id)
            except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
                self.checker.counts[kind, type(exc).__name__] += 1
                await self.disconnect(client)
                await curio.sleep(0.05)
            await curio.sleep(self.rng.uniform(0.0, 0.05))

    async def disconnect(self, client):
        """Close the connection, as a caller that gives up does."""
        if self.exchange is not None:
            await client.discard(self.exchange)
            self.exchange = None

    async def connect(self, client):
        """Open a connection, or use the last one if it is still open.

        Return how long it has been idle, in seconds.
        """
        exchange = self.exchange
        if (
            exchange is not None
            and exchange.is_reusable
            and sockets.is_connection_idle(exchange.sock)
        ):
            exchange.conn.start_next_cycle()
            exchange.status = 0
            return now() - self.idle_since_s
        await self.disconnect(client)
        self.vm = self.rng.choice(self.vms)
        self.exchange = await client.open(self.vm.address, new_connection=True)
        return 0.0

    async def send_request(
        self, client, kind, request_id, manner='stay', deadline_ms=1400
    ):
        """Send one request, check the answer and return its status."""
        idle_s = await self.connect(client)
        exchange = self.exchange
        attempt = Attempt(request_id, kind, self.vm, manner, idle_s, now())
        self.checker.attempts[request_id] = attempt
        for service in SERVICES.get(kind, ('llm',)):
            self.checker.arrivals.record_sent(service, attempt.sent_s)
        path, sizes = describe_request(kind, self.rng)
        headers = [
            ('host', fleet.HOST),
            ('x-request-id', request_id),
            ('x-deadline-ms', str(deadline_ms)),
            *sizes,
        ]
        try:
            await exchange.send('POST', path, headers, b'order')
            attempt.progress, attempt.head_s = 'part', now()
            attempt.limit_label = exchange.headers.get('x-limit-label', '')
            body = await exchange.read()
            attempt.progress = 'whole'
        except BaseException as exc:
            attempt.error = type(exc).__name__
            raise
        finally:
            self.idle_since_s = attempt.ended_s = now()
        self._check_answer(kind, request_id, exchange, body)
        if exchange.headers.get('connection') == 'close':
            await self.disconnect(client)
        return exchange.status

    def _check_answer(self, kind, request_id, exchange, body):
        status, headers = exchange.status, exchange.headers
        self.checker.record_answer(request_id, kind, status)
        if status != 200:
            return
        check = self.checker.check
        check(
            headers.get('x-request-id') == request_id
            and 'x-response-signature' in headers,
            f'{request_id} got another answer: {headers}',
        )
        if kind in ('stream', 'long', 'once'):
            expected = b''.join(
                b'id: %d\ndata: piece %d\n\n' % (n, n)
                for n in range(1, EVENTS + 1)
            )
        else:
            expected = answer_body(request_id)
        check(body == expected, f'{request_id} got {body[-60:]!r}')


def make_rng(seed, *names):
    """Return a random generator seeded by the seed and the names."""
    return random.Random(f'{seed}/{"/".join(map(str, names))}')


def now():
    """Return the monotonic time in seconds."""
    return time.monotonic()


def overlaps(span, start_s, end_s):
    """Return whether the (start, end) ``span`` overlaps this time."""
    return span[0] <= end_s and start_s <= span[1]
