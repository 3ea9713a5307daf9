"""Tests of servers that write answers where they do not belong."""

import unittest

import curio
import h11

from tests import fleet
from tests import test_front
from tests import workers

CHUNKED = b'Transfer-Encoding: chunked'
# Statuses that say that a request has not run.
NOT_RUN = (408, 421, 429, 503)


def refusal(request_id=''):
    """Return a refusal with this id of its request, '' for none."""
    lines = [b'HTTP/1.1 503 X', b'X-Not-Executed: 1', b'Content-Length: 4']
    if request_id:
        lines.append(b'X-Request-Id: ' + request_id.encode())
    return b'\r\n'.join(lines) + b'\r\n\r\nbusy'


class RepeatedRefusal(unittest.TestCase):
    """A server writes an earlier refusal once more on a kept connection."""

    async def _statuses(self, has_id, delay_s):
        """Return the status of each request and the ids that ran."""
        ran = []

        def refuse_then_run(request):
            # Each refusal is written again before the next answer.
            if len(worker.received) % 2:
                refused.append(request.request_id)
                return refusal(request.request_id if has_id else '')
            ran.append(request.request_id)
            again = refusal(refused[-1] if has_id else '')
            return [again, delay_s, workers.whole_response(request)]

        refused = []
        worker = workers.Worker('w1', 'desk', refuse_then_run)
        statuses = {}
        async with fleet.Fleet(worker) as cluster:
            for _ in range(6):
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'o'
                )
                statuses[f'r{cluster.request_count}'] = exchange.status
        return statuses, ran

    def _check(self, has_id, delay_s):
        statuses, ran = curio.run(self._statuses, has_id, delay_s)
        self.assertTrue(ran)
        for request_id in ran:
            self.assertNotIn(statuses[request_id], NOT_RUN, statuses)
        self.assertEqual(len(set(ran)), len(ran))

    def test_refusal_of_an_earlier_request_is_none_of_this_one(self):
        for delay_s in (0.0, 0.05):
            for has_id in (True, False):
                with self.subTest(delay_s=delay_s, has_id=has_id):
                    self._check(has_id, delay_s)

    @test_front.run
    async def test_refusal_without_an_id_on_a_new_connection_counts(self):
        refusing = workers.Worker('w1', 'desk', lambda request: refusal())
        sound = workers.Worker('w2', 'desk', workers.whole_response)
        async with fleet.Fleet(refusing, sound) as cluster:
            exchange, _ = await cluster.request('POST', '/place/', body=b'o')
        self.assertEqual(200, exchange.status)


def break_off(request):
    """Return the first two events of a stream, which then breaks off."""
    head = workers.response_head(request, CHUNKED)
    return [head + workers.event_chunks(1, 2), 0.05, workers.CLOSE]


def answer_whole(status, body, *more):
    """Return a handler that answers with a signed whole body."""

    def handle(request):
        length = b'Content-Length: %d' % len(body)
        head = workers.response_head(request, length, *more, status=status)
        return head + body

    return handle


class BrokenStream(unittest.TestCase):
    """A stream was begun and broke off; the next server answers an error."""

    async def _read(self, handler):
        """Return what the caller reads, and whether it ended as complete."""

        def serve(request):
            if 'last-event-id' in request.headers:
                return handler(request)
            return break_off(request)

        servers = [workers.Worker(f'd{n}', 'llm', serve) for n in range(3)]
        async with fleet.Fleet(*servers) as cluster:
            exchange = await cluster.open()
            headers = cluster.request_headers(*fleet.prompt_headers())
            data, is_complete = b'', False
            try:
                await exchange.send('POST', '/read/', headers, b'')
                while not exchange.is_body_complete:
                    data += await exchange.read_some()
                is_complete = True
            except (OSError, h11.ProtocolError):
                is_complete = False
            await cluster.client.discard(exchange)
        return exchange.status, data, is_complete

    @test_front.run
    async def test_stream_without_ids_is_not_begun_again(self):
        # What the caller had was sent to it once more.
        def serve(request):
            length = b'Content-Length: 99'
            head = workers.response_head(request, length)
            return [head + b'data: a\n\n', 0.05, workers.CLOSE]

        servers = [workers.Worker(f'd{n}', 'llm', serve) for n in range(2)]
        async with fleet.Fleet(*servers) as cluster:
            exchange = await cluster.open()
            headers = cluster.request_headers(*fleet.prompt_headers())
            await exchange.send('POST', '/read/', headers, b'')
            with self.assertRaises((OSError, h11.ProtocolError)):
                await exchange.read()
            self.assertEqual(b'data: a\n\n', bytes(exchange.body))
            await cluster.client.discard(exchange)

    def test_error_is_not_part_of_the_stream(self):
        events = b'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n'
        text = b'data: the engine failed\n\nevent: error\ndata: 500\n\n'
        plain = b'HTTP/1.1 500 X\r\nX: y\r\n\r\nfailed\n\nfailed\n\n'
        for name, handler in (
            ('500', answer_whole(500, text)),
            ('500 plain', answer_whole(500, plain)),
            ('400', answer_whole(400, text)),
            ('503', answer_whole(503, text)),
            ('refusal', lambda request: refusal(request.request_id)),
            ('200 with an error', answer_whole(200, text)),
            ('200 with a head', answer_whole(200, plain)),
            ('200 with JSON', answer_whole(200, b'{"error":\n\n"x"}\n\n')),
            (
                '500 in chunks',
                lambda request: (
                    workers.response_head(request, CHUNKED, status=500)
                    + b'%x\r\n%s\r\n0\r\n\r\n' % (len(text), text)
                ),
            ),
        ):
            with self.subTest(name):
                status, data, is_complete = curio.run(self._read, handler)
                self.assertEqual((200, events), (status, data))
                self.assertFalse(is_complete)


if __name__ == '__main__':
    unittest.main()
