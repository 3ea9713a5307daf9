"""Tests of servers that write answers where they do not belong."""

import unittest

import curio

from tests import fleet
from tests import test_front
from tests import workers

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


if __name__ == '__main__':
    unittest.main()
