"""A VM as a process of its own, for tests that measure it from outside."""

import pathlib
import signal

import curio
import h11

from mangorock import client as clients
from tests import fleet
from tests import soak_proxy
from tests import soak_vms
from tests import workers


class Cluster:
    """A VM in a process of its own, its store and servers, and callers.

    The server ``s1`` of the service ``desk`` is sound.
    """

    def __init__(self, folder, config, *servers):
        self.store = fleet.Store()
        self.store.put('op/config', config)
        sound = workers.Worker('s1', 'desk', workers.whole_response)
        self.servers = [sound, *servers]
        proxy = soak_proxy.Proxy(('127.0.0.1', self.store.port))
        self.vm = soak_vms.Vm(0, pathlib.Path(folder), proxy)
        self.client = clients.Client()
        self.request_count = 0

    async def __aenter__(self):
        await self.store.start()
        await self.vm.proxy.start()
        for server in self.servers:
            await server.start()
            self.store.put(f'servers/{server.name}', server.entry())
        self.vm.start()
        await self._wait_until_served()
        return self

    async def __aexit__(self, *exc):
        await self.vm.stop(signal.SIGKILL)
        await self.vm.proxy.close()
        for server in self.servers:
            await server.close()
        await self.store.close()
        await self.client.close()

    async def _wait_until_served(self):
        async with curio.timeout_after(soak_vms.START_TIMEOUT_S):
            while True:
                try:
                    if await self.request('/look/') == 200:
                        return
                except OSError:
                    # The VM does not listen yet.
                    pass
                await curio.sleep(0.05)

    async def request(self, path, deadline_ms=1400):
        """Send a request on a new connection; return the status, or 0."""
        exchange = await self.client.open(self.vm.address, True)
        self.request_count += 1
        headers = [
            ('host', fleet.HOST),
            ('x-request-id', f'r{self.request_count}'),
            ('x-deadline-ms', str(deadline_ms)),
            *fleet.prompt_headers(),
        ]
        try:
            await exchange.send('GET', path, headers, b'')
            status = exchange.status
            await exchange.read()
            return status
        except (ConnectionResetError, h11.ProtocolError):
            return 0
        finally:
            await self.client.discard(exchange)
