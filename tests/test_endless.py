"""Tests of peers that send without end.

The VM is a process of its own, so that the clock of this one shows for how
long it answers nobody else.
"""

import socket
import tempfile
import threading
import unittest

import attrs
import curio
import hypothesis
from hypothesis import strategies

from mangorock import events
from tests import fleet
from tests import ports
from tests import process
from tests import soak_world
from tests import workers

#: What a sound request may take, the target latency of its route.
TARGET_S = fleet.make_config(2)['routes'][0]['targetLatencyMs'] / 1000
MANY = 24
ENDLESS_S = 1.4
CHUNKED = b'Transfer-Encoding: chunked'
LONG_CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'


class EndlessWorker(workers.Worker):
    """A worker that answers with ``header`` and then ``piece`` for ever.

    It writes in threads of its own, as fast as the VM reads.
    """

    def __init__(self, name, service, header, piece):
        super().__init__(name, service)
        self.header, self.piece = header, piece
        self.listener = None

    async def start(self):
        """Start listening."""
        self.port = ports.free_port()
        self.listener = socket.create_server(('127.0.0.1', self.port))
        self._spawn(self._accept_blocking)

    async def close(self):
        """Stop listening; the threads end with their connections."""
        self.listener.close()

    def _spawn(self, function, *args):
        threading.Thread(target=function, args=args, daemon=True).start()

    def _accept_blocking(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                # The listener was closed.
                return
            self._spawn(self._write, sock)

    def _write(self, sock):
        with sock:
            try:
                head = sock.recv(65536).decode('latin-1')
                request_id = head.lower().partition('x-request-id: ')[2]
                request_id = request_id.partition('\r\n')[0]
                self.received.append(request_id)
                request = workers.ReceivedRequest(
                    'GET', '/', {'x-request-id': request_id}, b''
                )
                sock.sendall(workers.response_head(request, self.header))
                while True:
                    sock.sendall(self.piece)
            except OSError:
                # The VM closed the connection.
                return


def make_config():
    """Return a configuration with a plain route of another service."""
    config = fleet.make_config(2)
    config['routes'].append(
        {
            **config['routes'][0],
            'name': 'fetch',
            'prefix': '/fetch/',
            'service': 'annex',
        }
    )
    config['services'].append({'name': 'annex', 'maxConnections': 80})
    return config


@attrs.define
class Observed:
    """What callers of a sound service saw."""

    statuses: list = attrs.field(factory=list)
    longest_s: float = 0.0


async def observe(cluster, seconds):
    """Send sound requests for this time; return the `Observed`."""
    observed = Observed()
    end_s = soak_world.now() + seconds
    while soak_world.now() < end_s:
        sent_s = soak_world.now()
        observed.statuses.append(await cluster.request('/look/', 10_000))
        took_s = soak_world.now() - sent_s
        observed.longest_s = max(observed.longest_s, took_s)
        await curio.sleep(0.005)
    return observed


class EndlessAnswers(unittest.TestCase):
    """Servers that send without end delay nobody else."""

    async def _observe(self, path, service, count, *answer):
        endless = EndlessWorker('w1', service, *answer)
        with tempfile.TemporaryDirectory() as folder:
            cluster = process.Cluster(folder, make_config(), endless)
            async with cluster:
                asking = [
                    await curio.spawn(cluster.request, path)
                    for _ in range(count)
                ]
                observed = await observe(cluster, ENDLESS_S)
                for task in asking:
                    await task.join()
        self.assertTrue(endless.received)
        return observed

    def _check(self, path, service, count, *answer):
        observed = curio.run(self._observe, path, service, count, *answer)
        self.assertEqual({200}, set(observed.statuses))
        self.assertLess(observed.longest_s, TARGET_S)

    def test_many_streams_with_an_event_without_end(self):
        # Guards against a search of the whole event for each piece of it.
        self._check('/read/', 'llm', MANY, CHUNKED, LONG_CHUNK)


class SoundAnswers(unittest.TestCase):
    """Answers of sound servers stay whole, however they are cut up."""

    @hypothesis.settings(max_examples=200, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 9), min_size=1),
        strategies.sampled_from((b'\n\n', b'\r\n\r\n', b'\n\r\n', b'\r\n\n')),
    )
    def test_events_are_the_same_in_pieces_of_any_size(self, sizes, end):
        data = b''.join(b'id: %d\ndata: x%s' % (n, end) for n in range(1, 9))
        splitter, received, offset = events.EventSplitter(), b'', 0
        for number in range(len(data)):
            size = sizes[number % len(sizes)]
            received += splitter.feed(data[offset : offset + size])
            offset += size
        self.assertEqual(data, received)
        self.assertTrue(splitter.is_between_events)
        self.assertEqual(8, splitter.last_id)


if __name__ == '__main__':
    unittest.main()
