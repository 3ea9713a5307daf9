"""Property tests of stream resumption, the retry budget and draining servers.

For each property, a test disables or changes the mechanism behind it and
expects the property test to fail.
"""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from mangorock import events
from mangorock import gateway
from mangorock import limits
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


@SETTINGS
@hypothesis.given(
    vms=strategies.integers(1, 20),
    seconds=strategies.lists(
        strategies.integers(0, 200), min_size=1, max_size=40
    ),
    retry_ratio=strategies.floats(0.0, 1.0),
)
def check_budget(vms, seconds, retry_ratio):
    """Check that VMs that use up their budgets stay within the fleet's."""
    burst = max(1.0, gateway.FLEET_RETRY_BURST / vms)
    budgets = [
        limits.RetryBudget(burst, burst, gateway.RETRY_BUDGET_RATIO)
        for _ in range(vms)
    ]
    retries = []
    for second, requests in enumerate(seconds):
        spent = 0
        for number in range(requests):
            budget = budgets[(second + number) % vms]
            budget.earn()
            # Each failed request may be sent several times.
            for _ in range(round(4 * retry_ratio)):
                spent += budget.spend()
        retries.append(spent)
    for start in range(len(seconds)):
        window = slice(start, start + WINDOW_S)
        allowed = ALLOWED_SHARE * sum(seconds[window]) + ALLOWED_SLACK
        assert sum(retries[window]) <= allowed


class Budget(unittest.TestCase):
    """The sum of the `limits.RetryBudget` of all VMs."""

    def test_fleet_stays_within_its_budget(self):
        check_budget()

    def test_finds_excessive_retry_ratio(self):
        with mock.patch.object(gateway, 'RETRY_BUDGET_RATIO', 0.5):
            self.assertIsNotNone(find_failure(check_budget))

    def test_finds_excessive_fleet_burst(self):
        with mock.patch.object(gateway, 'FLEET_RETRY_BURST', 400.0):
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
