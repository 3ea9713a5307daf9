"""Decides how long a silent server is waited for.

A loaded server is slow but sound, and to start again elsewhere adds to the
load.  So a server is given up only if it was silent for long, and only while
the request can be continued elsewhere.
"""

import time

import attrs
import curio
import curio.errors

# Silence after which a resumable stream is given up: a multiple of the target
# latency before its first event, of the longest allowed pause after it, and
# at least this share of the time after which the caller gives up.  A loaded
# engine is slow but sound, and to start again elsewhere adds to the load.
FIRST_EVENT_TARGET_FACTOR = 2.5
MAX_GAP_FACTOR = 3.0
SILENCE_SHARE = 0.5
MIN_SILENCE_LIMIT_S = 0.6
# Fraction of the remaining time after which an attempt of a repeatable
# request is given up, so that time is left for another one.
ATTEMPT_TIMEOUT_FRACTION = 0.4
MIN_ATTEMPT_TIMEOUT_S = 0.25
# Stands for no limit, as it is longer than any request.
NO_LIMIT_S = 86400.0
# Interval at which it is checked again whether a silent server can be
# replaced.
RECHECK_S = 0.2


class ServerSilent(Exception):
    """A server was silent for too long and is given up.

    Unlike `curio.errors.TaskTimeout`, it cannot stand for the deadline of
    the request, which may pass in a step that has no limit of its own.
    """


@attrs.frozen
class SilenceLimits:
    """How long a server may be silent before its first event and later.

    None means no limit besides the deadline of the request.  ``may_repeat``
    says that the request may run again elsewhere.  A server that exceeds a
    limit is given up only if ``may_give_up()`` is true: silence alone is no
    failure, so an answer is not ended by it unless it can be continued.
    """

    may_repeat: bool
    first_event_s: float | None = None
    gap_s: float | None = None
    may_give_up: object = attrs.field(default=lambda: True)


@attrs.define
class SilenceTimer:
    """Limits the time that reads from one server take together.

    Example::

        timer = SilenceTimer(limits.first_event_s, limits.may_give_up)
        await timer.read(exchange.read_head)
        timer.restart(limits.gap_s)
        data = await timer.read(exchange.read_some)
    """

    limit_s: float | None
    may_give_up: object
    since_s: float = attrs.field(factory=time.monotonic)

    def restart(self, limit_s):
        """Start to measure anew, as the server was not silent."""
        self.limit_s, self.since_s = limit_s, time.monotonic()

    @property
    def left_s(self):
        """Return the seconds until the limit, None if there is none."""
        if self.limit_s is None:
            return None
        waited_s = time.monotonic() - self.since_s
        return max(0.0, self.limit_s - waited_s)

    async def read(self, read):
        """Return the result of ``read()``, which is repeated if needed.

        Raises `ServerSilent` if the server is given up.
        """
        while True:
            try:
                async with time_limit(self.left_s):
                    return await read()
            except curio.errors.TaskTimeout:
                if self.may_give_up():
                    raise ServerSilent(f'no answer in {self.limit_s} s')
                waited_s = time.monotonic() - self.since_s
                self.limit_s = waited_s + RECHECK_S


def limits_of_call(context, may_give_up):
    """Return the `SilenceLimits` of an attempt of a plain request.

    ``context`` is the request's `context.RequestContext`.
    """
    route = context.route
    if not route.is_repeatable or context.servers + 1 >= route.max_servers:
        return SilenceLimits(route.is_repeatable)
    limit_s = context.left_s * ATTEMPT_TIMEOUT_FRACTION
    return SilenceLimits(
        True,
        max(MIN_ATTEMPT_TIMEOUT_S, limit_s),
        may_give_up=may_give_up,
    )


def limits_of_stream(context, may_give_up):
    """Return the `SilenceLimits` of an attempt of a stream.

    ``context`` is the request's `context.RequestContext`.
    """
    route = context.route
    if not route.is_resumable or context.servers + 1 >= route.max_servers:
        return SilenceLimits(route.is_repeatable)
    least_s = MIN_SILENCE_LIMIT_S
    if route.caller_read_timeout_s is not None:
        least_s = SILENCE_SHARE * route.caller_read_timeout_s
    return SilenceLimits(
        True,
        max(least_s, FIRST_EVENT_TARGET_FACTOR * route.target_s),
        max(least_s, MAX_GAP_FACTOR * route.max_gap_s),
        may_give_up,
    )


def time_limit(seconds):
    """Return a timeout context manager; None means no limit.

    A timeout is set in either case: without an inner one, the code would
    mistake the expiry of an outer timeout for that of this one.
    """
    return curio.timeout_after(NO_LIMIT_S if seconds is None else seconds)
