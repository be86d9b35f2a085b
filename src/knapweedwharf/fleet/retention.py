"""Lets go of ended jobs: first of what they hold, later of the jobs."""

from __future__ import annotations

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import decider as decider_module
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module

INTERVAL_S = 5.0

SHRINK_AFTER_S = 10.0
"""Time after which an ended job is reduced to what shows its state; its last
runs have been stopped by then."""

MARGIN_S = 30.0
"""Time beyond the platform's retention for which ended jobs are kept."""


class Retention:
    """Shrinks and removes the jobs of one ownership that have ended.

    :param kept_s: how long an ended job stays readable.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        progress_writer: progress_writer_module.ProgressWriter,
        decider: decider_module.Decider,
        kept_s: float,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._progress_writer = progress_writer
        self._decider = decider
        self._kept_s = kept_s + MARGIN_S
        self._done_s = clock.elapsed_s()

    def tick(self) -> None:
        """Look for ended jobs, unless that was done a moment ago."""
        if clock.elapsed_s() - self._done_s <= INTERVAL_S:
            return
        self._done_s = clock.elapsed_s()
        for flow in self._scheduling_state.ended_in_full(SHRINK_AFTER_S):
            if self._progress_writer.is_stored(flow.job.job_id):
                self._decider.drop(flow)
                flow.shrink()
        for flow in self._scheduling_state.pop_expired(self._kept_s):
            self._decider.drop(flow)
            self._progress_writer.mark_dirty(flow.job.job_id)
