"""Bounds the memory of the answers that a process is reading whole.

A limit on each answer bounds nothing where many servers, or one server on
many connections, send without end.  `Buffers` knows the size of every answer
that is being read, and cuts off the longest one where the sum is too large:
those of sound servers are short, or at least end.

Example::

    buffers = Buffers(max_bytes=60_000_000)
    buffers.add(exchange, 65536)
    buffers.remove(exchange)
"""

import attrs

from mangorock import logs

DEFAULT_MAX_BYTES = 64 << 20


@attrs.define
class Buffers:
    """The bytes that are held of each answer, and their sum.

    The keys of ``held_bytes`` have ``address`` and ``cut()``, which drops
    the bytes and ends the answer.
    """

    max_bytes: int = DEFAULT_MAX_BYTES
    total_bytes: int = 0
    held_bytes: dict = attrs.field(factory=dict)

    def add(self, exchange, count):
        """Count ``count`` more bytes, and cut answers off if needed."""
        self.held_bytes[exchange] = self.held_bytes.get(exchange, 0) + count
        self.total_bytes += count
        while self.total_bytes > self.max_bytes:
            longest = max(self.held_bytes, key=self.held_bytes.get)
            logs.warning(
                'answer_cut_off',
                server=longest.address,
                bytes=self.held_bytes[longest],
                total_bytes=self.total_bytes,
                remedy='look for a server that sends without end',
            )
            self.remove(longest)
            longest.cut()

    def remove(self, exchange):
        """Count an answer no more; one that is not counted is ignored."""
        self.total_bytes -= self.held_bytes.pop(exchange, 0)
