"""Tests of refusals of HEAD requests, whose answers have no body.

The text of the refusal was written behind the head, which h11 refuses: the
connection ended without an answer.
"""

import unittest

import curio

from mangorock import client
from mangorock import errors
from mangorock import http
from tests import fleet
from tests import test_front
from tests import workers


class HeadRequests(unittest.TestCase):
    """A refused HEAD request gets its status, on a connection kept open."""

    @test_front.run
    async def test_front_answers(self):
        def break_off(request):
            del request
            return [workers.CLOSE]

        worker = workers.Worker('w1', 'desk', break_off)
        statuses = []
        async with fleet.Fleet(worker) as cluster:
            exchange = await cluster.open()
            for path in ('/none/', '/place/', '/none/'):
                headers = cluster.request_headers()
                await exchange.send('HEAD', path, headers, b'')
                statuses.append((exchange.status, await exchange.read()))
                exchange.conn.start_next_cycle()
            await cluster.client.discard(exchange)
        self.assertEqual([(404, b''), (502, b''), (404, b'')], statuses)

    def test_daemon_answers(self):
        status, body = curio.run(self._ask_daemon)
        self.assertEqual((500, b''), (status, body))

    async def _ask_daemon(self):
        async def refuse(request, responder):
            del request
            await http.send_error(responder, errors.Internal('failed'))

        listener = http.listen('127.0.0.1', 0)
        host, port = listener.getsockname()
        serving = await curio.spawn(http.serve, listener, refuse, 100)
        try:
            return await client.Client().call(f'{host}:{port}', 'HEAD', '/')
        finally:
            await serving.cancel()


if __name__ == '__main__':
    unittest.main()
