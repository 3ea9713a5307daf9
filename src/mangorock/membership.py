"""Group membership of the daemons by a gossip protocol like SWIM.

A member probes a few others in turn.  One that does not answer becomes
suspect; a suspect that does not refute this becomes dead.  A member that
learns that others consider it suspect or dead refutes this with a higher
incarnation.  News about members is piggybacked on probes and their answers,
each item a bounded number of times, so the cost for a member does not grow
with the number of members.  A digest of the member list reveals updates that
were missed.

The state machine has no sockets or clock: `Membership.tick` returns the
probes to send, and the ``on_`` methods return a message to send back, if any.
"""

import enum
import hashlib

import attrs

SUSPECT_S = 5.0  # A suspect that has not refuted by then is dead.
FORGET_DEAD_S = 120.0  # Also for members that are leaving.
PROBES_PER_TICK = 2
REMOTE_PROBE_TICKS = 3  # Ticks per probe of another failure domain.
NEWS_PER_MESSAGE = 8
NEWS_REPEATS = 8  # Number of messages that carry each item.
SYNC_INTERVAL_S = 10.0


class State(enum.IntEnum):
    """A member's state; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Member:
    """A daemon as known to the others; addresses are ``IP:port``."""

    vm: str
    failure_domain: str
    peer_address: str
    caller_address: str
    incarnation: int = 0
    state: State = State.ALIVE

    def supersedes(self, other):
        """Say whether this information is newer than ``other``."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )


@attrs.frozen
class Message:
    """A probe or its answer.

    ``news`` are members that changed, ``digest`` covers the sender's member
    list, ``revision`` is that of its tables, and ``wants_all`` asks the
    receiver for its complete member list.
    """

    vm: str
    news: tuple
    digest: int
    revision: int
    wants_all: bool = False


