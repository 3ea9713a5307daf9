"""Tests how prompt parts that crash engines are recognised and refused."""

import unittest

import curio
import h11

from mangorock import http
from tests import fleet
from tests import workers

#: Part of a response: the worker crashes.
CRASH = object()
RESTART_S = 0.4
PART = 'dead'


class CrashingWorker(workers.Worker):
    """An engine that crashes when it begins an answer on `PART`.

    All of its connections are reset and new ones are refused until it is
    back as a new incarnation.
    """

    def __init__(self, name, store):
        super().__init__(name, 'llm', self.answer)
        self.store = store
        self.crashes = 0
        self.sockets = []
        self.restarts = []

    def answer(self, request):
        """Return the parts of the response, the last of which may be a crash.

        The crash follows the first event, so that some of the answer may
        have been received.
        """
        if PART not in request.headers['x-prompt-prefix']:
            return workers.stream_response(request)
        chunked = b'Transfer-Encoding: chunked'
        head = workers.response_head(request, chunked)
        return [head + workers.event_chunks(1, 1), 0.02, CRASH]

    async def _serve(self, sock):
        self.sockets.append(sock)
        await super()._serve(sock)

    async def _send_response(self, sock, parts):
        if isinstance(parts, list) and parts[-1] is CRASH:
            if await super()._send_response(sock, parts[:-1]):
                await self.crash()
            return False
        return await super()._send_response(sock, parts)

    async def crash(self):
        """Close the listener and all connections, and restart later."""
        self.crashes += 1
        await self.close()
        for sock in self.sockets:
            fleet.shut_down(sock)
        self.sockets = []
        self.restarts.append(await curio.spawn(self._restart, daemon=True))

    async def _restart(self):
        await curio.sleep(RESTART_S)
        self.born += 1
        sock = http.listen('127.0.0.1', self.port)
        self.tasks.append(await curio.spawn(self._accept, sock, daemon=True))
        self.store.put(f'servers/{self.name}', self.entry())


class CrashingFleet(fleet.Fleet):
    """A fleet whose engines crash on requests with `PART`."""

    def __init__(self, count):
        super().__init__()
        for number in range(count):
            worker = CrashingWorker(f'w{number}', self.store)
            self.workers += (worker,)
            self.store.put(f'servers/{worker.name}', worker.entry())

    @property
    def crashes(self):
        """Return the number of crashes of all engines."""
        return sum(worker.crashes for worker in self.workers)

    @property
    def arrivals(self):
        """Return how often requests with the part reached an engine."""
        return sum(
            PART in request.headers['x-prompt-prefix']
            for worker in self.workers
            for request in worker.received
        )

    async def ask(self, part):
        """Send a request with a shared part; return its status.

        The status is that of the head, 0 if there is none.
        """
        parts = f'aa:55,{part}:100,own{self.request_count}:145'
        exchange = await self.open()
        request_headers = self.request_headers(
            *fleet.prompt_headers(prefix_parts=parts)
        )
        try:
            await exchange.send('GET', '/read/', request_headers, b'')
            await exchange.read()
        except (OSError, h11.ProtocolError):
            return 0
        finally:
            await self.client.discard(exchange)
        return exchange.status


class RequestsThatCrashEngines(unittest.TestCase):
    """Engines that crash on a part of a prompt, behind a front."""

    def test_part_that_crashes_engines_stops_reaching_them(self):
        """Each request with the part crashed an engine, and then another.

        After five crashes and the time in which all VMs react, at most three
        more may reach an engine, while sound requests with the same first
        part are served.
        """

        async def main():
            async with CrashingFleet(6) as cluster:
                while cluster.crashes < 5:
                    await cluster.ask(PART)
                    await curio.sleep(RESTART_S / 2)
                    if cluster.request_count > 40:
                        break
                await curio.sleep(cluster.settings.stable_s)
                before, served = cluster.arrivals, 0
                for number in range(10):
                    await cluster.ask(PART)
                    served += await cluster.ask(f'ok{number}') == 200
                    await curio.sleep(RESTART_S / 4)
                self.assertLessEqual(cluster.arrivals - before, 3)
                self.assertGreaterEqual(served, 9)

        curio.run(main)
