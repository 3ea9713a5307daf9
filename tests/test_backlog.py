"""Tests the order in which prompts leave the scheduler's queue."""

import unittest

import hypothesis
from hypothesis import strategies

from mangorock import backlog
from tests import test_scheduler

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)


def make_prompt(
    name, priority=0, target_s=0.6, left_s=2.4, shortest_s=0.1, cost_s=0.1
):
    request = test_scheduler.make_request(
        name, priority=priority, target_left_s=target_s, left_s=left_s
    )
    return backlog.WaitingPrompt(
        request, None, target_s, left_s, shortest_s, cost_s
    )


def names(prompts):
    return [prompt.request.request_id for prompt in prompts]


class Order(unittest.TestCase):
    """A burst of prompts of several kinds and ages."""

    def setUp(self):
        self.backlog = backlog.Backlog()

    def add(self, *args, **more):
        self.backlog.add(make_prompt(*args, **more))

    def test_urgent_prompts_go_first_then_the_first_latest_start(self):
        self.add('slow', 2, target_s=0.6)
        self.add('late start', 0, target_s=0.5, shortest_s=0.1)
        self.add('early start', 0, target_s=0.5, shortest_s=0.4)
        self.assertEqual(
            ['early start', 'late start', 'slow'],
            names(self.backlog.ordered(0.0)),
        )

    def test_prompt_that_is_late_anyhow_goes_after_those_in_time(self):
        self.add('late', 0, target_s=0.1, shortest_s=0.3)
        self.add('in time', 5, target_s=0.5, shortest_s=0.3)
        self.assertEqual(['in time', 'late'], names(self.backlog.ordered(0.0)))

    def test_flood_of_urgent_prompts_leaves_a_turn_to_others(self):
        self.add('other', 9, target_s=0.3)
        for number in range(20):
            self.add(f'urgent{number}', 0, target_s=0.5)
        first = []
        for _ in range(backlog.FAIR_TURN):
            name = names(self.backlog.ordered(0.0))[0]
            first.append(name)
            self.backlog.remove(name)
            self.backlog.on_assigned()
        self.assertIn('other', first)

    def test_lost_prompts_are_taken_out(self):
        self.add('lost', left_s=0.3, shortest_s=0.4)
        self.add('kept', left_s=0.5, shortest_s=0.4)
        self.assertEqual(['lost'], names(self.backlog.take_lost(0.0)))
        self.assertEqual(['kept'], names(self.backlog.ordered(0.0)))

    def test_repeated_request_keeps_its_place(self):
        prompt = make_prompt('r')
        self.backlog.add(prompt)
        self.assertTrue(self.backlog.refresh(prompt.request, 'new', 0.1))
        self.assertEqual([prompt], self.backlog.ordered(0.1))
        self.assertEqual('new', prompt.reply)


@SETTINGS
@hypothesis.given(
    rows=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.floats(0.05, 2.0),
            strategies.floats(0.01, 1.0),
        ),
        min_size=1,
        max_size=30,
    ),
    now=strategies.floats(0.0, 1.0),
)
def check_order(rows, now):
    """Check that no prompt in time waits behind a less urgent one."""
    found = backlog.Backlog()
    for number, (priority, target_s, shortest_s) in enumerate(rows):
        found.add(
            make_prompt(
                f'r{number}', priority, target_s, 3.0, shortest_s=shortest_s
            )
        )
    ordered = found.ordered(now)
    assert len(ordered) == len(rows)
    in_time = [p for p in ordered if p.may_be_in_time(now)]
    assert ordered[: len(in_time)] == in_time
    urgencies = [p.request.priority for p in in_time]
    assert urgencies == sorted(urgencies)


class OrderOfAnyLoad(unittest.TestCase):
    """The order over generated loads."""

    def test_no_prompt_in_time_waits_behind_a_less_urgent_one(self):
        check_order()


if __name__ == '__main__':
    unittest.main()
