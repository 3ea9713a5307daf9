"""Tests signals that arrive while a process is still starting."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

import orjson

from mangorock import signals
from mangorock_standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Sends the process the given signal when it begins to import a module.
SCRIPT = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        for number in SIGNALS.pop(name, ()):
            os.kill(os.getpid(), number)

SIGNALS = eval(sys.argv[1], {'signal': signal})
sys.meta_path.insert(0, SignalAtImport())
sys.argv = ['serve.py']
sys.path.insert(0, 'platform')
runpy.run_path('platform/serve.py', run_name='__main__')
"""


def own_address():
    """Return a loopback address that concurrent runs do not share.

    A VM listens on a fixed port for its metrics.
    """
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{pid % 250}.9'


def make_settings():
    """Return the fields of a settings file."""
    address = own_address()
    listen = {
        name: f'{address}:{ports.free_port()}' for name in ('front', 'ready')
    }
    return {
        'nodeName': 'vm-1',
        'zone': 'a',
        'ip': address,
        'listen': listen,
        'platform': {'address': f'{address}:{ports.free_port()}'},
        'bounds': {'graceS': 4},
    }


def exit_status(signals_by_module):
    """Run ``platform/serve.py`` with signals; return its exit status."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_bytes(orjson.dumps(make_settings()))
        process = subprocess.run(
            [sys.executable, '-c', SCRIPT, signals_by_module],
            cwd=ROOT,
            env={**os.environ, 'MANGOROCK_BOOT': str(path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=60,
        )
    return process.returncode


class SignalsAtStart(unittest.TestCase):
    """A VM that is stopped or reloaded right after its start ends cleanly.

    The handlers were installed after the imports, so a signal within the
    first third of a second ended the process by that signal.
    """

    def test_stop_during_the_imports_ends_with_status_0(self):
        for module in ('curio', 'mangorock.front'):
            sent = '{%r: [signal.SIGTERM]}' % module
            self.assertEqual(0, exit_status(sent), module)

    def test_hangup_during_the_imports_does_not_end_the_process(self):
        sent = '{"curio": [signal.SIGHUP], "adapter": [signal.SIGTERM]}'
        self.assertEqual(0, exit_status(sent))


class Listening(unittest.TestCase):
    """Signals before and after a listener is set."""

    def test_early_signal_is_passed_on_once(self):
        received, calls = signals.Signals(), []
        received.on_signal(signal.SIGTERM)
        received.on_signal(signal.SIGINT)
        received.listen(signals.STOP, lambda: calls.append('stop'))
        self.assertEqual(['stop'], calls)
        received.on_signal(signal.SIGTERM)
        self.assertEqual(['stop', 'stop'], calls)

    def test_other_signals_stay_pending(self):
        received, calls = signals.Signals(), []
        received.on_signal(signal.SIGHUP)
        received.listen(signals.STOP, lambda: calls.append('stop'))
        self.assertEqual([], calls)
        received.listen(signals.HANGUP, lambda: calls.append('hangup'))
        self.assertEqual(['hangup'], calls)


if __name__ == '__main__':
    unittest.main()
