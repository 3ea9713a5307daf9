"""Keeps to the limits on requests that backend servers state.

A server in need states in its responses how many requests a second it takes
from all VMs together.  The VMs share that without a call for each request,
for any number of VMs and any limit:

- Time is divided into turns, by the time of day.  In each turn the limit of a
  server belongs to a few VMs, which follow from a hash over the names of the
  VMs: all that have the same list come to the same result.
- A turn is divided into slots of 1 / limit seconds, which go round among these
  VMs.  In each of its slots a VM may send one request; it keeps the last
  `MAX_KEPT_SLOTS` that it has not used, within a turn.

So a share of less than one request in a turn is no request in most turns.
Clocks and lists that differ a little give a little more than the limit; a VM
that is gone leaves its slots unused.

A VM learns of a limit, and of its end, from a response or from another VM.
Once in a turn one VM tells the others, for those that have started since.  A
server that ends its limit is known to all VMs within a moment, so those that
did not hear it themselves use it again one after the other.

This is a state machine without clocks or sockets; ``unix_s`` is the time of
day.

Example::

    limits = RateLimits('vm-1')
    limits.set_vms(['vm-1', 'vm-2'])
    limits.on_answer(server, 2.0, sent_s, unix_s)     # LimitChange.STATED
    limits.take(server, unix_s)                       # may it be sent now?
"""

import enum
import math

import attrs

from mangorock import membership

# Much longer than the clocks of the VMs differ.
TURN_S = 5.0
# A server that states less, or 0, gets so many requests a second, as it can
# say only in responses that its limit has ended.
MIN_PER_S = 1 / 60
MAX_PER_S = 1e6  # Messages between VMs hold no larger figure.
# VMs that share a server in a turn have this many slots in it on average, so
# that their requests come more regularly than the turns.
SLOTS_PER_TURN = 5
# Requests do not come as regularly as slots.
MAX_KEPT_SLOTS = 2
# A VM that hears from another one that a limit has ended uses the server
# again after a part of this time.
RETURN_S = 2.0
# A change by a smaller share of a limit is not told to the other VMs.
NOTABLE_CHANGE = 0.1


class LimitChange(enum.Enum):
    """What a response changed."""

    STATED = 'stated'
    ENDED = 'ended'
    INVALID = 'invalid'


