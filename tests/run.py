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
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'


def read_known_failures():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
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


class CountingResult(unittest.TextTestResult):
    """A result that counts the tests that passed.

    ``testsRun`` minus the failures would be too low where ``setUpClass``
    fails, as that is an error of tests that did not run.
    """

    passed = 0

    def addSuccess(self, test):
        """Count a test that passed."""
        super().addSuccess(test)
        self.passed += 1


def main():
    """Run the tests and return the exit status."""
    sys.path.insert(0, str(ROOT))
    words = sys.argv[1:]
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    known_failures = read_known_failures()
    selected = [
        test
        for test in flatten(suite)
        if test.id() not in known_failures
        and (not words or any(word in test.id() for word in words))
    ]
    runner = unittest.TextTestRunner(verbosity=1, resultclass=CountingResult)
    result = runner.run(unittest.TestSuite(selected))
    for test_id in sorted(known_failures):
        print(f'known red, not run: {test_id}')
    failed = len(result.failures) + len(result.errors)
    print(f'{result.passed} passed, {failed} failed')
    return 0 if result.wasSuccessful() and result.passed else 1


if __name__ == '__main__':
    sys.exit(main())
