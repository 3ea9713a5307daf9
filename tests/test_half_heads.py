"""Tests of servers that stop within the head of an answer and close."""

import unittest

import curio
import h11

from tests import fleet
from tests import test_front
from tests import workers

STATUS = b'HTTP/1.1 200 OK\r\n'
SIGNED = b'X-Response-Signature: ' + workers.SIGNATURE + b'\r\n'


def parts_of_heads(request):
    """Return the parts after which a server stops, by what is incomplete."""
    name = b'X-Request-Id: ' + request.request_id.encode() + b'\r\n'
    length = b'Content-Length: 4\r\n'
    chunked = b'Transfer-Encoding: chunked\r\n'
    head = STATUS + name + SIGNED
    return {
        'nothing': b'',
        'status line': STATUS[:10],
        'status line without its end': STATUS[:-2],
        'status line alone': STATUS,
        'header name': head + b'Content-Le',
        'header value': head + length[:-2],
        'length with half its end': head + length[:-1],
        'blank line missing': head + length,
        'half of the blank line': head + length + b'\r',
        'no length, no blank line': head,
        'chunked, no blank line': head + chunked,
        'whole head, half a body': head + length + b'\r\ndo',
        'whole head, no chunk': head + chunked + b'\r\n',
        'whole head, half a chunk': head + chunked + b'\r\n4\r\ndo',
        'whole head, no last chunk': head + chunked + b'\r\n4\r\ndone\r\n',
        'bare line feeds': head.replace(b'\r\n', b'\n') + b'Content-Le',
        'interim answer alone': b'HTTP/1.1 100 Continue\r\n\r\n' + STATUS,
    }


FORMS = tuple(parts_of_heads(workers.ReceivedRequest('', '', {}, b'')))


def stop_within(form):
    """Return a handler that stops in this form and closes."""

    def handle(request):
        return [parts_of_heads(request)[form], workers.CLOSE]

    return handle


class HalfHeads(unittest.TestCase):
    """Such an answer is a failure, never a success that looks whole."""

    @test_front.run
    async def test_plain_request_gets_a_failure(self):
        # Guards against a 200 with an empty or short body.
        for form in FORMS:
            with self.subTest(form=form):
                worker = workers.Worker('w1', 'desk', stop_within(form))
                async with fleet.Fleet(worker) as cluster:
                    exchange, _ = await cluster.request(
                        'POST', '/place/', body=b'order'
                    )
                self.assertEqual(502, exchange.status)
                self.assertEqual(1, len(worker.received))

    @test_front.run
    async def test_stream_gets_a_failure_or_is_broken_off(self):
        for form in FORMS:
            with self.subTest(form=form):
                worker = workers.Worker('w1', 'llm', stop_within(form))
                async with fleet.Fleet(worker) as cluster:
                    self.assertNotEqual(200, await self._status(cluster))

    async def _status(self, cluster):
        """Return the status of a stream, 0 if it is broken off."""
        exchange = await cluster.open()
        headers = cluster.request_headers(*fleet.prompt_headers())
        try:
            await exchange.send('GET', '/ask/', headers, b'')
            await exchange.read()
        except (OSError, h11.ProtocolError):
            return 0
        finally:
            await cluster.client.discard(exchange)
        return exchange.status

    @test_front.run
    async def test_repeatable_request_goes_to_another_server(self):
        for form in FORMS:
            with self.subTest(form=form):
                broken = workers.Worker('w1', 'desk', stop_within(form))
                sound = workers.Worker('w2', 'desk', workers.whole_response)
                async with fleet.Fleet(broken, sound) as cluster:
                    for _ in range(3):
                        async with curio.timeout_after(2.0):
                            exchange, body = await cluster.request(
                                'GET', '/look/'
                            )
                        self.assertEqual(
                            (200, b'done'), (exchange.status, body)
                        )


if __name__ == '__main__':
    unittest.main()
