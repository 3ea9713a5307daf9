"""A randomized soak test that injects faults into real entry VMs.

``python -m tests.soak --seed 7 --count 50 --seconds 20`` runs the seeds 7 to
56.  Each VM is a process of ``platform/serve.py``; the store, the backend
servers and the callers are stand-ins in this process.  Proxies between the
VMs and the store or the servers inject network faults.  Invariants are
checked throughout, and the VMs' logs afterwards; violations are printed with
their seed, and the exit status is then 1.  Only processes that were started
here are stopped.
"""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

import curio
import h11

from mangorock import client as clients
from tests import fleet
from tests import soak_audit
from tests import soak_backends
from tests import soak_callers
from tests import soak_history
from tests import soak_limits
from tests import soak_plans
from tests import soak_proxy
from tests import soak_replacements
from tests import soak_vms
from tests import soak_world

KEPT_CALLERS_PER_VM = 5
# Each VM serves every kind of request within this time after the last fault.
RECOVERY_TIMEOUT_S = 20.0
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
    'store_drops_history',
    'server_fault',
    'drain',
    'config',
    'series',
    'series',
    'series',
)
# Planned changes that a series combines.
SERIES_ACTIONS = ('config', 'config', 'term', 'hangup', 'hangups', 'drain')


class Soak:
    """One seed: the fleet, the faults and the check of the recovery."""

    def __init__(self, seed, vms, folder, has_limits=False, has_restores=True):
        self.seed = seed
        self.rng = soak_world.make_rng(seed, 'harm')
        self.checker = soak_world.InvariantChecker()
        self.store = fleet.Store()
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.version = 2
        self.sequence = 1
        self.servers, self.proxies, self.changing = [], {}, set()
        self.disturbances = []
        self.configs = soak_plans.Configs(soak_world.make_rng(seed, 'config'))
        self.vms = [
            soak_vms.Vm(
                number,
                self.folder,
                soak_proxy.Proxy(('127.0.0.1', self.store.port)),
            )
            for number in range(vms)
        ]
        for vm in self.vms:
            vm.log_path.unlink(missing_ok=True)
        self.client = clients.Client()
        self.tasks = []
        self.has_limits, self.has_restores = has_limits, has_restores
        self.replacements = soak_replacements.Replacements(
            self, soak_world.make_rng(seed, 'replace')
        )
        self.history = soak_history.History(
            self, soak_world.make_rng(seed, 'history')
        )
        self.limits = soak_limits.Limits(
            self, soak_world.make_rng(seed, 'limit')
        )

    async def start(self):
        """Start the stand-ins and then the VMs."""
        await self.store.start()
        self.store.put('op/config', self.configs.make_first(self.version))
        services = [('desk', None)] * 3 + [('annex', None)] * 2
        services += [('llm', 'prefill')] * 2 + [('llm', 'decode')] * 3
        for service, stage in services:
            await self._add_server(service, stage)
        for vm in self.vms:
            await vm.proxy.start()
            vm.start()

    async def _add_server(self, service, stage):
        name = f'{stage or service}-{len(self.servers)}'
        rng = soak_world.make_rng(self.seed, name)
        server = soak_backends.Server(name, service, self.checker, rng, stage)
        await server.start()
        proxy = soak_proxy.Proxy(('127.0.0.1', server.port))
        await proxy.start()
        self.servers.append(server)
        self.proxies[name] = proxy
        self.store.put(f'servers/{name}', server.proxied_entry(proxy.port))

    async def close(self):
        """Stop everything that was started here."""
        for task in self.tasks:
            await task.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                await vm.stop(signal.SIGKILL)
            await vm.proxy.close()
        for server in self.servers:
            await self.proxies[server.place].close()
            await server.close()
        await self.store.close()
        await self.client.close()

    async def run(self, seconds):
        """Inject faults for this time and return the violations."""
        try:
            await self.start()
            await self._recover()
            for number in range(8):
                rng = soak_world.make_rng(self.seed, 'caller', number)
                caller = soak_world.Caller(number, self.checker, rng, self.vms)
                await self.spawn(caller.run, self.client)
            for number in range(KEPT_CALLERS_PER_VM * len(self.vms)):
                caller = soak_callers.make_kept_caller(self, number)
                await self.spawn(caller.run, self.client)
            end_s = soak_world.now() + seconds
            rng = soak_world.make_rng(self.seed, 'refuse')
            refuse = soak_backends.refuse_services
            await self.spawn(refuse, self.servers, rng, end_s)
            await self.spawn(self.replacements.run, end_s)
            if self.has_restores:
                await self.spawn(self.history.run, end_s)
            if self.has_limits:
                await self.spawn(self.limits.run, end_s)
            while soak_world.now() < end_s:
                action = self.rng.choice(ACTIONS)
                await self.spawn(getattr(self, f'_{action}'))
                await curio.sleep(self.rng.uniform(0.1, 1.2))
            await self._recover()
            await self.history.check()
            self._check_processes()
        finally:
            await self.close()
        self._audit()
        self.checker.check_arrivals()
        self.limits.check(self.checker)
        return self.checker.violations

    def _check_processes(self):
        """Check that no process ended that was not told to."""
        for vm in self.vms:
            status = vm.process.poll()
            self.checker.check(
                vm.is_interrupted or status is None,
                f'vm-{vm.number} ended by itself with status {status}',
            )

    def _audit(self):
        logs = {}
        for vm in self.vms:
            if vm.log_path.exists():
                with open(vm.log_path, errors='replace') as lines:
                    logs[vm.number] = soak_audit.read_log(lines)
        soak_audit.Audit(
            self.checker,
            logs,
            self.disturbances,
            self.configs.least_idle_s,
            self.configs.least_timeout_s,
            min(soak_vms.GRACE_CHOICES_S),
        ).run()

    async def spawn(self, function, *args):
        """Start a task that is cancelled at the end."""
        self.tasks.append(await curio.spawn(function, *args))

    async def _recover(self):
        """End all faults and wait until each VM serves each kind."""
        self.store.status = 200
        for proxy in [*self.proxies.values(), *(v.proxy for v in self.vms)]:
            proxy.mode = 'fine'
        for server in self.servers:
            server.fault, server.refuses_all = 'fine', False
            server.spell = None
        for vm in self.vms:
            served = False
            try:
                async with curio.timeout_after(
                    soak_vms.START_TIMEOUT_S + RECOVERY_TIMEOUT_S
                ):
                    while not served:
                        served = await self._serves_every_kind(vm)
                        await curio.sleep(0.05)
            except curio.TaskTimeout:
                self.checker.violations.append(
                    f'vm-{vm.number} does not serve'
                )

    async def _serves_every_kind(self, vm):
        rng = soak_world.make_rng(self.seed, 'probe')
        probe = soak_world.Caller(f'p{vm.number}', self.checker, rng, [vm])
        try:
            for kind in ('safe', 'unsafe', 'stream', 'long'):
                request_id = f'p{vm.number}-{soak_world.now()}'
                async with curio.timeout_after(3.0):
                    if (
                        await probe.send_request(self.client, kind, request_id)
                        != 200
                    ):
                        return False
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            return False
        finally:
            await probe.disconnect(self.client)
        return True

    async def _set_temporarily(self, target, name, value, normal):
        setattr(target, name, value)
        await curio.sleep(self.rng.uniform(0.3, 3.0))
        setattr(target, name, normal)

    async def _proxy_store(self):
        proxy = self.rng.choice(self.vms).proxy
        mode = self.rng.choice(soak_proxy.MODES)
        await self._set_temporarily(proxy, 'mode', mode, 'fine')

    async def _proxy_server(self):
        name = self.rng.choice(list(self.proxies))
        mode = self.rng.choice(soak_proxy.MODES)
        start_s = soak_world.now()
        await self._set_temporarily(self.proxies[name], 'mode', mode, 'fine')
        self.disturbances.append((name, start_s, soak_world.now()))

    async def _reset_store(self):
        self.rng.choice(self.vms).proxy.reset(0.7, self.rng)

    async def _reset_server(self):
        name = self.rng.choice(list(self.proxies))
        self.proxies[name].reset(0.7, self.rng)
        self.disturbances.append((name, soak_world.now(), soak_world.now()))

    async def _kill(self):
        await self._restart(signal.SIGKILL)

    async def _term(self):
        status = await self._restart(signal.SIGTERM)
        # Exit status 3 means that the grace period ended with requests in
        # flight, here at servers that hang.
        self.checker.check(
            status in (None, 0, 3), f'SIGTERM led to exit status {status}'
        )

    async def _restart(self, number):
        vm = self.rng.choice(self.vms)
        if vm.is_interrupted or not vm.handles(signal.SIGTERM):
            return None
        vm.is_interrupted = True
        try:
            status = await vm.stop(number)
            await curio.sleep(self.rng.uniform(0.0, 0.8))
            vm.start()
        finally:
            vm.is_interrupted = False
        return status

    async def _pause(self):
        vm = self.rng.choice(self.vms)
        if vm.is_interrupted:
            return
        vm.is_interrupted = True
        vm.record('pause')
        vm.process.send_signal(signal.SIGSTOP)
        await curio.sleep(self.rng.uniform(0.2, 2.5))
        vm.process.send_signal(signal.SIGCONT)
        vm.record('resume')
        vm.is_interrupted = False

    async def _hangup(self):
        """Change a settings file and announce that by SIGHUP."""
        vm = self.rng.choice(self.vms)
        vm.grace_s = self.rng.choice(soak_vms.GRACE_CHOICES_S)
        vm.write_settings()
        vm.hang_up()

    async def _hangups(self):
        """Send SIGHUP many times, some while the last one is handled."""
        vm = self.rng.choice(self.vms)
        for _ in range(self.rng.randrange(5, 30)):
            vm.hang_up()
            time.sleep(self.rng.uniform(0.0, 0.0005))

    async def _store_busy(self):
        status = self.rng.choice((429, 503))
        await self._set_temporarily(self.store, 'status', status, 200)

    async def _store_drops_history(self):
        self.store.compact_history()

    async def _server_fault(self):
        server = self.rng.choice(self.servers)
        fault = self.rng.choice(soak_backends.FAULTS)
        await self._set_temporarily(server, 'fault', fault, 'fine')

    async def _drain(self):
        """Drain a server after starting its replacement."""
        server = self.rng.choice(self.servers)
        if server.place in self.changing:
            return
        self.changing.add(server.place)
        await self._add_server(server.service, server.stage)
        self.sequence += 1
        port = self.proxies[server.place].port
        entry = server.proxied_entry(port, 'draining', self.sequence)
        self.store.put(f'servers/{server.name}', entry)
        await curio.sleep(2.5)
        self.store.remove(f'servers/{server.name}')

    async def _config(self):
        self.change_config()

    def change_config(self):
        """Write another configuration."""
        self.version += self.rng.randrange(1, 4)
        self.store.put('op/config', self.configs.make(self.version))

    async def _series(self):
        """Start planned changes in quick succession, so that they overlap."""
        for _ in range(self.rng.randrange(3, 9)):
            action = self.rng.choice(SERIES_ACTIONS)
            await self.spawn(getattr(self, f'_{action}'))
            await curio.sleep(self.rng.choice((0.0, 0.02, 0.3)))


