"""A sharded, durable log of idempotency keys in the platform's store.

The key of a request that is not repeatable is claimed in the log before
the request is sent, so that a retry through any entry VM finds the claim.
Each shard is a ring buffer of slots.  A slot is one key of the platform's
key-value service and is written by compare-and-swap.  Any daemon may write
any shard: a stale writer's compare-and-swap fails, so no lease is needed
for safety.  Claims that are pending at the same time go into one write.

`Shard` is a state machine without I/O.  It takes `Submit` events and the
results of the calls it requested, and returns `Load`, `Write` and `Reply`
actions.  Slots are never deleted, only overwritten by version, so a writer
that was paused for hours cannot recreate a slot that has been reused and
deleted in the meantime.
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
    """State of a key that an entry records."""

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


class Outcome(enum.Enum):
    """Result of submitting an entry."""

    ACCEPTED = 'accepted'
    FOUND = 'found'
    UNAVAILABLE = 'unavailable'
    FULL = 'full'


@attrs.frozen
class Entry:
    """An entry of the log.

    ``at_s`` is the writer's wall-clock time.  It is used only to expire
    entries after ``RETENTION_S``.
    """

    key: str
    claim_id: str
    kind: Kind
    at_s: float
    status: int = 0
    body: str = ''

    def to_list(self):
        """Return the entry as a list, the form in which it is stored."""
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
    """Return the `Entry` that `Entry.to_list` made ``data`` from."""
    key, claim_id, kind, at_s, status, body = data
    return Entry(key, claim_id, Kind(kind), at_s, status, body)


@attrs.frozen
class Submit:
    """Event: append ``entry``.

    The `Reply` carries the same ``ticket``, an opaque object.
    """

    ticket: object
    entry: Entry


@attrs.frozen
class Loaded:
    """Event: slots were read; maps slot number to (text, version)."""

    slots: dict


@attrs.frozen
class Written:
    """Event: the write succeeded and created ``version``."""

    version: int


@attrs.frozen
class WriteConflict:
    """Event: the write failed because the slot has another version."""


@attrs.frozen
class WriteUnknown:
    """Event: the write got no response and may have been applied."""


@attrs.frozen
class Unavailable:
    """Event: the platform did not respond and nothing was written."""


@attrs.frozen
class Load:
    """Action: read the slots from ``first_number`` to the tail of the log.

    ``None`` requests all slots.
    """

    first_number: int | None


@attrs.frozen
class Write:
    """Action: compare-and-swap a slot."""

    slot: int
    text: str
    expected: int


@attrs.frozen
class Reply:
    """Action: report the outcome of a submitted entry.

    ``found`` is the current entry of the key if the outcome is ``FOUND``.
    """

    ticket: object
    outcome: Outcome
    found: Entry | None = None


def claim_key(account, route, idempotency_key):
    """Return a digest of the account, route and idempotency key."""
    text = f'{account}\n{route}\n{idempotency_key}'
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def shard_number(key):
    """Return the number of the shard that holds ``key``."""
    return int(key[:4], 16) % SHARD_COUNT


def slot_key(shard, slot):
    """Return the key of a slot in the platform's store."""
    return f'{shard_prefix(shard)}{slot:04d}'


def shard_prefix(shard):
    """Return the prefix of a shard's keys in the platform's store."""
    return f'mangorock/claims/{shard:02d}/'


def is_full(entries):
    """Return whether a slot has no room for more entries.

    A full slot no longer changes: every writer continues with the next
    slot, and the compare-and-swap of a writer that read the slot before it
    was full fails.
    """
    return len(entries) >= ENTRIES_PER_SLOT


@attrs.define
class Shard:
    """State machine of one shard, with this daemon's copy of its entries.

    ``tail_number`` is the sequence number of the last slot in use, stored
    at index ``tail_number % SLOTS_PER_SHARD`` of the ring.  ``latest`` maps
    a key to its current entry, and ``slot_newest_s`` a slot to the time of
    its newest entry.
    """

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
    # Claims that were answered UNAVAILABLE although their write may have
    # been applied.
    abandoned: dict = attrs.field(factory=dict)

    def handle(self, event, now_s):
        """Process an event and return the resulting actions in order."""
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
                # Whether the batch was applied is unknown until the slots
                # have been read again.
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
        """Release claims that were applied after being answered as failed."""
        for claim_id, entry in list(self.abandoned.items()):
            current = self.latest.get(entry.key)
            if current is None or current.claim_id != claim_id:
                continue
            del self.abandoned[claim_id]
            released = attrs.evolve(entry, kind=Kind.RELEASED)
            self.waiting.insert(0, Submit(None, released))

    def _confirm_written(self):
        """Accept waiting entries that an unconfirmed write has applied."""
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
        """Move writable entries to the batch and answer blocked ones.

        Entries beyond ``MAX_BATCH`` and further entries of a key that is
        already in the batch stay in the queue.
        """
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
        # Only the current claim of a key may be completed or released.
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
