"""A simulated HTTP service that takes orders and bookings.

Run ``python -m mangorock_standins.service --port 7300``.  Each ``POST
/orders`` or ``POST /bookings`` records one side effect, also when the call is
a repeat; ``GET /control/effects`` lists all of them, so that a test can
detect requests that were executed more than once.
"""

import argparse

import curio
import orjson

from mangorock import client
from mangorock_standins import shell

PROCESSING_TIME_S = 0.01


class Server:
    """Records the side effects of all requests, in order.

    With ``store_address``, the effects are recorded by the server at that
    address, so that the servers of a fleet share one list.
    """

    def __init__(self, store_address=''):
        self.effects = []
        self.faults = shell.Faults()
        self.store_address = store_address
        self.client = client.Client()

    async def handle(self, request, responder):
        """Handle one HTTP request."""
        parts, _ = shell.split_path(request.path)
        if parts[0] == 'control':
            await self._control(parts, request, responder)
            return
        if self.faults.is_down:
            await shell.respond_json(responder, 503, {'error': 'down'})
            return
        status, data = await self._handle_call(request, parts)
        await curio.sleep(PROCESSING_TIME_S + self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise shell.ConnectionDropped('injected fault: response dropped')
        await shell.respond_json(responder, status, data)

    async def _control(self, parts, request, responder):
        match request.method, parts[1]:
            case 'POST', 'faults':
                self.faults.update(request.json())
                data = {}
            case 'POST', 'effects':
                data = self._append_effect(request.json())
            case _:
                data = self.effects
        await shell.respond_json(responder, 200, data)

    def _append_effect(self, effect):
        effect['number'] = len(self.effects) + 1
        self.effects.append(effect)
        return effect

    async def _handle_call(self, request, parts):
        if request.method == 'POST':
            effect = {
                'kind': parts[0],
                'request': request.headers.get('x-request-id', ''),
                'key': request.headers.get('idempotency-key', ''),
                'body': request.body.decode('utf-8', 'replace'),
            }
            effect = await self._store_effect(effect)
            return 201, {'number': effect['number'], 'kind': parts[0]}
        effects = await self._list_effects()
        if len(parts) == 2 and parts[1].isdigit():
            number = int(parts[1])
            if 0 < number <= len(effects):
                return 200, effects[number - 1]
        return 404, {'error': f'no {"/".join(parts)}'}

    async def _store_effect(self, effect):
        if not self.store_address:
            return self._append_effect(effect)
        _, response = await self.client.call_once(
            self.store_address,
            'POST',
            '/control/effects',
            body=orjson.dumps(effect),
        )
        return orjson.loads(response)

    async def _list_effects(self):
        if not self.store_address:
            return self.effects
        _, response = await self.client.call(
            self.store_address, 'GET', '/control/effects'
        )
        return orjson.loads(response)


def main():
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=7300)
    parser.add_argument('--store', default='')
    args = parser.parse_args()
    curio.run(shell.serve, args.port, Server(args.store).handle)


if __name__ == '__main__':
    main()
