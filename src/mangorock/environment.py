"""The one object that is made at start and passed down to every stage."""

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
    """What the stages of one daemon share.

    Everything here is touched by curio tasks of one thread only, and every
    state machine is called without an await in between, so none needs a
    lock.
    """

    settings: object
    metrics: metrics.Metrics
    client: client.Client
    platform: platform.Platform
    peers: peers.Peers
    claimer: claimer.Claimer
    membership: membership.Membership
    router: router.Router
    random: random.Random
    limiter: limits.Limiter = attrs.field(factory=limits.Limiter)
    budget: limits.RetryBudget = attrs.field(factory=limits.RetryBudget)
    keeper: tables.TablesHistory = attrs.field(factory=tables.TablesHistory)
    vms: tuple = ()
    is_stopping: bool = False
    is_joined: bool = False
    in_flight: int = 0
    streams: dict = attrs.field(factory=dict)
    router_set: routers.RouterSet = attrs.field(factory=routers.RouterSet)
    owner: object = None

    @property
    def tables(self):
        """Return the revision of the tables that is in force here."""
        return self.keeper.current

    def take_tables(self, newer):
        """Move forward to a newer revision; older ones have no effect.

        Returns whether the tables changed.
        """
        if not self.keeper.advance(newer):
            return False
        self.membership.revision = newer.revision
        self.router.update_tables(newer)
        return True

    def check_ready(self):
        """Raise the reason why requests cannot be taken now."""
        if self.is_stopping:
            raise errors.ShuttingDown(
                'this daemon is stopping; send the request again, the '
                'balancer will pick another',
                retry_after_s=1,
            )
        if not self.tables.revision:
            raise errors.NoTables(
                'no tables are known yet; check the platform and the peers, '
                'and apply the tables with mangorockctl',
                retry_after_s=2,
            )


def make_environment(settings, seed=None):
    """Return the `Environment` of a daemon with these settings."""
    rng = random.Random(seed)
    http_client = client.Client()
    service = platform.Platform(
        settings.platform_address, http_client, settings.platform_token
    )
    me = membership.Member(
        settings.vm,
        settings.failure_domain,
        settings.peer_address,
        settings.caller_address,
    )
    return Environment(
        settings=settings,
        metrics=metrics.make_metrics(settings.statsd_address),
        client=http_client,
        platform=service,
        peers=peers.Peers(settings.peer_address, settings.peer_key),
        claimer=claimer.Claimer(service),
        membership=membership.Membership(me, rng),
        router=router.Router(settings.failure_domain, rng),
        random=rng,
    )
