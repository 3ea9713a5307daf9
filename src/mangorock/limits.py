"""Admission and the retry budget: state machines without clocks.

A request that no engine can finish in time is refused at once, while it
has cost nothing.  When a pool is contended, accounts over their fair share
go first, then low priorities.  Shares are kept from this daemon's own
traffic alone: the platform's balancer spreads each account over the entry
VMs, so no daemon needs to ask another.
"""

import attrs

from mangorock import errors

# A pool counts as contended when other requests are expected to take this
# part of the time to the deadline.
CONTENDED_AT = 0.25
# An account may pass its fair share by this factor before it is refused.
SHARE_SLACK = 1.25
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 30.0


@attrs.define
class RetryBudget:
    """Allows retries as a share of the requests seen.

    Example::

        budget = RetryBudget()
        budget.earn()        # for each request
        budget.is_spent()    # before a retry; spends one unit if allowed
    """

    units: float = RETRY_BURST
    burst: float = RETRY_BURST
    share: float = RETRY_SHARE

    def earn(self):
        """Credit one request."""
        self.units = min(self.burst, self.units + self.share)

    def spend(self):
        """Take one retry; return whether it was covered."""
        if self.units < 1.0:
            return False
        self.units -= 1.0
        return True


@attrs.define
class PoolLoad:
    """In-flight requests of one pool through this daemon, by account."""

    in_flight: int = 0
    by_account: dict = attrs.field(factory=dict)
    shares: dict = attrs.field(factory=dict)


@attrs.define
class Limiter:
    """Admits or refuses; one for each daemon."""

    pools: dict = attrs.field(factory=dict)

    def admit(self, identity, pool, estimate, left_s, spread):
        """Count the request in, or raise.

        ``estimate`` is the best `router.Estimate`, ``left_s`` the time to
        the deadline, ``spread`` a number in [0, 1) that spreads
        Retry-After.  Raises `errors.DeadlineExceeded`,
        `errors.Overloaded` or `errors.AccountLimit`.
        """
        load = self.pools.setdefault(pool.name, PoolLoad())
        expected_s = estimate.total_s
        wait_s = min(
            max(expected_s - left_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S
        )
        retry_after_s = wait_s * (1.0 + spread)
        if expected_s > left_s:
            raise errors.DeadlineExceeded(
                f'no engine is expected to finish in {left_s:.2f} s '
                f'(best {expected_s:.2f} s); retry later or allow more time',
                retry_after_s=retry_after_s,
            )
        limit = self._limit(pool, identity.route.priority)
        if load.in_flight >= limit:
            raise errors.Overloaded(
                f'{load.in_flight} requests of pool {pool.name} are in '
                'flight here; retry later',
                retry_after_s=retry_after_s,
            )
        if estimate.wait_s > left_s * CONTENDED_AT:
            self._check_share(identity, load, pool, retry_after_s)
        self._count(load, identity)

    @staticmethod
    def _limit(pool, priority):
        # The highest priority may fill the whole bound, the lowest half.
        part = 0.5 + 0.5 * priority / 9
        servers = max(1, len(pool.servers))
        return max(1, int(pool.max_queue * servers * part))

    @staticmethod
    def _check_share(identity, load, pool, retry_after_s):
        mine = load.by_account.get(identity.account, 0)
        shares = dict(load.shares)
        shares[identity.account] = identity.share
        fair = load.in_flight * identity.share / sum(shares.values())
        if len(shares) > 1 and mine + 1 > max(1.0, fair * SHARE_SLACK):
            raise errors.AccountLimit(
                f'account {identity.account} has {mine} requests in pool '
                f'{pool.name}, its share is {fair:.1f} while the pool is '
                'busy; retry later',
                retry_after_s=retry_after_s,
            )

    @staticmethod
    def _count(load, identity):
        load.in_flight += 1
        name = identity.account
        load.by_account[name] = load.by_account.get(name, 0) + 1
        load.shares[name] = identity.share

    def release(self, identity, pool_name):
        """Count a finished request out."""
        load = self.pools[pool_name]
        load.in_flight -= 1
        name = identity.account
        load.by_account[name] -= 1
        if not load.by_account[name]:
            del load.by_account[name]
            del load.shares[name]
