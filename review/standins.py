"""Stand-ins for the platform of the users' pages, for the review's scripts.

They need the standard library only.  `Store` is the platform's store,
`Worker` a plain worker, `Vm` starts the project's program of the deploy file
as a process.  All addresses are loopback addresses; times are those of the
monotonic clock.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
# The bounds of the small deployments (SYSTEM.md).
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lostMs': 200,
    'configMs': 2000,
    'rollbackSlackMs': 250,
    'maxSkewMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 56,
    'recoveryS': 12,
    'transitMs': 120,
    'retryAfterS': 9.8,
    'fencingRequired': True,
    'leaseMs': 3000,
    'thawMs': 300,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self.start_s = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def write(self, text):
        """Write one line with the seconds since the start."""
        now = time.monotonic() - self.start_s
        self.file.write(f'{now:9.3f} {text}\n')

    def close(self):
        """Close the file."""
        self.file.close()


def free_port(ip='127.0.0.1'):
    """Return a TCP port of ``ip`` that is free now."""
    while True:
        port = random.randint(10000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port


def free_ip(number):
    """Return a loopback address on which the fixed ports are free."""
    while True:
        ip = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ip = f'{ip}.{10 + number}'
        try:
            for kind, port in (
                (socket.SOCK_STREAM, 9464),
                (socket.SOCK_DGRAM, 7660),
            ):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return ip


async def read_message(reader):
    """Return (first line, headers, body) of an HTTP message, None at EOF."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).strip() or b'0', 16)
                data = await reader.readexactly(size + 2)
                body += data[:-2]
                if not size:
                    break
        else:
            size = int(headers.get('content-length', 0))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def encode_answer(status, body=b'', headers=()):
    """Return the bytes of an HTTP answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store:
    """The platform's store, with one address for each machine.

    ``silent`` holds the machines that get no response at the moment.  A
    channel on which a response was lost returns nothing further.
    ``watches`` has the time at which each machine's newest watch of a prefix
    arrived.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 0
        self.silent = set()
        self.watches = {}
        self.lost_responses = 0
        self.changed = asyncio.Event()
        self.servers = []

    async def listen(self, machine):
        """Serve a machine; return the address for its settings."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.servers.append(server)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Write a key and return its revision, which is the ack."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (until_s, _) in list(self.leases.items()):
            if now > until_s:
                del self.leases[lease]
                for key, item in list(self.items.items()):
                    if item['lease'] == lease:
                        self.remove(key)

    async def _serve(self, machine, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, _, body = message
                status, answer = await self._answer(machine, first, body)
                if machine in self.silent:
                    self.lost_responses += 1
                    self.record.write(f'store: no response to {machine}')
                    # Nothing further comes on this channel.
                    while await reader.read(65536):
                        continue
                    return
                data = json.dumps(answer).encode()
                json_type = ('Content-Type', 'application/json')
                writer.write(encode_answer(status, data, [json_type]))
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    async def _answer(self, machine, first, body):
        await asyncio.sleep(0.004)
        self._expire()
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        data = json.loads(body) if body else {}
        if path == '/-/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            items = [self.items[key] for key in keys[:50]]
            return 200, {
                'items': items,
                'hasMore': len(keys) > 50,
                'storeRevision': self.revision,
            }
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'storeRevision': self.revision}
        if path == '/-/kv-watch':
            return await self._watch(machine, query)
        if path == '/-/kv-lease':
            self.last_lease += 1
            ttl_s = data['ttlMs'] / 1000
            self.leases[self.last_lease] = time.monotonic() + ttl_s, ttl_s
            return 200, {'lease': self.last_lease, 'ttlMs': data['ttlMs']}
        if path.startswith('/-/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = time.monotonic() + ttl_s, ttl_s
            return 200, {}
        if path == '/-/kv-txn':
            return self._write(data)
        return 400, {}

    def _write(self, data):
        known = [
            self.items.get(row['key'], {'key': row['key'], 'revision': 0})
            for row in data.get('expected', ())
        ]
        for row, item in zip(data.get('expected', ()), known):
            if row['revision'] != item['revision']:
                return 412, {'items': known}
        for row in data.get('setKeys', ()):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in data.get('setKeys', ()):
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row.get('lease', 0))
        for key in data.get('remove', ()):
            self.remove(key)
        return 200, {'revision': self.revision}

    async def _watch(self, machine, query):
        now = time.monotonic()
        self.watches[machine, query['prefix']] = now
        end_s = now + int(query['waitMs']) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for event in self.events
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': self.revision,
                }
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue


class Worker:
    """A plain worker of a service, under its id in the store."""

    def __init__(
        self, name, service, zone, record, on_request, work_s, stage=None
    ):
        self.stage = stage
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.on_request = on_request
        self.work_s = work_s
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.running = 0
        self.cut = []
        self.server = None
        self.writers = {}

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', free_port()
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def entry(self, state='ready'):
        """Return the entry for the store."""
        entry = {'stage': self.stage} if self.stage else {}
        return {
            **entry,
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def exit(self):
        """End: accept no channels and close all, also those at work."""
        self.server.close()
        for writer, request_id in list(self.writers.items()):
            if request_id:
                self.cut.append(request_id)
                self.record.write(f'{self.name}: exits, cuts {request_id}')
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers[writer] = ''
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                _, headers, _ = message
                request_id = headers.get('x-request-id', '')
                echo = [
                    ('X-Request-Id', request_id),
                    ('Keep-Alive', 'timeout=10'),
                ]
                expected = headers.get('x-expect-instance', self.name)
                if expected != self.name:
                    echo.append(('X-Not-Executed', '1'))
                    writer.write(encode_answer(421, b'', echo))
                    continue
                self.writers[writer] = request_id
                self.on_request(self, request_id, headers)
                self.running += 1
                await asyncio.sleep(self.work_s)
                self.running -= 1
                load = f'{self.running},0,6'
                echo += [
                    ('X-Response-Signature', f's.{self.name}.{request_id}'),
                    ('X-Instance-Load', load),
                ]
                body = f'done {request_id} by {self.name}'.encode()
                writer.write(encode_answer(200, body, echo))
                await writer.drain()
                self.writers[writer] = ''
        except OSError:
            return
        finally:
            self.writers.pop(writer, None)
            writer.close()


class Vm:
    """A machine of class front: the program of the deploy file."""

    def __init__(self, name, zone, store_address, folder):
        self.name = name
        self.zone = zone
        self.folder = pathlib.Path(folder)
        self.ip = free_ip(0)
        self.front = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.store_address = store_address
        self.process = None

    async def start(self):
        """Write the settings and start the process."""
        path = self.folder / f'{self.name}.json'
        settings = {
            'nodeName': self.name,
            'role': 'front',
            'machineClass': 'front',
            'serves': ['front'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'r',
            'zones': {'a': 'r', 'b': 'r', 'c': 'r'},
            'listen': {
                'front': '%s:%d' % self.front,
                'ready': '%s:%d' % self.ready,
            },
            'internalPorts': [7660, 7675],
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
            },
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': self.store_address,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        path.write_text(json.dumps(settings))
        log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/serve.py',
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': str(self.folder),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'MANGOROCK_BOOT': str(path),
            },
        )
        log.close()

    async def is_ready(self):
        """Say whether the readiness address answers 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
        message = await read_message(reader)
        writer.close()
        return message is not None and ' 200 ' in message[0]

    async def wait_ready(self, seconds=20.0):
        """Wait until it is ready; return whether it is."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        """End the process that was started here."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Client:
    """A client with one kept channel to a machine."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def send(self, method, path, request_id, deadline_ms, headers=()):
        """Send a request; return (status, headers, body).

        The status is 0 if the channel ended without a complete answer.
        """
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            *(f'{name}: {value}' for name, value in headers),
            'Content-Length: 5' if method == 'POST' else '',
        ]
        data = '\r\n'.join(filter(None, lines)).encode() + b'\r\n\r\n'
        data += b'order' if method == 'POST' else b''
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    *self.address
                )
            self.writer.write(data)
            message = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 1.0
            )
        except (OSError, asyncio.TimeoutError):
            message = None
        if message is None:
            self.close()
            return 0, {}, b''
        first, answer_headers, body = message
        if answer_headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), answer_headers, body

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
