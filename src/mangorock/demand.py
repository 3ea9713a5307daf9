"""Measures the demand for each service: how much is open, late and refused.

It answers a load whose mix and rate swing within seconds: what decides about
the number of servers is the peak of many seconds, where the median of some
seconds leaves out a burst that is shorter.  Each VM counts its own requests
(`DemandCounter`) and sends the counts to the VM that holds the duties, where
`DemandTotals` adds those of all VMs up.

Example::

    counter = DemandCounter()
    counter.on_open('engines')
    counter.on_end('engines', is_late=False, is_refused=True)
    counter.take()      # [Sample('engines', 0, 1, 0, 1)]
"""

import collections
import statistics

import attrs

# Samples, one a second, whose median counts: a burst that is shorter than half
# of them is over when servers ordered for it would serve.
MEDIAN_SAMPLES = 7
# Time for which a peak counts, in seconds: longer than a swing of the load.
PEAK_S = 30.0
# Samples of a VM count for this time, in seconds.
SAMPLE_VALID_S = 3.5
# Late and refused requests are a share of those that ended within this time.
PRESSURE_S = 5.0


@attrs.frozen
class Sample:
    """The requests for one service at one VM.

    ``open_count`` is the number of requests that wait or run now; the others
    count those that ended since the sample before: all, those whose answer
    began after their target, and those refused for lack of room.
    """

    service: str
    open_count: int
    ended: int
    late: int
    refused: int


@attrs.define
class Counts:
    """The counts of one service since the last sample."""

    open_count: int = 0
    ended: int = 0
    late: int = 0
    refused: int = 0


@attrs.define
class DemandCounter:
    """Counts the requests of this VM by service."""

    services: dict = attrs.field(factory=dict)

    def on_open(self, service):
        """Count a request that was accepted."""
        self.services.setdefault(service, Counts()).open_count += 1

    def on_end(self, service, is_late, is_refused):
        """Count a request that ended."""
        counts = self.services[service]
        counts.open_count -= 1
        counts.ended += 1
        counts.late += is_late
        counts.refused += is_refused

    def take(self):
        """Return a `Sample` of each service, and begin the next ones."""
        samples = [
            Sample(name, c.open_count, c.ended, c.late, c.refused)
            for name, c in self.services.items()
        ]
        self.services = {
            name: Counts(counts.open_count)
            for name, counts in self.services.items()
            if counts.open_count
        }
        return samples


@attrs.define
class ServiceDemand:
    """The demand of all VMs for one service.

    ``newest`` are the last numbers of open requests, ``history`` has their
    medians with their times.
    """

    newest: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MEDIAN_SAMPLES)
    )
    history: collections.deque = attrs.field(factory=collections.deque)
    ended: collections.deque = attrs.field(factory=collections.deque)

    def add(self, open_count, ended, troubled, now):
        """Add the sums of one interval."""
        self.newest.append(open_count)
        self.history.append((now, statistics.median(self.newest)))
        self.ended.append((now, ended, troubled))
        _drop_before(self.history, now - PEAK_S)
        _drop_before(self.ended, now - PRESSURE_S)

    @property
    def peak(self):
        """Return the highest median of the open requests."""
        return max((count for _, count in self.history), default=0.0)

    @property
    def observed_s(self):
        """Return for how long there has been any demand."""
        known = [moment for moment, count in self.history if count > 0]
        return known[-1] - known[0] if known else 0.0

    @property
    def pressure(self):
        """Return the share of late and refused requests."""
        ended = sum(count for _, count, _ in self.ended)
        troubled = sum(count for _, _, count in self.ended)
        return troubled / ended if ended else 0.0


def _drop_before(rows, moment):
    while rows and rows[0][0] < moment:
        rows.popleft()


@attrs.define
class DemandTotals:
    """Adds the samples of all VMs up; a state machine without I/O."""

    samples: dict = attrs.field(factory=dict)
    services: dict = attrs.field(factory=dict)
    pending: dict = attrs.field(factory=dict)

    def on_sample(self, vm, samples, now):
        """Take the samples of one VM."""
        self.samples[vm] = now, {s.service: s.open_count for s in samples}
        for sample in samples:
            ended, troubled = self.pending.get(sample.service, (0, 0))
            self.pending[sample.service] = (
                ended + sample.ended,
                troubled + sample.late + sample.refused,
            )

    def close_interval(self, now):
        """Add the samples that have come up; call it once a second."""
        self.samples = {
            vm: (at_s, counts)
            for vm, (at_s, counts) in self.samples.items()
            if now - at_s <= SAMPLE_VALID_S
        }
        sums = collections.Counter()
        for _, counts in self.samples.values():
            sums.update(counts)
        for name in {*sums, *self.pending, *self.services}:
            ended, troubled = self.pending.get(name, (0, 0))
            found = self.services.setdefault(name, ServiceDemand())
            found.add(sums[name], ended, troubled, now)
        self.pending = {}

    @property
    def vm_count(self):
        """Return the number of VMs whose samples count."""
        return len(self.samples)

    def of(self, service):
        """Return the `ServiceDemand` of a service."""
        return self.services.get(service, ServiceDemand())
