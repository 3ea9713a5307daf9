"""The load of backend servers as seen from this VM."""

import attrs

from mangorock import capacity

# How long the load reported by a server is used.
REPORT_VALID_S = 1.0
LATENCY_WEIGHT = 0.2  # Weight of the newest latency in the moving average.
INITIAL_LATENCY_S = 0.05  # Assumed until a server's first answer.
# Added to the latency of a server whose answer failed, because the request
# had to be retried or was lost; halves every second.
FAILURE_PENALTY_S = 0.5
# Shortest time between two gaps of a server from which its capacity is
# learned, in seconds; it bounds the cost where streams are many.
GAP_INTERVAL_S = 0.02
GAP_WEIGHT = 0.3  # Weight of the newest gap in the moving average.


@attrs.define
class ServerLoad:
    """The load of one server incarnation, as seen from this VM.

    ``answers`` is what is learned from the latency of answers, ``streams``
    from the gaps between events of streams.
    """

    in_flight: int = 0
    backlog_tokens: int = 0
    prompt_tokens: float = 1000.0
    gap_s: float = 0.0
    gap_observed_s: float = 0.0
    gap_learned_s: float = float('-inf')
    latency_s: float = 0.0
    failure_penalty_s: float = 0.0
    failed_at_s: float = 0.0
    report: object = None
    reported_s: float = 0.0
    answers: capacity.Capacity = attrs.field(factory=capacity.Capacity)
    streams: capacity.Capacity = attrs.field(factory=capacity.Capacity)

    def on_report(self, report, now):
        """Record the load that the server reported, None if it did not."""
        if report is None:
            return
        self.report, self.reported_s = report, now
        self.answers.on_pace(report.pace, now)

    def on_answer(self, report, latency_s, now, is_plain):
        """Record an answer; ``is_plain`` says that its latency is comparable.

        That of an engine depends on the prompt.
        """
        own_s = latency_s
        if self.latency_s:
            latency_s = (
                LATENCY_WEIGHT * latency_s
                + (1 - LATENCY_WEIGHT) * self.latency_s
            )
        self.latency_s = latency_s
        self.on_report(report, now)
        if report is not None:
            learned = self.answers if is_plain else self.streams
            own_s = own_s if is_plain else None
            load = self._reported_load()
            learned.observe(load, own_s, report.slots, now, report.pace)

    def on_gap(self, gap_s, now):
        """Record the gap between two events of a stream."""
        self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)
        self.gap_observed_s = now
        if now - self.gap_learned_s < GAP_INTERVAL_S:
            return
        self.gap_learned_s = now
        if self.has_report(now):
            load, slots = self._reported_load(), self.report.slots
            self.streams.observe(load, gap_s, slots, now)

    def on_failure(self, now):
        """Record a failed or refused request."""
        self.failure_penalty_s = FAILURE_PENALTY_S + self.penalty_s(now)
        self.failed_at_s = now

    def penalty_s(self, now):
        """Return what is added to the latency for earlier failures."""
        return self.failure_penalty_s * 0.5 ** (now - self.failed_at_s)

    def has_report(self, now):
        """Return whether there is a report that is still valid."""
        return (
            self.report is not None and now - self.reported_s < REPORT_VALID_S
        )

    def _reported_load(self):
        # A report can't be lower than what this VM itself has sent.
        report = self.report
        return max(1, self.in_flight, report.running + report.waiting)

    def is_learned(self, now):
        """Return whether the server's capacity or pace is known."""
        if not capacity.IS_ENABLED or not self.has_report(now):
            return False
        report, learned = self.report, self.answers
        if report.pace is not None:
            return True
        if learned.knee is None:
            return False
        return learned.limit(report.slots, now) < report.slots

    def plain_cost_s(self, now):
        """Return the cost of one more request, without learned figures."""
        queue = self.in_flight + 1
        if self.has_report(now):
            report = self.report
            queue += max(0, report.running + report.waiting - report.slots / 2)
        return queue * self._latency_s(now)

    def learned_cost_s(self, now):
        """Return the cost of one more request, with learned figures.

        Latency is taken to be proportional to the load beyond the limit.
        """
        cost_s = (self.in_flight + 1) * self._latency_s(now)
        if self.has_report(now):
            report = self.report
            load = report.running + report.waiting + 1
            limit = max(1.0, self.answers.limit(report.slots, now))
            cost_s *= max(1.0, load / limit)
        return cost_s * self.answers.pace_factor(now)

    def _latency_s(self, now):
        return (self.latency_s or INITIAL_LATENCY_S) + self.penalty_s(now)

    def expected_gap_s(self, now):
        """Return the expected gap between events of a stream.

        An observation counts in full for one second, then its weight halves
        every second.
        """
        age_s = now - self.gap_observed_s
        gap_s = self.gap_s * 0.5 ** max(0.0, age_s - 1.0)
        if capacity.IS_ENABLED:
            gap_s *= self.answers.pace_factor(now)
        return gap_s

    def excess_streams(self, now):
        """Return by how many one more stream exceeds the learned limit."""
        if not self.has_report(now):
            return 0.0
        return capacity.excess(
            self._reported_load(), self.report.slots, self.streams, now
        )
