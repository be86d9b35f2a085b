"""Use beyond the declared size: throttled first, stopped if it lasts."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.core import model

TOLERANCE = 1.1
REPORTS_BEFORE_STOP = 3

THROTTLE = "throttle"
STOP = "stop"


class Usage:
    """Counts reports of excess since an attempt was throttled."""

    def __init__(self) -> None:
        self._excesses: dict[str, int] = {}

    def judge(self, job: model.JobSpec, report: event.UsageReported) -> str:
        """Return what a report calls for: nothing, throttle or stop."""
        within = (
            report.cores <= job.cores_per_task * TOLERANCE
            and report.memory_mib <= job.memory_mib_per_task * TOLERANCE
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
