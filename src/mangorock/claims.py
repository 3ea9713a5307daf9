"""Records of idempotency keys: a log of claims, kept by the platform.

A non-repeatable request with a key is claimed durably before it is sent,
so that a repeat through any entry VM finds it.  Claims live in shards; a
shard is a ring of slots, each one key of the platform's service, written
by compare-and-swap.  Any daemon may write any shard: a stale writer's
compare-and-swap fails, so no lease is needed for safety.  Several claims
that wait at once go into one write.

`Shard` is a state machine: give it `Submit` and the outcomes of the calls
it asked for; it returns `Load`, `Write` and `Reply` actions.  Slots are
never deleted, only overwritten by version, so that a writer that was
paused for hours cannot create a slot that others have used and dropped.
"""

import enum
import hashlib

import attrs
import orjson

SHARD_COUNT = 16
SLOTS_PER_SHARD = 1024
ENTRIES_PER_SLOT = 64
RETENTION_S = 24 * 3600.0
MAX_BODY_CHARS = 1024
MAX_BATCH = 64


class Kind(enum.Enum):
    """What an entry says about a key."""

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


class Outcome(enum.Enum):
    """How a submitted entry ended."""

    ACCEPTED = 'accepted'
    FOUND = 'found'
    UNAVAILABLE = 'unavailable'
    FULL = 'full'


@attrs.frozen
class Entry:
    """One line of the log.

    ``at_s`` is the writer's wall clock, used only to forget entries after
    the retention.
    """

    key: str
    claim_id: str
    kind: Kind
    at_s: float
    status: int = 0
    body: str = ''

    def to_list(self):
        """Return the compact JSON form."""
        kind = self.kind.value
        return [
            self.key,
            self.claim_id,
            kind,
            self.at_s,
            self.status,
            self.body,
        ]


def parse_entry(data):
    """Undo `Entry.to_list`."""
    key, claim_id, kind, at_s, status, body = data
    return Entry(key, claim_id, Kind(kind), at_s, status, body)


@attrs.frozen
class Submit:
    """Event: append ``entry``; the outcome comes with ``ticket``."""

    ticket: object
    entry: Entry


@attrs.frozen
class Loaded:
    """Event: the slots read, a dict of slot number to (text, version)."""

    slots: dict


@attrs.frozen
class Written:
    """Event: the write was applied as ``version``."""

    version: int


@attrs.frozen
class WriteConflict:
    """Event: the write found another version."""


@attrs.frozen
class WriteUnknown:
    """Event: the write's answer was lost."""


@attrs.frozen
class Unavailable:
    """Event: the platform did not answer, nothing was written."""


@attrs.frozen
class Load:
    """Action: read slots from ``first`` to the tail, all for ``None``."""

    first: int | None


@attrs.frozen
class Write:
    """Action: compare-and-swap a slot."""

    slot: int
    text: str
    expected: int


@attrs.frozen
class Reply:
    """Action: the outcome of a submitted entry.

    ``found`` is the standing entry of the key when the outcome is
    ``FOUND``.
    """

    ticket: object
    outcome: Outcome
    found: Entry | None = None


def claim_key(account, route, idempotency_key):
    """Return the digest that stands for a caller's idempotency key."""
    text = f'{account}\n{route}\n{idempotency_key}'
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def shard_number(key):
    """Return the number of the shard that holds ``key``."""
    return int(key[:4], 16) % SHARD_COUNT


def slot_key(shard, slot):
    """Return the platform key of a slot."""
    return f'{shard_prefix(shard)}{slot:04d}'


def shard_prefix(shard):
    """Return the platform key prefix of a shard."""
    return f'mangorock/claims/{shard:02d}/'


def is_full(entries):
    """Say whether a slot takes no more entries.

    A full slot is final: every writer moves on to the next number, and a
    writer that saw the slot before it was full fails on its version.
    """
    return len(entries) >= ENTRIES_PER_SLOT


