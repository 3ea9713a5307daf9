"""The parts of prompts that are refused because they crash engines.

`Quarantine` is a state machine without sockets or clocks: `evidence` names
the part that explains the crashes, and it is refused for a term, which is
longer each time.  Crashes that a refused part explains count against no other
part.  A single prompt that two engines in turn crashed on is refused at once,
for a short time.  After its term a part is served again, and one crash
suffices until a prompt with it has been answered.

Example::

    quarantine = Quarantine()
    for number, at_s in enumerate((1.0, 2.0, 3.0)):
        use = evidences.PartUse('5c1e', f'own{number}', 0, at_s - 0.2)
        quarantine.add_crash(('server', number), at_s, [use], at_s)
    quarantine.decide(3.0 + SETTLE_S)   # [Verdict(part_id='5c1e', ...)]
"""

import attrs

from mangorock import eras
from mangorock import evidence as evidences

MAX_QUARANTINED_PARTS = 256
# The reports of all VMs about a crash, and answers that clear a part, arrive
# within this time.
SETTLE_S = 0.15
# Time for which a prompt is refused that two engines in turn crashed on, while
# it is not known whether one of its parts is the cause.
HOLD_S = 5.0
MAX_HELD_PROMPTS = 256
# First and longest time for which a part is refused.
FIRST_TERM_S = 60.0
MAX_TERM_S = 600.0


@attrs.frozen
class Verdict:
    """A part that is refused for ``term_s``, and the evidence."""

    part_id: str
    term_s: float
    engines: int
    prompts: int


@attrs.frozen
class Match:
    """A part of a prompt that is refused for ``left_s`` more seconds."""

    part_id: str
    left_s: float


@attrs.define
class Term:
    """The time until which a part is refused.

    ``revision`` is the position of its key in the platform's store, None if
    it is not known to be there.
    """

    until_s: float
    term_s: float
    revision: int | None = None


