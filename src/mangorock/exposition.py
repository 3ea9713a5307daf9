"""Counters and latency histograms for a scraper, by ``prometheus_client``.

The same interface as `metrics.Metrics`; the names are known in advance, so
every refusal and retry reason stands at zero from the start.
"""

import prometheus_client

from mangorock import metrics

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Seconds; around the targets of both desks, 0.1 to 0.8.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0)


class PrometheusMetrics(metrics.Metrics):
    """`metrics.Metrics` whose values are scraped."""

    def __init__(self):
        super().__init__()
        self.registry = prometheus_client.CollectorRegistry()
        self.counter = prometheus_client.Counter(
            'mangorock_events',
            'What was counted, by name.',
            ['name'],
            registry=self.registry,
        )
        self.histogram = prometheus_client.Histogram(
            'mangorock_seconds',
            'How long it took, by name.',
            ['name'],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        for name in self.counts:
            self.counter.labels(name)

    def add(self, name, count=1):
        """Add ``count`` to the counter ``name``."""
        self.counts[name] = self.counts.get(name, 0) + count
        self.counter.labels(name).inc(count)

    def timing(self, name, seconds):
        """Record a duration in seconds."""
        self.histogram.labels(name).observe(seconds)


def make_prometheus_metrics():
    """Return `PrometheusMetrics` with a registry of their own."""
    return PrometheusMetrics()


def render(source):
    """Return the text that a scraper reads, as bytes."""
    return prometheus_client.generate_latest(source.registry)
