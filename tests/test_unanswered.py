"""Tests that each whole request gets an answer or a refusal."""

import errno
import socket
import unittest
from unittest import mock

import attrs
import curio
import curio.errors
import curio.io
import h11

from mangorock import catalog
from mangorock import client
from mangorock import daemon
from mangorock import errors
from mangorock import gateway as gateways
from mangorock import generation
from mangorock import http
from mangorock import ingress
from mangorock import messages
from mangorock import placement
from mangorock import shutdown
from tests import fleet
from tests import test_front
from tests import workers

CHUNKED = b'Transfer-Encoding: chunked'
# Longer than a silent stream is waited for before it is resumed.
SILENCE_S = 1.5
# The deadline that callers send unless they say otherwise.
DEADLINE_S = 1.4
# More requests than any server may have in flight.
MANY = 1000


def be_silent_after(events):
    """Return a worker's script: a stream that pauses after some events."""

    def answer(request):
        if 'last-event-id' in request.headers:
            return workers.stream_response(request)
        head = workers.response_head(request, CHUNKED)
        return [
            head + workers.event_chunks(1, events),
            SILENCE_S,
            workers.event_chunks(events + 1, 4) + b'0\r\n\r\n',
        ]

    return answer


def make_config(max_servers=2):
    """Return a configuration whose resumable route lasts six seconds.

    A stream that is resumed needs three servers for another prefill.
    """
    config = fleet.make_config(2)
    config['routes'][2] |= {'timeoutMs': 6000, 'maxAttempts': max_servers}
    return config


async def read_stream(cluster, *prompt_headers, path='/read/'):
    """Return the number of events that a caller of the route gets."""
    _, body = await cluster.request(
        'POST',
        path,
        ('x-deadline-ms', '6000'),
        *(prompt_headers or fleet.prompt_headers()),
        body=b'q',
    )
    return body.count(b'data: ')


