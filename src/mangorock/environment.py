"""The shared state of a daemon, passed to every stage of a request."""

from __future__ import annotations

import random

import attrs

from mangorock import claimer
from mangorock import client
from mangorock import errors
from mangorock import limits
from mangorock import membership
from mangorock import metrics
from mangorock import peers
from mangorock import platform
from mangorock import router
from mangorock import routers
from mangorock import tables


@attrs.define
class Environment:
    """State that all tasks and request stages of a daemon share.

    No locks are needed: all access is from curio tasks in a single thread,
    and the methods of the state machines never await.
    """

    settings: object
    metrics: metrics.Metrics
    client: client.Client
    platform: platform.Platform
    peers: peers.Peers
    claimer: claimer.Claimer
    membership: membership.Membership
    router: router.Router
    rng: random.Random
    limiter: limits.Limiter = attrs.field(factory=limits.Limiter)
    retry_budgets: dict = attrs.field(factory=dict)
    tables_history: tables.TablesHistory = attrs.field(
        factory=tables.TablesHistory
    )
    vms: tuple = ()
    is_stopping: bool = False
    is_joined: bool = False
    in_flight: int = 0
    streams: dict = attrs.field(factory=dict)
    router_set: routers.RouterSet = attrs.field(factory=routers.RouterSet)
    owner: object = None

    @property
    def tables(self):
        """Return the tables that are currently in force in this daemon."""
        return self.tables_history.current

    def retry_budget(self, pool_name):
        """Return the `limits.RetryBudget` of a pool, created on first use.

        Retries at one pool are not paid for by requests for another.
        """
        return self.retry_budgets.setdefault(pool_name, limits.RetryBudget())

    def update_tables(self, newer):
        """Replace the tables if ``newer`` has a higher revision.

        Returns whether the tables were replaced.
        """
        if not self.tables_history.advance(newer):
            return False
        self.membership.revision = newer.revision
        self.router.update_tables(newer)
        return True

    def check_ready(self):
        """Raise an error if this daemon cannot accept requests now.

        Raises `errors.ShuttingDown` or `errors.NoTables`.
        """
        if self.is_stopping:
            raise errors.ShuttingDown(
                'this daemon is shutting down; retry the request, the load '
                'balancer will select another daemon',
                retry_after_s=1,
            )
        if not self.tables.revision:
            raise errors.NoTables(
                'no tables have been loaded yet; check the connections to '
                'the platform and the peers, and that tables have been '
                'applied with mangorockctl',
                retry_after_s=2,
            )


def make_environment(settings, seed=None):
    """Create the `Environment` of a daemon from its settings."""
    rng = random.Random(seed)
    http_client = client.Client()
    platform_client = platform.Platform(
        settings.platform_address, http_client, settings.platform_token
    )
    own_member = membership.Member(
        settings.vm,
        settings.failure_domain,
        settings.peer_address,
        settings.caller_address,
    )
    return Environment(
        settings=settings,
        metrics=metrics.make_metrics(settings.statsd_address),
        client=http_client,
        platform=platform_client,
        peers=peers.Peers(settings.peer_address, settings.peer_key),
        claimer=claimer.Claimer(platform_client),
        membership=membership.Membership(own_member, rng),
        router=router.Router(settings.failure_domain, rng),
        rng=rng,
    )
