"""Several entry VMs on one store, and servers that name a limit on requests.

`VmFleet` starts the VMs, `LimitedServer` records what arrives at a server,
and `call_steadily` sends requests to a VM at a fixed rate.
"""

import time

import attrs
import curio
import curio.errors
import h11

from mangorock import bounds
from mangorock import budget
from mangorock import client as clients
from mangorock import front
from mangorock_standins import ports
from tests import fleet
from tests import soak_proxy
from tests import workers

# From `BEGIN_S` after a server first named a limit it may get in any
# `WINDOW_S` 1.5 times what the limit allows and `SLACK` requests.  Counted
# are the VMs that were told `TOLD_S` before.
BEGIN_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
RATIO = 1.5
SLACK = 5
# A busy machine starts the VMs of a fleet within this time.
START_TIMEOUT_S = 20.0
# Repeats that each VM may make of the requests for a service.
REPEATS = 1000


def allowed_requests(limit_per_s):
    """Return how many requests a server with a limit may get in a window."""
    return RATIO * limit_per_s * WINDOW_S + SLACK


def most_in_window(moments_s, window_s=WINDOW_S):
    """Return the largest number of moments in any window."""
    return max(
        (
            sum(0 <= moment - first <= window_s for moment in moments_s)
            for first in moments_s
        ),
        default=0,
    )


@attrs.frozen
class Arrival:
    """A request at a server; ``vm`` is '' if it bears no request id."""

    moment_s: float
    vm: str
    is_counted: bool


class LimitedServer(workers.Worker):
    """A server whose answers name ``limit``, a text, unless it is None.

    ``answer(request, *headers)`` returns a response with further headers,
    which is sent after ``work_s`` seconds.
    """

    work_s = 0.0

    def __init__(self, name, limit=None, answer=None, service='desk', **more):
        super().__init__(name, service, self._answer, **more)
        self.answer = answer or complete
        self.limit = limit
        self.arrivals = []
        self.told_s = {}

    @property
    def named_s(self):
        """Return when the limit was first named."""
        return min(self.told_s.values())

    def _answer(self, request):
        now = time.monotonic()
        vm = request.request_id.partition('.')[0]
        self.arrivals.append(Arrival(now, vm, self._is_counted(vm, now)))
        headers = ()
        if self.limit is not None:
            self.told_s.setdefault(vm, now + self.work_s)
            headers = (b'Server-Limit: ' + self.limit,)
        response = self.answer(request, *headers)
        return [self.work_s, response] if self.work_s else response

    def _is_counted(self, vm, now):
        if not self.told_s or now < self.named_s + BEGIN_S:
            return False
        # A call without a request id is not attributed to a VM.
        return not vm or self.told_s.get(vm, now) + TOLD_S <= now

    def counted(self, but=()):
        """Return the moments that the limit bounds, without some VMs."""
        return [
            arrival.moment_s
            for arrival in self.arrivals
            if arrival.is_counted and arrival.vm not in but
        ]

    def received_from(self, vm, since_s):
        """Return how many requests of a VM arrived since a moment."""
        return sum(
            arrival.vm == vm and arrival.moment_s >= since_s
            for arrival in self.arrivals
        )


def complete(request, *more, status=200):
    """Return a complete signed response."""
    length = b'Content-Length: 4'
    return workers.response_head(request, length, *more, status=status) + (
        b'done'
    )