class SilentStreams(unittest.TestCase):
    """Streams of sound servers that send nothing for a while."""

    @test_front.run
    async def test_silent_stream_is_kept_without_another_server(self):
        # It was given up to be resumed, and then cut, as nobody could.
        worker = workers.Worker('d1', 'llm', be_silent_after(2))
        async with fleet.Fleet(worker, config=make_config()) as cluster:
            self.assertEqual(4, await read_stream(cluster))
        self.assertEqual(1, len(worker.received))

    @test_front.run
    async def test_silent_stream_is_kept_without_retry_budget(self):
        servers = [
            workers.Worker('d1', 'llm', be_silent_after(2)),
            workers.Worker('d2', 'llm', be_silent_after(2)),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            cluster.allow_repeats(0)
            self.assertEqual(4, await read_stream(cluster))
        received = sum(len(server.received) for server in servers)
        self.assertEqual(1, received)

    @test_front.run
    async def test_silent_stream_is_kept_while_others_are_full(self):
        servers = [
            workers.Worker('d1', 'llm', be_silent_after(2)),
            workers.Worker('d2', 'llm', be_silent_after(2)),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            placer = cluster.front.gateway.placer
            stream = await curio.spawn(read_stream, cluster)
            await fleet.wait_until(lambda: sum_received(servers))
            for server in cluster.front.gateway.registry.servers.values():
                placer.load(server).in_flight += MANY
            self.assertEqual(4, await stream.join())
        self.assertEqual(1, sum_received(servers))

    @test_front.run
    async def test_silent_stream_is_kept_if_prefill_costs_too_much(self):
        # The resumption was paid for, but not the prefill that it needs.
        def prefill(request):
            body = b'{"handle":"h1","tokens":9}'
            return workers.whole_response(request, body)

        servers = [
            workers.Worker('p1', 'llm', prefill, stage='prefill'),
            workers.Worker('d1', 'llm', be_silent_after(2), stage='decode'),
            workers.Worker('d2', 'llm', be_silent_after(2), stage='decode'),
        ]
        long_prompt = fleet.prompt_headers(9000, 'doc:7000,own:2900')
        async with fleet.Fleet(*servers, config=make_config(3)) as cluster:
            cluster.allow_repeats(1)
            events = await read_stream(cluster, *long_prompt)
        self.assertEqual(4, events)
        self.assertEqual(1, sum_received(servers[1:]))

    @test_front.run
    async def test_silent_stream_is_resumed_where_there_is_room(self):
        servers = [
            workers.Worker('d1', 'llm', be_silent_after(2)),
            workers.Worker('d2', 'llm', be_silent_after(2)),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            started_s = await curio.clock()
            self.assertEqual(4, await read_stream(cluster))
            passed_s = await curio.clock() - started_s
        self.assertLess(passed_s, SILENCE_S)
        self.assertEqual(2, sum_received(servers))

    @test_front.run
    async def test_silent_request_goes_on_if_the_scheduler_rejects_it(self):
        # It was given up to be repeated, and then refused as hopeless.
        received = []

        def answer(request):
            received.append(request)
            stream = workers.stream_response(request)
            return [SILENCE_S, stream] if len(received) == 1 else stream

        asked = []

        async def ask(gateway, make_request):
            asked.append(make_request())
            return messages.Rejection(5.0) if len(asked) > 1 else None

        servers = [
            workers.Worker('d1', 'llm', answer),
            workers.Worker('d2', 'llm', answer),
        ]
        long_prompt = fleet.prompt_headers(9000, 'doc:7000,own:2900')
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            with mock.patch.object(gateways.Gateway, 'ask_scheduler', ask):
                self.assertEqual(4, await read_stream(cluster, *long_prompt))
        self.assertEqual((2, 2), (len(asked), len(received)))

    @test_front.run
    async def test_silent_server_is_kept_if_no_time_is_left_for_another(self):
        # It was given up, and the prefill elsewhere was then too late.
        def prefill(request):
            body = b'{"handle":"h1","tokens":9}'
            return workers.whole_response(request, body)

        def answer(request):
            return [SILENCE_S, workers.stream_response(request)]

        servers = [
            workers.Worker('p1', 'llm', prefill, stage='prefill'),
            workers.Worker('d1', 'llm', answer, stage='decode'),
            workers.Worker('d2', 'llm', answer, stage='decode'),
        ]
        long_prompt = fleet.prompt_headers(9000, 'doc:7000,own:2900')
        async with fleet.Fleet(*servers, config=make_config(3)) as cluster:
            cluster.allow_repeats(5)
            with mock.patch.object(generation, 'DECODE_RESERVE_S', 1.2):
                self.assertEqual(4, await read_stream(cluster, *long_prompt))
        self.assertEqual(1, sum_received(servers[1:]))

    @test_front.run
    async def test_silent_server_is_given_up_after_a_foreign_answer(self):
        # The time limit did not hold for the head behind a late answer.
        received = []

        def answer(request):
            received.append(request)
            if len(received) > 1:
                return workers.whole_response(request)
            late = workers.whole_response(request, request_id='another')
            return [late, SILENCE_S, workers.whole_response(request)]

        servers = [
            workers.Worker('w1', 'desk', answer),
            workers.Worker('w2', 'desk', answer),
        ]
        async with fleet.Fleet(*servers) as cluster:
            started_s = await curio.clock()
            exchange, body = await cluster.request('GET', '/look/')
            passed_s = await curio.clock() - started_s
        self.assertEqual((200, b'done'), (exchange.status, body))
        self.assertEqual(2, len(received))
        self.assertLess(passed_s, DEADLINE_S)


class ResumedStreams(unittest.TestCase):
    """Streams whose server broke off and that go on elsewhere."""

    @test_front.run
    async def test_resumed_stream_is_not_ended_before_its_caller_leaves(self):
        # The prefill for it was given up shortly before a caller that gets
        # no event was expected to leave, and the stream was reset.
        def prefill(request):
            body = b'{"handle":"h1","tokens":9}'
            seconds = 0.0 if not servers[0].received[1:] else 1.2
            return [seconds, workers.whole_response(request, body)]

        def stall(request):
            if 'last-event-id' in request.headers:
                return workers.stream_response(request)
            head = workers.response_head(request, CHUNKED)
            return [head + workers.event_chunks(1, 2), 5.0]

        servers = [
            workers.Worker('p1', 'llm', prefill, stage='prefill'),
            workers.Worker('d1', 'llm', stall, stage='decode'),
            workers.Worker('d2', 'llm', stall, stage='decode'),
        ]
        long_prompt = fleet.prompt_headers(9000, 'doc:7000,own:2900')
        async with fleet.Fleet(*servers, config=make_config(3)) as cluster:
            cluster.allow_repeats(5)
            events = await read_stream(cluster, *long_prompt)
        self.assertEqual(4, events)

    @test_front.run
    async def test_resumed_stream_waits_for_room(self):
        # Its target latency had passed, so it was not allowed to wait.
        def break_off(request):
            if 'last-event-id' in request.headers:
                return workers.stream_response(request)
            head = workers.response_head(request, CHUNKED)
            return [head + workers.event_chunks(1, 2), 0.5, workers.CLOSE]

        servers = [
            workers.Worker('d1', 'llm', break_off),
            workers.Worker('d2', 'llm', break_off),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            placer = cluster.front.gateway.placer
            stream = await curio.spawn(read_stream, cluster)
            await fleet.wait_until(lambda: sum_received(servers))
            loads = [
                placer.load(server)
                for server in cluster.front.gateway.registry.servers.values()
            ]
            for load in loads:
                load.in_flight += MANY
            await curio.sleep(0.9)
            for load in loads:
                load.in_flight -= MANY
            await cluster.front.gateway.notify_first_waiter('llm')
            self.assertEqual(4, await stream.join())
        self.assertEqual(2, sum_received(servers))

    @test_front.run
    async def test_resumed_stream_goes_on_without_budget_for_a_prefill(self):
        # The budget was spent by the resumption, so each prefill was denied.
        def prefill(request):
            body = b'{"handle":"h1","tokens":9}'
            return workers.whole_response(request, body)

        def break_off(request):
            if 'last-event-id' in request.headers:
                return workers.stream_response(request)
            head = workers.response_head(request, CHUNKED)
            return [head + workers.event_chunks(1, 2), 0.1, workers.CLOSE]

        servers = [
            workers.Worker('p1', 'llm', prefill, stage='prefill'),
            workers.Worker('d1', 'llm', break_off, stage='decode'),
            workers.Worker('d2', 'llm', break_off, stage='decode'),
        ]
        long_prompt = fleet.prompt_headers(9000, 'doc:7000,own:2900')
        async with fleet.Fleet(*servers, config=make_config(3)) as cluster:
            cluster.allow_repeats(1)
            events = await read_stream(cluster, *long_prompt)
        self.assertEqual(4, events)
        prefills = [r for r in servers[0].received if r.method == 'POST']
        self.assertEqual(1, len(prefills))


def sum_received(servers):
    """Return how many requests some workers have received."""
    return sum(len(server.received) for server in servers)


class OwnFailures(unittest.TestCase):
    """Failures of the VM itself while it serves a request."""

    @test_front.run
    async def test_error_that_is_not_the_callers_is_answered(self):
        # An OSError of any origin was taken for the caller's, and ended its
        # connection without an answer or a line in the log.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        failure = OSError('no descriptors left')
        async with fleet.Fleet(worker) as cluster:
            with mock.patch.object(
                placement.Placer, 'place_plain', side_effect=failure
            ):
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'o'
                )
        self.assertEqual(500, exchange.status)

    def test_error_that_is_not_the_callers_is_answered_by_the_daemon(self):
        # As the one before, in the product's own daemon.
        def fail():
            raise OSError('no descriptors left')

        env = mock.Mock(in_flight=0, is_stopping=False, check_ready=fail)
        responder = mock.Mock(is_started=False, is_broken=False)
        responder.respond = mock.AsyncMock()
        request = http.Request('POST', '/v1/completions', {}, b'')
        curio.run(daemon.handle_request, env, request, responder)
        self.assertEqual(500, responder.respond.call_args.args[0])

    @test_front.run
    async def test_head_that_cannot_be_written_is_answered(self):
        # The answer counted as begun before its head was accepted.
        def answer(request):
            return workers.whole_response(request)

        worker = workers.Worker('w1', 'desk', answer)
        async with fleet.Fleet(worker) as cluster:
            wire = cluster.front.gateway.sender.wire
            decode = wire.decode_answer

            def add_malformed(status, headers):
                found = decode(status, headers)
                broken = (*found.headers, (b'x-line', b'a\r\nb'))
                return attrs.evolve(found, headers=broken)

            wire.decode_answer = add_malformed
            try:
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'o'
                )
            finally:
                wire.decode_answer = decode
        self.assertEqual(500, exchange.status)

    def test_head_that_cannot_be_written_is_answered_by_the_daemon(self):
        # As the one before, in the product's own daemon.
        curio.run(self.check_malformed_head)

    async def check_malformed_head(self):
        async def answer(request, responder):
            try:
                await responder.respond(200, b'', [('x-line', 'a\r\nb')])
            except h11.LocalProtocolError:
                await http.send_error(responder, errors.Internal('failed'))

        listener = http.listen('127.0.0.1', 0)
        host, port = listener.getsockname()
        serving = await curio.spawn(http.serve, listener, answer, 100)
        try:
            status, _ = await client.Client().call(
                f'{host}:{port}', 'GET', '/'
            )
        finally:
            await serving.cancel()
        self.assertEqual(500, status)


class IdleConnections(unittest.TestCase):
    """Connections whose idle time is over."""

    def test_request_that_came_with_the_timeout_is_read(self):
        # The connection was closed without a look at what it had received.
        curio.run(self.check_expiry)

    async def check_expiry(self):
        with socket.create_server(('127.0.0.1', 0)) as server:
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        served = []

        async def serve(request, reply):
            served.append(request.target)
            await reply.respond(200, [], b'')

        receiver = ingress.Ingress(
            serve,
            lambda: catalog.CallerLimits(idle_timeout_s=0.05),
            lambda error: (error.status, [], b''),
        )
        sock = LateSocket(ours, theirs)
        await receiver.start_connection(sock)
        await fleet.wait_until(lambda: served or not receiver.connections)
        await curio.sleep(0.05)
        theirs.setblocking(False)
        self.assertEqual(['/late/'], served)
        self.assertIn(b'200', theirs.recv(4096))
        theirs.close()


class ChangedLimits(unittest.TestCase):
    """Open connections whose limits a new configuration changes."""

    @test_front.run
    async def test_longer_idle_time_holds_for_open_connections(self):
        # The limits were read when a connection began to wait, so callers
        # that followed the new ones found it closed.
        config = make_config()
        config['limits']['idleTimeoutMs'] = 400
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker, config=config) as cluster:
            exchange = await cluster.open()
            changed = make_config()
            changed['version'] = 3
            cluster.store.put('op/config', changed)
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 3
            )
            await curio.sleep(0.6)
            await exchange.send(
                'GET', '/look/', cluster.request_headers(), b''
            )
            self.assertEqual(b'done', await exchange.read())
            await cluster.client.discard(exchange)

    @test_front.run
    async def test_larger_body_is_read_on_open_connections(self):
        config = make_config()
        config['limits']['maxBodyBytes'] = 10
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker, config=config) as cluster:
            exchange = await cluster.open()
            await curio.sleep(0.05)
            changed = make_config()
            changed['version'] = 3
            cluster.store.put('op/config', changed)
            await fleet.wait_until(
                lambda: cluster.front.gateway.catalog.version == 3
            )
            headers = cluster.request_headers()
            await exchange.send('POST', '/place/', headers, b'o' * 100)
            self.assertEqual(200, exchange.status)
            await exchange.read()
            await cluster.client.discard(exchange)


