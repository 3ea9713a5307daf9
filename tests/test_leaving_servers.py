"""Tests that servers that leave or refuse for a time get no new requests."""

import math
import time
import unittest
from unittest import mock

import attrs
import curio
import hypothesis
from hypothesis import strategies

from mangorock import availability
from mangorock import isolation
from mangorock import logs
from mangorock import placement
from mangorock import registry
from mangorock import sending
from mangorock import traffic
from mangorock_standins import ports
from tests import fleet
from tests import test_front
from tests import workers

run = test_front.run
LEAVING = b'Server-Leaving: 1'
STAGE = 'x-serving-stage'
LENGTH = b'Content-Length: 4'
CHUNKED = b'Transfer-Encoding: chunked'
# Callers go on until a condition is met, for this time at most.
CALLS_TIMEOUT_S = 30.0
HANDLE = b'{"handle":"h1","tokens":9,"version":1}'


def leave(request, status=200, request_id=None):
    """Return a complete response of a server that leaves."""
    return (
        workers.response_head(
            request, LENGTH, LEAVING, status=status, request_id=request_id
        )
        + b'done'
    )


def refuse(*more):
    """Return a handler that refuses requests with the headers ``more``."""

    def handler(request):
        lines = [
            b'HTTP/1.1 503 X',
            b'X-Not-Executed: 1',
            b'X-Request-Id: ' + request.request_id.encode(),
            b'Content-Length: 0',
            *more,
        ]
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    return handler


def refuse_for(text):
    """Return a handler that refuses requests with this Retry-After."""
    return refuse(b'Retry-After: ' + text)


def leave_in_stream(request):
    """Return a whole stream whose head says that the server leaves."""
    head = workers.response_head(request, CHUNKED, LEAVING)
    return head + workers.event_chunks(1, 4) + b'0\r\n\r\n'


def break_off(*more):
    """Return a handler that ends the connection within a stream."""

    def handler(request):
        head = workers.response_head(request, CHUNKED, *more)
        return [head + workers.event_chunks(1, 2), workers.CLOSE]

    return handler


def prefill(*more):
    """Return the handler of a prefill engine."""

    def handler(request):
        length = b'Content-Length: %d' % len(HANDLE)
        return workers.response_head(request, length, *more) + HANDLE

    return handler


async def ask(cluster):
    """Send a generation with a short prompt; return its exchange."""
    headers = fleet.prompt_headers()
    exchange, _ = await cluster.request('POST', '/ask/', *headers, body=b'q')
    return exchange


async def read(cluster):
    """Send a generation with a long prompt; return its exchange."""
    headers = fleet.prompt_headers(9000, 'doc:7000,own:2000')
    exchange, _ = await cluster.request('POST', '/read/', *headers, body=b'q')
    return exchange


def availability_of(cluster):
    """Return the `availability.Availability` of a front."""
    return cluster.front.gateway.registry.availability


def is_leaving(cluster, worker):
    """Say whether a front knows that a worker leaves."""
    found = cluster.front.gateway.registry.servers[worker.name]
    return availability_of(cluster).is_leaving(found)


def change_entry(cluster, worker, kind):
    """Change what the registry has of a worker, as `kind` says."""
    register = cluster.front.gateway.registry
    known = register.server_at(worker.address)
    match kind:
        case 'draining':
            register.put(attrs.evolve(known, is_draining=True))
        case 'removed':
            register.remove(known.server_id, 0.0)
            register.purge_lapsed(time.monotonic())
        case 'restarted':
            newer_ms = known.started_ms + 1
            register.put(attrs.evolve(known, started_ms=newer_ms))


