"""Tests that servers that name a limit on requests get no more."""

import time
import unittest
from unittest import mock

import curio

from mangorock import limit_refusals
from mangorock import rate_limits
from tests import fleet
from tests import test_front
from tests import test_rate_limits
from tests import workers

LIMIT_PER_S = 2.0
# The users allow 1.5 times the limit and 5 requests in any 4 s, from 3 s
# after the server first named it.
BEGIN_S, WINDOW_S, ALLOWED = 3.0, 4.0, 17


def name_limit(request):
    """Return a complete response that names the limit."""
    length = b'Content-Length: 4'
    limit = b'Server-Limit: %.1f' % LIMIT_PER_S
    return workers.response_head(request, length, limit) + b'done'


class OneVm(unittest.TestCase):
    """Callers ask a VM for more than a server in need takes.

    The limit was not read, and a server with few requests in flight looked
    idle, so that it got most of them.
    """

    @test_front.run
    async def test_server_gets_no_more_than_it_takes(self):
        limited = workers.Worker('w1', 'desk', name_limit)
        other = workers.Worker('w2', 'desk', workers.whole_response)
        arrivals_s, statuses = [], []

        def answer(request):
            arrivals_s.append(time.monotonic())
            return name_limit(request)

        limited.script = [answer]
        async with fleet.Fleet(limited, other) as cluster:
            begin_s = time.monotonic()
            while time.monotonic() - begin_s < BEGIN_S + WINDOW_S + 1.0:
                exchange, _ = await cluster.request('GET', '/look/')
                statuses.append(exchange.status)
                await curio.sleep(0.02)
        self.assertEqual({200}, set(statuses))
        named_s = arrivals_s[0]
        counted = [s for s in arrivals_s if s >= named_s + BEGIN_S]
        for first_s in counted:
            window = [s for s in counted if 0 <= s - first_s <= WINDOW_S]
            self.assertLessEqual(len(window), ALLOWED)
        self.assertTrue(counted)

    async def _ask_at_once(self, servers, method, path, *headers):
        """Return the responses to 40 requests after the limit is known.

        They are refused without waiting for their turn until their time is
        over.
        """
        found = []
        async with fleet.Fleet(*servers) as cluster:

            async def ask():
                exchange, _ = await cluster.request(method, path, *headers)
                found.append(exchange)

            await ask()
            counts = cluster.front.metrics.counts
            tasks = [await curio.spawn(ask) for _ in range(40)]
            for task in tasks:
                await task.join()
            self.assertGreater(counts['refused_at_server_limit'], 30)
        self.assertNotIn('server-limit', found[0].headers)
        refused = [exchange for exchange in found if exchange.status == 503]
        self.assertGreater(len(refused), 30)
        for exchange in refused:
            self.assertGreater(float(exchange.headers['retry-after']), 0)

    @test_front.run
    async def test_request_that_no_server_takes_in_time_is_refused(self):
        server = workers.Worker('w1', 'desk', name_limit)
        await self._ask_at_once([server], 'GET', '/look/')

    @test_front.run
    async def test_prompt_that_no_engine_takes_in_time_is_refused(self):
        # An engine that only prefills cannot serve it.
        def name_limit_in_stream(request):
            limit = b'Server-Limit: %.1f' % LIMIT_PER_S
            chunked = b'Transfer-Encoding: chunked'
            head = workers.response_head(request, limit, chunked)
            return head + workers.event_chunks(1, 4) + b'0\r\n\r\n'

        engines = [
            workers.Worker('d1', 'llm', name_limit_in_stream, stage='decode'),
            workers.Worker(
                'p1', 'llm', workers.whole_response, stage='prefill'
            ),
        ]
        headers = fleet.prompt_headers()
        await self._ask_at_once(engines, 'POST', '/read/', *headers)


class OtherServers(unittest.TestCase):
    """Servers without a limit, while others state one."""

    def test_request_past_its_target_is_left_to_the_queue(self):
        # It was refused with Retry-After 0, as nothing was to be waited for.
        limits = rate_limits.RateLimits('vm-1')
        limited, other = (test_rate_limits.make_server(n) for n in (1, 2))
        limits.on_told(limited, 2.0, time.time(), 0.0)
        gateway = mock.Mock()
        gateway.registry.rates = limits
        gateway.untried_servers.return_value = [other]
        limit_refusals.check_turn(gateway, None, time.monotonic() - 1.0, 0)


if __name__ == '__main__':
    unittest.main()
