"""The settings of the reverse proxy daemon: addresses and bounds."""

import attrs

from mangorock import budget
from mangorock import mirror

# Part of the memory that answers which are read whole may take together.  It
# is needed twice, as a complete one is copied.
ANSWERS_MEMORY_PART = 0.2
DEFAULT_MEMORY_BYTES = 256_000_000
DEFAULT_MAX_SOCKETS = 4000
# The lease for orders lasts this many times the spacing that the orders of
# two VMs must have; no order is sent in its second half.
ORDER_LEASE_FACTOR = 2.0
# Bound on the retries of all VMs where the platform states none.
DEFAULT_RETRY_TERMS = budget.Terms(ratio=0.1, window_s=10.0, slack=0.0)


@attrs.frozen
class DutyTerms:
    """What the platform asks of one VM at a time, at its API ``address``.

    All VMs together may make ``calls_per_s`` calls.  With ``reports_usage``
    the requests of each client account are reported for windows of
    ``window_s`` seconds, ``late_s`` after the end of each at the latest and
    within ``tolerance`` of the true counts.  With ``orders_servers`` backend
    servers are ordered there.  ``is_fenced`` says that the platform refuses
    calls with a lower fencing token than it has seen.
    """

    address: str
    reports_usage: bool = False
    orders_servers: bool = False
    calls_per_s: float = 10.0
    window_s: float = 5.0
    late_s: float = 10.0
    tolerance: float = 0.05
    is_fenced: bool = False


@attrs.frozen
class FrontSettings:
    """The settings that the daemon reads from its settings file.

    Addresses are (host, port); ``metrics_address`` may be None.
    ``grace_s`` is the time between SIGTERM and SIGKILL.  Other VMs of
    ``region`` reach this one at ``peer_address`` (None: not at all);
    ``capacity`` is its processor capacity in cores.  The platform expects
    normal operation ``stable_s`` after a disturbance: from then on a
    configuration that was stored ``config_s`` ago or earlier is in force,
    and a server that began to drain ``drain_s`` ago or earlier gets no new
    requests, also if that was before the disturbance ended.  Orders of two
    VMs to one engine must be ``order_spacing_s`` apart.  ``retry_terms``
    bound the retries of all VMs.  A key that was removed ``revocation_s`` ago
    must not work (None: not strict).  ``duties`` is None where the platform
    asks for none.  The process has ``memory_bytes`` and at most
    ``max_sockets`` connections.
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
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    max_sockets: int = DEFAULT_MAX_SOCKETS
    revocation_s: float | None = None
    duties: DutyTerms | None = None

    @property
    def mirror_timing(self):
        """Return the `mirror.Timing` of what is read from the store."""
        change_s = min(self.config_s, self.drain_s)
        return mirror.make_timing(self.stable_s, change_s, self.revocation_s)

    @property
    def max_held_bytes(self):
        """Return the most that answers which are read whole may take."""
        return int(ANSWERS_MEMORY_PART * self.memory_bytes)