@attrs.define
class Membership:
    """One daemon's view of the members.

    ``me`` is the daemon itself, ``members`` are the others by VM.
    ``rng`` is a seeded ``random.Random``; ``revision`` is the revision
    of the tables, sent with every message, and ``revisions`` are those of
    the others.  ``pending_news`` maps a VM to the number of messages that
    will still carry its state.
    """

    me: Member
    rng: object
    revision: int = 0
    members: dict = attrs.field(factory=dict)
    state_since_s: dict = attrs.field(factory=dict)
    pending_news: dict = attrs.field(factory=dict)
    unprobed: list = attrs.field(factory=list)
    ticks: int = 0
    synced_at_s: float = -1e9
    revisions: dict = attrs.field(factory=dict)
    cached_digest: int | None = None

    def alive(self, failure_domain=None):
        """Return the alive or suspect members, including this daemon."""
        return [
            m
            for m in [self.me, *self.members.values()]
            if m.state in (State.ALIVE, State.SUSPECT)
            and failure_domain in (None, m.failure_domain)
        ]

    def tick(self, now):
        """Return the probes to send now, as ``(Member, Message)`` pairs."""
        self.ticks += 1
        self._expire_members(now)
        probes = []
        for member in self._targets():
            probes.append((member, self.message(now)))
        return probes

    def _targets(self):
        local = self._next_in_round()
        if self.ticks % REMOTE_PROBE_TICKS:
            return local
        remote = [
            m
            for m in self.members.values()
            if m.failure_domain != self.me.failure_domain
        ]
        return [*local, self.rng.choice(remote)] if remote else local

    def _next_in_round(self):
        """Return the next members of this failure domain to probe.

        Each round covers all of them once, in shuffled order.
        """
        chosen = []
        while len(chosen) < PROBES_PER_TICK:
            if not self.unprobed:
                self.unprobed = [
                    m.vm
                    for m in self.members.values()
                    if m.failure_domain == self.me.failure_domain
                ]
                self.rng.shuffle(self.unprobed)
                if not self.unprobed:
                    break
                if chosen:
                    break
            member = self.members.get(self.unprobed.pop())
            if member is not None:
                chosen.append(member)
        return chosen

    def _expire_members(self, now):
        for vm, member in list(self.members.items()):
            age_s = now - self.state_since_s.get(vm, now)
            if member.state is State.SUSPECT and age_s > SUSPECT_S:
                self._update_member(
                    attrs.evolve(member, state=State.DEAD), now
                )
            elif (
                member.state in (State.DEAD, State.LEAVING)
                and age_s > FORGET_DEAD_S
            ):
                del self.members[vm]
                self.pending_news.pop(vm, None)
                self.cached_digest = None

    def message(self, now, wants_all=False, sends_all=False):
        """Return a message with pending news, or with all members."""
        if sends_all:
            news = tuple([self.me, *self.members.values()])
        else:
            news = self._take_news()
        return Message(
            self.me.vm, news, self.digest(), self.revision, wants_all
        )

    def _take_news(self):
        chosen = list(self.pending_news)[:NEWS_PER_MESSAGE]
        news = []
        for vm in chosen:
            repeats_left = self.pending_news.pop(vm)
            if repeats_left > 1:
                self.pending_news[vm] = repeats_left - 1
            member = self.me if vm == self.me.vm else self.members.get(vm)
            if member is not None:
                news.append(member)
        return tuple(news)

    def digest(self):
        """Return a hash of the live members, independent of their order."""
        if self.cached_digest is None:
            total = 0
            # Each daemon removes dead and leaving members at a different
            # time, so these must not make the digests differ.
            for member in self.alive():
                text = f'{member.vm} {member.incarnation} {member.state}'
                data = hashlib.blake2b(text.encode(), digest_size=8).digest()
                total ^= int.from_bytes(data, 'big')
            self.cached_digest = total
        return self.cached_digest

    def on_probe(self, message, now):
        """Merge a probe and return the answer to it."""
        self._merge_message(message, now)
        sends_all = message.wants_all or (
            message.digest != self.digest() and self._may_sync(now)
        )
        return self.message(now, sends_all=sends_all, wants_all=sends_all)

    def on_answer(self, message, now):
        """Merge an answer; return a follow-up message or ``None``."""
        self._merge_message(message, now)
        member = self.members.get(message.vm)
        if member is not None and member.state is State.SUSPECT:
            self._update_member(attrs.evolve(member, state=State.ALIVE), now)
        if message.wants_all and message.digest != self.digest():
            return self.message(now, sends_all=True)
        return None

    def _may_sync(self, now):
        if now - self.synced_at_s < SYNC_INTERVAL_S:
            return False
        self.synced_at_s = now
        return True

    def _merge_message(self, message, now):
        self.revisions[message.vm] = message.revision
        for member in message.news:
            self.merge_member(member, now)

    def merge_member(self, member, now):
        """Merge what another member reports about a member."""
        if member.vm == self.me.vm:
            self._refute(member)
            return
        known = self.members.get(member.vm)
        if known is None and member.state >= State.LEAVING:
            return
        if known is None or member.supersedes(known):
            self._update_member(member, now)

    def _refute(self, reported):
        is_wrong = reported.state is not self.me.state
        if is_wrong and reported.incarnation >= self.me.incarnation:
            self._set_own_state(self.me.state, reported.incarnation + 1)
        elif reported.incarnation > self.me.incarnation:
            # Set by an earlier process of this VM; exceed it.
            self._set_own_state(self.me.state, reported.incarnation + 1)

    def _set_own_state(self, state, incarnation):
        self.me = attrs.evolve(self.me, state=state, incarnation=incarnation)
        self.pending_news[self.me.vm] = NEWS_REPEATS
        self.cached_digest = None

    def leave(self):
        """Mark this daemon as leaving, which its next messages announce."""
        self._set_own_state(State.LEAVING, self.me.incarnation + 1)

    def on_timeout(self, vm, now):
        """Mark a member as suspect that did not answer a probe."""
        member = self.members.get(vm)
        if member is not None and member.state is State.ALIVE:
            self._update_member(attrs.evolve(member, state=State.SUSPECT), now)

    def _update_member(self, member, now):
        self.members[member.vm] = member
        self.state_since_s[member.vm] = now
        self.pending_news[member.vm] = NEWS_REPEATS
        self.cached_digest = None


def rank(name, vms):
    """Return ``vms`` ordered by preference for the duty ``name``.

    Rendezvous hashing: every daemon with the same list computes the same
    order, and the loss of one VM moves only the duties of that VM.
    """

    def weight(vm):
        text = f'{name}\n{vm}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(vms, key=weight)
