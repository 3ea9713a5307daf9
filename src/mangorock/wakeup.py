"""Wakes a task from a signal handler.

A handler may run between any two steps of the program, also within another
handler, so it must not wait for a lock: whoever holds it cannot go on until
the handler returns.  `Wakeup.set` takes none.

Example::

    stop = make_wakeup()
    signal.signal(signal.SIGTERM, lambda number, frame: stop.set())
    await stop.wait()
"""

import socket

import attrs
import curio
import curio.io

READ_BYTES = 4096


@attrs.define
class Wakeup:
    """An event that a signal handler may set; one task waits for it."""

    receiver: curio.io.Socket
    sender: socket.socket
    is_set: bool = False

    def set(self):
        """Wake the waiting task."""
        self.is_set = True
        try:
            self.sender.send(b'\0')
        except BlockingIOError:
            # The bytes of earlier calls, which were not read yet, suffice.
            return

    def clear(self):
        """Forget earlier calls of `set`."""
        self.is_set = False

    async def wait(self):
        """Wait until `set` is called."""
        while not self.is_set:
            await self.receiver.recv(READ_BYTES)

    async def close(self):
        """Close the sockets; idempotent."""
        await self.receiver.close()
        self.sender.close()


def make_wakeup():
    """Return a `Wakeup`."""
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    return Wakeup(curio.io.Socket(receiver), sender)
