"""The adapter to a model engine; alone it knows the engine's wire format.

What it expects of an engine is written in ``docs/adapters.rst``.  Streams
are read as server-sent events whose ``n`` is the token's index.
"""

import hashlib

import attrs
import curio.errors
import h11
import orjson

from mangorock import errors

PIECE_TOKENS = 2048
CHARS_PER_TOKEN = 4
COMPLETIONS_PATH = '/v1/completions'
PREFILL_PATH = '/v1/prefill'
DONE_LINE = b'data: [DONE]'
EVENT_END = b'\n\n'
# What a question to an engine may end with instead of an answer.
CALL_ERRORS = (
    OSError,
    h11.ProtocolError,
    curio.errors.TaskTimeout,
    errors.BackendRefused,
    orjson.JSONDecodeError,
    LookupError,
)
_JSON_HEADERS = [('content-type', 'application/json')]


@attrs.frozen
class Job:
    """A completion as an engine gets it.

    ``start_index`` is the first token wanted; where it is not 0,
    ``generated`` is the text of the tokens before it.  ``kv`` names the
    engine and handle that hold the prompt's KV cache, or is ``None``.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int = 5
    start_index: int = 0
    generated: str = ''
    kv: dict | None = None

    def to_body(self):
        """Return the JSON body."""
        return orjson.dumps(attrs.asdict(self))


@attrs.frozen
class Report:
    """What an engine says of itself, late; tokens and counts.

    ``stored`` and ``evicted`` are the cache events after the ``since``
    that was asked for; ``has_gap`` says that some of them are missing.
    ``prefilled_tokens`` and ``decoded_tokens`` count up since its start.
    """

    role: str
    is_changing: bool
    is_leaving: bool
    running: int
    queued: int
    queued_tokens: int
    last_event: int
    prefilled_tokens: int = 0
    decoded_tokens: int = 0
    stored: tuple = ()
    evicted: tuple = ()
    has_gap: bool = False


@attrs.frozen
class Order:
    """A planned change of an engine, under a fencing token."""

    order_id: str
    token: int
    kind: str
    value: str


@attrs.frozen
class State:
    """An engine's true state at the time of asking."""

    role: str
    is_changing: bool
    running: int
    order_id: str
    token: int


class OrderRefused(errors.BackendRefused):
    """The engine refused an order, for an old token or as busy."""


def estimate_tokens(text):
    """Estimate the tokens of ``text``."""
    return len(text) // CHARS_PER_TOKEN + 1


def piece_keys(prompt):
    """Return the keys of the whole cache pieces of a prompt, in order.

    Each key covers the prompt up to the end of its piece, so equal keys
    mean equal prefixes.
    """
    size = PIECE_TOKENS * CHARS_PER_TOKEN
    data = prompt.encode('utf-8', 'surrogatepass')
    keys = []
    digest = hashlib.blake2b(digest_size=8)
    for start in range(0, len(data) - size + 1, size):
        digest.update(data[start : start + size])
        keys.append(digest.copy().hexdigest())
    return keys


async def fetch_report(client, address, since):
    """Return the engine's `Report` with cache events after ``since``."""
    status, body = await client.call(address, 'GET', f'/report?since={since}')
    if status != 200:
        raise errors.BackendRefused(f'{address} gave no report: {status}')
    data = orjson.loads(body)
    stored = tuple(e['piece'] for e in data['events'] if e['is_stored'])
    evicted = tuple(e['piece'] for e in data['events'] if not e['is_stored'])
    sequence_numbers = [e['seq'] for e in data['events']]
    expected = list(range(since + 1, data['last_event'] + 1))
    return Report(
        data['role'],
        data['is_changing'],
        data['is_leaving'],
        data['running'],
        data['queued'],
        data['queued_tokens'],
        data['last_event'],
        data['prefilled_tokens'],
        data['decoded_tokens'],
        stored,
        evicted,
        sequence_numbers != expected,
    )


async def fetch_state(client, address):
    """Return the engine's `State`, never a lagging one."""
    status, body = await client.call(address, 'GET', '/state')
    if status != 200:
        raise errors.BackendRefused(f'{address} gave no state: {status}')
    return State(**orjson.loads(body))


async def send_order(client, address, order):
    """Send an order once; raise `OrderRefused` where it is refused."""
    body = orjson.dumps(attrs.asdict(order))
    status, answer = await client.call_once(
        address, 'POST', '/orders', _JSON_HEADERS, body
    )
    if status != 202:
        raise OrderRefused(
            f'{address} refused order {order.order_id} ({status}): '
            f'{answer[:200]!r}; read its state before ordering again'
        )


async def cancel(client, address, request_id):
    """Tell an engine to drop a request; repeating it is harmless."""
    body = orjson.dumps({'request_id': request_id})
    await client.call(address, 'POST', '/v1/cancel', _JSON_HEADERS, body)


async def prefill(client, address, job):
    """Run a prompt's prefill; return the ``kv`` for the decode engine."""
    status, body = await client.call(
        address, 'POST', PREFILL_PATH, _JSON_HEADERS, job.to_body()
    )
    if status != 200:
        raise errors.BackendRefused(
            f'{address} refused a prefill ({status}); try another engine'
        )
    return {'address': address, 'handle': orjson.loads(body)['handle']}
