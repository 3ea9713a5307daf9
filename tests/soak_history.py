"""A store that goes back in time, and changes faster than a link carries them.

The store loses its newest writes and comes back in a new era from a copy some
seconds old; what the operator and the servers wrote is written again a moment
later, and what had left is in it until then.  At other times the link between
a VM and the store is narrow while the configuration changes again and again.
"""

import base64
import re

import attrs
import curio
import orjson

from tests import soak_world

SERVERS_PREFIX = 'servers/'
OPERATOR_PREFIXES = ('op/', SERVERS_PREFIX)
COPY_INTERVAL_S = 0.25
MAX_COPIES = 24
# Each VM acts on the newest configuration within this time after all faults.
IN_FORCE_S = 5.0
READ = re.compile(r'event=config_read version=(\d+) .*in_force=True')
STARTED = 'event=started '


@attrs.define
class History:
    """Restores copies of the store and narrows links, with a check."""

    soak: object
    rng: object
    copies: list = attrs.field(factory=list)

    async def run(self, end_s):
        """Inject these faults until ``end_s``."""
        due_s = soak_world.now() + self.rng.uniform(1.0, 3.0)
        while soak_world.now() < end_s:
            self.copies.append(self.soak.store.take_copy())
            del self.copies[:-MAX_COPIES]
            await curio.sleep(COPY_INTERVAL_S)
            if soak_world.now() >= due_s:
                fault = self.rng.choice((self._restore, self._change_quickly))
                await fault()
                due_s = soak_world.now() + self.rng.uniform(1.0, 5.0)

    async def _restore(self):
        """Lose the newest writes, also several times in a row."""
        store, counts = self.soak.store, self.soak.checker.counts
        for _ in range(self.rng.choice((1, 1, 2))):
            store.is_silent = self.rng.random() < 0.5
            await curio.sleep(self.rng.uniform(0.0, 0.6))
            store.restore(self.rng.choice(self.copies))
            store.is_silent = False
            counts['store', 'restored'] += 1
            await curio.sleep(self.rng.uniform(0.1, 1.5))
            self._write_again()
        self.copies.clear()
        self.copies.append(store.take_copy())

    def _write_again(self):
        """Write what the operator and the servers wrote last.

        A server reports anew, with a higher sequence.
        """
        store, written = self.soak.store, dict(self.soak.store.written)
        for key in sorted({*store.items, *written}):
            if not key.startswith(OPERATOR_PREFIXES):
                continue
            if key not in written:
                store.remove(key)
            elif store.items.get(key) != written[key]:
                store.put(key, self._report_anew(key, written[key]))

    def _report_anew(self, key, item):
        value = base64.b64decode(item['value'])
        if not key.startswith(SERVERS_PREFIX):
            return value
        self.soak.sequence += 1
        return {**orjson.loads(value), 'sequence': self.soak.sequence}

    async def _change_quickly(self):
        """Narrow the link of one VM while the configuration changes."""
        proxy = self.rng.choice(self.soak.vms).proxy
        proxy.mode = 'narrow'
        self.soak.checker.counts['link', 'narrowed'] += 1
        for _ in range(self.rng.randrange(4, 12)):
            self.soak.change_config()
            await curio.sleep(self.rng.uniform(0.05, 0.3))
        proxy.mode = 'fine'

    async def check(self):
        """Check that each VM has the newest configuration, none older."""
        for vm in self.soak.vms:
            found = []
            try:
                async with curio.timeout_after(IN_FORCE_S):
                    while self.soak.version not in found[-1:]:
                        await curio.sleep(0.1)
                        found = read_versions(vm.log_path)
            except curio.TaskTimeout:
                self.soak.checker.violations.append(
                    f'vm-{vm.number} has configuration {found[-1:]}, not '
                    f'{self.soak.version}'
                )
            self.soak.checker.check(
                found == sorted(set(found)),
                f'vm-{vm.number} took an older configuration: {found}',
            )


def read_versions(path):
    """Return the versions that the last process of a log put in force."""
    versions = []
    with open(path, errors='replace') as lines:
        for line in lines:
            if STARTED in line:
                versions = []
            found = READ.search(line)
            if found:
                versions.append(int(found.group(1)))
    return versions
