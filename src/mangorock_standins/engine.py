"""A stand-in for a model engine.

Run ``python -m mangorock_standins.engine --port 7100``.  One loop steps
all running streams together (continuous batching) and works the prefill
queue in chunks, so a long prompt slows the tokens of the others.  A role
change cuts whatever is running: the worst an engine may do.

``POST /control/faults`` takes ``speed`` (1.0 is nominal), ``is_down``,
``delay_s``, ``cut_streams`` (number of streams to cut at their next token),
``crash_in_change`` and ``drop_events``; ``GET /control/log`` shows orders
taken, streams cut, and streams finished.
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
SNAPSHOT_EVERY_S = 0.1
MAX_EVENTS = 1000
KV_TOKENS_PER_S = 200_000.0


@attrs.define
class Stream:
    """A running or waiting request."""

    job: engine.Job
    prompt_tokens: int
    uncached: int
    index: int
    end: int
    responder: object = None
    done: curio.Event = attrs.field(factory=curio.Event)
    is_cut: bool = False


@attrs.define
class Config:
    """Speeds and sizes of one engine."""

    decode_ms: float = 20.0
    prefill_tps: float = 20_000.0
    max_batch: int = 64
    cache_pieces: int = 256
    report_lag_s: float = 0.5
    role_change_s: float = 3.0
    checks_fencing: bool = False
    role: str = 'mixed'


class Engine:
    """The engine's state and its one loop."""

    def __init__(self, config):
        self.config = config
        self.role = config.role
        self.is_changing = False
        self.is_leaving = False
        self.order_id = ''
        self.token = 0
        self.streams = {}
        self.prefills = collections.deque()
        self.cache = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.last_event = 0
        self.snapshots = collections.deque()
        self.handles = {}
        self.faults = shell.Faults()
        self.speed = 1.0
        self.cut_streams = 0
        self.drop_events = 0
        self.crash_in_change = False
        self.orders = []
        self.counts = collections.Counter()
        self.wake = curio.Event()

    def cached_tokens(self, keys):
        """Return how many leading tokens are in the prefix cache."""
        count = 0
        for key in keys:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            count += engine.PIECE_TOKENS
        return count

    def store(self, keys):
        """Put pieces into the cache and evict the oldest."""
        for key in keys:
            if key not in self.cache:
                self.cache[key] = True
                self._event(key, True)
        while len(self.cache) > self.config.cache_pieces:
            key, _ = self.cache.popitem(last=False)
            self._event(key, False)

    def _event(self, key, is_stored):
        self.last_event += 1
        if self.drop_events > 0:
            self.drop_events -= 1
            return
        self.events.append(
            {'seq': self.last_event, 'piece': key, 'is_stored': is_stored}
        )

    async def run(self):
        """Step for ever."""
        while True:
            if not self.streams and not self.prefills:
                self.wake.clear()
                await self.wake.wait()
            await curio.sleep(self._step_s())
            await self._emit()
            await self._work_prefills()

    def _step_s(self):
        load = 1.0 + len(self.streams) / self.config.max_batch
        seconds = self.config.decode_ms / 1000.0 * load
        if self.prefills:
            chunk = min(PREFILL_CHUNK_TOKENS, self.prefills[0].uncached)
            seconds += chunk / self.config.prefill_tps
        return seconds / self.speed

    async def _work_prefills(self):
        if not self.prefills or len(self.streams) >= self.config.max_batch:
            return
        head = self.prefills[0]
        head.uncached -= PREFILL_CHUNK_TOKENS
        if head.uncached > 0:
            return
        self.prefills.popleft()
        self.store(engine.piece_keys(head.job.prompt))
        self.counts['prefill_tokens'] += head.prompt_tokens
        if head.responder is None:
            await head.done.set()
        else:
            self.streams[head.job.request_id] = head

    async def _emit(self):
        for stream in list(self.streams.values()):
            if self.cut_streams > 0:
                self.cut_streams -= 1
                stream.is_cut = True
            if not stream.is_cut:
                await self._emit_one(stream)
            if stream.is_cut or stream.index >= stream.end:
                self.streams.pop(stream.job.request_id, None)
                await stream.done.set()

    async def _emit_one(self, stream):
        rid = stream.job.request_id
        word = token_text(rid, stream.index)
        data = (
            f'data: {{"id":"{rid}","n":{stream.index},"choices":[{{"index":'
            f'0,"delta":{{"content":"{word}"}},"finish_reason":null}}]}}\n\n'
        )
        stream.index += 1
        self.counts['tokens'] += 1
        if stream.index >= stream.end:
            data += final_event(stream)
        try:
            await stream.responder.send(data.encode())
        except OSError:
            stream.is_cut = True

    async def snapshot(self):
        """Take the snapshots that lagging reports are served from."""
        while True:
            self.snapshots.append((await curio.clock(), self.report_now()))
            while len(self.snapshots) > 1 and (
                self.snapshots[1][0]
                < self.snapshots[-1][0] - self.config.report_lag_s
            ):
                self.snapshots.popleft()
            await curio.sleep(SNAPSHOT_EVERY_S)

    def report_now(self):
        """Return the true report, without its cache events."""
        return {
            'role': self.role,
            'is_changing': self.is_changing,
            'is_leaving': self.is_leaving,
            'running': len(self.streams),
            'queued': len(self.prefills),
            'queued_tokens': sum(s.uncached for s in self.prefills),
            'last_event': self.last_event,
            'prefilled_tokens': self.counts['prefill_tokens'],
            'decoded_tokens': self.counts['tokens'],
        }

    def state(self):
        """Return the true state, for whoever orders."""
        return {
            'role': self.role,
            'is_changing': self.is_changing,
            'running': len(self.streams) + len(self.prefills),
            'order_id': self.order_id,
            'token': self.token,
        }


