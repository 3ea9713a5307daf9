"""State machine of the daemon that controls a failure domain's engines.

Engines accept orders from a single owner.  Ownership is a record in the
platform's key-value service, written by compare-and-swap; the version of
that write is the fencing token of every order.  There is one record per
failure domain rather than per pool, so that moving an engine between pools
never changes its owner.  The state machine uses no sockets or clocks:
`Owner.handle(event, now)` returns the actions to run.  Engines are
identified by their addresses.

Ownership passes to another daemon:

- when the record is released;
- to a later process of the same VM: it holds the VM's ports, which proves
  that the earlier process is dead;
- when the holder's lease has expired, if every engine checks fencing
  tokens;
- otherwise, when the platform's VM list has not contained the holder's VM
  for `routers.REMOVAL_DELAY_S`.  For engines that do not check tokens an
  expired lease is not enough, because the holder may be paused between
  checking its lease and sending an order.

To change an engine's role, the owner drains the engine on every router,
waits until the engine itself reports no work, sends the order, reads the
engine's state until it settles, and undrains the engine on the routers.
Each engine has at most one order in flight.  After an order whose outcome
is unknown, no further order is sent until that one can no longer arrive.
"""

import enum

import attrs

from mangorock import engine
from mangorock import ownership
from mangorock import routers

RECORD_READ_INTERVAL_S = 2.0
SETTLE_READ_INTERVAL_S = 0.5
DRAIN_RETRY_INTERVAL_S = 0.5
# An order sent on an abandoned connection may still arrive this much later.
MAX_ORDER_DELAY_S = 20.0
# An engine must have been idle for this long before it is sent an order.
IDLE_PERIOD_S = 1.0
DRAIN_TIMEOUT_S = 120.0


class Phase(enum.Enum):
    """State of a daemon's ownership of its failure domain."""

    FREE = 'free'
    READING = 'reading'
    TAKING = 'taking'
    OWNING = 'owning'
    RELEASING = 'releasing'
    ENDED = 'ended'


class Stage(enum.Enum):
    """State of an engine, as its owner sees it.

    ``OPEN`` engines may receive requests.  A role change passes through
    ``DRAINING`` (routers stop sending), ``QUIET`` (the engine must be
    idle), ``ORDERED`` (the order is in flight) and ``SETTLING`` (the
    engine's state must stay unchanged).  ``FENCING`` means that an order
    that only raises the engine's fencing token is in flight.
    """

    SETTLING = 'settling'
    FENCING = 'fencing'
    OPEN = 'open'
    DRAINING = 'draining'
    QUIET = 'quiet'
    ORDERED = 'ordered'


@attrs.define
class OwnedEngine:
    """The owner's state for one engine."""

    name: str
    checks_fencing: bool
    stage: Stage = Stage.SETTLING
    stage_since_s: float = 0.0
    # The engine counts as settled once its state has not changed for this
    # long.
    settle_period_s: float = 0.0
    unchanged_since_s: float | None = None
    last_state: engine.State | None = None
    needs_fence: bool = False
    requested_role: str = ''
    drained_routers: set = attrs.field(factory=set)
    # Routers on which the engine may still be drained.
    routers_to_undrain: set = attrs.field(factory=set)
    next_drain_request_s: float = 0.0
    next_read_s: float = 0.0
    order_count: int = 0
    drain_count: int = 0


