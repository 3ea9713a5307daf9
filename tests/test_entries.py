"""Tests of odd entries that another writer left among those of the servers."""

import unittest

import hypothesis
from hypothesis import strategies
import orjson

from mangorock import directory as directories
from mangorock import mirror
from tests import fleet
from tests import test_front
from tests import workers

DEPTHS = (300, 1000, 1020, 100000)
NUMBERS = (b'1e400', b'9' * 30, b'9' * 400, b'18446744073709551615', b'-1')
ADDRESSES = (
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '127.0.0.1:99999999999999',
    '127.0.0.1:\u00b2',
    '999.0.0.1:80',
    'nowhere:80',
)
SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)


def nested(depth):
    """Return a list in JSON that is so deeply nested."""
    return b'[' * depth + b']' * depth


def odd_entries(entry):
    """Return entries that differ from a sound one in one field."""
    values = [*map(nested, DEPTHS), *NUMBERS]
    found = list(map(nested, DEPTHS))
    for name in entry:
        sound = orjson.dumps({**entry, name: '@'})
        found += [sound.replace(b'"@"', value) for value in values]
    found += [
        orjson.dumps({**entry, 'address': address}) for address in ADDRESSES
    ]
    return found


class OddEntries(unittest.TestCase):
    """Odd entries name no server, and the others are followed on."""

    def test_odd_entry_names_no_server(self):
        entry = workers.Worker('w1', 'desk', workers.whole_response).entry()
        sound = fleet.bodies.decode_server(
            mirror.Item('servers/i-1', orjson.dumps(entry), 1)
        )
        for value in odd_entries(entry):
            item = mirror.Item('servers/i-1', value, 1)
            # How cold a server is, is not used.
            self.assertIn(
                fleet.bodies.decode_server(item), (None, sound), value[:200]
            )

    def test_entry_that_lacks_a_field_names_no_server(self):
        # Nearly all requests went there, and got 421.
        entry = workers.Worker('w1', 'desk', workers.whole_response).entry()
        for name in (
            'service',
            'address',
            'zone',
            'version',
            'slots',
            'state',
            'sequence',
        ):
            value = {k: v for k, v in entry.items() if k != name}
            item = mirror.Item('servers/i-1', orjson.dumps(value), 1)
            self.assertIsNone(fleet.bodies.decode_server(item), name)

    @SETTINGS
    @hypothesis.given(
        name=strategies.text(max_size=5),
        changes=strategies.dictionaries(
            strategies.sampled_from(
                ('service', 'address', 'zone', 'slots', 'state', 'born')
            ),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers(-(2**63), 2**64 - 1)
                | strategies.floats(allow_nan=False, allow_infinity=False)
                | strategies.text(),
                lambda inner: (
                    strategies.lists(inner)
                    | strategies.dictionaries(strategies.text(), inner)
                ),
            ),
        ),
    )
    def test_any_entry_is_decoded_or_ignored(self, name, changes):
        entry = workers.Worker('w1', 'desk', workers.whole_response).entry()
        value = orjson.dumps({**entry, **changes})
        fleet.bodies.decode_server(mirror.Item(f'servers/{name}', value, 1))

    @test_front.run
    async def test_servers_are_followed_beside_odd_entries(self):
        # One entry made each listing fail, and its port each request.
        worker = workers.Worker('w1', 'desk', workers.whole_response)
        late = workers.Worker('w2', 'desk', workers.whole_response)
        async with fleet.Fleet(worker) as cluster:
            for number, value in enumerate(odd_entries(worker.entry())):
                cluster.store.put(f'servers/odd-{number}', value)
            cluster.store.put('servers/w\n\u00fc', worker.entry())
            await late.start()
            cluster.store.put('servers/w2', late.entry())
            servers = cluster.front.gateway.registry.servers
            await fleet.wait_until(lambda: 'w2' in servers)
            statuses = [
                (await cluster.request('POST', '/place/', body=b'o'))[0].status
                for _ in range(20)
            ]
            await late.close()
        self.assertEqual([200] * 20, statuses)

    def test_odd_vm_is_ignored(self):
        for value in (
            b'["r", "10.0.0.1", 99999, 1.0]',
            b'["r", "10.0.0.1", 1e400, 1.0]',
            b'["r", "10.0.0.1", 7660, 0]',
            b'["r", "10.0.0.1", 7660, "inf"]',
            nested(1000),
        ):
            item = mirror.Item('mangorock/vms/vm-9', value, 1)
            self.assertIsNone(directories.decode_peer(item), value[:80])


if __name__ == '__main__':
    unittest.main()
