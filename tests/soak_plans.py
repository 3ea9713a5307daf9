"""Configurations of the soak test, each different from the last one."""

import attrs

from tests import fleet

TIMEOUTS_MS = (800, 1500, 3000, 5000)
IDLE_TIMEOUTS_MS = (600, 1500, 5000)
ENGINE_SLOTS = 4


@attrs.define
class Configs:
    """Makes random configurations.

    Each has other timeouts of routes and idle connections.  The plain routes
    lead to one of two services or to both, with random weights.
    """

    rng: object
    idle_timeout_s: float = max(IDLE_TIMEOUTS_MS) / 1000
    least_idle_s: float = min(IDLE_TIMEOUTS_MS) / 1000
    least_timeout_s: float = min(TIMEOUTS_MS) / 1000

    def make_first(self, version):
        """Return the configuration that is in force at the start."""
        config = fleet.make_config(version)
        config['services'].append({'name': 'annex', 'maxConnections': 80})
        config['services'][1]['engine']['slots'] = ENGINE_SLOTS
        return config

    def make(self, version):
        """Return a random configuration."""
        config = self.make_first(version)
        for route in config['routes']:
            route['timeoutMs'] = self.rng.choice(TIMEOUTS_MS)
            if route['service'] == 'desk':
                self._move(route)
        idle_ms = self.rng.choice(IDLE_TIMEOUTS_MS)
        config['limits']['idleTimeoutMs'] = idle_ms
        self.idle_timeout_s = idle_ms / 1000
        return config

    def _move(self, route):
        route['service'] = self.rng.choice(('desk', 'annex'))
        if self.rng.random() < 0.5:
            route['trafficSplit'] = [
                {'service': name, 'weight': self.rng.uniform(0.1, 1.0)}
                for name in ('desk', 'annex')
            ]