def run_seed(
    seed, seconds, vms=3, folder=None, has_limits=False, has_restores=True
):
    """Run one seed and return its `soak_world.InvariantChecker`."""
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(folder or temporary, f'{seed}')
        soak = Soak(seed, vms, path, has_limits, has_restores)
        curio.run(soak.run, seconds)
    return soak.checker


def main():
    """Run several seeds and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--vms', type=int, default=3)
    parser.add_argument(
        '--many-vms', type=int, help='VMs of each seed that ends in 0'
    )
    parser.add_argument(
        '--limits', action='store_true', help='servers name limits at times'
    )
    parser.add_argument('--logs', help="directory for the VMs' logs")
    args = parser.parse_args()
    has_violations = False
    for seed in range(args.seed, args.seed + args.count):
        vms = args.many_vms if seed % 10 == 0 else None
        checker = run_seed(
            seed, args.seconds, vms or args.vms, args.logs, args.limits
        )
        served = sum(
            count for key, count in checker.counts.items() if key[1] == 200
        )
        total = len(checker.statuses)
        excused = {
            key[1]: count
            for key, count in checker.counts.items()
            if key[0] == 'excused'
        }
        print(
            f'seed {seed}: {served} of {total} answers are a success; '
            f'excused {excused}; copies of refusals '
            f'{checker.counts["copies", "sent"]}, limits '
            f'{checker.counts["limit", "spells"]}, of them tested '
            f'{checker.counts["limit", "counted"]}; store restored '
            f'{checker.counts["store", "restored"]} times, link narrowed '
            f'{checker.counts["link", "narrowed"]}',
            flush=True,
        )
        for line in checker.violations[:10]:
            print(f'  violation: {line}', flush=True)
        has_violations = has_violations or bool(checker.violations)
    return 1 if has_violations else 0


if __name__ == '__main__':
    sys.exit(main())