def refuse(request, *more):
    """Return the response of a server that ran nothing."""
    lines = [
        b'HTTP/1.1 503 X',
        b'X-Not-Executed: 1',
        b'X-Request-Id: ' + request.request_id.encode(),
        b'Content-Length: 0',
        *more,
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def break_off(request, *more):
    """Return the start of a response and the end of its connection."""
    return [complete(request, *more)[:-1], workers.CLOSE]


def stream(request, *more):
    """Return a whole stream, from where the request resumes it."""
    first = int(request.headers.get('last-event-id', 0)) + 1
    chunked = b'Transfer-Encoding: chunked'
    head = workers.response_head(request, chunked, *more)
    return head + workers.event_chunks(first, 4) + b'0\r\n\r\n'


def break_stream(request, *more):
    """Return a stream that breaks off unless it is a resumed one."""
    if 'last-event-id' in request.headers:
        return stream(request, *more)
    chunked = b'Transfer-Encoding: chunked'
    head = workers.response_head(request, chunked, *more)
    return [head + workers.event_chunks(1, 2), workers.CLOSE]


def prefill(request, *more):
    """Return a handle, or confirm its release."""
    body = b'{"handle":"h1","tokens":9,"version":1}'
    if request.method == 'DELETE':
        body = b'{}'
    length = b'Content-Length: %d' % len(body)
    return workers.response_head(request, length, *more) + body


@attrs.frozen
class Call:
    """What a caller sent and saw; ``status`` is 0 without a whole answer."""

    vm: str
    sent_s: float
    seconds: float
    status: int
    headers: dict
    body: bytes

    @property
    def ended_s(self):
        """Return when the answer was complete."""
        return self.sent_s + self.seconds


class SharedStore(fleet.Store):
    """A store that renews the leases of all VMs, not only the newest."""

    async def _write(self, request, responder):
        if request.path.startswith('/-/kv-keep/'):
            return await responder.respond(200, {})
        return await super()._write(request, responder)


class Vm:
    """An entry VM, which reaches the store through a proxy."""

    def __init__(self, name, store):
        self.name = name
        self.proxy = soak_proxy.Proxy(('127.0.0.1', store.port))
        self.settings = None
        self.front = None

    async def start(self):
        """Start the proxy and the daemon."""
        await self.proxy.start()
        self.settings = bounds.FrontSettings(
            vm=self.name,
            failure_domain='a',
            caller_address=('127.0.0.1', ports.free_port()),
            ready_address=('127.0.0.1', ports.free_port()),
            peer_address=('127.0.0.1', ports.free_port()),
            region='r',
            store_address=f'127.0.0.1:{self.proxy.port}',
            grace_s=2.0,
        )
        await self.start_front()

    async def start_front(self):
        """Start a daemon, also after the one before was closed."""
        self.front = front.FrontDaemon(self.settings, fleet.make_platform())
        budgets = self.front.gateway.budgets
        budgets.terms = budget.Terms(0.0, fleet.FOREVER_S, REPEATS)
        budgets.share = fleet.HeldShare()
        await self.front.start()

    async def close(self):
        """Close the daemon and the proxy."""
        await self.front.close()
        await self.proxy.close()


class VmFleet:
    """A store, servers and ``vms`` entry VMs as a context manager."""

    def __init__(self, vms, *servers, timeout_s=1.5):
        self.servers = servers
        self.store = SharedStore()
        config = fleet.make_config(2)
        for route in config['routes']:
            route['timeoutMs'] = int(1000 * timeout_s)
        self.store.put('op/config', config)
        for server in servers:
            self.store.put(f'servers/{server.name}', server.entry())
        self.vms = [Vm(f'vm-{n}', self.store) for n in range(1, vms + 1)]
        self.client = clients.Client()
        self.sent = 0

    async def __aenter__(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
        for vm in self.vms:
            await vm.start()
        await fleet.wait_until(self._is_complete, START_TIMEOUT_S)
        return self

    def _is_complete(self):
        """Return whether each VM is ready and knows the others."""
        return all(
            vm.front.is_ready
            and len(vm.front.directory.all_peers) == len(self.vms) - 1
            for vm in self.vms
        )

    async def __aexit__(self, *exc):
        for vm in self.vms:
            await vm.close()
        await self.client.close()
        for server in self.servers:
            await server.close()
        await self.store.close()

    async def call(self, vm, path='/look/', headers=(), deadline_s=1.4):
        """Send a request to a VM; return the `Call`."""
        self.sent += 1
        host, port = vm.settings.caller_address
        sent_s, status, body = time.monotonic(), 0, b''
        exchange = await self.client.open(f'{host}:{port}', True)
        sent_headers = [
            ('host', fleet.HOST),
            ('x-request-id', f'{vm.name}.{self.sent}'),
            ('x-deadline-ms', f'{int(1000 * deadline_s)}'),
            *headers,
        ]
        try:
            await exchange.send('POST', path, sent_headers, b'q')
            body = await exchange.read()
            status = exchange.status
        except (OSError, h11.ProtocolError):
            # The VM broke the answer off.
            body = b''
        finally:
            await self.client.discard(exchange)
        seconds = time.monotonic() - sent_s
        return Call(
            vm.name, sent_s, seconds, status, dict(exchange.headers), body
        )

    async def call_steadily(self, rate_per_s, seconds, vms=None, **request):
        """Send requests to each VM at a rate; return the list of `Call`.

        They do not wait for each other, so that the rate does not depend on
        the time that the answers take.  ``request`` are arguments of `call`;
        a ``headers`` among them is called for the headers of each.
        """
        make_headers = request.pop('headers', tuple)
        calls = []

        async def call(vm):
            headers = make_headers()
            found = await self.call(vm, headers=headers, **request)
            calls.append(found)

        async with curio.TaskGroup() as group:
            begin_s = time.monotonic()
            for number in range(int(rate_per_s * seconds)):
                due_s = begin_s + number / rate_per_s
                await curio.sleep(max(0.0, due_s - time.monotonic()))
                for vm in vms or self.vms:
                    await group.spawn(call, vm)
        return calls
