"""The owner of all engines of one failure domain.

Engines take orders from one owner.  Ownership is a record in the platform's
service, written by compare-and-swap; the version of that write is the
fencing token of every order.  There is one record a failure domain, not one
a pool, so that moving an engine between pools never changes its owner.  A
state machine without sockets or clocks: `Owner.handle(event, now)` returns
the actions to run.  Engines go by their address.

Ownership passes to another daemon when the record is released; to a later
process of the same VM, which holds the VM's ports and so proves that the
earlier one is dead; where every engine checks tokens, when the holder's
lease has lapsed; and otherwise once the platform's list has not shown the
holder's VM for `routers.REMOVAL_DELAY_S`.  A lease alone is not enough for
engines that check nothing: its holder may be paused between its check and its
send.

A planned change of an engine goes: drain every router, wait until the
engine itself runs nothing, order, read its state until it settles, let the
routers in again.  One order is in flight an engine, and after an order of
unknown outcome nothing is ordered until it can no longer arrive.
"""

import enum

import attrs

from mangorock import engine
from mangorock import ownership
from mangorock import routers

READ_EVERY_S = 2.0
SETTLE_READ_EVERY_S = 0.5
ASK_EVERY_S = 0.5
# An order on a connection that was given up may still arrive this long.
CONNECTION_LIFE_S = 20.0
# The engine must run nothing for this long before it is ordered.
QUIET_S = 1.0
DRAIN_LIMIT_S = 120.0


class Phase(enum.Enum):
    """Where a daemon stands with the duty."""

    FREE = 'free'
    READING = 'reading'
    TAKING = 'taking'
    OWNING = 'owning'
    RELEASING = 'releasing'
    ENDED = 'ended'


class Stage(enum.Enum):
    """Where an engine stands with its owner."""

    SETTLING = 'settling'
    FENCING = 'fencing'
    OPEN = 'open'
    DRAINING = 'draining'
    QUIET = 'quiet'
    ORDERED = 'ordered'


@attrs.define
class Owned:
    """What the owner keeps of one engine."""

    name: str
    checks_fencing: bool
    stage: Stage = Stage.SETTLING
    since_s: float = 0.0
    # The engine's state must stay the same for this long to be settled.
    settle_for_s: float = 0.0
    steady_since_s: float | None = None
    seen: engine.State | None = None
    needs_fence: bool = False
    wish: str = ''
    acked: set = attrs.field(factory=set)
    # Routers that may still hold the engine drained.
    to_undrain: set = attrs.field(factory=set)
    next_ask_s: float = 0.0
    next_read_s: float = 0.0
    orders: int = 0
    drains: int = 0


