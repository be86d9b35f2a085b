"""Handling of events about jobs and gangs."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import feasibility
from knapweedwharf.core import model
from knapweedwharf.core import reclaim
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import usage

START_RETRY_S = 1.0
MAX_START_RETRY_S = 30.0
"""Delay of a job whose start failed without a worker to blame; doubles up
to the maximum."""


class Lifecycle:
    """Applies events to job records by the job's state chart.

    Events of attempts that have ended are ignored, so late and duplicate
    events have no effect.
    """

    def __init__(
        self, state: state_module.State, reclaimer: reclaim.Reclaim
    ) -> None:
        self._state = state
        self._reclaim = reclaimer
        self._usage = usage.Usage()
        self._refusals: dict[str, int] = {}
        self._not_in_units: dict[str, None] = {}
        self.feasibility = feasibility.Feasibility(state)

    # Records of an earlier epoch

    def restore(self, record: record_module.JobRecord) -> None:
        """Restore a record."""
        job_id = record.job.job_id
        self._state.records[job_id] = record
        if record.attempt_id:
            self._state.hold(record)
            if record.guarantee:
                self._not_in_units[job_id] = None
        elif record.state == record_module.QUEUED:
            self._state.enqueue(record)

    def restore_guarantees(self) -> None:
        """Put restored jobs back inside their guarantees.

        A job waits until its unit's guarantee and all its workers are
        known; if it does not fit its unit, it becomes a borrower.
        """
        state = self._state
        if not self._not_in_units or not state.configuration.revision:
            return
        for job_id in list(self._not_in_units):
            record = state.records[job_id]
            if not record.attempt_id:
                del self._not_in_units[job_id]
                continue
            unit = state.ledger.units.get((record.guarantee, record.unit))
            known = all(
                place.worker_id in state.topology.workers
                for place in record.assignments
            )
            if unit is not None and not known:
                continue
            places = record.assignments
            if unit is None or not state.ledger.restore(unit, job_id, places):
                record.guarantee = ""
                record.unit = 0
            del self._not_in_units[job_id]
        state.ledger.repair()

    # Submission and cancellation

    def submitted(self, job: model.JobSpec, failures: int = 0) -> None:
        """Queue a new job, or reject it."""
        state = self._state
        if job.job_id in state.records:
            return
        record = record_module.JobRecord(
            job=job, state=state.chart.initial, failures=failures
        )
        state.records[job.job_id] = record
        never = self.feasibility.why_never(job)
        if never:
            state.transition(record, "reject", state.reason("never", never))
            return
        state.record_change(
            record, state.reason("accepted", "The job is queued.")
        )
        state.enqueue(record)
        self._report_absent_hardware(record)

    def recheck_feasibility(self) -> None:
        """Check again whether waiting jobs can ever run."""
        state = self._state
        self.feasibility.hardware_changed()
        for job_class, head in list(state.waiting.class_heads()):
            job = state.records[head].job
            never = self.feasibility.why_never(job)
            if never:
                for order in list(job_class.jobs):
                    self._reject(state.records[order[2]], never)
            elif self.feasibility.lacks_hardware(job):
                for order in job_class.jobs:
                    self._report_absent_hardware(state.records[order[2]])

    def _reject(self, record: record_module.JobRecord, never: str) -> None:
        state = self._state
        state.waiting.discard(record.job.job_id)
        state.reservations.drop(record.job.job_id)
        state.transition(record, "reject", state.reason("never", never))

    def _report_absent_hardware(self, record: record_module.JobRecord) -> None:
        if not self.feasibility.lacks_hardware(record.job):
            return
        text = (
            "The hardware present cannot run this job; it waits for "
            "declared hardware to return."
        )
        state = self._state
        state.record_change(record, state.reason("hardware-absent", text))

    def cancelled(self, job_id: str) -> None:
        """Cancel a job in whatever state it is."""
        record = self._unended(job_id)
        if record is not None:
            reason = self._state.reason("cancelled", "The job was cancelled.")
            self._end(record, "cancel", reason)

    def succeeded_late(self, job_id: str) -> None:
        """Finish a job of which an attempt that was given up succeeded."""
        record = self._unended(job_id)
        if record is not None:
            text = "An attempt that was taken for lost had succeeded."
            reason = self._state.reason("succeeded-late", text)
            self._end(record, "finish", reason)

    def failed_late(self, job_id: str) -> None:
        """Count the failure of an attempt that was given up as lost."""
        record = self._unended(job_id)
        if record is None:
            return
        record.failures += 1
        text = "An attempt that was taken for lost had failed."
        reason = self._state.reason("failed-late", text)
        if self._is_exhausted(record):
            self._end(record, "fail", reason)
        else:
            self._state.record_change(record, reason)

    def suspected(self, happened: event.JobSuspected) -> None:
        """Keep a job apart from other suspects from now on, or no longer."""
        record = self._unended(happened.job_id)
        if record is None or record.job.is_suspect == happened.is_suspect:
            return
        is_queued = record.state == record_module.QUEUED
        if is_queued:
            self._unqueue(record)
        record.job = dataclasses.replace(
            record.job, is_suspect=happened.is_suspect
        )
        if is_queued:
            self._state.enqueue(record)
        else:
            self._state.suspects.update(record)

    def given_up(self, happened: event.JobGivenUp) -> None:
        """End a job under which workers crash, as failed."""
        record = self._unended(happened.job_id)
        if record is not None:
            reason = self._state.reason("given-up", happened.why)
            self._end(record, "fail", reason)

    def _unqueue(self, record: record_module.JobRecord) -> None:
        """Take a waiting job out of the queue, with what it has claimed."""
        job_id = record.job.job_id
        self._state.waiting.discard(job_id)
        self._state.drop_claim(job_id)
        self._state.reservations.drop(job_id)

    def _unended(self, job_id: str) -> record_module.JobRecord | None:
        record = self._state.records.get(job_id)
        if record is None or record.state in self._state.chart.final:
            return None
        return record

    def _end(
        self,
        record: record_module.JobRecord,
        chart_event: str,
        reason: model.Reason,
    ) -> None:
        """End a job in whatever state it is; a running attempt is stopped."""
        state = self._state
        if record.state == record_module.QUEUED:
            self._unqueue(record)
            state.transition(record, chart_event, reason)
        elif record.state == record_module.STOPPING:
            record.after_stop = chart_event
            state.record_change(record, reason)
        else:
            state.stop(record, chart_event, reason)

    def moved(self, happened: event.JobMoved) -> None:
        """Stop a job so that it starts elsewhere."""
        record = self._state.records.get(happened.job_id)
        if record is not None and record.attempt_id:
            reason = self._state.reason("moved", happened.why)
            self._state.stop(record, "requeue", reason)

    def workers_approved(self, happened: event.WorkersApproved) -> None:
        """Update the set of workers that an approval allows."""
        state = self._state
        known = state.approved.setdefault(happened.approval, set())
        known.update(happened.approved)
        known.difference_update(happened.denied)
        state.waiting.wake_all()

    def drop_approval(self, approval: str) -> None:
        """Drop an approval that no job needs any more."""
        self._state.approved.pop(approval, None)

    # Gangs

    def gang_started(self, attempt_id: str) -> None:
        """Handle the confirmed start of a gang."""
        state = self._state
        record = state.job_of_attempt(attempt_id)
        if record is None or record.state != record_module.STARTING:
            return
        record.started_s = state.now_s
        self._refusals.pop(record.job.job_id, None)
        state.transition(
            record, "started", state.reason("started", "All tasks run.")
        )

    def gang_adopted(self, happened: event.GangAdopted) -> None:
        """Adopt a running gang that an earlier epoch started."""
        state = self._state
        record = state.records.get(happened.job_id)
        if record is None or record.state != record_module.QUEUED:
            return
        state.waiting.discard(happened.job_id)
        state.drop_claim(happened.job_id)
        state.reservations.drop(happened.job_id)
        record.attempt_id = happened.attempt_id
        record.assignments = happened.assignments
        record.ended_tasks = frozenset()
        record.started_s = state.now_s
        state.hold(record)
        state.transition(
            record,
            "adopt",
            state.reason("adopted", "Its gang was found running."),
        )
        self._reclaim.promote(record.job.account)

    def gang_refused(self, happened: event.GangRefused) -> None:
        """Requeue a job whose start failed and was rolled back."""
        state = self._state
        record = state.job_of_attempt(happened.attempt_id)
        if record is None:
            return
        reason = state.reason("start-refused", happened.reason)
        if record.state == record_module.STOPPING:
            self._end_stop(record, reason)
            return
        if record.state != record_module.STARTING:
            return
        self._release(record)
        state.transition(record, "refused", reason)
        count = self._refusals.get(record.job.job_id, 0)
        self._refusals[record.job.job_id] = count + 1
        delay_s = min(START_RETRY_S * 2 ** min(count, 10), MAX_START_RETRY_S)
        # A worker that refused is in back-off itself; the job need not be.
        state.enqueue(record, delay_s=0.0 if happened.worker_id else delay_s)

    def gang_stopped(self, happened: event.GangStopped) -> None:
        """Handle the confirmed stop of a gang."""
        state = self._state
        record = state.job_of_attempt(happened.attempt_id)
        if record is None or record.state != record_module.STOPPING:
            return
        if record.after_stop == "requeue":
            state.estimates.record_checkpoint(saved=happened.checkpointed)
        text = (
            "Its progress was saved."
            if happened.checkpointed
            else "Its progress was not saved."
        )
        self._end_stop(record, state.reason("stopped", text))

    def _end_stop(
        self, record: record_module.JobRecord, reason: model.Reason
    ) -> None:
        if record.after_stop == "requeue" and self._is_exhausted(record):
            record.after_stop = "fail"
        self._release(record)
        self._state.transition(record, record.after_stop, reason)
        if record.state == record_module.QUEUED:
            self._state.enqueue(record)

    # Tasks

    def is_expected(self, happened: event.TaskEnded) -> bool:
        """Tell whether a task's end is of a current attempt and the first."""
        record = self._state.job_of_attempt(happened.attempt_id)
        return (
            record is not None
            and record.state in record_module.HOLDING_STATES
            and happened.task_index not in record.ended_tasks
            and 0 <= happened.task_index < record.job.tasks
        )

    def task_ended(self, happened: event.TaskEnded) -> None:
        """Handle the end of a task; the last one finishes the job."""
        state = self._state
        record = state.job_of_attempt(happened.attempt_id)
        if not happened.succeeded:
            self._task_failed(record, happened)
            return
        record.ended_tasks |= {happened.task_index}
        if len(record.ended_tasks) < record.job.tasks:
            state.topology.release_task(record.attempt_id, happened.task_index)
            return
        if record.state == record_module.STOPPING:
            record.after_stop = "finish"
            return
        if record.state == record_module.RUNNING:
            state.learn_run_s(record)
        self._release(record)
        state.transition(
            record, "finish", state.reason("finished", "All tasks succeeded.")
        )

    def _task_failed(
        self, record: record_module.JobRecord, happened: event.TaskEnded
    ) -> None:
        state = self._state
        if record.state == record_module.STOPPING:
            self._failed_while_stopping(record, happened)
            return
        if happened.lapsed:
            text = f"The lease of task {happened.task_index} lapsed."
            reason = state.reason("lease-lapsed", text)
            state.stop(record, "requeue", reason)
            return
        text = f"Task {happened.task_index} failed: {happened.detail}"
        self._stop_failed(record, state.reason("task-failed", text))

    def _failed_while_stopping(
        self, record: record_module.JobRecord, happened: event.TaskEnded
    ) -> None:
        """Count a failure that happens before a stop takes effect."""
        if happened.lapsed or record.has_failed:
            return
        after = self._count_failure(record)
        if record.after_stop == "requeue":
            record.after_stop = after
        text = f"Task {happened.task_index} failed: {happened.detail}"
        self._state.record_change(
            record, self._state.reason("task-failed", text)
        )

    def _stop_failed(
        self, record: record_module.JobRecord, reason: model.Reason
    ) -> None:
        self._state.stop(record, self._count_failure(record), reason)

    def _count_failure(self, record: record_module.JobRecord) -> str:
        """Count a failure; return the chart event to apply after the stop.

        An attempt counts once. An earlier epoch may have counted it.
        """
        if not record.has_failed:
            record.has_failed = True
            record.failures += 1
        return "fail" if self._is_exhausted(record) else "requeue"

    def _is_exhausted(self, record: record_module.JobRecord) -> bool:
        """Tell whether a job has failed as often as it may."""
        limit = (
            record.job.max_attempts
            or self._state.configuration.policy.max_attempts
        )
        return record.failures >= limit

    def usage_reported(self, happened: event.UsageReported) -> None:
        """Throttle an attempt that exceeds its size; stop it if that lasts."""
        state = self._state
        record = state.job_of_attempt(happened.attempt_id)
        if record is None or record.state != record_module.RUNNING:
            return
        verdict = self._usage.assess(record.job, happened)
        text = (
            f"Task {happened.task_index} uses {happened.cores:.1f} cores "
            f"and {happened.memory_mib} MiB, beyond its declared size."
        )
        if verdict == usage.THROTTLE:
            reason = state.reason("throttled", text)
            state.record_change(record, reason)
            state.decisions.append(
                decision.ThrottleGang(
                    job_id=record.job.job_id,
                    attempt_id=record.attempt_id,
                    reason=reason,
                )
            )
        elif verdict == usage.STOP:
            self._stop_failed(record, state.reason("oversized", text))

    def _release(self, record: record_module.JobRecord) -> None:
        account = record.job.account
        self._usage.forget(record.attempt_id)
        self._not_in_units.pop(record.job.job_id, None)
        was_inside = bool(record.guarantee)
        self._state.release(record)
        if was_inside:
            self._reclaim.promote(account)

    def make_borrowers(self, job_ids: list[str]) -> None:
        """Make borrowers of jobs whose guarantee was removed or changed."""
        state = self._state
        for job_id in job_ids:
            record = state.records[job_id]
            record.guarantee = ""
            record.unit = 0
            if state.claims.drop(job_id):
                state.enqueue(record)
                continue
            text = "Its guarantee changed; the job is a borrower now."
            state.record_change(
                record, state.reason("outside-guarantee", text)
            )

    def promote(self, account: str) -> None:
        """Put borrowers of an account inside its unused units."""
        self._reclaim.promote(account)
