"""Tests of servers that cut off one answer and write the next behind it.

The rest of the line that was cut is then the status line of the next answer:
its headers, with the id of the request, come under the first status.
"""

import unittest

import curio
import h11

from mangorock import client
from tests import fleet
from tests import test_front
from tests import workers


def heads(request_id):
    """Return heads of answers to another request, a refusal and a success."""
    name = b'X-Request-Id: ' + request_id.encode()
    refusal = b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n' + name
    success = b'HTTP/1.1 200 OK\r\n' + name + b'\r\nX-Response-Signature: a1.0'
    return refusal, success


class EachCut(unittest.TestCase):
    """Wherever an answer is cut, its status is not that of the next one."""

    async def _statuses(self):
        """Return the status by what came before an answer with status 500."""
        cuts = [h[:end] for h in heads('r1') for end in range(1, len(h) + 1)]
        cuts.append(b'HTTP/1.1 100 Continue\r\nX-Note: ')
        left, statuses = list(cuts), {}

        def answer(request):
            return left.pop(0) + workers.whole_response(request, status=500)

        worker = workers.Worker('w1', 'desk', answer)
        caller = client.Client()
        await worker.start()
        for cut in cuts:
            exchange = await caller.open(worker.address, True)
            headers = [('x-request-id', 'r2')]
            try:
                async with curio.timeout_after(0.5):
                    await exchange.send('GET', '/', headers, b'')
                statuses[cut] = exchange.status
            except (OSError, h11.ProtocolError):
                statuses[cut] = None
            except curio.TaskTimeout:
                statuses[cut] = 'silent'
            await caller.discard(exchange)
        await worker.close()
        return statuses

    def test_joined_answers_are_no_answer(self):
        statuses = curio.run(self._statuses)
        self.assertEqual({None}, set(statuses.values()), statuses)


class CutCopy(unittest.TestCase):
    """The copy of an earlier answer is cut where the next one is due.

    A request that ran was answered 503, and a failure of the server 200.
    """

    async def _status(self, which, status):
        """Return what the caller of a second request gets."""

        def answer(request):
            first = worker.received[0]
            if request is first:
                return workers.whole_response(request)
            cut = heads(first.request_id)[which]
            return [cut, 0.02, workers.whole_response(request, status=status)]

        worker = workers.Worker('w1', 'desk', answer)
        async with fleet.Fleet(worker) as cluster:
            await cluster.request('POST', '/place/', body=b'o')
            exchange, _ = await cluster.request('POST', '/place/', body=b'o')
        self.assertEqual([1, 1], [r.connection for r in worker.received])
        return exchange.status

    @test_front.run
    async def test_request_that_ran_is_not_refused(self):
        self.assertEqual(502, await self._status(0, 200))

    @test_front.run
    async def test_failure_is_no_success(self):
        self.assertEqual(502, await self._status(1, 500))


if __name__ == '__main__':
    unittest.main()
