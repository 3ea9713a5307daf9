"""Tests of a VM that was suspended with all its processes."""

import unittest
from unittest import mock

from mangorock import budget
from mangorock import clocks
from mangorock import presence
from tests import fleet
from tests import test_front
from tests import workers

SUSPENDED_S = 60.0


def make_servers():
    """Return servers that can be told to refuse everything."""
    return [workers.Worker(f'w{n}', 'desk', answer) for n in range(3)]


def answer(request):
    """Serve a request."""
    return workers.whole_response(request)


async def count_arrivals(cluster, servers, suspended_s):
    """Return how often a request reaches servers that refuse it.

    The VM was suspended for ``suspended_s`` before.
    """
    for server in servers:
        server.script = [workers.not_executed_response]
        server.received.clear()
    woken_s = clocks.boot_clock() + suspended_s
    with mock.patch.object(clocks, 'boot_clock', lambda: woken_s):
        await cluster.request('GET', '/look/')
    return sum(len(server.received) for server in servers)


class Repeats(unittest.TestCase):
    """A VM that wakes up does not spend what it had before.

    The platform's window goes on while a VM is suspended, and the other VMs
    take its part of the slack, but the monotonic clock stands still.
    """

    async def check(self, cluster, servers):
        """Check that there are repeats, but none after a suspension."""
        arrivals = await count_arrivals(cluster, servers, 0.0)
        self.assertGreater(arrivals, 1)
        arrivals = await count_arrivals(cluster, servers, SUSPENDED_S)
        self.assertEqual(1, arrivals)

    @test_front.run
    async def test_requests_before_the_suspension_allow_no_repeats(self):
        servers = make_servers()
        async with fleet.Fleet(*servers) as cluster:
            budgets = cluster.front.gateway.budgets
            budgets.terms = budget.Terms(0.5, 10.0, 0.0)
            for _ in range(20):
                await cluster.request('GET', '/look/')
            await self.check(cluster, servers)

    @test_front.run
    async def test_part_of_the_slack_is_not_kept(self):
        servers = make_servers()
        async with fleet.Fleet(*servers) as cluster:
            gateway, now = cluster.front.gateway, clocks.boot_clock()
            gateway.budgets.terms = budget.Terms(0.0, 10.0, 10.0)
            gateway.budgets.share = presence.SlackShare(now - 60.0, now)
            gateway.set_vm_count(1)
            await self.check(cluster, servers)


if __name__ == '__main__':
    unittest.main()
