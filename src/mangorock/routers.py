"""Tracks the daemons that may route requests to a failure domain's engines.

An owner needs an acknowledgement from each of them before it orders a
planned change.  A daemon counts from the moment it joins until it leaves
gracefully, or until its VM, once on the platform's VM list, has been missing
from it for `REMOVAL_DELAY_S`.  Silence alone removes no daemon, since it may
be paused with a request half sent.
"""

import attrs

from mangorock import membership

# Exceeds the longest lag of the VM list plus the longest life of a connection.
REMOVAL_DELAY_S = 30.0


@attrs.define
class RouterSet:
    """The VMs of the known routers.

    ``ever_listed`` holds the VMs that the platform's list has shown,
    ``missing_since_s`` the time since which a known VM is off the list.
    """

    known: set = attrs.field(factory=set)
    ever_listed: set = attrs.field(factory=set)
    missing_since_s: dict = attrs.field(factory=dict)

    def join(self, vm):
        """Add a router."""
        self.known.add(vm)
        self.missing_since_s.pop(vm, None)

    def leave(self, vm):
        """Remove a router that has ended its last request."""
        self.known.discard(vm)

    def update_members(self, members, failure_domain):
        """Update the routers from the members of a failure domain.

        A dead member is neither added nor removed, as it may be paused.
        """
        for member in members:
            if member.failure_domain != failure_domain:
                continue
            if member.state is membership.State.LEAVING:
                self.leave(member.vm)
            elif member.state is not membership.State.DEAD:
                self.join(member.vm)

    def update_vm_list(self, vms, now):
        """Update the routers from the VM names on the platform's list."""
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
        """Return the VMs whose acknowledgement a planned change needs."""
        return frozenset(self.known)


def members_to_ask(members, failure_domain, answered, listed):
    """Return the members that a starting router has still to ask.

    It does not wait for dead members that are not on the platform's list.
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
