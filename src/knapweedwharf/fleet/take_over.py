"""Bounds the time that an owner may take to read the records.

Nothing is placed before they are read, so an owner that can't read them
hands over to another VM.
"""

from __future__ import annotations

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model

PROGRESS_FACTOR = 4.0
"""A read that progresses may take this multiple of the limit for one that
is stuck; another VM would have to start it again."""

MAX_DOUBLINGS = 4
"""Lets the only VM of a deployment read for minutes."""

MAX_PAUSE_DOUBLINGS = 2
"""Every VM may be pausing, and then there is no owner."""


class TakeOver:
    """Time limits of reading the records; counts failures of this VM.

    Each failure doubles the limits, so that a VM without a better
    successor succeeds in the end, and the pause before it competes again.

    :ivar failures: number of hand-overs since the last success.
    """

    def __init__(self, bounds: model.TimeLimits) -> None:
        self._base_s = bounds.owner_lease_s
        self.failures = 0

    @property
    def stuck_s(self) -> float:
        """Longest time without any progress."""
        return self._base_s * 2 ** min(self.failures, MAX_DOUBLINGS)

    @property
    def total_s(self) -> float:
        """Longest time with progress."""
        return PROGRESS_FACTOR * self.stuck_s

    def overdue(self, began_s: float, progressed_s: float) -> str:
        """Return why a read should be given up; empty if it should go on.

        :param progressed_s: when it last progressed; 0 for never.
        """
        now_s = clock.elapsed_s()
        if now_s - max(began_s, progressed_s) >= self.stuck_s:
            return "records-stuck"
        if now_s - began_s >= self.total_s:
            return "records-slow"
        return ""

    def fail(self) -> float:
        """Count a failure; return how long not to compete, in seconds."""
        pause_s = self._base_s * 2 ** min(self.failures, MAX_PAUSE_DOUBLINGS)
        self.failures += 1
        return pause_s

    def succeed(self) -> None:
        """Start again with the first limits."""
        self.failures = 0
