"""Polls the engines known to the router for their load reports."""

import time

import curio

from mangorock import engine

CALL_TIMEOUT_S = 2.0
MAX_POLLS_PER_S = 6.0


async def poll_forever(env):
    """Run one polling task for each engine in the router's views."""
    tasks = {}
    while True:
        engine_keys = {
            key
            for key, view in env.router.views.items()
            if env.tables.pools.get(view.pool) is not None
            and env.tables.pools[view.pool].kind == 'engines'
        }
        for key in engine_keys - set(tasks):
            tasks[key] = await curio.spawn(poll_engine, env, key, daemon=True)
        for key in set(tasks) - engine_keys:
            await tasks.pop(key).cancel()
        await curio.sleep(env.settings.report_interval_s)


async def poll_engine(env, key):
    """Poll an engine until cancelled.

    The interval varies randomly by 20 %, so that the polls of daemons do not
    synchronize.
    """
    while True:
        await poll_once(env, key)
        jitter = 0.8 + 0.4 * env.rng.random()
        await curio.sleep(poll_interval_s(env) * jitter)


def poll_interval_s(env):
    """Return the mean interval in seconds between polls of an engine.

    It grows with the number of engines, so that the load on the daemon does
    not: on average it polls at most `MAX_POLLS_PER_S` times a second.
    """
    min_interval_s = len(env.router.views) / MAX_POLLS_PER_S
    return max(env.settings.report_interval_s, min_interval_s)


async def poll_once(env, key):
    """Fetch a load report and pass it to the router.

    The router is notified of a failure instead if the engine does not return
    a report within `CALL_TIMEOUT_S`.
    """
    view = env.router.views.get(key)
    if view is None:
        return
    try:
        async with curio.timeout_after(CALL_TIMEOUT_S):
            report = await engine.fetch_report(
                env.client, view.address, view.last_event_seen
            )
    except engine.CALL_ERRORS:
        env.metrics.add('reports.failed')
        env.router.on_failure(view, time.monotonic())
        return
    env.router.on_report(key, report, time.monotonic())
