"""Signal handlers that set events on which curio tasks can wait."""

import signal

import curio


def make_stop_event():
    """Return an event that is set on SIGTERM or SIGINT."""
    event = curio.UniversalEvent()

    def on_signal(number, frame):
        del number, frame
        event.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    return event


def make_hangup_event():
    """Return an event that is set on each SIGHUP."""
    event = curio.UniversalEvent()

    def on_signal(number, frame):
        del number, frame
        event.set()

    signal.signal(signal.SIGHUP, on_signal)
    return event
