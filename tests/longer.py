"""Runs the fuzzing with a seed and more examples than CI does.

Prints the number of examples and the time for each state machine.

Usage: ``python -m tests.longer --seed N --examples M``.
"""

import argparse
import time

import hypothesis

from tests import test_fuzz

MACHINES = (
    test_fuzz.Cluster,
    test_fuzz.CheckingCluster,
    test_fuzz.PlainCluster,
    test_fuzz.Changes,
    test_fuzz.CheckingChanges,
)


def main():
    """Fuzz every state machine."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--examples', type=int, default=500)
    args = parser.parse_args()
    settings = hypothesis.settings(
        test_fuzz.SETTINGS,
        derandomize=False,
        max_examples=args.examples,
        phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
    )
    for machine in MACHINES:
        started_s = time.monotonic()
        seeded_machine = hypothesis.seed(args.seed)(machine)
        test_fuzz.run(seeded_machine, settings)
        print(
            f'{machine.__name__}: seed {args.seed}, {args.examples} '
            f'examples passed in {time.monotonic() - started_s:.0f} s'
        )


if __name__ == '__main__':
    main()
