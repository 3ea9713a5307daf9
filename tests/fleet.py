"""A loopback fleet for tests: a stand-in store, workers and one front.

The store imitates that of the users' platform. Each worker responds by a
script, so that a test decides which fault occurs.
"""

import base64
import pathlib
import socket
import sys
import types
import urllib.parse

import curio
import orjson

from mangorock import bounds
from mangorock import budget
from mangorock import client
from mangorock import eras
from mangorock import front
from mangorock import http
from mangorock import presence
from mangorock_standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'platform'))

from adapter import bodies  # noqa: E402
from adapter import cloud  # noqa: E402
from adapter import headers  # noqa: E402
from adapter import orders  # noqa: E402
from adapter import store as stores  # noqa: E402

HOST = 'desk.example'
# Repeats that a front has unless a test allows more or fewer.
FEW_REPEATS = 5
FOREVER_S = 86400.0


def make_config(version, **overrides):
    """Return a configuration in the form that operators store."""
    route = {
        'host': HOST,
        'timeoutMs': 1500,
        'targetLatencyMs': 300,
        'priority': 1,
    }
    config = {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'look',
                'prefix': '/look/',
                'kind': 'safe',
                'service': 'desk',
                'maxAttempts': 2,
            },
            {
                **route,
                'name': 'place',
                'prefix': '/place/',
                'kind': 'unsafe',
                'service': 'desk',
                'maxAttempts': 1,
            },
            {
                **route,
                'name': 'read',
                'prefix': '/read/',
                'kind': 'streaming',
                'service': 'llm',
                'maxAttempts': 2,
                'resumable': True,
                'targetGapMs': 100,
            },
            {
                **route,
                'name': 'ask',
                'prefix': '/ask/',
                'kind': 'streaming',
                'service': 'llm',
                'maxAttempts': 1,
                'targetGapMs': 100,
            },
        ],
        'services': [
            {'name': 'desk', 'maxConnections': 80},
            {
                'name': 'llm',
                'maxConnections': 80,
                'engine': {
                    'slots': 8,
                    'kvTokens': 90000,
                    'handleTtlS': 5.0,
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 5000,
        },
    }
    config.update(overrides)
    return config


class EraResponder:
    """Adds the era of the store to each answer."""

    def __init__(self, store, responder):
        self.store, self.responder = store, responder

    async def respond(self, status, body):
        """Send a complete response."""
        headers = [('store-era', str(self.store.era))]
        await self.responder.respond(status, body, headers)


class Store:
    """Stand-in of the platform's store with listing, watches and faults."""

    def __init__(self):
        self.port = ports.free_port()
        self.items = {}
        # The last write of each key, which a restore does not forget.
        self.written = {}
        self.events = []
        self.revision = 1
        self.compacted_revision = 0
        self.era = 1
        self.status = 200
        self.answer = None
        self.is_silent = False
        self.lost_responses = 0
        self.requested_paths = []
        self.last_lease = 0
        self.tasks = []

    async def start(self):
        """Start listening."""
        sock = http.listen('127.0.0.1', self.port)
        serve = http.serve, sock, self._handle, 1 << 20
        self.tasks.append(await curio.spawn(*serve, daemon=True))

    async def close(self):
        """Stop listening; pending watches receive no response."""
        while self.tasks:
            await self.tasks.pop().cancel()

    def put(self, key, value):
        """Write a key; a ``value`` that is not bytes is encoded as JSON."""
        if not isinstance(value, bytes):
            value = orjson.dumps(value)
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
        }
        self.items[key] = self.written[key] = item
        self.events.append(item)

    def remove(self, key):
        """Remove a key, which a restore may have lost already."""
        self.revision += 1
        self.items.pop(key, None)
        self.written.pop(key, None)
        event = {'key': key, 'revision': self.revision, 'removed': True}
        self.events.append(event)

    def compact_history(self):
        """Drop all events, so that watches of older revisions get 410."""
        self.compacted_revision = self.revision
        self.events = []

    def take_copy(self):
        """Return what `restore` brings back."""
        return types.SimpleNamespace(
            items=dict(self.items),
            revision=self.revision,
            last_lease=self.last_lease,
        )

    def restore(self, copy):
        """Lose all that was written since a copy was taken."""
        self.items, self.events = dict(copy.items), []
        self.revision = self.compacted_revision = copy.revision
        self.last_lease = copy.last_lease
        self.era += 1

    async def _handle(self, request, responder):
        responder = EraResponder(self, responder)
        await self._lose_if_silent()
        if request.method == 'POST':
            return await self._write(request, responder)
        path, _, query = request.path.partition('?')
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.requested_paths.append(path)
        if self.status != 200:
            return await responder.respond(self.status, b'')
        if self.answer is not None:
            return await responder.respond(200, self.answer)
        if path == '/-/kv-range':
            prefix = query['prefix']
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            page = {'items': items[:2], 'hasMore': len(items) > 2}
            page['storeRevision'] = self.revision
            return await responder.respond(200, page)
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return await responder.respond(404, b'')
            return await responder.respond(200, item)
        return await self._watch(query, responder)

    async def _lose_if_silent(self):
        """Return nothing further on this connection if the store is silent."""
        if self.is_silent:
            self.lost_responses += 1
            await curio.sleep(FOREVER_S)

    async def _write(self, request, responder):
        self.requested_paths.append(request.path)
        if self.status != 200:
            return await responder.respond(self.status, b'')
        if request.path == '/-/kv-lease':
            self.last_lease += 1
            return await responder.respond(200, {'lease': self.last_lease})
        if request.path.startswith('/-/kv-keep/'):
            lease = int(request.path.rpartition('/')[2])
            status = 200 if lease == self.last_lease else 404
            return await responder.respond(status, {})
        body = request.json()
        for row in body['expected']:
            known = self.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                return await responder.respond(412, b'')
        for item in body['setKeys']:
            self.put(item['key'], base64.b64decode(item['value']))
        return await responder.respond(200, {'revision': self.revision})

    async def _watch(self, query, responder):
        after = int(query['after'])
        end_s = await curio.clock() + int(query['waitMs']) / 1000
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return await responder.respond(410, b'')
            if self.answer is not None:
                return await responder.respond(200, self.answer)
            matches = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            if matches or await curio.clock() > end_s:
                await self._lose_if_silent()
                reply = {'events': matches, 'storeRevision': self.revision}
                return await responder.respond(200, reply)
            await curio.sleep(0.01)


