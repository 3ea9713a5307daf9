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

    tail_number: int = 0
    slot_versions: dict = attrs.field(factory=dict)
    tail_entries: list = attrs.field(factory=list)
    latest: dict = attrs.field(factory=dict)
    slot_newest_s: dict = attrs.field(factory=dict)
    is_loaded: bool = False
    has_call_in_flight: bool = False
    waiting: list = attrs.field(factory=list)
    batch: list = attrs.field(factory=list)
    has_unknown_write: bool = False
    # Claims that were refused while their write's outcome was unknown.
    abandoned: dict = attrs.field(factory=dict)

    def handle(self, event, now_s):
        """Take an event, return the actions in order."""
        match event:
            case Submit():
                self.waiting.append(event)
                return self._start_next_call(now_s)
            case Loaded():
                self._apply_slots(event.slots)
                self.has_call_in_flight = False
                replies = self._confirm_written()
                self._release_abandoned()
                return replies + self._start_next_call(now_s)
            case Written():
                return self._apply_write(
                    event.version
                ) + self._start_next_call(now_s)
            case WriteConflict() | WriteUnknown():
                # Nothing is known of the batch until it is read back.
                self.waiting = self.batch + self.waiting
                self.batch = []
                self.is_loaded = False
                self.has_unknown_write = True
                return [self._start_load()]
            case Unavailable():
                return self._fail_pending()
        raise TypeError(f'unknown event {event!r}')

    def _start_load(self):
        self.has_call_in_flight = True
        return Load(self.tail_number if self.slot_versions else None)

    def _fail_pending(self):
        self.has_call_in_flight = False
        failed = self.batch + self.waiting
        replies = [Reply(s.ticket, Outcome.UNAVAILABLE) for s in failed]
        if self.has_unknown_write:
            for submit in failed:
                if submit.entry.kind is Kind.CLAIMED:
                    self.abandoned[submit.entry.claim_id] = submit.entry
        self.batch, self.waiting = [], []
        self.is_loaded = False
        return replies

    def _apply_slots(self, slots):
        parsed = {}
        for slot, (text, version) in slots.items():
            self.slot_versions[slot] = version
            if version:
                parsed[slot] = orjson.loads(text)
        ordered = sorted(parsed.values(), key=lambda data: data['n'])
        for data in ordered:
            if data['n'] < self.tail_number:
                continue
            entries = [parse_entry(e) for e in data['entries']]
            self.tail_number = data['n']
            self.tail_entries = entries
            self._index_entries(data['n'] % SLOTS_PER_SHARD, entries)
        self.is_loaded = True

    def _index_entries(self, slot, entries):
        for entry in entries:
            current = self.latest.get(entry.key)
            if entry.kind is Kind.RELEASED:
                if current and current.claim_id == entry.claim_id:
                    del self.latest[entry.key]
            elif not (
                current is not None
                and current.claim_id == entry.claim_id
                and current.kind is Kind.DONE
            ):
                self.latest[entry.key] = entry
            newest = self.slot_newest_s.get(slot, 0.0)
            self.slot_newest_s[slot] = max(newest, entry.at_s)

    def _release_abandoned(self):
        """Give back keys whose claim landed after it was refused."""
        for claim_id, entry in list(self.abandoned.items()):
            current = self.latest.get(entry.key)
            if current is None or current.claim_id != claim_id:
                continue
            del self.abandoned[claim_id]
            released = attrs.evolve(entry, kind=Kind.RELEASED)
            self.waiting.insert(0, Submit(None, released))

    def _confirm_written(self):
        """Answer waiting submissions that a lost write did apply."""
        if not self.has_unknown_write:
            return []
        self.has_unknown_write = False
        present = {(e.claim_id, e.kind) for e in self.tail_entries}
        for entry in self.latest.values():
            present.add((entry.claim_id, entry.kind))
        replies, remaining = [], []
        for submit in self.waiting:
            if (submit.entry.claim_id, submit.entry.kind) in present:
                replies.append(Reply(submit.ticket, Outcome.ACCEPTED))
            else:
                remaining.append(submit)
        self.waiting = remaining
        return replies

    def _start_next_call(self, now_s):
        if self.has_call_in_flight or not self.waiting:
            return []
        if not self.is_loaded:
            return [self._start_load()]
        replies = self._fill_batch(now_s)
        if not self.batch:
            return replies
        write = self._build_write(now_s)
        if write is None:
            full = [Reply(s.ticket, Outcome.FULL) for s in self.batch]
            self.batch = []
            return replies + full
        self.has_call_in_flight = True
        return [*replies, write]

    def _fill_batch(self, now_s):
        """Move what may be written into the batch, answer the rest."""
        replies, batched_keys, remaining = [], set(), []
        for submit in self.waiting:
            entry = submit.entry
            if len(self.batch) >= MAX_BATCH or entry.key in batched_keys:
                remaining.append(submit)
                continue
            current = self._find_current(entry.key, now_s)
            if self._is_blocked(entry, current):
                replies.append(Reply(submit.ticket, Outcome.FOUND, current))
                continue
            batched_keys.add(entry.key)
            self.batch.append(submit)
        self.waiting = remaining
        return replies

    def _find_current(self, key, now_s):
        current = self.latest.get(key)
        if current and current.at_s < now_s - RETENTION_S:
            del self.latest[key]
            return None
        return current

    def _is_blocked(self, entry, current):
        if entry.kind is Kind.CLAIMED:
            return current is not None and current.claim_id != entry.claim_id
        # Done and released entries count only for the standing claim.
        return current is None or current.claim_id != entry.claim_id

    def _build_write(self, now_s):
        entries = [s.entry for s in self.batch]
        number = self.tail_number
        slot_entries = [*self.tail_entries, *entries]
        if is_full(self.tail_entries):
            number += 1
            slot_entries = entries
            newest = self.slot_newest_s.get(number % SLOTS_PER_SHARD, 0.0)
            if number >= SLOTS_PER_SHARD and newest > now_s - RETENTION_S:
                return None
        slot = number % SLOTS_PER_SHARD
        data = {'n': number, 'entries': [e.to_list() for e in slot_entries]}
        text = orjson.dumps(data).decode()
        return Write(slot, text, self.slot_versions.get(slot, 0))

    def _drop_expired(self):
        newest = max(self.slot_newest_s.values(), default=0.0)
        oldest = newest - RETENTION_S
        self.latest = {
            key: entry
            for key, entry in self.latest.items()
            if entry.at_s >= oldest
        }

    def _apply_write(self, version):
        entries = [s.entry for s in self.batch]
        if is_full(self.tail_entries):
            self.tail_number += 1
            self.tail_entries = []
            self.slot_newest_s.pop(self.tail_number % SLOTS_PER_SHARD, None)
            self._drop_expired()
        self.tail_entries += entries
        slot = self.tail_number % SLOTS_PER_SHARD
        self.slot_versions[slot] = version
        self._index_entries(slot, entries)
        replies = [Reply(s.ticket, Outcome.ACCEPTED) for s in self.batch]
        self.batch = []
        self.has_call_in_flight = False
        return replies
