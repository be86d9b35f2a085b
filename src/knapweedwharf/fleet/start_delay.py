"""Estimates how long a job's tasks take to start once their room is free."""

from __future__ import annotations

from knapweedwharf.core import workflow
from knapweedwharf.fleet import answer_times as answer_times_module
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import start_window

FADING = 0.9
"""Share of an earlier stop's delay that remains with each later stop."""

ANSWERS_BEFORE_START = 2.0
"""The report that shows the room as free, and the start itself."""


class StartDelay:
    """Measures what delays the starts of this VM beyond the usual.

    :param link_bps: bandwidth of the VM's link, in bits per second.
    :param stop_timeout_s: longest time that an executor takes for a stop.
    """

    def __init__(
        self,
        *,
        link_bps: float,
        stop_timeout_s: float,
        answer_times: answer_times_module.AnswerTimes,
        progress_writer: progress_writer_module.ProgressWriter,
    ) -> None:
        self._link_bps = link_bps
        self._stop_timeout_s = stop_timeout_s
        self._stop_delay_s = 0.0
        self._answer_times = answer_times
        self._progress_writer = progress_writer

    def add_stop(self, took_s: float) -> None:
        """Record the time from a stop's decision until its end was heard."""
        delay_s = max(0.0, took_s - self._stop_timeout_s)
        self._stop_delay_s = max(delay_s, FADING * self._stop_delay_s)

    def estimate_s(self, job: workflow.Job, step: workflow.Step) -> float:
        """Return the time that a step's starts take beyond the usual.

        It covers late stops of others, storing the placement and sending
        the starts.
        """
        start_bytes = (
            len(job.specification) + start_window.START_OVERHEAD_BYTES
        )
        return (
            step.tasks * start_bytes * 8 / self._link_bps
            + ANSWERS_BEFORE_START * self._answer_times.typical_s
            + self._progress_writer.write_s
            + self._stop_delay_s
        )