class LeavingServers(unittest.TestCase):
    """Each kind of response tells, and nothing is sent afterwards."""

    async def check_plain(self, *script, path='/look/'):
        """Send requests until the first server has said that it leaves."""
        worker = workers.Worker('w1', 'desk', *script)
        other = workers.Worker('w2', 'desk', workers.whole_response)
        async with fleet.Fleet(worker, other) as cluster:
            exchanges = []
            for _ in range(30):
                exchange, _ = await cluster.request('GET', path)
                exchanges.append(exchange)
            self.assertTrue(is_leaving(cluster, worker))
            counts = cluster.front.metrics.counts
            self.assertEqual(1, counts['server_leaving'])
        self.assertEqual(1, len(worker.received))
        for exchange in exchanges:
            self.assertNotIn('server-leaving', exchange.headers)

    @run
    async def test_every_plain_response_tells(self):
        # Guards against responses whose head is not examined: before, the
        # server got further requests until the store told of its stop.
        def disconnect(request):
            return [leave(request)[:-1], workers.CLOSE]

        def answer_after_late_one(request):
            late = leave(request, request_id='other')
            return late + workers.whole_response(request)

        for handler in (
            leave,
            lambda request: leave(request, 500),
            lambda request: leave(request, 404),
            refuse(LEAVING),
            disconnect,
            answer_after_late_one,
        ):
            await self.check_plain(handler)

    @run
    async def test_streams_tell(self):
        for handler in (
            leave_in_stream,
            lambda request: leave(request, 500),
            refuse(LEAVING),
            break_off(LEAVING),
        ):
            servers = [
                workers.Worker('d1', 'llm', handler, stage='decode'),
                workers.Worker('d2', 'llm', handler, stage='decode'),
            ]
            async with fleet.Fleet(*servers) as cluster:
                for _ in range(4):
                    try:
                        last = await ask(cluster)
                    except ConnectionResetError:
                        # A stream that broke off and may not be resumed.
                        last = None
            self.assertEqual([1, 1], [len(w.received) for w in servers])
            self.assertEqual(503, last.status)

    @run
    async def test_prefill_tells_and_its_prompt_is_still_handed_over(self):
        # The request was sent by its caller before the engine said that it
        # leaves, and the handle is of no use to others.
        engine = workers.Worker('p1', 'llm', prefill(LEAVING), stage='prefill')
        decoder = workers.Worker(
            'd1',
            'llm',
            workers.not_executed_response,
            workers.stream_response,
            stage='decode',
        )
        async with fleet.Fleet(engine, decoder) as cluster:
            await read(cluster)
            self.assertTrue(is_leaving(cluster, engine))
            exchange = await read(cluster)
            await curio.sleep(0.05)
        first, second = decoder.received[:2]
        self.assertEqual(200, exchange.status)
        self.assertEqual(f'{engine.address}/h1', first.headers['x-kv-source'])
        self.assertNotIn('x-kv-source', second.headers)
        # The handle of the refused request was not released there either.
        self.assertEqual(1, len(engine.received))

    @run
    async def test_nothing_is_fetched_from_a_leaving_engine(self):
        # Guards against an engine that was the nearest copy of a document.
        servers = [
            workers.Worker('p1', 'llm', prefill(), stage='prefill'),
            workers.Worker('d1', 'llm', leave_in_stream, stage='decode'),
            workers.Worker('d2', 'llm', leave_in_stream, stage='decode'),
            workers.Worker('d3', 'llm', leave_in_stream, stage='decode'),
        ]
        left = set()
        async with fleet.Fleet(*servers) as cluster:
            for _ in range(3):
                seen = {w.address: len(w.received) for w in servers}
                await read(cluster)
                for worker in servers:
                    for request in worker.received[seen[worker.address] :]:
                        source = request.headers.get('kv-fetch', '')
                        self.assertNotIn(source, left)
                left |= {w.address for w in servers if is_leaving(cluster, w)}
        self.assertEqual(3, len(left))

    @run
    async def test_source_that_leaves_after_the_placement_is_not_named(self):
        place = placement.Placer.place_generation

        def place_then_leave(self, demand, servers, now):
            placed = place(self, demand, servers, now)
            if placed is not None and placed.affinity_server is not None:
                known = availability_of(cluster)
                known.on_leaving(placed.affinity_server)
            return placed

        engine = workers.Worker('p1', 'llm', prefill(), stage='prefill')
        decoder = workers.Worker(
            'd1', 'llm', workers.stream_response, stage='decode'
        )
        with mock.patch.object(
            placement.Placer, 'place_generation', place_then_leave
        ):
            async with fleet.Fleet(engine, decoder) as cluster:
                await read(cluster)
        self.assertEqual('prefill', engine.received[0].headers[STAGE])
        self.assertNotIn('kv-fetch', engine.received[0].headers)
        self.assertFalse(decoder.received)

    @run
    async def test_store_does_not_bring_it_back_before_it_restarts(self):
        worker = workers.Worker(
            'w1', 'desk', leave, workers.whole_response, born=5
        )
        async with fleet.Fleet(worker) as cluster:
            await cluster.request('GET', '/look/')
            cluster.store.put('servers/w1', worker.entry(sequence=2))
            await cluster.wait_for_updates()
            newer, _ = await cluster.request('GET', '/look/')
            cluster.store.remove('servers/w1')
            await cluster.wait_for_updates()
            await curio.sleep(registry.LAPSE_GRACE_S + 0.1)
            cluster.front.gateway.forget(time.monotonic())
            cluster.store.put('servers/w1', worker.entry(sequence=3))
            await cluster.wait_for_updates()
            again, _ = await cluster.request('GET', '/look/')
            self.assertEqual((503, 503), (newer.status, again.status))
            self.assertEqual(1, len(worker.received))
            worker.born = 6
            cluster.store.put('servers/w1', worker.entry())
            await cluster.wait_for_updates()
            restarted, _ = await cluster.request('GET', '/look/')
        self.assertEqual(200, restarted.status)

    @run
    async def test_it_tells_while_the_store_is_away(self):
        worker = workers.Worker('w1', 'desk', leave)
        async with fleet.Fleet(worker) as cluster:
            cluster.store.status = 503
            for _ in range(3):
                await cluster.request('GET', '/look/')
        self.assertEqual(1, len(worker.received))

    @run
    async def test_response_to_a_call_of_this_vm_tells(self):
        # States of engines and released handles are not forwarded requests.
        worker = workers.Worker('w1', 'desk', leave)
        async with fleet.Fleet(worker) as cluster:
            await cluster.front.client.call(worker.address, 'GET', '/-/state')
            exchange, _ = await cluster.request('GET', '/look/')
        self.assertEqual((503, 1), (exchange.status, len(worker.received)))

    @run
    async def test_leaving_engine_is_not_probed(self):
        for more, probes in (((), 1), ((LEAVING,), 0)):
            worker = workers.Worker(
                'd1', 'llm', break_off(*more), stage='decode'
            )
            with mock.patch.object(
                isolation.Isolation, '_refuses_connections', return_value=False
            ) as probe:
                async with fleet.Fleet(worker) as cluster:
                    exchange = await cluster.open()
                    headers = cluster.request_headers(*fleet.prompt_headers())
                    await exchange.send('POST', '/ask/', headers, b'q')
                    await curio.sleep(isolation.GATHER_S + 0.1)
                    await cluster.client.discard(exchange)
            self.assertEqual(probes, probe.call_count)

    @run
    async def test_request_that_is_being_connected_is_not_sent(self):
        # Connecting may take seconds, in which the server says that it
        # leaves.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            client = cluster.front.client
            open_exchange = client.open

            async def open_slowly(address, **options):
                exchange = await open_exchange(address, **options)
                if address == worker.address:
                    found = cluster.front.gateway.registry.server_at(address)
                    availability_of(cluster).on_leaving(found)
                return exchange

            client.open = open_slowly
            exchange, _ = await cluster.request('POST', '/place/', body=b'o')
        self.assertEqual((503, 0), (exchange.status, len(worker.received)))

    @run
    async def test_entry_that_says_so_while_connecting_is_obeyed(self):
        for kind in ('draining', 'removed', 'restarted'):
            worker = workers.Worker('w1', 'desk', workers.whole_response)
            async with fleet.Fleet(worker) as cluster:
                client = cluster.front.client
                open_exchange = client.open

                async def open_slowly(address, **options):
                    exchange = await open_exchange(address, **options)
                    if address == worker.address:
                        change_entry(cluster, worker, kind)
                    return exchange

                client.open = open_slowly
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'o'
                )
            with self.subTest(kind):
                self.assertEqual(0, len(worker.received))
                self.assertEqual(503, exchange.status)

    @run
    async def test_no_request_sent_after_the_bound_arrives(self):
        # Twenty callers send without a pause while the server leaves.  Both
        # servers take the same time, so that each gets half of the requests.
        arrivals_s, left_at_s, other_arrivals_s = [], [], []

        def answer(request):
            arrivals_s.append(time.monotonic())
            if len(arrivals_s) < 40:
                return [0.02, workers.whole_response(request)]
            left_at_s.append(time.monotonic())
            return [0.02, leave(request)]

        def answer_as_usual(request):
            other_arrivals_s.append(time.monotonic())
            return [0.02, workers.whole_response(request)]

        def is_done():
            if not left_at_s or time.monotonic() < left_at_s[0] + 1.5:
                return False
            since_s = left_at_s[0] + 0.5
            return len([s for s in other_arrivals_s if s > since_s]) > 20

        worker = workers.Worker('w1', 'desk', answer)
        other = workers.Worker('w2', 'desk', answer_as_usual)
        async with fleet.Fleet(worker, other) as cluster:
            await call_until(cluster, 20, is_done)
        late = [s for s in arrivals_s if s > left_at_s[0] + 0.5]
        self.assertEqual([], late)


