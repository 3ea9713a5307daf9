"""Follows the keys under one prefix of the platform's store.

`Mirror` is the state machine, without sockets or clocks: it returns the next
call to make and how long to wait for it, and processes the result.  It lists
the prefix page by page, then watches from the revision of the first page,
because the pages are not a consistent snapshot.  It lists again after a watch
whose history is gone and after any failure: a store that interrupts its
watches is about to drop its history, and a new watch that is opened before
that never receives the events that it missed.  Failures are retried with
exponential backoff.

Revisions are positions (`eras.make_position`), so that those of a store that
was restored from an older copy are not taken for those before.

The store may stop responding to this VM at any moment, while it accepts
changes from others, and nothing tells a watch without events from one that
was lost.  `Timing` therefore bounds every wait by the time after which the
mirror must be up to date again.

A watch returns every change, also those that a later one of the same key
replaced.  Where a large value changes in quick succession, what a VM has to
receive would grow with the number of changes, and on a busy link the time to
receive it with it.  So after an answer with replaced changes the prefix is
listed, which returns each value once, until those keys rest.

`follow` is the loop that makes the calls.
"""

import time

import attrs
import curio

from mangorock import clocks
from mangorock import eras
from mangorock import errors
from mangorock import logs

# Servers start and stop together, so an event is followed by others.  The next
# watch is delayed by up to this time and returns them in one answer.
MAX_BATCH_DELAY_S = 0.8
# Less than half of the shortest bound on the time until a change takes effect.
BATCH_DELAY_PART = 0.4
# Upper bounds on the times of `Timing`, however long the catch-up may take.
MAX_CATCH_UP_S = 30.0
LIST_TIMEOUT_S = 1.5  # The store normally responds within milliseconds.
MIN_BACKOFF_S = 0.1  # First pause after a failure.
MAX_BACKOFF_S = 1.0  # A store that is back is noticed within a second.
# Parts of the time in which the mirror must be up to date after a silence.
# A watch that was lost is given up, and after the first pause enough is left
# to list the prefix and to apply the listing.
WATCH_WAIT_PART = 0.84
WATCH_TIMEOUT_PART = 0.9
MIN_BACKOFF_PART = 0.034
# The same holds for a listing that was lost and the longest pause after it.
LIST_TIMEOUT_PART = 0.5
MAX_BACKOFF_PART = 0.33
# Part of the bound on the age of what was confirmed that the age of a sound
# mirror reaches; the rest is for the response and one lost watch.
CONFIRM_PART = 0.8
MIN_WATCH_WAIT_S = 0.2
# Part of the delay after an event that follows one of keys without interest: a
# change that is of interest must not wait for it.
OTHER_KEYS_PART = 0.125
# Part of it between two listings while keys change in quick succession.
POLL_PART = 0.5


@attrs.frozen
class Timing:
    """How long the calls of a mirror may last, in seconds.

    The store ends a watch without events after ``watch_wait_s``; it is
    considered lost after ``watch_timeout_s``, and a page of a listing after
    ``list_timeout_s``.  The pauses after failures grow from
    ``min_backoff_s`` to ``max_backoff_s``.  After an event the next watch
    is delayed by up to ``batch_delay_s``.
    """

    watch_wait_s: float
    watch_timeout_s: float
    list_timeout_s: float
    min_backoff_s: float
    max_backoff_s: float
    batch_delay_s: float


def make_timing(stable_s, change_s, confirm_s=None):
    """Return the `Timing` of a mirror that catches up within ``stable_s``.

    From ``stable_s`` seconds after the end of a silence of the store on, it
    has all changes that were made before that end; otherwise it has a change
    ``change_s`` seconds after it was made.  While the store responds, what
    the mirror has was confirmed within the last ``confirm_s`` seconds, if
    that is given.

    Example::

        make_timing(stable_s=3.0, change_s=2.0).watch_timeout_s    # 2.7
    """
    catch_up_s = min(MAX_CATCH_UP_S, stable_s)
    batch_delay_s = min(
        MAX_BATCH_DELAY_S, BATCH_DELAY_PART * min(stable_s, change_s)
    )
    wait_s = WATCH_WAIT_PART * catch_up_s
    if confirm_s is not None:
        # Until a watch ends, the one before it is the newest confirmation.
        age_s = CONFIRM_PART * confirm_s - batch_delay_s
        wait_s = max(MIN_WATCH_WAIT_S, min(wait_s, age_s / 2))
    return Timing(
        wait_s,
        wait_s + (WATCH_TIMEOUT_PART - WATCH_WAIT_PART) * catch_up_s,
        min(LIST_TIMEOUT_S, LIST_TIMEOUT_PART * catch_up_s),
        min(MIN_BACKOFF_S, MIN_BACKOFF_PART * catch_up_s),
        min(MAX_BACKOFF_S, MAX_BACKOFF_PART * catch_up_s),
        batch_delay_s,
    )


