"""Clocks of a process.

The age of cached state and of leases is measured on a clock that also
counts time during which the VM was suspended. The time of day may jump,
so it is used only for what callers or other VMs give as such.
"""

from __future__ import annotations

import time


def elapsed_s() -> float:
    """Return seconds on a monotonic clock that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def processor_s() -> float:
    """Return seconds of processor time that the calling thread has used."""
    return time.thread_time()


def unix_s() -> float:
    """Return the time of day in seconds since 1970."""
    return time.time()


def steady_s() -> float:
    """Return seconds since 1970 on a clock that never jumps.

    It starts at the time of day of the process's start, so it may differ
    from the true time; durations are right.
    """
    return _UNIX_AT_ZERO_S + elapsed_s()


def steady_at(unix_time_s: float) -> float:
    """Return when a time of day was, on the steady clock; at latest now."""
    return steady_s() - max(0.0, unix_s() - unix_time_s)


_UNIX_AT_ZERO_S = unix_s() - elapsed_s()
