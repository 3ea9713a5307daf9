"""Tests of servers that write a refusal once more, on the same connection.

The copy bears the id of the refused request.  If that request is under way
again on the connection, nothing on the wire tells the copy from its answer.
"""

import unittest

import attrs
import curio

from mangorock import client
from mangorock import connection_pool
from mangorock import engine
from mangorock import traffic
from tests import fleet
from tests import test_front
from tests import workers


def refusal(request, status, *more):
    """Return a refusal that bears the id of its request."""
    lines = [
        b'HTTP/1.1 %d X' % status,
        b'X-Not-Executed: 1',
        *more,
        b'Content-Length: 4',
        b'X-Request-Id: ' + request.request_id.encode(),
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\nbusy'


@attrs.define
class Repeater:
    """Refuses each request that comes first, and writes the refusal twice.

    The copy comes ``delay_s`` before the next answer on the connection.
    """

    delay_s: float
    refused: dict = attrs.field(factory=dict)
    ids: set = attrs.field(factory=set)
    ran: list = attrs.field(factory=list)

    def handle(self, request):
        """Return the parts of the response."""
        copy = self.refused.pop(request.connection, b'')
        if request.request_id not in self.ids:
            self.ids.add(request.request_id)
            answer = refusal(request, 421)
            self.refused[request.connection] = answer
            return [copy + answer]
        return [copy, self.delay_s, self.run(request)]

    def run(self, request):
        """Run the request; return the response."""
        self.ran.append(request.request_id)
        if request.target.startswith('/ask/'):
            return workers.stream_response(request)
        return workers.whole_response(request)


class SuccessorAtTheAddress(unittest.TestCase):
    """A server was replaced at its address while its old entry is there.

    The new one refuses the request that names the old one, and gets it again
    under its own name.  The copy of the refusal passed for the answer: the
    caller was told that the request had not run, or it ran elsewhere too.
    """

    async def _send(self, path, delay_s, has_other):
        """Return the status of one request and the ids that ran."""
        service = 'llm' if path == '/ask/' else 'desk'
        repeater = Repeater(delay_s)
        successor = workers.Worker('w1', service, repeater.handle)
        servers = [successor]
        if has_other:
            servers.append(workers.Worker('w2', service, repeater.run))
        cluster = fleet.Fleet(*servers)
        cluster.store.put('servers/old', successor.entry())
        async with cluster:
            headers = fleet.prompt_headers() if service == 'llm' else ()
            exchange, _ = await cluster.request(
                'POST', path, *headers, body=b'o'
            )
        self.assertEqual(2, len(successor.received))
        return exchange.status, repeater.ran

    def test_refused_request_runs_once_and_is_answered(self):
        cases = (
            ('/place/', False),
            ('/place/', True),
            ('/ask/', False),
        )
        for path, has_other in cases:
            for delay_s in (0.0, 0.05):
                with self.subTest(
                    path=path, delay_s=delay_s, has_other=has_other
                ):
                    status, ran = curio.run(
                        self._send, path, delay_s, has_other
                    )
                    self.assertEqual((200, 1), (status, len(ran)))


class TwoIds(unittest.TestCase):
    """A message with two ids belongs to none of the two requests.

    Before, the last one counted.
    """

    @test_front.run
    async def test_answer_with_two_ids_is_skipped(self):
        # A request that ran was answered 503.
        def answer(request):
            first = worker.received[0]
            if request is first:
                return workers.whole_response(request)
            name = b'X-Request-Id: ' + first.request_id.encode()
            both = refusal(request, 503, name)
            return both + workers.whole_response(request)

        worker = workers.Worker('w1', 'desk', answer)
        async with fleet.Fleet(worker) as cluster:
            for _ in range(2):
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'o'
                )
        self.assertEqual((200, 2), (exchange.status, len(worker.received)))

    @test_front.run
    async def test_request_with_two_ids_is_refused(self):
        # A server that answers to the first of them had run it in vain.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            statuses = []
            for other in ('other', 'r2'):
                exchange, _ = await cluster.request(
                    'POST', '/place/', ('x-request-id', other), body=b'o'
                )
                statuses.append(exchange.status)
        self.assertEqual(([400, 200], 1), (statuses, len(worker.received)))