@attrs.define
class Owner:
    """The duty of one failure domain, as one daemon sees it.

    ``engines`` maps addresses to whether they check tokens and is set by the
    shell from the tables, ``routers`` by the shell from its
    `routers.RouterSet`, and ``vm_list`` from the platform's list.
    """

    vm: str
    instance: str
    lease: str = ''
    engines: dict = attrs.field(factory=dict)
    routers: frozenset = frozenset()
    phase: Phase = Phase.FREE
    token: int = 0
    version: int = 0
    owned: dict = attrs.field(factory=dict)
    next_read_s: float = 0.0
    holder: ownership.Record | None = None
    holder_missing_since_s: float | None = None
    is_listed: bool = False
    role_changes: int = 0
    wants_release: bool = False
    needs_read_back: bool = False
    is_wanted: bool = False
    has_looked: bool = False

    def take_vms(self, vms, now):
        """Take the names of VMs on the platform's list."""
        self.is_listed = self.vm in vms
        if self.holder is None or self.holder.vm in vms:
            self.holder_missing_since_s = None
        elif self.holder_missing_since_s is None:
            self.holder_missing_since_s = now

    def handle(self, event, now):
        """Take an event, return the actions to run."""
        match event:
            case ownership.Tick():
                return self._tick(event, now)
            case ownership.RecordRead():
                return self._take_record(event, now)
            case ownership.RecordSwapped():
                return self._take_swapped(event, now)
            case ownership.RecordRefused():
                return self._lose()
            case ownership.RecordUnknown():
                return self._take_unknown()
            case ownership.Wish():
                return self._take_wish(event, now)
            case ownership.LeaseLost():
                self.lease = event.lease
                return self._lose()
            case ownership.Release():
                self.wants_release = True
                return []
        owned = self.owned.get(event.engine)
        if self.phase is not Phase.OWNING or owned is None:
            return []
        match event:
            case ownership.DrainAnswered():
                return self._take_drain(owned, event)
            case ownership.StateRead():
                return self._take_state(owned, event, now)
            case ownership.OrderAnswered():
                return self._take_order(owned, event.outcome, now)
        raise TypeError(f'unknown event {event!r}')

    # The record.

    def _tick(self, event, now):
        if self.phase is Phase.FREE:
            self.is_wanted = event.is_wanted
            # A process that is not wanted looks once: only it can take
            # over from an earlier process of its own VM at once.
            is_idle = self.has_looked and not event.is_wanted
            if is_idle or self.wants_release:
                return []
            if not self.is_listed:
                return []
            if event.is_wanted and not self.lease:
                return []
            if now < self.next_read_s:
                return []
            self.phase = Phase.READING
            self.next_read_s = now + READ_EVERY_S
            return [ownership.ReadRecord()]
        if self.phase is not Phase.OWNING:
            return self._read_back(now)
        actions = []
        self._match_engines(now)
        for owned in self.owned.values():
            actions += self._tick_engine(owned, now)
        if self.wants_release and self._is_idle():
            self.phase = Phase.RELEASING
            record = ownership.Record(self.vm, self.instance, '', True)
            return [*actions, ownership.SwapRecord(record, self.version)]
        if now >= self.next_read_s:
            self.next_read_s = now + READ_EVERY_S
            actions.append(ownership.ReadRecord())
        return actions

    def _read_back(self, now):
        """Read the record after a write whose outcome is unknown."""
        if not self.needs_read_back or now < self.next_read_s:
            return []
        self.next_read_s = now + READ_EVERY_S
        return [ownership.ReadRecord()]

    def _take_record(self, event, now):
        self.needs_read_back = False
        is_mine = event.record is not None and (
            (event.record.vm, event.record.instance)
            == (self.vm, self.instance)
        )
        if self.phase is Phase.OWNING:
            if is_mine or event.version < self.version:
                return []
            return self._lose()
        if self.phase is Phase.RELEASING:
            return self._settle_release(event, is_mine)
        if self.phase not in (Phase.READING, Phase.TAKING):
            return []
        self.has_looked = True
        self._watch_holder(event.record)
        if is_mine and event.is_lease_alive:
            # A write whose answer was lost took effect.
            return self._take_swapped(
                ownership.RecordSwapped(event.version), now
            )
        if not self._may_take(event, now):
            self.phase = Phase.FREE
            return []
        self.phase = Phase.TAKING
        record = ownership.Record(self.vm, self.instance, self.lease)
        return [ownership.SwapRecord(record, event.version)]

    def _watch_holder(self, record):
        if self.holder != record:
            self.holder = record
            self.holder_missing_since_s = None

    def _may_take(self, event, now):
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

    def _take_swapped(self, event, now):
        if self.phase is Phase.RELEASING:
            self.phase = Phase.ENDED
            self.owned.clear()
            return []
        had_holder = self.holder is not None and not self.holder.is_released
        self.phase = Phase.OWNING
        self.token = self.version = event.version
        self.owned = {}
        self._match_engines(now)
        if not had_holder:
            for owned in self.owned.values():
                owned.settle_for_s = 0.0
        return []

    def _take_unknown(self):
        if self.phase is Phase.OWNING:
            return []
        if self.phase in (Phase.TAKING, Phase.RELEASING):
            # The write may have taken effect.
            self.needs_read_back = True
            return []
        self.phase = Phase.FREE
        return []

    def _settle_release(self, event, is_mine):
        if is_mine and not event.record.is_released:
            record = ownership.Record(self.vm, self.instance, '', True)
            return [ownership.SwapRecord(record, event.version)]
        self.phase = Phase.ENDED
        return []

    def _lose(self):
        if self.phase is Phase.RELEASING:
            self.phase = Phase.ENDED
        elif self.phase is not Phase.ENDED:
            self.phase = Phase.FREE
        self.owned = {}
        self.token = 0
        # The record may still name this VM, and then nobody else may take.
        self.has_looked = False
        return []

    def _match_engines(self, now):
        for name, checks in self.engines.items():
            if name not in self.owned:
                self.owned[name] = Owned(
                    name,
                    checks,
                    since_s=now,
                    # An engine that was removed and is back may still have
                    # an order on its way.
                    settle_for_s=CONNECTION_LIFE_S,
                    needs_fence=checks,
                    to_undrain=set(self.routers),
                )
            self.owned[name].checks_fencing = checks
        for name in set(self.owned) - set(self.engines):
            del self.owned[name]

    def _is_idle(self):
        return all(
            o.stage is Stage.OPEN and not o.to_undrain
            for o in self.owned.values()
        )

    # One engine.

    def _tick_engine(self, owned, now):
        match owned.stage:
            case Stage.SETTLING:
                return self._read_state(owned, now, SETTLE_READ_EVERY_S)
            case Stage.OPEN:
                return self._ask_undrain(owned, now)
            case Stage.DRAINING:
                return self._tick_draining(owned, now)
            case Stage.QUIET:
                return self._read_state(owned, now, QUIET_S / 4)
        return []

    def _read_state(self, owned, now, every_s):
        if now < owned.next_read_s:
            return []
        owned.next_read_s = now + every_s
        return [ownership.ReadState(owned.name)]

    def _enter(self, owned, stage, now):
        owned.stage = stage
        owned.since_s = now
        owned.steady_since_s = None
        owned.next_ask_s = owned.next_read_s = now

    def _settle(self, owned, now, for_s):
        owned.settle_for_s = for_s
        owned.seen = None
        self._enter(owned, Stage.SETTLING, now)

    def _take_wish(self, event, now):
        owned = self.owned.get(event.engine)
        if self.phase is not Phase.OWNING or owned is None:
            return []
        if owned.stage is not Stage.OPEN or self.wants_release:
            return []
        if owned.to_undrain or owned.seen.role == event.role:
            return []
        owned.wish = event.role
        owned.acked = set()
        owned.drains += 1
        self._enter(owned, Stage.DRAINING, now)
        return self._tick_draining(owned, now)

    def _tick_draining(self, owned, now):
        if self.routers <= owned.acked:
            self._enter(owned, Stage.QUIET, now)
            return [ownership.ReadState(owned.name)]
        if now - owned.since_s > DRAIN_LIMIT_S or self.wants_release:
            self._reopen(owned, now)
            return []
        if now < owned.next_ask_s:
            return []
        owned.next_ask_s = now + ASK_EVERY_S
        mark = (self.token, owned.drains)
        return [
            ownership.AskDrain(owned.name, vm, mark)
            for vm in sorted(self.routers - owned.acked)
        ]

    def _reopen(self, owned, now):
        owned.to_undrain = set(self.routers)
        self._enter(owned, Stage.OPEN, now)

    def _ask_undrain(self, owned, now):
        owned.to_undrain &= self.routers
        if now < owned.next_ask_s:
            return []
        owned.next_ask_s = now + ASK_EVERY_S
        mark = (self.token, owned.drains)
        return [
            ownership.AskDrain(owned.name, vm, mark, True)
            for vm in sorted(owned.to_undrain)
        ]

    def _take_drain(self, owned, event):
        if event.mark != (self.token, owned.drains):
            return []
        if event.is_undrain:
            if owned.stage is Stage.OPEN and event.is_accepted:
                owned.to_undrain.discard(event.vm)
            return []
        if owned.stage is not Stage.DRAINING:
            return []
        if not event.is_accepted:
            # The router has heard a newer owner.
            return self._lose()
        if event.in_flight == 0:
            owned.acked.add(event.vm)
        return []

    def _take_state(self, owned, event, now):
        state = event.state
        if event.asked_s < owned.since_s:
            return []
        if owned.stage is Stage.SETTLING:
            return self._settle_step(owned, state, now)
        if owned.stage is not Stage.QUIET:
            return []
        if self.wants_release:
            self._reopen(owned, now)
            return []
        if state is None or state.running or state.is_changing:
            owned.steady_since_s = None
            if now - owned.since_s > DRAIN_LIMIT_S:
                self._reopen(owned, now)
            return []
        if not self.routers <= owned.acked:
            # A router has joined since; it must acknowledge too.
            self._enter(owned, Stage.DRAINING, now)
            return []
        if owned.steady_since_s is None:
            owned.steady_since_s = now
        if now - owned.steady_since_s < QUIET_S:
            return []
        return [self._order(owned, 'set_role', owned.wish, Stage.ORDERED)]

    def _order(self, owned, kind, value, stage):
        owned.orders += 1
        owned.stage = stage
        name = f'{self.token}-{owned.name}-{owned.orders}'
        order = engine.Order(name, self.token, kind, value)
        return ownership.SendOrder(owned.name, order)

    def _settle_step(self, owned, state, now):
        if state is None or state.is_changing:
            owned.steady_since_s = None
            return []
        is_same = owned.seen is not None and (
            (state.role, state.order_id)
            == (owned.seen.role, owned.seen.order_id)
        )
        owned.seen = state
        if owned.steady_since_s is None or not is_same:
            owned.steady_since_s = now
        if now - owned.steady_since_s < owned.settle_for_s:
            return []
        if owned.needs_fence:
            return [self._order(owned, 'fence', '', Stage.FENCING)]
        self._reopen(owned, now)
        return self._ask_undrain(owned, now)

    def _take_order(self, owned, outcome, now):
        if owned.stage is Stage.FENCING:
            if outcome is ownership.Outcome.TAKEN:
                owned.needs_fence = False
            self._settle(owned, now, owned.settle_for_s)
            return []
        if owned.stage is not Stage.ORDERED:
            return []
        if outcome is ownership.Outcome.TAKEN:
            self.role_changes += 1
        is_unknown = outcome is ownership.Outcome.UNKNOWN
        self._settle(owned, now, CONNECTION_LIFE_S if is_unknown else 0.0)
        return []

    def status(self):
        """Return the duty as JSON-able data."""
        return {
            'phase': self.phase.value,
            'token': self.token,
            'role_changes': self.role_changes,
            'engines': ' '.join(
                f'{o.name}={o.stage.value}' for o in self.owned.values()
            ),
        }
