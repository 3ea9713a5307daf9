"""Servers of the soak test that are replaced at their address."""

import attrs
import curio

from tests import soak_world

# Share of the replacements that keep the id and change only the time of the
# start, and of those that reset the connections of the old server.
SAME_ID_SHARE = 0.25
RESET_SHARE = 0.5


@attrs.define
class Replacements:
    """Replaces servers one after the other and several at a time.

    The new server answers 421 to requests that name the old one, whose entry
    stays for some time.  ``world`` is the `soak.Soak`; servers in its
    ``changing`` are drained or replaced already.
    """

    world: object
    rng: object

    async def run(self, end_s):
        """Replace servers until ``end_s``."""
        while soak_world.now() < end_s:
            await curio.sleep(self.rng.uniform(0.3, 2.5))
            for _ in range(self.rng.randrange(1, 4)):
                server = self.rng.choice(self.world.servers)
                if server.place not in self.world.changing:
                    self.world.changing.add(server.place)
                    await self.world.spawn(self._replace, server)

    async def _replace(self, server):
        store, proxy = self.world.store, self.world.proxies[server.place]
        old_name = server.name
        is_renamed = self.rng.random() >= SAME_ID_SHARE
        server.replace(is_renamed)
        if self.rng.random() < RESET_SHARE:
            proxy.reset(1.0, self.rng)
            now = soak_world.now()
            self.world.disturbances.append((server.place, now, now))
        await curio.sleep(self.rng.choice((0.0, self.rng.uniform(0.0, 1.0))))
        entry = server.proxied_entry(proxy.port)
        store.put(f'servers/{server.name}', entry)
        await curio.sleep(self.rng.uniform(0.2, 3.0))
        if is_renamed:
            store.remove(f'servers/{old_name}')
        self.world.changing.discard(server.place)
