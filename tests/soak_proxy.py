"""A loopback proxy of the soak that harms the connections through it."""

import random
import socket
import struct

import attrs
import curio

from mangorock import http

MODES = ('fine', 'delay', 'silence', 'one_way', 'refuse')
DELAY_S = 0.15
READ_BYTES = 65536


@attrs.define
class Proxy:
    """Forwards connections to ``target``, a (host, port).

    ``mode`` holds for old and new connections: ``delay`` holds each piece
    back, ``silence`` and ``one_way`` (answers only) keep what comes without
    a reset, ``refuse`` resets new ones.
    """

    target: tuple
    mode: str = 'fine'
    port: int = 0
    socks: set = attrs.field(factory=set)
    tasks: list = attrs.field(factory=list)

    async def start(self):
        """Listen on a port of its own."""
        sock = http.listen('127.0.0.1', 0)
        self.port = sock.getsockname()[1]
        self.tasks.append(await curio.spawn(self._accept, sock, daemon=True))

    async def close(self):
        """Stop listening and reset what is open."""
        while self.tasks:
            await self.tasks.pop().cancel()
        self.reset(1.0, random.Random(0))

    def reset(self, share, rng):
        """Reset about this share of the open connections."""
        for sock in list(self.socks):
            if rng.random() < share:
                self._reset(sock)

    @staticmethod
    def _reset(sock):
        try:
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            with sock.blocking() as plain:
                plain.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Closed meanwhile.
            return

    async def _accept(self, sock):
        async with sock:
            while True:
                accepted, _ = await sock.accept()
                await curio.spawn(self._serve, accepted, daemon=True)

    async def _serve(self, near):
        far = None
        if self.mode == 'refuse':
            self._reset(near)
            await near.close()
            return
        try:
            far = await curio.open_connection(*self.target)
        except OSError:
            await near.close()
            return
        self.socks |= {near, far}
        back = await curio.spawn(self._pump, far, near, True, daemon=True)
        await self._pump(near, far, False)
        await back.join()
        self.socks -= {near, far}
        await near.close()
        await far.close()

    async def _pump(self, source, sink, is_answer):
        try:
            while True:
                data = await source.recv(READ_BYTES)
                if not data:
                    break
                if self.mode == 'delay':
                    await curio.sleep(DELAY_S)
                while self.mode == 'silence' or (
                    self.mode == 'one_way' and is_answer
                ):
                    await curio.sleep(0.02)
                await sink.sendall(data)
            await sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One half is gone, so the other has no use.
            self._reset(sink)
