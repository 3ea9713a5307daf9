"""Ejects servers whose requests fail from the load balancing.

Detects servers that crash, hang, or reset or corrupt answers while their
own health check passes, so only the results of requests are used.  A server
that is unreachable, fails several times in a row or has a high failure rate
is ejected, each time for twice as long; afterwards one request at a time
probes it.  At least half of the servers of a service are always kept, so
that a network fault of this VM does not eject them all.
"""

import attrs

FIRST_EJECTION_S = 0.5  # A crashed server takes some seconds to restart.
MAX_EJECTION_S = 4.0  # A recovered server is used again within this time.
MAX_CONSECUTIVE_FAILURES = 3
FAILURE_WEIGHT = 0.2  # Weight of the newest result in the failure rate.
MAX_FAILURE_RATE = 0.4


@attrs.define
class FailureRecord:
    """The failures of requests to one server incarnation."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    probes: int = 0


@attrs.define
class OutlierDetector:
    """Failure records by server incarnation; a state machine without I/O."""

    records: dict = attrs.field(factory=dict)

    def on_success(self, server):
        """Record a valid answer."""
        record = self.records.get(server.incarnation)
        if record is None:
            return
        record.consecutive_failures = 0
        record.failure_rate *= 1 - FAILURE_WEIGHT
        if record.failure_rate < MAX_FAILURE_RATE / 4:
            record.ejection_s = 0.0

    def on_failure(self, server, now, is_unreachable=False):
        """Record a failure; return whether it ejects the server."""
        record = self.records.setdefault(server.incarnation, FailureRecord())
        record.consecutive_failures += 1
        record.failure_rate += FAILURE_WEIGHT * (1 - record.failure_rate)
        is_outlier = (
            is_unreachable
            or record.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or record.failure_rate > MAX_FAILURE_RATE
        )
        if not is_outlier:
            return False
        record.ejection_s = min(
            MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * record.ejection_s)
        )
        record.ejected_until_s = now + record.ejection_s
        return True

    def is_ejected(self, server, now):
        """Return whether the server is ejected or being probed."""
        record = self.records.get(server.incarnation)
        if record is None or not record.ejection_s:
            return False
        return now < record.ejected_until_s or record.probes > 0

    def on_send(self, server):
        """Count a request that probes a server after its ejection."""
        record = self.records.get(server.incarnation)
        if record is not None and record.ejection_s:
            record.probes += 1

    def on_end(self, server):
        """Count a request as ended, whatever its result."""
        record = self.records.get(server.incarnation)
        if record is not None and record.probes:
            record.probes -= 1

    def select_healthy(self, servers, now):
        """Return the servers to use, at least half of ``servers``.

        Ejected servers make up the half, those first whose ejection ends
        first.
        """
        kept = [s for s in servers if not self.is_ejected(s, now)]
        missing = (len(servers) + 1) // 2 - len(kept)
        if missing > 0:
            ejected = [s for s in servers if s not in kept]
            ejected.sort(
                key=lambda s: self.records[s.incarnation].ejected_until_s
            )
            kept += ejected[:missing]
        return kept

    def forget(self, incarnations):
        """Drop records of incarnations that are not in ``incarnations``."""
        self.records = {
            incarnation: record
            for incarnation, record in self.records.items()
            if incarnation in incarnations
        }