@attrs.define
class Quarantine:
    """The refused parts, and the evidence for those to come.

    ``sufficient_since_s`` has the candidates with enough evidence,
    ``last_terms_s`` the parts that were refused before, and ``held_until_s``
    single prompts, by the id of their last part.
    """

    evidence: evidences.Evidence = attrs.field(factory=evidences.Evidence)
    sufficient_since_s: dict = attrs.field(factory=dict)
    quarantined: dict = attrs.field(factory=dict)
    last_terms_s: dict = attrs.field(factory=dict)
    held_until_s: dict = attrs.field(factory=dict)

    def find(self, prompt, now):
        """Return the `Match` of a prompt that is refused, or None."""
        if not self.quarantined and not self.held_until_s:
            return None
        for part_id in evidences.shared_parts(prompt):
            left_s = self.left_s(part_id, now)
            if left_s > 0.0:
                return Match(part_id, left_s)
        prompt_id = evidences.prompt_id_of(prompt)
        left_s = self.held_until_s.get(prompt_id, now) - now
        return Match(prompt_id, left_s) if left_s > 0.0 else None

    def left_s(self, part_id, now):
        """Return for how long a part is still refused."""
        term = self.quarantined.get(part_id)
        return max(0.0, term.until_s - now) if term is not None else 0.0

    def on_served(self, prompt, now):
        """Record a complete answer; return the parts that it clears."""
        part_ids = evidences.shared_parts(prompt)
        if self.last_terms_s:
            self._clear_record(part_ids)
        return self.evidence.on_served(part_ids, now)

    def merge_served(self, part_id, served_s):
        """Record a complete answer of another VM."""
        self._clear_record([part_id])
        self.evidence.merge_served(part_id, served_s)

    def _clear_record(self, part_ids):
        for part_id in part_ids:
            if part_id not in self.quarantined:
                self.last_terms_s.pop(part_id, None)

    def add_crash(self, incarnation, at_s, uses, now):
        """Add what was in progress on an engine that crashed at ``at_s``."""
        self.evidence.add_crash(incarnation, at_s, uses, now)
        self._find_sufficient(now)
        self._hold_prompts(now)

    def _hold_prompts(self, now):
        """Refuse the prompts that two engines in turn crashed on.

        Their callers repeat them, and each engine counts.
        """
        crashed_s = self.evidence.repeated_prompts(self.quarantined)
        for prompt_id, at_s in crashed_s.items():
            self.held_until_s[prompt_id] = at_s + HOLD_S
        while len(self.held_until_s) > MAX_HELD_PROMPTS:
            del self.held_until_s[next(iter(self.held_until_s))]

    @property
    def is_deciding(self):
        """Say whether `decide` has something to decide soon."""
        return bool(self.sufficient_since_s)

    def decide(self, now):
        """Return a `Verdict` for each part that is refused from now on."""
        verdicts = []
        while True:
            candidates = self._find_sufficient(now)
            if not candidates:
                return verdicts
            chosen = self._choose(candidates, now)
            if chosen is None:
                return verdicts
            verdicts.append(self._condemn(chosen, now))

    def _choose(self, candidates, now):
        """Return the candidate to refuse now, or None."""
        for candidate in candidates:
            if candidate.part_id in self.last_terms_s:
                return candidate
        chosen = self.evidence.choose(candidates, now)
        if chosen is None:
            return None
        since_s = self.sufficient_since_s[chosen.part_id]
        return chosen if now - since_s >= SETTLE_S else None

    def _find_sufficient(self, now):
        """Return the candidates with enough evidence."""
        found = self.evidence.candidates(self.quarantined).values()
        sufficient = [
            candidate
            for candidate in found
            if candidate.suffices or candidate.part_id in self.last_terms_s
        ]
        self.sufficient_since_s = {
            candidate.part_id: self.sufficient_since_s.get(
                candidate.part_id, now
            )
            for candidate in sufficient
        }
        return sufficient

    def _condemn(self, chosen, now):
        part_id = chosen.part_id
        last_term_s = self.last_terms_s.get(part_id)
        term_s = FIRST_TERM_S if last_term_s is None else 2 * last_term_s
        self.adopt(part_id, min(term_s, MAX_TERM_S), now)
        return Verdict(
            part_id,
            self.quarantined[part_id].term_s,
            chosen.engines,
            len(chosen.prompt_ids),
        )

    def adopt(self, part_id, term_s, now, revision=None):
        """Refuse a part for ``term_s``; return whether that is new.

        A part that is refused already keeps its term.
        """
        if self.left_s(part_id, now) > 0.0:
            if revision is not None:
                self.on_stored(part_id, revision)
            return False
        self.quarantined[part_id] = Term(now + term_s, term_s, revision)
        self.last_terms_s.pop(part_id, None)
        self.last_terms_s[part_id] = term_s
        for table in (self.quarantined, self.last_terms_s):
            while len(table) > MAX_QUARANTINED_PARTS:
                del table[next(iter(table))]
        self.evidence.forget_served(part_id)
        self._find_sufficient(now)
        return True

    def on_stored(self, part_id, revision):
        """Record that the store has the key of a part at a revision."""
        if part_id in self.quarantined:
            self.quarantined[part_id].revision = revision

    def is_unstored(self, part_id, now):
        """Say whether a part is refused and not known to be stored."""
        return (
            self.left_s(part_id, now) > 0.0
            and self.quarantined[part_id].revision is None
        )

    def removed(self, listed, revision):
        """Return the parts whose keys were removed before a listing.

        A listing that is older than the key does not show that, nor does one
        of a later era: the copy of the store may lack the key.
        """
        return [
            part_id
            for part_id, term in self.quarantined.items()
            if part_id not in listed
            and term.revision is not None
            and term.revision <= revision
            and eras.era_of(term.revision) == eras.era_of(revision)
        ]

    def lost(self, listed, revision):
        """Return the parts whose keys a listing of a later era lacks.

        Their keys are to be stored again.
        """
        lost = []
        for part_id, term in self.quarantined.items():
            if (
                part_id not in listed
                and term.revision is not None
                and eras.era_of(term.revision) < eras.era_of(revision)
            ):
                term.revision = None
                lost.append(part_id)
        return lost

    def lift(self, part_id):
        """Serve a part again; return whether it was refused."""
        if self.quarantined.pop(part_id, None) is None:
            return False
        self.evidence.forget_crashes_with(part_id)
        return True

    def expire(self, now):
        """Lift the parts whose term is over; return their ids."""
        expired = [
            part_id
            for part_id, term in self.quarantined.items()
            if now >= term.until_s
        ]
        for part_id in expired:
            self.lift(part_id)
        self.evidence.forget_old(now)
        self.held_until_s = {
            prompt_id: until_s
            for prompt_id, until_s in self.held_until_s.items()
            if now < until_s
        }
        return expired
