"""Decides how many servers of a service each failure domain should have.

It answers three load patterns where servers are billed by the second and are
ordered of two kinds, on-demand ones and spot ones, which cost less and may be
reclaimed, all of a failure domain at once:

* On-demand servers that were there at the start, more than needed: as many
  spot servers are ordered, and when they serve, the others go.
* A demand that swings within seconds: its peak of many seconds counts, servers
  go in steps, and none while answers are late or requests refused.
* Spot servers that are reclaimed: what remains without those of any one
  failure domain still carries the peak, and while a domain has none to order,
  the others have more.  Where only one domain has spot servers, on-demand ones
  make up what must remain.

`FleetPlanner` is a state machine without I/O.
"""

import math

import attrs

# Share of the slots that the peak demand may use: prefills beside more streams
# delay first events beyond their targets.
TARGET_OCCUPANCY = 0.3
# Share of the needed servers that must remain when the only failure domain
# with spot servers loses them: on-demand ones cost more, and carry the peak at
# a higher occupancy until further ones have started.
REMAINING_SHARE = 0.6
# Share of late and refused requests above which servers are added, and the
# factor; no server goes above the lower share.
HIGH_PRESSURE, LOW_PRESSURE = 0.2, 0.08
PRESSURE_FACTOR = 1.25
MAX_PRESSURE_FACTOR = 2.0
# The factor that remains of it with each plan without pressure.
PRESSURE_DECAY = 0.99
# Demand is known after this time, in seconds: longer than one swing.
OBSERVE_S = 8.0
# Nothing is ordered until no further server has been found for this time, in
# seconds.
SETTLE_S = 0.9
# Largest share of a service's servers that goes at once, and the time between
# two such steps and between two additions for pressure, in seconds.
STEP_SHARE = 0.25
STEP_INTERVAL_S = 3.0
# Relative change of the needed servers up to which nothing is ordered.
DEAD_BAND = 0.1
# A failure domain without spot servers is asked again after this time.
SPOT_RETRY_S = 4.0


@attrs.frozen
class Kind:
    """The servers of one kind in one failure domain."""

    failure_domain: str
    is_spot: bool


@attrs.frozen
class Presence:
    """How many servers of a `Kind` serve, and how many leave."""

    ready: int = 0
    leaving: int = 0


@attrs.define
class FleetPlanner:
    """The wanted number of servers of one service by `Kind`.

    ``wanted`` is None until the first plan, which starts from the servers that
    are present.  ``found`` is how many there were without those ordered here,
    ``grown_s`` when one came up last, and ``needed`` how many there should
    be.
    """

    wanted: dict | None = None
    found: int = 0
    grown_s: float = 0.0
    needed: int = 0
    factor: float = 1.0
    stepped_s: float = float('-inf')
    pressed_s: float = float('-inf')
    no_spot_until_s: dict = attrs.field(factory=dict)

    def on_unavailable(self, kind, now):
        """Record that no server of a kind can be had."""
        if kind.is_spot:
            until_s = now + SPOT_RETRY_S
            self.no_spot_until_s[kind.failure_domain] = until_s
            if self.wanted is not None:
                self.wanted[kind] = 0

    def plan(self, scaling, slots, present, demand, now):
        """Return the wanted number of servers by `Kind`.

        ``present`` has the `Presence` of each kind, ``demand`` is the
        `demand.ServiceDemand` or None where too few VMs told theirs.
        """
        if self.wanted is None:
            self.wanted = {
                kind: found.ready for kind, found in present.items()
            }
            self.found = sum(self.wanted.values())
            self.grown_s = now
        self._count_found(present, now)
        if now - self.grown_s < SETTLE_S:
            return self.wanted
        self._notice_reclaimed(present, now)
        spot_domains = self._spot_domains(scaling, now)
        needed = self._needed(slots, demand, now)
        if abs(needed - self.needed) > DEAD_BAND * self.needed:
            self.needed = needed
        target = _cheapest(scaling, self.needed, spot_domains)
        self.wanted = self._approach(
            target, present, demand, spot_domains, now
        )
        return self.wanted

    def _count_found(self, present, now):
        """Count the servers that were not ordered here.

        They register one after the other when the system starts.
        """
        on_demand = {
            kind: found.ready
            for kind, found in present.items()
            if not kind.is_spot
        }
        if sum(on_demand.values()) > self.found:
            self.found, self.grown_s = sum(on_demand.values()), now
        if self.stepped_s == float('-inf'):
            for kind, count in on_demand.items():
                self.wanted[kind] = max(self.wanted.get(kind, 0), count)

    def _notice_reclaimed(self, present, now):
        """Record domains all of whose spot servers leave though wanted."""
        for kind, found in present.items():
            is_gone = found.leaving and not found.ready
            if kind.is_spot and is_gone and self.wanted.get(kind, 0):
                self.on_unavailable(kind, now)

    def _spot_domains(self, scaling, now):
        return [
            domain
            for domain in scaling.domain_prices
            if scaling.spot_price < 1.0
            and self.no_spot_until_s.get(domain, now) <= now
        ]

    def _needed(self, slots, demand, now):
        """Return how many servers the demand needs.

        Until it is known, there are at least as many as were found.
        """
        if demand is None:
            return self.found
        if not _is_known(demand):
            return max(self.found, self._of_peak(slots, demand))
        if demand.pressure >= HIGH_PRESSURE:
            if now - self.pressed_s >= STEP_INTERVAL_S:
                self.pressed_s = now
                self.factor = min(
                    MAX_PRESSURE_FACTOR, self.factor * PRESSURE_FACTOR
                )
        elif demand.pressure < LOW_PRESSURE:
            self.factor = max(1.0, self.factor * PRESSURE_DECAY)
        return max(1, self._of_peak(slots, demand))

    def _of_peak(self, slots, demand):
        needed = self.factor * demand.peak / (slots * TARGET_OCCUPANCY)
        return math.ceil(needed)

    def _approach(self, target, present, demand, spot_domains, now):
        """Return the counts to order now on the way to ``target``.

        Additions are ordered at once.  Servers go only as far as those that
        serve already carry the demand, and in steps.
        """
        wanted = {
            kind: max(target.get(kind, 0), self.wanted.get(kind, 0))
            for kind in {*target, *self.wanted}
        }
        is_calm = demand is None or demand.pressure < LOW_PRESSURE
        if not is_calm or now - self.stepped_s < STEP_INTERVAL_S:
            return wanted
        ready = {kind: found.ready for kind, found in present.items()}
        remaining = _remaining(self.needed, spot_domains)
        budget = self._step(sum(ready.values()), demand)
        for kind in sorted(wanted, key=lambda kind: kind.is_spot):
            surplus = wanted[kind] - target.get(kind, 0)
            while surplus > 0 and budget > 0:
                left = wanted[kind] - 1
                after = ready | {kind: min(ready.get(kind, 0), left)}
                if not _suffices(after, self.needed, remaining):
                    break
                ready, wanted[kind] = after, left
                surplus, budget = surplus - 1, budget - 1
                self.stepped_s = now
        return wanted

    @staticmethod
    def _step(ready, demand):
        """Return how many servers may go in this step.

        Before there is demand nothing runs on them, so that all may go.
        """
        if demand is None or demand.observed_s <= 0.0:
            return ready
        return max(1, int(STEP_SHARE * ready))


