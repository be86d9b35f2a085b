"""The decision core: events in, decisions with reasons out.

The engine owns the data centre's scheduling state. It does no I/O and
has no clock; ``now_s`` comes with each event. Equal events in equal
order give equal decisions.
"""

from __future__ import annotations

import dataclasses
import functools

from knapweedwharf.charts import chart
from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import placement
from knapweedwharf.core import topology

MAX_REASONS = 20


@dataclasses.dataclass
class JobRecord:
    """A job and what became of it; kept in the store.

    :ivar state: state of the job chart.
    :ivar attempt_id: the attempt that holds places, or empty.
    :ivar after_stop: chart event that follows a stop.
    """

    job: model.JobSpec
    state: str
    attempts: int = 0
    attempt_id: str = ""
    assignments: tuple[model.Assignment, ...] = ()
    ended_tasks: frozenset[int] = frozenset()
    after_stop: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    failures: int = 0
    reasons: tuple[model.Reason, ...] = ()


class Engine:
    """Scheduling state of one data centre.

    :param attempt_prefix: makes attempt ids unique to this epoch.
    """

    def __init__(self, *, data_centre: str, attempt_prefix: str) -> None:
        self.data_centre = data_centre
        self.configuration = model.Configuration()
        self.topology = topology.Topology()
        self.records: dict[str, JobRecord] = {}
        self._chart = chart.load("job")
        self._prefix = attempt_prefix
        self._by_attempt: dict[str, str] = {}
        self._counter = 0
        self._decisions: list[decision.Decision] = []
        self._now_s = 0.0

    def restore(self, record: JobRecord) -> None:
        """Take over a record that an earlier epoch wrote."""
        self.records[record.job.job_id] = record
        if not record.attempt_id:
            return
        self._by_attempt[record.attempt_id] = record.job.job_id
        self.topology.occupy(record.attempt_id, record.assignments)

    def handle(
        self, happened: event.Event, *, now_s: float
    ) -> list[decision.Decision]:
        """Take one event and return the decisions it leads to."""
        self._now_s = now_s
        self._decisions = []
        self._apply(happened)
        self._schedule()
        return self._decisions

    def job_of_attempt(self, attempt_id: str) -> JobRecord | None:
        """Return the record an attempt belongs to."""
        job_id = self._by_attempt.get(attempt_id)
        return self.records.get(job_id) if job_id else None

    # Events

    @functools.singledispatchmethod
    def _apply(self, happened: event.Event) -> None:
        raise TypeError(f"unknown event {type(happened).__name__}")

    @_apply.register
    def _(self, happened: event.ConfigurationChanged) -> None:
        self.configuration = happened.configuration

    @_apply.register
    def _(self, happened: event.WorkerSealed) -> None:
        self.topology.add(happened.worker)

    @_apply.register
    def _(self, happened: event.WorkerLost) -> None:
        self.topology.set_usable(happened.worker_id, usable=False)

    @_apply.register
    def _(self, happened: event.WorkerLeaving) -> None:
        self.topology.set_usable(happened.worker_id, usable=False)

    @_apply.register
    def _(self, happened: event.WorkerGone) -> None:
        for attempt_id in self.topology.attempts_on(happened.worker_id):
            record = self.job_of_attempt(attempt_id)
            if record is not None:
                self._stop(record, "requeue", self._reason("worker-lost", ""))
        self.topology.remove(happened.worker_id)

    @_apply.register
    def _(self, happened: event.JobSubmitted) -> None:
        job = happened.job
        if job.job_id in self.records:
            return
        record = JobRecord(job=job, state=self._chart.initial)
        self.records[job.job_id] = record
        self._changed(record, self._reason("accepted", "The job waits."))

    @_apply.register
    def _(self, happened: event.JobCancelled) -> None:
        record = self.records.get(happened.job_id)
        if record is None or record.state in self._chart.final:
            return
        reason = self._reason("cancelled", "The job was cancelled.")
        if record.state == "queued":
            self._move(record, "cancel", reason)
        else:
            self._stop(record, "cancel", reason)

    @_apply.register
    def _(self, happened: event.GangStarted) -> None:
        record = self.job_of_attempt(happened.attempt_id)
        if record is None or record.state != "starting":
            return
        record.started_s = self._now_s
        self._move(record, "started", self._reason("started", "All run."))

    @_apply.register
    def _(self, happened: event.GangAdopted) -> None:
        record = self.records.get(happened.job_id)
        if record is None or record.state != "queued":
            return
        record.attempt_id = happened.attempt_id
        record.assignments = happened.assignments
        record.started_s = self._now_s
        self._by_attempt[record.attempt_id] = happened.job_id
        self.topology.occupy(record.attempt_id, record.assignments)
        self._move(record, "adopt", self._reason("adopted", "Found running."))

    @_apply.register
    def _(self, happened: event.GangRefused) -> None:
        record = self.job_of_attempt(happened.attempt_id)
        if record is None:
            return
        self._release(record)
        reason = self._reason("start-refused", happened.reason)
        if record.state == "stopping":
            self._move(record, record.after_stop, reason)
        else:
            self._move(record, "refused", reason)

    @_apply.register
    def _(self, happened: event.GangStopped) -> None:
        record = self.job_of_attempt(happened.attempt_id)
        if record is None or record.state != "stopping":
            return
        self._release(record)
        text = "Checkpointed." if happened.checkpointed else "Not saved."
        self._move(record, record.after_stop, self._reason("stopped", text))

    @_apply.register
    def _(self, happened: event.TaskEnded) -> None:
        record = self.job_of_attempt(happened.attempt_id)
        if record is None or record.state != "running":
            return
        if not happened.succeeded:
            self._task_failed(record, happened)
            return
        record.ended_tasks |= {happened.task_index}
        if len(record.ended_tasks) == record.job.tasks:
            self._release(record)
            self._move(record, "finish", self._reason("finished", "Done."))

    def _task_failed(
        self, record: JobRecord, happened: event.TaskEnded
    ) -> None:
        record.failures += 1
        limit = self.configuration.policy.max_attempts
        after = "fail" if record.failures >= limit else "requeue"
        text = f"Task {happened.task_index} failed: {happened.detail}"
        self._stop(record, after, self._reason("task-failed", text))

    @_apply.register
    def _(self, happened: event.UsageReported) -> None:
        pass

    @_apply.register
    def _(self, happened: event.Tick) -> None:
        pass

    # Decisions

    def _schedule(self) -> None:
        waiting = [r for r in self.records.values() if r.state == "queued"]
        for record in sorted(waiting, key=self._order):
            self._try_place(record)

    def _order(self, record: JobRecord) -> tuple:
        urgency = model.URGENCIES.index(record.job.urgency)
        borrows = self._guarantee_for(record) is None
        return (borrows, urgency, record.job.submitted_s, record.job.job_id)

    def _try_place(self, record: JobRecord) -> None:
        job = record.job
        if not placement.could_ever_fit(self.topology, job):
            if self.topology.complete:
                text = "No hardware here could ever run this job."
                self._move(record, "reject", self._reason("never", text))
            return
        assignments = placement.find(self.topology, job)
        if assignments is None:
            self._preempt_for(record)
            return
        self._counter += 1
        record.attempt_id = f"{self._prefix}-{self._counter}"
        record.attempts += 1
        record.assignments = assignments
        record.ended_tasks = frozenset()
        self._by_attempt[record.attempt_id] = job.job_id
        self.topology.occupy(record.attempt_id, assignments)
        reason = self._reason("placed", "Room was found.")
        self._move(record, "place", reason)
        self._decisions.append(
            decision.StartGang(
                job=job,
                attempt_id=record.attempt_id,
                assignments=assignments,
                reason=reason,
            )
        )

    def _preempt_for(self, record: JobRecord) -> None:
        guarantee = self._guarantee_for(record)
        if guarantee is None:
            self._note(record, self._reason("no-room", "No room is free."))
            return
        if any(r.state == "stopping" for r in self.records.values()):
            return
        for victim in self._borrowers(record.job.account):
            reason = self._reason(
                "preempted",
                f"Stopped for job {record.job.job_id}.",
                guarantee=guarantee.name,
                other_job_id=record.job.job_id,
            )
            self._stop(victim, "requeue", reason)
            return

    def _guarantee_for(self, record: JobRecord) -> model.GuaranteeSpec | None:
        job = record.job
        for guarantee in self.configuration.guarantees.values():
            if guarantee.account != job.account:
                continue
            if guarantee.data_centre != self.data_centre:
                continue
            if job.accelerators <= guarantee.accelerators:
                return guarantee
        return None

    def _borrowers(self, account: str) -> list[JobRecord]:
        return [
            record
            for record in self.records.values()
            if record.state == "running"
            and record.job.account != account
            and self._guarantee_for(record) is None
        ]

    def _stop(
        self, record: JobRecord, after: str, reason: model.Reason
    ) -> None:
        if not self._chart.allows(record.state, "stop"):
            return
        record.after_stop = after
        self._move(record, "stop", reason)
        self._decisions.append(
            decision.StopGang(
                job_id=record.job.job_id,
                attempt_id=record.attempt_id,
                checkpoint=after == "requeue",
                reason=reason,
            )
        )

    # Records

    def _release(self, record: JobRecord) -> None:
        self.topology.release(record.attempt_id)
        self._by_attempt.pop(record.attempt_id, None)
        record.attempt_id = ""
        record.assignments = ()

    def _reason(self, code: str, text: str, **links: str) -> model.Reason:
        return model.Reason(
            code=code,
            text=text,
            at_s=self._now_s,
            revision=self.configuration.revision,
            **links,
        )

    def _move(
        self, record: JobRecord, chart_event: str, reason: model.Reason
    ) -> None:
        record.state = self._chart.step(record.state, chart_event)
        if record.state in self._chart.final:
            record.ended_s = self._now_s
        self._changed(record, reason)

    def _changed(self, record: JobRecord, reason: model.Reason) -> None:
        self._note(record, reason)
        self._decisions.append(
            decision.JobChanged(
                job_id=record.job.job_id, state=record.state, reason=reason
            )
        )

    def _note(self, record: JobRecord, reason: model.Reason) -> None:
        last = record.reasons[-1] if record.reasons else None
        if last is not None and last.code == reason.code == "no-room":
            return
        record.reasons = (*record.reasons, reason)[-MAX_REASONS:]
