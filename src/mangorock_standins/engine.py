"""A simulated inference engine.

Run ``python -m mangorock_standins.engine --port 7100``.  One loop advances
all running streams together (continuous batching) and processes the prefill
queue in chunks, so a long prompt delays the tokens of the other requests.  A
role change aborts all running and queued requests, which is the worst
behavior that the protocol allows an engine.

``POST /control/faults`` takes ``speed`` (1.0 is nominal), ``is_down``,
``delay_s``, ``is_leaving``, ``cut_streams`` (number of streams to abort at
their next token), ``crash_in_change`` (the next role change loses the cache
and does not take effect) and ``drop_events`` (number of cache events to
lose); ``GET /control/log`` returns the orders that were accepted or refused
as busy, and counters of aborted and finished streams.
"""

import argparse
import collections

import attrs
import curio
import orjson

from mangorock import client
from mangorock import engine
from mangorock_standins import shell

PREFILL_CHUNK_TOKENS = 512
SNAPSHOT_INTERVAL_S = 0.1
MAX_EVENTS = 1000
KV_TRANSFER_TOKENS_PER_S = 200_000.0


@attrs.define
class Stream:
    """A running or queued request.

    ``responder`` is ``None`` for a request that only prefills.
    """

    job: engine.Job
    prompt_tokens: int
    uncached_tokens: int
    next_index: int
    end_index: int
    responder: object = None
    finished: curio.Event = attrs.field(factory=curio.Event)
    is_aborted: bool = False


@attrs.define
class Config:
    """Speeds and sizes of one engine; each field is a command-line flag."""

    decode_ms: float = 20.0
    prefill_tps: float = 20_000.0
    max_batch: int = 64
    cache_pieces: int = 256
    report_lag_s: float = 0.5
    role_change_s: float = 3.0
    checks_fencing: bool = False
    role: str = 'mixed'


class Engine:
    """State of the engine and the loop that advances its requests."""

    def __init__(self, config):
        self.config = config
        self.role = config.role
        self.is_changing = False
        self.is_leaving = False
        self.order_id = ''
        self.fencing_token = 0
        self.streams = {}
        self.prefill_queue = collections.deque()
        self.cache = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.last_event_seq = 0
        self.snapshots = collections.deque()
        self.kv_tokens_by_handle = {}
        self.faults = shell.Faults()
        self.speed = 1.0
        self.cut_streams = 0
        self.drop_events = 0
        self.crash_in_change = False
        self.order_log = []
        self.counts = collections.Counter()
        self.work_available = curio.Event()

    def cached_tokens(self, keys):
        """Return the number of leading prompt tokens in the prefix cache."""
        count = 0
        for key in keys:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            count += engine.PIECE_TOKENS
        return count

    def add_to_cache(self, keys):
        """Add pieces to the cache and evict the least recently used."""
        for key in keys:
            if key not in self.cache:
                self.cache[key] = True
                self._add_cache_event(key, True)
        while len(self.cache) > self.config.cache_pieces:
            key, _ = self.cache.popitem(last=False)
            self._add_cache_event(key, False)

    def _add_cache_event(self, key, is_stored):
        self.last_event_seq += 1
        if self.drop_events > 0:
            self.drop_events -= 1
            return
        self.events.append(
            {'seq': self.last_event_seq, 'piece': key, 'is_stored': is_stored}
        )

    async def run(self):
        """Advance all requests step by step, forever."""
        while True:
            if not self.streams and not self.prefill_queue:
                self.work_available.clear()
                await self.work_available.wait()
            await curio.sleep(self._step_duration_s())
            await self._emit_tokens()
            await self._advance_prefill()

    def _step_duration_s(self):
        load = 1.0 + len(self.streams) / self.config.max_batch
        seconds = self.config.decode_ms / 1000.0 * load
        if self.prefill_queue:
            chunk = min(
                PREFILL_CHUNK_TOKENS, self.prefill_queue[0].uncached_tokens
            )
            seconds += chunk / self.config.prefill_tps
        return seconds / self.speed

    async def _advance_prefill(self):
        if (
            not self.prefill_queue
            or len(self.streams) >= self.config.max_batch
        ):
            return
        first = self.prefill_queue[0]
        first.uncached_tokens -= PREFILL_CHUNK_TOKENS
        if first.uncached_tokens > 0:
            return
        self.prefill_queue.popleft()
        self.add_to_cache(engine.piece_keys(first.job.prompt))
        self.counts['prefill_tokens'] += first.prompt_tokens
        if first.responder is None:
            await first.finished.set()
        else:
            self.streams[first.job.request_id] = first

    async def _emit_tokens(self):
        for stream in list(self.streams.values()):
            if self.cut_streams > 0:
                self.cut_streams -= 1
                stream.is_aborted = True
            if not stream.is_aborted:
                await self._emit_token(stream)
            if stream.is_aborted or stream.next_index >= stream.end_index:
                self.streams.pop(stream.job.request_id, None)
                await stream.finished.set()

    async def _emit_token(self, stream):
        request_id = stream.job.request_id
        text = token_text(request_id, stream.next_index)
        data = (
            f'data: {{"id":"{request_id}","n":{stream.next_index},'
            f'"choices":[{{"index":0,"delta":{{"content":"{text}"}},'
            '"finish_reason":null}]}\n\n'
        )
        stream.next_index += 1
        self.counts['tokens'] += 1
        if stream.next_index >= stream.end_index:
            data += final_event(stream)
        try:
            await stream.responder.send(data.encode())
        except OSError:
            stream.is_aborted = True

    async def record_snapshots(self):
        """Record snapshots periodically and drop those no longer needed.

        Reports are served from the oldest snapshot, ``report_lag_s`` late.
        """
        while True:
            self.snapshots.append((await curio.clock(), self.current_report()))
            while len(self.snapshots) > 1 and (
                self.snapshots[1][0]
                < self.snapshots[-1][0] - self.config.report_lag_s
            ):
                self.snapshots.popleft()
            await curio.sleep(SNAPSHOT_INTERVAL_S)

    def current_report(self):
        """Return a report of the current state, without cache events."""
        return {
            'role': self.role,
            'is_changing': self.is_changing,
            'is_leaving': self.is_leaving,
            'running': len(self.streams),
            'queued': len(self.prefill_queue),
            'queued_tokens': sum(
                s.uncached_tokens for s in self.prefill_queue
            ),
            'last_event': self.last_event_seq,
            'prefilled_tokens': self.counts['prefill_tokens'],
            'decoded_tokens': self.counts['tokens'],
        }

    def state(self):
        """Return the current state, which a sender of orders checks."""
        return {
            'role': self.role,
            'is_changing': self.is_changing,
            'running': len(self.streams) + len(self.prefill_queue),
            'order_id': self.order_id,
            'token': self.fencing_token,
        }


