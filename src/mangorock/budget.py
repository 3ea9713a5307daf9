"""The retry budget of each service on the platform, and who draws on it.

The platform bounds the repeated arrivals at each service in any window of
time: by a share of the requests for that service, and a slack that all VMs
have together.  Each VM keeps within the share of the requests that it
received itself and its part of the slack, so that the sum keeps within the
bound whatever the VMs know of each other.

The platform takes the requests of one of three windows, whichever has most
over all VMs.  A VM cannot know which one, so it takes the mean of the three:
the sum of the means is never more than the largest of the sums.

All sends of a request pass its `Ledger`, which pays for those beyond the
first.  The first call that a server accepts and that only prefills the prompt
is free.  What will be needed is reserved before a request waits for a server
again, so that it does not wait in vain.

These are state machines without clocks or sockets.  Their times are those of
a clock that advances while the VM is suspended, as the platform's window does.

Example::

    budgets = Budgets(make_terms(ratio=0.2, window_s=10.0, slack=56))
    ledger = budgets.open('orders', now)    # for each request
    ledger.send(now)                        # True: the first send is free
    ledger.reserve(now)                     # may it be sent once more?
    ledger.send(now)                        # takes what was reserved
    ledger.close()
"""

import bisect

import attrs

from mangorock import presence

# A repeat counts for this much longer than the window, as it reaches its
# server some time after it was paid for.
TRANSIT_S = 1.0
# Share of the platform's bound that the VMs use, since the platform may count
# some requests and arrivals that a VM cannot, or in a neighbouring window.
USED_SHARE = 0.9
# The platform counts requests in the window of the repeats, in the one before
# it and in the one half a window before it.
WINDOWS_BEFORE = (0.0, 0.5, 1.0)
# Share of a window by which the beginnings of checked spans differ at most.
CHECKED_STEP = 0.05


@attrs.frozen
class Terms:
    """The bound on the repeated arrivals at one service.

    In each window of ``window_s`` seconds they may be ``ratio`` of the
    requests for the service and ``slack`` more.
    """

    ratio: float
    window_s: float
    slack: float


def make_terms(ratio, window_s, slack):
    """Return the `Terms` to keep within the platform's bound."""
    return Terms(USED_SHARE * ratio, window_s, USED_SHARE * slack)


@attrs.define
class ServiceBudget:
    """The requests for one service in recent windows, and their repeats.

    ``requests`` and ``repeats`` are the sorted times of both.  ``reserved``
    counts repeats that are promised but not sent yet.
    """

    terms: Terms
    share: presence.SlackShare
    requests: list = attrs.field(factory=list)
    repeats: list = attrs.field(factory=list)
    reserved: int = 0

    @property
    def span_s(self):
        """Return how long before their arrival repeats may be paid for."""
        return self.terms.window_s + TRANSIT_S

    def earn(self, now):
        """Record a request for the service."""
        self.requests.append(now)
        self.forget_old(now)

    def forget_old(self, now):
        """Drop what no longer counts."""
        _drop_before(self.requests, now - 2 * self.terms.window_s)
        _drop_before(self.repeats, now - self.span_s)

    def left(self, now):
        """Return how many repeats are allowed now; below 0 for none."""
        self.forget_old(now)
        slack = self.terms.slack * self.share.part(self.span_s, now)
        return slack - self.reserved + self._least_earned(now)

    def _least_earned(self, now):
        """Return what is left of the share of the requests.

        That is the least over all spans that end now, as a repeat counts in
        each of them.
        """
        step_s = CHECKED_STEP * self.terms.window_s
        steps = int(self.span_s / step_s)
        starts = {now - number * step_s for number in range(steps + 1)}
        starts = sorted(starts.union(self.repeats))
        pairs = zip([now - self.span_s, *starts], starts)
        return min(self._earned_between(low, high) for low, high in pairs)

    def _earned_between(self, low, high):
        """Return the same for the spans that begin from ``low`` to ``high``.

        Counts the requests that are in the windows of all of them.
        """
        window_s, requests = self.terms.window_s, 0
        for windows in WINDOWS_BEFORE:
            shift_s = TRANSIT_S - windows * window_s
            first = bisect.bisect_left(self.requests, high + shift_s)
            end = bisect.bisect_right(self.requests, low + shift_s + window_s)
            requests += max(0, end - first)
        spent = len(self.repeats) - bisect.bisect_left(self.repeats, high)
        return self.terms.ratio * requests / len(WINDOWS_BEFORE) - spent

    def reserve(self, count, now):
        """Promise some repeats; return whether the budget allows them."""
        if count > 0 and self.left(now) < count:
            return False
        self.reserved += max(0, count)
        return True

    @property
    def is_idle(self):
        """Say whether the budget knows of nothing."""
        return not (self.requests or self.repeats or self.reserved)