class EndOfStop(unittest.TestCase):
    """Callers that connect just as a planned stop ends."""

    @test_front.run
    async def test_request_that_came_as_the_stop_ended_is_answered(self):
        # Its connection was accepted after the check that none is left.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            with mock.patch.object(shutdown, 'CLOSE_IDLE_AFTER_S', 0.0):
                caller = send_without_waiting(cluster)
                await cluster.front.stop()
            # The process ends here.
            self.assertEqual(1, len(worker.received))
            self.assertFalse(cluster.front.ingress.connections)
            async with curio.timeout_after(1.0):
                answer = await caller.recv(4096)
            await caller.close()
        self.assertIn(b'200', answer.partition(b'\r\n')[0])

    @test_front.run
    async def test_no_connection_is_accepted_after_the_last_check(self):
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            with mock.patch.object(shutdown, 'CLOSE_IDLE_AFTER_S', 0.0):
                self.assertTrue(await cluster.front.stop())
            with self.assertRaises(ConnectionRefusedError):
                await cluster.open()

    @test_front.run
    async def test_connection_that_is_still_to_send_is_not_closed(self):
        # It was taken for idle, although its caller had only just connected.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            exchange = await cluster.open()
            ingress_ = cluster.front.ingress
            await fleet.wait_until(lambda: ingress_.connections)
            await ingress_.close_idle_connections()
            await curio.sleep(0.02)
            await exchange.send(
                'GET', '/look/', cluster.request_headers(), b''
            )
            self.assertEqual(b'done', await exchange.read())
            await cluster.client.discard(exchange)


