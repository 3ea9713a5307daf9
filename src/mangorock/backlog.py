"""Orders the prompts that wait for an engine: who waits, and who is next.

It answers a load that exceeds the engines for a while:

* A burst of prompts: those that can still be in time go first, among them
  the more urgent, then the one whose latest start comes first.
* A flood of urgent prompts: every few assignments, a less urgent prompt that
  can still be in time goes first, so that none is shut out.
* More prompts than can be in time: late ones are served with what is left,
  since a late answer is worth more to its caller than none.
* Callers that give up: their prompts leave the queue as soon as no engine
  can answer before that.
"""

import attrs

# Of this many prompts assigned in a row, the last goes to the prompt whose
# latest start comes first, whatever its priority.
FAIR_TURN = 8


@attrs.define(eq=False)
class WaitingPrompt:
    """A prompt at the scheduler that no engine has got yet.

    ``target_at_s`` is when its first event is late, ``gives_up_at_s`` when
    its caller gives up, and ``shortest_s`` the expected time to its first
    event from its assignment to an idle engine.  ``reply(message)`` sends a
    message to the VM that asked.
    """

    request: object
    reply: object
    target_at_s: float
    gives_up_at_s: float
    shortest_s: float = 0.0
    cost_s: float = 0.0

    def may_be_in_time(self, now):
        """Return whether its first event can come before the target."""
        return now + self.shortest_s <= self.target_at_s

    def is_lost(self, now):
        """Return whether its first event comes after the caller gives up."""
        return now + self.shortest_s > self.gives_up_at_s


@attrs.define
class Backlog:
    """The waiting prompts of one service, by request id."""

    prompts: dict = attrs.field(factory=dict)
    turn: int = 0

    def add(self, prompt):
        """Add a prompt; one with the same request id is replaced."""
        self.prompts[prompt.request.request_id] = prompt

    def refresh(self, request, reply, now):
        """Update a prompt that waits already; return whether it does."""
        known = self.prompts.get(request.request_id)
        if known is None or known.request.tried != request.tried:
            return False
        known.reply = reply
        known.gives_up_at_s = min(known.gives_up_at_s, now + request.left_s)
        return True

    def remove(self, request_id):
        """Remove a prompt and return it, None if it does not wait."""
        return self.prompts.pop(request_id, None)

    def take_lost(self, now):
        """Remove and return the prompts that no engine can serve any more."""
        lost = [p for p in self.prompts.values() if p.is_lost(now)]
        for prompt in lost:
            del self.prompts[prompt.request.request_id]
        return lost

    def ordered(self, now):
        """Return the prompts, the next one first."""
        prompts = sorted(
            self.prompts.values(), key=lambda p: _sort_key(p, now)
        )
        if self.turn + 1 >= FAIR_TURN:
            return _with_fair_turn(prompts, now)
        return prompts

    def on_assigned(self):
        """Count an assignment."""
        self.turn = (self.turn + 1) % FAIR_TURN

    def work_before_s(self, prompt, now):
        """Return the prefill seconds of the prompts that go before one."""
        own_key = _sort_key(prompt, now)
        return sum(
            p.cost_s
            for p in self.prompts.values()
            if p is not prompt and _sort_key(p, now) < own_key
        )

    def work_s(self):
        """Return the prefill seconds of all waiting prompts."""
        return sum(p.cost_s for p in self.prompts.values())


def _sort_key(prompt, now):
    if prompt.may_be_in_time(now):
        latest_start_s = prompt.target_at_s - prompt.shortest_s
        return 0, prompt.request.priority, latest_start_s
    return 1, 0, prompt.gives_up_at_s - prompt.shortest_s


def _with_fair_turn(prompts, now):
    """Move the prompt in time with the first latest start to the front."""
    in_time = [p for p in prompts if p.may_be_in_time(now)]
    if not in_time:
        return prompts
    first = min(in_time, key=lambda p: p.target_at_s - p.shortest_s)
    return [first, *(p for p in prompts if p is not first)]
