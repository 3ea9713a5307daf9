"""Follows the keys under one prefix of the platform's store.

`Mirror` is the state machine, without sockets or clocks: it says which call
comes next and takes in what came of it.  It lists the prefix page by page,
then watches from the revision of the first page, since pages are no
snapshot.  After a watch whose history is gone, and after any failure, it
lists again: a store that cuts its watches is about to drop its history, and
a new watch that comes before that hears nothing of what it missed.  The
pause after failures grows.

`follow` is the loop around it.
"""

import time

import attrs
import curio

from mangorock import errors
from mangorock import logs

# After an event others follow, as servers start or leave together: the next
# watch waits up to so long and gets them in one answer; less than half of
# the shortest bound of a change.
BATCH_DELAY_S = 0.8
MIN_BACKOFF_S = 0.1  # First pause after a failure.
MAX_BACKOFF_S = 1.0  # Keeps a returning store known within a second.


@attrs.frozen
class Item:
    """A key as it was written; ``value`` is bytes."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Removal:
    """A key that is gone since ``revision``."""

    key: str
    revision: int


@attrs.frozen
class Page:
    """A part of a listing at the store's ``revision``."""

    items: tuple
    has_more: bool
    revision: int


@attrs.frozen
class Changes:
    """What a watch told: `Item` and `Removal`, in order."""

    events: tuple
    revision: int


class HistoryLost(Exception):
    """The store no longer has the history that a watch asked for."""


@attrs.frozen
class ListPage:
    """The next call lists ``prefix`` behind the key ``after``."""

    prefix: str
    after: str


@attrs.frozen
class Watch:
    """The next call watches ``prefix`` from ``revision`` on."""

    prefix: str
    revision: int


@attrs.define
class Mirror:
    """The state of one prefix; ``is_synced`` after the first listing."""

    prefix: str
    revision: int = 0
    is_listing: bool = True
    is_synced: bool = False
    last_listed_key: str = ''
    first_page_revision: int | None = None
    listed: list = attrs.field(factory=list)
    backoff_s: float = 0.0

    def next_call(self):
        """Return a `ListPage` or a `Watch`."""
        if self.is_listing:
            return ListPage(self.prefix, self.last_listed_key)
        return Watch(self.prefix, self.revision)

    def on_page(self, page):
        """Take a page; return the whole listing after the last one."""
        self.backoff_s = 0.0
        if self.first_page_revision is None:
            self.first_page_revision = page.revision
        self.listed += page.items
        if page.has_more and page.items:
            self.last_listed_key = page.items[-1].key
            return None
        listing = tuple(self.listed)
        self.revision = self.first_page_revision
        self._reset_listing()
        self.is_listing = False
        self.is_synced = True
        return listing

    def on_changes(self, changes):
        """Take the events of a watch and return them.

        The next watch begins behind the last event that came, not at the
        store's revision: a watch that heard nothing may have missed some.
        Where the store no longer has that history, a new listing follows.
        """
        self.backoff_s = 0.0
        for event in changes.events:
            self.revision = max(self.revision, event.revision)
        return changes.events

    def on_history_lost(self):
        """List again, as events are missing."""
        self._reset_listing()
        self.is_listing = True

    def on_failure(self, jitter):
        """Return the pause before the next listing, in seconds.

        ``jitter`` is in [0, 1).
        """
        doubled_s = max(MIN_BACKOFF_S, 2 * self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, doubled_s)
        self.on_history_lost()
        return self.backoff_s * (0.5 + 0.5 * jitter)

    def _reset_listing(self):
        self.last_listed_key = ''
        self.first_page_revision = None
        self.listed = []


async def follow(mirror, store, on_listing, on_events, rng, wait_s):
    """Run the calls of ``mirror`` for ever.

    A watch that went silent without being cut is noticed after ``wait_s``.
    ``store`` has ``list_page(prefix, after)`` and ``watch(prefix,
    revision, wait_s)``, which raise `errors.PlatformUnavailable` and
    `HistoryLost`.  ``on_listing(items)`` gets each whole listing,
    ``on_events(events)`` each
    batch of changes, also an empty one.
    """
    unavailable_since_s = None
    while True:
        try:
            events = await _step(mirror, store, on_listing, on_events, wait_s)
            if unavailable_since_s is not None:
                away_s = time.monotonic() - unavailable_since_s
                logs.event(
                    'store_regained', prefix=mirror.prefix, away_s=away_s
                )
                unavailable_since_s = None
            if events:
                await curio.sleep(BATCH_DELAY_S * (0.5 + 0.5 * rng.random()))
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
                    error=exc.message,
                )
            await curio.sleep(mirror.on_failure(rng.random()))


async def _step(mirror, store, on_listing, on_events, wait_s):
    """Make one call; return how many events a watch told."""
    call = mirror.next_call()
    match call:
        case ListPage():
            listing = mirror.on_page(
                await store.list_page(call.prefix, call.after)
            )
            if listing is not None:
                on_listing(listing)
            return 0
        case Watch():
            changes = await store.watch(call.prefix, call.revision, wait_s)
            on_events(mirror.on_changes(changes))
            return len(changes.events)
