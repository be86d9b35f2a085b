"""Enforces declared sizes: throttles excess use, stops it if it lasts."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.core import model

USAGE_TOLERANCE = 1.1
"""Allowed use as a multiple of the declared size."""

REPORTS_BEFORE_STOP = 3

THROTTLE = "throttle"
STOP = "stop"


class Usage:
    """Counts the reports of excess use of each attempt."""

    def __init__(self) -> None:
        self._excesses: dict[str, int] = {}

    def assess(self, job: model.JobSpec, report: event.UsageReported) -> str:
        """Return the action for a report: none (empty), throttle or stop."""
        within = (
            report.cores <= job.cores_per_task * USAGE_TOLERANCE
            and report.memory_mib <= job.memory_mib_per_task * USAGE_TOLERANCE
        )
        if within:
            return ""
        count = self._excesses.get(report.attempt_id, 0)
        self._excesses[report.attempt_id] = count + 1
        if not count:
            return THROTTLE
        return STOP if count >= REPORTS_BEFORE_STOP else ""

    def forget(self, attempt_id: str) -> None:
        """Forget an attempt that has ended."""
        self._excesses.pop(attempt_id, None)