async def call_until(cluster, callers, is_done):
    """Let callers send one request after the other until ``is_done()``.

    Raises `curio.TaskTimeout` if it is not true after `CALLS_TIMEOUT_S`.
    """

    async def call():
        while not is_done():
            await cluster.request('GET', '/look/')
            await curio.sleep(0.01)

    async with curio.timeout_after(CALLS_TIMEOUT_S):
        async with curio.TaskGroup() as group:
            for _ in range(callers):
                await group.spawn(call)


class RefusingServers(unittest.TestCase):
    """A server that refuses for a time gets nothing in that time."""

    @run
    async def test_at_most_two_requests_arrive_in_the_time(self):
        for count in (1, 2):
            # Also if all servers refuse, of which the outlier detector would
            # keep half.
            refused_s, arrivals = {}, {}

            def answer(request, name):
                now = time.monotonic()
                arrivals.setdefault(name, []).append(now)
                if name in refused_s:
                    return workers.whole_response(request)
                if len(arrivals[name]) < 10:
                    return [0.02, workers.whole_response(request)]
                refused_s[name] = now
                return refuse_for(b'1.25')(request)

            def is_done():
                # All were used again after their time.
                return len(refused_s) == count and all(
                    arrivals[name][-1] > since_s + 1.25
                    for name, since_s in refused_s.items()
                )

            servers = [
                workers.Worker(
                    f'w{number}',
                    'desk',
                    lambda request, n=f'w{number}': answer(request, n),
                )
                for number in range(count)
            ]
            async with fleet.Fleet(*servers) as cluster:
                await call_until(cluster, 10, is_done)
            self.assertEqual(count, len(refused_s))
            for name, since_s in refused_s.items():
                times = [s - since_s for s in arrivals[name]]
                early = [s for s in times if 0.5 < s < 1.25]
                self.assertLessEqual(len(early), 2)
                self.assertTrue([s for s in times if s > 1.25])

    @run
    async def test_streams_and_prefills_refuse_for_a_time(self):
        refusal = refuse_for(b'30')
        for stage, request in (('decode', ask), ('prefill', read)):
            engines = [
                workers.Worker('e1', 'llm', refusal, stage=stage),
                workers.Worker('e2', 'llm', refusal, stage=stage),
            ]
            other = workers.Worker('e3', 'llm', refusal, stage='decode')
            async with fleet.Fleet(*engines, other) as cluster:
                cluster.allow_repeats(50)
                for _ in range(6):
                    exchange = await request(cluster)
            self.assertEqual([1, 1], [len(w.received) for w in engines])
            self.assertEqual(1, len(other.received))
            told_s = float(exchange.headers['retry-after'])
            self.assertGreater(told_s, 25.0)

    @run
    async def test_callers_are_told_when_the_first_server_wants_requests(self):
        servers = [
            workers.Worker('w1', 'desk', refuse_for(b'20')),
            workers.Worker('w2', 'desk', refuse_for(b'8.5')),
        ]
        async with fleet.Fleet(*servers) as cluster:
            exchanges = []
            for _ in range(12):
                exchange, _ = await cluster.request('GET', '/look/')
                exchanges.append(exchange)
            counts = cluster.front.metrics.counts
            self.assertEqual(2, counts['server_unwilling'])
        figures = [float(e.headers['retry-after']) for e in exchanges[1:]]
        self.assertEqual({503}, {e.status for e in exchanges})
        self.assertGreater(min(figures), 7.0)
        self.assertLessEqual(max(figures), 8.5 * 1.4)
        self.assertGreater(len(set(figures)), 5)
        self.assertEqual([1, 1], [len(w.received) for w in servers])

    @run
    async def test_waiting_requests_are_refused_at_once(self):
        # Guards against requests that wait for a full server and then for
        # one that wants none of them.
        def refuse_slowly(request):
            return [0.2, refuse_for(b'9')(request)]

        config = fleet.make_config(2)
        config['services'][0]['maxConnections'] = 1
        config['routes'][0]['targetLatencyMs'] = 1300
        worker = workers.Worker('w1', 'desk', refuse_slowly)
        async with fleet.Fleet(worker, config=config) as cluster:
            tasks = [
                await curio.spawn(cluster.request, 'GET', '/look/')
                for _ in range(5)
            ]
            exchanges = [(await task.join())[0] for task in tasks]
        self.assertEqual({503}, {e.status for e in exchanges})
        for exchange in exchanges:
            self.assertGreater(float(exchange.headers['retry-after']), 8.0)
        self.assertEqual(1, len(worker.received))

    @run
    async def test_prompts_at_the_scheduler_are_refused_at_once(self):
        # Guards against prompts that wait at the shared scheduler until
        # their time is over, as it has no engine for them any more.
        def refuse_slowly(request):
            return [0.2, refuse_for(b'9')(request)]

        config = fleet.make_config(2)
        config['routes'][2]['targetLatencyMs'] = 1300
        worker = workers.Worker('d1', 'llm', refuse_slowly, stage='decode')
        address = '127.0.0.1', ports.free_port()
        async with fleet.Fleet(
            worker, config=config, peer_address=address
        ) as cluster:
            tasks = [await curio.spawn(read, cluster) for _ in range(4)]
            await fleet.wait_until(lambda: worker.received)
            scheduler = cluster.front.gateway.scheduler('llm')
            waiting = len(scheduler.backlog.prompts)
            exchanges = [await task.join() for task in tasks]
        self.assertGreater(waiting, 0)
        for exchange in exchanges:
            self.assertEqual(503, exchange.status)
            self.assertGreater(float(exchange.headers['retry-after']), 8.0)
        self.assertEqual(1, len(worker.received))

    @run
    async def test_invalid_figures_count_as_none_and_are_logged(self):
        # Guards against a figure that raises an error, or takes the only
        # server out of use for ever.
        for text in (
            b'soon',
            b'',
            b'-3',
            b'nan',
            b'inf',
            b'1e999',
            b'1_0',
            b'\xff',
            b'Sun, 06 Dec 2026 08:00:00 GMT',
        ):
            worker = workers.Worker(
                'w1', 'desk', refuse_for(text), workers.whole_response
            )
            with mock.patch.object(sending.logs, 'event') as event:
                async with fleet.Fleet(worker) as cluster:
                    await cluster.request('GET', '/look/')
                    exchange, _ = await cluster.request('GET', '/look/')
            self.assertEqual(200, exchange.status, text)
            names = [call.args[0] for call in event.call_args_list]
            self.assertEqual(1, names.count('retry_after_invalid'), text)

    @run
    async def test_very_large_figure_is_bounded_and_logged(self):
        worker = workers.Worker('w1', 'desk', refuse_for(b'9' * 60))
        with mock.patch.object(logs, 'event') as event:
            async with fleet.Fleet(worker) as cluster:
                await cluster.request('GET', '/look/')
                exchange, _ = await cluster.request('GET', '/look/')
        told_s = float(exchange.headers['retry-after'])
        self.assertLessEqual(told_s, availability.MAX_REFUSAL_S * 1.4)
        self.assertEqual(1, len(worker.received))
        names = [call.args[0] for call in event.call_args_list]
        self.assertEqual(1, names.count('retry_after_invalid'))
        self.assertEqual(1, names.count('server_unwilling'))

    @run
    async def test_refusal_without_a_figure_or_with_0_is_as_before(self):
        for more in ((), (b'Retry-After: 0',)):
            worker = workers.Worker(
                'w1', 'desk', refuse(*more), workers.whole_response
            )
            async with fleet.Fleet(worker) as cluster:
                await cluster.request('GET', '/look/')
                exchange, _ = await cluster.request('GET', '/look/')
            self.assertEqual(200, exchange.status)

    def test_only_a_503_refuses_for_a_time(self):
        for status in (200, 404, 429, 500):
            answer = traffic.Answer(status, (), retry_after_s=3.0)
            self.assertIsNone(answer.refusal_s)


