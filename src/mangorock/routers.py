"""Which daemons of a failure domain may be routing to its engines.

An owner must have an acknowledgement of each of them before it orders a
planned change.  A daemon counts from the moment it joins, and until it has
left gracefully or the platform's list, having shown its VM, has not shown
it for `REMOVAL_DELAY_S`: a silent daemon may be paused with a request half
sent.
"""

import attrs

from mangorock import membership

# Longer than the VM list may lag, plus the longest life of a connection.
REMOVAL_DELAY_S = 30.0


@attrs.define
class RouterSet:
    """The routers known, and since when each is off the VM list."""

    known: set = attrs.field(factory=set)
    ever_listed: set = attrs.field(factory=set)
    missing_since_s: dict = attrs.field(factory=dict)

    def join(self, vm):
        """Count a router in."""
        self.known.add(vm)
        self.missing_since_s.pop(vm, None)

    def leave(self, vm):
        """Count out a router that has ended its last request."""
        self.known.discard(vm)

    def update_members(self, members, failure_domain):
        """Take the daemons of a failure domain as membership knows them.

        A dead one is neither joined nor left: it may be paused.
        """
        for member in members:
            if member.failure_domain != failure_domain:
                continue
            if member.state is membership.State.LEAVING:
                self.leave(member.vm)
            elif member.state is not membership.State.DEAD:
                self.join(member.vm)

    def update_vm_list(self, vms, now):
        """Take the names on the platform's list."""
        names = set(vms)
        self.ever_listed |= names
        for vm in list(self.known):
            if vm in names:
                self.missing_since_s.pop(vm, None)
            elif vm in self.ever_listed:
                self.missing_since_s.setdefault(vm, now)
                if now - self.missing_since_s[vm] >= REMOVAL_DELAY_S:
                    self.known.discard(vm)
                    del self.missing_since_s[vm]

    def current(self):
        """Return the VMs whose acknowledgement is needed."""
        return frozenset(self.known)


def members_to_ask(members, failure_domain, answered, listed):
    """Return the members that a starting router must still ask.

    One that is dead and that the platform's list does not show is not
    waited for.
    """
    pending = []
    for member in members:
        if member.failure_domain != failure_domain:
            continue
        if member.vm in answered:
            continue
        is_dead = member.state is membership.State.DEAD
        if is_dead and member.vm not in listed:
            continue
        if member.state is not membership.State.LEAVING:
            pending.append(member)
    return pending
