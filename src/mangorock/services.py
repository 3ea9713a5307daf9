"""Claim, dispatch and relay of a call to a plain service.

A call that may not be repeated is sent on a fresh connection and never
sent again once a byte was written.  With an idempotency key it is claimed
durably first, so a repeat through any entry VM finds the claim.
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
class Answer:
    """A backend server's whole answer."""

    status: int
    body: bytes
    content_type: str


@attrs.define
class Work:
    """One service call on its way through the stages."""

    env: object
    call: calls.ServiceCall
    identity: object
    pool: object
    deadline_s: float
    attempts: attempts.Attempts
    is_from_peer: bool


async def serve(env, call, request, responder):
    """Serve a service call; raise the typed refusal when it cannot be."""
    work = make_work(env, call, request)
    left_s = work.deadline_s - time.monotonic()
    env.limiter.admit(
        work.identity,
        work.pool,
        router.Estimate(0.0, 0.0),
        left_s,
        env.random.random(),
    )
    env.retry_budget.earn()
    try:
        answer, is_replay = await run_claimed(work)
    finally:
        env.limiter.release(work.identity, work.pool.name)
    env.metrics.add('services.whole')
    headers = [
        (calls.REQUEST_ID_HEADER, call.request_id),
        ('content-type', answer.content_type),
    ]
    if is_replay:
        headers.append(REPLAYED_HEADER)
    await responder.respond(answer.status, answer.body, headers)


def make_work(env, call, request):
    """Return the `Work` of an identified call."""
    identity = forward.identify_caller(env, call, request.headers)
    route = identity.route
    if route.kind != 'service':
        raise errors.BadRequest(
            f'route {route.name!r} is a {route.kind}; call '
            f'{calls.COMPLETION_PATHS[0]}'
        )
    limit_ms = call.deadline_ms or route.deadline_ms
    is_repeatable = route.is_repeatable or call.method in READ_METHODS
    return Work(
        env,
        call,
        identity,
        env.tables.pools[route.pool],
        time.monotonic() + limit_ms / 1000.0,
        attempts.Attempts(is_repeatable, env.retry_budget),
        forward.is_from_peer(env, request.headers),
    )


async def run_claimed(work):
    """Return ``(Answer, is_replay)``, claiming the key where needed."""
    call = work.call
    needs_claim = (
        call.idempotency_key
        and not work.attempts.is_repeatable
        and not work.is_from_peer
    )
    if not needs_claim:
        return await run(work), False
    claimer = work.env.claimer
    claim, earlier = await claimer.claim(
        work.identity.account, call.route, call.idempotency_key
    )
    if earlier is not None:
        return replay(earlier), True
    try:
        answer = await run(work)
    except errors.MangorockError as exc:
        if exc.run is errors.Run.NOT_RUN:
            await claimer.release(claim)
        raise
    await claimer.finish(claim, answer.status, to_text(answer))
    return answer, False


def replay(entry):
    """Return the recorded `Answer` of an earlier call with the same key.

    Raises `errors.ClaimInFlight` when none is recorded.
    """
    if entry.kind is not claims.Kind.DONE or not entry.body:
        raise errors.ClaimInFlight(
            'this idempotency key was used and its answer is not recorded '
            '(still running, lost, or too long to keep); look up whether '
            'the first call took effect',
            retry_after_s=2,
        )
    data = orjson.loads(entry.body)
    return Answer(entry.status, data['body'].encode(), data['type'])


def to_text(answer):
    """Return the recorded form of an answer, '' when it is too long."""
    text = answer.body.decode('utf-8', 'replace')
    if len(text) > claims.MAX_BODY_CHARS:
        return ''
    data = {'type': answer.content_type, 'body': text}
    return orjson.dumps(data).decode()


async def run(work):
    """Attempt until there is a whole answer, or raise the refusal."""
    left_s = work.deadline_s - time.monotonic()
    try:
        async with curio.timeout_after(left_s):
            while True:
                answer = await attempt(work)
                if answer is not None:
                    return answer
    except curio.errors.TaskTimeout:
        raise errors.DeadlineExceeded(
            'the deadline passed before the answer came; look up whether '
            'the call took effect',
            run=work.attempts.run_state(),
        )


