"""Estimates how long a job's tasks take to start once their room is free."""

from __future__ import annotations

from knapweedwharf.core import workflow
from knapweedwharf.fleet import answer_times as answer_times_module
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import start_window

ANSWERS_BEFORE_START = 2.0
"""The report that shows the room as free, and the start itself."""


class StartDelay:
    """Measures what delays the starts of this VM beyond the usual.

    :param link_bps: bandwidth of the VM's link, in bits per second.
    """

    def __init__(
        self,
        *,
        link_bps: float,
        answer_times: answer_times_module.AnswerTimes,
        progress_writer: progress_writer_module.ProgressWriter,
    ) -> None:
        self._link_bps = link_bps
        self._answer_times = answer_times
        self._progress_writer = progress_writer

    def estimate_s(self, job: workflow.Job, step: workflow.Step) -> float:
        """Return the time to store a step's placement and send its starts."""
        start_bytes = (
            len(job.specification) + start_window.START_OVERHEAD_BYTES
        )
        return (
            step.tasks * start_bytes * 8 / self._link_bps
            + ANSWERS_BEFORE_START * self._answer_times.typical_s
            + self._progress_writer.write_s
        )
