"""The messages about placement that entry VMs send to each other.

A VM sends a `PlacementRequest` for each generation and gets an `Assignment`,
a `Rejection`, or `Queued` and one of the others later.  `Outcome` reports
what became of an assigned prompt.  `StageRequest` and `EnginePause` concern
stage changes of engines, `CrashReport`, `PartsServed` and `PartQuarantined`
parts of prompts that crash engines, `ServerLimit` limits that servers state,
`DemandSample`, `DemandTaken`,
`UsageCounts` and `UsageTaken` the duties of the system.  Any VM may be of
another build or faulty, so every field is validated: a message with a field
that makes no sense is not created.
"""

import math

import attrs

from mangorock import registry

# Reported instead of a duration for a prompt that was not prefilled.
NOT_PREFILLED = -1.0
# Priority of a stream that is resumed, above those of new requests.
RESUMED_PRIORITY = -1
MAX_TOKENS = 100_000_000
MAX_SECONDS = 1_000_000.0
MAX_COUNT = 1_000_000
MAX_TEXT_CHARS = 400
MAX_PRIORITY = 1000
MAX_UNIX_MS = 10**14

_text = attrs.validators.and_(
    attrs.validators.instance_of(str), attrs.validators.max_len(MAX_TEXT_CHARS)
)
_texts = attrs.validators.deep_iterable(_text)


def _make_number_validator(low, high):
    def validate(instance, attribute, value):
        if (
            type(value) not in (int, float)
            or not math.isfinite(value)
            or not low <= value <= high
        ):
            raise ValueError(
                f'{attribute.name} of {type(instance).__name__} is {value!r}, '
                f'not a number from {low} to {high}'
            )

    return validate


def _make_rows_validator(*validators):
    def validate(instance, attribute, value):
        for row in value:
            if not isinstance(row, (list, tuple)):
                raise ValueError(f'{attribute.name} has a row {row!r}')
            for check, field in zip(validators, row, strict=True):
                check(instance, attribute, field)

    return validate


_tokens = _make_number_validator(0, MAX_TOKENS)
_seconds = _make_number_validator(-MAX_SECONDS, MAX_SECONDS)
_positive_seconds = _make_number_validator(0.0, MAX_SECONDS)
_count = _make_number_validator(0, MAX_COUNT)
_milliseconds = _make_number_validator(0, MAX_UNIX_MS)
_integer = attrs.validators.and_(
    attrs.validators.instance_of(int), _milliseconds
)
_whole_count = attrs.validators.and_(attrs.validators.instance_of(int), _count)
_unix_seconds = _make_number_validator(0, MAX_UNIX_MS / 1000)
_priority = _make_number_validator(RESUMED_PRIORITY, MAX_PRIORITY)


@attrs.frozen
class PlacementRequest:
    """A request to place a prompt.

    ``document`` identifies the shared prefix of ``shared_tokens`` tokens;
    ``own_tokens`` follow it.  The first event is to come within ``target_s``
    of the request's arrival; ``target_left_s`` is the time until the first
    event is late, ``left_s`` the time until the caller gives up waiting for
    it, and ``end_left_s`` that until the stream must have ended.  ``priority``
    0 is the most urgent of new requests, `RESUMED_PRIORITY` is for a stream
    that is resumed.
    ``output_events`` is the expected number of events.  ``tried`` are the
    ids of servers that must not be used, ``avoided`` of those that are only
    good to fetch a document from.  ``account`` is the name of the client
    account, '' without one.
    """

    service: str = attrs.field(validator=_text)
    request_id: str = attrs.field(validator=_text)
    document: str = attrs.field(validator=_text)
    shared_tokens: int = attrs.field(validator=_tokens)
    own_tokens: int = attrs.field(validator=_tokens)
    max_gap_s: float = attrs.field(validator=_positive_seconds)
    target_s: float = attrs.field(validator=_positive_seconds)
    target_left_s: float = attrs.field(validator=_seconds)
    left_s: float = attrs.field(validator=_seconds)
    priority: int = attrs.field(validator=_priority, default=0)
    end_left_s: float = attrs.field(validator=_seconds, default=MAX_SECONDS)
    output_events: float = attrs.field(validator=_count, default=0.0)
    tried: tuple = attrs.field(validator=_texts, converter=tuple, default=())
    account: str = attrs.field(validator=_text, default='')
    avoided: tuple = attrs.field(validator=_texts, converter=tuple, default=())


@attrs.frozen
class Assignment:
    """The placement of a prompt, by server ids.

    ``prefill`` is '' if the decode engine prefills the prompt itself.
    ``fetch_from`` is '' or the engine from which the document is fetched.
    ``tokens`` is the number of tokens left to prefill.  That takes ``cost_s``
    without and ``expected_s`` with the queue.
    """

    decode: str = attrs.field(validator=_text)
    prefill: str = attrs.field(validator=_text)
    fetch_from: str = attrs.field(validator=_text)
    tokens: int = attrs.field(validator=_tokens)
    expected_s: float = attrs.field(validator=_positive_seconds)
    cost_s: float = attrs.field(validator=_positive_seconds, default=0.0)


@attrs.frozen
class Queued:
    """The prompt waits for an engine, probably for ``expected_s``.

    The `Assignment` or `Rejection` follows.
    """

    expected_s: float = attrs.field(validator=_positive_seconds)


