"""What executors report, and what their silence means."""

from __future__ import annotations

from collections import abc
import functools

from knapweedwharf.core import event
from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import board as board_module
from knapweedwharf.fleet import ledger as ledger_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import orders as orders_module
from knapweedwharf.fleet import pacing as pacing_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log

Touched = dict[str, attempt_module.Attempt]


class Reports:
    """Compares executors' lists with the board."""

    def __init__(
        self,
        *,
        board: board_module.Board,
        ledger: ledger_module.Ledger,
        orders: orders_module.Orders,
        tell: event.Tell,
        pacing: pacing_module.Pacing,
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._orders = orders
        self._tell = tell
        self._pacing = pacing
        self._log = log.get("reports")

    def take(
        self,
        session: session_module.Session,
        report: model.Report,
        asked_s: float,
    ) -> None:
        """Take an executor's report.

        :param asked_s: when it was asked for.
        """
        touched: Touched = {}
        self._take_ends(session, report, touched)
        present = {(run.task_id, run.run) for run in report.runs}
        for run in report.runs:
            self._take_run(session, run, touched)
        for attempt, member in self._board.members_on(session.executor_id):
            listed = (member.task_id, attempt.run) in present
            if not listed and member.is_absent(asked_s):
                self._lost(attempt, member, touched)
        self._settle(touched)
        self._tell_progress(session, report)
        self._pacing.look(session.executor_id, report.runs)

    def _tell_progress(
        self, session: session_module.Session, report: model.Report
    ) -> None:
        shares: dict[str, float] = {}
        for run in report.runs:
            held = self._board.member(
                session.executor_id, run.task_id, run.run
            )
            if held is None or not held[0].told_started:
                continue
            # What is slowed down says nothing of its executor.
            if held[1].percent == pacing_module.FULL_PERCENT:
                shares[held[0].attempt_id] = run.percent / 100
        if shares:
            self._tell(
                session.executor.service,
                event.ProgressSeen(session.executor_id, tuple(shares.items())),
            )

    def leaving(self, session: session_module.Session) -> None:
        """Let work that an executor will not end go elsewhere."""
        leaving = event.WorkerLeaving(
            session.executor_id, session.executor.remaining_s
        )
        self._tell(session.executor.service, leaving)

    def _take_ends(
        self,
        session: session_module.Session,
        report: model.Report,
        touched: Touched,
    ) -> None:
        jobs: dict[str, None] = {}
        for end in report.ends:
            if end.number <= session.seen_end:
                continue
            session.seen_end = end.number
            jobs[workflow.job_id_of(end.task_id)] = None
            held = self._board.member(
                session.executor_id, end.task_id, end.run
            )
            if held is None:
                # A gang's other members may have told of its end.
                continue
            attempt, member = held
            self._orders.end(attempt, member, end.how, end.checkpoint)
            touched[attempt.attempt_id] = attempt
        self._settle(touched)
        for attempt in touched.values():
            self._ledger.mark(attempt.job.job_id)
        if session.seen_end > session.noted_end:
            untold = {
                attempt.job.job_id: attempt
                for attempt in touched.values()
                if attempt.untold_ends() and not attempt.over
            }
            session.note(
                list(jobs), functools.partial(self._when_stored, untold)
            )

    def _when_stored(
        self,
        untold: Touched,
        job_id: str,
        then: abc.Callable[[], None],
    ) -> None:
        """Call ``then`` once what the ends mean for a job is stored.

        :param untold: attempts of whose ends the engine does not know
            yet, by job; their record says nothing of them.
        """
        attempt = untold.get(job_id)
        if attempt is None:
            self._ledger.when_stored(job_id, then)
            return
        attempt.once_told.append(
            functools.partial(self._ledger.mark, job_id, then)
        )

    def _take_run(
        self,
        session: session_module.Session,
        run: model.Run,
        touched: Touched,
    ) -> None:
        held = self._board.member(session.executor_id, run.task_id, run.run)
        if held is None:
            if not self._board.has_ended(run.task_id):
                self._orders.stop_stray(session, run.task_id, run.run)
            return
        attempt, member = held
        if run.checkpoint:
            attempt.part.checkpoint = run.checkpoint
        member.is_at_work = run.percent == 100
        if member.phase == attempt_module.ORDERED and not member.stop_sent:
            self._orders.started(attempt, member)
            touched[attempt.attempt_id] = attempt

    def executor_over(self, executor_id: str) -> None:
        """Take note that nothing runs on an executor any more."""
        self._log.warning("executor-gone", executor=executor_id)
        touched: Touched = {}
        for attempt, member in self._board.members_on(executor_id):
            self._lost(attempt, member, touched)
        self._settle(touched)

    def gone(self, session: session_module.Session) -> None:
        """Forget an executor on which nothing can run any more."""
        self.executor_over(session.executor_id)
        gone = event.WorkerGone(session.executor_id)
        self._tell(session.executor.service, gone)

    def barred(self, session: session_module.Session) -> None:
        """Let an executor get no new work."""
        lost = event.WorkerLost(session.executor_id)
        self._tell(session.executor.service, lost)

    def _lost(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        touched: Touched,
    ) -> None:
        how = model.LAPSED if attempt.told_started else model.REFUSED
        self._orders.end(attempt, member, how)
        touched[attempt.attempt_id] = attempt

    def _settle(self, touched: Touched) -> None:
        for attempt in list(touched.values()):
            self._orders.settle(attempt)