@attrs.define
class Shard:
    """One shard as this daemon knows it."""

    number: int = 0
    versions: dict = attrs.field(factory=dict)
    tail: list = attrs.field(factory=list)
    index: dict = attrs.field(factory=dict)
    newest_s: dict = attrs.field(factory=dict)
    is_loaded: bool = False
    is_busy: bool = False
    waiting: list = attrs.field(factory=list)
    batch: list = attrs.field(factory=list)
    was_lost: bool = False
    # Claims that were refused while their write's outcome was unknown.
    abandoned: dict = attrs.field(factory=dict)

    def handle(self, event, now_s):
        """Take an event, return the actions in order."""
        match event:
            case Submit():
                self.waiting.append(event)
                return self._advance(now_s)
            case Loaded():
                self._take_slots(event.slots)
                self.is_busy = False
                replies = self._settle()
                self._release_abandoned()
                return replies + self._advance(now_s)
            case Written():
                return self._accept(event.version) + self._advance(now_s)
            case WriteConflict() | WriteUnknown():
                # Nothing is known of the batch until it is read back.
                self.waiting = self.batch + self.waiting
                self.batch = []
                self.is_loaded = False
                self.was_lost = True
                return [self._load()]
            case Unavailable():
                return self._give_up()
        raise TypeError(f'unknown event {event!r}')

    def _load(self):
        self.is_busy = True
        return Load(self.number if self.versions else None)

    def _give_up(self):
        self.is_busy = False
        given_up = self.batch + self.waiting
        replies = [Reply(s.ticket, Outcome.UNAVAILABLE) for s in given_up]
        if self.was_lost:
            for submit in given_up:
                if submit.entry.kind is Kind.CLAIMED:
                    self.abandoned[submit.entry.claim_id] = submit.entry
        self.batch, self.waiting = [], []
        self.is_loaded = False
        return replies

    def _take_slots(self, slots):
        parsed = {}
        for slot, (text, version) in slots.items():
            self.versions[slot] = version
            if version:
                parsed[slot] = orjson.loads(text)
        ordered = sorted(parsed.values(), key=lambda data: data['n'])
        for data in ordered:
            if data['n'] < self.number:
                continue
            entries = [parse_entry(e) for e in data['entries']]
            self.number = data['n']
            self.tail = entries
            self._index(data['n'] % SLOTS_PER_SHARD, entries)
        self.is_loaded = True

    def _index(self, slot, entries):
        for entry in entries:
            standing = self.index.get(entry.key)
            if entry.kind is Kind.RELEASED:
                if standing and standing.claim_id == entry.claim_id:
                    del self.index[entry.key]
            elif not (
                standing is not None
                and standing.claim_id == entry.claim_id
                and standing.kind is Kind.DONE
            ):
                self.index[entry.key] = entry
            newest = self.newest_s.get(slot, 0.0)
            self.newest_s[slot] = max(newest, entry.at_s)

    def _release_abandoned(self):
        """Give back keys whose claim landed after it was refused."""
        for claim_id, entry in list(self.abandoned.items()):
            standing = self.index.get(entry.key)
            if standing is None or standing.claim_id != claim_id:
                continue
            del self.abandoned[claim_id]
            released = attrs.evolve(entry, kind=Kind.RELEASED)
            self.waiting.insert(0, Submit(None, released))

    def _settle(self):
        """Answer waiting submissions that a lost write did apply."""
        if not self.was_lost:
            return []
        self.was_lost = False
        present = {(e.claim_id, e.kind) for e in self.tail}
        for entry in self.index.values():
            present.add((entry.claim_id, entry.kind))
        replies, still = [], []
        for submit in self.waiting:
            if (submit.entry.claim_id, submit.entry.kind) in present:
                replies.append(Reply(submit.ticket, Outcome.ACCEPTED))
            else:
                still.append(submit)
        self.waiting = still
        return replies

    def _advance(self, now_s):
        if self.is_busy or not self.waiting:
            return []
        if not self.is_loaded:
            return [self._load()]
        replies = self._check_waiting(now_s)
        if not self.batch:
            return replies
        write = self._make_write(now_s)
        if write is None:
            full = [Reply(s.ticket, Outcome.FULL) for s in self.batch]
            self.batch = []
            return replies + full
        self.is_busy = True
        return [*replies, write]

    def _check_waiting(self, now_s):
        """Move what may be written into the batch, answer the rest."""
        replies, claimed, kept = [], set(), []
        for submit in self.waiting:
            entry = submit.entry
            if len(self.batch) >= MAX_BATCH or entry.key in claimed:
                kept.append(submit)
                continue
            standing = self._standing(entry.key, now_s)
            if self._is_blocked(entry, standing):
                replies.append(Reply(submit.ticket, Outcome.FOUND, standing))
                continue
            claimed.add(entry.key)
            self.batch.append(submit)
        self.waiting = kept
        return replies

    def _standing(self, key, now_s):
        standing = self.index.get(key)
        if standing and standing.at_s < now_s - RETENTION_S:
            del self.index[key]
            return None
        return standing

    def _is_blocked(self, entry, standing):
        if entry.kind is Kind.CLAIMED:
            return standing is not None and standing.claim_id != entry.claim_id
        # Done and released entries count only for the standing claim.
        return standing is None or standing.claim_id != entry.claim_id

    def _make_write(self, now_s):
        entries = [s.entry for s in self.batch]
        number = self.number
        lines = [*self.tail, *entries]
        if is_full(self.tail):
            number += 1
            lines = entries
            newest = self.newest_s.get(number % SLOTS_PER_SHARD, 0.0)
            if number >= SLOTS_PER_SHARD and newest > now_s - RETENTION_S:
                return None
        slot = number % SLOTS_PER_SHARD
        data = {'n': number, 'entries': [e.to_list() for e in lines]}
        text = orjson.dumps(data).decode()
        return Write(slot, text, self.versions.get(slot, 0))

    def _purge(self):
        newest = max(self.newest_s.values(), default=0.0)
        oldest = newest - RETENTION_S
        self.index = {
            key: entry
            for key, entry in self.index.items()
            if entry.at_s >= oldest
        }

    def _accept(self, version):
        entries = [s.entry for s in self.batch]
        if is_full(self.tail):
            self.number += 1
            self.tail = []
            self.newest_s.pop(self.number % SLOTS_PER_SHARD, None)
            self._purge()
        self.tail += entries
        slot = self.number % SLOTS_PER_SHARD
        self.versions[slot] = version
        self._index(slot, entries)
        replies = [Reply(s.ticket, Outcome.ACCEPTED) for s in self.batch]
        self.batch = []
        self.is_busy = False
        return replies
