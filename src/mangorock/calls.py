"""Parses a caller's HTTP request into a typed call.

Invalid input is rejected here, before anything is counted or sent.  Each
error message says how to correct the request.
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
# Headers that one daemon sends to another; ignored in callers' requests.
PEER_HEADER = 'x-mangorock-peer'
PEER_ACCOUNT_HEADER = 'x-mangorock-account'
PEER_REQUEST_HEADER = 'x-mangorock-request'
REFUSED_HEADER = 'x-mangorock-refused'


@attrs.frozen
class Completion:
    """A completion request; ``deadline_ms`` is 0 if not given.

    ``start_index`` and ``generated`` continue a response that another daemon
    has started; they are used only if the request came from a daemon.
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
    """A call to a plain service; ``subpath`` is the path below the route."""

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
    """Parse an HTTP request into a `Completion` or a `ServiceCall`.

    Only another daemon (``is_from_peer``) may set the id under which
    engines and services know the request.  Raises `errors.NotFound` for an
    unknown path and `errors.BadRequest` for invalid input.
    """
    path = request.path.partition('?')[0]
    if path in COMPLETION_PATHS:
        if request.method != 'POST':
            raise errors.BadRequest(f'{path} accepts only POST')
        return _parse_completion(request, path, is_from_peer)
    if path.startswith(SERVICE_PREFIX):
        return _parse_service_call(request, is_from_peer)
    raise errors.NotFound(
        f'path {path!r} does not exist; use '
        f'{", ".join(COMPLETION_PATHS)} or {SERVICE_PREFIX}ROUTE/...'
    )


def _parse_completion(request, path, is_from_peer):
    data = request.json()
    if not isinstance(data, dict):
        raise errors.BadRequest('the request body must be a JSON object')
    is_chat = path == COMPLETION_PATHS[0]
    prompt = _chat_prompt(data) if is_chat else data.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise errors.BadRequest('"prompt" must be a non-empty string')
    max_tokens = data.get('max_tokens', 0)
    if type(max_tokens) is not int or max_tokens < 0:
        raise errors.BadRequest(
            '"max_tokens" must be a positive integer or be omitted'
        )
    route = data.get('model')
    if not isinstance(route, str):
        raise errors.BadRequest('"model" must be a string that names a route')
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
    """Return (start index, text so far) from a forwarding daemon."""
    continuation = data.get('mangorock')
    if not isinstance(continuation, dict):
        return 0, ''
    start, text = (
        continuation.get('start_index', 0),
        continuation.get('generated', ''),
    )
    if type(start) is not int or start < 0 or not isinstance(text, str):
        raise errors.BadRequest(
            '"mangorock" is reserved for requests between daemons; omit it'
        )
    return start, text


def _chat_prompt(data):
    messages = data.get('messages')
    if not isinstance(messages, list):
        raise errors.BadRequest('"messages" must be a list')
    parts = []
    for message in messages:
        content = message.get('content') if isinstance(message, dict) else 0
        if not isinstance(content, str):
            raise errors.BadRequest(
                'each message must be an object {"role", "content"} with a '
                'string "content"'
            )
        parts.append(f'{message.get("role", "user")}: {content}\n')
    return ''.join(parts)


def _parse_service_call(request, is_from_peer):
    route_path = request.path[len(SERVICE_PREFIX) :]
    route, slash, subpath = route_path.partition('/')
    idempotency_key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if len(idempotency_key) > MAX_ID_CHARS:
        raise errors.BadRequest(
            f'Idempotency-Key exceeds {MAX_ID_CHARS} characters; use a '
            'shorter key'
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
    """Return the request id that engines and services see.

    It is unique for each call, so that callers that send the same id cannot
    receive each other's responses.
    """
    given = request.headers.get(PEER_REQUEST_HEADER)
    return given if given and is_from_peer else uuid.uuid4().hex


def _request_id(request):
    given = request.headers.get(REQUEST_ID_HEADER, '')
    if not given:
        return uuid.uuid4().hex
    if len(given) > MAX_ID_CHARS or not given.isprintable():
        raise errors.BadRequest(
            f'{REQUEST_ID_HEADER} must consist of at most {MAX_ID_CHARS} '
            'printable characters'
        )
    return given


def _parse_int_header(request, header, max_value):
    text = request.headers.get(header)
    if text is None:
        return None
    if not text.isdigit() or int(text) > max_value:
        raise errors.BadRequest(
            f'{header} must be an integer from 0 to {max_value}, not {text!r}'
        )
    return int(text)


def prompt_piece_keys(prompt):
    """Return the cache keys of the prompt's pieces as a tuple."""
    return tuple(engine.piece_keys(prompt))
