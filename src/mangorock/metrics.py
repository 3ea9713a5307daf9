"""Counters and timings, sent to statsd and shown by the administration API.

The counters of all refusal and retry reasons are created at zero on startup,
so that dashboards can be built before the first refusal.
"""

import enum

import statsd

from mangorock import errors


class RetryReason(enum.Enum):
    """Reason for sending a request to another backend server."""

    CONNECT = 'connect'
    REFUSED = 'refused'
    BROKEN_STREAM = 'broken_stream'
    BROKEN = 'broken'
    PREFILL = 'prefill'


class Metrics:
    """Named counters, and timings that are sent to statsd.

    The administration API reads the counters from ``counts``.
    """

    def __init__(self, client=None):
        self.client = client
        self.counts = {f'refused.{r.value}': 0 for r in errors.Reason}
        self.counts |= {f'retried.{r.value}': 0 for r in RetryReason}
        self.counts |= {'server_leaving': 0, 'server_unwilling': 0}

    def add(self, name, count=1):
        """Increment the counter ``name`` by ``count``."""
        self.counts[name] = self.counts.get(name, 0) + count
        if self.client is not None:
            self.client.incr(name, count)

    def gauge(self, name, value):
        """Set the current value of ``name``."""
        if self.client is not None:
            self.client.gauge(name, value)

    def count_refusal(self, reason):
        """Increment the counter of a refusal reason."""
        self.add(f'refused.{reason.value}')

    def count_retry(self, reason):
        """Increment the counter of a retry reason."""
        self.add(f'retried.{reason.value}')

    def count_cut(self, kind):
        """Count who was cut off for lack of memory, by `buffers.Kind`."""
        self.add(f'cut_off.{kind.value}')

    def count_closed(self, count):
        """Count callers' connections closed for lack of descriptors."""
        self.add('closed.descriptors', count)

    def timing(self, name, seconds):
        """Send a duration to statsd, which expects milliseconds."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)


def make_metrics(address, prefix='mangorock'):
    """Return `Metrics` that are sent to the statsd server at ``address``.

    If ``address`` is empty, nothing is sent.
    """
    if not address:
        return Metrics()
    host, _, port = address.rpartition(':')
    return Metrics(statsd.StatsClient(host, int(port), prefix=prefix))