class TimeOfARefusal(unittest.TestCase):
    """A server refuses for a time, which a copy does not begin again.

    The copy came before the first answer after that time, and the server got
    no requests for as long once more.
    """

    @test_front.run
    async def test_server_is_used_after_the_time_that_it_named(self):
        def refuse_first(request):
            if len(worker.received) == 1:
                return refused(request)
            return refused(worker.received[0]) + workers.whole_response(
                request
            )

        def refused(request):
            return refusal(request, 503, b'Retry-After: 0.3')

        worker = workers.Worker('w1', 'desk', refuse_first)
        statuses = []
        async with fleet.Fleet(worker) as cluster:
            for pause_s in (0.0, 0.0, 0.4, 0.0):
                await curio.sleep(pause_s)
                exchange, _ = await cluster.request('GET', '/look/')
                statuses.append(exchange.status)
        self.assertEqual([503, 503, 200, 200], statuses)


def make_connection(*request_ids):
    """Return a connection on which these requests were sent."""
    connection = connection_pool.Connection(None, None)
    for request_id in request_ids:
        connection.on_send(request_id)
    return connection


class Pool(unittest.TestCase):
    """Which connection a request gets."""

    def setUp(self):
        self.pool = connection_pool.ConnectionPool()

    def _put(self, now, *request_ids):
        connection = make_connection(*request_ids)
        self.assertTrue(self.pool.put('a', connection, now, 30.0))
        return connection

    def test_a_connection_carries_each_id_once(self):
        older = self._put(0.0, 'r1', 'r2')
        newer = self._put(1.0, 'r3')
        self.assertIs(older, self.pool.take('a', 'r3', 2.0))
        self.assertIsNone(self.pool.take('a', 'r3', 2.0))
        self.assertIs(newer, self.pool.take('a', 'r1', 2.0))

    def test_an_older_connection_than_allowed_is_no_way_out(self):
        self._put(0.0, 'r1')
        self._put(5.0, 'r2')
        self.assertIsNone(self.pool.take('a', 'r2', 5.5, max_idle_s=1.0))

    def test_calls_without_an_id_share_no_connection_with_requests(self):
        with_ids, without = self._put(0.0, 'r1'), self._put(1.0)
        self.assertIs(with_ids, self.pool.take('a', 'r2', 2.0))
        self.assertIsNone(self.pool.take('a', 'r2', 2.0))
        self.assertIs(without, self.pool.take('a', '', 2.0))

    def test_a_connection_that_carried_many_requests_is_not_kept(self):
        ids = [f'r{n}' for n in range(connection_pool.MAX_REQUESTS)]
        self.assertTrue(self.pool.put('a', make_connection(*ids[1:]), 0, 9))
        self.assertFalse(self.pool.put('a', make_connection(*ids), 0, 9))


class CallsWithoutIds(unittest.TestCase):
    """An answer too many to a request is none to a call without an id.

    The release of a handle used the connection of a request: the copy of its
    refusal passed for the answer, whose own answer came to the next request.
    """

    @test_front.run
    async def test_release_of_a_handle_has_a_connection_of_its_own(self):
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            await cluster.request('POST', '/place/', body=b'o')
            sender = cluster.front.gateway.sender
            await sender.free_handle(traffic.Handle(worker.address, 'h1'))
            await cluster.request('POST', '/place/', body=b'o')
        by_connection = [r.connection for r in worker.received]
        self.assertEqual([1, 2, 1], by_connection)

    @test_front.run
    async def test_prompt_gets_its_own_handle(self):
        # The copy of an engine's answer to an earlier prompt came first, and
        # the decode engine went on from the KV cache of that prompt.
        def prefill(request):
            copy = copies.pop(request.connection, b'')
            body = b'{"handle":"h%d"}' % len(worker.received)
            length = b'Content-Length: %d' % len(body)
            head = b'HTTP/1.1 200 OK\r\n' + length + b'\r\n\r\n'
            copies[request.connection] = head + body
            return [copy, 0.02, head + body]

        worker, copies = workers.Worker('e1', 'llm', prefill), {}
        await worker.start()
        caller = client.Client()
        found = []
        for number in range(3):
            job = engine.Job(f'r{number}', f'prompt {number}', 8)
            kv = await engine.prefill(caller, worker.address, job)
            found.append(kv['handle'])
        await caller.close()
        await worker.close()
        self.assertEqual(['h1', 'h2', 'h3'], found)


if __name__ == '__main__':
    unittest.main()
