"""Forwards a call to a plain service, at most once unless repeatable.

A call that is not repeatable is sent on a new connection and never resent
once a byte was written.  If it has an idempotency key, the key is first
claimed in durable storage, so that a retry through any entry VM finds the
claim.
"""

import time

import attrs
import curio
import curio.errors
import h11
import orjson

from mangorock import attempts
from mangorock import calls
from mangorock import claims
from mangorock import errors
from mangorock import forward
from mangorock import logs
from mangorock import router

READ_METHODS = ('GET', 'HEAD')
REPLAYED_HEADER = ('x-mangorock-replayed', 'true')


@attrs.frozen
class ServiceResponse:
    """The complete response of a backend server."""

    status: int
    body: bytes
    content_type: str


@attrs.define
class ServiceContext:
    """State of one service call while it is processed."""

    env: object
    call: calls.ServiceCall
    identity: object
    pool: object
    deadline_s: float
    attempts: attempts.Attempts
    is_from_peer: bool


async def serve(env, call, request, responder):
    """Serve a service call, or raise an `errors.MangorockError`."""
    context = make_context(env, call, request)
    left_s = context.deadline_s - time.monotonic()
    env.limiter.admit(
        context.identity,
        context.pool,
        router.Estimate(0.0, 0.0),
        left_s,
        env.rng.random(),
    )
    env.retry_budget(context.pool.name).earn()
    try:
        response, is_replay = await run_with_claim(context)
    finally:
        env.limiter.release(context.identity, context.pool.name)
    env.metrics.add('services.whole')
    headers = [
        (calls.REQUEST_ID_HEADER, call.request_id),
        ('content-type', response.content_type),
    ]
    if is_replay:
        headers.append(REPLAYED_HEADER)
    await responder.respond(response.status, response.body, headers)


def make_context(env, call, request):
    """Authenticate a call and build its `ServiceContext`."""
    identity = forward.identify_caller(env, call, request.headers)
    route = identity.route
    if route.kind != 'service':
        raise errors.BadRequest(
            f'route {route.name!r} has kind {route.kind}, not service; use '
            f'{calls.COMPLETION_PATHS[0]}'
        )
    limit_ms = call.deadline_ms or route.deadline_ms
    is_repeatable = route.is_repeatable or call.method in READ_METHODS
    return ServiceContext(
        env,
        call,
        identity,
        env.tables.pools[route.pool],
        time.monotonic() + limit_ms / 1000.0,
        attempts.Attempts(is_repeatable, env.retry_budget(route.pool)),
        forward.is_from_peer(env, request.headers),
    )


async def run_with_claim(context):
    """Return ``(response, is_replay)``; claim the key if necessary."""
    call = context.call
    needs_claim = (
        call.idempotency_key
        and not context.attempts.is_repeatable
        and not context.is_from_peer
    )
    if not needs_claim:
        return await run_attempts(context), False
    claimer = context.env.claimer
    claim, earlier_entry = await claimer.claim(
        context.identity.account, call.route, call.idempotency_key
    )
    if earlier_entry is not None:
        return replay_response(earlier_entry), True
    try:
        response = await run_attempts(context)
    except errors.MangorockError as exc:
        if exc.run is errors.Run.NOT_RUN:
            await claimer.release(claim)
        raise
    await claimer.finish(claim, response.status, encode_response(response))
    return response, False


def replay_response(entry):
    """Return the recorded response to an earlier call with the same key.

    Raises `errors.ClaimInFlight` if no response is recorded.
    """
    if entry.kind is not claims.Kind.DONE or not entry.body:
        raise errors.ClaimInFlight(
            'this idempotency key was used before and no response is '
            'recorded (still running, lost, or too long to store); check '
            'whether the first call took effect',
            retry_after_s=2,
        )
    data = orjson.loads(entry.body)
    return ServiceResponse(entry.status, data['body'].encode(), data['type'])


def encode_response(response):
    """Encode a response for the claim; return '' if it is too long."""
    text = response.body.decode('utf-8', 'replace')
    if len(text) > claims.MAX_BODY_CHARS:
        return ''
    data = {'type': response.content_type, 'body': text}
    return orjson.dumps(data).decode()


async def run_attempts(context):
    """Make attempts until one returns a response.

    Raises an `errors.MangorockError` when no further attempt is allowed.
    """
    left_s = context.deadline_s - time.monotonic()
    try:
        async with curio.timeout_after(left_s):
            while True:
                response = await make_attempt(context)
                if response is not None:
                    return response
    except curio.errors.TaskTimeout:
        raise errors.DeadlineExceeded(
            'the deadline passed before the response arrived; check whether '
            'the call took effect',
            run=context.attempts.run_state(),
        )


