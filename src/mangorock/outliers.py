"""Which servers are passed over because their answers fail.

Answers servers that crash, hang, reset or spoil answers while their own
health check is good.  What counts is what requests saw.  A server that
could not be reached, or failed several times in a row, is left out for a
while that doubles; afterwards one request at a time tries it.  Never more
than half of a service is left out, so that a fault of this VM's own links
does not empty it.
"""

import attrs

FIRST_PAUSE_S = 0.5  # A crashed server's restart takes some seconds.
MAX_PAUSE_S = 4.0  # A healed server is used again within this time.
MAX_FAILURES_IN_A_ROW = 3
FAILURE_WEIGHT = 0.2  # Of the newest result in the share of failures.
MAX_FAILURE_SHARE = 0.4


@attrs.define
class Record:
    """What requests saw of one life of a server."""

    failures_in_a_row: int = 0
    failure_share: float = 0.0
    pause_s: float = 0.0
    until_s: float = 0.0
    trials: int = 0


@attrs.define
class Outliers:
    """Records by life; a state machine."""

    records: dict = attrs.field(factory=dict)

    def succeeded(self, server):
        """Take note of a sound answer."""
        record = self.records.get(server.incarnation)
        if record is None:
            return
        record.failures_in_a_row = 0
        record.failure_share *= 1 - FAILURE_WEIGHT
        if record.failure_share < MAX_FAILURE_SHARE / 4:
            record.pause_s = 0.0

    def failed(self, server, now, is_unreachable=False):
        """Take note of a failure; return whether the server is left out."""
        record = self.records.setdefault(server.incarnation, Record())
        record.failures_in_a_row += 1
        record.failure_share += FAILURE_WEIGHT * (1 - record.failure_share)
        is_bad = (
            is_unreachable
            or record.failures_in_a_row >= MAX_FAILURES_IN_A_ROW
            or record.failure_share > MAX_FAILURE_SHARE
        )
        if not is_bad:
            return False
        record.pause_s = min(
            MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * record.pause_s)
        )
        record.until_s = now + record.pause_s
        return True

    def is_left_out(self, server, now):
        """Say whether the server should be passed over."""
        record = self.records.get(server.incarnation)
        if record is None or not record.pause_s:
            return False
        return now < record.until_s or record.trials > 0

    def on_send(self, server):
        """Count a request that tries a server after its pause."""
        record = self.records.get(server.incarnation)
        if record is not None and record.pause_s:
            record.trials += 1

    def on_end(self, server):
        """Count a request out, however it ended."""
        record = self.records.get(server.incarnation)
        if record is not None and record.trials:
            record.trials -= 1

    def sound(self, servers, now):
        """Return the servers worth trying, at least half of them."""
        kept = [s for s in servers if not self.is_left_out(s, now)]
        missing = (len(servers) + 1) // 2 - len(kept)
        if missing > 0:
            left_out = [s for s in servers if s not in kept]
            left_out.sort(key=lambda s: self.records[s.incarnation].until_s)
            kept += left_out[:missing]
        return kept

    def forget(self, lives):
        """Keep only the records of ``lives``."""
        self.records = {
            life: record
            for life, record in self.records.items()
            if life in lives
        }