def _is_known(demand):
    return demand is not None and demand.observed_s >= OBSERVE_S


def _remaining(needed, spot_domains):
    """Return how many of the needed servers must remain after a loss."""
    if len(spot_domains) > 1:
        return needed
    return math.ceil(REMAINING_SHARE * needed)


def _suffices(counts, needed, remaining):
    """Return whether the servers carry the demand, also after a loss."""
    total = sum(counts.values())
    spot = [count for kind, count in counts.items() if kind.is_spot]
    return total >= needed and total - max(spot, default=0) >= remaining


def _cheapest(scaling, needed, spot_domains):
    """Return the cheapest counts that `_suffices`.

    Spot servers are divided evenly among the failure domains that have some.
    Those of one domain may all be lost, so that with one such domain
    on-demand ones make up what must remain.
    """
    domains = len(spot_domains)
    remaining = _remaining(needed, spot_domains)
    if domains > 1:
        most = math.ceil(remaining / (domains - 1))
    else:
        most = domains * (needed - remaining)
    for each in range(min(most, scaling.max_servers), -1, -1):
        counts = {Kind(domain, True): each for domain in spot_domains}
        held = each * max(0, domains - 1)
        missing = max(needed - each * domains, remaining - held, 0)
        if missing <= _room(scaling, counts):
            break
    _add_on_demand(scaling, counts, missing)
    return counts


def _room(scaling, counts):
    """Return how many servers may be added to ``counts``."""
    most = scaling.max_servers * len(scaling.domain_prices)
    return most - sum(counts.values())


def _add_on_demand(scaling, counts, missing):
    """Add on-demand servers, in the domains with the fewest first.

    Each domain gets its least number.  Among domains with the same number the
    cheapest comes first.
    """
    prices = scaling.domain_prices
    totals = {domain: counts.get(Kind(domain, True), 0) for domain in prices}
    counts |= {Kind(domain, False): 0 for domain in prices}
    for domain in prices:
        if totals[domain] < scaling.min_servers:
            added = scaling.min_servers - totals[domain]
            counts[Kind(domain, False)] += added
            totals[domain] += added
            missing -= added
    while missing > 0:
        domain = min(prices, key=lambda d: (totals[d], prices[d]))
        if totals[domain] >= scaling.max_servers:
            return
        counts[Kind(domain, False)] += 1
        totals[domain] += 1
        missing -= 1