@attrs.frozen
class Rejection:
    """No engine can answer before the caller gives up.

    There is expected to be room for the prompt after ``retry_after_s``.
    """

    retry_after_s: float = attrs.field(validator=_positive_seconds)


@attrs.frozen
class EnginePause:
    """An engine changes its stage and accepts no requests for some seconds."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    seconds: float = attrs.field(validator=_positive_seconds)


@attrs.frozen
class StageRequest:
    """A request to change an engine to the given stage."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    stage: str = attrs.field(
        validator=attrs.validators.in_([s.value for s in registry.Stage])
    )


@attrs.frozen
class Outcome:
    """The outcome of a prompt: prefilled in ``seconds``, or -1 if it was not.

    ``failed`` is the id of an engine that failed the prompt, or ''.
    ``decode`` is the engine that streams it; ``running``, ``waiting`` and
    ``slots`` are the load that this engine reported.  ``slots`` is 0 if it
    reported none.
    """

    service: str = attrs.field(validator=_text)
    request_id: str = attrs.field(validator=_text)
    seconds: float = attrs.field(validator=_seconds)
    failed: str = attrs.field(validator=_text, default='')
    decode: str = attrs.field(validator=_text, default='')
    running: int = attrs.field(validator=_count, default=0)
    waiting: int = attrs.field(validator=_count, default=0)
    slots: int = attrs.field(validator=_count, default=0)


@attrs.frozen
class StreamPace:
    """The last of ``events`` events came ``seconds`` after the first."""

    service: str = attrs.field(validator=_text)
    server: str = attrs.field(validator=_text)
    events: int = attrs.field(validator=_count)
    seconds: float = attrs.field(validator=_positive_seconds)


@attrs.frozen
class CrashReport:
    """An engine crashed ``age_s`` ago while requests were in progress.

    A row of ``uses`` stands for a shared part of a request's prompt: its id,
    the id of the prompt's last part, the part's index in the prompt and the
    seconds between the send of the request and the crash.
    """

    server: str = attrs.field(validator=_text)
    started_ms: int = attrs.field(validator=_milliseconds)
    age_s: float = attrs.field(validator=_positive_seconds)
    uses: tuple = attrs.field(
        validator=_make_rows_validator(_text, _text, _count, _seconds),
        converter=tuple,
    )


@attrs.frozen
class PartsServed:
    """Parts of prompts that were answered; a row has an id and an age."""

    parts: tuple = attrs.field(
        validator=_make_rows_validator(_text, _positive_seconds),
        converter=tuple,
    )


@attrs.frozen
class PartQuarantined:
    """A part of prompts crashes engines and is refused for ``term_s``."""

    part_id: str = attrs.field(validator=_text)
    term_s: float = attrs.field(validator=_positive_seconds)


@attrs.frozen
class ServerLimit:
    """A server takes ``per_s`` requests a second, None for any number."""

    server: str = attrs.field(validator=_text)
    started_ms: int = attrs.field(validator=_milliseconds)
    address: str = attrs.field(validator=_text)
    per_s: float | None = attrs.field(
        validator=attrs.validators.optional(_positive_seconds)
    )


@attrs.frozen
class DemandSample:
    """The demand at a VM since its last sample.

    A row stands for a service: its name, the requests that are open, and
    those that ended, were late and were refused.  ``unix_s`` is the sender's
    time, 0 if it is not told.
    """

    vm: str = attrs.field(validator=_text)
    rows: tuple = attrs.field(
        validator=_make_rows_validator(_text, _count, _count, _count, _count),
        converter=tuple,
    )
    unix_s: float = attrs.field(validator=_unix_seconds, default=0.0)


@attrs.frozen
class DemandTaken:
    """The answer to a `DemandSample`, from the VM that takes it.

    ``run`` is the start of its process, 0 if it is not told.
    """

    vm: str = attrs.field(validator=_text)
    unix_s: float = attrs.field(validator=_unix_seconds, default=0.0)
    run: int = attrs.field(validator=_integer, default=0)


@attrs.frozen
class UsageCounts:
    """A piece of a VM's counts for one window, number ``piece`` of ``pieces``.

    A row has the name of an account and its requests.  ``run`` is the start of
    the VM's process, since a restarted one counts anew.
    """

    vm: str = attrs.field(validator=_text)
    run: int = attrs.field(validator=_integer)
    window: int = attrs.field(validator=_integer)
    piece: int = attrs.field(validator=_integer)
    pieces: int = attrs.field(validator=_integer)
    rows: tuple = attrs.field(
        validator=_make_rows_validator(_text, _whole_count), converter=tuple
    )


@attrs.frozen
class UsageTaken:
    """The answer to a `UsageCounts`, from the VM that takes it.

    ``run`` is the start of its process: a restarted one has lost the counts.
    The counts are those of ``counted_run`` of the VM ``counted_vm``.
    """

    vm: str = attrs.field(validator=_text)
    run: int = attrs.field(validator=_integer)
    counted_vm: str = attrs.field(validator=_text)
    counted_run: int = attrs.field(validator=_integer)
    window: int = attrs.field(validator=_integer)
    piece: int = attrs.field(validator=_integer)


KINDS = (
    PlacementRequest,
    Assignment,
    Queued,
    Rejection,
    EnginePause,
    StageRequest,
    Outcome,
    StreamPace,
    CrashReport,
    PartsServed,
    PartQuarantined,
    ServerLimit,
    DemandSample,
    DemandTaken,
    UsageCounts,
    UsageTaken,
)
