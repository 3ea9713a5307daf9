"""The settings of the reverse proxy daemon: addresses and bounds."""

import attrs

from mangorock import budget

# Allowance for ending a silent watch, a listing, and slow VMs and calls.
WATCH_MARGIN_S = 1.6
# Bound on the retries of all VMs where the platform states none.
DEFAULT_RETRY_TERMS = budget.Terms(ratio=0.1, window_s=10.0, slack=0.0)


@attrs.frozen
class FrontSettings:
    """The settings that the daemon reads from its settings file.

    Addresses are (host, port); ``metrics_address`` may be None.
    ``grace_s`` is the time between SIGTERM and SIGKILL.  Other VMs of
    ``region`` reach this one at ``peer_address`` (None: not at all);
    ``capacity`` is its processor capacity in cores.  The platform expects
    normal operation ``stable_s`` after a disturbance: from then on a new
    configuration is in force within ``config_s``, and a draining server
    gets no new requests after ``drain_s``.  Orders of two VMs to one engine
    must be ``order_spacing_s`` apart.  ``retry_terms`` bound the retries of
    all VMs.
    """

    vm: str
    failure_domain: str
    caller_address: tuple
    ready_address: tuple
    store_address: str
    grace_s: float
    metrics_address: tuple | None = None
    peer_address: tuple | None = None
    region: str = ''
    capacity: float = 1.0
    stable_s: float = 3.0
    config_s: float = 2.0
    drain_s: float = 2.0
    order_spacing_s: float = 3.0
    retry_terms: budget.Terms = DEFAULT_RETRY_TERMS

    @property
    def watch_wait_s(self):
        """Return the longest time that a watch may wait for a change.

        If a disturbance cuts off a watch silently, it ends early enough for
        a new watch to report in time what changed meanwhile.
        """
        change_s = min(self.config_s, self.drain_s)
        return max(1.0, self.stable_s + change_s - WATCH_MARGIN_S)
