"""What the stages of forwarding pass to each other.

A caller's request becomes a `CallerRequest`; each time that it is sent to a
backend server a `Dispatch` says what goes with it; what comes back is an
`Answer`.  An adapter decodes and encodes the three, so that no stage knows
the names of headers.
"""

import attrs

from mangorock import registry


#: Statuses by which callers know that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a generation will read; ``parts`` in order, the last its own."""

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple = ()

    @property
    def shared_part_id(self):
        """Return the id of the largest part that others share, or ''."""
        shared = self.parts[:-1]
        if not shared:
            return ''
        return max(shared, key=lambda part: part.tokens).part_id

    @property
    def shared_tokens(self):
        """Return the tokens of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


@attrs.frozen
class CallerRequest:
    """A whole request of a caller.

    ``headers`` are the (name, value) bytes to pass on, without those of one
    connection and those that this system sets.  ``deadline_s`` is how long
    the caller waits, None if it does not say; ``received_s`` is the
    monotonic time of its last byte.  ``last_event_id`` is set where the
    caller resumes a stream.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple
    body: bytes
    received_s: float
    deadline_s: float | None = None
    last_event_id: int | None = None
    prompt: Prompt | None = None

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Handle:
    """A prefilled prompt that the engine at ``address`` keeps."""

    address: str
    handle_id: str
    tokens: int = 0


@attrs.frozen
class Dispatch:
    """One sending of a request to ``server``.

    ``left_s`` is the time that the server gets.  With ``is_prefill`` only
    the prompt is read and a `Handle` comes back; with ``handle`` the engine
    fetches that KV cache first.  ``fetch_from`` names an engine whose
    cached prefix may be copied.  ``resume_after`` is the id of the last
    event that the caller has.
    """

    server: registry.BackendServer
    left_s: float
    is_prefill: bool = False
    handle: Handle | None = None
    fetch_from: str = ''
    resume_after: int | None = None
    priority: int | None = None


@attrs.frozen
class LoadReport:
    """Requests running and waiting at a server with ``slots`` places."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class Answer:
    """The head of a backend server's answer.

    ``headers`` are those to pass on to the caller.  ``is_signed`` says that
    the server's signature came along, ``has_not_run`` that the server
    states that it did not run the request, ``is_encoded`` that the body is
    not the server's own.
    """

    status: int
    headers: tuple
    request_id: str = ''
    is_signed: bool = False
    has_not_run: bool = False
    is_encoded: bool = False
    load: LoadReport | None = None

    @property
    def misstates_not_run(self):
        """Say whether the status tells callers what the server does not.

        To callers it means that the request has not run.
        """
        return self.status in NOT_RUN_STATUSES and not self.has_not_run

    @property
    def is_success(self):
        """Say whether the status is 2xx."""
        return 200 <= self.status < 300
