"""Health of one executor, from its signals and failures.

The platform's list of executors lags. An executor whose last signal is
older than ``MAX_SIGNAL_AGE_S`` gets work only after it has answered a
probe, so that one that announced that it leaves gets no new work.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.adapters import executor as executor_module

MAX_SIGNAL_AGE_S = 1.0
LEAVING_RECHECK_S = 30.0
FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
REFUSAL_PAUSE_S = 0.25


@dataclasses.dataclass
class Health:
    """Signals and failures of one executor; times are monotonic.

    :ivar last_signal_s: time of the last signal; reset by a failure, so
        that the executor is probed before it gets work again.
    :ivar total_running: requests it runs for all entry VMs, as last
        reported by the executor.
    :ivar leaving_at_s: time of the last signal that it leaves, or None.
    :ivar failures: consecutive failures since the last ejection.
    :ivar paused_until_s: end of the pause after it refused a request
        although the node used only its own slots.
    :ivar ejections: consecutive ejections; each doubles the next one.
    """

    last_signal_s: float = float("-inf")
    total_running: int = 0
    leaving_at_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether its last signal is recent enough to send work."""
        return now_s - self.last_signal_s < MAX_SIGNAL_AGE_S

    def is_leaving(self, now_s: float) -> bool:
        """Tell whether it announced that it leaves.

        The announcement expires after ``LEAVING_RECHECK_S``; then the
        executor is checked again.
        """
        if self.leaving_at_s is None:
            return False
        return now_s - self.leaving_at_s < LEAVING_RECHECK_S

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether it is ejected because of its failures."""
        return now_s < self.ejected_until_s

    @property
    def on_probation(self) -> bool:
        """Whether it has not succeeded since its last ejection."""
        return self.ejections > 0

    def record_signal(
        self, signal: executor_module.Signal, now_s: float, *, probed: bool
    ) -> None:
        """Record a signal; only a probe clears an announced leaving."""
        self.last_signal_s = now_s
        if signal.running is not None:
            self.total_running = signal.running
        if signal.leaving:
            self.leaving_at_s = now_s
        elif probed:
            self.leaving_at_s = None

    def pause(self, now_s: float) -> None:
        """Send it no work for ``REFUSAL_PAUSE_S``."""
        self.paused_until_s = now_s + REFUSAL_PAUSE_S

    def record_success(self) -> None:
        """Record a full answer."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self) -> bool:
        """Record a failure; return True if it should be ejected."""
        self.failures += 1
        self.last_signal_s = float("-inf")
        return self.on_probation or self.failures >= FAILURES_TO_EJECT

    def eject(self, now_s: float, *, jitter: float) -> None:
        """Eject it, for twice as long after each consecutive ejection.

        :param jitter: share of the time that is added to it.
        """
        pause_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + pause_s * (1 + jitter)
