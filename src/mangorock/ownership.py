"""The ownership record, and the events and actions of `owner.Owner`.

`owner.Owner` takes events and returns actions.  ``duties`` runs the actions
and passes their results back as events.
"""

import enum

import attrs
import orjson

from mangorock import engine


class Outcome(enum.Enum):
    """Result of sending an order to an engine."""

    TAKEN = 'taken'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@attrs.frozen
class Record:
    """The ownership record of a failure domain.

    ``vm`` and ``instance`` identify the process that holds it.
    """

    vm: str
    instance: str
    lease: str = ''
    is_released: bool = False

    def to_text(self):
        """Return the record as the JSON text that is stored."""
        return orjson.dumps(attrs.asdict(self)).decode()


def parse_record(text):
    """Return the `Record` in a stored JSON text."""
    return Record(**orjson.loads(text))


# Events.


@attrs.frozen
class Tick:
    """Time has passed.

    ``is_wanted`` tells whether this daemon should acquire ownership.
    """

    is_wanted: bool = True


@attrs.frozen
class RecordRead:
    """The record was read.

    ``record`` is ``None`` if there is none.  ``is_lease_alive`` tells
    whether the lease of the record's holder is still valid.
    """

    record: Record | None
    version: int
    is_lease_alive: bool = True


@attrs.frozen
class RecordSwapped:
    """The write of the record succeeded and created ``version``."""

    version: int


@attrs.frozen
class RecordConflict:
    """The write of the record failed because another write came first."""


@attrs.frozen
class RecordOutcomeUnknown:
    """A read or write of the record got no answer.

    A write may have been applied.
    """


@attrs.frozen
class DrainAnswered:
    """A router answered a drain or undrain request.

    ``in_flight`` is the number of its requests running on the engine.
    """

    engine: str
    vm: str
    drain_version: tuple
    is_accepted: bool
    in_flight: int
    is_undrain: bool


@attrs.frozen
class StateRead:
    """An engine's own state was read; ``None`` if it did not answer.

    ``requested_s`` is the time of the request: a state requested before a
    drain or an order says nothing about the time after it.
    """

    engine: str
    state: engine.State | None
    requested_s: float


@attrs.frozen
class OrderAnswered:
    """The engine's order in flight ended with ``outcome``."""

    engine: str
    outcome: Outcome


@attrs.frozen
class RoleRequested:
    """The planner requests that ``engine`` change to ``role``."""

    engine: str
    role: str


@attrs.frozen
class LeaseLost:
    """The daemon got a new lease; its earlier one, if any, has expired."""

    lease: str


@attrs.frozen
class ReleaseRequested:
    """Ownership is to be released once no role change is in progress."""


# Actions.


@attrs.frozen
class ReadRecord:
    """Read the record and whether its holder's lease is still valid."""


@attrs.frozen
class SwapRecord:
    """Write the record if its version is ``expected``."""

    record: Record
    expected: int


@attrs.frozen
class RequestDrain:
    """Request that a router drain (or undrain) an engine.

    A router does not send new requests to a drained engine.

    ``drain_version`` is (token, number of the drain).  A router obeys the
    request with the higher version.
    """

    engine: str
    vm: str
    drain_version: tuple
    is_undrain: bool = False


@attrs.frozen
class ReadState:
    """Read an engine's state from the engine itself."""

    engine: str


@attrs.frozen
class SendOrder:
    """Send an order to an engine, without retries."""

    engine: str
    order: engine.Order
