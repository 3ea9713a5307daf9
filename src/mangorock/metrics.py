"""Counters and timings, sent by statsd and kept for the admin API.

Every refusal reason and retry reason has its counter from the start, at
zero, so a dashboard can be built before the first refusal.
"""

import enum

import statsd

from mangorock import errors


class RetryReason(enum.Enum):
    """Why a request was sent to a second backend server."""

    CONNECT = 'connect'
    REFUSED = 'refused'
    BROKEN_STREAM = 'broken_stream'
    BROKEN = 'broken'
    PREFILL = 'prefill'


class Metrics:
    """Counts by name; ``counts`` is read by the administration API."""

    def __init__(self, client=None):
        self.client = client
        self.counts = {f'refused.{r.value}': 0 for r in errors.Reason}
        self.counts |= {f'retried.{r.value}': 0 for r in RetryReason}

    def add(self, name, count=1):
        """Add ``count`` to the counter ``name``."""
        self.counts[name] = self.counts.get(name, 0) + count
        if self.client is not None:
            self.client.incr(name, count)

    def count_refusal(self, reason):
        """Count a refusal under its reason."""
        self.add(f'refused.{reason.value}')

    def count_retry(self, reason):
        """Count a retry under its reason."""
        self.add(f'retried.{reason.value}')

    def timing(self, name, seconds):
        """Send a duration; statsd takes milliseconds."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)


def make_metrics(address, prefix='mangorock'):
    """Return `Metrics` sending to ``address`` ('' keeps them local)."""
    if not address:
        return Metrics()
    host, _, port = address.rpartition(':')
    return Metrics(statsd.StatsClient(host, int(port), prefix=prefix))