def token_text(request_id, index):
    """Return the text of a token: the same on every engine."""
    return f'{request_id[-4:]}.{index} '


def final_event(stream):
    """Return the last events of a stream as text."""
    usage = orjson.dumps(
        {
            'prompt_tokens': stream.prompt_tokens,
            'completion_tokens': stream.index,
        }
    ).decode()
    return (
        f'data: {{"id":"{stream.job.request_id}","n":{stream.index},'
        '"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
        f'"usage":{usage}}}\n\ndata: [DONE]\n\n'
    )


class Server:
    """The HTTP face of an `Engine`."""

    def __init__(self, config):
        self.engine = Engine(config)
        self.client = client.Client()

    async def handle(self, request, responder):
        """Answer one request."""
        parts, query = shell.split_path(request.path)
        if parts[0] == 'control':
            await self._control(parts, request, responder)
            return
        eng = self.engine
        if eng.faults.delay_s:
            await curio.sleep(eng.faults.delay_s)
        if eng.faults.is_down:
            await shell.answer(responder, 503, {'error': 'down'})
            return
        match request.method, parts:
            case 'GET', ['report']:
                await self._report(int(query['since']), responder)
            case 'GET', ['state']:
                await shell.answer(responder, 200, eng.state())
            case 'GET', ['kv', handle]:
                await self._export(handle, responder)
            case 'POST', ['orders']:
                await self._order(request, responder)
            case 'POST', ['v1', 'cancel']:
                stream = eng.streams.get(request.json()['request_id'])
                if stream is not None:
                    stream.is_cut = True
                await shell.answer(responder, 200, {})
            case 'POST', ['v1', 'prefill']:
                await self._prefill(request, responder)
            case 'POST', ['v1', 'completions']:
                await self._complete(request, responder)
            case _:
                await shell.answer(responder, 404, {'error': 'no such call'})

    async def _control(self, parts, request, responder):
        eng = self.engine
        if parts[1] == 'log':
            log = {'orders': eng.orders, 'counts': dict(eng.counts)}
            await shell.answer(responder, 200, log)
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
        await shell.answer(responder, 200, {})

    async def _report(self, since, responder):
        eng = self.engine
        data = eng.snapshots[0][1] if eng.snapshots else eng.report_now()
        last = data['last_event']
        events = [e for e in eng.events if since < e['seq'] <= last]
        await shell.answer(responder, 200, {**data, 'events': events})

    async def _export(self, handle, responder):
        tokens = self.engine.handles.pop(handle, None)
        if tokens is None:
            await shell.answer(responder, 404, {'error': 'no such handle'})
            return
        await curio.sleep(tokens / KV_TOKENS_PER_S)
        await shell.answer(responder, 200, {'tokens': tokens})

    async def _order(self, request, responder):
        eng = self.engine
        order = engine.Order(**request.json())
        record = attrs.asdict(order) | {'running': len(eng.streams)}
        if eng.config.checks_fencing and order.token < eng.token:
            await shell.answer(responder, 412, {'error': 'old token'})
            return
        if eng.is_changing:
            eng.orders.append(record | {'result': 'busy'})
            await shell.answer(responder, 409, {'error': 'changing'})
            return
        eng.orders.append(record | {'result': 'taken'})
        eng.token = order.token
        if order.kind == 'fence':
            await shell.answer(responder, 202, {})
            return
        eng.order_id = order.order_id
        eng.is_changing = True
        await curio.spawn(self._change, order, daemon=True)
        await shell.answer(responder, 202, {})

    async def _change(self, order):
        eng = self.engine
        for stream in [*eng.streams.values(), *eng.prefills]:
            stream.is_cut = True
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

    def _refusal(self, job, is_prefill):
        eng = self.engine
        if eng.is_changing or eng.is_leaving:
            return 'changing or leaving'
        if eng.role == 'prefill' and not is_prefill:
            return 'this engine only prefills'
        if eng.role == 'decode' and (is_prefill or job.kv is None):
            return 'this engine only decodes'
        return ''

    async def _prefill(self, request, responder):
        job = engine.Job(**request.json())
        refusal = self._refusal(job, True)
        if refusal:
            await shell.answer(responder, 503, {'error': refusal})
            return
        stream = await self._make_stream(job, None)
        await stream.done.wait()
        handle = f'kv-{job.request_id}'
        self.engine.handles[handle] = stream.prompt_tokens
        await shell.answer(responder, 200, {'handle': handle})

    async def _complete(self, request, responder):
        job = engine.Job(**request.json())
        refusal = self._refusal(job, False)
        if refusal:
            await shell.answer(responder, 503, {'error': refusal})
            return
        if job.kv is not None:
            await self._import(job.kv)
        await responder.start(
            200,
            [
                ('content-type', 'text/event-stream'),
                ('transfer-encoding', 'chunked'),
            ],
        )
        stream = await self._make_stream(job, responder)
        await stream.done.wait()
        if stream.is_cut:
            raise shell.AnswerLost('stream cut')
        self.engine.counts['finished'] += 1
        await responder.end()

    async def _import(self, kv):
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
        queue = self.engine.prefills
        place = len(queue)
        while place > 1 and (
            queue[place - 1].job.priority < stream.job.priority
        ):
            place -= 1
        queue.insert(place, stream)
        await self.engine.wake.set()


async def serve(port, config):
    """Run one engine until SIGTERM."""
    server = Server(config)
    await curio.spawn(server.engine.run, daemon=True)
    await curio.spawn(server.engine.snapshot, daemon=True)
    await shell.serve(port, server.handle)


def main():
    """Run the stand-in."""
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
