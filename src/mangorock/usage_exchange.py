"""Sends the counts of this VM to those who collect them, and collects.

Every VM sends its counts of a window by datagram to the VMs that may hold the
duties, in pieces that fit, until each is acknowledged or the report is late.
So the holder and its successor have the counts of all VMs.
"""

import time
import zlib

import attrs
import curio
import orjson

from mangorock import clocks
from mangorock import consultation
from mangorock import directory as directories
from mangorock import duty_loop
from mangorock import logs
from mangorock import membership
from mangorock import messages
from mangorock import usage

COLLECTORS = 2
# Time after which a piece that was not acknowledged is sent again.
REPEAT_S = 0.4
# Pieces that are sent to one VM at a time; more overflow its buffer.
MAX_PIECES_AT_ONCE = 4
# Time that a stopping VM takes at most to hand over what it has counted.
FLUSH_S = 1.0
FLUSH_INTERVAL_S = 0.05


def spread_part(vm):
    """Return the part of the spread after which a VM sends, from 0 to 1."""
    return zlib.crc32(vm.encode()) / 2**32


def find_collectors(directory, now, count):
    """Return the VMs that may hold the duties, None for this VM.

    Any region's first one may hold them: ``count`` of each region collect.
    """
    found = directory.ranked_peers(duty_loop.SUBJECT, now, count)
    regions = {peer.region for peer in directory.all_peers}
    for region in sorted(regions - {directory.me.region}):
        peers = [p for p in directory.all_peers if p.region == region]
        largest = max(peer.capacity for peer in peers)
        able = {
            peer.vm: peer
            for peer in peers
            if peer.capacity >= directories.MIN_CAPACITY_SHARE * largest
        }
        ranked = membership.rank(duty_loop.SUBJECT, able)
        found += [able[vm] for vm in ranked[:count]]
    return found


def make_pieces(vm, run, window, counts):
    """Return the `messages.UsageCounts` with the counts of a window.

    Each fits into a datagram.  There is at least one, which says that there
    was nothing to count.
    """
    empty = messages.UsageCounts(
        vm, run, window, messages.MAX_COUNT, messages.MAX_COUNT, ()
    )
    room = consultation.MAX_DATAGRAM_BYTES - len(consultation.encode(0, empty))
    groups, left = [[]], room
    for account, count in counts.items():
        row = account, min(count, messages.MAX_COUNT)
        size = len(orjson.dumps(row)) + 1
        if size > room or len(account) > messages.MAX_TEXT_CHARS:
            logs.warning('usage_name_too_long', account=account[:40])
            continue
        if size > left:
            groups.append([])
            left = room
        groups[-1].append(row)
        left -= size
    return [
        messages.UsageCounts(vm, run, window, number, len(groups), rows)
        for number, rows in enumerate(groups)
    ]


