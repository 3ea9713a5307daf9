"""Data classes that the stages of request forwarding exchange.

A caller's request becomes a `CallerRequest`.  A `Dispatch` holds the
parameters of each send to a backend server, and an `Answer` the head of the
server's answer.  An adapter decodes and encodes all three, so that no stage
depends on the names of headers.
"""

import attrs

from mangorock import registry


#: Another server responded than the request was sent to.
MISDIRECTED = 421
#: Statuses that tell callers that a request has not run.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, 503))


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """The prompt of a generation.

    ``parts`` are in order; other requests may share all but the last.
    ``length_hint`` is the caller's estimate of the output tokens, often far
    off, or None.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple = ()
    length_hint: int | None = None

    @property
    def expected_output_tokens(self):
        """Return the output tokens to expect."""
        if self.length_hint is None:
            return self.max_output_tokens
        return min(self.length_hint, self.max_output_tokens)

    @property
    def shared_part_id(self):
        """Return the id of the largest shared part, or ''."""
        shared = self.parts[:-1]
        if not shared:
            return ''
        return max(shared, key=lambda part: part.tokens).part_id

    @property
    def shared_tokens(self):
        """Return the tokens of all shared parts."""
        return sum(part.tokens for part in self.parts[:-1])


@attrs.frozen
class CallerRequest:
    """A complete request of a caller.

    ``headers`` are the (name, value) bytes to forward, without hop-by-hop
    headers, those that this system sets and the key.  ``key`` identifies the
    client account, None if there is none or more than one.  ``deadline_s``
    is how long the caller waits, None if it does not say; ``received_s`` is
    the monotonic time of the request's last byte.  ``last_event_id`` is set
    where the caller resumes a stream.
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
    key: str | None = attrs.field(default=None, repr=False)

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Handle:
    """The KV cache of a prefilled prompt, held at ``address``."""

    address: str
    handle_id: str
    tokens: int = 0


@attrs.frozen
class Dispatch:
    """The parameters of one send of a request to ``server``.

    ``left_s`` is the time that the server has.  With ``is_prefill`` the
    engine only prefills the prompt and returns a `Handle`; with ``handle``
    it first fetches that KV cache.  ``fetch_from`` is the address of an
    engine whose cached prefix may be copied.  ``resume_after`` is the id of
    the last event that the caller has received.  ``account`` is the name of
    the client account, '' if there is none.  ``has_slot`` says that a slot
    under the server's limit on requests was taken for it.
    """

    server: registry.BackendServer
    left_s: float
    is_prefill: bool = False
    handle: Handle | None = None
    fetch_from: str = ''
    resume_after: int | None = None
    priority: int | None = None
    account: str = ''
    has_slot: bool = False


@attrs.frozen
class LoadReport:
    """Requests running and waiting at a server that runs ``slots`` at once.

    ``pace`` is how long work takes there at the moment in relation to the
    usual time: 2.0 is half the speed.  It is None if the server doesn't say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@attrs.frozen
class Answer:
    """The head of a backend server's answer.

    ``headers`` are those to forward to the caller.  ``is_signed`` says that
    the answer carries the server's signature, ``has_not_run`` that the
    server states that it did not run the request, ``is_encoded`` that the
    body has a content encoding and so is not as the server wrote it.
    ``is_leaving`` says that the server stops soon, ``retry_after_s`` for how
    long it wants no requests, and ``limit_per_s`` how many requests a second
    it takes from all VMs: None if it does not say, NaN if what it says is not
    a number.
    """

    status: int
    headers: tuple
    request_id: str = ''
    is_signed: bool = False
    has_not_run: bool = False
    is_encoded: bool = False
    load: LoadReport | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None

    @property
    def refusal_s(self):
        """Return for how long the server refuses, None if it does not."""
        return self.retry_after_s if self.status == 503 else None

    @property
    def misstates_not_run(self):
        """Return whether the status claims more than the server states.

        Callers conclude from it that the request has not run.
        """
        return self.status in NOT_RUN_STATUSES and not self.has_not_run

    @property
    def is_success(self):
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300
