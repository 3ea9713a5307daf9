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
    those that did not only prefill the prompt.  ``account`` is the
    `catalog.Account` of its key, None if it needs none.  ``counted_window`` is
    the window of the usage reports that counts it, None if none does.
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

    def record_outcome(self, outcome, may_have_run_before):
        """Undo what was assumed of an attempt that turns out not to have run.

        Every attempt counts as a send that may have run until its outcome
        is known.
        """
        unsent = sending.Unreachable, sending.Unsent
        if isinstance(outcome, (*unsent, sending.Refused)):
            self.may_have_run = may_have_run_before
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
