"""Calls to the platform's API that one VM at a time makes as a duty.

Example::

    api = PlatformApi('10.0.0.9:8608', 'vm-1', client, wire)
    end = await api.call(UsageReport(353445120, {'acme': 412}), fence=12)
"""

import enum

import attrs
import curio
import curio.errors
import h11

from mangorock import logs

CALL_TIMEOUT_S = 1.0  # The API responds within milliseconds.


class CallEnd(enum.Enum):
    """The outcome of a call.

    ``CONFLICT`` says that a higher fencing token was seen, or that servers
    which were ordered are not available.  After ``UNKNOWN`` the call may
    still be carried out, seconds later.
    """

    TAKEN = 'taken'
    CONFLICT = 'conflict'
    LIMITED = 'limited'
    UNKNOWN = 'unknown'


@attrs.frozen
class UsageReport:
    """The requests that began in window number ``window``, by account."""

    window: int
    counts: dict


@attrs.frozen
class ServerOrder:
    """The wanted number of servers of a kind in a failure domain."""

    service: str
    failure_domain: str
    count: int
    is_spot: bool = False


@attrs.define
class PlatformApi:
    """Makes the calls; ``wire`` encodes them and decodes the outcome.

    ``vm`` is the name of this VM, which goes with each call.
    """

    address: str
    vm: str
    client: object
    wire: object

    async def call(self, duty, fence):
        """Send a `UsageReport` or a `ServerOrder` once; return a `CallEnd`."""
        method, path, headers, body = self.wire.encode_duty(
            duty, self.vm, fence
        )
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                status, _ = await self.client.call_once(
                    self.address, method, path, headers, body
                )
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            logs.event('duty_unanswered', path=path, error=repr(exc))
            return CallEnd.UNKNOWN
        return self.wire.decode_call_end(status)
