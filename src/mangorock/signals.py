"""Receives signals from the first moment of a process.

Until the daemon runs, a received signal is kept; afterwards it is passed to
the daemon's listener.  The module imports nothing but the standard library,
so that `install` can run before the slow imports.

Example::

    received = signals.install()
    stop = wakeup.make_wakeup()
    received.listen(signals.STOP, stop.set)
"""

import signal

STOP = (signal.SIGTERM, signal.SIGINT)
HANGUP = (signal.SIGHUP,)


class Signals:
    """The signals that no listener has received yet, and the listeners."""

    def __init__(self):
        self.pending = set()
        self.listeners = {}

    def on_signal(self, number, frame=None):
        """Handle a signal."""
        del frame
        listener = self.listeners.get(number)
        if listener is None:
            self.pending.add(number)
        else:
            listener()

    def listen(self, numbers, listener):
        """Call ``listener()`` for each of these signals, also pending ones."""
        for number in numbers:
            self.listeners[number] = listener
        if self.pending.intersection(numbers):
            self.pending.difference_update(numbers)
            listener()


def install():
    """Install the handlers and return the `Signals` that they feed."""
    received = Signals()
    for number in (*STOP, *HANGUP):
        signal.signal(number, received.on_signal)
    return received
