"""A stand-in of the platform's store, after the users' PROTOCOL.md.

Items with revisions and leases, listings in pages, watches and transactions.
`Store.put` and `Store.remove` are what the operator and the workers do; they
return the moment of the store's answer, which is the ack.
"""

import asyncio
import base64
import json
import time
import urllib.parse

from standins_2 import web

PAGE_ITEMS = 500
RESERVED = ('op/', 'servers/')


class Store:
    """The store; its first change gets the one after ``first_revision``."""

    def __init__(self, first_revision=100):
        self.items = {}
        self.events = []
        self.revision = first_revision
        self.first_known = first_revision
        self.era = 1
        self.is_away = False
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.server = None
        self.address = ''

    async def start(self, host):
        """Listen at a free port of ``host``."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.expiring = asyncio.create_task(self._expire())

    async def close(self):
        """Stop listening."""
        self.expiring.cancel()
        self.server.close()

    def put(self, key, value, lease=0):
        """Write a key; return the time at which it was written."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._write([(key, value, lease)], [])
        return time.monotonic()

    def remove(self, key):
        """Remove a key; return the time at which it was removed."""
        self._write([], [key])
        return time.monotonic()

    def take_copy(self):
        """Return what `restore` brings back."""
        return (
            dict(self.items),
            self.revision,
            dict(self.leases),
            self.last_lease,
        )

    def restore(self, found):
        """Come back as the store was when a copy was taken, in a new era."""
        items, self.revision, leases, self.last_lease = found
        self.items, self.leases = dict(items), dict(leases)
        self.events, self.first_known = [], self.revision
        self.era += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _write(self, rows, removed):
        self.revision += 1
        for key, value, lease in rows:
            known = self.items.get(key)
            item = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease': lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {'key': key, 'revision': self.revision}
                self.events.append({**event, 'removed': True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = {k for k, (end, _) in self.leases.items() if end <= now}
            self._end_leases(ended)

    def _end_leases(self, ended):
        for lease in ended:
            del self.leases[lease]
        gone = [k for k, i in self.items.items() if i['lease'] in ended]
        if gone:
            self._write([], gone)

    async def _serve(self, reader, writer):
        await web.serve(reader, writer, self._handle)

    async def _handle(self, request, writer):
        path, _, query = request.target.partition('?')
        fields = urllib.parse.parse_qsl(query, keep_blank_values=True)
        if self.is_away:
            writer.transport.abort()
            return
        status, data = await self._answer(request, path, dict(fields))
        if self.is_away:
            writer.transport.abort()
            return
        body, era = json.dumps(data).encode(), f'Store-Era: {self.era}'
        await web.respond(writer, status, body, era)

    async def _answer(self, request, path, query):
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'storeRevision': self.revision}
        if path == '/-/kv-range':
            return 200, self._page(query)
        if path == '/-/kv-watch':
            return await self._watch(query)
        data = json.loads(request.body or b'{}')
        if path == '/-/kv-lease':
            return 200, self._grant(data)
        if path.startswith('/-/kv-keep/'):
            return self._keep(int(path.rpartition('/')[2]))
        if path.startswith('/-/kv-lease-end/'):
            self._end_leases({int(path.rpartition('/')[2])} & {*self.leases})
            return 200, {}
        if path == '/-/kv-txn':
            return self._commit(data)
        return 400, {}

    def _page(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'storeRevision': self.revision,
        }

    async def _watch(self, query):
        after, end_s = int(query['after']), time.monotonic()
        end_s += int(query['waitMs']) / 1000
        while True:
            changed = self.changed
            if not self.first_known <= after <= self.revision:
                return 410, {}
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {
                    'events': found,
                    'storeRevision': self.revision,
                }
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

    def _grant(self, data):
        self.last_lease += 1
        ttl_s = data['ttlMs'] / 1000
        self.leases[self.last_lease] = time.monotonic() + ttl_s, ttl_s
        return {'lease': self.last_lease, 'ttlMs': data['ttlMs']}

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = time.monotonic() + ttl_s, ttl_s
        return 200, {'ttlMs': int(ttl_s * 1000)}

    def _commit(self, data):
        written = data.get('setKeys', [])
        removed = data.get('remove', [])
        keys = [row['key'] for row in written] + removed
        if any(key.startswith(RESERVED) for key in keys):
            return 403, {}
        for row in data.get('expected', []):
            known = self.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                return 412, {'items': []}
        leases = {row.get('lease', 0) for row in written}
        if leases - {0, *self.leases}:
            return 404, {}
        rows = [
            (row['key'], base64.b64decode(row['value']), row.get('lease', 0))
            for row in written
        ]
        self._write(rows, removed)
        return 200, {'revision': self.revision}
