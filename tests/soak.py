"""A randomized soak: real entry VMs as processes, harmed from outside.

``python -m tests.soak --seed 7 --count 50 --seconds 20`` plays seeds 7 to
56.  VMs are started from ``platform/serve.py``; store, backend servers and
callers are stand-ins in this process, reached through proxies that harm the
connections.  Promises are checked while it runs; a seed that breaks one is
printed and ends with status 1.  Only processes started here are ended.
"""

import argparse
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs
import curio
import h11
import orjson

from mangorock import client as clients
from tests import fleet
from tests import soak_proxy
from tests import soak_world

GRACE_S = 3
START_S = 20.0  # A VM starts within this time also beside load.
HEALED_S = 20.0  # Within which all is served again once nothing harms.
ACTIONS = (
    'proxy_store',
    'proxy_server',
    'reset_store',
    'reset_server',
    'kill',
    'term',
    'pause',
    'hangup',
    'store_busy',
    'store_forgets',
    'server_fault',
    'drain',
    'config',
)


@attrs.define(eq=False)
class Vm:
    """An entry VM: its process and the proxy between it and the store."""

    number: int
    folder: pathlib.Path
    proxy: soak_proxy.Proxy
    process: object = None
    exits: list = attrs.field(factory=list)
    is_busy: bool = False

    @property
    def ip(self):
        """Return its loopback address, of this run alone."""
        run = os.getpid()
        return f'127.{1 + run // 250 % 250}.{run % 250}.{10 + self.number}'

    @property
    def address(self):
        """Return where callers reach it."""
        return f'{self.ip}:8144'

    def start(self):
        """Write its settings and start its process."""
        settings = {
            'nodeName': f'vm-{self.number}',
            'ip': self.ip,
            'zone': 'ab'[self.number % 2],
            'region': 'r',
            'listen': {'front': self.address, 'ready': f'{self.ip}:8140'},
            'internalPorts': [7660, 7675],
            'limits': {'cpuShare': 1.0, 'cores': 1},
            'bounds': {'graceS': GRACE_S},
            'platform': {'address': f'127.0.0.1:{self.proxy.port}'},
        }
        path = self.folder / f'vm-{self.number}.json'
        path.write_bytes(orjson.dumps(settings))
        log = open(self.folder / f'vm-{self.number}.log', 'ab')
        with log:
            self.process = subprocess.Popen(
                [sys.executable, str(fleet.ROOT / 'platform' / 'serve.py')],
                env={**os.environ, 'MANGOROCK_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )

    async def end(self, number, wait_s=START_S):
        """Send a signal that ends it; return its exit status."""
        self.process.send_signal(number)
        async with curio.timeout_after(wait_s):
            while self.process.poll() is None:
                await curio.sleep(0.02)
        return self.process.returncode


class Soak:
    """One seed: the fleet, the harm, and the check that all heals."""

    def __init__(self, seed, vms, folder):
        self.seed = seed
        self.rng = soak_world.make_rng(seed, 'harm')
        self.ledger = soak_world.Ledger()
        self.store = fleet.Store()
        self.folder = pathlib.Path(folder)
        self.version = 2
        self.sequence = 1
        self.servers, self.proxies, self.drained = [], {}, set()
        self.vms = [
            Vm(
                number,
                self.folder,
                soak_proxy.Proxy(('127.0.0.1', self.store.port)),
            )
            for number in range(vms)
        ]
        self.client = clients.Client()
        self.tasks = []

    async def start(self):
        """Start the stand-ins, then the VMs."""
        await self.store.start()
        self.store.put('op/config', fleet.make_config(self.version))
        staff = [('desk', None)] * 3 + [('llm', 'prefill')] * 2
        staff += [('llm', 'decode')] * 3
        for service, stage in staff:
            await self._add_server(service, stage)
        for vm in self.vms:
            await vm.proxy.start()
            vm.start()

    async def _add_server(self, service, stage):
        name = f'{stage or service}-{len(self.servers)}'
        rng = soak_world.make_rng(self.seed, name)
        server = soak_world.Server(name, service, self.ledger, rng, stage)
        await server.start()
        proxy = soak_proxy.Proxy(('127.0.0.1', server.port))
        await proxy.start()
        self.servers.append(server)
        self.proxies[name] = proxy
        self.store.put(f'servers/{name}', server.proxied_entry(proxy.port))

    async def close(self):
        """End what was started here."""
        for task in self.tasks:
            await task.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                await vm.end(signal.SIGKILL)
            await vm.proxy.close()
        for server in self.servers:
            await self.proxies[server.name].close()
            await server.close()
        await self.store.close()
        await self.client.close()

    async def run(self, seconds):
        """Play; return the broken promises."""
        try:
            await self.start()
            await self._heal()
            for number in range(8):
                rng = soak_world.make_rng(self.seed, 'caller', number)
                caller = soak_world.Caller(number, self.ledger, rng, self.vms)
                await self._spawn(caller.run, self.client)
            end_s = soak_world.now() + seconds
            while soak_world.now() < end_s:
                action = self.rng.choice(ACTIONS)
                await self._spawn(getattr(self, f'_{action}'))
                await curio.sleep(self.rng.uniform(0.1, 1.2))
            await self._heal()
        finally:
            await self.close()
        return self.ledger.broken

    async def _spawn(self, function, *args):
        self.tasks.append(await curio.spawn(function, *args))

    async def _heal(self):
        """End all harm and wait until each VM serves each kind."""
        self.store.status = 200
        for proxy in [*self.proxies.values(), *(v.proxy for v in self.vms)]:
            proxy.mode = 'fine'
        for server in self.servers:
            server.fault = 'fine'
        for vm in self.vms:
            served = False
            try:
                async with curio.timeout_after(START_S + HEALED_S):
                    while not served:
                        served = await self._serves(vm)
                        await curio.sleep(0.05)
            except curio.TaskTimeout:
                self.ledger.broken.append(f'vm-{vm.number} does not serve')

    async def _serves(self, vm):
        rng = soak_world.make_rng(self.seed, 'probe')
        probe = soak_world.Caller(f'p{vm.number}', self.ledger, rng, [vm])
        try:
            for kind in ('safe', 'unsafe', 'stream', 'long'):
                request_id = f'p{vm.number}-{soak_world.now()}'
                async with curio.timeout_after(3.0):
                    if await probe.ask(self.client, kind, request_id) != 200:
                        return False
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            return False
        finally:
            await probe.drop(self.client)
        return True

    async def _for_a_while(self, target, name, value, calm):
        setattr(target, name, value)
        await curio.sleep(self.rng.uniform(0.3, 3.0))
        setattr(target, name, calm)

    async def _proxy_store(self):
        proxy = self.rng.choice(self.vms).proxy
        mode = self.rng.choice(soak_proxy.MODES)
        await self._for_a_while(proxy, 'mode', mode, 'fine')

    async def _proxy_server(self):
        proxy = self.rng.choice(list(self.proxies.values()))
        mode = self.rng.choice(soak_proxy.MODES)
        await self._for_a_while(proxy, 'mode', mode, 'fine')

    async def _reset_store(self):
        self.rng.choice(self.vms).proxy.reset(0.7, self.rng)

    async def _reset_server(self):
        self.rng.choice(list(self.proxies.values())).reset(0.7, self.rng)

    async def _kill(self):
        await self._restart(signal.SIGKILL)

    async def _term(self):
        status = await self._restart(signal.SIGTERM)
        # 3 says that the grace period ended with work open, here at servers
        # that hang.
        self.ledger.check(
            status in (None, 0, 3), f'SIGTERM ended with {status}'
        )

    async def _restart(self, number):
        vm = self.rng.choice(self.vms)
        if vm.is_busy:
            return None
        vm.is_busy = True
        try:
            status = await vm.end(number)
            await curio.sleep(self.rng.uniform(0.0, 0.8))
            vm.start()
        finally:
            vm.is_busy = False
        return status

    async def _pause(self):
        vm = self.rng.choice(self.vms)
        if vm.is_busy:
            return
        vm.is_busy = True
        vm.process.send_signal(signal.SIGSTOP)
        await curio.sleep(self.rng.uniform(0.2, 2.5))
        vm.process.send_signal(signal.SIGCONT)
        vm.is_busy = False

    async def _hangup(self):
        vm = self.rng.choice(self.vms)
        if not vm.is_busy:
            vm.process.send_signal(signal.SIGHUP)

    async def _store_busy(self):
        status = self.rng.choice((429, 503))
        await self._for_a_while(self.store, 'status', status, 200)

    async def _store_forgets(self):
        self.store.compact_history()

    async def _server_fault(self):
        server = self.rng.choice(self.servers)
        fault = self.rng.choice(soak_world.FAULTS)
        await self._for_a_while(server, 'fault', fault, 'fine')

    async def _drain(self):
        """Drain a server, after another of its kind has come."""
        server = self.rng.choice(self.servers)
        if server.name in self.drained:
            return
        self.drained.add(server.name)
        await self._add_server(server.service, server.stage)
        self.sequence += 1
        port = self.proxies[server.name].port
        entry = server.proxied_entry(port, 'draining', self.sequence)
        self.store.put(f'servers/{server.name}', entry)
        await curio.sleep(2.5)
        self.store.remove(f'servers/{server.name}')

    async def _config(self):
        self.version += self.rng.randrange(1, 4)
        config = fleet.make_config(self.version)
        config['routes'][0]['timeoutMs'] = self.rng.choice((800, 1500))
        self.store.put('op/config', config)


def play(seed, seconds, vms=3, folder=None):
    """Play one seed; return the `soak_world.Ledger` behind it."""
    with tempfile.TemporaryDirectory() as made:
        soak = Soak(seed, vms, folder or made)
        curio.run(soak.run, seconds)
    return soak.ledger


def main():
    """Play several seeds; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--vms', type=int, default=3)
    parser.add_argument('--logs', help="a folder that keeps the VMs' logs")
    args = parser.parse_args()
    is_broken = False
    for seed in range(args.seed, args.seed + args.count):
        ledger = play(seed, args.seconds, args.vms, args.logs)
        served = sum(
            count for key, count in ledger.counts.items() if key[1] == 200
        )
        asked = sum(ledger.counts.values())
        print(f'seed {seed}: {served} of {asked} served', flush=True)
        for line in ledger.broken[:10]:
            print(f'  broken: {line}', flush=True)
        is_broken = is_broken or bool(ledger.broken)
    return 1 if is_broken else 0


if __name__ == '__main__':
    sys.exit(main())