def token_text(request_id, index):
    """Return the text of a token.

    It depends on the request and the index only, so that a stream resumed
    on another engine continues with the same text.
    """
    return f'{request_id[-4:]}.{index} '


def final_event(stream):
    """Return the final events of a stream: usage and the end marker."""
    usage = orjson.dumps(
        {
            'prompt_tokens': stream.prompt_tokens,
            'completion_tokens': stream.next_index,
        }
    ).decode()
    return (
        f'data: {{"id":"{stream.job.request_id}","n":{stream.next_index},'
        '"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
        f'"usage":{usage}}}\n\ndata: [DONE]\n\n'
    )


class Server:
    """HTTP interface of an `Engine`."""

    def __init__(self, config):
        self.engine = Engine(config)
        self.client = client.Client()

    async def handle(self, request, responder):
        """Handle one HTTP request."""
        parts, query = shell.split_path(request.path)
        if parts[0] == 'control':
            await self._control(parts, request, responder)
            return
        eng = self.engine
        if eng.faults.delay_s:
            await curio.sleep(eng.faults.delay_s)
        if eng.faults.is_down:
            await shell.respond_json(responder, 503, {'error': 'down'})
            return
        match request.method, parts:
            case 'GET', ['report']:
                await self._send_report(int(query['since']), responder)
            case 'GET', ['state']:
                await shell.respond_json(responder, 200, eng.state())
            case 'GET', ['kv', handle]:
                await self._export_kv(handle, responder)
            case 'POST', ['orders']:
                await self._handle_order(request, responder)
            case 'POST', ['v1', 'cancel']:
                stream = eng.streams.get(request.json()['request_id'])
                if stream is not None:
                    stream.is_aborted = True
                await shell.respond_json(responder, 200, {})
            case 'POST', ['v1', 'prefill']:
                await self._handle_prefill(request, responder)
            case 'POST', ['v1', 'completions']:
                await self._handle_completion(request, responder)
            case _:
                await shell.respond_json(
                    responder, 404, {'error': 'unknown method or path'}
                )

    async def _control(self, parts, request, responder):
        eng = self.engine
        if parts[1] == 'log':
            log = {'orders': eng.order_log, 'counts': dict(eng.counts)}
            await shell.respond_json(responder, 200, log)
            return
        data = request.json()
        eng.faults.update(data)
        for name in (
            'speed',
            'cut_streams',
            'crash_in_change',
            'drop_events',
            'is_leaving',
        ):
            setattr(eng, name, data.get(name, getattr(eng, name)))
        await shell.respond_json(responder, 200, {})

    async def _send_report(self, since, responder):
        eng = self.engine
        data = eng.snapshots[0][1] if eng.snapshots else eng.current_report()
        last = data['last_event']
        events = [e for e in eng.events if since < e['seq'] <= last]
        await shell.respond_json(responder, 200, {**data, 'events': events})

    async def _export_kv(self, handle, responder):
        tokens = self.engine.kv_tokens_by_handle.pop(handle, None)
        if tokens is None:
            await shell.respond_json(
                responder, 404, {'error': 'unknown KV handle'}
            )
            return
        await curio.sleep(tokens / KV_TRANSFER_TOKENS_PER_S)
        await shell.respond_json(responder, 200, {'tokens': tokens})

    async def _handle_order(self, request, responder):
        eng = self.engine
        order = engine.Order(**request.json())
        record = attrs.asdict(order) | {'running': len(eng.streams)}
        if eng.config.checks_fencing and order.token < eng.fencing_token:
            await shell.respond_json(
                responder,
                412,
                {'error': 'fencing token is older than the last one'},
            )
            return
        if eng.is_changing:
            eng.order_log.append(record | {'result': 'busy'})
            await shell.respond_json(responder, 409, {'error': 'changing'})
            return
        eng.order_log.append(record | {'result': 'taken'})
        eng.fencing_token = order.token
        if order.kind == 'fence':
            await shell.respond_json(responder, 202, {})
            return
        eng.order_id = order.order_id
        eng.is_changing = True
        await curio.spawn(self._change_role, order, daemon=True)
        await shell.respond_json(responder, 202, {})

    async def _change_role(self, order):
        eng = self.engine
        for stream in [*eng.streams.values(), *eng.prefill_queue]:
            stream.is_aborted = True
            eng.counts['cut_by_change'] += 1
        seconds = eng.config.role_change_s
        if eng.crash_in_change:
            eng.crash_in_change = False
            await curio.sleep(seconds / 2)
            eng.cache.clear()
        else:
            await curio.sleep(seconds)
            eng.role = order.value
        eng.counts['role_changes'] += 1
        eng.is_changing = False

    def _refusal_reason(self, job, is_prefill_only):
        eng = self.engine
        if eng.is_changing or eng.is_leaving:
            return 'engine is changing its role or shutting down'
        if eng.role == 'prefill' and not is_prefill_only:
            return 'engine is prefill-only'
        if eng.role == 'decode' and (is_prefill_only or job.kv is None):
            return 'engine is decode-only'
        return ''

    async def _handle_prefill(self, request, responder):
        job = engine.Job(**request.json())
        refusal = self._refusal_reason(job, True)
        if refusal:
            await shell.respond_json(responder, 503, {'error': refusal})
            return
        stream = await self._make_stream(job, None)
        await stream.finished.wait()
        handle = f'kv-{job.request_id}'
        self.engine.kv_tokens_by_handle[handle] = stream.prompt_tokens
        await shell.respond_json(responder, 200, {'handle': handle})

    async def _handle_completion(self, request, responder):
        job = engine.Job(**request.json())
        refusal = self._refusal_reason(job, False)
        if refusal:
            await shell.respond_json(responder, 503, {'error': refusal})
            return
        if job.kv is not None:
            await self._import_kv(job.kv)
        await responder.start(
            200,
            [
                ('content-type', 'text/event-stream'),
                ('transfer-encoding', 'chunked'),
            ],
        )
        stream = await self._make_stream(job, responder)
        await stream.finished.wait()
        if stream.is_aborted:
            raise shell.ConnectionDropped('stream aborted')
        self.engine.counts['finished'] += 1
        await responder.end()

    async def _import_kv(self, kv):
        path = f'/kv/{kv["handle"]}'
        await self.client.call(kv['address'], 'GET', path)

    async def _make_stream(self, job, responder):
        eng = self.engine
        prompt_tokens = engine.estimate_tokens(job.prompt)
        cached = eng.cached_tokens(engine.piece_keys(job.prompt))
        if job.kv is not None:
            cached = prompt_tokens
        stream = Stream(
            job,
            prompt_tokens,
            max(1, prompt_tokens - cached),
            job.start_index,
            job.max_tokens,
            responder,
        )
        eng.counts['cached_tokens'] += min(cached, prompt_tokens)
        eng.counts['prompt_tokens'] += prompt_tokens
        await self._enqueue(stream)
        return stream

    async def _enqueue(self, stream):
        queue = self.engine.prefill_queue
        position = len(queue)
        while position > 1 and (
            queue[position - 1].job.priority < stream.job.priority
        ):
            position -= 1
        queue.insert(position, stream)
        await self.engine.work_available.set()


async def serve(port, config):
    """Run one engine until SIGTERM or SIGINT."""
    server = Server(config)
    await curio.spawn(server.engine.run, daemon=True)
    await curio.spawn(server.engine.record_snapshots, daemon=True)
    await shell.serve(port, server.handle)


def main():
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=7100)
    defaults = attrs.asdict(Config())
    for name, value in defaults.items():
        flag = '--' + name.replace('_', '-')
        if isinstance(value, bool):
            parser.add_argument(flag, action='store_true')
        else:
            parser.add_argument(flag, type=type(value), default=value)
    args = parser.parse_args()
    config = Config(**{name: getattr(args, name) for name in defaults})
    curio.run(serve, args.port, config)


if __name__ == '__main__':
    main()