@attrs.define
class Limit:
    """What is known of the limit of one server.

    ``stated_s`` is when it was last stated to this VM or others.
    ``ends_at_s`` is when the limit ends, if that is known.  Both are times of
    day.  ``taken`` is the turn and the number of the last slot that this VM
    used, ``told_turn`` the turn in which the other VMs were last told.
    """

    per_s: float
    stated_s: float
    taken: tuple | None = None
    ends_at_s: float = math.inf
    told_turn: int | None = None

    @property
    def used_per_s(self):
        """Return the requests a second that the VMs send."""
        return max(MIN_PER_S, self.per_s)

    @property
    def turn_s(self):
        """Return the length of a turn, which has one slot at least."""
        return max(TURN_S, 1.0 / self.used_per_s)

    def turn(self, unix_s):
        """Return the number of the turn at a time of day."""
        return int(unix_s // self.turn_s)

    def sharers(self, vm_count):
        """Return among how many VMs the slots of a turn go round."""
        slots = self.used_per_s * self.turn_s
        return max(1, min(vm_count, int(slots / SLOTS_PER_TURN)))


def bound_per_s(stated):
    """Return the limit that a figure stands for, None for no valid one."""
    if stated is None or not math.isfinite(stated) or stated < 0:
        return None
    return min(stated, MAX_PER_S)


@attrs.define
class RateLimits:
    """The limits of all servers, and this VM's slots.

    ``vms`` has the names of all VMs, that of this one included, and is empty
    until they are known; ``vm_count`` of them are assumed then.  ``owners``
    caches the VMs that have the slots of a server, by turn.
    """

    vm: str = ''
    vm_count: int = 1
    vms: tuple = ()
    limits: dict = attrs.field(factory=dict)
    owners: dict = attrs.field(factory=dict)

    def set_vms(self, vms):
        """Replace the names of the VMs."""
        found = tuple(sorted({*vms, self.vm}))
        if found != self.vms:
            self.vms = found
            self.owners.clear()

    def on_answer(self, server, stated, sent_s, unix_s):
        """Record what a server says in a response to this VM.

        ``stated`` is the limit in requests a second, None if it names none.
        The request was sent at ``sent_s``: a response that was under way
        when a limit was stated does not end it.  Returns a `LimitChange` if
        the other VMs are to be told or the figure is no limit, else None.
        """
        known = self._known(server, unix_s)
        if stated is None:
            if known is None or sent_s <= known.stated_s:
                return None
            del self.limits[_key(server)]
            return LimitChange.ENDED
        stated = bound_per_s(stated)
        if stated is None:
            return LimitChange.INVALID
        before = None if known is None else known.per_s
        known = self._state(server, stated, unix_s)
        turn = known.turn(unix_s)
        if not _differs(before, stated):
            is_teller = self._owners(server, known, turn)[0] == self.vm
            if known.told_turn == turn or not is_teller:
                return None
        known.told_turn = turn
        return LimitChange.STATED

    def on_told(self, server, stated, unix_s, part):
        """Record what another VM heard of a server, None for no limit.

        ``part`` from 0 to 1 says when in `RETURN_S` this VM uses a server
        again whose limit has ended.
        """
        if stated is None:
            known = self._known(server, unix_s)
            if known is not None:
                ends_at_s = unix_s + part * RETURN_S
                known.ends_at_s = min(known.ends_at_s, ends_at_s)
        else:
            known = self._state(server, stated, unix_s)
            known.told_turn = known.turn(unix_s)

    def _state(self, server, per_s, unix_s):
        known = self.limits.get(_key(server))
        if known is None:
            known = self.limits[_key(server)] = Limit(per_s, unix_s)
        known.per_s, known.stated_s = per_s, unix_s
        known.ends_at_s = math.inf
        return known

    def _known(self, server, unix_s):
        """Return the `Limit` of a server, None if it has none now."""
        if not self.limits:
            return None
        known = self.limits.get(_key(server))
        if known is not None and known.ends_at_s <= unix_s:
            del self.limits[_key(server)]
            return None
        return known

    def is_limited(self, server, unix_s):
        """Say whether a server has a limit."""
        return self._known(server, unix_s) is not None

    def may_send(self, server, unix_s):
        """Say whether this VM may send a server a request now."""
        known = self._known(server, unix_s)
        if known is None:
            return True
        return self._free_slot(server, known, unix_s) is not None

    def take(self, server, unix_s):
        """Use this VM's slot for a request; return whether it has one."""
        known = self._known(server, unix_s)
        if known is None:
            return True
        slot = self._free_slot(server, known, unix_s)
        if slot is None:
            return False
        known.taken = known.turn(unix_s), slot
        return True

    def _free_slot(self, server, known, unix_s):
        """Return the number of the first slot kept for this VM, or None."""
        turn = known.turn(unix_s)
        owners = self._owners(server, known, turn)
        if self.vm not in owners:
            return None
        rank = owners.index(self.vm)
        now_slot = int((unix_s - turn * known.turn_s) * known.used_per_s)
        newest = now_slot - (now_slot - rank) % len(owners)
        slot = max(rank, newest - (MAX_KEPT_SLOTS - 1) * len(owners))
        if known.taken is not None and known.taken[0] == turn:
            slot = max(slot, known.taken[1] + len(owners))
        return slot if slot <= newest else None

    def _names(self):
        """Return the names of all VMs, made-up ones for unknown VMs."""
        if self.vms:
            return self.vms
        return self.vm, *range(1, self.vm_count)

    def _owners(self, server, known, turn):
        names = self._names()
        count = known.sharers(len(names))
        # Of this turn and the next.
        cached = self.owners.setdefault(_key(server), {})
        if turn not in cached or cached[turn][0] != count:
            for old in [t for t in cached if abs(t - turn) > 1]:
                del cached[old]
            name = f'{server.server_id}/{server.started_ms}/{turn}'
            cached[turn] = count, membership.rank(name, names)[:count]
        return cached[turn][1]

    def wait_s(self, server, unix_s):
        """Return the time until this VM may send a request, 0 for now.

        Beyond the next turn it is the mean time, as the list of VMs may
        change until then.
        """
        known = self._known(server, unix_s)
        if known is None or self.may_send(server, unix_s):
            return 0.0
        turn, per_s = known.turn(unix_s), known.used_per_s
        for number in (turn, turn + 1):
            owners = self._owners(server, known, number)
            if self.vm not in owners:
                continue
            begin_s, slot = number * known.turn_s, owners.index(self.vm)
            passed = (unix_s - begin_s) * per_s - slot
            if passed >= 0:
                slot += (int(passed / len(owners)) + 1) * len(owners)
            if slot / per_s < known.turn_s:
                return max(0.0, begin_s + slot / per_s - unix_s)
        vm_count = len(self._names())
        return vm_count / known.sharers(vm_count) * known.turn_s

    def queue_wait_s(self, servers, ahead, unix_s):
        """Return the time until a request may be sent to one of ``servers``.

        ``ahead`` requests go before it.  It is 0 unless all have limits.
        """
        if not servers:
            return 0.0
        share_per_s, first_s = 0.0, math.inf
        for server in servers:
            known = self._known(server, unix_s)
            if known is None:
                return 0.0
            first_s = min(first_s, self.wait_s(server, unix_s))
            owners = self._owners(server, known, known.turn(unix_s))
            sharers = len(owners) if self.vm in owners else len(self._names())
            share_per_s += known.used_per_s / max(1, sharers)
        return first_s + ahead / share_per_s

    def forget(self, servers):
        """Drop the limits of servers other than these."""
        keys = {_key(server) for server in servers}
        for key in self.limits.keys() - keys:
            del self.limits[key]
        for key in self.owners.keys() - self.limits.keys():
            del self.owners[key]


def _differs(before, stated):
    if before is None:
        return True
    return abs(stated - before) > NOTABLE_CHANGE * before


def _key(server):
    return server.server_id, server.started_ms, server.address
