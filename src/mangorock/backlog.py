"""Orders the prompts that wait for an engine: who waits, and who is next.

It answers a load that exceeds the engines for a while:

* A burst of prompts: those that can still be in time go first, among them
  the more urgent, then the one whose latest start comes first.
* A flood of urgent prompts: every few assignments, a less urgent prompt that
  can still be in time goes first, so that none is shut out.
* More prompts than can be in time: late ones are served with what is left,
  since a late answer is worth more to its caller than none.
* Large prompts, which cannot be in time soon after their arrival: while their
  sizes are served far less often than all, the next one goes first among its
  priority, also late (see ``sizes``).
* Callers that give up: their prompts leave the queue as soon as no engine
  can answer before that.
* An account that sends more than its share: `fairness.Shares` divides the
  places of one priority, and those of late prompts, among the accounts.
"""

import enum

import attrs

from mangorock import fairness
from mangorock import sizes

# Of this many prompts assigned in a row, the last goes to the prompt whose
# latest start comes first, whatever its priority.
FAIR_TURN = 8
# A waiting prompt is refused if its wait is predicted to be this many times
# longer than its caller's, since a prediction may be wrong.
LOST_WAIT_FACTOR = 1.5
# Refusals that are kept until they are logged.
MAX_REFUSALS = 1000


class Cause(enum.Enum):
    """Why a prompt is refused.

    ``HOPELESS`` is one whose turn was predicted too late at its arrival and
    ``OUTRUN`` while it waited; ``LOST`` cannot be answered any more, and
    ``DISPLACED`` had its place in the queue taken by another.
    """

    HOPELESS = 'hopeless'
    OUTRUN = 'outrun'
    LOST = 'lost'
    DISPLACED = 'displaced'


@attrs.frozen
class Refusal:
    """A prompt that was refused, with what was expected of it.

    ``left_s`` is the time until its caller gives up and ``target_left_s``
    that until its target; ``waiting`` is the number of prompts that wait.
    """

    request: str
    cause: str
    shared_tokens: int
    own_tokens: int
    shortest_s: float
    cost_s: float
    target_left_s: float
    left_s: float
    waiting: int


@attrs.define(eq=False)
class WaitingPrompt:
    """A prompt at the scheduler that no engine has got yet.

    ``target_at_s`` is when its first event is late, ``waits_until_s`` when it
    has to come at the latest for prompts that wait, ``gives_up_at_s`` when
    its caller gives up, and ``shortest_s`` the expected time to its first
    event from its assignment to an idle engine.  ``reply(message)`` sends a
    message to the VM that asked.  ``flow`` is the flow whose share it uses,
    and ``delay_s`` how much later than its own its position is.
    """

    request: object
    reply: object
    target_at_s: float
    gives_up_at_s: float
    shortest_s: float = 0.0
    cost_s: float = 0.0
    delay_s: float = 0.0
    waits_until_s: float = float('inf')
    band: sizes.Band | None = None
    flow: tuple = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.flow = self.request.priority, self.request.account

    def may_be_in_time(self, now):
        """Return whether its first event can come before the target."""
        return now + self.shortest_s <= self.target_at_s

    @property
    def latest_start_s(self):
        """Return until when it may be assigned.

        A prompt whose prefill is long may wait until its target at least, if
        its caller waits for it: its size alone is no reason to refuse it.
        """
        latest_s = max(self.target_at_s, self.waits_until_s - self.shortest_s)
        return min(latest_s, self.gives_up_at_s - self.shortest_s)

    def is_lost(self, now):
        """Return whether it is too late to assign it."""
        return now > self.latest_start_s