def make_platform():
    """Return the adapter that platform/serve.py builds."""
    return types.SimpleNamespace(
        wire=headers,
        orders=orders,
        cloud=cloud,
        make_store=stores.Store,
        config_prefix=bodies.CONFIG_PREFIX,
        servers_prefix=bodies.SERVERS_PREFIX,
        decode_catalog=lambda item: bodies.decode_catalog(item.value),
        decode_server=bodies.decode_server,
        server_id=bodies.server_id,
    )


def has_read(daemon, store, revision=None):
    """Say whether a daemon has read a revision, by default the newest."""
    if revision is None:
        revision = store.revision
    newest = eras.make_position(store.era, revision)
    return daemon.subscription.revision >= newest


class HeldShare(presence.SlackShare):
    """The share of a VM that is alone and holds all of the slack."""

    def part(self, settle_s, now):
        """Return the whole."""
        del settle_s, now
        return 1.0


class Fleet:
    """A store, workers and one front as an async context manager."""

    def __init__(self, *workers, config=None, **settings):
        self.workers = workers
        self.store = Store()
        self.store.put('op/config', config or make_config(2))
        for worker in workers:
            self.store.put(f'servers/{worker.name}', worker.entry())
        self.settings = bounds.FrontSettings(
            vm='vm-1',
            failure_domain='a',
            caller_address=('127.0.0.1', ports.free_port()),
            ready_address=('127.0.0.1', ports.free_port()),
            store_address=f'127.0.0.1:{self.store.port}',
            **{'grace_s': 2.0, **settings},
        )
        self.front = front.FrontDaemon(self.settings, make_platform())
        self.client = client.Client()
        self.request_count = 0
        self.allow_repeats(FEW_REPEATS)

    def allow_repeats(self, count):
        """Let the front repeat so many requests of each service, from now."""
        budgets = self.front.gateway.budgets
        budgets.services.clear()
        budgets.terms = budget.Terms(0.0, FOREVER_S, count)
        budgets.share = HeldShare()

    async def __aenter__(self):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
        await self.front.start()
        while not self.front.is_ready:
            await curio.sleep(0.01)
        return self

    async def __aexit__(self, *exc):
        await self.front.close()
        await self.client.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()

    async def wait_for_updates(self):
        """Wait until the front has seen the newest revision of the store.

        Raises `curio.TaskTimeout` if that takes longer than ``config_s``.
        """
        front, newest = self.front, self.store.revision
        async with curio.timeout_after(self.settings.config_s):
            while not has_read(front, self.store, newest):
                await curio.sleep(0.01)

    def request_headers(self, *extra_headers):
        """Return a caller's headers with a new request id."""
        self.request_count += 1
        return [
            ('host', HOST),
            ('x-request-id', f'r{self.request_count}'),
            ('x-deadline-ms', '1400'),
            *extra_headers,
        ]

    async def open(self):
        """Open a new connection to the front and return its exchange."""
        host, port = self.settings.caller_address
        return await self.client.open(f'{host}:{port}', new_connection=True)

    async def request(self, method, path, *extra_headers, body=b''):
        """Send a request; return its exchange and the response body."""
        exchange = await self.open()
        request_headers = self.request_headers(*extra_headers)
        await exchange.send(method, path, request_headers, body)
        data = await exchange.read()
        await self.client.discard(exchange)
        return exchange, data


def shut_down(sock):
    """Shut down a socket that another task reads, if it is still open."""
    try:
        with sock.blocking() as raw:
            raw.shutdown(socket.SHUT_RDWR)
    except (OSError, ValueError):
        return


async def wait_until(condition, seconds=2.0):
    """Wait until ``condition()`` is true.

    Raises `curio.TaskTimeout` after ``seconds``.
    """
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.01)


def prompt_headers(tokens=300, prefix_parts='aa:55,bb:245'):
    """Return headers with the model, token counts and prefix of a prompt."""
    return (
        ('x-model-name', 'm'),
        ('x-token-counts', f'{tokens},40'),
        ('x-prompt-prefix', prefix_parts),
    )
