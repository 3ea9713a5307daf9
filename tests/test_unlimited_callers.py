"""Tests of callers that keep to no limit, against a VM in its own process.

Each case starts ``platform/serve.py`` with small limits of memory and
descriptors, and opens many connections that hold as much as they can.  It
checks what does not depend on the speed of the machine: the process lives, its
peak memory and its open descriptors stay under the figures of its own
settings, and an ordinary request is answered while the connections are open.
"""

import os
import pathlib
import re
import socket
import tempfile
import time
import unittest

import attrs
import curio
import orjson

from tests import fleet
from tests import process
from tests import soak_vms
from tests import soak_world
from tests import workers

# A VM at rest takes 33 to 40 MB.
MEMORY_MB = 64
MAX_FDS = 400
MANY_FDS = 4200
MAX_BODY_BYTES = 400_000
LONG_BODY_BYTES = 4 << 20
# Longer than the kernel buffers for a connection that nobody reads.
ANSWER = b'x' * 6_000_000
# Sending ends when no connection has taken a byte for this long.
QUIET_S = 1.0
MAX_SENDING_S = 20.0
MAX_UNSENT_BYTES = 65536


def head(path, *lines, method='POST'):
    """Return the head of a request, without the blank line."""
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'Host: {fleet.HOST}',
            'X-Request-Id: unlimited',
            'X-Deadline-Ms: 20000',
            *lines,
            '',
        )
    ).encode()


def announced(size, sent):
    """Yield a body of ``size`` bytes of which only ``sent`` come."""
    yield head('/place/', f'Content-Length: {size}') + b'\r\n'
    for offset in range(0, sent, 65536):
        yield b'x' * min(65536, sent - offset)


def chunked(piece, count):
    """Yield a body of ``count`` chunks with the bytes ``piece``; no end."""
    yield head('/place/', 'Transfer-Encoding: chunked') + b'\r\n'
    chunk = b'%x\r\n%s\r\n' % (len(piece), piece)
    per_send = max(1, 65536 // len(chunk))
    for offset in range(0, count, per_send):
        yield chunk * min(per_send, count - offset)


def slow_head():
    """Yield a head of 15,900 bytes that goes on byte by byte."""
    start = head('/place/')
    yield start + b'X-Padding: ' + b'x' * (15_900 - len(start))
    for _ in range(20):
        yield b'x'


def idle():
    """Yield nothing: the connection stays idle."""
    yield from ()


def pipelined(count, padding=0):
    """Yield ``count`` requests for long answers that are not read."""
    pad = f'X-Padding: {"x" * padding}'
    for _ in range(count):
        yield head('/fetch/', pad, method='GET') + b'\r\n'


@attrs.define(eq=False)
class Caller:
    """A connection that sends pieces and reads nothing by itself."""

    sock: socket.socket
    pieces: object
    rest: bytes = b''
    is_over: bool = False

    def send(self):
        """Send what the VM takes; return the number of bytes."""
        if self.is_over:
            return 0
        try:
            self.rest = self.rest or next(self.pieces)
            sent = self.sock.send(self.rest)
        except BlockingIOError:
            return 0
        except (StopIteration, OSError):
            # All is sent, or the VM closed the connection.
            self.is_over = True
            return 0
        self.rest = self.rest[sent:]
        return sent


def connect(vm):
    """Return a non-blocking connection to the VM that buffers little."""
    host, _, port = vm.address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_UNSENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_UNSENT_BYTES)
    sock.settimeout(soak_vms.START_TIMEOUT_S)
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


