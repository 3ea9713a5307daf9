"""Where the answers of the shared scheduler go."""

import attrs
import curio

from mangorock import messages


@attrs.frozen
class RemoteReply:
    """Where the answer to another VM's request goes."""

    number: int
    address: tuple


@attrs.define(eq=False)
class PendingReply:
    """The answer that a request of this VM waits for."""

    event: curio.Event = attrs.field(factory=curio.Event)
    message: object = None

    async def put(self, message):
        """Pass an answer on; a late `Queued` does not replace another."""
        if self.message is None or not isinstance(message, messages.Queued):
            self.message = message
            await self.event.set()

    async def take(self, seconds):
        """Return the next answer, or None after ``seconds``."""
        async with curio.ignore_after(seconds):
            await self.event.wait()
        self.event.clear()
        message, self.message = self.message, None
        return message
