"""A caller's connection and what the process holds for it.

The sizes go to the account of memory (`buffers.Buffers`), which cuts the
connection off if it has to: a request that was not read whole is refused as
not run, an answer that is not taken is reset, an idle connection is closed.
"""

import fcntl
import socket
import struct
import termios

import attrs
import h11

from mangorock import buffers
from mangorock import sockets

# Closes a connection with a reset, so that a truncated answer cannot look
# complete.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Memory of the objects of an idle connection, and of an open request.
CONNECTION_BYTES = 8192
REQUEST_BYTES = 16384
# Memory of bytes that are received: a body that grows is allocated with room
# for more, and text is copied before it is parsed.
BODY_FACTOR = 1.125
TEXT_FACTOR = 2
# Read at once, and while memory is short.
READ_BYTES = 65536
TIGHT_READ_BYTES = 4096
# Shorter pieces of an answer are not counted: counting would cost more time
# than the memory is worth.
MIN_COUNTED_BYTES = 4096
# Longer than a caller's first request takes to follow its connection.
MIN_IDLE_S = 0.2


@attrs.define(eq=False)
class Connection:
    """A caller's connection, and since when it waits for a request.

    ``reply`` is that of the request that is being handled, or None.  ``body``
    is what has been read of one that is not complete.  ``is_cut`` is set
    once the connection has to end.
    """

    sock: object
    conn: h11.Connection
    waits_since_s: float
    account: buffers.Buffers
    reply: object = None
    body: bytearray = attrs.field(factory=bytearray)
    head_bytes: int = 0
    served_bytes: int = 0
    is_cut: bool = False
    kind: buffers.Kind = buffers.Kind.CONNECTION

    def is_idle(self, now):
        """Say whether nothing has come for `MIN_IDLE_S`."""
        return (
            self.conn.our_state is h11.IDLE
            and now - self.waits_since_s >= MIN_IDLE_S
            and not self.conn.trailing_data[0]
            and sockets.is_connection_idle(self.sock)
        )

    @property
    def address(self):
        """Return the name for log lines."""
        return 'caller'

    @property
    def next_read_bytes(self):
        """Return how much to read at once."""
        return TIGHT_READ_BYTES if self.account.is_tight else READ_BYTES

    @property
    def must_wait(self):
        """Say whether nothing more should be read from this caller now."""
        return not self.is_cut and self.account.must_wait(self)

    def begin_cycle(self, now):
        """Wait for a request from now on."""
        self.waits_since_s = now
        self.body, self.head_bytes, self.served_bytes = bytearray(), 0, 0

    def read(self, pending_bytes, new_bytes=0):
        """Count what has been received of a request.

        ``new_bytes`` have just come, ``pending_bytes`` before and are not
        parsed yet.
        """
        received = len(self.body) + self.head_bytes + pending_bytes + new_bytes
        kind = buffers.Kind.CONNECTION
        if received:
            kind = buffers.Kind.READING
        self._hold(CONNECTION_BYTES + received, kind)
        self.account.on_moved(self, new_bytes)

    def serve(self, body_bytes):
        """Count a complete request, which takes more once it is served.

        It may be cut off by that, but not afterwards as one that is read.
        """
        self.body = bytearray()
        pending_bytes = len(self.conn.trailing_data[0])
        self.served_bytes = (
            REQUEST_BYTES + body_bytes + self.head_bytes + pending_bytes
        )
        self._hold(self.served_bytes, buffers.Kind.READING)
        self._hold(self.served_bytes, buffers.Kind.SERVING)

    def begin_write(self, count):
        """Count a piece of an answer until `end_write`."""
        if count > MIN_COUNTED_BYTES:
            self._hold(self.served_bytes + count, buffers.Kind.WRITING)

    def on_written(self, count):
        """Note that the caller has taken bytes of an answer."""
        self.account.on_moved(self, count)

    def end_write(self):
        """Count no piece of an answer."""
        if self.kind is buffers.Kind.WRITING:
            self._hold(self.served_bytes, buffers.Kind.SERVING)

    def count_unread(self):
        """Count the bytes of this connection that the kernel holds."""
        if self.is_cut:
            return
        count = 0
        try:
            for request in (termios.FIONREAD, termios.TIOCOUTQ):
                answer = fcntl.ioctl(self.sock.fileno(), request, b'\0' * 4)
                count += int.from_bytes(answer, 'little')
        except (OSError, ValueError):
            # The connection was closed meanwhile.
            return
        self.account.set_unread(self, count)

    def close(self):
        """Count nothing any more."""
        self.is_cut = True
        self.account.remove(self)

    def _hold(self, size, kind):
        if self.is_cut:
            return
        self.kind = kind
        self.account.set(self, size, kind)

    def cut(self):
        """Drop the bytes and end the connection; a pending read returns.

        The answer to a request that was not read whole can still be written.
        """
        self.is_cut = True
        self.body.clear()
        how = socket.SHUT_RDWR
        if self.kind is buffers.Kind.READING:
            how = socket.SHUT_RD
        elif self.kind is not buffers.Kind.CONNECTION:
            self.reset_on_close()
        try:
            self.sock._socket.shutdown(how)
        except OSError:
            # The caller has closed it.
            return

    def reset_on_close(self):
        """Have the connection reset when it is closed."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