class Vm(soak_vms.Vm):
    """A VM with the limits of a case."""

    max_fds = MANY_FDS

    def write_settings(self):
        """Write the settings file with the limits of the case."""
        super().write_settings()
        settings = orjson.loads(self.settings_path.read_bytes())
        settings['limits']['memoryMb'] = MEMORY_MB
        settings['limits']['maxFds'] = self.max_fds
        self.settings_path.write_bytes(orjson.dumps(settings))

    def peak_bytes(self):
        """Return the peak memory of the process."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
        raise AssertionError('the process has ended')

    def open_fds(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))


class LongAnswers(workers.Worker):
    """A worker whose answers the VM may cut off."""

    async def _serve(self, sock):
        try:
            await super()._serve(sock)
        except OSError:
            # The VM closed the connection.
            return


def make_config():
    """Return a configuration with a service that answers at length."""
    config = fleet.make_config(2)
    config['limits'].update(
        maxBodyBytes=MAX_BODY_BYTES, headerTimeoutMs=60000, idleTimeoutMs=60000
    )
    config['routes'].append(
        {
            **config['routes'][0],
            'name': 'fetch',
            'prefix': '/fetch/',
            'service': 'annex',
            'timeoutMs': 20000,
        }
    )
    config['services'].append({'name': 'annex', 'maxConnections': 80})
    return config


@attrs.define
class Seen:
    """The highest figures of a case, and the last ordinary status."""

    peak_bytes: int = 0
    open_fds: int = 0
    status: int = 0
    is_alive: bool = False


def send_all(vm, makers, seen):
    """Open a connection for each maker, and send until none takes more."""
    callers = []
    for number, make_pieces in enumerate(makers):
        callers.append(Caller(connect(vm), make_pieces()))
        callers[-1].send()
        if number % 50 == 0:
            seen.open_fds = max(seen.open_fds, vm.open_fds())
    began_s = moved_s = time.monotonic()
    while time.monotonic() - moved_s < QUIET_S:
        if time.monotonic() - began_s > MAX_SENDING_S:
            break
        if sum([caller.send() for caller in callers]):
            moved_s = time.monotonic()
        else:
            time.sleep(0.01)
        seen.open_fds = max(seen.open_fds, vm.open_fds())
    return callers


async def ask_until_served(cluster):
    """Return the status of an ordinary request, the last one if not 200."""
    end_s = soak_world.now() + soak_vms.START_TIMEOUT_S
    status = 0
    while status != 200 and soak_world.now() < end_s:
        try:
            status = await cluster.request('/look/', 10_000)
        except OSError:
            status = 0
        await curio.sleep(0.05)
    return status


async def run_case(folder, max_fds, makers):
    """Send what ``makers`` make to a VM; return what was `Seen`."""
    answering = LongAnswers(
        'w1', 'annex', lambda request: workers.whole_response(request, ANSWER)
    )
    cluster = process.Cluster(folder, make_config(), answering)
    cluster.vm = Vm(0, cluster.vm.folder, cluster.vm.proxy)
    cluster.vm.max_fds = max_fds
    seen = Seen()
    async with cluster:
        callers = await curio.run_in_thread(send_all, cluster.vm, makers, seen)
        seen.status = await ask_until_served(cluster)
        seen.is_alive = cluster.vm.process.poll() is None
        if seen.is_alive:
            seen.peak_bytes = cluster.vm.peak_bytes()
            seen.open_fds = max(seen.open_fds, cluster.vm.open_fds())
        for caller in callers:
            caller.sock.close()
    return seen


class UnlimitedCallers(unittest.TestCase):
    """Whatever callers send or leave, the VM lives and serves others."""

    def _check(self, makers, max_fds=MANY_FDS):
        with tempfile.TemporaryDirectory() as folder:
            seen = curio.run(run_case, folder, max_fds, makers)
        print(f'{self._testMethodName}: {seen}')
        self.assertTrue(seen.is_alive)
        self.assertEqual(200, seen.status)
        self.assertLess(seen.peak_bytes, MEMORY_MB * 1_000_000)
        self.assertLess(seen.open_fds, max_fds)

    def test_announced_bodies_that_stop_one_byte_short(self):
        # Guards against a sum of bodies that nothing bounds.
        size = MAX_BODY_BYTES - 1
        self._check([lambda: announced(size, size - 1)] * 200)

    def test_bodies_in_long_chunks_that_stop_short(self):
        self._check([lambda: chunked(b'x' * 65536, 6)] * 200)

    def test_bodies_in_chunks_of_one_byte_that_stop_short(self):
        # Guards against bytes that were received and not parsed yet.
        self._check([lambda: chunked(b'x', 30_000)] * 800)

    def test_announced_bodies_far_over_the_limit(self):
        self._check([lambda: announced(10**12, 10**8)] * 400)

    def test_chunked_bodies_far_over_the_limit(self):
        self._check([lambda: chunked(b'x' * 65536, 10**6)] * 400)

    def test_heads_that_go_on_byte_by_byte(self):
        self._check([slow_head] * 2000)

    def test_idle_connections_beyond_the_descriptors(self):
        # Guards against a limit on descriptors that accepting runs into.
        self._check([idle] * 600, MAX_FDS)

    def test_bodies_that_stop_short_beyond_the_descriptors(self):
        self._check([lambda: announced(1000, 999)] * 600, MAX_FDS)

    def test_pipelined_requests_whose_answers_nobody_reads(self):
        # Guards against answers that pile up at callers who do not read.
        self._check([lambda: pipelined(40, 8000)] * 30)

    def test_slow_readers_of_long_answers(self):
        self._check([lambda: pipelined(1)] * 80)

    def test_probes_that_stay_open_beyond_the_descriptors(self):
        # Guards against addresses for probes that nothing bounds.
        with tempfile.TemporaryDirectory() as folder:
            seen = curio.run(run_probes, folder)
        self.assertEqual(200, seen.status)
        self.assertLess(seen.open_fds, MAX_FDS)


async def run_probes(folder):
    """Open idle connections to the address for probes."""
    cluster = process.Cluster(folder, make_config())
    cluster.vm = Vm(0, cluster.vm.folder, cluster.vm.proxy)
    cluster.vm.max_fds = MAX_FDS
    async with cluster:
        socks = [
            socket.create_connection((cluster.vm.ip, 8140))
            for _ in range(MAX_FDS)
        ]
        status = await ask_until_served(cluster)
        seen = Seen(open_fds=cluster.vm.open_fds(), status=status)
        probe = await cluster.client.open(f'{cluster.vm.ip}:8140', True)
        await probe.send('GET', '/', [], b'')
        await cluster.client.discard(probe)
        seen.status = min(status, probe.status)
        for sock in socks:
            sock.close()
    return seen


class Alone(unittest.TestCase):
    """A caller inside the limits is served when nobody else needs room."""

    def _ask(self, pieces, read_bytes=65536, pause_s=0.0):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                answering = LongAnswers(
                    'w1', 'annex', lambda r: workers.whole_response(r, ANSWER)
                )
                config = make_config()
                config['limits']['maxBodyBytes'] = LONG_BODY_BYTES
                for route in config['routes']:
                    route['timeoutMs'] = 20000
                cluster = process.Cluster(folder, config, answering)
                cluster.vm = Vm(0, cluster.vm.folder, cluster.vm.proxy)
                async with cluster:
                    return await curio.run_in_thread(
                        exchange, cluster.vm, pieces, read_bytes, pause_s
                    )

        return curio.run(main)

    def test_longest_body_is_served(self):
        answer = self._ask(announced(LONG_BODY_BYTES, LONG_BODY_BYTES))
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:200])

    def test_longest_body_in_small_chunks_is_served(self):
        chunks = chunked(b'x' * 64, LONG_BODY_BYTES // 64)
        answer = self._ask([*chunks, b'0\r\n\r\n'])
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:200])

    def test_slow_reader_of_a_long_answer_gets_all_of_it(self):
        answer = self._ask(pipelined(1), 65536, 0.01)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer[:200])
        self.assertTrue(answer.endswith(ANSWER))


def exchange(vm, pieces, read_bytes, pause_s):
    """Send a request on a new connection; return the whole answer."""
    sock = connect(vm)
    sock.settimeout(soak_vms.START_TIMEOUT_S)
    with sock:
        for piece in pieces:
            sock.sendall(piece)
        answer = bytearray()
        while True:
            head_bytes, _, body = bytes(answer[:4096]).partition(b'\r\n\r\n')
            length = re.search(rb'(?i)content-length: (\d+)', head_bytes)
            if body and length:
                whole = len(head_bytes) + 4 + int(length.group(1))
                if len(answer) >= whole:
                    return bytes(answer)
            data = sock.recv(read_bytes)
            if not data:
                return bytes(answer)
            answer += data
            time.sleep(pause_s)


if __name__ == '__main__':
    unittest.main()