def _drop_before(times, moment):
    del times[: bisect.bisect_left(times, moment)]


@attrs.define
class Ledger:
    """The arrivals of one request, and what was paid for them.

    ``sends`` counts all of them.  ``counted`` leaves out the first accepted
    call that only prefilled and all that reached no server, ``paid`` those
    that were free.  ``paid_at_s`` is the payment of the last send, if any.
    """

    budget: ServiceBudget
    sends: int = 0
    counted: int = 0
    paid: int = 0
    reserved: int = 0
    is_prefilled: bool = False
    paid_at_s: float | None = None

    def needed(self, is_prefill=False):
        """Return the repeats to pay for until the request runs.

        ``is_prefill`` says that a call before it only prefills the prompt.
        """
        arrivals = 2 if is_prefill and self.is_prefilled else 1
        return arrivals if self.counted else arrivals - 1

    def can_pay(self, now, is_prefill=False):
        """Return whether the request could be sent at this moment."""
        missing = self.needed(is_prefill) - self.reserved
        return missing <= 0 or self.budget.left(now) >= missing

    def reserve(self, now, is_prefill=False):
        """Reserve what the request needs; return whether that is allowed."""
        missing = self.needed(is_prefill) - self.reserved
        if not self.budget.reserve(missing, now):
            return False
        self.reserved += max(0, missing)
        return True

    def send(self, now, is_prefill=False):
        """Record a send that is about to start, and pay for a repeat.

        Returns whether the budget allows it.  What is still reserved when the
        request is sent to run is given back.
        """
        self.paid_at_s = None
        if self.counted:
            if not self.reserved and not self.budget.reserve(1, now):
                return False
            if self.reserved:
                self.reserved -= 1
            self._pay(now)
        self.sends += 1
        self.counted += 1
        if not is_prefill:
            self.close()
        return True

    def _pay(self, now):
        """Turn what is reserved into a payment."""
        self.budget.reserved -= 1
        self.budget.repeats.append(now)
        self.paid_at_s = now
        self.paid += 1

    def on_unreachable(self):
        """Take back the last send, as nothing reached a server."""
        self.sends -= 1
        self._take_back()

    def on_prefilled(self):
        """Record that a server accepted the call to prefill the prompt."""
        if not self.is_prefilled:
            self.is_prefilled = True
            self._take_back()

    def _take_back(self):
        self.counted -= 1
        if self.paid_at_s is None:
            return
        # An old payment may have been dropped in the meantime.
        if self.paid_at_s in self.budget.repeats:
            self.budget.repeats.remove(self.paid_at_s)
        self.paid_at_s = None
        self.paid -= 1
        # The next send is a repeat like this one.
        self.budget.reserved += 1
        self.reserved += 1

    def close(self):
        """Give back what was reserved; idempotent."""
        self.budget.reserved -= self.reserved
        self.reserved = 0


@attrs.define
class Budgets:
    """The budgets of all services at this VM.

    ``share`` is this VM's part of the slack.
    """

    terms: Terms
    share: presence.SlackShare = attrs.field(factory=presence.SlackShare)
    services: dict = attrs.field(factory=dict)

    def service(self, name):
        """Return the `ServiceBudget` of a service, created on first use."""
        found = self.services.get(name)
        if found is None:
            found = ServiceBudget(self.terms, self.share)
            self.services[name] = found
        return found

    def open(self, name, now):
        """Record a request for a service; return its `Ledger`."""
        budget = self.service(name)
        budget.earn(now)
        return Ledger(budget)

    def forget_idle(self, now):
        """Drop the budgets of services that are no longer used."""
        for name, budget in list(self.services.items()):
            budget.forget_old(now)
            if budget.is_idle:
                del self.services[name]