class WaitingBehindAResumedStream(unittest.TestCase):
    """New requests while a stream that broke off waits for its turn."""

    @test_front.run
    async def test_new_request_is_served_by_the_server_that_broke_off(self):
        # It waited behind a stream that may not use the only free server.
        def break_off_once(request):
            if request.target == '/read/first':
                head = workers.response_head(request, CHUNKED)
                return [head + workers.event_chunks(1, 2), 0.1, workers.CLOSE]
            return workers.stream_response(request)

        servers = [
            workers.Worker('d1', 'llm', break_off_once),
            workers.Worker('d2', 'llm', break_off_once),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            gateway = cluster.front.gateway
            fill(gateway, 'd2')
            stream = await curio.spawn(
                lambda: read_stream(cluster, path='/read/first')
            )
            await fleet.wait_until(lambda: has_waiter(gateway))
            self.assertEqual(4, await read_stream(cluster))
            self.assertTrue(has_waiter(gateway))
            await stream.cancel()
        self.assertEqual(2, len(servers[0].received))


class LateServers(unittest.TestCase):
    """Streams that broke off while no other server is known."""

    @test_front.run
    async def test_resumed_stream_waits_for_a_server_that_registers(self):
        # It was reset at once, though its caller was still patient.
        def break_off(request):
            head = workers.response_head(request, CHUNKED)
            return [head + workers.event_chunks(1, 2), 0.1, workers.CLOSE]

        first = workers.Worker('d1', 'llm', break_off)
        late = workers.Worker('d2', 'llm', workers.stream_response)
        async with fleet.Fleet(first, config=make_config()) as cluster:
            await late.start()
            gateway = cluster.front.gateway
            stream = await curio.spawn(read_stream, cluster)
            await fleet.wait_until(lambda: has_waiter(gateway))
            cluster.store.put('servers/d2', late.entry())
            self.assertEqual(4, await stream.join())
            await late.close()


def fill(gateway, server_id):
    """Have a server count as full."""
    for server in gateway.registry.servers.values():
        if server.server_id == server_id:
            gateway.placer.load(server).in_flight += MANY


def has_waiter(gateway):
    """Say whether a request of the streams' service waits in the queue."""
    queue = gateway.wait_queues.get('llm')
    return bool(queue and queue.waiters)


class SlowCallers(unittest.TestCase):
    """Callers that read their answer slower than it comes."""

    @test_front.run
    async def test_stream_of_a_caller_that_does_not_read_ends_in_time(self):
        # The deadline was taken for the server's silence, so the stream was
        # resumed without a deadline, behind a half-written event.
        servers = [
            workers.Worker('d1', 'llm', send_long_events),
            workers.Worker('d2', 'llm', send_long_events),
        ]
        async with fleet.Fleet(*servers, config=make_config()) as cluster:
            receiver = cluster.front.ingress
            exchange = await cluster.open()
            await exchange.write(
                'POST',
                '/read/',
                [
                    ('host', fleet.HOST),
                    ('x-request-id', 'slow'),
                    ('x-deadline-ms', '500'),
                    *fleet.prompt_headers(),
                ],
                b'q',
            )
            await fleet.wait_until(lambda: receiver.in_flight)
            await fleet.wait_until(lambda: not receiver.in_flight)
            await cluster.client.discard(exchange)
        self.assertEqual(1, sum_received(servers))


def send_long_events(request):
    """Return a stream that is longer than what sockets buffer."""
    parts = [workers.response_head(request, CHUNKED)]
    for number in range(1, 200):
        event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 60000)
        parts.append(b'%x\r\n%s\r\n' % (len(event), event))
    return [*parts, b'0\r\n\r\n']