SERVER_IDS = strategies.sampled_from(('a', 'b', 'c'))
STATED_S = strategies.one_of(
    strategies.floats(0.0, 5.0),
    strategies.sampled_from((math.nan, math.inf, -math.inf, -2.0, 1e300)),
)
EVENTS = strategies.one_of(
    strategies.tuples(strategies.just('put'), SERVER_IDS),
    strategies.tuples(strategies.just('drain'), SERVER_IDS),
    strategies.tuples(strategies.just('restart'), SERVER_IDS),
    strategies.tuples(strategies.just('remove'), SERVER_IDS),
    strategies.tuples(strategies.just('leave'), SERVER_IDS),
    strategies.tuples(strategies.just('refuse'), SERVER_IDS, STATED_S),
    strategies.tuples(strategies.just('wait'), strategies.floats(0.0, 3.0)),
    strategies.tuples(strategies.just('forget')),
)
SCHEDULES = strategies.lists(EVENTS, min_size=1, max_size=40)


def make_server(server_id, born=1, sequence=0):
    """Return a server whose address does not change."""
    return registry.BackendServer(
        server_id, 's', f'10.0.0.1:{ord(server_id)}', 'z', 8, born, sequence
    )


class Schedule:
    """Applies events to a registry and keeps what the servers have stated."""

    def __init__(self):
        self.now = 100.0
        self.registry = registry.Registry()
        self.servers = {name: make_server(name) for name in 'abc'}
        self.left = set()
        self.refusals = []
        for server in self.servers.values():
            self.registry.put(server)

    def apply(self, event):
        """Apply one event."""
        match event:
            case 'put', name:
                self._put(name, is_draining=False)
            case 'drain', name:
                self._put(name, is_draining=True)
            case 'restart', name:
                server = self.servers[name]
                self.servers[name] = make_server(name, server.started_ms + 1)
                self._put(name)
            case 'remove', name:
                self.registry.remove(name, self.now)
            case 'leave', name:
                server = self.servers[name]
                self.registry.availability.on_leaving(server)
                self.left.add(server.incarnation)
            case 'refuse', name, stated_s:
                server = self.servers[name]
                self.registry.availability.on_refusal(
                    server, stated_s, self.now
                )
                if math.isfinite(stated_s) and stated_s > 0:
                    end_s = self.now + min(60.0, stated_s)
                    self.refusals.append((server.incarnation, end_s))
            case 'wait', seconds:
                self.now += seconds
            case ('forget',):
                self.registry.purge_lapsed(self.now)

    def _put(self, name, **changes):
        server = self.servers[name]
        self.servers[name] = attrs.evolve(
            server, sequence=server.sequence + 1, **changes
        )
        self.registry.put(self.servers[name])

    def refused_until_s(self, server):
        """Return the latest end of the refusals of an incarnation."""
        ends = [s for i, s in self.refusals if i == server.incarnation]
        return max(ends, default=0.0)

    def find_fault(self):
        """Return what the registry allows or forbids wrongly, or None."""
        now, found = self.now, self.registry
        candidates = found.candidates('s', now)
        allowed, waits_s = [], []
        for server in found.servers.values():
            since_s = found.lapsed_since_s.get(server.server_id, now)
            is_gone = now - since_s > registry.LAPSE_GRACE_S
            if server.is_draining or is_gone:
                continue
            if server.incarnation in self.left:
                continue
            if self.refused_until_s(server) > now:
                waits_s.append(self.refused_until_s(server) - now)
            else:
                allowed.append(server)
        is_usable = [
            s for s in found.servers.values() if found.is_usable(s, now)
        ]
        if is_usable != allowed:
            return 'usable'
        lapsed = found.lapsed_since_s
        present = [s for s in allowed if s.server_id not in lapsed]
        if candidates != (present or allowed):
            return 'candidates'
        wanted_in_s = found.seconds_until_wanted('s', now)
        expected_s = min(waits_s) if waits_s and not allowed else None
        if wanted_in_s != expected_s:
            return 'wanted'
        return None


