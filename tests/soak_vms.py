"""The entry VMs of the soak test: processes of ``platform/serve.py``."""

import os
import pathlib
import signal
import subprocess
import sys

import attrs
import curio
import orjson

from tests import arrivals
from tests import fleet
from tests import soak_proxy
from tests import soak_world

# Grace periods that the settings files give.
GRACE_CHOICES_S = (3, 5)
# SIGHUP is sent to a stopping VM only this soon after SIGTERM.
HANGUP_AFTER_TERM_S = 1.5
START_TIMEOUT_S = 20.0  # A VM starts within this time even on a busy host.


@attrs.define(eq=False)
class Vm:
    """An entry VM: its process and the proxy between it and the store.

    ``is_interrupted`` is true while the process is being restarted or is
    paused; no other signal is sent to it as a fault then, except SIGHUP.
    ``history`` is a list of (name, moment) of ``start``, ``term``, ``kill``,
    ``exit``, ``pause`` and ``resume``.
    """

    number: int
    folder: pathlib.Path
    proxy: soak_proxy.Proxy
    process: object = None
    is_interrupted: bool = False
    grace_s: float = GRACE_CHOICES_S[0]
    history: list = attrs.field(factory=list)

    def record(self, name):
        """Add an event to the history."""
        self.history.append((name, soak_world.now()))

    @property
    def log_path(self):
        """Return the path of the log of all processes of this VM."""
        return self.folder / f'vm-{self.number}.log'

    @property
    def settings_path(self):
        """Return the path of the settings file."""
        return self.folder / f'vm-{self.number}.json'

    def handles(self, number):
        """Return whether the process has a handler of this signal.

        A new one gets its handlers some milliseconds after its start, and
        a stopping one loses them just before its end.
        """
        status = pathlib.Path(f'/proc/{self.process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process has ended.
            return False
        for line in lines:
            name, _, value = line.partition(':')
            if name == 'SigCgt':
                return bool(int(value, 16) >> (number - 1) & 1)
        return False

    def hang_up(self):
        """Send SIGHUP unless that would end the process.

        Not late in a stop, when the handlers are removed.
        """
        is_late = (
            self.history[-1][0] == 'term'
            and soak_world.now() - self.history[-1][1] > HANGUP_AFTER_TERM_S
        )
        if self.handles(signal.SIGHUP) and not is_late:
            self.process.send_signal(signal.SIGHUP)

    @property
    def ip(self):
        """Return a loopback address that concurrent runs do not share.

        It is derived from the id of this process.
        """
        pid = os.getpid()
        return f'127.{1 + pid // 250 % 250}.{pid % 250}.{10 + self.number}'

    @property
    def address(self):
        """Return the address that callers connect to."""
        return f'{self.ip}:8144'

    def write_settings(self):
        """Write the settings file."""
        settings = {
            'nodeName': f'vm-{self.number}',
            'ip': self.ip,
            'zone': 'ab'[self.number % 2],
            'region': 'r',
            'listen': {'front': self.address, 'ready': f'{self.ip}:8140'},
            'internalPorts': [7660, 7675],
            'limits': {'cpuShare': 1.0, 'cores': 1, 'memoryMb': 160},
            'bounds': {
                'graceS': self.grace_s,
                'retryBudgetRatio': arrivals.RATIO,
                'budgetWindowS': arrivals.WINDOW_S,
                'budgetSlack': arrivals.SLACK,
            },
            'platform': {'address': f'127.0.0.1:{self.proxy.port}'},
        }
        newer = self.settings_path.with_suffix('.new')
        newer.write_bytes(orjson.dumps(settings))
        newer.replace(self.settings_path)

    def start(self):
        """Write the settings file and start the process."""
        self.write_settings()
        self.record('start')
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, str(fleet.ROOT / 'platform' / 'serve.py')],
                env={
                    **os.environ,
                    'MANGOROCK_BOOT': str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )

    async def stop(self, number, wait_s=START_TIMEOUT_S):
        """Send a terminating signal and return the exit status."""
        self.record('kill' if number == signal.SIGKILL else 'term')
        self.process.send_signal(number)
        async with curio.timeout_after(wait_s):
            while self.process.poll() is None:
                await curio.sleep(0.02)
        self.record('exit')
        return self.process.returncode
