"""A machine in touch runs orders at a service that the route has left."""

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
CONFIG_S = standins.BOUNDS['configMs'] / 1000
STABLE_S = standins.BOUNDS['stableWindowMs'] / 1000
# Two configs follow each other, `SECOND_AFTER_S` apart; the second moves the
# route.  Then the store gives one machine no response, from `SILENT_AFTER_S`
# to `SERVED_AFTER_S` after the first.
SECOND_AFTER_S = 0.1
SILENT_AFTER_S = 0.2
SERVED_AFTER_S = 0.9
WORK_S = 0.045
CLIENTS = 4
VM, OTHER_VM = 'front-a-1', 'front-b-1'


def make_config(version, service):
    """Return a config whose route leads to ``service``."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'order-place',
                'host': standins.HOST,
                'prefix': '/place/',
                'kind': 'unsafe',
                'service': service,
                'timeoutMs': 800,
                'targetLatencyMs': 150,
                'priority': 2,
                'maxAttempts': 1,
            }
        ],
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConnections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in ('order-desk', 'order-desk-b')
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
        self.sent = {}
        self.answers = {}
        self.arrivals = []
        self.acked_s = None
        self.in_touch_s = {}
        self.is_over = False

    def on_request(self, worker, request_id, headers):
        """Record that a worker begins to run a request."""
        self.arrivals.append((worker.service, request_id))
        self.record.write(f'{worker.name}: runs {request_id}')

    async def client(self, number, vm):
        """Send orders one after the other on a kept channel."""
        client, count = standins.Client(vm.front), 0
        while not self.is_over:
            count += 1
            request_id = f'{vm.name}-{number}-{count}'
            self.sent[request_id] = time.monotonic(), vm.name
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
                f'i-{service}-{zone}',
                service,
                zone,
                self.record,
                self.on_request,
                WORK_S,
            )
            for service in ('order-desk', 'order-desk-b')
            for zone in 'abc'
        ]
        for worker in workers:
            await worker.start()
            self.store.put(f'servers/{worker.name}', worker.entry())
        self.store.put('op/config', make_config(2, 'order-desk'))
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
            return await self.play(vms)
        finally:
            self.is_over = True
            for vm in vms:
                await vm.stop()

    async def play(self, vms):
        """Play the order of events and check the rule."""
        clients = [
            asyncio.create_task(self.client(number, vm))
            for vm in vms[:2]
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(STABLE_S + 1.0)
        opened_s = time.monotonic()
        while self.store.watches.get((VM, 'op/'), 0.0) < opened_s:
            await asyncio.sleep(0.01)
        start_s = time.monotonic()
        self.store.put('op/config', make_config(5, 'order-desk'))
        self.record.write('store: accepts version 5')
        await asyncio.sleep(SECOND_AFTER_S)
        self.store.put('op/config', make_config(9, 'order-desk-b'))
        self.acked_s = time.monotonic()
        self.record.write('store: accepts version 9, route to order-desk-b')
        await asyncio.sleep(start_s + SILENT_AFTER_S - time.monotonic())
        if TROUBLE:
            self.store.silent.add(VM)
            self.record.write(f'store: gives {VM} no response from now on')
        await asyncio.sleep(start_s + SERVED_AFTER_S - time.monotonic())
        if TROUBLE:
            self.store.silent.discard(VM)
            self.in_touch_s[VM] = time.monotonic() + STABLE_S
            self.record.write(f'store: serves {VM} again')
        await asyncio.sleep(STABLE_S + 3.0)
        self.is_over = True
        await asyncio.gather(*clients)
        return self.check(vms)

    def check(self, vms):
        """Say whether CONFIG was broken, and record how."""
        for vm in vms:
            if vm.process.returncode is not None:
                return None
        late = {}
        for service, request_id in self.arrivals:
            sent_s, vm = self.sent[request_id]
            if (
                service == 'order-desk'
                and sent_s > self.acked_s + CONFIG_S
                and sent_s >= self.in_touch_s[vm]
            ):
                late[request_id] = sent_s - self.acked_s
        for request_id, age_s in late.items():
            self.record.write(
                f'CONFIG: {request_id} was sent {age_s:.3f} s after the ack '
                'of version 9, in touch, and ran at order-desk'
            )
        served = sum(status == 200 for status in self.answers.values())
        summary = (
            f'{len(self.answers)} requests, {served} answered 200; '
            f'{self.store.lost_responses} responses of the store lost; '
            f'{len(late)} requests that were sent later than {CONFIG_S} s '
            'after the ack to machines in touch ran at the old service'
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
