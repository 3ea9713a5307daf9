"""Clocks beside the monotonic one of the standard library."""

import time


def boot_clock():
    """Return a time in seconds that advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
