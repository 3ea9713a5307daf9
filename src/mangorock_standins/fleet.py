"""Starts a fleet of simulated servers and daemons as local processes.

The demo, the process tests and the benchmarks use it.  A fleet is read from a
folder with ``tables.json`` (the tables as operators write them),
``fleet.json`` (entry VMs, engine speeds, client keys) and ``calls.json``
(sample calls for the demo).  The addresses in these files are placeholders:
each is replaced by a free port of 127.0.0.1.
"""

import contextlib
import copy
import hashlib
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import attrs
import orjson

from mangorock_standins import ports

PEER_KEY = 'peer-key-of-the-demo-fleet'
OPERATOR_TOKEN = 'operator-token-of-the-demo'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
# What an error shows of the output of a process that has ended.
LAST_LINES = 12


def http_json(method, address, path, data=None, headers=(), timeout_s=30):
    """Return (status, JSON) of a blocking HTTP call."""
    body = None if data is None else orjson.dumps(data)
    request = urllib.request.Request(
        f'http://{address}{path}', body, dict(headers), method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, orjson.loads(answer.read() or b'null')
    except urllib.error.HTTPError as exc:
        return exc.code, orjson.loads(exc.read() or b'null')


@attrs.define
class Process:
    """A process of the fleet and the address it listens on."""

    name: str
    args: list
    address: str
    log: pathlib.Path
    popen: subprocess.Popen | None = None

    def start(self):
        """Start the process; its output is appended to its log file."""
        with open(self.log, 'ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', *self.args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def check_running(self):
        """Raise `RuntimeError` with its last lines if it has ended."""
        status = self.popen.poll()
        if status is None:
            return
        lines = self.log.read_text(errors='replace').splitlines()
        raise RuntimeError(
            f'{self.name} at {self.address} has ended with status {status}; '
            'its last lines:\n' + '\n'.join(lines[-LAST_LINES:])
        )

    def wait(self):
        """Wait for the process to end and return its exit status.

        A suspended process is resumed first; one that does not end within
        ``STOP_TIMEOUT_S`` is killed.
        """
        self.signal(signal.SIGCONT)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@attrs.define
class Daemon:
    """The daemon of an entry VM: its process and addresses."""

    process: Process
    vm: str
    failure_domain: str
    caller_address: str
    admin_address: str
    peer_address: str


class Fleet:
    """The processes of one fleet, started from a configuration folder."""

    def __init__(self, folder, output_folder, extra_flags=()):
        self.folder = pathlib.Path(folder)
        self.output_folder = pathlib.Path(output_folder)
        self.output_folder.mkdir(parents=True, exist_ok=True)
        for old in self.output_folder.glob('*.log'):
            old.unlink()
        self.config = self._read('fleet.json')
        self.tables = self._read('tables.json')
        self.extra_flags = list(extra_flags)
        self.platform = None
        self.effects_address = ''
        self.servers = {}
        self.daemons = {}

    def _read(self, name):
        return orjson.loads((self.folder / name).read_bytes())

    def start(self):
        """Start all processes, apply the tables and wait until ready."""
        self.platform = self._spawn(
            'platform', 'mangorock_standins.platform', []
        )
        self._start_servers()
        self._wait_for_port(self.platform)
        self.publish_vms()
        for entry in self.config['entry_vms']:
            self.start_daemon(entry['vm'], entry['failure_domain'])
        for server in self.servers.values():
            self._wait_for_port(server)
        for daemon in self.daemons.values():
            self._wait_for_port(daemon.process)
        self.apply_tables(self.tables)
        for daemon in self.daemons.values():
            self.wait_ready(daemon)

    def _spawn(self, name, module, args):
        port = ports.free_port()
        process = Process(
            name,
            [module, '--port', str(port), *args],
            f'127.0.0.1:{port}',
            self.output_folder / f'{name}.log',
        )
        process.start()
        return process

    def _start_servers(self):
        engine_options = self.config['engines']
        for pool in self.tables['pools'].values():
            for name, row in pool['servers'].items():
                if pool.get('kind', 'engines') == 'engines':
                    process = self._start_engine(name, row, engine_options)
                else:
                    process = self._start_service(name)
                self.servers[name] = process
                row['address'] = process.address

    def _start_service(self, name):
        args = (
            ['--store', self.effects_address] if self.effects_address else []
        )
        process = self._spawn(name, 'mangorock_standins.service', args)
        self.effects_address = self.effects_address or process.address
        return process

    def effects(self):
        """Return the side effects that all services have recorded."""
        return http_json('GET', self.effects_address, '/control/effects')[1]

    def _start_engine(self, name, row, engine_options):
        options = {
            **engine_options.get('default', {}),
            **engine_options.get(name, {}),
        }
        args = ['--role', row.get('role', 'mixed')]
        if row.get('checks_fencing'):
            args.append('--checks-fencing')
        for option, value in options.items():
            args += ['--' + option.replace('_', '-'), str(value)]
        return self._spawn(name, 'mangorock_standins.engine', args)

    def publish_vms(self, leaving=()):
        """Set the platform's VM list.

        Backend VMs named in ``leaving`` are listed as about to leave.
        """
        rows = [
            {
                'name': entry['vm'],
                'failure_domain': entry['failure_domain'],
                'state': entry.get('state', 'live'),
                'kind': 'entry',
                'peer_address': self._peer_address(entry),
            }
            for entry in self.config['entry_vms']
        ]
        rows += self._backend_vms(leaving)
        http_json('POST', self.platform.address, '/control/vms', rows)

    def _backend_vms(self, leaving):
        return [
            {
                'name': server['vm'],
                'failure_domain': server['failure_domain'],
                'state': 'leaving' if server['vm'] in leaving else 'live',
                'kind': 'backend',
            }
            for pool in self.tables['pools'].values()
            for server in pool['servers'].values()
            if server.get('vm')
        ]

    @staticmethod
    def _peer_address(entry):
        if 'peer_address' not in entry:
            entry['peer_address'] = f'127.0.0.1:{ports.free_port()}'
        return entry['peer_address']

    def start_daemon(self, vm, failure_domain):
        """Start the daemon of an entry VM and return it.

        A daemon that is started again keeps its addresses.
        """
        entry = next(e for e in self.config['entry_vms'] if e['vm'] == vm)
        old = self.daemons.get(vm)
        caller_address = (
            old.caller_address if old else f'127.0.0.1:{ports.free_port()}'
        )
        admin_address = (
            old.admin_address if old else f'127.0.0.1:{ports.free_port()}'
        )
        peer_address = self._peer_address(entry)
        args = [
            'mangorock',
            f'--vm={vm}',
            f'--failure_domain={failure_domain}',
            f'--caller_address={caller_address}',
            f'--admin_address={admin_address}',
            f'--peer_address={peer_address}',
            f'--platform_address={self.platform.address}',
            f'--peer_key={PEER_KEY}',
            f'--operator_token={OPERATOR_TOKEN}',
            *self.extra_flags,
        ]
        process = Process(
            vm, args, admin_address, self.output_folder / f'{vm}.log'
        )
        process.start()
        daemon = Daemon(
            process,
            vm,
            failure_domain,
            caller_address,
            admin_address,
            peer_address,
        )
        self.daemons[vm] = daemon
        return daemon

    def call_admin(self, daemon, method, path, data=None):
        """Return (status, JSON) of a call to a daemon's administration API."""
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
        return http_json(method, daemon.admin_address, path, data, headers)

    def apply_tables(self, tables):
        """Replace all tables with ``mangorockctl apply``."""
        path = self.output_folder / 'tables.json'
        path.write_bytes(orjson.dumps(tables))
        result = self.run_ctl('apply', str(path), '--wait', '--timeout_s=30')
        if result.returncode:
            raise RuntimeError(f'mangorockctl apply failed: {result.stderr}')

    def run_ctl(self, *arguments, vm=None):
        """Run ``mangorockctl`` against the daemon of ``vm`` or the first."""
        daemon = self.daemons[vm] if vm else next(iter(self.daemons.values()))
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'mangorock.ctl',
                f'--address={daemon.admin_address}',
                f'--token={OPERATOR_TOKEN}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )

    @staticmethod
    def _wait_for_port(process):
        deadline = time.monotonic() + START_TIMEOUT_S
        host, _, port = process.address.partition(':')
        while time.monotonic() < deadline:
            process.check_running()
            with contextlib.closing(socket.socket()) as sock:
                if sock.connect_ex((host, int(port))) == 0:
                    # Another process may have the port.
                    process.check_running()
                    return
            time.sleep(0.02)
        raise RuntimeError(
            f'{process.name} does not listen on {process.address} after '
            f'{START_TIMEOUT_S} s; see {process.log}'
        )

    def wait_ready(self, daemon):
        """Wait until a daemon has joined, has tables and sees all members."""
        count = len(self.config['entry_vms'])
        self.wait_status(
            daemon,
            lambda s: (
                s['is_joined']
                and s['revision'] > 0
                and sum(m['state'] == 'alive' for m in s['members']) >= count
            ),
        )

    def wait_status(self, daemon, predicate, timeout_s=START_TIMEOUT_S):
        """Return the first status that ``predicate`` is true for."""
        deadline = time.monotonic() + timeout_s
        last = None
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                status, last = self.call_admin(daemon, 'GET', '/v1/status')
                if status == 200 and predicate(last):
                    return last
            time.sleep(0.05)
        raise RuntimeError(
            f'timed out waiting for the status of {daemon.vm}; last: {last}'
        )

    def set_faults(self, process, **faults):
        """Set faults in a simulated server or the platform."""
        http_json('POST', process.address, '/control/faults', faults)

    def close(self):
        """Stop all processes that were started."""
        self._stop([d.process for d in self.daemons.values()])
        remaining = list(self.servers.values())
        if self.platform is not None:
            remaining.append(self.platform)
        self._stop(remaining)

    @staticmethod
    def _stop(processes):
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in processes:
            if process.popen is not None:
                process.wait()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc_info):
        self.close()


def key_digest(key):
    """Return the SHA-256 of a client key, as the routes table has it."""
    return hashlib.sha256(key.encode()).hexdigest()


def copy_tables(tables):
    """Return a deep copy of tables, to edit it."""
    return copy.deepcopy(tables)
