"""Callers of the soak test that use a connection until its VM closes it."""

import socket

import curio
import h11

from tests import soak_world

KINDS = ('safe', 'unsafe', 'stream', 'long', 'once')
# Seconds beyond the deadline of a request that a caller waits for its answer.
PATIENCE_S = 3.0
# Longest time that a caller waits because of a Retry-After header.
MAX_RETRY_WAIT_S = 0.5


def make_kept_caller(world, number):
    """Return a `KeptCaller` of a `soak.Soak`."""
    return KeptCaller(
        number,
        world.checker,
        soak_world.make_rng(world.seed, 'kept', number),
        world.vms,
        lambda: world.configs.idle_timeout_s,
    )


class KeptCaller(soak_world.Caller):
    """Sends requests on one connection as long as the VM keeps it open.

    That is also while the VM stops, up to the end of its process.  Most
    pauses between requests are short; others are near the idle timeout in
    force, which ``get_idle_timeout_s()`` returns.  Some requests are
    abandoned, and after some the caller closes its sending side.
    """

    def __init__(self, number, checker, rng, vms, get_idle_timeout_s):
        super().__init__(f'k{number}', checker, rng, vms)
        self.get_idle_timeout_s = get_idle_timeout_s

    async def run(self, client):
        """Send requests until cancelled."""
        while True:
            await curio.sleep(self._think_s())
            kind = self.rng.choice(KINDS)
            try:
                await self._send_next(client, kind)
            except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
                self.checker.counts[kind, type(exc).__name__] += 1
                await self.disconnect(client)
                await curio.sleep(0.05)

    def _think_s(self):
        if self.rng.random() < 0.9:
            return self.rng.uniform(0.0, 0.2)
        return self.get_idle_timeout_s() * self.rng.uniform(0.3, 1.02)

    async def _send_next(self, client, kind):
        self.request_count += 1
        request_id = f'{self.number}-{self.request_count}'
        deadline_ms = self.rng.choice((1400, 2500, 4500))
        wait_s, close_task = deadline_ms / 1000 + PATIENCE_S, None
        manner = self.rng.choices(('stay', 'leave', 'half_close'), (92, 5, 3))[
            0
        ]
        if manner == 'leave':
            wait_s = self.rng.uniform(0.005, 0.3)
        if manner == 'half_close':
            close_task = await curio.spawn(self._half_close)
        try:
            async with curio.timeout_after(wait_s):
                status = await self.send_request(
                    client, kind, request_id, manner, deadline_ms
                )
        finally:
            if close_task is not None:
                await close_task.cancel()
                await self.disconnect(client)
        if status in (429, 503):
            await self._wait_before_retry()

    async def _half_close(self):
        """Close the sending side while the answer is awaited."""
        await curio.sleep(self.rng.uniform(0.01, 0.1))
        if self.exchange is None:
            return
        try:
            await self.exchange.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The VM has closed the connection in the meantime.
            return

    async def _wait_before_retry(self):
        if self.exchange is None:
            return
        retry_after = self.exchange.headers.get('retry-after', '0')
        await curio.sleep(min(float(retry_after), MAX_RETRY_WAIT_S))
