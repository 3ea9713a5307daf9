"""What goes in and out of the owner: its record, events and actions.

`owner.Owner` takes the events and returns the actions; ``duties`` carries
the actions out and brings their outcomes back as events.
"""

import enum

import attrs
import orjson

from mangorock import engine


class Outcome(enum.Enum):
    """How sending an order ended."""

    TAKEN = 'taken'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@attrs.frozen
class Record:
    """The ownership record, as the platform keeps it."""

    vm: str
    instance: str
    lease: str = ''
    is_released: bool = False

    def to_text(self):
        """Return the stored form."""
        return orjson.dumps(attrs.asdict(self)).decode()


def parse_record(text):
    """Undo `Record.to_text`."""
    return Record(**orjson.loads(text))


# Events.


@attrs.frozen
class Tick:
    """Time has passed; ``is_wanted`` says whether to seek the duty."""

    is_wanted: bool = True


@attrs.frozen
class RecordRead:
    """The record, ``None`` for none, and whether its lease is alive."""

    record: Record | None
    version: int
    is_lease_alive: bool = True


@attrs.frozen
class RecordSwapped:
    """The record was written as ``version``."""

    version: int


@attrs.frozen
class RecordConflict:
    """Another write came first."""


@attrs.frozen
class RecordOutcomeUnknown:
    """The platform did not answer, or its answer was lost."""


@attrs.frozen
class DrainAnswered:
    """A router's answer; ``in_flight`` is its count on that engine."""

    engine: str
    vm: str
    drain_version: tuple
    is_accepted: bool
    in_flight: int
    is_undrain: bool


@attrs.frozen
class StateRead:
    """An engine's true state, ``None`` when it did not answer.

    ``requested_s`` is when it was asked: an answer from before a drain or an
    order says nothing of the time after.
    """

    engine: str
    state: engine.State | None
    requested_s: float


@attrs.frozen
class OrderAnswered:
    """The outcome of the one order in flight."""

    engine: str
    outcome: Outcome


@attrs.frozen
class RoleRequested:
    """The planner wants ``engine`` to have ``role``."""

    engine: str
    role: str


@attrs.frozen
class LeaseLost:
    """The daemon's lease lapsed; ``lease`` is its new one."""

    lease: str


@attrs.frozen
class ReleaseRequested:
    """Give the duty up, gracefully."""


# Actions.


@attrs.frozen
class ReadRecord:
    """Read the record and the holder's lease."""


@attrs.frozen
class SwapRecord:
    """Write the record if it is at ``expected``."""

    record: Record
    expected: int


@attrs.frozen
class RequestDrain:
    """Ask a router to stop (or resume) sending to an engine.

    ``drain_version`` is (token, number of the drain).  A router obeys the
    request with the higher version.
    """

    engine: str
    vm: str
    drain_version: tuple
    is_undrain: bool = False


@attrs.frozen
class ReadState:
    """Read an engine's true state."""

    engine: str


@attrs.frozen
class SendOrder:
    """Send an order, once."""

    engine: str
    order: engine.Order
