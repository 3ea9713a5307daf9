"""Tests of peers that send without end, or in the smallest pieces.

The VM is a process of its own, so that the clock of this one shows for how
long it answers nobody else.
"""

import pathlib
import socket
import tempfile
import threading
import time
import unittest

import attrs
import curio
import hypothesis
from hypothesis import strategies

from mangorock import buffers
from mangorock import events
from mangorock import turns
from mangorock_standins import ports
from tests import fleet
from tests import process
from tests import soak_world
from tests import workers

#: What a sound request may take, the target latency of its route.
TARGET_S = fleet.make_config(2)['routes'][0]['targetLatencyMs'] / 1000
MEMORY_BYTES = 160_000_000
MANY = 24
ENDLESS_S = 1.4
#: Lets the answers of several connections grow at the same time.
SHORT_PAUSE_S = 0.002
CHUNKED = b'Transfer-Encoding: chunked'
LONG = b'Content-Length: 100000000000'
ONE_BYTE_CHUNKS = b'1\r\nx\r\n' * 8192
LONG_CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'


class EndlessWorker(workers.Worker):
    """A worker that answers with ``header`` and then ``piece`` for ever.

    It writes in threads of its own, as fast as the VM reads, or with a pause
    of ``pause_s`` after each piece.
    """

    def __init__(self, name, service, header, piece, pause_s=0.0):
        super().__init__(name, service)
        self.header, self.piece, self.pause_s = header, piece, pause_s
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
                    time.sleep(self.pause_s)
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
    """What callers of a sound service saw, and the memory of the VM."""

    statuses: list = attrs.field(factory=list)
    longest_s: float = 0.0
    peak_bytes: int = 0


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
    status = pathlib.Path(f'/proc/{cluster.vm.process.pid}/status')
    for line in status.read_text().splitlines():
        if line.startswith('VmHWM:'):
            observed.peak_bytes = int(line.split()[1]) * 1024
    return observed


class EndlessAnswers(unittest.TestCase):
    """Servers that send without end delay nobody else and fill no memory."""

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
        self.assertLess(observed.peak_bytes, MEMORY_BYTES)

    def test_one_stream_in_chunks_of_one_byte(self):
        # Guards against a loop that parses as long as bytes are there.
        self._check('/read/', 'llm', 1, CHUNKED, ONE_BYTE_CHUNKS)

    def test_many_streams_in_chunks_of_one_byte(self):
        self._check('/read/', 'llm', MANY, CHUNKED, ONE_BYTE_CHUNKS)

    def test_one_plain_answer_in_chunks_of_one_byte(self):
        self._check('/fetch/', 'annex', 1, CHUNKED, ONE_BYTE_CHUNKS)

    def test_many_plain_answers_in_chunks_of_one_byte(self):
        self._check('/fetch/', 'annex', MANY, CHUNKED, ONE_BYTE_CHUNKS)

    def test_many_streams_with_an_event_without_end(self):
        # Guards against a search of the whole event for each piece of it.
        self._check('/read/', 'llm', MANY, CHUNKED, LONG_CHUNK)

    def test_many_plain_answers_without_end(self):
        self._check('/fetch/', 'annex', MANY, LONG, b'x' * 65536)

    def test_many_plain_answers_that_grow_side_by_side(self):
        # Guards against a sum of answers that nothing bounds.
        self._check(
            '/fetch/', 'annex', MANY, LONG, b'x' * 65536, SHORT_PAUSE_S
        )


class SmallPieces(unittest.TestCase):
    """A caller within all limits that sends its body byte by byte."""

    def test_body_in_chunks_of_one_byte_is_served_and_delays_nobody(self):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                async with process.Cluster(folder, make_config()) as cluster:
                    sending = await curio.spawn(
                        curio.run_in_thread, send_in_small_chunks, cluster.vm
                    )
                    observed = await observe(cluster, ENDLESS_S)
                    return observed, await sending.join()

        observed, answer = curio.run(main)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertEqual({200}, set(observed.statuses))
        self.assertLess(observed.longest_s, TARGET_S)


def send_in_small_chunks(vm):
    """Send an order of 99 kB in chunks of one byte; return the answer."""
    head = (
        f'POST /place/ HTTP/1.1\r\nHost: {fleet.HOST}\r\n'
        'X-Request-Id: small\r\nX-Deadline-Ms: 9000\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    with socket.create_connection(vm.address.split(':'), 10.0) as sock:
        sock.sendall(head.encode() + b'1\r\nx\r\n' * 99_000 + b'0\r\n\r\n')
        return sock.recv(65536)


class SoundAnswers(unittest.TestCase):
    """Answers of sound servers stay whole, however they are cut up."""

    def test_answer_in_chunks_of_one_byte_is_whole(self):
        body = bytes(range(256)) * 4

        def answer(request):
            chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
            head = workers.response_head(request, CHUNKED)
            return [head, chunks, b'0\r\n\r\n']

        async def main():
            worker = workers.Worker('w1', 'desk', answer)
            async with fleet.Fleet(worker) as cluster:
                return await cluster.request('GET', '/look/')

        exchange, received = curio.run(main)
        self.assertEqual((200, body), (exchange.status, received))

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


@attrs.define(eq=False)
class FakeExchange:
    """An answer that is being read."""

    address: str
    is_cut: bool = False

    def cut(self):
        """Record that the answer was cut off."""
        self.is_cut = True


class Bounds(unittest.TestCase):
    """The state machines that bound memory and time."""

    def test_longest_answer_is_cut_off_when_the_sum_is_too_large(self):
        held = buffers.Buffers(max_bytes=1000)
        short, long = FakeExchange('short'), FakeExchange('long')
        held.add(short, 100)
        held.add(long, 800)
        self.assertFalse(long.is_cut)
        held.add(short, 200)
        self.assertEqual((True, False), (long.is_cut, short.is_cut))
        self.assertEqual(300, held.total_bytes)
        held.remove(short)
        held.remove(long)
        self.assertEqual(0, held.total_bytes)

    def test_connections_without_credit_share_a_bounded_part_of_the_time(self):
        async def main(count):
            shared = turns.Turns()
            ended = []

            async def run():
                turn = turns.Turn(shared, credit=0.0)
                while True:
                    turn.count()
                    if turn.is_over:
                        await turn.end()
                        ended.append(turn)

            tasks = [await curio.spawn(run, daemon=True) for _ in range(count)]
            await curio.sleep(0.3)
            for task in tasks:
                await task.cancel()
            return len(ended)

        # A pause for each of them bounds the turns of all in 0.3 s.
        for count in (1, MANY):
            self.assertLessEqual(
                curio.run(main, count), 0.3 / turns.PAUSE_S + count
            )

    def test_large_pieces_cost_no_credit(self):
        turn = turns.Turn(turns.Turns())
        for _ in range(10 * turns.MAX_CREDIT_EVENTS):
            turn.count()
            turn.add_credit(turns.BYTES_PER_EVENT)
        self.assertEqual(turns.MAX_CREDIT_EVENTS, turn.credit)


if __name__ == '__main__':
    unittest.main()
