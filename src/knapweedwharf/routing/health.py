"""What is known of one executor's health, from its own signals.

The platform's list lags. Nothing is sent to an executor whose last
signal is older than ``SIGNAL_AGE_S`` before it has answered a probe,
so that one which has announced its leaving gets no new work.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.adapters import executor as executor_module

SIGNAL_AGE_S = 1.0
LEAVING_RECHECK_S = 30.0
FAILURES_TO_EJECT = 3
EJECT_S = 1.0
MAX_EJECT_S = 30.0
REFUSED_PAUSE_S = 0.25


@dataclasses.dataclass
class Health:
    """Signals and failures of one executor; times are monotonic.

    :ivar total_running: what it said it runs for all entry VMs.
    :ivar failures: failures in a row.
    :ivar paused_until_s: end of the pause after a refusal within the
        node's own share.
    :ivar ejections: ejections in a row, which lengthen the next.
    """

    heard_at_s: float = float("-inf")
    total_running: int = 0
    leaving_at_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether it was heard lately enough to send work."""
        return now_s - self.heard_at_s < SIGNAL_AGE_S

    def is_leaving(self, now_s: float) -> bool:
        """Tell whether it announced its leaving and is not rechecked."""
        if self.leaving_at_s is None:
            return False
        return now_s - self.leaving_at_s < LEAVING_RECHECK_S

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether it is left out for its failures."""
        return now_s < self.ejected_until_s

    @property
    def on_probation(self) -> bool:
        """Whether it has not succeeded since its last ejection."""
        return self.ejections > 0

    def hear(
        self, signal: executor_module.Signal, now_s: float, *, probed: bool
    ) -> None:
        """Take a signal; only a probe takes a leaving back."""
        self.heard_at_s = now_s
        if signal.running is not None:
            self.total_running = signal.running
        if signal.leaving:
            self.leaving_at_s = now_s
        elif probed:
            self.leaving_at_s = None

    def pause(self, now_s: float) -> None:
        """Send it nothing for a moment."""
        self.paused_until_s = now_s + REFUSED_PAUSE_S

    def succeed(self) -> None:
        """Note a whole answer."""
        self.failures = 0
        self.ejections = 0

    def fail(self) -> bool:
        """Note a failure; True when it calls for an ejection."""
        self.failures += 1
        self.heard_at_s = float("-inf")
        return self.on_probation or self.failures >= FAILURES_TO_EJECT

    def eject(self, now_s: float, *, jitter: float) -> None:
        """Leave it out, longer each time in a row."""
        pause_s = min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + pause_s * (1 + jitter)
