"""Follows several prefixes of the platform's store with few calls.

Each call to the store has its price, and a watch that waits is a call, so one
watch of all keys serves all prefixes.  The other keys are those of the entry
VMs themselves, which change rarely.  A store need not accept the empty prefix:
where the first listing of all keys fails, each prefix is followed by itself.

Example::

    subscription = Subscription(store, timing, rng, consumers, print)
    await subscription.start()
    ...
    await subscription.close()
"""

import attrs
import curio

from mangorock import eras
from mangorock import errors
from mangorock import logs
from mangorock import mirror

ALL_KEYS = ''


@attrs.frozen
class Consumer:
    """Receives what is stored under ``prefix``.

    ``on_listing(items)`` gets a whole listing, ``on_events(events)`` each
    batch of changes, which may be empty.  One with ``is_optional`` is not
    worth a watch of its own.
    """

    prefix: str
    on_listing: object
    on_events: object
    is_optional: bool = False


class Subscription:
    """Follows the prefixes of its consumers, with `start` and `close`.

    ``on_confirmed(sent_s)`` is called after each answer: the consumers have
    what the store had at ``sent_s``, in the time of `clocks.boot_clock`.
    ``is_synced`` says that each consumer had a listing.
    """

    def __init__(self, store, timing, rng, consumers, on_confirmed):
        self.store = store
        self.timing = timing
        self.rng = rng
        self.consumers = consumers
        self.on_confirmed = on_confirmed
        self.mirrors = []
        self.has_synced = False
        self.tasks = []

    @property
    def is_synced(self):
        """Return whether each consumer had a listing."""
        if not self.has_synced:
            self.has_synced = bool(self.mirrors) and all(
                found.is_synced for found in self.mirrors
            )
        return self.has_synced

    @property
    def has_all_keys(self):
        """Return whether optional consumers are served, too."""
        return any(found.prefix == ALL_KEYS for found in self.mirrors)

    @property
    def revision(self):
        """Return the revision up to which all changes were received."""
        return min((found.revision for found in self.mirrors), default=0)

    async def start(self):
        """Follow the store until `close`."""
        self.tasks.append(await curio.spawn(self._run, daemon=True))

    async def close(self):
        """Stop following; idempotent."""
        while self.tasks:
            await self.tasks.pop().cancel()

    async def restart(self):
        """List all keys now, as the open watches wait at another store."""
        await self.close()
        self.mirrors = []
        await self.start()

    async def follow_era(self, era):
        """List all keys now if the open watches are of an earlier era.

        A watch that was lost in the change of the era would tell it late.
        """
        if not self.mirrors or eras.era_of(self.revision) >= era:
            return
        if any(found.is_listing for found in self.mirrors):
            return
        logs.event('store_followed_anew', era=era)
        await self.close()
        for found in self.mirrors:
            found.on_history_lost()
        await self.start()

    async def _run(self):
        if not self.mirrors:
            self.mirrors = await self._open()
        for found in self.mirrors[1:]:
            task = await curio.spawn(self._follow, found, daemon=True)
            self.tasks.append(task)
        await self._follow(self.mirrors[0])

    async def _open(self):
        """Return the mirrors to follow."""
        required = [c for c in self.consumers if not c.is_optional]
        prefixes = tuple(consumer.prefix for consumer in required)
        whole = mirror.Mirror(ALL_KEYS, self.timing, prefixes)
        try:
            await mirror.step(whole, self.store, *self._handlers(whole))
            return [whole]
        except errors.PlatformUnavailable as exc:
            logs.event('store_followed_by_prefix', error=exc.message)
        return [
            mirror.Mirror(consumer.prefix, self.timing)
            for consumer in required
        ]

    async def _follow(self, found):
        handlers = self._handlers(found)
        await mirror.follow(found, self.store, *handlers, self.rng)

    def _handlers(self, found):
        """Return the functions for listings and events of a mirror."""
        consumers = [
            consumer
            for consumer in self.consumers
            if consumer.prefix.startswith(found.prefix)
        ]

        def on_listing(items):
            for consumer in consumers:
                consumer.on_listing(_under(consumer.prefix, items))
            self._confirm()

        def on_events(events):
            for consumer in consumers:
                consumer.on_events(_under(consumer.prefix, events))
            self._confirm()

        return on_listing, on_events

    def _confirm(self):
        confirmed = [found.confirmed_s for found in self.mirrors]
        if confirmed:
            self.on_confirmed(min(confirmed))


def _under(prefix, events):
    return [event for event in events if event.key.startswith(prefix)]
