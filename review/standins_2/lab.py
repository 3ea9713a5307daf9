"""Starts the entry VMs as processes, and what a case needs beside them.

`Lab` has the store, the VMs and the record.  The VMs run the command of the
deploy file with settings like those of a small deployment.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from standins_2 import store as stores
from standins_2 import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = ('python3', 'platform/serve.py')
KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')
ZONES = ('muscat-a', 'muscat-b', 'muscat-c')
START_TIMEOUT_S = 30.0
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
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
ENGINE = {
    'slots': 64,
    'kvTokens': 440559,
    'kvTokenBytes': 18432,
    'linkMbps': 740000.0,
    'stride': 13,
    'handleTtlS': 5.0,
    'switchS': 3.0,
}


class CaseNotRun(Exception):
    """The case could not be run; nothing is known of the rule."""


def has_trouble():
    """Say whether the disruption is part of this run."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port(host):
    """Return a port that is free for TCP and UDP."""
    for _ in range(100):
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port
    raise CaseNotRun(f'no free port at {host}')


class Vm:
    """An entry VM: its settings file and its process."""

    def __init__(self, number, ip, store_address, folder, settings):
        self.name = f'front-{ZONES[number % 3]}-{number // 3 + 1}'
        self.zone, self.ip = ZONES[number % 3], ip
        self.ports = [free_port(ip) for _ in range(3)]
        self.address = f'{ip}:{self.ports[0]}'
        self.path = folder / f'{self.name}.json'
        self.log_path = folder / f'{self.name}.log'
        self.process = None
        self.settings = {
            'nodeName': self.name,
            'role': 'front',
            'machineClass': 'front',
            'serves': ['front'],
            'ip': ip,
            'zone': self.zone,
            'region': 'muscat',
            'zones': {zone: 'muscat' for zone in ZONES},
            'listen': {
                'front': self.address,
                'ready': f'{ip}:{self.ports[1]}',
            },
            'internalPorts': [self.ports[2], self.ports[2]],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': store_address,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
            **settings,
        }

    def start(self):
        """Write the settings file and start the process."""
        self.path.write_text(json.dumps(self.settings))
        env = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['MANGOROCK_BOOT'] = str(self.path)
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Say whether the VM answers 200 at its address for probes."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports[1]
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await web.read_head(reader)
            return ' 200 ' in first
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Lab:
    """The store, the VMs and the record of one run."""

    def __init__(self, record_path, vms, settings=None):
        self.begun_s = time.monotonic()
        self.record_file = open(record_path, 'w')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.net = f'127.{random.randint(64, 127)}.{random.randint(1, 250)}'
        self.store = stores.Store()
        self.vm_count, self.settings = vms, settings or {}
        self.vms, self.answers = [], []
        self.sent = 0

    def record(self, *fields):
        """Write a line to the record, with the seconds since the start."""
        seconds = time.monotonic() - self.begun_s
        print(f'{seconds:9.3f}', *fields, file=self.record_file, flush=True)

    async def start(self, config):
        """Start the store with a configuration and the VMs."""
        await self.store.start(f'{self.net}.1')
        self.store.put('op/config', config)
        for _ in range(self.vm_count):
            self.add_vm()

    def add_vm(self):
        """Start one more VM and return it."""
        number = len(self.vms)
        ip, address = f'{self.net}.{10 + number}', self.store.address
        vm = Vm(number, ip, address, self.folder, self.settings)
        self.vms.append(vm)
        vm.start()
        return vm

    async def wait_until_ready(self):
        """Wait until each VM is ready and has announced itself."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while True:
            is_ready = [await vm.is_ready() for vm in self.vms]
            keys = [k for k in self.store.items if k.startswith('mangorock/')]
            if all(is_ready) and len(keys) >= self.vm_count:
                self.record('ready', len(self.vms), 'VMs')
                return
            if time.monotonic() > end_s:
                raise CaseNotRun(f'ready: {is_ready}')
            await asyncio.sleep(0.1)

    def begin(self, name, entry):
        """Put a worker's entry."""
        self.record('entry', name, json.dumps(entry))
        return self.store.put(f'servers/{name}', entry)

    async def call(self, vm, method, path, headers=(), body=b'', limit_s=5):
        """Send a request on a new channel; return the `dict` of its answer.

        ``status`` is 0 without the head of an answer, ``whole`` says that
        the answer was complete.
        """
        self.sent += 1
        request_id = f'q{self.sent:05d}'
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: desk.example',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {int(limit_s * 1000)}',
            *headers,
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        answer = {'id': request_id, 'vm': vm.name, 'path': path}
        answer.update(status=0, whole=False, body=b'', error='')
        names = dict(line.split(': ', 1) for line in headers)
        answer['key'] = names.get('X-Api-Key', '')
        answer['sent_s'] = time.monotonic()
        self.answers.append(answer)
        self.record('sent', request_id, vm.name, method, path)
        try:
            async with asyncio.timeout(limit_s + 0.2):
                await self._exchange(vm, lines, body, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            answer['error'] = type(exc).__name__
        answer['ended_s'] = time.monotonic()
        self.record(
            'answer',
            request_id,
            answer['status'],
            'whole' if answer['whole'] else 'broken',
            f'{answer["ended_s"] - answer["sent_s"]:.3f}',
            answer['error'],
            answer['body'][-40:],
        )
        return answer

    @staticmethod
    async def _exchange(vm, lines, body, answer):
        reader, writer = await asyncio.open_connection(vm.ip, vm.ports[0])
        try:
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            first, headers = await web.read_head(reader)
            answer['status'] = int(first.split(' ')[1])
            answer['headers'] = headers
            answer['body'] = await web.read_body(reader, headers, True)
            answer['whole'] = True
        finally:
            writer.close()

    async def close(self):
        """End all processes that were started, and the store."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        if os.environ.get('KEEP_LOGS'):
            target = pathlib.Path(os.environ['KEEP_LOGS'])
            shutil.copytree(self.folder, target, dirs_exist_ok=True)
        if self.store.server is not None:
            await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def run(case):
    """Run the coroutine function ``case``; return the exit status.

    It returns whether the rule was kept.
    """
    try:
        is_kept = asyncio.run(case())
    except CaseNotRun as exc:
        print(f'not run: {exc}')
        return 2
    except Exception as exc:
        print(f'not run: {exc!r}')
        return 2
    print('rule kept' if is_kept else 'rule broken')
    return 0 if is_kept else 1
