"""A machine in touch sends orders to a worker that drained long ago."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_S = standins.BOUNDS['drainMs'] / 1000
STABLE_S = standins.BOUNDS['stableWindowMs'] / 1000
# Two workers report that they drain, one `SECOND_AFTER_S` after the other.
# Then the store gives one machine no response, from `SILENT_AFTER_S` to
# `SERVED_AFTER_S` after the first report.
SECOND_AFTER_S = 0.1
SILENT_AFTER_S = 0.2
SERVED_AFTER_S = 0.9
# How much longer than `DRAIN_S` the worker serves before it exits.
LINGER_S = 2.2
WORK_S = 0.15
CLIENTS = 4
# The stages of the workers: those of the order desk have none.
STAGES = (None, None, None, *('prefill',) * 2, *('decode',) * 4)
VM, OTHER_VM = 'front-a-1', 'front-b-1'

CONFIG = {
    'version': 2,
    'routes': [
        {
            'name': 'order-place',
            'host': standins.HOST,
            'prefix': '/place/',
            'kind': 'unsafe',
            'service': 'order-desk',
            'timeoutMs': 800,
            'targetLatencyMs': 150,
            'priority': 2,
            'maxAttempts': 1,
        }
    ],
    'services': [
        {
            'name': 'order-desk',
            'healthPath': '/healthz',
            'maxConnections': 110,
            'protocol': 'h1',
            'tls': False,
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class Case:
    """The fleet, the order of events and the check."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = standins.Store(record)
        self.sent_by = {}
        self.answers = {}
        self.arrivals = []
        self.drained_s = None
        self.in_touch_s = {}
        self.is_over = False

    def on_request(self, worker, request_id, headers):
        """Record that a worker begins to run a request."""
        self.arrivals.append((time.monotonic(), worker.name, request_id))
        self.record.write(f'{worker.name}: runs {request_id}')

    async def client(self, number, vm):
        """Send orders one after the other on a kept channel."""
        client, count = standins.Client(vm.front), 0
        while not self.is_over:
            count += 1
            request_id = f'{vm.name}-{number}-{count}'
            self.sent_by[request_id] = vm.name
            self.record.write(f'client: sends {request_id}')
            status, _, _ = await client.send(
                'POST', '/place/1', request_id, 1500
            )
            self.answers[request_id] = status
            self.record.write(f'client: {request_id} gets {status}')
            await asyncio.sleep(0.02)
        client.close()

    async def run(self):
        """Return whether the rule was broken, None if it could not run."""
        workers = [
            standins.Worker(
                f'i-{n}',
                'order-desk' if n < 3 else 'trade-assistant',
                'abc'[n % 3],
                self.record,
                self.on_request,
                WORK_S,
                STAGES[n],
            )
            for n in range(len(STAGES))
        ]
        for worker in workers:
            await worker.start()
            self.store.put(f'servers/{worker.name}', worker.entry())
        self.store.put('op/config', CONFIG)
        vms = []
        for name in (VM, OTHER_VM, 'front-c-1'):
            address = await self.store.listen(name)
            zone = name.split('-')[1]
            vms.append(standins.Vm(name, zone, address, self.folder))
        try:
            for vm in vms:
                await vm.start()
            for vm in vms:
                if not await vm.wait_ready():
                    return None
                self.in_touch_s[vm.name] = time.monotonic() + STABLE_S
            return await self.play(vms, workers)
        finally:
            self.is_over = True
            for vm in vms:
                await vm.stop()

    def drain(self, worker):
        """Have the store accept that a worker drains."""
        worker.sequence += 1
        self.store.put(f'servers/{worker.name}', worker.entry('draining'))
        self.record.write(f'store: accepts that {worker.name} drains')

    async def play(self, vms, workers):
        """Play the order of events and check the rule."""
        clients = [
            asyncio.create_task(self.client(number, vm))
            for vm in vms[:2]
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(STABLE_S + 1.0)
        opened_s = time.monotonic()
        while self.store.watches.get((VM, 'servers/'), 0.0) < opened_s:
            await asyncio.sleep(0.01)
        first, leaving = workers[-1], workers[0]
        start_s = time.monotonic()
        self.drain(first)
        await asyncio.sleep(SECOND_AFTER_S)
        self.drain(leaving)
        self.drained_s = time.monotonic()
        await asyncio.sleep(start_s + SILENT_AFTER_S - time.monotonic())
        if TROUBLE:
            self.store.silent.add(VM)
            self.record.write(f'store: gives {VM} no response from now on')
        await asyncio.sleep(start_s + SERVED_AFTER_S - time.monotonic())
        if TROUBLE:
            self.store.silent.discard(VM)
            self.in_touch_s[VM] = time.monotonic() + STABLE_S
            self.record.write(f'store: serves {VM} again')
        exit_s = self.drained_s + DRAIN_S + LINGER_S
        await asyncio.sleep(exit_s - time.monotonic())
        for worker in (first, leaving):
            await worker.exit()
            self.store.remove(f'servers/{worker.name}')
        await asyncio.sleep(2.0)
        self.is_over = True
        await asyncio.gather(*clients)
        return self.check(vms, leaving)

    def check(self, vms, leaving):
        """Say whether DRAIN was broken, and record how."""
        for vm in vms:
            if vm.process.returncode is not None:
                return None
        late = {}
        for moment_s, name, request_id in self.arrivals:
            vm = self.sent_by[request_id]
            if (
                name == leaving.name
                and moment_s > self.drained_s + DRAIN_S
                and moment_s >= self.in_touch_s[vm]
            ):
                late[request_id] = moment_s - self.drained_s
        lost = [r for r in leaving.cut if r in late]
        for request_id, age_s in late.items():
            self.record.write(
                f'DRAIN: {request_id} reached {leaving.name} {age_s:.3f} s '
                f'after the ack, in touch; its client got '
                f'{self.answers.get(request_id)}'
            )
        served = sum(status == 200 for status in self.answers.values())
        summary = (
            f'{len(self.answers)} requests, {served} answered 200; '
            f'{self.store.lost_responses} responses of the store lost; '
            f'{len(late)} requests reached the leaving worker later than '
            f'{DRAIN_S} s after the ack from machines in touch; '
            f'{len(lost)} of them were cut off by its end'
        )
        self.record.write(summary)
        print(summary)
        if not served:
            return None
        if TROUBLE and not self.store.lost_responses:
            return None
        return bool(late)


def main():
    """Return the exit status."""
    record = standins.Record(FOLDER / 'record.txt')
    with tempfile.TemporaryDirectory() as folder:
        try:
            is_broken = asyncio.run(
                asyncio.wait_for(Case(record, folder).run(), 100)
            )
        except (OSError, asyncio.TimeoutError) as exc:
            record.write(f'could not run: {exc!r}')
            is_broken = None
        finally:
            record.close()
    return 2 if is_broken is None else int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
