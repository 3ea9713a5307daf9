"""Client for model engines; the only module that knows their wire format.

``docs/adapters.rst`` specifies what an engine must provide.  A stream is a
sequence of server-sent events, whose field ``n`` is the index of the token.
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
# Exceptions that a failed call to an engine may raise.
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
    """A completion request as it is sent to an engine.

    ``start_index`` is the index of the first token to generate.  If it is
    not 0, ``generated`` is the text of the tokens before it.  ``kv`` contains
    the address of the engine that holds the prompt's KV cache and the handle
    of the cache, or is ``None``.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int = 5
    start_index: int = 0
    generated: str = ''
    kv: dict | None = None

    def to_body(self):
        """Return the request body as JSON."""
        return orjson.dumps(attrs.asdict(self))


@attrs.frozen
class Report:
    """Load and cache events that an engine reports with a delay.

    ``stored`` and ``evicted`` are the keys of the pieces that were stored and
    evicted after the requested event; ``has_gap`` tells whether some of these
    events are missing.  ``prefilled_tokens`` and ``decoded_tokens`` are
    totals since the start of the engine.
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
    """An order to an engine, protected by the fencing token ``token``."""

    order_id: str
    token: int
    kind: str
    value: str


@attrs.frozen
class State:
    """The current state of an engine, in contrast to a delayed `Report`."""

    role: str
    is_changing: bool
    running: int
    order_id: str
    token: int


class OrderRefused(errors.BackendRefused):
    """The engine refused an order: the token is outdated or it is busy."""


def estimate_tokens(text):
    """Estimate the number of tokens in ``text``."""
    return len(text) // CHARS_PER_TOKEN + 1


def piece_keys(prompt):
    """Return the keys of the complete cache pieces of a prompt, in order.

    A piece is a cache block of about `PIECE_TOKENS` tokens.  Its key is a
    hash of the prompt up to the end of the piece, so equal keys mean equal
    prefixes.
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
    """Fetch an engine's `Report`, with its cache events after ``since``."""
    status, body = await client.call(address, 'GET', f'/report?since={since}')
    if status != 200:
        raise errors.BackendRefused(
            f'{address} did not return a report (status {status})'
        )
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
    """Fetch the current `State` of an engine, without delay."""
    status, body = await client.call(address, 'GET', '/state')
    if status != 200:
        raise errors.BackendRefused(
            f'{address} did not return its state (status {status})'
        )
    return State(**orjson.loads(body))


async def send_order(client, address, order):
    """Send an order without retries.

    Raises `OrderRefused` if the engine refuses it.
    """
    body = orjson.dumps(attrs.asdict(order))
    status, answer = await client.call_once(
        address, 'POST', '/orders', _JSON_HEADERS, body
    )
    if status != 202:
        raise OrderRefused(
            f'{address} refused order {order.order_id} (status {status}): '
            f'{answer[:200]!r}; read its state before sending another order'
        )


async def cancel(client, address, request_id):
    """Cancel a request on an engine; this is idempotent."""
    body = orjson.dumps({'request_id': request_id})
    await client.call(address, 'POST', '/v1/cancel', _JSON_HEADERS, body)


async def prefill(client, address, job):
    """Prefill a prompt on an engine; return ``kv`` for the decode engine."""
    status, body = await client.call(
        address, 'POST', PREFILL_PATH, _JSON_HEADERS, job.to_body()
    )
    if status != 200:
        raise errors.BackendRefused(
            f'{address} refused a prefill (status {status}); '
            'try another engine'
        )
    return {'address': address, 'handle': orjson.loads(body)['handle']}
