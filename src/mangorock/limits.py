"""Admission control and the retry budget: state machines without clocks.

A request that no engine can finish in time is refused at once, before it
costs anything.  When a pool is contended, accounts over their fair share
are refused first, then low priorities.  Fair shares are computed from this
daemon's own traffic: the platform's load balancer spreads each account over
the entry VMs, so the daemons need not exchange counts.
"""

import attrs

from mangorock import errors

# A pool counts as contended when other requests are expected to delay a
# request by more than this fraction of the time to its deadline.
CONTENTION_THRESHOLD = 0.25
# An account may exceed its fair share by this factor before it is refused.
MAX_SHARE_FACTOR = 1.25
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@attrs.define
class RetryBudget:
    """Limits retries to a share of the requests.

    Example::

        budget = RetryBudget()
        budget.earn()        # for each request
        budget.spend()       # before a retry; false if it is not allowed
    """

    balance: float = RETRY_BURST
    burst: float = RETRY_BURST
    share: float = RETRY_SHARE

    def earn(self):
        """Credit one request, up to ``burst``."""
        self.balance = min(self.burst, self.balance + self.share)

    def spend(self):
        """Pay for one retry; return whether the balance allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


@attrs.define
class PoolLoad:
    """This daemon's in-flight requests to one pool, by account.

    ``shares`` holds the configured shares of the accounts with requests in
    flight.
    """

    in_flight: int = 0
    by_account: dict = attrs.field(factory=dict)
    shares: dict = attrs.field(factory=dict)


@attrs.define
class Limiter:
    """Admits or refuses requests; one per daemon."""

    pools: dict = attrs.field(factory=dict)

    def admit(self, identity, pool, estimate, left_s, jitter):
        """Admit and count a request, or raise.

        ``estimate`` is the best `router.Estimate`, ``left_s`` the time to
        the deadline, ``jitter`` a random number in [0, 1) that spreads the
        Retry-After times.  Raises `errors.DeadlineExceeded`,
        `errors.Overloaded` or `errors.AccountLimit`.
        """
        load = self.pools.setdefault(pool.name, PoolLoad())
        expected_s = estimate.total_s
        wait_s = min(
            max(expected_s - left_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
        retry_after_s = wait_s * (1.0 + jitter)
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
                'flight through this VM; retry later',
                retry_after_s=retry_after_s,
            )
        if estimate.wait_s > left_s * CONTENTION_THRESHOLD:
            self._check_share(identity, load, pool, retry_after_s)
        self._count(load, identity)

    @staticmethod
    def _limit(pool, priority):
        # Priority 9 may fill the whole queue limit, priority 0 half of it.
        fraction = 0.5 + 0.5 * priority / 9
        servers = max(1, len(pool.servers))
        return max(1, int(pool.max_queue * servers * fraction))

    @staticmethod
    def _check_share(identity, load, pool, retry_after_s):
        account_in_flight = load.by_account.get(identity.account, 0)
        shares = dict(load.shares)
        shares[identity.account] = identity.share
        fair_share = load.in_flight * identity.share / sum(shares.values())
        if len(shares) > 1 and account_in_flight + 1 > max(
            1.0, fair_share * MAX_SHARE_FACTOR
        ):
            raise errors.AccountLimit(
                f'account {identity.account} has {account_in_flight} requests '
                f'in pool {pool.name}, its fair share is {fair_share:.1f} '
                'while the pool is busy; retry later',
                retry_after_s=retry_after_s,
            )

    @staticmethod
    def _count(load, identity):
        load.in_flight += 1
        name = identity.account
        load.by_account[name] = load.by_account.get(name, 0) + 1
        load.shares[name] = identity.share

    def release(self, identity, pool_name):
        """Count an admitted request as ended."""
        load = self.pools[pool_name]
        load.in_flight -= 1
        name = identity.account
        load.by_account[name] -= 1
        if not load.by_account[name]:
            del load.by_account[name]
            del load.shares[name]
