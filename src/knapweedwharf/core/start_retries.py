"""When a job whose start was refused is started again."""

from __future__ import annotations

from knapweedwharf.core import event

START_RETRY_S = 1.0
MAX_START_RETRY_S = 30.0
"""Delay of a job whose start failed without a worker to blame; doubles up
to the maximum."""

_MAX_DOUBLINGS = 10


class StartRetries:
    """Counts the refused starts of each job since it last ran."""

    def __init__(self) -> None:
        self._refusals: dict[str, int] = {}

    def forget(self, job_id: str) -> None:
        """Forget the refusals of a job that has started."""
        self._refusals.pop(job_id, None)

    def delay_s(self, job_id: str, refused: event.GangRefused) -> float:
        """Count a refusal; return for how long the job has to wait.

        A start that was withheld says nothing of the job.
        """
        if refused.is_withheld:
            return 0.0
        count = self._refusals.get(job_id, 0)
        self._refusals[job_id] = count + 1
        if refused.worker_id:
            # A worker that refused is in back-off itself; the job need not be.
            return 0.0
        doublings = min(count, _MAX_DOUBLINGS)
        return min(START_RETRY_S * 2**doublings, MAX_START_RETRY_S)
