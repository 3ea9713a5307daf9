"""Tests of the number of servers on which one request runs."""

import unittest

from tests import fleet
from tests import test_front
from tests import workers

LONG_PROMPT = fleet.prompt_headers(9000, 'doc:7000,own:2900')


def prefill(request):
    """Accept a call that only prefills the prompt."""
    return workers.whole_response(request, b'{"handle":"h1","tokens":9}')


def lose(request):
    """Accept a request whose answer is lost."""
    del request
    return [0.05, workers.CLOSE]


def break_off(request):
    """Break a stream off, and resume one that was broken off."""
    if 'last-event-id' in request.headers:
        return workers.stream_response(request)
    head = workers.response_head(request, b'Transfer-Encoding: chunked')
    return [head + workers.event_chunks(1, 2), 0.1, workers.CLOSE]


def make_servers(prefill_script, decode_script):
    """Return two prefill engines and two decode engines."""
    return [
        *(
            workers.Worker(f'p{n}', 'llm', *prefill_script, stage='prefill')
            for n in range(2)
        ),
        *(
            workers.Worker(f'd{n}', 'llm', decode_script, stage='decode')
            for n in range(2)
        ),
    ]


def count_servers(servers):
    """Return on how many servers a single request counts as run.

    The first accepted call that only prefills does not count.
    """
    received = [
        sum(request.method == 'POST' for request in server.received)
        for server in servers
    ]
    is_prefilled = any(received[:2])
    return sum(received) - is_prefilled


async def send(cluster, path):
    """Send a long prompt; return the status and the number of events."""
    exchange, body = await cluster.request(
        'POST', path, *LONG_PROMPT, body=b'q'
    )
    return exchange.status, body.count(b'data: ')


class ServersOfARequest(unittest.TestCase):
    """A request runs on no more servers than its route allows.

    Calls that only prefill the prompt count from the second accepted one on;
    they were left out.
    """

    @test_front.run
    async def test_lost_prefill_leaves_the_only_server_to_the_decode(self):
        servers = make_servers((lose, prefill), workers.stream_response)
        servers[1].script = servers[0].script
        async with fleet.Fleet(*servers) as cluster:
            self.assertEqual((200, 4), await send(cluster, '/ask/'))
        self.assertEqual(1, count_servers(servers))

    @test_front.run
    async def test_refused_prefill_is_sent_elsewhere(self):
        script = workers.not_executed_response, prefill
        servers = make_servers(script, workers.stream_response)
        servers[1].script = servers[0].script
        async with fleet.Fleet(*servers) as cluster:
            self.assertEqual((200, 4), await send(cluster, '/ask/'))

    @test_front.run
    async def test_stream_is_resumed_without_a_prefill_too_many(self):
        servers = make_servers((prefill,), break_off)
        async with fleet.Fleet(*servers) as cluster:
            self.assertEqual((200, 4), await send(cluster, '/read/'))
        self.assertEqual(2, count_servers(servers))


if __name__ == '__main__':
    unittest.main()
