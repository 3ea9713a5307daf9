"""Bounds the memory that a process holds for callers and servers.

Load pattern: many peers that each stay inside their own limit, and together
hold more than the process has: bodies that stop just short of their end,
answers that nobody reads, servers that send without end.

`Buffers` is the one account of all of it.  Above `TIGHT_PART` of its bound,
nothing more is read from those who hold more than their share.  At the bound,
those are cut off who hold most and transfer least, until a part is free.
Requests that are being served may have run, so they come last.

Example::

    account = buffers.Buffers(max_bytes=60_000_000)
    account.add(exchange, 65536)
    account.set(connection, 8192, buffers.Kind.READING)
    account.remove(exchange)
"""

import enum
import time

import attrs
import curio

from mangorock import logs

DEFAULT_MAX_BYTES = 64 << 20
# Above this part of the bound, callers with large requests have to wait.
TIGHT_PART = 0.75
# Each time the bound is reached, holders are cut off down to this part of it,
# so that the search for them is not repeated for each piece.
FREED_PART = 0.9
# Nobody has to wait for holding less than this.
MIN_SHARE_BYTES = 32768
# Half-life of the bytes that count as transferred lately.
HALF_LIFE_S = 1.0
# What a new holder is credited with, and the most that counts: a server that
# sends without end must not protect itself by its speed.
NEW_HOLDER_BYTES = 65536
MAX_MOVED_BYTES = 131072
# Keeps the rank of holders that transfer nothing finite.
MIN_MOVED_BYTES = 1024
LOG_INTERVAL_S = 1.0
# How often and at which interval to look whether holders have ended.
MAX_CLOSING_CHECKS = 10
CLOSING_CHECK_S = 0.005


class Kind(enum.Enum):
    """What bytes are held for; the values are names of metrics."""

    CONNECTION = 'connections'
    READING = 'requests_read'
    SERVING = 'requests_served'
    WRITING = 'responses_written'
    ANSWER = 'answers_read'
    STREAM = 'stream_events'


@attrs.define
class Entry:
    """What one holder has; ``moved`` is what it transferred until then."""

    kind: Kind
    size: int
    unread: int
    moved: float
    moved_s: float

    @property
    def total(self):
        """Return all bytes, with those that the kernel holds."""
        return self.size + self.unread

    def recently_moved(self, now):
        """Return the bytes transferred lately, older ones weighted less."""
        return self.moved * 0.5 ** ((now - self.moved_s) / HALF_LIFE_S)

    def rank(self, now):
        """Return a number that is highest for the first to be cut off."""
        moved = min(self.recently_moved(now), MAX_MOVED_BYTES)
        return self.total / (MIN_MOVED_BYTES + moved)


