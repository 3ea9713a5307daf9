"""Which servers are passed over because their answers fail.

Answers servers that crash, hang, reset or spoil answers while their own
health check is good.  What counts is what requests saw.  A server that
could not be reached, or failed several times in a row, is left out for a
while that doubles; afterwards one request at a time tries it.  Never more
than half of a service is left out, so that a fault of this VM's own links
does not empty it.
"""

import attrs

FIRST_EJECTION_S = 0.5  # A crashed server's restart takes some seconds.
MAX_EJECTION_S = 4.0  # A healed server is used again within this time.
MAX_CONSECUTIVE_FAILURES = 3
FAILURE_WEIGHT = 0.2  # Of the newest result in the share of failures.
MAX_FAILURE_RATE = 0.4


@attrs.define
class FailureRecord:
    """What requests saw of one life of a server."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    probes: int = 0


@attrs.define
class OutlierDetector:
    """Records by life; a state machine."""

    records: dict = attrs.field(factory=dict)

    def on_success(self, server):
        """Take note of a sound answer."""
        record = self.records.get(server.life)
        if record is None:
            return
        record.consecutive_failures = 0
        record.failure_rate *= 1 - FAILURE_WEIGHT
        if record.failure_rate < MAX_FAILURE_RATE / 4:
            record.ejection_s = 0.0

    def on_failure(self, server, now, is_unreachable=False):
        """Take note of a failure; return whether the server is left out."""
        record = self.records.setdefault(server.life, FailureRecord())
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
        """Say whether the server should be passed over."""
        record = self.records.get(server.life)
        if record is None or not record.ejection_s:
            return False
        return now < record.ejected_until_s or record.probes > 0

    def on_send(self, server):
        """Count a request that tries a server after its pause."""
        record = self.records.get(server.life)
        if record is not None and record.ejection_s:
            record.probes += 1

    def on_end(self, server):
        """Count a request out, however it ended."""
        record = self.records.get(server.life)
        if record is not None and record.probes:
            record.probes -= 1

    def select_healthy(self, servers, now):
        """Return the servers worth trying, at least half of them."""
        kept = [s for s in servers if not self.is_ejected(s, now)]
        missing = (len(servers) + 1) // 2 - len(kept)
        if missing > 0:
            ejected = [s for s in servers if s not in kept]
            ejected.sort(key=lambda s: self.records[s.life].ejected_until_s)
            kept += ejected[:missing]
        return kept

    def forget(self, lives):
        """Keep only the records of ``lives``."""
        self.records = {
            life: record
            for life, record in self.records.items()
            if life in lives
        }
