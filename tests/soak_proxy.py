"""A loopback TCP proxy that injects network faults into the soak test."""

import random
import socket
import struct

import attrs
import curio

from mangorock import http

MODES = ('fine', 'delay', 'silence', 'one_way', 'refuse')
DELAY_S = 0.15
NARROW_BYTES_PER_S = 60_000
READ_BYTES = 65536


@attrs.define
class Proxy:
    """Forwards connections to ``target``, a (host, port).

    ``mode`` applies to open and new connections: ``delay`` delays each chunk
    of data, ``narrow`` carries few bytes a second, ``silence`` stops
    forwarding in both directions and ``one_way`` from the server to the
    client, both without closing the connection; ``refuse`` resets new
    connections.
    """

    target: tuple
    mode: str = 'fine'
    port: int = 0
    sockets: set = attrs.field(factory=set)
    tasks: list = attrs.field(factory=list)

    async def start(self):
        """Listen on a free loopback port."""
        sock = http.listen('127.0.0.1', 0)
        self.port = sock.getsockname()[1]
        self.tasks.append(await curio.spawn(self._accept, sock, daemon=True))

    async def close(self):
        """Stop listening and reset the open connections."""
        while self.tasks:
            await self.tasks.pop().cancel()
        self.reset(1.0, random.Random(0))

    def reset(self, share, rng):
        """Reset each open socket with the probability ``share``."""
        for sock in list(self.sockets):
            if rng.random() < share:
                self._reset(sock)

    @staticmethod
    def _reset(sock):
        try:
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            with sock.blocking() as blocking_sock:
                blocking_sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The socket was closed in the meantime.
            return

    async def _accept(self, sock):
        async with sock:
            while True:
                accepted, _ = await sock.accept()
                await curio.spawn(self._serve, accepted, daemon=True)

    async def _serve(self, client_sock):
        server_sock = None
        if self.mode == 'refuse':
            self._reset(client_sock)
            await client_sock.close()
            return
        try:
            server_sock = await curio.open_connection(*self.target)
        except OSError:
            await client_sock.close()
            return
        self.sockets |= {client_sock, server_sock}
        response_task = await curio.spawn(
            self._copy, server_sock, client_sock, True, daemon=True
        )
        await self._copy(client_sock, server_sock, False)
        await response_task.join()
        self.sockets -= {client_sock, server_sock}
        await client_sock.close()
        await server_sock.close()

    async def _copy(self, source, destination, is_response):
        try:
            while True:
                data = await source.recv(READ_BYTES)
                if not data:
                    break
                if self.mode == 'narrow':
                    await curio.sleep(len(data) / NARROW_BYTES_PER_S)
                if self.mode == 'delay':
                    await curio.sleep(DELAY_S)
                while self.mode == 'silence' or (
                    self.mode == 'one_way' and is_response
                ):
                    await curio.sleep(0.02)
                await destination.sendall(data)
            await destination.shutdown(socket.SHUT_WR)
        except OSError:
            # One side failed, so the connection to the other is of no use.
            self._reset(destination)
