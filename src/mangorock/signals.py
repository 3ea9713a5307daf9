"""Turns SIGTERM and SIGINT into an event that curio tasks await."""

import signal

import curio


def make_stop_event():
    """Return an event that the first SIGTERM or SIGINT sets."""
    event = curio.UniversalEvent()

    def on_signal(number, frame):
        del number, frame
        event.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    return event


def make_hangup_event():
    """Return an event that every SIGHUP sets."""
    event = curio.UniversalEvent()

    def on_signal(number, frame):
        del number, frame
        event.set()

    signal.signal(signal.SIGHUP, on_signal)
    return event