@attrs.frozen
class Item:
    """A key with its value in bytes and the position that wrote it."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Removal:
    """A key that was removed at the position ``revision``."""

    key: str
    revision: int


@attrs.frozen
class Page:
    """One page of a listing, read at the store's ``revision``."""

    items: tuple
    has_more: bool
    revision: int


@attrs.frozen
class Changes:
    """The result of a watch: `Item` and `Removal` events in order."""

    events: tuple
    revision: int


class HistoryLost(Exception):
    """The store no longer has the revision that a watch starts from."""


@attrs.frozen
class ListPage:
    """A call that lists the keys of ``prefix`` after the key ``after``.

    It has failed if there is no answer after ``timeout_s``.
    """

    prefix: str
    after: str
    timeout_s: float


@attrs.frozen
class Watch:
    """A call that watches ``prefix`` for events after ``revision``.

    The store answers after ``wait_s`` at the latest; the call has failed if
    there is no answer after ``timeout_s``.
    """

    prefix: str
    revision: int
    wait_s: float
    timeout_s: float


@attrs.define
class Mirror:
    """The state of one prefix; ``is_synced`` after the first full listing.

    What it has is at least as new as the store was at ``confirmed_s``, the
    time at which a call that was answered had been sent.  Times are of
    `clocks.boot_clock`.  Only events under ``batched_prefixes`` are followed
    by others of interest, for which the next watch is delayed.  ``polled``
    has the keys that change in quick succession, with their revisions.
    """

    prefix: str
    timing: Timing
    batched_prefixes: tuple = ('',)
    is_batch_over: bool = False
    revision: int = 0
    is_listing: bool = True
    is_synced: bool = False
    last_listed_key: str = ''
    first_page_revision: int | None = None
    first_page_sent_s: float = 0.0
    confirmed_s: float = float('-inf')
    listed: list = attrs.field(factory=list)
    backoff_s: float = 0.0
    polled: dict = attrs.field(factory=dict)

    def next_call(self):
        """Return the next call, a `ListPage` or a `Watch`."""
        timing = self.timing
        if self.is_listing:
            return ListPage(
                self.prefix, self.last_listed_key, timing.list_timeout_s
            )
        return Watch(
            self.prefix,
            self.revision,
            timing.watch_wait_s,
            timing.watch_timeout_s,
        )

    def on_page(self, page, sent_s=0.0):
        """Add a page; return the whole listing after the last page.

        ``sent_s`` is when the call was sent.  A page of a later era than the
        first one starts the listing anew.
        """
        self.backoff_s = 0.0
        first = self.first_page_revision
        if first is not None and eras.era_of(first) != eras.era_of(
            page.revision
        ):
            self.on_history_lost()
            return None
        if first is None:
            self.first_page_revision = page.revision
            self.first_page_sent_s = sent_s
        self.listed += page.items
        if page.has_more and page.items:
            self.last_listed_key = page.items[-1].key
            return None
        listing = tuple(self.listed)
        self.revision = self.first_page_revision
        self.confirmed_s = self.first_page_sent_s
        self._reset_listing()
        self._drop_resting(listing)
        self.is_listing = bool(self.polled)
        self.is_synced = True
        return listing

    def _drop_resting(self, listing):
        """Poll only the keys that have changed since the last look."""
        if not self.polled:
            return
        revisions = {
            item.key: item.revision
            for item in listing
            if item.key in self.polled
        }
        self.polled = {
            key: revision
            for key, revision in revisions.items()
            if revision != self.polled[key]
        }

    def on_changes(self, changes, sent_s=0.0):
        """Advance the revision past the events of a watch and return them.

        ``sent_s`` is when the call was sent.

        The next watch starts after the last event received, not at the
        store's revision: a watch that returned no events may have missed
        some.  If the store has dropped that history, a new listing follows.
        """
        self.backoff_s = 0.0
        for event in changes.events:
            self.revision = max(self.revision, event.revision)
        self.confirmed_s = sent_s
        self.polled = _find_replaced(changes.events)
        self.is_listing = bool(self.polled)
        self.is_batch_over = not any(
            event.key.startswith(self.batched_prefixes)
            for event in changes.events
        )
        return changes.events

    def batch_delay_s(self, jitter):
        """Return the delay after an event; ``jitter`` is in [0, 1)."""
        delay_s = self.timing.batch_delay_s * (0.5 + 0.5 * jitter)
        if self.polled:
            return POLL_PART * delay_s
        return OTHER_KEYS_PART * delay_s if self.is_batch_over else delay_s

    def on_history_lost(self):
        """Start a new listing, as events may have been missed."""
        self._reset_listing()
        self.is_listing = True

    def on_failure(self, jitter):
        """Start a new listing; return the backoff before it, in seconds.

        ``jitter`` is in [0, 1).
        """
        doubled_s = max(self.timing.min_backoff_s, 2 * self.backoff_s)
        self.backoff_s = min(self.timing.max_backoff_s, doubled_s)
        self.on_history_lost()
        return self.backoff_s * (0.5 + 0.5 * jitter)

    def _reset_listing(self):
        self.last_listed_key = ''
        self.first_page_revision = None
        self.listed = []


