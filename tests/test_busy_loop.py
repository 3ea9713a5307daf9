"""Tests of a VM whose event loop has far more to do than it can."""

import socket
import threading
import time
import unittest
from unittest import mock

import curio
import orjson

from mangorock import client
from mangorock import mirror
from mangorock import sockets
from tests import fleet

# The tasks that are always ready, and for how long each runs at a time.
BUSY_TASKS = 12
BUSY_S = 0.005
ANSWER_BYTES = 160 << 10
# What may be on the way to the VM at a time, and how long that takes.
WINDOW_BYTES = 4096
ROUND_TRIP_S = 0.004
# A change must be in force within 2 s, of which 0.8 s pass before the watch.
READ_S = 1.0


async def keep_busy():
    """Be ready in each turn of the loop, and run for some time."""
    while True:
        until_s = time.monotonic() + BUSY_S
        while time.monotonic() < until_s:
            pass
        await curio.sleep(0)


class LargeAnswer:
    """A store in a thread of its own, behind a link with small windows."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES
        )
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        row = {'key': 'op/config', 'revision': 7, 'value': 'A' * ANSWER_BYTES}
        self.body = orjson.dumps({'events': [row], 'storeRevision': 7})
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with sock:
                sock.recv(65536)
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                data = head % len(self.body) + self.body
                for start in range(0, len(data), WINDOW_BYTES):
                    sock.sendall(data[start : start + WINDOW_BYTES])
                    time.sleep(ROUND_TRIP_S)
                sock.recv(1)

    def close(self):
        """Accept no more connections."""
        self.listener.close()


class BusyLoop(unittest.TestCase):
    """What the store says is read however much the callers ask for."""

    def test_change_is_read_in_time_beside_too_many_requests(self):
        # Guards against a large answer that is read one piece a turn.
        answer = LargeAnswer()
        self.addCleanup(answer.close)

        async def main():
            store = fleet.stores.Store(
                answer.address, client.Client(max_sockets=100)
            )
            for _ in range(BUSY_TASKS):
                await curio.spawn(keep_busy, daemon=True)
            began_s = time.monotonic()
            changes = await store.watch('', 1, 1.0, 10.0)
            return changes, time.monotonic() - began_s

        with mock.patch.object(sockets, 'BUFFER_BYTES', WINDOW_BYTES):
            changes, took_s = curio.run(main)
        self.assertIsInstance(changes, mirror.Changes)
        self.assertLess(took_s, READ_S)


if __name__ == '__main__':
    unittest.main()
