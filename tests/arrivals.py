"""Counts the arrivals of requests at services, as the platform does."""

import bisect
import collections

import attrs

#: The platform's bound on repeated arrivals at one service.
RATIO, WINDOW_S, SLACK = 0.2, 10.0, 56


@attrs.define
class ArrivalLog:
    """What the callers sent and what reached the servers.

    ``sent`` maps a service to the times of the requests for it; ``arrivals``
    maps a request id to (moment, service, whether it was only prefilled,
    whether the server accepted it).
    """

    sent: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    arrivals: dict = attrs.field(factory=lambda: collections.defaultdict(list))

    def record_sent(self, service, now):
        """Record a request of a caller on a route to a service."""
        self.sent[service].append(now)

    def record_arrival(self, request, service, is_accepted, now):
        """Record a `workers.ReceivedRequest` at a server of a service."""
        is_prefill = 'x-serving-stage' in request.headers
        self.arrivals[request.request_id].append(
            (now, service, is_prefill, is_accepted)
        )

    def repeats(self, service):
        """Return the sorted times of the arrivals beyond the first.

        The first accepted call that only prefills is not counted.
        """
        found = []
        for arrivals in self.arrivals.values():
            counted, is_prefilled = [], False
            for moment, name, is_prefill, is_accepted in arrivals:
                if is_prefill and is_accepted and not is_prefilled:
                    is_prefilled = True
                elif name == service:
                    counted.append(moment)
            found += counted[1:]
        return sorted(found)

    def excess(self, service):
        """Return by how much the worst window exceeds the bound.

        Below 0 if no window does.
        """
        sent, repeats = sorted(self.sent[service]), self.repeats(service)

        def count_sent(start):
            end = bisect.bisect_left(sent, start + WINDOW_S)
            return end - bisect.bisect_left(sent, start)

        worst = -SLACK
        for number, start in enumerate(repeats):
            count = bisect.bisect_left(repeats, start + WINDOW_S) - number
            starts = start, start - WINDOW_S / 2, start - WINDOW_S
            allowed = RATIO * max(map(count_sent, starts)) + SLACK
            worst = max(worst, count - allowed)
        return worst
