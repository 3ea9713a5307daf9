"""Stand-ins of workers, after the users' PROTOCOL.md.

A `Worker` answers plain requests; an `Engine` reads prompts, keeps handles
and streams.  Both check ``X-Expect-Instance``, echo the id of the request and
note in ``arrivals`` what reached them and in ``runs`` what they began to run.
"""

import asyncio
import json
import time

from standins_2 import web

SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'


class Worker:
    """A worker of a service; ``work_s`` is how long a request takes."""

    def __init__(self, name, service, zone, record, work_s=0.02, slots=6):
        self.name, self.service, self.zone = name, service, zone
        self.record, self.work_s, self.slots = record, work_s, slots
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.arrivals, self.runs, self.ends = [], [], {}
        self.connections = set()
        self.server = None
        self.address = ''

    async def start(self, host):
        """Listen at a free port of ``host``."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def close(self):
        """End as a process does: all connections are closed."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self, **changed):
        """Return the next version of its entry in the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
            **changed,
        }

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await web.serve(reader, writer, self._handle)
        finally:
            self.connections.discard(writer)

    async def _handle(self, request, writer):
        request_id = request.headers.get('x-request-id', '')
        expected = request.headers.get('x-expect-instance', self.name)
        if request_id:
            self.arrivals.append((time.monotonic(), request_id))
        if expected != self.name:
            await self._reject(writer, request_id, 421)
            return
        await self.run(request, request_id, writer)

    async def _reject(self, writer, request_id, status):
        await web.respond(
            writer,
            status,
            b'',
            f'X-Request-Id: {request_id}',
            f'X-Instance-Id: {self.name}',
            'X-Not-Executed: 1',
        )

    def begin(self, request_id):
        """Note that a request begins to run."""
        self.runs.append((time.monotonic(), request_id))
        self.record('run', self.name, request_id)

    async def run(self, request, request_id, writer):
        """Run a request and write the answer."""
        self.begin(request_id)
        await asyncio.sleep(self.work_s)
        await web.respond(
            writer,
            200,
            f'done {request_id}'.encode(),
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: {SIGNATURE}',
        )


class Engine(Worker):
    """A model worker that reads ``tokens_per_s`` and streams events.

    It reads one prompt at a time and has all parts but a prompt's last kept,
    once it has read them.  ``event_ids`` are the ids of a stream's events.
    """

    def __init__(self, name, service, zone, record, stage, **options):
        self.event_ids = options.pop('event_ids', (1, 2, 3, 4, 5, 6))
        self.gap_s = options.pop('gap_s', 0.05)
        self.tokens_per_s = options.pop('tokens_per_s', 48200.0)
        super().__init__(name, service, zone, record, slots=64, **options)
        self.stage = stage
        self.kept, self.handles = set(), set()
        self.reading = asyncio.Lock()

    def entry(self, **changed):
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        extra = {'stage': self.stage, 'models': models}
        return super().entry(**{**extra, **changed})

    async def _handle(self, request, writer):
        if request.target == '/-/report':
            await web.respond(writer, 200, self._report())
        elif request.target.startswith('/-/kv-handle/'):
            self.handles.discard(request.target.rpartition('/')[2])
            await web.respond(writer, 200, b'{}')
        else:
            await super()._handle(request, writer)

    def _report(self):
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        return json.dumps(
            {
                'stage': self.stage,
                'models': models,
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': 0,
                'kvUsed': 0,
                'kvTotal': 440559,
                'handles': len(self.handles),
                'born': self.born,
            }
        ).encode()

    async def _read(self, request, speed=1.0):
        """Read the prompt's parts that are not kept."""
        parts = request.headers.get('x-prompt-prefix', '').split(',')
        rows = [part.partition(':') for part in parts if part]
        async with self.reading:
            tokens = sum(int(n) for i, _, n in rows if i not in self.kept)
            await asyncio.sleep(tokens / self.tokens_per_s / speed)
            self.kept.update(i for i, _, _ in rows[:-1])

    async def run(self, request, request_id, writer):
        is_prefill = request.headers.get('x-serving-stage') == 'prefill'
        if is_prefill != (self.stage == 'prefill'):
            await self._reject(writer, request_id, 421)
        elif is_prefill:
            await self._prefill(request, request_id, writer)
        else:
            await self._stream(request, request_id, writer)

    async def _prefill(self, request, request_id, writer):
        await self._read(request)
        handle = f'{self.name}-{len(self.handles)}-{request_id}'
        self.handles.add(handle)
        body = {'handle': handle, 'tokens': 1, 'version': 1}
        await web.respond(
            writer,
            200,
            json.dumps(body).encode(),
            f'X-Request-Id: {request_id}',
            'Content-Type: application/json',
        )

    async def _stream(self, request, request_id, writer):
        if 'x-kv-source' not in request.headers:
            await self._read(request, 0.5)
        self.begin(request_id)
        writer.write(
            web.encode_head(
                200,
                f'X-Request-Id: {request_id}',
                f'X-Response-Signature: {SIGNATURE}',
                'X-Weight-Versions: 1',
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        last = int(request.headers.get('last-event-id', 0))
        for number in self.event_ids:
            if number > last:
                await asyncio.sleep(self.gap_s)
                data = b'id: %d\ndata: piece %d\n\n' % (number, number)
                writer.write(b'%x\r\n%s\r\n' % (len(data), data))
                await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.ends[request_id] = time.monotonic()
        self.record('end', self.name, request_id)
