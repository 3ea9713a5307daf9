"""Tests of the account of memory and of the sockets, without a network."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from mangorock import buffers
from mangorock import descriptors
from mangorock import metrics

MAX_BYTES = 1_000_000
KINDS = tuple(buffers.Kind)
# Without shrinking, which took minutes for a failure.
PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)


@attrs.define(eq=False)
class Holder:
    """A caller or a server that holds memory."""

    cuts: list
    address: str = 'peer'

    def cut(self):
        """Record that the holder was cut off."""
        self.cuts.append(self)


@attrs.define
class Clock:
    """The time of the account."""

    now: float = 0.0

    def __call__(self):
        """Return the time."""
        return self.now


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 30),
        strategies.sampled_from(('add', 'set', 'unread', 'moved', 'remove')),
        strategies.sampled_from(KINDS),
        strategies.integers(0, 400_000),
        strategies.floats(0.0, 3.0),
    ),
    min_size=20,
    max_size=120,
)


def play(account, clock, holders, steps):
    """Play steps against an account; yield after each of them."""
    for number, action, kind, size, seconds in steps:
        clock.now += seconds
        holder = holders[number]
        match action:
            case 'add':
                account.add(holder, size, kind)
            case 'set':
                account.set(holder, size, kind)
            case 'unread':
                account.set_unread(holder, size)
            case 'moved':
                account.on_moved(holder, size)
            case 'remove':
                account.remove(holder)
        yield


class Account(unittest.TestCase):
    """The sum is bounded, and who has to go does not depend on luck."""

    @hypothesis.settings(
        max_examples=300, database=None, deadline=None, phases=PHASES
    )
    @hypothesis.given(STEPS)
    def test_sum_is_never_over_the_bound(self, steps):
        cuts, clock = [], Clock()
        account = buffers.Buffers(MAX_BYTES, clock)
        holders = [Holder(cuts) for _ in range(31)]
        for _ in play(account, clock, holders, steps):
            held = sum(entry.total for entry in account.entries.values())
            self.assertEqual(held, account.total_bytes)
            self.assertEqual(held, sum(account.held_bytes().values()))
            self.assertLessEqual(held, MAX_BYTES)
            self.assertEqual(
                sum(account.closing.values()), account.closing_bytes
            )
        for holder in holders:
            account.remove(holder)
        self.assertEqual((0, 0), (account.total_bytes, account.closing_bytes))

    @hypothesis.settings(
        max_examples=300, database=None, deadline=None, phases=PHASES
    )
    @hypothesis.given(STEPS)
    def test_requests_in_service_are_cut_off_last(self, steps):
        # A request in service may have run, so its caller should get the
        # answer.
        clock = Clock()
        account = buffers.Buffers(MAX_BYTES, clock)
        served, wrong = set(), []

        class Checked(Holder):
            def cut(self):
                kinds = {entry.kind for entry in account.entries.values()}
                if self in served and kinds - {buffers.Kind.SERVING}:
                    wrong.append(self)

        holders = [Checked([]) for _ in range(31)]
        for step in steps:
            number, action, kind, *_ = step
            if action in ('add', 'set'):
                change = served.add
                if kind is not buffers.Kind.SERVING:
                    change = served.discard
                change(holders[number])
            list(play(account, clock, holders, [step]))
        self.assertEqual([], wrong)

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 50_000), max_size=15),
        strategies.sampled_from(KINDS),
        strategies.floats(0.0, 60.0),
    )
    def test_whoever_is_alone_and_inside_the_limits_is_served(
        self, sizes, kind, seconds
    ):
        # However slow: neither cut off nor made to wait.
        cuts, clock = [], Clock()
        account = buffers.Buffers(MAX_BYTES, clock)
        holder = Holder(cuts)
        for size in sizes:
            account.add(holder, size, kind)
            clock.now += seconds
            self.assertFalse(account.must_wait(holder))
            self.assertFalse(account.is_behind)
        self.assertEqual([], cuts)

    def test_who_stands_still_goes_before_who_transfers(self):
        cuts, clock = [], Clock()
        account = buffers.Buffers(MAX_BYTES, clock)
        still, moving = Holder(cuts), Holder(cuts)
        account.add(still, 300_000, buffers.Kind.READING)
        clock.now = 10.0
        for _ in range(7):
            account.add(moving, 100_000, buffers.Kind.READING)
            clock.now += 0.1
        account.add(moving, 50_000, buffers.Kind.READING)
        self.assertEqual([still], cuts)

    def test_speed_does_not_protect_who_sends_without_end(self):
        cuts, clock = [], Clock()
        account = buffers.Buffers(MAX_BYTES, clock)
        small, endless = Holder(cuts), Holder(cuts)
        account.add(small, 5_000, buffers.Kind.READING)
        clock.now = 10.0
        for _ in range(40):
            account.add(endless, 50_000, buffers.Kind.ANSWER)
            clock.now += 0.01
        self.assertNotIn(small, cuts)
        self.assertIn(endless, cuts)

    def test_who_holds_most_waits_before_anyone_is_cut_off(self):
        cuts = []
        account = buffers.Buffers(MAX_BYTES, Clock())
        large, small = Holder(cuts), Holder(cuts)
        account.set(small, 8_000, buffers.Kind.READING)
        account.set(large, 700_000, buffers.Kind.READING)
        self.assertFalse(account.must_wait(large))
        account.set(large, 800_000, buffers.Kind.READING)
        self.assertEqual([], cuts)
        self.assertTrue(account.must_wait(large))
        self.assertFalse(account.must_wait(small))

    def test_new_memory_has_to_wait_for_what_is_not_free_yet(self):
        account = buffers.Buffers(MAX_BYTES, Clock())
        large, next_one = Holder([]), Holder([])
        account.set(large, 900_000, buffers.Kind.READING)
        account.set(next_one, 200_000, buffers.Kind.READING)
        self.assertTrue(account.is_behind)
        account.remove(large)
        self.assertFalse(account.is_behind)

    def test_metrics_of_cuts_are_named_by_kind(self):
        counted = metrics.Metrics()
        account = buffers.Buffers(100, Clock())
        account.on_cut = counted.count_cut
        account.set(Holder([]), 200, buffers.Kind.READING)
        self.assertEqual(1, counted.counts['cut_off.requests_read'])


class Sockets(unittest.TestCase):
    """Callers never take the sockets that others need."""

    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                descriptors.Peer,
                strategies.uuids(),
                strategies.booleans(),
                strategies.booleans(),
                strategies.floats(0, 100),
            ),
            max_size=60,
        ),
        strategies.integers(0, 60),
    )
    def test_closed_are_idle_ones_first_then_the_oldest(self, peers, limit):
        chosen = descriptors.choose_closed(peers, limit)
        by_id = {peer.connection: peer for peer in peers}
        closed = [by_id[connection] for connection in chosen]
        closable = [peer for peer in peers if not peer.is_served]
        excess = max(0, len(peers) - limit)
        self.assertGreaterEqual(len(closed), min(excess, len(closable)))
        self.assertFalse(any(peer.is_served for peer in closed))
        order = [(not peer.is_idle, peer.waits_since_s) for peer in closed]
        self.assertEqual(sorted(order), order)
        if not all(peer.is_idle for peer in closed):
            idle = [peer for peer in closable if peer.is_idle]
            self.assertTrue(all(peer in closed for peer in idle))

    def test_more_connections_to_servers_leave_fewer_to_callers(self):
        shares = descriptors.SocketShares(1438)
        self.assertEqual(1438 - 431, shares.max_callers(0))
        self.assertEqual(
            1438 - 600 - descriptors.FIXED_SOCKETS, shares.max_callers(600)
        )


if __name__ == '__main__':
    unittest.main()
