"""A simulated platform: key-value store, leases and the VM list.

Run ``python -m mangorock_standins.platform --port 7000``.  All state is kept
in memory.  ``POST /control/faults`` takes ``delay_s``, ``is_down`` and
``lose_answers``; ``POST /control/vms`` sets the VM list; ``GET
/control/calls`` returns the number of calls by method and first path segment.
"""

import argparse
import collections

import curio

from mangorock_standins import shell

MAX_VALUE_BYTES = 1_000_000


class Store:
    """Versioned keys, leases and the VM list.

    It reads no clock: callers pass the current time, so that tests can
    simulate it.
    """

    def __init__(self):
        self.version = 0
        self.entries = {}
        self.leases = {}
        self.vms = []

    def expire_leases(self, now):
        """Remove expired leases and the keys attached to them."""
        expired = {
            lease
            for lease, (_, expires_at) in self.leases.items()
            if expires_at <= now
        }
        for lease in expired:
            self.revoke_lease(lease)

    def revoke_lease(self, lease):
        """Remove a lease and the keys attached to it."""
        self.leases.pop(lease, None)
        for key, (_, _, key_lease) in list(self.entries.items()):
            if key_lease == lease:
                del self.entries[key]

    def swap(self, key, value, expected_version, lease=''):
        """Write a key if its version is ``expected_version``.

        Version 0 stands for a key that does not exist.  Returns whether the
        key was written, and its current version.  With ``lease``, the write
        also fails if the lease does not exist; otherwise the key is removed
        together with the lease.
        """
        current_version = self.entries.get(key, ('', 0, ''))[1]
        if current_version != expected_version or (
            lease and lease not in self.leases
        ):
            return False, current_version
        self.version += 1
        self.entries[key] = (value, self.version, lease)
        return True, self.version

    def delete(self, key, expected_version):
        """Delete a key if its version matches; return whether it did."""
        if self.entries.get(key, ('', 0, ''))[1] != expected_version:
            return False
        self.entries.pop(key, None)
        self.version += 1
        return True

    def grant_lease(self, ttl_s, now):
        """Create a lease of ``ttl_s`` seconds and return its id."""
        self.version += 1
        lease = f'lease{self.version}'
        self.leases[lease] = (ttl_s, now + ttl_s)
        return lease

    def renew_lease(self, lease, now):
        """Renew a lease; return whether it still existed."""
        if lease not in self.leases:
            return False
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, now + ttl_s)
        return True

    def get(self, key):
        """Return the HTTP status and the JSON data of a key."""
        if key not in self.entries:
            return 404, {'value': '', 'version': 0}
        value, version, _ = self.entries[key]
        return 200, {'value': value, 'version': version}


class Server:
    """HTTP interface of a `Store`."""

    def __init__(self):
        self.store = Store()
        self.faults = shell.Faults()
        self.calls = collections.Counter()
        self.changed = curio.Condition()

    async def handle(self, request, responder):
        """Handle one HTTP request."""
        parts, query = shell.split_path(request.path)
        if parts[0] == 'control':
            await self._control(parts, request, responder)
            return
        self.calls[f'{request.method} {parts[0]}'] += 1
        if self.faults.delay_s:
            await curio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            await shell.respond_json(responder, 503, {'error': 'down'})
            return
        self.store.expire_leases(await curio.clock())
        is_write = request.method != 'GET'
        status, data = await self._handle_call(parts, query, request)
        if is_write and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise shell.ConnectionDropped('injected fault: response dropped')
        await shell.respond_json(responder, status, data)

    async def _control(self, parts, request, responder):
        match parts[1]:
            case 'faults':
                self.faults.update(request.json())
            case 'vms':
                self.store.vms = request.json()
            case 'calls':
                await shell.respond_json(responder, 200, dict(self.calls))
                return
        await shell.respond_json(responder, 200, {})

    async def _handle_call(self, parts, query, request):
        store = self.store
        match request.method, parts:
            case 'GET', ['kv', key]:
                return store.get(key)
            case 'GET', ['keys']:
                return 200, self._list_keys(query['prefix'])
            case 'GET', ['watch', key]:
                return await self._watch(key, query)
            case 'GET', ['vms']:
                return 200, store.vms
            case 'PUT', ['kv', key]:
                return await self._compare_and_swap(key, request.json())
            case 'DELETE', ['kv', key]:
                is_deleted = store.delete(key, int(query['expected']))
                await self._notify()
                return (200 if is_deleted else 409), {}
            case 'POST', ['leases']:
                now = await curio.clock()
                ttl_s = request.json()['ttl_s']
                return 200, {'lease': store.grant_lease(ttl_s, now)}
            case 'POST', ['leases', lease]:
                is_renewed = store.renew_lease(lease, await curio.clock())
                return (200 if is_renewed else 404), {}
            case 'DELETE', ['leases', lease]:
                store.revoke_lease(lease)
                return 200, {}
        return 404, {'error': 'unknown method or path'}

    def _list_keys(self, prefix):
        return {
            key: {'value': value, 'version': version}
            for key, (value, version, _) in self.store.entries.items()
            if key.startswith(prefix)
        }

    async def _compare_and_swap(self, key, data):
        if len(data['value']) > MAX_VALUE_BYTES:
            return 400, {'error': 'value exceeds 1 MB', 'version': 0}
        is_swapped, version = self.store.swap(
            key, data['value'], data['expected'], data['lease']
        )
        await self._notify()
        return (200 if is_swapped else 409), {'version': version}

    async def _notify(self):
        async with self.changed:
            await self.changed.notify_all()

    async def _watch(self, key, query):
        after_version, wait_s = int(query['after']), float(query['wait_s'])
        async with curio.ignore_after(wait_s):
            async with self.changed:
                while self.store.get(key)[1]['version'] <= after_version:
                    await self.changed.wait()
        return self.store.get(key)


def main():
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=7000)
    args = parser.parse_args()
    curio.run(shell.serve, args.port, Server().handle)


if __name__ == '__main__':
    main()