def _find_replaced(events):
    """Return the newest revision of each key that changed repeatedly."""
    revisions, replaced = {}, {}
    for event in events:
        if event.key in revisions:
            replaced[event.key] = event.revision
        revisions[event.key] = event.revision
    return replaced


async def follow(mirror, store, on_listing, on_events, rng):
    """Make the calls of ``mirror`` in an endless loop.

    ``store`` has ``list_page(prefix, after, timeout_s)`` and
    ``watch(prefix, revision, wait_s, timeout_s)``, which raise
    `errors.PlatformUnavailable` and `HistoryLost`.
    ``on_listing(items)`` receives each whole listing, ``on_events(events)``
    each batch of changes, including empty ones.
    """
    unavailable_since_s = None
    while True:
        opened_s = time.monotonic()
        try:
            events = await step(mirror, store, on_listing, on_events)
            if unavailable_since_s is not None:
                away_s = time.monotonic() - unavailable_since_s
                logs.event(
                    'store_regained',
                    prefix=mirror.prefix,
                    revision=mirror.revision,
                    away_s=away_s,
                )
                unavailable_since_s = None
            if events or mirror.polled:
                await curio.sleep(mirror.batch_delay_s(rng.random()))
        except HistoryLost:
            logs.event(
                'store_history_lost',
                prefix=mirror.prefix,
                revision=mirror.revision,
            )
            mirror.on_history_lost()
        except errors.PlatformUnavailable as exc:
            if unavailable_since_s is None:
                unavailable_since_s = time.monotonic()
                logs.warning(
                    'store_lost',
                    prefix=mirror.prefix,
                    revision=mirror.revision,
                    call=type(mirror.next_call()).__name__,
                    open_s=time.monotonic() - opened_s,
                    error=exc.message,
                )
            await curio.sleep(mirror.on_failure(rng.random()))
        except Exception as exc:
            # Whatever one item or answer holds, the others are followed.
            logs.exception(
                'store_not_followed', prefix=mirror.prefix, error=repr(exc)
            )
            await curio.sleep(mirror.on_failure(rng.random()))


async def step(mirror, store, on_listing, on_events):
    """Make one call; return the number of events that a watch received."""
    call = mirror.next_call()
    sent_s = clocks.boot_clock()
    match call:
        case ListPage():
            page = await store.list_page(
                call.prefix, call.after, call.timeout_s
            )
            listing = mirror.on_page(page, sent_s)
            if listing is not None:
                on_listing(listing)
            return 0
        case Watch():
            changes = await store.watch(
                call.prefix, call.revision, call.wait_s, call.timeout_s
            )
            on_events(mirror.on_changes(changes, sent_s))
            return len(changes.events)
