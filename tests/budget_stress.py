"""Holds the repeats of several entry VMs against the platform's bound.

``python -m tests.budget_stress --vms 8 --seconds 60 --seed 1`` starts the VMs
as processes before servers that refuse whole services, and stops, resumes,
terminates and kills the VMs in series meanwhile.  With ``--late`` some VMs
start only then; with ``--moves`` callers move from one half of the VMs to the
other instead.  It prints the arrivals beyond the first of each request at each
service and by how many the worst window exceeds the bound (below 0: how far it
keeps from it); the exit status is 1 if it does.  Not run by CI.
"""

import argparse
import pathlib
import random
import signal
import sys
import tempfile
import time

import curio

from tests import arrivals
from tests import soak_proxy
from tests import soak_vms
from tests import test_budget

RATES = {'safe': 20, 'unsafe': 10, 'stream': 40, 'long': 15}
# Requests of a burst, and its distance from the next one: somewhat less than
# a window, so that two may count in one.
BURST, BURST_EACH_S = 200, 9.0
# The parts of the servers' names that refuse together.
SERVICES = {'desk': ('desk',), 'llm': ('prefill', 'decode')}
REFUSING = ('desk', 'llm', 'desk llm')
STOPPED_RANGE_S = (1.0, 7.0)
# With callers that move, one half of the VMs gets all requests of this time,
# and then the other half.
MOVED_RATES = {'safe': 20, 'stream': 130}
MOVE_EACH_S = 10.0
# All servers refuse from and until these times of two such periods.
REFUSED_S = ((9.0, 11.0), (17.0, 20.0))


class Stress(test_budget.Desk):
    """Entry VMs that are stopped and restarted before refusing servers."""

    def __init__(self, folder, vms, late, seed, moves):
        super().__init__(folder, MOVED_RATES if moves else RATES, ())
        self.rng, self.late = random.Random(seed), late
        self.moves, self.began_s = moves, None
        self.vms = [
            soak_vms.Vm(n, folder, soak_proxy.Proxy(('127.0.0.1', 0)))
            for n in range(vms)
        ]
        self.ends = 0

    async def start(self):
        """Start all but the VMs that are added late."""
        added = [self.vms.pop() for _ in range(self.late)]
        await super().start()
        for vm in added:
            vm.proxy.target = '127.0.0.1', self.store.port
            await vm.proxy.start()
        self.added = added

    async def stress(self, seconds):
        """Send requests for this time while servers and VMs are troubled."""
        self.began_s = time.monotonic()
        troubles = self._refuse, self._burst, self._trouble_vms
        if self.moves:
            troubles = (self._refuse_at_moves,)
        tasks = [
            await curio.spawn(trouble)
            for trouble in (*troubles, self._add_late)
        ]
        try:
            await self.run(seconds)
        finally:
            for task in tasks:
                await task.cancel()

    async def _refuse(self):
        while True:
            names = self.rng.choice(REFUSING).split()
            self.refusing = sum((SERVICES[name] for name in names), ())
            self.share = self.rng.choice((0.7, 1.0))
            await curio.sleep(self.rng.uniform(4.0, 20.0))
            self.refusing = ()
            await curio.sleep(self.rng.uniform(0.5, 3.0))

    async def _refuse_at_moves(self):
        while True:
            passed_s = time.monotonic() - self.began_s
            phase_s = passed_s % (2 * MOVE_EACH_S)
            is_refused = any(
                start <= phase_s < end for start, end in REFUSED_S
            )
            self.refusing = sum(SERVICES.values(), ()) if is_refused else ()
            self.share = 1.0
            await curio.sleep(0.05)

    async def _send(self, kind, vm):
        if self.moves and self.began_s is not None:
            period = int((time.monotonic() - self.began_s) / MOVE_EACH_S)
            vm = self.rng.choice(self.vms[period % 2 :: 2])
        return await super()._send(kind, vm)

    async def _burst(self):
        while True:
            await curio.sleep(BURST_EACH_S)
            for _ in range(BURST):
                kind = self.rng.choice(sorted(RATES))
                vm = self.rng.choice(self.vms)
                await curio.spawn(self._send, kind, vm, daemon=True)

    async def _add_late(self):
        for vm in self.added:
            await curio.sleep(self.rng.uniform(1.0, 3.0))
            vm.start()
            self.vms.append(vm)

    async def _trouble_vms(self):
        """Trouble the VMs one after the other, some at the same time."""
        while True:
            for vm in list(self.vms):
                await curio.spawn(self._trouble, vm, daemon=True)
                await curio.sleep(self.rng.uniform(0.3, 2.0))
            await curio.sleep(self.rng.uniform(10.0, 30.0))

    async def _trouble(self, vm):
        if vm.is_interrupted or not vm.handles(signal.SIGTERM):
            return
        vm.is_interrupted = True
        number = self.rng.choice(
            (signal.SIGSTOP, signal.SIGSTOP, signal.SIGTERM, signal.SIGKILL)
        )
        self.ends += 1
        if number == signal.SIGSTOP:
            vm.process.send_signal(number)
            await curio.sleep(self.rng.uniform(*STOPPED_RANGE_S))
            vm.process.send_signal(signal.SIGCONT)
        else:
            await vm.stop(number)
            vm.start()
        vm.is_interrupted = False

    async def close(self):
        """Resume the VMs that are stopped, and stop all."""
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
        await super().close()


def run(args):
    """Return the `Stress` after its end."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            stress = Stress(
                pathlib.Path(folder),
                args.vms,
                args.late,
                args.seed,
                args.moves,
            )
            try:
                await stress.start()
                await curio.sleep(args.settle)
                await stress.stress(args.seconds)
            finally:
                await stress.close()
            return stress

    return curio.run(main)


def main():
    """Run the test and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--settle', type=float, default=25.0)
    parser.add_argument('--vms', type=int, default=8)
    parser.add_argument('--late', type=int, default=0)
    parser.add_argument('--moves', action='store_true')
    args = parser.parse_args()
    stress = run(args)
    is_exceeded = False
    for service in SERVICES:
        excess = stress.log.excess(service)
        is_exceeded = is_exceeded or excess > 0
        print(
            f'seed {args.seed}, {service}: '
            f'{len(stress.log.sent[service])} requests, '
            f'{len(stress.log.repeats(service))} repeats, excess '
            f'{excess:.1f} (ratio {arrivals.RATIO}, slack {arrivals.SLACK}), '
            f'{stress.ends} VMs troubled',
            flush=True,
        )
    return 1 if is_exceeded else 0


if __name__ == '__main__':
    sys.exit(main())
