"""Property tests of stream resumption, the retry budget and draining servers.

For each property, a test disables or changes the mechanism behind it and
expects the property test to fail.
"""

import math
import unittest
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies

from mangorock import budget
from mangorock import events
from mangorock import presence
from mangorock import registry

SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
)
# The platform allows retries for this share of the requests to a service in
# each window, and this many more.
ALLOWED_SHARE = 0.2
ALLOWED_SLACK = 56
WINDOW_S = 10
# Longer than others need to take the part of a VM that is cut off.
DAY_S = 100


def find_failure(check):
    """Return the assertion error of a check, None if it passes."""
    try:
        check()
    except AssertionError as exc:
        return exc
    return None


def encode_events(first, last):
    """Return the encoded events ``first`` to ``last``."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


@SETTINGS
@hypothesis.given(
    total=strategies.integers(1, 12),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=4),
    piece=strategies.integers(1, 60),
)
def check_resumption(total, cuts, piece):
    """Check that a stream cut at any byte is resumed on another server.

    The caller receives each event exactly once and in order.
    """
    splitter, received = events.EventSplitter(), b''
    for cut in [*cuts, 100000]:
        data = encode_events((splitter.last_id or 0) + 1, total)[:cut]
        for start in range(0, len(data), piece):
            received += splitter.feed(data[start : start + piece])
        if cut < 100000:
            splitter.restart()
    assert received == encode_events(1, total), received
    assert splitter.is_between_events


class Resumption(unittest.TestCase):
    """Resumption of a stream by `events.EventSplitter` on other servers."""

    def test_caller_receives_each_event_once(self):
        check_resumption()

    def test_finds_partial_event_kept_after_restart(self):
        with mock.patch.object(
            events.EventSplitter, 'restart', lambda self: None
        ):
            with self.assertRaises((AssertionError, events.EventOrderError)):
                check_resumption()


@attrs.define
class SimulatedVm:
    """The budgets of one VM, and its key in the store."""

    budgets: budget.Budgets
    counter: presence.VmCounter = attrs.field(factory=presence.VmCounter)
    key_until_s: float = 0.0

    def restart(self):
        """Forget all but the key, which the store keeps."""
        self.budgets = make_budgets()
        self.counter = presence.VmCounter()

    def step(self, now, keys):
        """Renew the key, or write it again, and count the ``keys``."""
        if now % presence.RENEW_S == 0:
            if self.key_until_s and self.key_until_s < now:
                self.budgets.share.on_lost()
            self.budgets.share.on_renewed(now, now)
            self.key_until_s = now + presence.LEASE_S
        if now % presence.COUNT_INTERVAL_S == 0:
            vms = self.counter.add_count(keys)
            self.budgets.share.on_count(vms, now)


def make_budgets():
    """Return the budgets of a VM within the platform's bound."""
    return budget.Budgets(
        budget.make_terms(ALLOWED_SHARE, WINDOW_S, ALLOWED_SLACK)
    )


def send_failing(vm, service, repeats, now):
    """Serve a request whose sends fail; return how often it was repeated."""
    ledger = vm.budgets.open(service, now)
    ledger.send(now)
    sent = 0
    while sent < repeats and ledger.reserve(now) and ledger.send(now):
        sent += 1
    ledger.close()
    return sent


def allowed_repeats(requests, start):
    """Return the bound for the window that begins at ``start``.

    The platform takes the requests of this window, of the one before it or of
    the one half a window before it, whichever are most.
    """
    counts = (
        sum(requests[max(0, first) : max(0, first + WINDOW_S)])
        for first in (start, start - WINDOW_S // 2, start - WINDOW_S)
    )
    return ALLOWED_SHARE * max(counts) + ALLOWED_SLACK


TROUBLES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 19),  # VM
        strategies.integers(0, 60),  # second
        strategies.integers(0, 60),  # seconds without the store, 0: restart
    ),
    max_size=20,
)


# A failure is found by most examples, and takes long to be made smaller.
BUDGET_SETTINGS = hypothesis.settings(
    SETTINGS,
    max_examples=60,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)