class Listeners(unittest.TestCase):
    """Listening sockets whose ``accept`` fails for a moment."""

    def test_listener_goes_on_after_a_failed_accept(self):
        # The task ended, and each later connection stayed unanswered.
        curio.run(self.check_failed_accept)

    async def check_failed_accept(self):
        async def answer(request, responder):
            await responder.respond(200, b'')

        listener = FailingListener(http.listen('127.0.0.1', 0)._socket)
        host, port = listener.getsockname()
        serving = await curio.spawn(http.serve, listener, answer, 100)
        async with curio.timeout_after(5.0):
            status, _ = await client.Client().call(
                f'{host}:{port}', 'GET', '/'
            )
        await serving.cancel()
        self.assertEqual(200, status)

    @test_front.run
    async def test_callers_behind_one_that_left_are_answered_at_a_stop(self):
        # The end of the listening socket cut those that came after it.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            receiver = cluster.front.ingress
            caller = send_without_waiting(cluster)
            raw = receiver.listener._socket
            failures = [ConnectionAbortedError('reset before accept')]

            def accept():
                if failures:
                    raise failures.pop()
                return raw.accept()

            receiver.listener._socket = mock.Mock(wraps=raw, accept=accept)
            await receiver.close()
            async with curio.timeout_after(5.0):
                answer = await caller.recv(4096)
            await caller.close()
        self.assertIn(b'200', answer.partition(b'\r\n')[0])