@attrs.define
class Owner:
    """One daemon's view of the ownership of its failure domain.

    The caller sets ``engines``, a dict of engine address to whether it
    checks fencing tokens, from the tables, and ``routers`` from its
    `routers.RouterSet`.  It passes the platform's VM list to
    `update_listed_vms`.
    """

    vm: str
    instance: str
    lease: str = ''
    engines: dict = attrs.field(factory=dict)
    routers: frozenset = frozenset()
    phase: Phase = Phase.FREE
    token: int = 0
    version: int = 0
    owned_engines: dict = attrs.field(factory=dict)
    next_read_s: float = 0.0
    holder: ownership.Record | None = None
    holder_missing_since_s: float | None = None
    is_listed: bool = False
    role_changes: int = 0
    wants_release: bool = False
    needs_read_back: bool = False
    is_wanted: bool = False
    has_read_record: bool = False

    def update_listed_vms(self, vms, now):
        """Update what is known from ``vms``, the platform's VM names."""
        self.is_listed = self.vm in vms
        if self.holder is None or self.holder.vm in vms:
            self.holder_missing_since_s = None
        elif self.holder_missing_since_s is None:
            self.holder_missing_since_s = now

    def handle(self, event, now):
        """Process an event and return the actions to run."""
        match event:
            case ownership.Tick():
                return self._tick(event, now)
            case ownership.RecordRead():
                return self._on_record_read(event, now)
            case ownership.RecordSwapped():
                return self._on_record_swapped(event, now)
            case ownership.RecordConflict():
                return self._lose_ownership()
            case ownership.RecordOutcomeUnknown():
                return self._on_record_outcome_unknown()
            case ownership.RoleRequested():
                return self._on_role_requested(event, now)
            case ownership.LeaseLost():
                self.lease = event.lease
                return self._lose_ownership()
            case ownership.ReleaseRequested():
                self.wants_release = True
                return []
        owned = self.owned_engines.get(event.engine)
        if self.phase is not Phase.OWNING or owned is None:
            return []
        match event:
            case ownership.DrainAnswered():
                return self._on_drain_answered(owned, event)
            case ownership.StateRead():
                return self._on_state_read(owned, event, now)
            case ownership.OrderAnswered():
                return self._on_order_answered(owned, event.outcome, now)
        raise TypeError(f'unknown event {event!r}')

    # Acquiring, keeping and releasing the ownership record.

    def _tick(self, event, now):
        if self.phase is Phase.FREE:
            self.is_wanted = event.is_wanted
            # A process that should not become the owner still reads the
            # record once: only it can take over immediately from an
            # earlier process of its own VM.
            is_idle = self.has_read_record and not event.is_wanted
            if is_idle or self.wants_release:
                return []
            if not self.is_listed:
                return []
            if event.is_wanted and not self.lease:
                return []
            if now < self.next_read_s:
                return []
            self.phase = Phase.READING
            self.next_read_s = now + RECORD_READ_INTERVAL_S
            return [ownership.ReadRecord()]
        if self.phase is not Phase.OWNING:
            return self._read_record_again(now)
        actions = []
        self._sync_engines(now)
        for owned in self.owned_engines.values():
            actions += self._tick_engine(owned, now)
        if self.wants_release and self._is_idle():
            self.phase = Phase.RELEASING
            record = ownership.Record(self.vm, self.instance, '', True)
            return [*actions, ownership.SwapRecord(record, self.version)]
        if now >= self.next_read_s:
            self.next_read_s = now + RECORD_READ_INTERVAL_S
            actions.append(ownership.ReadRecord())
        return actions

    def _read_record_again(self, now):
        """Read the record again after a write of unknown outcome."""
        if not self.needs_read_back or now < self.next_read_s:
            return []
        self.next_read_s = now + RECORD_READ_INTERVAL_S
        return [ownership.ReadRecord()]

    def _on_record_read(self, event, now):
        self.needs_read_back = False
        is_own_record = event.record is not None and (
            (event.record.vm, event.record.instance)
            == (self.vm, self.instance)
        )
        if self.phase is Phase.OWNING:
            if is_own_record or event.version < self.version:
                return []
            return self._lose_ownership()
        if self.phase is Phase.RELEASING:
            return self._finish_release(event, is_own_record)
        if self.phase not in (Phase.READING, Phase.TAKING):
            return []
        self.has_read_record = True
        self._update_holder(event.record)
        if is_own_record and event.is_lease_alive:
            # An earlier write took effect although its answer was lost.
            return self._on_record_swapped(
                ownership.RecordSwapped(event.version), now
            )
        if not self._may_acquire(event, now):
            self.phase = Phase.FREE
            return []
        self.phase = Phase.TAKING
        record = ownership.Record(self.vm, self.instance, self.lease)
        return [ownership.SwapRecord(record, event.version)]

    def _update_holder(self, record):
        if self.holder != record:
            self.holder = record
            self.holder_missing_since_s = None

    def _may_acquire(self, event, now):
        record = event.record
        if record is not None and record.vm == self.vm:
            return self.is_wanted or not record.is_released
        if not self.is_wanted:
            return False
        if record is None or record.is_released:
            return True
        if self.engines and all(self.engines.values()):
            return not event.is_lease_alive
        if self.holder_missing_since_s is None:
            return False
        return now - self.holder_missing_since_s >= routers.REMOVAL_DELAY_S

    def _on_record_swapped(self, event, now):
        if self.phase is Phase.RELEASING:
            self.phase = Phase.ENDED
            self.owned_engines.clear()
            return []
        had_holder = self.holder is not None and not self.holder.is_released
        self.phase = Phase.OWNING
        self.token = self.version = event.version
        self.owned_engines = {}
        self._sync_engines(now)
        if not had_holder:
            for owned in self.owned_engines.values():
                owned.settle_period_s = 0.0
        return []

    def _on_record_outcome_unknown(self):
        if self.phase is Phase.OWNING:
            return []
        if self.phase in (Phase.TAKING, Phase.RELEASING):
            # The write may have taken effect.
            self.needs_read_back = True
            return []
        self.phase = Phase.FREE
        return []

    def _finish_release(self, event, is_own_record):
        if is_own_record and not event.record.is_released:
            record = ownership.Record(self.vm, self.instance, '', True)
            return [ownership.SwapRecord(record, event.version)]
        self.phase = Phase.ENDED
        return []

    def _lose_ownership(self):
        if self.phase is Phase.RELEASING:
            self.phase = Phase.ENDED
        elif self.phase is not Phase.ENDED:
            self.phase = Phase.FREE
        self.owned_engines = {}
        self.token = 0
        # The record may still name this VM, and then no other daemon may
        # acquire it, so this one must read it again.
        self.has_read_record = False
        return []

    def _sync_engines(self, now):
        for name, checks_fencing in self.engines.items():
            if name not in self.owned_engines:
                self.owned_engines[name] = OwnedEngine(
                    name,
                    checks_fencing,
                    stage_since_s=now,
                    # If the engine was removed and added again, an earlier
                    # order may still be on its way to it.
                    settle_period_s=MAX_ORDER_DELAY_S,
                    needs_fence=checks_fencing,
                    routers_to_undrain=set(self.routers),
                )
            self.owned_engines[name].checks_fencing = checks_fencing
        for name in set(self.owned_engines) - set(self.engines):
            del self.owned_engines[name]

    def _is_idle(self):
        return all(
            o.stage is Stage.OPEN and not o.routers_to_undrain
            for o in self.owned_engines.values()
        )

    # Draining and ordering a single engine.

    def _tick_engine(self, owned, now):
        match owned.stage:
            case Stage.SETTLING:
                return self._read_state(owned, now, SETTLE_READ_INTERVAL_S)
            case Stage.OPEN:
                return self._request_undrain(owned, now)
            case Stage.DRAINING:
                return self._tick_draining(owned, now)
            case Stage.QUIET:
                return self._read_state(owned, now, IDLE_PERIOD_S / 4)
        return []

    def _read_state(self, owned, now, interval_s):
        if now < owned.next_read_s:
            return []
        owned.next_read_s = now + interval_s
        return [ownership.ReadState(owned.name)]

    def _enter_stage(self, owned, stage, now):
        owned.stage = stage
        owned.stage_since_s = now
        owned.unchanged_since_s = None
        owned.next_drain_request_s = owned.next_read_s = now

    def _start_settling(self, owned, now, period_s):
        owned.settle_period_s = period_s
        owned.last_state = None
        self._enter_stage(owned, Stage.SETTLING, now)

    def _on_role_requested(self, event, now):
        owned = self.owned_engines.get(event.engine)
        if self.phase is not Phase.OWNING or owned is None:
            return []
        if owned.stage is not Stage.OPEN or self.wants_release:
            return []
        if owned.routers_to_undrain or owned.last_state.role == event.role:
            return []
        owned.requested_role = event.role
        owned.drained_routers = set()
        owned.drain_count += 1
        self._enter_stage(owned, Stage.DRAINING, now)
        return self._tick_draining(owned, now)

    def _tick_draining(self, owned, now):
        if self.routers <= owned.drained_routers:
            self._enter_stage(owned, Stage.QUIET, now)
            return [ownership.ReadState(owned.name)]
        if now - owned.stage_since_s > DRAIN_TIMEOUT_S or self.wants_release:
            self._open_engine(owned, now)
            return []
        if now < owned.next_drain_request_s:
            return []
        owned.next_drain_request_s = now + DRAIN_RETRY_INTERVAL_S
        drain_version = (self.token, owned.drain_count)
        return [
            ownership.RequestDrain(owned.name, vm, drain_version)
            for vm in sorted(self.routers - owned.drained_routers)
        ]

    def _open_engine(self, owned, now):
        owned.routers_to_undrain = set(self.routers)
        self._enter_stage(owned, Stage.OPEN, now)

    def _request_undrain(self, owned, now):
        owned.routers_to_undrain &= self.routers
        if now < owned.next_drain_request_s:
            return []
        owned.next_drain_request_s = now + DRAIN_RETRY_INTERVAL_S
        drain_version = (self.token, owned.drain_count)
        return [
            ownership.RequestDrain(owned.name, vm, drain_version, True)
            for vm in sorted(owned.routers_to_undrain)
        ]

    def _on_drain_answered(self, owned, event):
        if event.drain_version != (self.token, owned.drain_count):
            return []
        if event.is_undrain:
            if owned.stage is Stage.OPEN and event.is_accepted:
                owned.routers_to_undrain.discard(event.vm)
            return []
        if owned.stage is not Stage.DRAINING:
            return []
        if not event.is_accepted:
            # The router has seen a newer owner's drain version.
            return self._lose_ownership()
        if event.in_flight == 0:
            owned.drained_routers.add(event.vm)
        return []

    def _on_state_read(self, owned, event, now):
        state = event.state
        if event.requested_s < owned.stage_since_s:
            return []
        if owned.stage is Stage.SETTLING:
            return self._check_settled(owned, state, now)
        if owned.stage is not Stage.QUIET:
            return []
        if self.wants_release:
            self._open_engine(owned, now)
            return []
        if state is None or state.running or state.is_changing:
            owned.unchanged_since_s = None
            if now - owned.stage_since_s > DRAIN_TIMEOUT_S:
                self._open_engine(owned, now)
            return []
        if not self.routers <= owned.drained_routers:
            # A router that joined in the meantime must drain the engine too.
            self._enter_stage(owned, Stage.DRAINING, now)
            return []
        if owned.unchanged_since_s is None:
            owned.unchanged_since_s = now
        if now - owned.unchanged_since_s < IDLE_PERIOD_S:
            return []
        return [
            self._make_order(
                owned, 'set_role', owned.requested_role, Stage.ORDERED
            )
        ]

    def _make_order(self, owned, kind, value, stage):
        owned.order_count += 1
        owned.stage = stage
        name = f'{self.token}-{owned.name}-{owned.order_count}'
        order = engine.Order(name, self.token, kind, value)
        return ownership.SendOrder(owned.name, order)

    def _check_settled(self, owned, state, now):
        if state is None or state.is_changing:
            owned.unchanged_since_s = None
            return []
        is_same = owned.last_state is not None and (
            (state.role, state.order_id)
            == (owned.last_state.role, owned.last_state.order_id)
        )
        owned.last_state = state
        if owned.unchanged_since_s is None or not is_same:
            owned.unchanged_since_s = now
        if now - owned.unchanged_since_s < owned.settle_period_s:
            return []
        if owned.needs_fence:
            return [self._make_order(owned, 'fence', '', Stage.FENCING)]
        self._open_engine(owned, now)
        return self._request_undrain(owned, now)

    def _on_order_answered(self, owned, outcome, now):
        if owned.stage is Stage.FENCING:
            if outcome is ownership.Outcome.TAKEN:
                owned.needs_fence = False
            self._start_settling(owned, now, owned.settle_period_s)
            return []
        if owned.stage is not Stage.ORDERED:
            return []
        if outcome is ownership.Outcome.TAKEN:
            self.role_changes += 1
        is_unknown = outcome is ownership.Outcome.UNKNOWN
        self._start_settling(
            owned, now, MAX_ORDER_DELAY_S if is_unknown else 0.0
        )
        return []

    def status(self):
        """Return the ownership state as JSON-serializable data."""
        return {
            'phase': self.phase.value,
            'token': self.token,
            'role_changes': self.role_changes,
            'engines': ' '.join(
                f'{o.name}={o.stage.value}'
                for o in self.owned_engines.values()
            ),
        }
