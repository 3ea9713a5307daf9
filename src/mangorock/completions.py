"""Routes a completion request to an engine and relays its response.

If a stream breaks, the request is retried on another engine, which continues
at the next token.  ``streams`` relays each individual stream.
"""

import time

import attrs
import curio
import curio.errors
import h11
import orjson

from mangorock import attempts
from mangorock import calls
from mangorock import engine
from mangorock import errors
from mangorock import forward
from mangorock import logs
from mangorock import relay
from mangorock import router
from mangorock import streams

FIRST_TOKEN_SLACK_S = 5.0


@attrs.define
class CompletionContext:
    """State of one completion request while it is processed."""

    env: object
    call: calls.Completion
    identity: object
    pool: object
    demand: router.Demand
    deadline_s: float
    responder: object
    attempts: attempts.Attempts
    validator: relay.StreamValidator
    is_from_peer: bool
    started_s: float
    first_token_s: float = 0.0
    last_token_s: float = 0.0
    first_choice: object = None


async def serve(env, call, request, responder):
    """Serve a completion, or raise an `errors.MangorockError`."""
    identity = forward.identify_caller(env, call, request.headers)
    context = make_context(env, call, identity, request, responder)
    choice = choose_engine(context)
    estimate = env.router.estimate(
        context.pool.name, context.demand, context.started_s
    )
    left_s = context.deadline_s - context.started_s
    env.limiter.admit(
        identity, context.pool, estimate, left_s, env.rng.random()
    )
    context.first_choice = choice
    env.retry_budget(context.pool.name).earn()
    try:
        await run_until_deadline(context, left_s)
    except errors.MangorockError as exc:
        await streams.fail_stream(context, exc)
        raise
    finally:
        env.limiter.release(identity, context.pool.name)
        record_metrics(context)


def make_context(env, call, identity, request, responder):
    """Build the `CompletionContext` of an authenticated call."""
    route = identity.route
    if route.kind != 'completion':
        raise errors.BadRequest(
            f'route {route.name!r} has kind {route.kind}, not completion; '
            f'use /s/{route.name}/'
        )
    token_limit = route.max_output_tokens
    max_tokens = call.max_tokens or token_limit
    if max_tokens > token_limit:
        raise errors.BadRequest(
            f'"max_tokens" is {max_tokens}, but the route allows at most '
            f'{token_limit}; request fewer tokens'
        )
    is_peer = forward.is_from_peer(env, request.headers)
    start_index = call.start_index if is_peer else 0
    call = attrs.evolve(call, max_tokens=max_tokens)
    now = time.monotonic()
    limit_ms = call.deadline_ms or route.deadline_ms
    demand = router.Demand(
        call.internal_id,
        engine.estimate_tokens(call.prompt),
        max_tokens - start_index,
        calls.prompt_piece_keys(call.prompt),
    )
    return CompletionContext(
        env,
        call,
        identity,
        env.tables.pools[route.pool],
        demand,
        now + limit_ms / 1000.0,
        responder,
        attempts.Attempts(True, env.retry_budget(route.pool)),
        relay.StreamValidator(call.internal_id, start_index),
        is_peer,
        now,
    )


def choose_engine(context):
    """Choose an engine in the local failure domain, or return ``None``."""
    env = context.env
    if not env.is_joined:
        return None
    return env.router.choose(
        context.pool.name,
        context.pool.routing,
        context.demand,
        time.monotonic(),
        context.attempts.excluded,
    )


async def run_until_deadline(context, left_s):
    """Run the attempts; raise `errors.DeadlineExceeded` on timeout."""
    try:
        async with curio.timeout_after(left_s):
            await run_attempts(context)
    except curio.errors.TaskTimeout:
        context.env.metrics.add('deadline_missed')
        # An attempt that is still in progress may already have executed.
        run_state = context.attempts.run_state()
        if context.attempts.count:
            run_state = errors.Run.UNKNOWN
        raise errors.DeadlineExceeded(
            'the deadline passed before the response was complete; set a '
            'longer deadline or request fewer tokens',
            run=run_state,
        )


async def run_attempts(context):
    """Make attempts until the response is complete.

    Raises an `errors.MangorockError` when no further attempt is allowed.
    """
    while not context.validator.is_complete:
        context.attempts.begin()
        if context.attempts.count > 1:
            count_retry(context)
        choice = context.first_choice or choose_engine(context)
        context.first_choice = None
        if choice is not None:
            await attempt_engine(context, choice)
        else:
            await attempt_peer(context)
    await finish_response(context)


def count_retry(context):
    """Count and log a retry with the reason the last attempt failed."""
    reason = attempts.RETRY_REASONS[context.attempts.last_end]
    context.env.metrics.count_retry(reason)
    logs.event(
        'retry',
        request=context.call.internal_id,
        reason=reason.value,
        at_token=context.validator.next_index,
    )


