"""Finds the parts of prompts that explain the crashes of engines.

A part that many prompts share may crash every engine that begins an answer on
it.  The evidence are the requests that were in progress on an engine when it
crashed, as all VMs report them.  That alone does not tell the part from those
that are in progress beside it by chance, or from the sound parts of the same
prompts.  So

- a complete answer on a prompt clears its parts of all earlier crashes;
- engines that are lost together, as when a host or a failure domain fails,
  count as one crash;
- of several parts that would explain the crashes, those that have been
  answered lately come last, and a part comes after a later part of the same
  prompts;
- prompts that differ in their last part must have been in progress, so that
  one prompt that is sent again and again does not count against the others;
- a request whose answer had gone on for a while is no evidence.

`Evidence` is a state machine without sockets or clocks.  Its tables are
bounded, because callers choose the ids of the parts.
"""

import collections
import hashlib
import math

import attrs

# Other ids are replaced by a digest, as they become part of a key.
MAX_ID_CHARS = 40
MAX_CRASHES = 64
MAX_USES = 200  # Of one crash.
MAX_SERVED_PARTS = 2048
# Crashes that suffice against a part, and the different prompts with it that
# must have been in progress.
MIN_CRASHES = 3
MIN_PROMPTS = 2
# From this many engines on, a part is named although others explain as much.
MAX_UNCLEAR_ENGINES = 5
# Older crashes are forgotten, and older answers do not tell parts apart.
EVIDENCE_S = 120.0
SERVED_S = 300.0
# Engines lost within this time of each other are taken to be lost together.
TOGETHER_S = 0.1
# Interval at which an answered part is reported to other VMs again.
REPORT_INTERVAL_S = 5.0
# An answer that has gone on for this long was not crashed on at its beginning.
BEGUN_S = 0.2
NEVER_S = -math.inf


@attrs.frozen
class PartUse:
    """A shared part of a prompt that was in progress on an engine.

    ``prompt_id`` is the id of the prompt's last part, which belongs to it
    alone.  ``position`` is the part's index in the prompt; ``begun_s`` is the
    time at which the request was sent.
    """

    part_id: str
    prompt_id: str
    position: int
    begun_s: float


@attrs.define
class Crash:
    """The crash of one engine, with the uses in progress."""

    at_s: float
    uses: dict = attrs.field(factory=dict)

    def uses_by_part(self):
        """Return the uses of each part id."""
        found = {}
        for use in self.uses.values():
            found.setdefault(use.part_id, []).append(use)
        return found


@attrs.define
class Candidate:
    """A part, and the crashes that count against it.

    ``crashes`` counts engines that were lost together once, ``engines``
    counts each.
    """

    part_id: str
    crashes: int = 0
    last_counted_s: float = NEVER_S
    engines: int = 0
    position: int = 0
    prompt_ids: set = attrs.field(factory=set)

    @property
    def suffices(self):
        """Say whether the crashes are enough, if prompts differ too."""
        return self.crashes >= MIN_CRASHES

    @property
    def is_shared(self):
        """Say whether different prompts have it, not one that is repeated."""
        return len(self.prompt_ids) >= MIN_PROMPTS


def key_of(part_id):
    """Return an id of bounded length, of letters and digits, for a part."""
    if (
        len(part_id) <= MAX_ID_CHARS
        and part_id.isascii()
        and part_id.isalnum()
    ):
        return part_id
    return hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()


def shared_parts(prompt):
    """Return the ids of the parts that other prompts may share, in order."""
    if prompt is None:
        return []
    return [key_of(part.part_id) for part in prompt.parts[:-1]]


def prompt_id_of(prompt):
    """Return the id of the part that belongs to the prompt alone, or ''."""
    if prompt is None or not prompt.parts:
        return ''
    return key_of(prompt.parts[-1].part_id)


def uses_of(prompt, begun_s):
    """Return the `PartUse` of each shared part of a prompt."""
    prompt_id = prompt_id_of(prompt)
    return [
        PartUse(part_id, prompt_id, position, begun_s)
        for position, part_id in enumerate(shared_parts(prompt))
    ]


