"""A model of the platform's store at its wire, with leases and restores.

`WireStore` answers the calls of the real client, without sockets and in the
time of a simulation.  A restore brings an older copy back: what was written
since is gone, and revisions and leases are given out again.
"""

import copy

import attrs
import orjson

NO_LEASE = 0


@attrs.define
class Contents:
    """What a copy has: items by key, and the end of each lease."""

    revision: int = 1
    last_lease: int = 0
    items: dict = attrs.field(factory=dict)
    leases: dict = attrs.field(factory=dict)


@attrs.define
class WireStore:
    """The store; ``clock()`` is the time of the simulation.

    It has a copy for each call, so that ``restore(age_s)`` can go back to any
    moment.
    """

    clock: object
    era: int = 1
    contents: Contents = attrs.field(factory=Contents)
    copies: list = attrs.field(factory=list)
    is_away: bool = False

    def restore(self, age_s):
        """Come back as the store was ``age_s`` ago, in a new era."""
        until_s = self.clock() - age_s
        older = [found for at_s, found in self.copies if at_s <= until_s]
        self.contents = copy.deepcopy(older[-1]) if older else Contents()
        self.copies.clear()
        self.era += 1

    def _expire(self):
        now, contents = self.clock(), self.contents
        ended = {
            k for k, (end_s, _) in contents.leases.items() if end_s <= now
        }
        for lease in ended:
            del contents.leases[lease]
        for key, item in list(contents.items.items()):
            if item['lease'] in ended:
                del contents.items[key]
                contents.revision += 1

    async def call_once(self, address, method, path, headers=(), body=b''):
        """Return (status, body)."""
        status, _, data = await self.fetch(
            address, method, path, headers, body
        )
        return status, data

    async def fetch(self, address, method, path, headers=(), body=b''):
        """Return (status, raw headers, body)."""
        del address, headers
        if self.is_away:
            raise ConnectionResetError('the store is away')
        self._expire()
        self.copies.append((self.clock(), copy.deepcopy(self.contents)))
        path, _, query = path.partition('?')
        data = orjson.loads(body) if body else {}
        status, answer = self._answer(path, query, data)
        era = str(self.era).encode()
        return status, [(b'store-era', era)], orjson.dumps(answer)

    def _answer(self, path, query, data):
        contents = self.contents
        if path == '/-/kv-lease':
            contents.last_lease += 1
            ttl_s = data['ttlMs'] / 1000
            contents.leases[contents.last_lease] = self.clock() + ttl_s, ttl_s
            return 200, {'lease': contents.last_lease}
        if path.startswith('/-/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in contents.leases:
                return 404, {}
            ttl_s = contents.leases[lease][1]
            contents.leases[lease] = self.clock() + ttl_s, ttl_s
            return 200, {}
        if path == '/-/kv-key':
            key = query.partition('=')[2].replace('%2F', '/')
            item = contents.items.get(key)
            return (200, item) if item else (404, {})
        return self._write(data)

    def _write(self, data):
        contents = self.contents
        for row in data['expected']:
            known = contents.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                return 412, {}
        leases = {row.get('lease', NO_LEASE) for row in data['setKeys']}
        if leases - {NO_LEASE, *contents.leases}:
            return 404, {}
        contents.revision += 1
        for row in data['setKeys']:
            contents.items[row['key']] = {
                'key': row['key'],
                'value': row['value'],
                'revision': contents.revision,
                'lease': row.get('lease', NO_LEASE),
            }
        for key in data['remove']:
            contents.items.pop(key, None)
        return 200, {'revision': contents.revision}