@BUDGET_SETTINGS
@hypothesis.given(
    vms=strategies.sampled_from((1, 3, 8, 20, 100)),
    pattern=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 120),  # requests for the service
            strategies.integers(0, 120),  # requests for another one
        ),
        min_size=1,
        max_size=4,
    ),
    troubles=TROUBLES,
    repeats=strategies.integers(0, 4),
)
@hypothesis.example(
    vms=8,
    pattern=[(0, 0), (20, 0)],
    troubles=[(number, 53, 0) for number in range(8)],
    repeats=4,
)
@hypothesis.example(
    vms=8,
    pattern=[(0, 0), (20, 0)],
    troubles=[(number, 25, DAY_S) for number in range(4)],
    repeats=4,
)
def check_budget(vms, pattern, troubles, repeats):
    """Check that VMs that use up their budgets stay within the fleet's.

    VMs restart, and are cut off from the store for a time, so that others
    count fewer of them.
    """
    fleet = [SimulatedVm(make_budgets()) for _ in range(vms)]
    requests, sent = [], []
    for now in range(DAY_S):
        for number, start, length in troubles:
            if start == now and not length:
                fleet[number % vms].restart()
        keys = sum(vm.key_until_s >= now for vm in fleet)
        for number, vm in enumerate(fleet):
            is_cut = any(
                number == other % vms and start <= now < start + length
                for other, start, length in troubles
            )
            if not is_cut:
                vm.step(now, keys)
        served, others = pattern[now * len(pattern) // DAY_S]
        requests.append(served)
        for number in range(others):
            send_failing(fleet[number % vms], 'other', 0, now)
        sent.append(
            sum(
                send_failing(fleet[(now + n) % vms], 'desk', repeats, now)
                for n in range(served)
            )
        )
    for start in range(len(requests)):
        found = sum(sent[start : start + WINDOW_S])
        assert found <= allowed_repeats(requests, start), (start, found)


class Budget(unittest.TestCase):
    """The sum of the `budget.Budgets` of all VMs."""

    def test_fleet_stays_within_its_budget(self):
        check_budget()

    def test_finds_excessive_retry_ratio(self):
        with mock.patch.object(budget, 'USED_SHARE', 2.5):
            self.assertIsNotNone(find_failure(check_budget))

    def test_finds_slack_that_is_not_divided(self):
        with mock.patch.object(presence.SlackShare, 'part', lambda *args: 1.0):
            self.assertIsNotNone(find_failure(check_budget))

    def test_finds_slack_of_vms_that_others_do_not_count(self):
        def part(self, settle_s, now):
            trusted = attrs.evolve(self, renewed_s=now)
            trusted.counts = [(now, vms) for _, vms in self.counts[-1:]]
            return original_part(trusted, settle_s, now)

        original_part = presence.SlackShare.part
        with mock.patch.object(presence.SlackShare, 'part', part):
            self.assertIsNotNone(find_failure(check_budget))

    def test_finds_slack_that_a_restart_gives_anew(self):
        def part(self, settle_s, now):
            anew = attrs.evolve(self, held_since_s=-math.inf)
            return original_part(anew, settle_s, now)

        original_part = presence.SlackShare.part
        with mock.patch.object(presence.SlackShare, 'part', part):
            self.assertIsNotNone(find_failure(check_budget))

    def test_finds_budget_that_services_share(self):
        def service(self, name):
            return original_service(self, 'any')

        original_service = budget.Budgets.service
        with mock.patch.object(budget.Budgets, 'service', service):
            self.assertIsNotNone(find_failure(check_budget))


ENTRIES = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 2),  # born
        strategies.integers(1, 5),  # sequence
    ),
    min_size=1,
    max_size=12,
)


@SETTINGS
@hypothesis.given(
    entries=ENTRIES,
    drains_at=strategies.tuples(
        strategies.integers(1, 5), strategies.integers(1, 5)
    ),
)
def check_draining(entries, drains_at):
    """Check that no entry makes a draining server available again.

    Entries arrive late and out of order.  The server instance born at ``n``
    drains from the sequence number ``drains_at[n - 1]`` on.
    """
    register, drained = registry.Registry(), set()
    for now, (started_ms, sequence) in enumerate(entries):
        is_draining = sequence >= drains_at[started_ms - 1]
        server = registry.BackendServer(
            'e1', 's', '', 'a', 8, started_ms, sequence, is_draining
        )
        register.put(server)
        if is_draining:
            drained.add(server.incarnation)
        for offered in register.candidates('s', now):
            newest = max(born for born, _ in entries[: now + 1])
            assert offered.incarnation not in drained
            assert offered.started_ms == newest


class Draining(unittest.TestCase):
    """`registry.Registry` with entries in any order of arrival."""

    def test_draining_server_is_never_offered_again(self):
        check_draining()

    def test_finds_accepted_older_entries(self):
        with mock.patch.object(registry, '_is_older', lambda a, b: False):
            self.assertIsNotNone(find_failure(check_draining))


if __name__ == '__main__':
    unittest.main()