async def attempt_engine(context, choice):
    """Send the request to an engine and relay its stream.

    Returns when the response is complete or the attempt has failed.
    """
    env = context.env
    sent_s = time.monotonic()
    first_index = context.validator.next_index
    env.router.on_sent(choice, context.demand, sent_s)
    step_s = 0.0
    try:
        kv = await run_prefill(context, choice)
        job = make_job(context, kv)
        target = forward.Target(
            choice.view.address,
            'POST',
            engine.COMPLETIONS_PATH,
            (('content-type', 'application/json'),),
            job.to_body(),
        )
        first_token_timeout_s = choice.expected_s * 3 + FIRST_TOKEN_SLACK_S
        await streams.stream_from(context, target, first_token_timeout_s)
        report_prefill_time(context, choice, sent_s, first_index)
        new_tokens = context.validator.next_index - max(first_index, 1)
        if new_tokens > 0 and first_index == 0:
            step_s = (
                context.last_token_s - context.first_token_s
            ) / new_tokens
    except streams.AttemptEnded as exc:
        record_failed_attempt(context, exc)
    finally:
        env.router.on_finished(choice, context.demand, step_s)


def report_prefill_time(context, choice, sent_s, first_index):
    """Report to the router how long the prompt took to process."""
    if first_index == 0 and context.first_token_s:
        seconds = context.first_token_s - sent_s
        context.env.router.on_first_token(choice, context.demand, seconds)


def record_failed_attempt(context, failure):
    """Record a failed attempt and have the router pause the server."""
    context.attempts.end(failure.address, failure.end)
    for view in context.env.router.views.values():
        if view.address == failure.address:
            context.env.router.on_failure(view, time.monotonic())


async def run_prefill(context, choice):
    """Process the prompt on the chosen prefill engine, if there is one."""
    if choice.prefill is None:
        return None
    address = choice.prefill.address
    try:
        return await engine.prefill(
            context.env.client, address, make_job(context, None)
        )
    except errors.BackendRefused:
        raise streams.AttemptEnded(address, attempts.End.REFUSED)
    except (OSError, h11.ProtocolError):
        raise streams.AttemptEnded(address, attempts.End.UNREACHABLE)


def make_job(context, kv):
    """Build the engine job that continues at the next token."""
    call = context.call
    start_index = context.validator.next_index
    priority = context.identity.route.priority
    if call.priority is not None:
        priority = min(priority, call.priority)
    generated = context.validator.text()
    if context.is_from_peer:
        generated = call.generated + generated
    return engine.Job(
        call.internal_id,
        call.prompt,
        call.max_tokens,
        priority,
        start_index,
        generated,
        kv,
    )


async def attempt_peer(context):
    """Forward the request to another daemon that can reach the pool."""
    env = context.env
    member = None
    if not context.is_from_peer:
        excluded = context.attempts.excluded
        member = forward.choose_peer(env, context.pool, excluded)
    if member is None:
        raise context.attempts.error(
            f'no backend server of pool {context.pool.name!r} can accept '
            'the request now; retry later'
        )
    env.metrics.add('forwarded')
    left_s = context.deadline_s - time.monotonic()
    target = forward.Target(
        member.caller_address,
        'POST',
        calls.COMPLETION_PATHS[1],
        forward.headers_for_peer(env, context.call, context.identity, left_s),
        make_peer_body(context),
    )
    try:
        await streams.stream_from(context, target, left_s)
    except streams.AttemptEnded as exc:
        record_failed_attempt(context, exc)


def make_peer_body(context):
    """Build the request body for another daemon."""
    call = context.call
    return orjson.dumps(
        {
            'model': call.route,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'stream': True,
            'mangorock': {
                'start_index': context.validator.next_index,
                'generated': context.validator.text(),
            },
        }
    )


async def finish_response(context):
    """End the stream, or send the complete response body."""
    if context.call.is_stream:
        await context.responder.end()
        return
    text = context.validator.text()
    choice = {'index': 0, 'finish_reason': context.validator.finish_reason}
    if context.call.is_chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    data = {
        'id': context.call.internal_id,
        'model': context.call.route,
        'choices': [choice],
        'usage': context.validator.usage,
    }
    headers = [(calls.REQUEST_ID_HEADER, context.call.request_id)]
    await context.responder.respond(200, data, headers)


def record_metrics(context):
    """Record token counts and the latency of the first token."""
    metrics = context.env.metrics
    metrics.add('tokens.relayed', context.validator.next_index)
    metrics.add('tokens.prompt', context.demand.prompt_tokens)
    if context.first_token_s:
        metrics.timing(
            'first_token', context.first_token_s - context.started_s
        )
    if context.validator.is_complete:
        metrics.add('completions.whole')
    pool = context.pool.name
    metrics.add(f'demand.{pool}.prompt', context.demand.prompt_tokens)
    metrics.add(f'demand.{pool}.output', context.validator.next_index)