@attrs.define
class Buffers:
    """The account of memory; its sum never exceeds ``max_bytes``.

    ``closing`` has what holders had that were cut off: its memory is free
    once they are removed.

    Holders are hashable by identity and have ``address`` and ``cut()``,
    which drops the bytes and ends the transfer.  ``on_cut(kind)`` is called
    for each.  A holder whose kind changes starts anew as a new one.
    """

    max_bytes: int = DEFAULT_MAX_BYTES
    clock: object = time.monotonic
    on_cut: object = None
    total_bytes: int = 0
    entries: dict = attrs.field(factory=dict)
    closing: dict = attrs.field(factory=dict)
    closing_bytes: int = 0
    logged_s: float = -LOG_INTERVAL_S
    unlogged_cuts: int = 0

    def add(self, holder, count, kind=Kind.ANSWER):
        """Count ``count`` more bytes that were transferred by a holder."""
        entry = self.entries.get(holder)
        self.set(holder, count + (entry.size if entry else 0), kind)
        self.on_moved(holder, count)

    def set(self, holder, size, kind):
        """Count ``size`` bytes for a holder; cut some off if needed."""
        entry = self.entries.get(holder)
        if entry is None:
            entry = Entry(kind, 0, 0, NEW_HOLDER_BYTES, self.clock())
            self.entries[holder] = entry
        elif entry.kind is not kind:
            entry.kind = kind
            entry.moved, entry.moved_s = NEW_HOLDER_BYTES, self.clock()
        self.total_bytes += size - entry.size
        entry.size = size
        self._keep_bound()

    def set_unread(self, holder, count):
        """Count the bytes that the kernel holds for a holder."""
        entry = self.entries.get(holder)
        if entry is not None:
            self.total_bytes += count - entry.unread
            entry.unread = count
            self._keep_bound()

    def on_moved(self, holder, count):
        """Note that a holder has transferred bytes."""
        entry = self.entries.get(holder)
        if entry is not None:
            now = self.clock()
            entry.moved = entry.recently_moved(now) + count
            entry.moved_s = now

    def remove(self, holder):
        """Count a holder no more; one that is not counted is ignored."""
        entry = self.entries.pop(holder, None)
        if entry is not None:
            self.total_bytes -= entry.total
        self.closing_bytes -= self.closing.pop(holder, 0)

    @property
    def is_tight(self):
        """Say whether those who hold most have to wait."""
        needed_bytes = self.total_bytes + self.closing_bytes
        return needed_bytes > TIGHT_PART * self.max_bytes

    @property
    def is_behind(self):
        """Say whether holders that were cut off have to end first."""
        return self.total_bytes + self.closing_bytes > self.max_bytes

    async def wait_for_closing(self):
        """Let holders that were cut off end before more is held.

        The wait is bounded, as one of them may be in the way of its own end.
        """
        for _ in range(MAX_CLOSING_CHECKS):
            if not self.is_behind:
                return
            await curio.sleep(CLOSING_CHECK_S)

    def must_wait(self, holder):
        """Say whether nothing more should be read from a holder now."""
        entry = self.entries.get(holder)
        if entry is None or not self.is_tight:
            return False
        share = TIGHT_PART * self.max_bytes / len(self.entries)
        return entry.total > max(share, MIN_SHARE_BYTES)

    def held_bytes(self):
        """Return the bytes of each kind, and of the kernel's buffers."""
        held = {kind.value: 0 for kind in Kind} | {'unread': 0}
        for entry in self.entries.values():
            held[entry.kind.value] += entry.size
            held['unread'] += entry.unread
        return held

    def _keep_bound(self):
        """Cut holders off if the sum is too large.

        Requests that are being served come last, and only as many as needed:
        those first whose callers have sent most behind them.
        """
        if self.total_bytes <= self.max_bytes:
            return
        now = self.clock()
        served, others = [], []
        for number, (holder, entry) in enumerate(self.entries.items()):
            if entry.kind is Kind.SERVING:
                served.append((entry.unread, number, holder))
            else:
                others.append((entry.rank(now), number, holder))
        self._cut_until(FREED_PART * self.max_bytes, others, now)
        if self.total_bytes > self.max_bytes:
            self._cut_until(self.max_bytes, served, now)

    def _cut_until(self, bound, ranked, now):
        for _, _, holder in sorted(ranked, reverse=True):
            if self.total_bytes <= bound:
                return
            self._cut(holder, now)

    def _cut(self, holder, now):
        entry = self.entries[holder]
        self._log(holder, entry, now)
        if self.on_cut is not None:
            self.on_cut(entry.kind)
        self.remove(holder)
        self.closing[holder] = entry.size
        self.closing_bytes += entry.size
        holder.cut()

    def _log(self, holder, entry, now):
        if entry.kind in (Kind.ANSWER, Kind.STREAM):
            logs.warning(
                'answer_cut_off',
                server=holder.address,
                bytes=entry.total,
                total_bytes=self.total_bytes,
                remedy='look for a server that sends without end',
            )
            return
        self.unlogged_cuts += 1
        if now - self.logged_s < LOG_INTERVAL_S:
            return
        logs.warning(
            'memory_full',
            reason=entry.kind.value,
            bytes=entry.total,
            total_bytes=self.total_bytes,
            holders=len(self.entries),
            cut_off=self.unlogged_cuts,
        )
        self.logged_s, self.unlogged_cuts = now, 0