@attrs.define
class Evidence:
    """The crashes, and the parts that were answered.

    ``crashes`` are by engine incarnation.  ``served`` has the time of the
    last complete answer on a part, ``unreported`` the answered parts that
    other VMs should hear of, ``reported_s`` when they last did.
    """

    crashes: dict = attrs.field(factory=dict)
    suspects: set = attrs.field(factory=set)
    served: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    unreported: set = attrs.field(factory=set)
    reported_s: dict = attrs.field(factory=dict)

    def on_served(self, part_ids, now):
        """Record a complete answer; return the parts that it clears."""
        cleared = []
        for part_id in part_ids:
            self._remember_served(part_id, now)
            if part_id in self.suspects:
                self.suspects.discard(part_id)
                self.unreported.add(part_id)
                cleared.append(part_id)
        return cleared

    def merge_served(self, part_id, served_s):
        """Record a complete answer of another VM."""
        if served_s > self.served.get(part_id, NEVER_S):
            self._remember_served(part_id, served_s)

    def _remember_served(self, part_id, served_s):
        self.served[part_id] = served_s
        self.served.move_to_end(part_id)
        if len(self.served) > MAX_SERVED_PARTS:
            dropped, _ = self.served.popitem(last=False)
            self.forget_served(dropped)

    def forget_served(self, part_id):
        """Forget the answers on a part."""
        self.served.pop(part_id, None)
        self.unreported.discard(part_id)
        self.reported_s.pop(part_id, None)

    def add_crash(self, incarnation, at_s, uses, now):
        """Add what was in progress on an engine that crashed at ``at_s``.

        Several VMs report the same crash, each its own requests.
        """
        self.forget_old(now)
        crash = self.crashes.setdefault(incarnation, Crash(at_s))
        crash.at_s = min(crash.at_s, at_s)
        for use in uses:
            if len(crash.uses) >= MAX_USES:
                break
            crash.uses[use.part_id, use.prompt_id] = use
            self._suspect(use.part_id, now)
        if len(self.crashes) > MAX_CRASHES:
            self._keep_crashes(list(self.crashes)[-MAX_CRASHES:])

    def _keep_crashes(self, incarnations):
        """Forget all other crashes, and who is suspected only for them."""
        self.crashes = {
            incarnation: self.crashes[incarnation]
            for incarnation in incarnations
        }
        self.suspects &= {
            part_id
            for crash in self.crashes.values()
            for part_id, _ in crash.uses
        }

    def _suspect(self, part_id, now):
        """Report the last answer on a part and the next one."""
        self.suspects.add(part_id)
        last_s = self.reported_s.get(part_id, NEVER_S)
        if part_id in self.served and now - last_s > REPORT_INTERVAL_S:
            self.unreported.add(part_id)

    def take_unreported(self, now):
        """Return (part id, time of the last answer) to tell other VMs."""
        parts = [
            (part_id, self.served[part_id]) for part_id in self.unreported
        ]
        self.unreported.clear()
        for part_id, _ in parts:
            self.reported_s[part_id] = now
        return parts

    def forget_old(self, now):
        """Forget crashes that are too old to count."""
        if not self.crashes:
            return
        kept = [
            incarnation
            for incarnation, crash in self.crashes.items()
            if now - crash.at_s < EVIDENCE_S
        ]
        if len(kept) < len(self.crashes):
            self._keep_crashes(kept)

    def forget_crashes_with(self, part_id):
        """Forget the crashes during which a part was in progress."""
        self._keep_crashes(
            [
                incarnation
                for incarnation, crash in self.crashes.items()
                if part_id not in crash.uses_by_part()
            ]
        )

    def candidates(self, explaining):
        """Return the `Candidate` of each part, by part id.

        Crashes with one of the parts in ``explaining`` are left out.
        """
        found = {}
        for crash in self._open_crashes(explaining):
            for part_id, uses in crash.uses_by_part().items():
                if crash.at_s > self.served.get(part_id, NEVER_S):
                    candidate = found.setdefault(part_id, Candidate(part_id))
                    self._count(candidate, crash, uses)
        return found

    def _open_crashes(self, explaining):
        """Yield the crashes without a part in ``explaining``, in order."""
        for crash in sorted(self.crashes.values(), key=lambda c: c.at_s):
            if not any(
                use.part_id in explaining for use in crash.uses.values()
            ):
                yield crash

    def _count(self, candidate, crash, uses):
        """Count a crash against a candidate.

        An engine is not lost together with others if a request was sent to it
        after they were lost, or, for a part that was not answered lately, if
        some time lies between.
        """
        candidate.engines += 1
        candidate.position = max(use.position for use in uses)
        candidate.prompt_ids.update(use.prompt_id for use in uses)
        last_s = candidate.last_counted_s
        if max(use.begun_s for use in uses) > last_s or (
            candidate.part_id not in self.served
            and crash.at_s - last_s > TOGETHER_S
        ):
            candidate.crashes += 1
            candidate.last_counted_s = crash.at_s

    def choose(self, candidates, now):
        """Return the candidate that explains the crashes, None if unclear.

        Between candidates of unrelated prompts that explain them equally, the
        next crashes decide.
        """

        def weigh(candidate):
            served_s = self.served.get(candidate.part_id, NEVER_S)
            return now - served_s > SERVED_S, candidate.engines

        def rank(candidate):
            return *weigh(candidate), candidate.position

        best = max(candidates, key=rank)
        narrower = [c for c in candidates if _is_narrower(c, best)]
        chosen = max(narrower, key=rank, default=best)
        rivals = [
            candidate
            for candidate in candidates
            if weigh(candidate) >= weigh(chosen)
            and not candidate.prompt_ids >= chosen.prompt_ids
        ]
        if rivals and chosen.engines < MAX_UNCLEAR_ENGINES:
            return None
        return chosen if chosen.is_shared else None

    def repeated_prompts(self, explaining):
        """Return the prompts that two engines in turn crashed on.

        The time of the last crash is by the id of the prompt.
        """
        last_s, found = {}, {}
        for crash in self._open_crashes(explaining):
            for use in crash.uses.values():
                if use.begun_s > last_s.get(use.prompt_id, math.inf):
                    found[use.prompt_id] = crash.at_s
            for use in crash.uses.values():
                last_s[use.prompt_id] = crash.at_s
        return found


def _is_narrower(candidate, other):
    """Say whether a candidate explains the same crashes by fewer prompts.

    It is a later part of some of the other candidate's prompts, and the rest
    of the crashes would not suffice against the other.
    """
    return (
        candidate.position > other.position
        and candidate.prompt_ids <= other.prompt_ids
        and other.engines - candidate.engines < MIN_CRASHES
    )
