"""The accept stage: a caller's HTTP request becomes a typed call.

Bad input is refused here, each kind with the remedy in its message, before
anything was counted or sent.
"""

import urllib.parse
import uuid

import attrs

from mangorock import engine
from mangorock import errors

COMPLETION_PATHS = ('/v1/chat/completions', '/v1/completions')
SERVICE_PREFIX = '/s/'
MAX_ID_CHARS = 128
MAX_DEADLINE_MS = 3_600_000
DEADLINE_HEADER = 'x-deadline-ms'
REQUEST_ID_HEADER = 'x-request-id'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
PRIORITY_HEADER = 'x-priority'
# Headers that one daemon sets for another; ignored from callers.
PEER_HEADER = 'x-mangorock-peer'
PEER_ACCOUNT_HEADER = 'x-mangorock-account'
PEER_REQUEST_HEADER = 'x-mangorock-request'
REFUSED_HEADER = 'x-mangorock-refused'


@attrs.frozen
class Completion:
    """A completion request; ``deadline_ms`` is 0 when not given.

    ``start_index`` and ``generated`` continue an answer that another daemon
    has begun; they count only when a daemon sent them.
    """

    internal_id: str
    request_id: str
    route: str
    prompt: str
    max_tokens: int
    is_stream: bool
    is_chat: bool
    deadline_ms: int
    priority: int | None
    start_index: int = 0
    generated: str = ''


@attrs.frozen
class ServiceCall:
    """A call of a plain service; ``subpath`` is the path below the route."""

    internal_id: str
    request_id: str
    route: str
    method: str
    subpath: str
    body: bytes
    content_type: str
    idempotency_key: str
    deadline_ms: int


def parse_request(request, is_from_peer=False):
    """Return the call in an HTTP request.

    Only another daemon (``is_from_peer``) may say under which id the
    request is known to engines and services.  Raises `errors.NotFound` for
    another path and `errors.BadRequest` for input that cannot be
    understood.
    """
    path = request.path.partition('?')[0]
    if path in COMPLETION_PATHS:
        if request.method != 'POST':
            raise errors.BadRequest(f'{path} takes POST; use it')
        return _parse_completion(request, path, is_from_peer)
    if path.startswith(SERVICE_PREFIX):
        return _parse_service_call(request, is_from_peer)
    raise errors.NotFound(
        f'no path {path!r}; use {", ".join(COMPLETION_PATHS)} or '
        f'{SERVICE_PREFIX}ROUTE/...'
    )


def _parse_completion(request, path, is_from_peer):
    data = request.json()
    if not isinstance(data, dict):
        raise errors.BadRequest('the body is no JSON object; send one')
    is_chat = path == COMPLETION_PATHS[0]
    prompt = _chat_prompt(data) if is_chat else data.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise errors.BadRequest('"prompt" is missing or no text; send text')
    max_tokens = data.get('max_tokens', 0)
    if type(max_tokens) is not int or max_tokens < 0:
        raise errors.BadRequest(
            '"max_tokens" is no positive number; send one or leave it out'
        )
    route = data.get('model')
    if not isinstance(route, str):
        raise errors.BadRequest('"model" is missing; name a route')
    return Completion(
        _internal_id(request, is_from_peer),
        _request_id(request),
        route,
        prompt,
        max_tokens,
        data.get('stream') is True,
        is_chat,
        _parse_int_header(request, DEADLINE_HEADER, MAX_DEADLINE_MS) or 0,
        _parse_int_header(request, PRIORITY_HEADER, 9),
        *_parse_continuation(data),
    )


def _parse_continuation(data):
    """Return (start index, text so far) that a daemon passes on."""
    continuation = data.get('mangorock')
    if not isinstance(continuation, dict):
        return 0, ''
    start, text = (
        continuation.get('start_index', 0),
        continuation.get('generated', ''),
    )
    if type(start) is not int or start < 0 or not isinstance(text, str):
        raise errors.BadRequest(
            '"mangorock" is for daemons among themselves; leave it out'
        )
    return start, text


def _chat_prompt(data):
    messages = data.get('messages')
    if not isinstance(messages, list):
        raise errors.BadRequest('"messages" is no list; send a list')
    parts = []
    for message in messages:
        content = message.get('content') if isinstance(message, dict) else 0
        if not isinstance(content, str):
            raise errors.BadRequest(
                'a message has no text "content"; send {"role", "content"}'
            )
        parts.append(f'{message.get("role", "user")}: {content}\n')
    return ''.join(parts)


def _parse_service_call(request, is_from_peer):
    route_path = request.path[len(SERVICE_PREFIX) :]
    route, slash, subpath = route_path.partition('/')
    idempotency_key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if len(idempotency_key) > MAX_ID_CHARS:
        raise errors.BadRequest(
            f'Idempotency-Key is over {MAX_ID_CHARS} characters; shorten it'
        )
    return ServiceCall(
        _internal_id(request, is_from_peer),
        _request_id(request),
        urllib.parse.unquote(route),
        request.method,
        slash + subpath,
        request.body,
        request.headers.get('content-type', 'application/octet-stream'),
        idempotency_key,
        _parse_int_header(request, DEADLINE_HEADER, MAX_DEADLINE_MS) or 0,
    )


def _internal_id(request, is_from_peer):
    """Return the id that engines and services see.

    It is new for each call, so that callers who reuse an id cannot cross
    each other's answers.
    """
    given = request.headers.get(PEER_REQUEST_HEADER)
    return given if given and is_from_peer else uuid.uuid4().hex


def _request_id(request):
    given = request.headers.get(REQUEST_ID_HEADER, '')
    if not given:
        return uuid.uuid4().hex
    if len(given) > MAX_ID_CHARS or not given.isprintable():
        raise errors.BadRequest(
            f'{REQUEST_ID_HEADER} is over {MAX_ID_CHARS} characters or not '
            'printable; send a shorter one'
        )
    return given


def _parse_int_header(request, header, max_value):
    text = request.headers.get(header)
    if text is None:
        return None
    if not text.isdigit() or int(text) > max_value:
        raise errors.BadRequest(
            f'{header}: {text!r} is no number from 0 to {max_value}; mend it'
        )
    return int(text)


def prompt_piece_keys(prompt):
    """Return the prompt's piece keys as a tuple."""
    return tuple(engine.piece_keys(prompt))
