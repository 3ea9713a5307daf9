"""The adapter to the platform: key-value service, leases and VM list.

Only this module depends on the platform's wire format; ``docs/adapters.rst``
states what it requires of the platform.  Answers are typed; a write whose
answer was lost raises `errors.OutcomeUnknown`, and one that was certainly
not applied raises `errors.PlatformUnavailable`.
"""

import urllib.parse

import attrs
import curio
import curio.errors
import h11
import orjson

from mangorock import errors

CALL_TIMEOUT_S = 3.0


@attrs.frozen
class Entry:
    """A key's text ``value`` and its ``version``, 0 if there is no key.

    Versions increase across all keys of the service, so the version that
    a write received can serve as a fencing token.
    """

    value: str
    version: int


@attrs.frozen
class Vm:
    """A row of the platform's VM list; ``state`` is live or leaving."""

    name: str
    failure_domain: str
    state: str
    kind: str
    peer_address: str = ''


@attrs.define
class Platform:
    """A client of the platform's service at ``address``.

    ``calls`` counts the calls made.
    """

    address: str
    client: object
    token: str = ''
    calls: int = 0

    async def get(self, key):
        """Return the `Entry` of ``key``."""
        status, body = await self._read('GET', f'/kv/{_quote(key)}')
        if status == 404:
            return Entry('', 0)
        return _parse_entry(_parse_reply(status, body))

    async def list_keys(self, prefix):
        """Return a dict of key to `Entry` for the keys under ``prefix``."""
        path = f'/keys?prefix={_quote(prefix)}'
        data = _parse_reply(*await self._read('GET', path))
        return {key: _parse_entry(found) for key, found in data.items()}

    async def compare_and_swap(self, key, value, expected, lease=''):
        """Write ``value`` if ``key`` is at version ``expected``.

        Returns ``(True, new version)`` or ``(False, current version)``.
        Raises `errors.OutcomeUnknown` if the answer was lost.
        """
        body = {'value': value, 'expected': expected, 'lease': lease}
        path = f'/kv/{_quote(key)}'
        status, data = await self._write('PUT', path, body)
        return status == 200, data['version']

    async def delete(self, key, expected):
        """Delete ``key`` if at version ``expected``; return whether it was."""
        path = f'/kv/{_quote(key)}?expected={expected}'
        status, _ = await self._write('DELETE', path, None)
        return status == 200

    async def watch(self, key, after, wait_s):
        """Return the `Entry` as soon as its version exceeds ``after``.

        Returns the unchanged entry after ``wait_s`` seconds.
        """
        path = f'/watch/{_quote(key)}?after={after}&wait_s={wait_s}'
        status, body = await self._read('GET', path, wait_s)
        if status == 404:
            return Entry('', 0)
        return _parse_entry(_parse_reply(status, body))

    async def grant_lease(self, ttl_s):
        """Create a lease of ``ttl_s`` seconds and return its id."""
        _, data = await self._write('POST', '/leases', {'ttl_s': ttl_s})
        return data['lease']

    async def keep_lease(self, lease):
        """Renew a lease; return ``False`` if it has lapsed."""
        status, _ = await self._write('POST', f'/leases/{lease}', {})
        return status == 200

    async def revoke_lease(self, lease):
        """End a lease, which removes the keys that are attached to it."""
        await self._write('DELETE', f'/leases/{lease}', None)

    async def list_vms(self):
        """Return the list of live and leaving VMs, which may be outdated."""
        data = _parse_reply(*await self._read('GET', '/vms'))
        return tuple(Vm(**row) for row in data)

    async def _read(self, method, path, wait_s=0.0):
        self.calls += 1
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S + wait_s):
                return await self.client.call(
                    self.address, method, path, self._headers()
                )
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            raise errors.PlatformUnavailable(
                f'the platform at {self.address} did not answer ({exc!r}); '
                'check it, the daemon continues with its last known state'
            )

    async def _write(self, method, path, data):
        self.calls += 1
        body = b'' if data is None else orjson.dumps(data)
        try:
            exchange = await self.client.open(self.address, True)
        except OSError as exc:
            raise errors.PlatformUnavailable(
                f'no connection to the platform at {self.address} '
                f'({exc!r}); check it and try again'
            )
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                await exchange.send(method, path, self._headers(), body)
                status, answer = exchange.status, await exchange.read()
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            raise errors.OutcomeUnknown(
                f'the answer to {method} {path} was lost ({exc!r}); read '
                'the value back to learn whether it took effect'
            )
        finally:
            await self.client.discard(exchange)
        if status >= 500:
            raise errors.PlatformUnavailable(
                f'the platform refused {method} {path} with {status}; try '
                'again later'
            )
        return status, orjson.loads(answer)

    def _headers(self):
        if not self.token:
            return []
        return [('authorization', f'Bearer {self.token}')]


def _quote(key):
    return urllib.parse.quote(key, safe='')


def _parse_reply(status, body):
    if status != 200:
        raise errors.PlatformUnavailable(
            f'the platform answered {status}; try again later'
        )
    return orjson.loads(body)


def _parse_entry(data):
    return Entry(data['value'], data['version'])