@attrs.define
class Backlog:
    """The waiting prompts of one service, by request id.

    ``refusals`` are those that were not logged yet.
    """

    prompts: dict = attrs.field(factory=dict)
    refusals: list = attrs.field(factory=list)
    turn: int = 0
    shares: fairness.Shares = attrs.field(factory=fairness.Shares)
    bands: sizes.Sizes = attrs.field(factory=sizes.Sizes)

    def add(self, prompt):
        """Add a prompt; one with the same request id is replaced."""
        self.remove(prompt.request.request_id)
        self.prompts[prompt.request.request_id] = prompt
        self.shares.on_wait(prompt.flow)

    def refresh(self, request, reply, now):
        """Update a prompt that waits already; return whether it does."""
        known = self.prompts.get(request.request_id)
        if known is None or _excluded(known.request) != _excluded(request):
            return False
        known.reply = reply
        known.gives_up_at_s = min(known.gives_up_at_s, now + request.left_s)
        return True

    def remove(self, request_id, is_served=None):
        """Remove a prompt and return it, None if it does not wait.

        ``is_served`` says whether it was assigned or refused; it is None if
        neither, as for a caller that has gone.
        """
        prompt = self.prompts.pop(request_id, None)
        if prompt is not None:
            self.shares.on_leave(prompt.flow, is_served)
            if is_served is not None and prompt.band is not None:
                self.bands.on_end(prompt.band, is_served)
        return prompt

    def take_lost(self, now):
        """Remove and return the prompts that no engine can serve any more."""
        lost = [p for p in self.prompts.values() if p.is_lost(now)]
        for prompt in lost:
            self.remove(prompt.request.request_id, False)
            self.note_refusal(prompt, Cause.LOST, now)
        return lost

    def note_refusal(self, prompt, cause, now):
        """Keep a refusal for the log."""
        if len(self.refusals) >= MAX_REFUSALS:
            return
        request = prompt.request
        refusal = Refusal(
            request.request_id,
            cause.value,
            request.shared_tokens,
            request.own_tokens,
            prompt.shortest_s,
            prompt.cost_s,
            prompt.target_at_s - now,
            prompt.gives_up_at_s - now,
            len(self.prompts),
        )
        self.refusals.append(refusal)

    def take_refusals(self):
        """Return the refusals since the last call."""
        taken, self.refusals = self.refusals, []
        return taken

    def take_outrun(self, ordered, engine_count, now):
        """Remove and return the prompts whose turn will come too late.

        ``ordered`` are the prompts, the next one first.  Those before a
        prompt are shared by ``engine_count`` engines.
        """
        outrun, before_s = [], 0.0
        for prompt in ordered:
            start_s = now + before_s / engine_count / LOST_WAIT_FACTOR
            if prompt.request.account and prompt.is_lost(start_s):
                self.remove(prompt.request.request_id, False)
                self.note_refusal(prompt, Cause.OUTRUN, now)
                outrun.append(prompt)
            else:
                before_s += prompt.cost_s
        return outrun

    def take_displaced(self, newcomer, now):
        """Remove and return the prompt that gives way to another, or None."""
        ordered = self._by_shares([*self.prompts.values(), newcomer], now)
        displaced = self.shares.displaced(ordered, newcomer)
        if displaced is not None:
            self.remove(displaced.request.request_id, False)
            self.note_refusal(displaced, Cause.DISPLACED, now)
        return displaced

    def ordered(self, now):
        """Return the prompts, the next one first."""
        prompts = self._by_shares(self.prompts.values(), now)
        if self.turn + 1 >= FAIR_TURN:
            return _with_fair_turn(prompts, now)
        return prompts

    def _by_shares(self, prompts, now):
        prompts = list(prompts)
        keys = [_sort_key(prompt, now) for prompt in prompts]
        numbers = sorted(range(len(prompts)), key=keys.__getitem__)
        ordered = [prompts[n] for n in numbers]
        if self.shares.levels:
            groups = [keys[n][:2] for n in numbers]
            ordered = self.shares.order(ordered, groups)
        return self._by_sizes(ordered, now)

    def _by_sizes(self, prompts, now):
        """Move the next prompt of each band that is owed one to the front.

        More urgent prompts in time stay before it.
        """
        owed = {}
        for prompt in prompts:
            if prompt.band is not None and self.bands.is_owed(prompt.band):
                owed.setdefault(prompt.band, prompt)
        if not owed:
            return prompts
        first = list(owed.values())
        ordered = [p for p in prompts if p not in first]
        for prompt in reversed(first):
            place = sum(
                p.may_be_in_time(now)
                and p.request.priority < prompt.request.priority
                for p in ordered
            )
            ordered.insert(place, prompt)
        return ordered

    def is_owed(self, prompt):
        """Return whether a prompt goes first for its size, also if late."""
        return prompt.band is not None and self.bands.is_owed(prompt.band)

    def hand_on_position(self, assigned, now):
        """Move the accounts' prompts that an assigned one overtook back.

        It had the position of the first of them.  Without this, prompts
        without an account would wait for all that overtake.
        """
        if not assigned.request.account or not self._has_others():
            return
        *group, last_s = _sort_key(assigned, now)
        rows = [
            (key[2], number, prompt)
            for number, prompt in enumerate(self.prompts.values())
            if prompt.request.account
            and (key := _sort_key(prompt, now))[:2] == tuple(group)
            and key[2] < last_s
        ]
        if rows:
            rows.sort()
            positions_s = [*(row[0] for row in rows[1:]), last_s]
            for row, next_s in zip(rows, positions_s, strict=True):
                row[2].delay_s += next_s - row[0]

    def _has_others(self):
        """Return whether prompts without an account wait."""
        return any(not p.request.account for p in self.prompts.values())

    def on_assigned(self):
        """Count an assignment."""
        self.turn = (self.turn + 1) % FAIR_TURN

    def work_before_s(self, prompt, now):
        """Return the prefill seconds of the prompts that go before one.

        Those of the same urgency and latest start do not count.
        """
        others = [p for p in self.prompts.values() if p is not prompt]
        ordered = self._by_shares([*others, prompt], now)
        own_key = _sort_key(prompt, now)
        return sum(
            p.cost_s
            for p in ordered[: ordered.index(prompt)]
            if _sort_key(p, now) != own_key
        )

    def work_s(self):
        """Return the prefill seconds of all waiting prompts."""
        return sum(p.cost_s for p in self.prompts.values())


def _excluded(request):
    """Return the servers that a request must not be assigned to."""
    return request.tried, request.avoided


def _sort_key(prompt, now):
    if prompt.may_be_in_time(now):
        latest_start_s = prompt.target_at_s - prompt.shortest_s
        position_s = latest_start_s + prompt.delay_s
        return 0, prompt.request.priority, position_s
    return 1, 0, prompt.latest_start_s + prompt.delay_s


def _with_fair_turn(prompts, now):
    """Move the prompt in time with the first latest start to the front.

    Only the next prompt of each priority is considered: the order within one
    priority is that of the accounts' shares.
    """
    heads = {}
    for prompt in prompts:
        if prompt.may_be_in_time(now):
            heads.setdefault(prompt.request.priority, prompt)
    if not heads:
        return prompts
    first = min(heads.values(), key=lambda p: p.target_at_s - p.shortest_s)
    return [first, *(p for p in prompts if p is not first)]
