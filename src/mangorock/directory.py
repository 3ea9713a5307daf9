"""The other entry VMs, and which of them has a duty for all.

Every VM ranks the VMs of its region by the same hash; see ``consultation``.
"""

import ipaddress
import math

import attrs
import orjson

from mangorock import address as addresses
from mangorock import logs
from mangorock import membership

# Consecutive timeouts, since datagrams get lost, after which a VM is skipped,
# and for how long.
MAX_TIMEOUTS = 2
SKIP_S = 2.0
# VMs with less than this share of the largest VM's cores do not schedule,
# because one VM serves all.
MIN_CAPACITY_SHARE = 0.5


@attrs.frozen
class Peer:
    """An entry VM; ``address`` is (host, port), ``capacity`` its cores."""

    vm: str
    region: str
    address: tuple
    capacity: float = 1.0


def encode_peer(peer):
    """Return the value that a VM stores in its key to announce itself."""
    return orjson.dumps([peer.region, *peer.address, peer.capacity])


def decode_peer(item):
    """Return the `Peer` in a VM's key, or None if it has no valid address."""
    if not item.value:
        return None
    vm = item.key.rpartition('/')[2]
    try:
        region, host, port, capacity = orjson.loads(item.value)
        ipaddress.IPv4Address(host)
        capacity = float(capacity)
        if not 0.0 < capacity < math.inf:
            raise ValueError('the capacity is not above 0')
        return Peer(
            vm, str(region), (host, addresses.check_port(port)), capacity
        )
    except (ValueError, TypeError, RecursionError) as exc:
        logs.warning('vm_malformed', key=item.key, error=repr(exc))
        return None


@attrs.define
class Directory:
    """The peers of this VM, and which of them schedules; a state machine.

    ``me`` is this VM's own `Peer`, ``all_peers`` are all others, ``peers`` are
    those of the region that may schedule, possibly including this VM.
    """

    me: Peer
    all_peers: list = attrs.field(factory=list)
    peers: dict = attrs.field(factory=dict)
    timeouts: dict = attrs.field(factory=dict)
    skipped_until_s: dict = attrs.field(factory=dict)

    def update_peers(self, peers):
        """Replace the known VMs; the list may include this one."""
        self.all_peers = [peer for peer in peers if peer.vm != self.me.vm]
        near = [peer for peer in peers if peer.region == self.me.region]
        largest = max(peer.capacity for peer in [self.me, *near])
        self.peers = {
            peer.vm: peer
            for peer in [*near, self.me]
            if peer.capacity >= MIN_CAPACITY_SHARE * largest
        }

    def scheduler_of(self, service, now):
        """Return the `Peer` that schedules, or None if this VM does."""
        return self._peer(self._ranked(service, now)[0])

    def stage_controller_of(self, service, now):
        """Return the `Peer` that is ranked second, or None for this VM.

        It orders the stage changes.  If only one VM may schedule, it does
        both.
        """
        return self._peer(self._ranked(service, now)[:2][-1])

    def ranked_peers(self, subject, now, count):
        """Return the first ``count`` VMs for a subject, None for this VM."""
        return [self._peer(vm) for vm in self._ranked(subject, now)[:count]]

    def _ranked(self, service, now):
        vms = [
            vm for vm in self.peers if self.skipped_until_s.get(vm, 0.0) <= now
        ]
        return membership.rank(service, vms) or [self.me.vm]

    def _peer(self, vm):
        return None if vm == self.me.vm else self.peers[vm]

    def on_reply(self, vm):
        """Reset the timeout count of a VM that replied."""
        self.timeouts.pop(vm, None)

    def on_timeout(self, vm, now):
        """Count a missing reply; skip the VM for a while if they repeat."""
        count = self.timeouts.pop(vm, 0) + 1
        if count < MAX_TIMEOUTS:
            self.timeouts[vm] = count
        else:
            self.skipped_until_s[vm] = now + SKIP_S
