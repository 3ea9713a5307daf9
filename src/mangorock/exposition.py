"""Counters and latency histograms in the Prometheus text format.

`PrometheusMetrics` has the interface of `metrics.Metrics`.  The counters of
all refusal and retry reasons are created at zero on startup.
"""

import prometheus_client

from mangorock import metrics

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Upper bounds of the histogram buckets, chosen to resolve the latency targets
# of the two example deployments, which are 0.1 to 0.8 s.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0)


class PrometheusMetrics(metrics.Metrics):
    """Metrics that a Prometheus server scrapes."""

    def __init__(self):
        super().__init__()
        self.registry = prometheus_client.CollectorRegistry()
        self.counter = prometheus_client.Counter(
            'mangorock_events',
            'What was counted, by name.',
            ['name'],
            registry=self.registry,
        )
        self.gauges = prometheus_client.Gauge(
            'mangorock_level',
            'Current values, by name.',
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
        self.held = prometheus_client.Gauge(
            'mangorock_held',
            'What is held at the moment, by name.',
            ['name'],
            registry=self.registry,
        )
        for name in self.counts:
            self.counter.labels(name)

    def add(self, name, count=1):
        """Increment the counter ``name`` by ``count``."""
        self.counts[name] = self.counts.get(name, 0) + count
        self.counter.labels(name).inc(count)

    def gauge(self, name, value):
        """Set the current value of ``name``."""
        self.gauges.labels(name).set(value)

    def set_held(self, held_bytes, callers, others):
        """Set the gauges of bytes by kind and of open connections."""
        for kind, count in held_bytes.items():
            self.held.labels(f'bytes.{kind}').set(count)
        self.held.labels('descriptors.callers').set(callers)
        self.held.labels('descriptors.others').set(others)

    def timing(self, name, seconds):
        """Add a duration in seconds to the histogram ``name``."""
        self.histogram.labels(name).observe(seconds)


def make_prometheus_metrics():
    """Return `PrometheusMetrics` with a separate registry."""
    return PrometheusMetrics()


def render(source):
    """Return the metrics in the Prometheus text format, as bytes."""
    return prometheus_client.generate_latest(source.registry)
