"""Tests requests that met an interruption, and are answered all the same."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import curio
import orjson

from tests import fleet
from tests import test_signals
from tests import workers

IDLE_TIMEOUT_S = 0.4
# Longer than a stream of the route may be silent before another server is
# tried, shorter than the time until its caller gives up.
SILENCE_S = 1.3
EVENTS = 4
END_TIMEOUT_S = 20.0


def make_request_bytes(request_id):
    """Return a whole request to the plain route."""
    lines = (
        'POST /look/1 HTTP/1.1',
        f'Host: {fleet.HOST}',
        f'X-Request-Id: {request_id}',
        'X-Deadline-Ms: 1400',
        'Content-Length: 0',
    )
    return '\r\n'.join([*lines, '', '']).encode()


class RepeatedSignals(unittest.TestCase):
    """A signal that arrives while the last one is handled is handled too.

    The handler sets an event under a lock.  The next signal interrupted it
    there and waited for that lock, so the process stood still for ever and
    answered nobody, also not after SIGTERM.
    """

    def _status_after(self, *numbers):
        """Return the exit status of a VM that gets these signals."""
        rng = random.Random(1)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            path.write_bytes(orjson.dumps(test_signals.make_settings()))
            process = subprocess.Popen(
                [sys.executable, str(fleet.ROOT / 'platform' / 'serve.py')],
                env={**os.environ, 'MANGOROCK_BOOT': str(path)},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            with process:
                lines = [process.stdout.readline()]
                while b'event=started' not in lines[-1]:
                    # No line is left only of a process that has ended.
                    self.assertTrue(lines[-1], b''.join(lines))
                    lines.append(process.stdout.readline())
                for number in numbers:
                    process.send_signal(number)
                    end_s = time.perf_counter() + rng.uniform(0.0, 0.0003)
                    while time.perf_counter() < end_s:
                        pass
                try:
                    process.communicate(timeout=END_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
        return process.returncode

    def test_hangups_in_quick_succession(self):
        sent = [signal.SIGHUP] * 200 + [signal.SIGTERM]
        self.assertEqual(0, self._status_after(*sent))

    def test_stops_in_quick_succession(self):
        self.assertEqual(0, self._status_after(*[signal.SIGTERM] * 50))


class IdleTimeout(unittest.TestCase):
    """A request that came before its connection expired is answered.

    A process that was stopped by a signal while it waited for data looks at
    its timers before it looks for data, so the idle timeout closed the
    connection with the request unread.
    """

    async def _request_while_halted(self):
        config = fleet.make_config(2)
        config['limits']['idleTimeoutMs'] = IDLE_TIMEOUT_S * 1000
        worker = workers.Worker('desk-1', 'desk', workers.whole_response)
        async with fleet.Fleet(worker, config=config) as running:
            with socket.create_connection(
                running.settings.caller_address
            ) as caller:
                # The idle timeout begins as the connection is accepted.
                await fleet.wait_until(
                    lambda: running.front.ingress.connections
                )
                self._halt(caller)
                await curio.sleep(0.3)
                caller.setblocking(False)
                return await self._read(caller)

    def _halt(self, caller):
        """Have a request arrive while the process handles a signal."""

        def on_alarm(number, frame):
            del number, frame
            caller.sendall(make_request_bytes('r1'))
            time.sleep(2 * IDLE_TIMEOUT_S)

        previous = signal.signal(signal.SIGALRM, on_alarm)
        self.addCleanup(signal.signal, signal.SIGALRM, previous)
        signal.setitimer(signal.ITIMER_REAL, 0.1)

    async def _read(self, caller):
        async with curio.timeout_after(2.0):
            while True:
                try:
                    return caller.recv(65536)
                except BlockingIOError:
                    await curio.sleep(0.01)

    def test_request_that_arrived_in_time_is_answered(self):
        answer = curio.run(self._request_while_halted)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)


def stream_with_silence(request):
    """Return a sound stream that pauses after its second event."""
    first = int(request.headers.get('last-event-id', 0)) + 1
    head = workers.response_head(request, b'Transfer-Encoding: chunked')
    parts = [head]
    if first <= 2:
        parts += [workers.event_chunks(first, 2), SILENCE_S]
    rest = workers.event_chunks(max(first, 3), EVENTS)
    return [*parts, rest, b'0\r\n\r\n']


def prefill(request):
    """Return the answer of an engine that prefills a prompt."""
    return workers.whole_response(request, orjson.dumps({'handle': 'h1'}))


class SilentStream(unittest.TestCase):
    """A stream is not cut because its sound server paused.

    The server was given up after a second of silence, and only then did it
    turn out that no retry was left or that no other server could go on.  What
    had begun was reset, although the server would have gone on in time.
    """

    async def _stream(self, decode_count, repeats):
        """Return the body of a stream of a long prompt that pauses."""
        config = fleet.make_config(2)
        config['routes'][2]['timeoutMs'] = 5000
        engines = [
            workers.Worker(
                f'decode-{number}',
                'llm',
                stream_with_silence,
                stage='decode',
            )
            for number in range(decode_count)
        ]
        engines.append(
            workers.Worker('prefill-1', 'llm', prefill, stage='prefill')
        )
        async with fleet.Fleet(*engines, config=config) as running:
            running.allow_repeats(repeats)
            headers = fleet.prompt_headers(9000, 'd1:6000,o:3000')
            deadline = ('x-deadline-ms', '4500')
            _, body = await running.request(
                'POST', '/read/1', deadline, *headers
            )
        return body

    def _check(self, decode_count, repeats):
        body = curio.run(self._stream, decode_count, repeats)
        expected = b''.join(
            b'id: %d\ndata: piece %d\n\n' % (number, number)
            for number in range(1, EVENTS + 1)
        )
        self.assertEqual(expected, body)

    def test_silence_with_no_retry_left(self):
        self._check(decode_count=3, repeats=0)

    def test_silence_with_one_retry_left_but_none_for_the_prefill(self):
        self._check(decode_count=3, repeats=1)

    def test_silence_without_another_server(self):
        self._check(decode_count=1, repeats=10)


if __name__ == '__main__':
    unittest.main()
