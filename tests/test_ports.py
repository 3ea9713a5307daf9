"""Tests of the ports of stand-ins, and of stand-ins that end at once."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from mangorock_standins import fleet
from tests import fleet as front_fleet

COUNT = 20
# Draws the same numbers in each process and keeps the ports until told to end.
DRAW = f"""
import random
from mangorock_standins import ports
ports._rng = random.Random(7)
print(*[ports.free_port() for _ in range({COUNT})], flush=True)
input()
"""


class ReservedPorts(unittest.TestCase):
    """Two clusters that start at once never get the same port."""

    def test_processes_that_draw_the_same_numbers_get_other_ports(self):
        # Guards against a port that is free for both until one listens.
        children = [
            subprocess.Popen(
                [sys.executable, '-c', DRAW],
                cwd=front_fleet.ROOT / 'src',
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        drawn = [child.stdout.readline().split() for child in children]
        for child in children:
            child.communicate('\n')
        self.assertEqual([COUNT] * 3, [len(ports) for ports in drawn])
        self.assertEqual(3 * COUNT, len(set(sum(drawn, []))))


class EndedProcess(unittest.TestCase):
    """A stand-in that ends at its start is noticed and says why."""

    def test_error_has_the_status_and_the_last_lines(self):
        # Guards against another process that answers in its place.
        with tempfile.TemporaryDirectory() as folder:
            process = fleet.Process(
                'engine',
                ['mangorock_standins.engine', '--no-such-option'],
                '127.0.0.1:1',
                pathlib.Path(folder) / 'engine.log',
            )
            process.start()
            process.popen.wait(fleet.START_TIMEOUT_S)
            with self.assertRaises(RuntimeError) as caught:
                fleet.Fleet._wait_for_port(process)
        self.assertIn('no-such-option', str(caught.exception))
        self.assertIn('engine at 127.0.0.1:1', str(caught.exception))


if __name__ == '__main__':
    unittest.main()
