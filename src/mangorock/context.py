"""The state of one request while it is served.

Example::

    context = RequestContext(
        request, route, reply, deadline_s, service, ledger
    )
    context.left_s                                   # 1.4
"""

import time

import attrs

from mangorock import budget
from mangorock import catalog
from mangorock import ingress
from mangorock import sending


@attrs.define
class RequestContext:
    """The state of one request while it is served.

    ``ledger`` has all its sends to servers of ``service``, ``sends`` counts
    those that did not only prefill the prompt.  ``runs`` counts those of them
    that may have run, and ``prefills`` the calls to prefill that a server may
    have accepted.  ``account`` is the `catalog.Account` of its key, None if it
    needs none.  ``counted_window`` is the window of the usage reports that
    counts it, None if none does.
    """

    request: object
    route: catalog.Route
    reply: ingress.Reply
    deadline_s: float
    service: str
    ledger: budget.Ledger
    account: catalog.Account | None = None
    tried: set = attrs.field(factory=set)
    sends: int = 0
    runs: int = 0
    prefills: int = 0
    unsent_attempts: int = 0
    may_have_run: bool = False
    placed_at_s: float = 0.0
    sent_at_s: float = 0.0
    begun_at_s: float = 0.0
    prompt_read_at_s: float = 0.0
    first_event_at_s: float = 0.0
    server_ids: str = ''
    counted_window: int | None = None

    @property
    def priority(self):
        """Return the priority, that of the account before the route's."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def account_name(self):
        """Return the name of the client account, '' if there is none."""
        return self.account.name if self.account is not None else ''

    @property
    def servers(self):
        """Return the number of servers on which the request may have run.

        Only the first accepted call to prefill is left out.
        """
        return self.runs + max(0, self.prefills - 1)

    @property
    def is_server_left(self):
        """Say whether the route allows the request on another server."""
        return self.servers < self.route.max_servers

    @property
    def is_prefill_left(self):
        """Say whether the route allows a prefill and a decode after it."""
        needed = 2 if self.prefills else 1
        return self.servers + needed <= self.route.max_servers

    def begin_attempt(self):
        """Count a send as one that may have run.

        Returns what `record_outcome` takes once its outcome is known.
        """
        self.sends += 1
        self.runs += 1
        may_have_run_before, self.may_have_run = self.may_have_run, True
        return may_have_run_before

    def record_outcome(self, outcome, may_have_run_before):
        """Undo what was assumed of an attempt that did not run."""
        unsent = sending.Unreachable, sending.Unsent
        if isinstance(outcome, (*unsent, sending.Refused)):
            self.may_have_run = may_have_run_before
            self.runs -= 1
        if isinstance(outcome, unsent):
            self.sends -= 1
            self.ledger.on_unreachable()

    def record_placement(self, servers):
        """Record when and on which servers the request was placed."""
        self.placed_at_s = time.monotonic()
        self.server_ids = '+'.join(server.server_id for server in servers)

    def seconds_since_received(self, moment_s):
        """Return the seconds from receipt to a moment, -1 if it is unset."""
        return moment_s - self.request.received_s if moment_s else -1

    @property
    def left_s(self):
        """Return the seconds until the deadline."""
        return self.deadline_s - time.monotonic()
