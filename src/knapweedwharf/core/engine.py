"""The decision core: events in, decisions with reasons out.

The engine owns the scheduling state of one data centre. It does no I/O
and has no clock; ``now_s`` is passed with each event. It is
deterministic: the same sequence of events gives the same decisions.
"""

from __future__ import annotations

import functools

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import hardware
from knapweedwharf.core import lifecycle
from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import scheduler
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology

JobRecord = record_module.JobRecord


class Engine:
    """Scheduling state of one data centre.

    :param attempt_prefix: makes attempt ids unique to this epoch.
    :param policy: name of a registered placement policy; the default is
        the one for production, most others are baselines.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        attempt_prefix: str,
        policy: str = "guaranteed",
    ) -> None:
        self.state = state_module.State(
            data_centre=data_centre,
            attempt_prefix=attempt_prefix,
            policy=policy,
        )
        self._scheduler = scheduler.Scheduler(self.state)
        self._lifecycle = lifecycle.Lifecycle(
            self.state, self._scheduler.reclaim
        )
        self._hardware = hardware.Hardware(self.state, self._lifecycle)

    @property
    def data_centre(self) -> str:
        """The data centre that this engine schedules."""
        return self.state.data_centre

    @property
    def configuration(self) -> model.Configuration:
        """The configuration in force."""
        return self.state.configuration

    @property
    def topology(self) -> topology.Topology:
        """Workers and their free capacity."""
        return self.state.topology

    @property
    def records(self) -> dict[str, JobRecord]:
        """Every job's record by its id."""
        return self.state.records

    def restore(self, record: JobRecord) -> None:
        """Restore a record that an earlier epoch stored."""
        self._lifecycle.restore(record)

    def drop(self, job_id: str) -> None:
        """Drop the record of a job that ended."""
        record = self.state.records.pop(job_id, None)
        if record is not None:
            self._lifecycle.drop_approval(record.job.approval)

    def forget_ended(self, job_id: str) -> None:
        """Drop the record of a job that ended beside others of its kind.

        Their approval is kept.
        """
        record = self.state.records.get(job_id)
        if record is not None and record.state in self.state.chart.final:
            del self.state.records[job_id]

    def handle(
        self, happened: event.Event, *, now_s: float
    ) -> list[decision.Decision]:
        """Apply one event and run a whole scheduling pass.

        :returns: the decisions that follow, in order.
        """
        applied = self.apply(happened, now_s=now_s)
        return applied + self.schedule(now_s=now_s)

    def apply(
        self, happened: event.Event, *, now_s: float
    ) -> list[decision.Decision]:
        """Apply one event without a scheduling pass.

        :returns: the decisions that follow from the event alone, in
            order. The next pass starts what it lets start.
        """
        self._begin(now_s)
        if self.state.first_event_s is None:
            self.state.first_event_s = now_s
        self._hardware.check_complete()
        self._apply(happened)
        return self.state.decisions

    @property
    def needs_pass(self) -> bool:
        """Whether a scheduling pass has anything to do."""
        return self._scheduler.is_due

    def schedule(
        self, *, now_s: float, tries: int | None = None
    ) -> list[decision.Decision]:
        """Run a scheduling pass, or the next part of one.

        A pass tries each class of waiting jobs that an event may have
        helped. One pass serves all events applied before it.

        :param tries: most jobs to try; the next call continues where
            this one stopped. None runs a whole pass.
        :returns: the decisions made, in order.
        """
        self._begin(now_s)
        self._scheduler.run(tries)
        self._hardware.report_guarantee_changes()
        return self.state.decisions

    def take_decisions(self) -> list[decision.Decision]:
        """Return the decisions of the last call, once.

        If the call has failed, these are the ones that it had made before
        and that the engine's state reflects.
        """
        decisions, self.state.decisions = self.state.decisions, []
        return decisions

    def _begin(self, now_s: float) -> None:
        self.state.now_s = now_s
        self.state.decisions = []

    def job_of_attempt(self, attempt_id: str) -> JobRecord | None:
        """Return the record an attempt belongs to."""
        return self.state.job_of_attempt(attempt_id)

    @functools.singledispatchmethod
    def _apply(self, happened: event.Event) -> None:
        raise TypeError(f"unknown event {type(happened).__name__}")

    @_apply.register
    def _(self, happened: event.ConfigurationChanged) -> None:
        self._hardware.configure(happened.configuration)

    @_apply.register
    def _(self, happened: event.WorkerSealed) -> None:
        self._hardware.sealed(happened.worker)

    @_apply.register
    def _(self, happened: event.WorkerLost) -> None:
        self._hardware.exclude(happened.worker_id, topology.LOST)

    @_apply.register
    def _(self, happened: event.WorkerLeaving) -> None:
        self._hardware.leaving(happened)

    @_apply.register
    def _(self, happened: event.WorkerGone) -> None:
        self._hardware.gone(happened.worker_id)

    @_apply.register
    def _(self, happened: event.WorkerWarming) -> None:
        self._hardware.warming(happened.worker_id, happened.until_s)

    @_apply.register
    def _(self, happened: event.DemandRecalled) -> None:
        self.state.headroom.restore(
            happened.mean, happened.mean_square, self.state.now_s
        )

    @_apply.register
    def _(self, happened: event.WorkerRestarted) -> None:
        self._hardware.restarted(happened.worker_id)

    @_apply.register
    def _(self, happened: event.UntrackedSeen) -> None:
        self.topology.set_untracked(happened.worker_id, happened.taken)

    @_apply.register
    def _(self, happened: event.JobSubmitted) -> None:
        self._lifecycle.submitted(happened.job, happened.failures)

    @_apply.register
    def _(self, happened: event.JobCancelled) -> None:
        self._lifecycle.cancelled(happened.job_id)

    @_apply.register
    def _(self, happened: event.LateSuccess) -> None:
        self._lifecycle.succeeded_late(happened.job_id)

    @_apply.register
    def _(self, happened: event.LateFailure) -> None:
        self._lifecycle.failed_late(happened.job_id)

    @_apply.register
    def _(self, happened: event.JobSuspected) -> None:
        self._lifecycle.suspected(happened)

    @_apply.register
    def _(self, happened: event.JobGivenUp) -> None:
        self._lifecycle.given_up(happened)

    @_apply.register
    def _(self, happened: event.GangStarted) -> None:
        self._lifecycle.gang_started(happened.attempt_id)

    @_apply.register
    def _(self, happened: event.GangAdopted) -> None:
        self._lifecycle.gang_adopted(happened)

    @_apply.register
    def _(self, happened: event.GangRefused) -> None:
        self._hardware.start_refused(happened.worker_id, happened.attempt_id)
        self._lifecycle.gang_refused(happened)

    @_apply.register
    def _(self, happened: event.GangStopped) -> None:
        self._lifecycle.gang_stopped(happened)

    @_apply.register
    def _(self, happened: event.TaskEnded) -> None:
        if self._lifecycle.is_expected(happened):
            self._hardware.record_outcome(happened)
            self._lifecycle.task_ended(happened)

    @_apply.register
    def _(self, happened: event.UsageReported) -> None:
        self._lifecycle.usage_reported(happened)

    @_apply.register
    def _(self, happened: event.JobMoved) -> None:
        self._lifecycle.moved(happened)

    @_apply.register
    def _(self, happened: event.WorkersApproved) -> None:
        self._lifecycle.workers_approved(happened)

    @_apply.register
    def _(self, happened: event.ProgressSeen) -> None:
        self._hardware.record_progress(happened)

    @_apply.register
    def _(self, _happened: event.Tick) -> None:
        self._hardware.tick()
        self._scheduler.tick()