async def make_attempt(context):
    """Make one attempt; return its response, or ``None`` if it failed."""
    context.attempts.begin()
    if context.attempts.count > 1:
        reason = attempts.RETRY_REASONS[context.attempts.last_end]
        context.env.metrics.count_retry(reason)
    target, is_peer = choose_target(context)
    try:
        return await exchange_once(context, target, is_peer)
    except AttemptEnded as exc:
        context.attempts.end(target.address, exc.end)
        logs.warning(
            'attempt_ended',
            request=context.call.internal_id,
            server=target.address,
            end=exc.end.value,
        )
        return None


class AttemptEnded(Exception):
    """The attempt ended without a complete response."""

    def __init__(self, end):
        super().__init__(end)
        self.end = end


def choose_target(context):
    """Return ``(forward.Target, is_peer)`` for the next attempt.

    Raises an `errors.MangorockError` if there is no server or peer left.
    """
    env, call, excluded = context.env, context.call, context.attempts.excluded
    address = choose_server(env, context.pool, excluded)
    if address:
        route = context.identity.route
        headers = [
            ('content-type', call.content_type),
            (calls.REQUEST_ID_HEADER, call.internal_id),
        ]
        if call.idempotency_key:
            headers.append(
                (calls.IDEMPOTENCY_KEY_HEADER, call.idempotency_key)
            )
        path = route.path.rstrip('/') + call.subpath or '/'
        target = forward.Target(
            address, call.method, path, tuple(headers), call.body
        )
        return target, False
    member = None
    if not context.is_from_peer:
        member = forward.choose_peer(env, context.pool, excluded)
    if member is None:
        raise context.attempts.error(
            f'no backend server of pool {context.pool.name!r} can accept '
            'the call now; retry later'
        )
    env.metrics.add('forwarded')
    return make_peer_target(context, member), True


def choose_server(env, pool, excluded):
    """Return the local server with the fewest requests in flight, or ''."""
    views = env.router.candidates(
        pool.name, time.monotonic(), ('mixed',), excluded
    )
    if not views or not env.is_joined:
        return ''
    env.rng.shuffle(views)
    return min(views, key=lambda v: len(v.in_flight)).address


def make_peer_target(context, member):
    """Build the target that forwards the call to another daemon."""
    call = context.call
    left_s = context.deadline_s - time.monotonic()
    headers = dict(
        forward.headers_for_peer(context.env, call, context.identity, left_s)
    )
    headers['content-type'] = call.content_type
    if call.idempotency_key:
        headers[calls.IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
    path = f'{calls.SERVICE_PREFIX}{call.route}{call.subpath}'
    return forward.Target(
        member.caller_address,
        call.method,
        path,
        tuple(headers.items()),
        call.body,
    )


async def exchange_once(context, target, is_peer):
    """Return the `ServiceResponse` of one exchange, or raise `AttemptEnded`.

    A new connection is used, so that a failure to connect means that
    nothing was written.  A refusal by another daemon raises `AttemptEnded`.
    """
    client = context.env.client
    try:
        exchange = await client.open(target.address, True)
    except OSError:
        raise AttemptEnded(attempts.End.UNREACHABLE)
    # If the deadline passes from here on, the outcome is unknown, unless
    # the peer has responded that it did not run the call.
    may_have_run_before = context.attempts.may_have_run
    context.attempts.may_have_run = True
    try:
        await exchange.send(
            target.method, target.path, target.headers, target.body
        )
        body = await exchange.read()
    except (OSError, h11.ProtocolError):
        raise AttemptEnded(attempts.End.BROKEN)
    finally:
        await client.discard(exchange)
    if is_peer and calls.REFUSED_HEADER in exchange.headers:
        if exchange.headers[calls.REFUSED_HEADER] != 'not_run':
            raise AttemptEnded(attempts.End.BROKEN)
        context.attempts.may_have_run = may_have_run_before
        raise AttemptEnded(attempts.End.REFUSED)
    if exchange.status == 503 and context.attempts.is_repeatable:
        raise AttemptEnded(attempts.End.REFUSED)
    content_type = exchange.headers.get(
        'content-type', 'application/octet-stream'
    )
    return ServiceResponse(exchange.status, body, content_type)