def find_failure():
    """Return the first schedule after which the registry errs, or None."""
    failures = []

    @hypothesis.seed(1)
    @hypothesis.settings(
        max_examples=400,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(SCHEDULES)
    def check(events):
        schedule = Schedule()
        for event in events:
            schedule.apply(event)
            fault = schedule.find_fault()
            if fault is not None:
                failures.append((events, fault))
                return

    check()
    return failures[0] if failures else None


class GeneratedSchedules(unittest.TestCase):
    """Statements, entries of the store and time in any order."""

    def test_only_servers_that_want_requests_are_used(self):
        # Guards against statements that are lost with an entry of the store,
        # shortened by a later one, or outlive their incarnation.
        self.assertIsNone(find_failure())

    def check_is_found(self, name, replacement):
        """Check that a fault of `availability.Availability` is found."""
        with mock.patch.object(availability.Availability, name, replacement):
            self.assertIsNotNone(find_failure())

    def test_finds_statements_that_are_forgotten(self):
        def forget(self, servers, now):
            self.leaving = {
                key: None
                for key in self.leaving
                if any(server.server_id == key[0] for server in servers)
            }

        self.check_is_found('forget', forget)

    def test_finds_refusals_that_are_shortened(self):
        def on_refusal(self, server, seconds, now):
            seconds = availability.bound_refusal_s(seconds)
            self.refusing[availability._key(server)] = now + seconds

        self.check_is_found('on_refusal', on_refusal)

    def test_finds_statements_that_outlive_their_incarnation(self):
        with mock.patch.object(
            availability, '_key', lambda server: server.server_id
        ):
            self.assertIsNotNone(find_failure())

    def test_remembers_a_bounded_number_of_servers(self):
        found = availability.Availability()
        known = make_server('a')
        found.on_leaving(known)
        for number in range(availability.MAX_REMEMBERED + 5):
            found.on_leaving(make_server('b', number))
        found.forget([known], 0.0)
        self.assertEqual(availability.MAX_REMEMBERED, len(found.leaving))
        self.assertTrue(found.is_leaving(known))


if __name__ == '__main__':
    unittest.main()
