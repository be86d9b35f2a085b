"""Processes executors' reports and the loss of executors."""

from __future__ import annotations

from collections import abc
import functools

from knapweedwharf.core import amount
from knapweedwharf.core import event
from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import crashes as crashes_module
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import late_ends as late_ends_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import orders as orders_module
from knapweedwharf.fleet import pacing as pacing_module
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log
from knapweedwharf import metrics

ChangedAttempts = dict[str, attempt_module.Attempt]

_METRICS = {
    executor_loss.REBORN: metric_definitions.EXECUTORS_REBORN,
    executor_loss.LAPSED: metric_definitions.EXECUTORS_LAPSED,
}


class Reports:
    """Reconciles executors' reports with the scheduling state."""

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        progress_writer: progress_writer_module.ProgressWriter,
        orders: orders_module.Orders,
        tell: event.EventSink,
        sender: metrics.Metrics,
        pacing: pacing_module.Pacing,
        late_ends: late_ends_module.LateEnds,
        crashes: crashes_module.Crashes,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._progress_writer = progress_writer
        self._orders = orders
        self._tell = tell
        self._sender = sender
        self._pacing = pacing
        self._late_ends = late_ends
        self._crashes = crashes
        self._untracked: dict[str, amount.Amount] = {}
        self._reborn: set[str] = set()
        """Executors whose current incarnation hasn't reported yet."""
        self._log = log.get("reports")

    def apply(
        self,
        session: session_module.Session,
        report: model.Report,
        requested_s: float,
    ) -> None:
        """Process an executor's report.

        :param requested_s: when it was requested.
        """
        changed: ChangedAttempts = {}
        self._crashes.executor_answered(
            session.executor_id, session.executor.incarnation_ms
        )
        self._apply_ends(session, report, changed)
        for run in report.runs:
            self._apply_run(session, run, changed)
        if report.is_complete:
            self._apply_absence(session, report, requested_s, changed)
        self._advance_all(changed)
        self._forget_former(session)
        self._report_untracked(session, report)
        self._report_progress(session, report)
        self._pacing.adjust(session.executor_id, report.runs)

    def _apply_absence(
        self,
        session: session_module.Session,
        report: model.Report,
        requested_s: float,
        changed: ChangedAttempts,
    ) -> None:
        """Mark the runs as lost that a complete report doesn't name."""
        present = {(run.task_id, run.run) for run in report.runs}
        absent = [
            (attempt, member)
            for attempt, member in self._scheduling_state.members_on(
                session.executor_id
            )
            if (member.task_id, attempt.run) not in present
            and member.absence_means_ended(requested_s)
        ]
        self._lost_with_former(session, present, absent)
        for attempt, member in absent:
            self._mark_lost(attempt, member, changed)

    def _lost_with_former(
        self,
        session: session_module.Session,
        present: set[crashes_module.RunKey],
        absent: list[crashes_module.Held],
    ) -> None:
        """Log and count the runs that ended with a former incarnation."""
        executor_id, how = session.executor_id, session.former.how_lost
        lost = [held for held in absent if _was_on_former(session, held)]
        for attempt, member in lost:
            self._log_lost(attempt, member, how, beside=len(lost) - 1)
        self._crashes.restart_reported(executor_id, how, present)
        inherited = [held for held in lost if held[1].is_inherited]
        self._crashes.executor_lost(executor_id, how, inherited)

    def _report_untracked(
        self, session: session_module.Session, report: model.Report
    ) -> None:
        """Tell the engine what runs that belong to no attempt take."""
        executor = session.executor
        taken = amount.NOTHING
        for run in report.runs:
            held = self._scheduling_state.find_member(
                executor.executor_id, run.task_id, run.run
            )
            if held is None:
                size = self._scheduling_state.size_of_task(run.task_id)
                taken = taken + (size or executor.capacity)
        before = self._untracked.pop(executor.executor_id, amount.NOTHING)
        if taken != amount.NOTHING:
            self._untracked[executor.executor_id] = taken
        if taken != before:
            seen = event.UntrackedSeen(executor.executor_id, taken)
            self._tell(executor.service, seen)

    def _report_progress(
        self, session: session_module.Session, report: model.Report
    ) -> None:
        shares: dict[str, float] = {}
        for run in report.runs:
            held = self._scheduling_state.find_member(
                session.executor_id, run.task_id, run.run
            )
            if held is None or not held[0].start_reported:
                continue
            # The progress of throttled work says nothing of its executor.
            if held[1].percent == pacing_module.FULL_PERCENT:
                shares[held[0].attempt_id] = run.percent / 100
        if shares:
            self._tell(
                session.executor.service,
                event.ProgressSeen(session.executor_id, tuple(shares.items())),
            )

    def leaving(self, session: session_module.Session) -> None:
        """Move work that a draining executor cannot complete."""
        leaving = event.WorkerLeaving(
            session.executor_id, session.executor.remaining_s
        )
        self._tell(session.executor.service, leaving)

    def _apply_ends(
        self,
        session: session_module.Session,
        report: model.Report,
        changed: ChangedAttempts,
    ) -> None:
        jobs: dict[str, None] = {}
        for end in report.ends:
            if end.number <= session.seen_end:
                continue
            session.seen_end = end.number
            jobs[workflow.job_id_of(end.task_id)] = None
            held = self._scheduling_state.find_member(
                session.executor_id, end.task_id, end.run
            )
            if held is None:
                self._late_ends.apply(session.executor_id, end)
                continue
            attempt, member = held
            self._orders.record_end(
                attempt, member, end.outcome, end.checkpoint
            )
            changed[attempt.attempt_id] = attempt
        self._advance_all(changed)
        for attempt in changed.values():
            self._progress_writer.mark_dirty(attempt.job.job_id)
        if session.seen_end > session.acknowledged_end:
            unreported = {
                attempt.job.job_id: attempt
                for attempt in changed.values()
                if attempt.unreported_ends() and not attempt.closed
            }
            session.acknowledge_ends(
                list(jobs), functools.partial(self._when_stored, unreported)
            )

    def _when_stored(
        self,
        unreported: ChangedAttempts,
        job_id: str,
        then: abc.Callable[[], None],
    ) -> None:
        """Call ``then`` once the effect of the ends on a job is stored.

        :param unreported: by job id, attempts whose ends the engine was
            not told of yet, so that their records lack them.
        """
        attempt = unreported.get(job_id)
        if attempt is None:
            self._progress_writer.when_stored(job_id, then)
            return
        attempt.on_ends_reported.append(
            functools.partial(self._progress_writer.mark_dirty, job_id, then)
        )

    def _apply_run(
        self,
        session: session_module.Session,
        run: model.RunStatus,
        changed: ChangedAttempts,
    ) -> None:
        held = self._scheduling_state.find_member(
            session.executor_id, run.task_id, run.run
        )
        if held is None:
            if not self._scheduling_state.is_task_done(run.task_id):
                self._orders.stop_stray(session, run.task_id, run.run)
            return
        attempt, member = held
        if run.checkpoint:
            attempt.part.checkpoint = run.checkpoint
        member.is_serving = run.percent == 100
        if member.phase == attempt_module.ORDERED and not member.stop_sent:
            self._orders.record_start(attempt, member)
            changed[attempt.attempt_id] = attempt
        member.listed_s = clock.elapsed_s()
        self._crashes.run_listed(attempt, member)

    def executor_ended(
        self,
        executor_id: str,
        how: str,
        unheard_s: float | None = None,
        *,
        is_listed: bool = False,
    ) -> None:
        """End all runs of an executor on which nothing runs any more.

        :param how: how it was lost; see ``executor_loss``.
        :param unheard_s: time since it last answered, if it ever did.
        :param is_listed: the same incarnation is still listed in the store.
        """
        held = list(self._scheduling_state.members_on(executor_id))
        lost = self._unended_on(executor_id)
        self._log_gone(executor_id, how, unheard_s, len(lost))
        for attempt, member in lost:
            self._log_lost(attempt, member, how, beside=len(lost) - 1)
        self._crashes.executor_lost(
            executor_id, how, lost, is_listed=is_listed
        )
        changed: ChangedAttempts = {}
        for attempt, member in held:
            self._mark_lost(attempt, member, changed)
        self._advance_all(changed)

    def _unended_on(self, executor_id: str) -> list[crashes_module.Held]:
        return [
            (attempt, member)
            for attempt, member in self._scheduling_state.members_on(
                executor_id
            )
            if member.phase != attempt_module.ENDED
        ]

    def _log_gone(
        self, executor_id: str, how: str, unheard_s: float | None, runs: int
    ) -> None:
        self._log.warning(
            "executor-gone",
            executor=executor_id,
            how=how,
            unheard_s=None if unheard_s is None else round(unheard_s, 3),
            runs=runs,
        )
        if how in _METRICS:
            self._sender.count(_METRICS[how])

    def _log_lost(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        how: str,
        *,
        beside: int,
    ) -> None:
        """Log what is known of a run that was lost with its executor.

        :param beside: number of other runs that were lost with it.
        """
        if not member.listed_s:
            self._sender.count(metric_definitions.RUNS_LOST_UNSEEN)
        self._log.warning(
            "run-lost",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            how=how,
            phase=member.phase,
            at_work_s=round(member.at_work_s, 3),
            is_inherited=member.is_inherited,
            beside=beside,
        )

    def gone(self, session: session_module.Session, how: str) -> None:
        """Remove an executor on which nothing can run any more."""
        self.executor_ended(
            session.executor_id,
            how,
            session.unheard_s,
            is_listed=session.listed,
        )
        self._remove(session)

    def reborn(self, session: session_module.Session, how: str) -> None:
        """Keep new work off an executor that has started again.

        A start that was sent to the former one may have reached either, so
        the first report of the new one tells which runs are lost.

        :param session: the session with the former incarnation.
        :param how: how that was lost; see ``executor_loss``.
        """
        executor_id = session.executor_id
        held = self._unended_on(executor_id)
        self._log_gone(executor_id, how, session.unheard_s, len(held))
        self._crashes.executor_restarted(executor_id, held)
        changed: ChangedAttempts = {}
        for attempt, member in held:
            if not member.may_have_been_sent:
                self._mark_lost(attempt, member, changed)
        self._advance_all(changed)
        self._reborn.add(executor_id)
        restarted = event.WorkerRestarted(executor_id)
        self._tell(session.executor.service, restarted)
        self.cordoned(session)

    def _forget_former(self, session: session_module.Session) -> None:
        """Let the engine start anew with an executor that has restarted."""
        executor_id = session.executor_id
        if executor_id not in self._reborn:
            return
        self._reborn.discard(executor_id)
        if not self._unended_on(executor_id):
            self._remove(session)

    def _remove(self, session: session_module.Session) -> None:
        self._reborn.discard(session.executor_id)
        self._untracked.pop(session.executor_id, None)
        gone = event.WorkerGone(session.executor_id)
        self._tell(session.executor.service, gone)

    def cordoned(self, session: session_module.Session) -> None:
        """Keep new work off an executor."""
        lost = event.WorkerLost(session.executor_id)
        self._tell(session.executor.service, lost)

    def _mark_lost(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        changed: ChangedAttempts,
    ) -> None:
        how = model.LAPSED if attempt.start_reported else model.REFUSED
        self._orders.record_end(attempt, member, how)
        changed[attempt.attempt_id] = attempt

    def _advance_all(self, changed: ChangedAttempts) -> None:
        for attempt in list(changed.values()):
            self._orders.advance(attempt)


def _was_on_former(
    session: session_module.Session, held: crashes_module.Held
) -> bool:
    """Return whether a run was placed on a former incarnation."""
    attempt, _member = held
    placed_on = attempt.part.incarnations.get(session.executor_id, 0)
    return placed_on not in (0, session.executor.incarnation_ms)