@attrs.define
class UsageExchange:
    """Sends this VM's counts to those who collect them, and collects.

    ``endpoint`` is the `consultation.SchedulerEndpoint`.  ``run`` is the start
    of this process and ``runs`` those of the collectors.  ``acknowledged`` has
    the `messages.UsageTaken` that came, ``sent_s`` when those were asked for.
    """

    vm: str
    endpoint: object
    counter: usage.UsageCounter
    collector: usage.Collector
    clock: object = clocks.boot_clock
    time_of_day: object = time.time
    steady_clock: object = time.monotonic
    run: int = 0
    runs: dict = attrs.field(factory=dict)
    outbox: dict = attrs.field(factory=dict)
    acknowledged: set = attrs.field(factory=set)
    sent_s: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.counter.time.on_time_of_day(self.time_of_day(), self.clock())
        self.run = int(self.own_unix_s() * 1000)

    def own_unix_s(self):
        """Return this VM's time, as other VMs are told."""
        return self.counter.time.own(self.clock())

    def unix_s(self):
        """Return the true time."""
        return self.counter.time.at(self.clock())

    def on_time(self, vm, unix_s):
        """Take what another VM says of the time."""
        self.counter.time.on_vote(vm, unix_s, self.clock())

    def on_run(self, vm, run):
        """Send a collector everything again where its process is another.

        That includes what its earlier processes have counted.
        """
        if self.runs.get(vm) == run:
            return
        self.runs[vm] = run
        for piece in self.collector.of_earlier_runs(vm, run):
            of_window = self.outbox.setdefault(piece.window, [])
            if piece not in of_window:
                of_window.append(piece)

    def _key(self, peer, piece):
        """Return the acknowledgement of a piece by a collector."""
        return messages.UsageTaken(
            peer.vm,
            self.runs.get(peer.vm, 0),
            piece.vm,
            piece.run,
            piece.window,
            piece.piece,
        )

    def on_message(self, message):
        """Take a message of another VM; return the answer, None for none."""
        match message:
            case messages.UsageCounts(vm, run, window, piece):
                if self.collector.on_counts(message, self.unix_s()):
                    return messages.UsageTaken(
                        self.vm, self.run, vm, run, window, piece
                    )
            case messages.UsageTaken():
                self.on_run(message.vm, message.run)
                self.acknowledged.add(message)
        return None

    def send_due(self):
        """Send what is due; call it several times a second."""
        now = self.clock()
        self.counter.time.on_time_of_day(self.time_of_day(), now)
        delay_s = self.counter.windows.spread_s * spread_part(self.vm)
        for window, counts in self.counter.take_ended(now, delay_s):
            self._add(window, counts)
        self._forget_late()
        self._send_to(self._collectors(COLLECTORS), now)

    def _collectors(self, count):
        directory = self.endpoint.directory
        return find_collectors(directory, self.steady_clock(), count)

    def _add(self, window, counts):
        self.outbox[window] = self.outbox.get(window, []) + make_pieces(
            self.vm, self.run, window, counts
        )

    def _forget_late(self):
        oldest = self.counter.windows.oldest(self.unix_s())
        self.outbox = {w: p for w, p in self.outbox.items() if w >= oldest}
        self.acknowledged = {
            k for k in self.acknowledged if k.window >= oldest
        }
        self.sent_s = {
            k: s for k, s in self.sent_s.items() if k.window >= oldest
        }

    def _send_to(self, peers, now):
        """Send what ``peers`` have not acknowledged; None is this VM."""
        pieces = [
            p for window in sorted(self.outbox) for p in self.outbox[window]
        ]
        for peer in peers:
            if peer is None:
                for piece in pieces:
                    self.collector.on_counts(piece, self.unix_s())
                continue
            for piece in self._due(peer, pieces, now)[:MAX_PIECES_AT_ONCE]:
                self.sent_s[self._key(peer, piece)] = now
                self.endpoint.send_to(peer, piece)

    def _due(self, peer, pieces, now):
        return [
            piece
            for piece in pieces
            if self._is_due(self._key(peer, piece), now)
        ]

    def _is_due(self, key, now):
        if key in self.acknowledged:
            return False
        sent_s = self.sent_s.get(key)
        return sent_s is None or now - sent_s >= REPEAT_S

    async def flush(self, left_s):
        """Hand over all that was counted, as this VM stops in ``left_s``.

        Without time it is sent once and not repeated.
        """
        now = self.clock()
        for window, counts in self.counter.take_all(now):
            self._add(window, counts)
        until_s = now + min(left_s, FLUSH_S)
        while True:
            ranked = self._collectors(COLLECTORS + 1)
            peers = [peer for peer in ranked if peer is not None]
            self._send_to(peers, self.clock())
            if self.clock() >= until_s or self._is_acknowledged(peers):
                return
            await curio.sleep(FLUSH_INTERVAL_S)

    def _is_acknowledged(self, peers):
        return all(
            self._key(peer, piece) in self.acknowledged
            for peer in peers
            for pieces in self.outbox.values()
            for piece in pieces
        )