class FailingListener(curio.io.Socket):
    """A listening socket whose first ``accept`` fails."""

    has_failed = False

    async def accept(self):
        """Accept a connection; the first time there is no descriptor."""
        if not self.has_failed:
            self.has_failed = True
            raise OSError(errno.EMFILE, 'Too many open files')
        return await super().accept()


def send_without_waiting(cluster):
    """Connect to the front and send a request, while no task runs."""
    caller = socket.create_connection(cluster.settings.caller_address)
    caller.sendall(
        b'GET /look/ HTTP/1.1\r\nhost: %s\r\n'
        b'x-request-id: late\r\nx-deadline-ms: 900\r\n\r\n'
        % fleet.HOST.encode()
    )
    return curio.io.Socket(caller)


class LateSocket(curio.io.Socket):
    """A socket that receives a request just as its reader gives up."""

    def __init__(self, ours, theirs):
        super().__init__(ours)
        self.theirs = theirs
        self.has_sent = False

    async def recv(self, size, flags=0):
        """Receive; the request comes when the first wait is cancelled."""
        try:
            return await super().recv(size, flags)
        except curio.CancelledError:
            if not self.has_sent:
                self.has_sent = True
                self.theirs.sendall(b'GET /late/ HTTP/1.1\r\nhost: a\r\n\r\n')
            raise
