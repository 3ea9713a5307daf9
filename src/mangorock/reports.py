"""Asks each engine of the own failure domain for its load report."""

import time

import curio

from mangorock import engine

CALL_TIMEOUT_S = 2.0
MAX_POLLS_PER_S = 6.0


async def poll_forever(env):
    """Keep one poller for each engine in the router's views."""
    pollers = {}
    while True:
        wanted = {
            key
            for key, view in env.router.views.items()
            if env.tables.pools.get(view.pool) is not None
            and env.tables.pools[view.pool].kind == 'engines'
        }
        for key in wanted - set(pollers):
            pollers[key] = await curio.spawn(poll, env, key, daemon=True)
        for key in set(pollers) - wanted:
            await pollers.pop(key).cancel()
        await curio.sleep(env.settings.report_interval_s)


async def poll(env, key):
    """Poll one engine for ever."""
    while True:
        await poll_once(env, key)
        spread = 0.8 + 0.4 * env.random.random()
        await curio.sleep(interval_s(env) * spread)


def interval_s(env):
    """Return the seconds between reports of one engine.

    With many engines each is asked less often, so that what a daemon
    spends on reports does not grow with the fleet.
    """
    least_s = len(env.router.views) / MAX_POLLS_PER_S
    return max(env.settings.report_interval_s, least_s)


async def poll_once(env, key):
    """Ask once; an engine that does not answer gets no new work."""
    view = env.router.views.get(key)
    if view is None:
        return
    try:
        async with curio.timeout_after(CALL_TIMEOUT_S):
            report = await engine.fetch_report(
                env.client, view.address, view.last_event_seen
            )
    except engine.FAILURES:
        env.metrics.add('reports.failed')
        env.router.on_failure(view, time.monotonic())
        return
    env.router.on_report(key, report, time.monotonic())
