"""Tests answers with neither a length nor chunks, over loopback."""

import socket
import struct
import unittest

import curio
import h11

from tests import fleet
from tests import workers

#: Part of a response: the worker resets the connection.
RESET = object()


class ResettingWorker(workers.Worker):
    """A worker that can reset a connection instead of closing it."""

    async def _send_response(self, sock, parts):
        if isinstance(parts, list) and parts[-1] is RESET:
            await super()._send_response(sock, parts[:-1])
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False
        return await super()._send_response(sock, parts)


def events(first, last):
    """Return the events ``first`` to ``last`` without chunks."""
    _, _, data = workers.event_chunks(first, last).partition(b'\r\n')
    return data[:-2]


def stream(request, last=4):
    """Return a stream that ends with its connection."""
    first = int(request.headers.get('last-event-id', 0)) + 1
    return [workers.response_head(request), events(first, last), workers.CLOSE]


def break_inside_event(request):
    """Return a stream whose connection ends inside its third event."""
    data = events(1, 3)[:-4]
    return [workers.response_head(request), data, workers.CLOSE]


async def read_stream(cluster, path):
    """Return the status and the events; an answer broken off raises."""
    exchange = await cluster.open()
    request_headers = cluster.request_headers(*fleet.prompt_headers())
    try:
        await exchange.send('GET', path, request_headers, b'')
        return exchange.status, await exchange.read()
    finally:
        await cluster.client.discard(exchange)


class AnswersThatEndWithTheirConnection(unittest.TestCase):
    """What is complete without a length, and what has been broken off."""

    def test_stream_without_length_is_whole(self):
        async def main():
            worker = workers.Worker('w1', 'llm', stream)
            async with fleet.Fleet(worker) as cluster:
                for path in ('/read/', '/ask/'):
                    answer = await read_stream(cluster, path)
                    self.assertEqual((200, events(1, 4)), answer)

        curio.run(main)

    def test_plain_answer_without_length_is_whole(self):
        def respond(request):
            return [
                workers.response_head(request),
                b'do',
                b'ne',
                workers.CLOSE,
            ]

        async def main():
            worker = workers.Worker('w1', 'desk', respond)
            async with fleet.Fleet(worker) as cluster:
                exchange, body = await cluster.request('GET', '/look/')
                self.assertEqual((200, b'done'), (exchange.status, body))
                self.assertEqual(1, len(worker.received))

        curio.run(main)

    def test_stream_that_ends_inside_an_event_is_resumed(self):
        async def main():
            engines = [
                workers.Worker('w1', 'llm', break_inside_event),
                workers.Worker('w2', 'llm', stream),
            ]
            # A new fleet each time: its retry budget covers one retry,
            # whichever engine it tries first.
            for _ in range(4):
                async with fleet.Fleet(*engines) as cluster:
                    answer = await read_stream(cluster, '/read/')
                    self.assertEqual((200, events(1, 4)), answer)
            self.assertTrue(engines[0].received)

        curio.run(main)

    def test_stream_that_ends_inside_an_event_does_not_look_whole(self):
        async def main():
            worker = workers.Worker('w1', 'llm', break_inside_event)
            async with fleet.Fleet(worker) as cluster:
                with self.assertRaises((OSError, h11.ProtocolError)):
                    await read_stream(cluster, '/ask/')

        curio.run(main)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        def reset(request):
            return [workers.response_head(request), b'do', 0.05, RESET]

        async def main():
            worker = ResettingWorker('w1', 'desk', reset)
            async with fleet.Fleet(worker) as cluster:
                exchange, _ = await cluster.request(
                    'POST', '/place/', body=b'order'
                )
                self.assertEqual(502, exchange.status)

        curio.run(main)
