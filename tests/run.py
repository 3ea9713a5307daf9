"""Runs the tests except for the known failures in KNOWN-RED.txt.

``python tests/run.py WORD...`` runs only the tests whose id contains one of
the words.  An entry of KNOWN-RED.txt is a line ``test: module.Class.method``
followed by lines with the command, the seed, the observed failure and the
issue.  Listed tests are not run; they are printed so that they are not
mistaken for passed ones.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def known_red():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.partition(':')[2].strip()
        for line in lines
        if line.startswith('test:')
    }


def flatten(suite):
    """Yield the test cases of a suite and its nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def main():
    """Run the tests and return the exit status."""
    sys.path.insert(0, str(ROOT))
    wanted = sys.argv[1:]
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    red = known_red()
    chosen = [
        test
        for test in flatten(found)
        if test.id() not in red
        and (not wanted or any(w in test.id() for w in wanted))
    ]
    result = unittest.TextTestRunner(verbosity=1).run(
        unittest.TestSuite(chosen)
    )
    for name in sorted(red):
        print(f'known red, not run: {name}')
    failed = len(result.failures) + len(result.errors)
    print(f'{result.testsRun - failed} passed, {failed} failed')
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == '__main__':
    sys.exit(main())
