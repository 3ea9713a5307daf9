"""Servers of the soak test that name limits, and the check of rule LIMIT.

From 3 s after a server first named a limit, it gets in any 4 s no more than
one and a half times what that allows and 5 requests, summed over the VMs that
had passed on such an answer 0.5 s before or earlier.  A restart or a pause of
a VM excuses it until it has passed on another one, and a network fault at the
server excuses the time until it is over.
"""

import attrs
import curio

from tests import soak_audit
from tests import soak_world

SETTLE_S, WINDOW_S, PASSED_S = 3.0, 4.0, 0.5
FACTOR, SLACK = 1.5, 5
LIMIT_RANGE_PER_S = (0.4, 8.0)
DURATION_RANGE_S = (SETTLE_S + WINDOW_S, 14.0)


@attrs.define
class Spell:
    """A time in which a server at ``place`` names ``per_s``.

    ``arrivals`` are (moment, request id) and ``passed`` are (moment, number
    of the VM) of answers that name the limit, as callers got them.
    """

    label: str
    place: str
    per_s: float
    named_s: float | None = None
    arrivals: list = attrs.field(factory=list)
    passed: list = attrs.field(factory=list)

    @property
    def allowed(self):
        """Return how many requests it may get in a window."""
        return FACTOR * self.per_s * WINDOW_S + SLACK

    def counted(self, attempts, disturbances):
        """Return when the requests arrived that the rule counts."""
        if self.named_s is None:
            return []
        excused = [
            (start_s, end_s + soak_audit.AFTER_FAULT_S)
            for place, start_s, end_s in disturbances
            if place == self.place
        ]
        found = []
        for moment_s, request_id in self.arrivals:
            attempt = attempts.get(request_id)
            if (
                attempt is not None
                and moment_s >= self.named_s + SETTLE_S
                and self._is_bound(attempt.vm, moment_s)
                and not any(a <= moment_s <= b for a, b in excused)
            ):
                found.append(moment_s)
        return sorted(found)

    def _is_bound(self, vm, moment_s):
        """Return whether a VM had passed on such an answer long before."""
        name, since_s = '', 0.0
        for event, event_s in vm.history:
            if event_s <= moment_s:
                name, since_s = event, event_s
        if name not in ('start', 'resume'):
            return False
        return any(
            number == vm.number and since_s < at_s <= moment_s - PASSED_S
            for at_s, number in self.passed
        )

    def worst(self, attempts, disturbances):
        """Return the most requests in one window."""
        moments = self.counted(attempts, disturbances)
        return max(
            (
                len([m for m in moments if start <= m <= start + WINDOW_S])
                for start in moments
            ),
            default=0,
        )


@attrs.define
class Limits:
    """Has servers name limits, also several of a service at a time."""

    world: object
    rng: object
    spells: dict = attrs.field(factory=dict)

    async def run(self, end_s):
        """Have servers name limits until ``end_s``."""
        while soak_world.now() < end_s:
            for _ in range(self.rng.randrange(1, 4)):
                server = self.rng.choice(self.world.servers)
                if server.spell is None:
                    await self.world.spawn(self._name, server)
            await curio.sleep(self.rng.uniform(0.5, 4.0))

    async def _name(self, server):
        per_s = round(self.rng.uniform(*LIMIT_RANGE_PER_S), 1)
        label = f'{server.place}-{len(self.spells)}'
        spell = Spell(label, server.place, per_s)
        server.spell = self.spells[label] = spell
        await curio.sleep(self.rng.uniform(*DURATION_RANGE_S))
        if server.spell is spell:
            server.spell = None

    def check(self, checker):
        """Record a violation for each limit that was exceeded."""
        for attempt in checker.attempts.values():
            if attempt.limit_label:
                passed = attempt.head_s, attempt.vm.number
                self.spells[attempt.limit_label].passed.append(passed)
        for spell in self.spells.values():
            found = spell.worst(checker.attempts, self.world.disturbances)
            checker.counts['limit', 'spells'] += 1
            checker.counts['limit', 'counted'] += found > 0
            checker.check(
                found <= spell.allowed,
                f'{spell.label} named {spell.per_s} a second and got {found} '
                f'requests in 4 s, allowed {spell.allowed:.0f}',
            )
