"""Applies ends of runs that were given up before their end was heard.

A run is given up once the lease of its executor has lapsed. It may have
ended before, and its executor lists that end when it is reached again.
"""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.fleet import decider as decider_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf import log


class LateEnds:
    """Applies the ends of runs that no attempt tracks any more."""

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        decider: decider_module.Decider,
        progress_writer: progress_writer_module.ProgressWriter,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._decider = decider
        self._progress_writer = progress_writer
        self._log = log.get("reports")

    def apply(self, executor_id: str, end: model.RunEnd) -> None:
        """Apply an end, unless its part or its job has ended already.

        Other members of a gang may have reported the same end before.
        """
        found = self._scheduling_state.find_part_of_task(end.task_id)
        if found is None:
            return
        flow, part = found
        is_lasting = flow.job.steps[part.step].is_lasting
        if flow.is_final or part.done or is_lasting:
            return
        if end.outcome == model.DONE:
            self._log_end(executor_id, end)
            self._decider.part_done(flow, part)
            succeeded = event.LateSuccess(part.part_id)
            self._decider.tell(flow.job.service, succeeded)
        elif end.outcome == model.FAILED and end.run > part.failed_run:
            self._log_end(executor_id, end)
            part.failed_run = end.run
            self._progress_writer.mark_dirty(flow.job.job_id)
            failed = event.LateFailure(part.part_id)
            self._decider.tell(flow.job.service, failed)

    def _log_end(self, executor_id: str, end: model.RunEnd) -> None:
        self._log.warning(
            "run-ended-late",
            task=end.task_id,
            run=end.run,
            executor=executor_id,
            how=end.outcome,
        )
