"""Fuzzing of resumption, of the retry budget and of draining servers.

Each property has a mutation of its mechanism that the fuzzing must find.
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
# What the platform allows in each window: this part of the requests for a
# service, and so many more.
ALLOWED_SHARE = 0.2
ALLOWED_SLACK = 56
WINDOW_S = 10


def find_fault(check):
    """Return the assertion that a check ends with, None if it passes."""
    try:
        check()
    except AssertionError as exc:
        return exc
    return None


def encode(first, last):
    """Return the bytes of events ``first`` to ``last``."""
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
    """A stream cut at any byte goes on elsewhere; the caller gets one run."""
    splitter, got = events.EventSplitter(), b''
    for cut in [*cuts, 100000]:
        data = encode((splitter.last_id or 0) + 1, total)[:cut]
        for start in range(0, len(data), piece):
            got += splitter.feed(data[start : start + piece])
        if cut < 100000:
            splitter.restart()
    assert got == encode(1, total), got
    assert splitter.is_between_events


class Resumption(unittest.TestCase):
    """`events.EventSplitter` over several servers."""

    def test_caller_gets_one_run(self):
        check_resumption()

    def test_finds_a_half_event_that_is_kept(self):
        with mock.patch.object(
            events.EventSplitter, 'restart', lambda self: None
        ):
            with self.assertRaises((AssertionError, events.EventFault)):
                check_resumption()


@SETTINGS
@hypothesis.given(
    vms=strategies.integers(1, 20),
    seconds=strategies.lists(
        strategies.integers(0, 200), min_size=1, max_size=40
    ),
    wanted=strategies.floats(0.0, 1.0),
)
def check_budget(vms, seconds, wanted):
    """VMs that retry all they may stay within the fleet's budget."""
    burst = max(1.0, gateway.FLEET_RETRY_BURST / vms)
    budgets = [
        limits.RetryBudget(burst, burst, gateway.RETRY_SHARE)
        for _ in range(vms)
    ]
    retries = []
    for second, requests in enumerate(seconds):
        spent = 0
        for number in range(requests):
            budget = budgets[(second + number) % vms]
            budget.earn()
            # Each failed request may be sent several times.
            for _ in range(round(4 * wanted)):
                spent += budget.spend()
        retries.append(spent)
    for start in range(len(seconds)):
        window = slice(start, start + WINDOW_S)
        allowed = ALLOWED_SHARE * sum(seconds[window]) + ALLOWED_SLACK
        assert sum(retries[window]) <= allowed


class Budget(unittest.TestCase):
    """`limits.RetryBudget` at all VMs together."""

    def test_fleet_stays_within_its_budget(self):
        check_budget()

    def test_finds_a_share_that_is_too_large(self):
        with mock.patch.object(gateway, 'RETRY_SHARE', 0.5):
            self.assertIsNotNone(find_fault(check_budget))

    def test_finds_a_burst_that_each_vm_has_for_itself(self):
        with mock.patch.object(gateway, 'FLEET_RETRY_BURST', 400.0):
            self.assertIsNotNone(find_fault(check_budget))


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
    """Entries come late and out of order; one that drains stays out.

    Life ``n`` drains from its report ``drains_at[n - 1]`` on.
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
    """`registry.Registry` with entries in any order."""

    def test_draining_life_is_never_offered_again(self):
        check_draining()

    def test_finds_older_entries_that_count(self):
        with mock.patch.object(registry, '_is_older', lambda a, b: False):
            self.assertIsNotNone(find_fault(check_draining))


if __name__ == '__main__':
    unittest.main()