async def attempt(work):
    """Make one attempt; return the `Answer` or ``None``."""
    work.attempts.begin()
    if work.attempts.count > 1:
        reason = attempts.RETRY_REASONS[work.attempts.last_end]
        work.env.metrics.count_retry(reason)
    target, is_peer = next_target(work)
    try:
        return await exchange_with(work, target, is_peer)
    except Ended as exc:
        work.attempts.end(target.address, exc.end)
        logs.warning(
            'attempt_ended',
            request=work.call.internal_id,
            server=target.address,
            end=exc.end.value,
        )
        return None


class Ended(Exception):
    """The attempt ended without a whole answer."""

    def __init__(self, end):
        super().__init__(end)
        self.end = end


def next_target(work):
    """Return ``(forward.Target, is_peer)`` or raise `errors.NoBackend`."""
    env, call, excluded = work.env, work.call, work.attempts.excluded
    address = choose_server(env, work.pool, excluded)
    if address:
        route = work.identity.route
        headers = [
            ('content-type', call.content_type),
            (calls.REQUEST_ID_HEADER, call.internal_id),
        ]
        if call.idempotency_key:
            headers.append((calls.KEY_HEADER, call.idempotency_key))
        path = route.path.rstrip('/') + call.tail or '/'
        target = forward.Target(
            address, call.method, path, tuple(headers), call.body
        )
        return target, False
    member = None
    if not work.is_from_peer:
        member = forward.choose_peer(env, work.pool, excluded)
    if member is None:
        raise work.attempts.error(
            f'no backend server of pool {work.pool.name!r} may take the '
            'call now; retry later'
        )
    env.metrics.add('forwarded')
    return peer_target(work, member), True


def choose_server(env, pool, excluded):
    """Return the address of the least busy server of the own domain."""
    views = env.router.candidates(
        pool.name, time.monotonic(), ('mixed',), excluded
    )
    if not views or not env.is_joined:
        return ''
    env.random.shuffle(views)
    return min(views, key=lambda v: len(v.in_flight)).address


def peer_target(work, member):
    """Return the target that passes the call to another daemon."""
    call = work.call
    left_s = work.deadline_s - time.monotonic()
    headers = dict(
        forward.headers_for_peer(work.env, call, work.identity, left_s)
    )
    headers['content-type'] = call.content_type
    if call.idempotency_key:
        headers[calls.KEY_HEADER] = call.idempotency_key
    path = f'{calls.SERVICE_PREFIX}{call.route}{call.tail}'
    return forward.Target(
        member.caller_address,
        call.method,
        path,
        tuple(headers.items()),
        call.body,
    )


async def exchange_with(work, target, is_peer):
    """Return the `Answer` of one exchange, or raise `Ended`.

    A fresh connection is used, so that a failure to connect means that
    nothing was written.  A refusal by another daemon is not an answer.
    """
    client = work.env.client
    try:
        exchange = await client.open(target.address, True)
    except OSError:
        raise Ended(attempts.End.UNREACHABLE)
    # From here on a deadline leaves the outcome unknown, until the server
    # has answered that it did nothing.
    was_uncertain = work.attempts.may_have_run
    work.attempts.may_have_run = True
    try:
        await exchange.send(
            target.method, target.path, target.headers, target.body
        )
        body = await exchange.read()
    except (OSError, h11.ProtocolError):
        raise Ended(attempts.End.BROKEN)
    finally:
        await client.release(exchange)
    if is_peer and calls.REFUSED_HEADER in exchange.headers:
        if exchange.headers[calls.REFUSED_HEADER] != 'not_run':
            raise Ended(attempts.End.BROKEN)
        work.attempts.may_have_run = was_uncertain
        raise Ended(attempts.End.REFUSED)
    if exchange.status == 503 and work.attempts.is_repeatable:
        raise Ended(attempts.End.REFUSED)
    kind = exchange.headers.get('content-type', 'application/octet-stream')
    return Answer(exchange.status, body, kind)
