"""Tells the other VMs of the limits that backend servers state.

A VM that hears of a limit, or of its end, sends a datagram to all others;
once in a turn one VM repeats it.  Nothing is sent for a request as such, and
a datagram that is lost costs no more than the delay until a response says the
same.
"""

import time

from mangorock import logs
from mangorock import messages


class LimitReports:
    """Connects `rate_limits.RateLimits` with the other VMs.

    ``gateway`` is the `gateway.Gateway`, ``endpoint`` the
    `consultation.SchedulerEndpoint`.
    """

    def __init__(self, gateway, endpoint):
        self.gateway = gateway
        self.endpoint = endpoint

    def tell(self, server, per_s):
        """Tell the other VMs the limit of a server, None for its end."""
        self.endpoint.broadcast(
            messages.ServerLimit(
                server.server_id, server.started_ms, server.address, per_s
            )
        )

    def on_message(self, message):
        """Take over what another VM has heard of a server."""
        registry = self.gateway.registry
        server = registry.servers.get(message.server)
        if server is None or (server.started_ms, server.address) != (
            message.started_ms,
            message.address,
        ):
            # Of another incarnation than this VM knows.
            logs.debug('server_limit_unknown', server=message.server)
            return
        unix_s = time.time()
        was_limited = registry.rates.is_limited(server, unix_s)
        part = self.gateway.rng.random()
        registry.rates.on_told(server, message.per_s, unix_s, part)
        if was_limited != (message.per_s is not None):
            logs.event(
                'server_limit_told',
                server=server.server_id,
                service=server.service,
                per_s=message.per_s,
            )
