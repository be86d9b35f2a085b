"""Starts and stops of attempts, and what the engine is told of them."""

from __future__ import annotations

import asyncio
from collections import abc

from returns import result

from knapweedwharf.core import event
from knapweedwharf import errors
from knapweedwharf.fleet import advice as advice_module
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import board as board_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import ledger as ledger_module
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module
from knapweedwharf import log
from knapweedwharf import metrics

START_TRIES = 2
"""A second try goes out on a fresh connection."""

STOP_RETRY_S = 0.15
MAX_STOP_RETRY_S = 0.6
"""Stops are repeated until answered, several times a lease."""


class Orders:
    """Carries attempts out, each member by a task of its own.

    :param sessions: by executor id.
    :param election: tells whether orders may still be given.
    :param tell: tells a service's engine.
    :param advice: has the tickets of steps that need them.
    """

    def __init__(
        self,
        *,
        board: board_module.Board,
        ledger: ledger_module.Ledger,
        sessions: dict[str, session_module.Session],
        election: election_module.Election,
        epoch: int,
        sender: metrics.Metrics,
        tell: event.Tell,
        advice: advice_module.Advice,
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._sessions = sessions
        self._election = election
        self._epoch = epoch
        self._sender = sender
        self._tell = tell
        self._advice = advice
        self._log = log.get("orders").bind(epoch=epoch)
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Give no more orders."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("order-broken", exc_info=task.exception())

    # Starts

    def start(self, attempt: attempt_module.Attempt) -> None:
        """Start every member; the places are stored."""
        if attempt.job.is_advised:
            self._spawn(self._start_advised(attempt))
        else:
            self._start_members(attempt, None)

    async def _start_advised(self, attempt: attempt_module.Attempt) -> None:
        """Start every member that has a valid ticket."""
        executors = {
            session.executor_id: session.executor
            for member in attempt.pending()
            if (session := self._sessions.get(member.executor_id)) is not None
        }
        step_id = attempt.part.step_id(attempt.job.job_id)
        tickets = await self._advice.tickets(step_id, list(executors.values()))
        self._start_members(attempt, tickets)

    def _start_members(
        self,
        attempt: attempt_module.Attempt,
        tickets: dict[str, str] | None,
    ) -> None:
        for member in list(attempt.members.values()):
            if member.phase != attempt_module.INTENDED:
                continue
            session = self._sessions.get(member.executor_id)
            lacks = tickets is not None and member.executor_id not in tickets
            if attempt.must_stop or session is None or lacks:
                self.end(attempt, member, model.REFUSED)
                continue
            member.phase = attempt_module.ORDERED
            ticket = tickets[member.executor_id] if tickets else ""
            self._spawn(self._start(attempt, member, session, ticket))
        self.settle(attempt)

    async def _start(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
        ticket: str,
    ) -> None:
        order = model.Order(
            task_id=member.task_id,
            run=attempt.run,
            specification=attempt.job.specification,
            not_after_ms=0,
            epoch=self._epoch,
            checkpoint=attempt.part.checkpoint,
            ticket=ticket,
        )
        maybe_sent = False
        for _try in range(START_TRIES):
            if not self._election.is_owner:
                return
            sent_s = clock.elapsed_s()
            answer = await session.start_run(order)
            if isinstance(answer, result.Success):
                took_ms = (clock.elapsed_s() - sent_s) * 1000
                self._sender.timing(measures.START, took_ms)
                self.started(attempt, member)
                return
            fault = answer.failure()
            self._not_confirmed(attempt, member, fault)
            if isinstance(fault, errors.Fenced):
                return
            maybe_sent |= isinstance(fault, errors.OutcomeUnknown)
            repeatable = (errors.OutcomeUnknown, errors.Unreachable)
            if not isinstance(fault, repeatable):
                break
        if member.phase != attempt_module.ORDERED:
            return
        if fault.why != model.NO_TICKET:
            attempt.blamed = member.executor_id
        if maybe_sent:
            await self._stop(attempt, member)
        else:
            self.end(attempt, member, model.REFUSED)
            self.settle(attempt)

    def _not_confirmed(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        fault: errors.Fault,
    ) -> None:
        self._log.info(
            "start-not-confirmed",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            why=fault.why,
        )
        if isinstance(fault, errors.Fenced):
            self._election.lose("fenced-by-executor")

    def started(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Note that a member runs."""
        if member.phase != attempt_module.ORDERED:
            return
        member.phase = attempt_module.RUNNING
        member.since_s = clock.elapsed_s()
        found = self._board.workflows.get(attempt.job.job_id)
        if found is not None and not found.begun:
            found.begun = True
            self._ledger.mark(attempt.job.job_id)
        self.settle(attempt)

    # Stops

    async def _stop(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Stop a run until the executor has answered or is gone."""
        if member.stop_sent:
            return
        member.stop_sent = True
        wait_s = STOP_RETRY_S
        while member.phase != attempt_module.ENDED:
            session = self._sessions.get(member.executor_id)
            if session is None or not self._election.is_owner:
                return
            answer = await session.stop_run(member.task_id, attempt.run)
            if isinstance(answer, result.Success):
                member.stopped_s = clock.elapsed_s()
                return
            if isinstance(answer.failure(), errors.Fenced):
                self._election.lose("fenced-by-executor")
                return
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_STOP_RETRY_S)

    def stop_stray(
        self, session: session_module.Session, task_id: str, run: int
    ) -> None:
        """Stop a run that no attempt accounts for."""
        self._log.warning(
            "stray-run", task=task_id, run=run, executor=session.executor_id
        )
        self._spawn(session.stop_run(task_id, run))

    # Speeds

    def pace(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        percent: int,
    ) -> None:
        """Set a member's speed; the next report repeats a lost order."""
        session = self._sessions.get(member.executor_id)
        if session is not None and self._election.is_owner:
            self._spawn(self._pace(attempt, member, session, percent))

    async def _pace(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
        percent: int,
    ) -> None:
        answer = await session.pace_run(member.task_id, attempt.run, percent)
        if isinstance(answer, result.Success):
            member.percent = percent
            member.percent_at_start = False
        elif isinstance(answer.failure(), errors.Fenced):
            self._election.lose("fenced-by-executor")

    # What becomes of members

    def end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        how: str,
        checkpoint: str = "",
    ) -> None:
        """Note the end of a member's run, once."""
        if member.phase == attempt_module.ENDED:
            return
        member.phase = attempt_module.ENDED
        member.is_at_work = False
        member.how = how
        if checkpoint:
            attempt.part.checkpoint = checkpoint
        ran_s = clock.elapsed_s() - member.since_s if member.since_s else 0.0
        if ran_s and how not in (model.DONE, model.FAILED):
            step = attempt.job.steps[attempt.part.step]
            lost_ms = int(ran_s * step.accelerators * 1000)
            self._sender.count(measures.WASTED, lost_ms)
        self._log.info(
            "run-ended",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            how=how,
            ran_s=round(ran_s, 3),
        )

    def settle(self, attempt: attempt_module.Attempt) -> None:
        """Tell the engine what is now certain of an attempt."""
        if not attempt.over:
            self._settle(attempt)
        if attempt.over or not attempt.untold_ends():
            waiting, attempt.once_told = attempt.once_told, []
            for call in waiting:
                call()

    def _settle(self, attempt: attempt_module.Attempt) -> None:
        if attempt.must_stop and not attempt.is_done:
            for member in attempt.running():
                self._spawn(self._stop(attempt, member))
        if attempt.start_failed:
            if attempt.all_ended:
                self._give_up(attempt)
            return
        if not attempt.told_started:
            if attempt.pending() and not attempt.is_done:
                return
            attempt.told_started = True
            started = event.GangStarted(attempt.attempt_id)
            self._tell(attempt.job.service, started)
        self._tell_ends(attempt)
        if attempt.all_ended:
            self._over(attempt)

    def _give_up(self, attempt: attempt_module.Attempt) -> None:
        """Tell of a start in which not every member began to run."""
        attempt.over = True
        self._board.forget(attempt)
        for member in attempt.untold_ends():
            if member.how == model.FAILED:
                self._tell_end(attempt, member, succeeded=False)
        refused = event.GangRefused(
            attempt.attempt_id, attempt.blamed, "A member did not start."
        )
        self._tell(attempt.job.service, refused)

    def _over(self, attempt: attempt_module.Attempt) -> None:
        attempt.over = True
        self._board.forget(attempt)
        if attempt.stopping:
            stopped = event.GangStopped(
                attempt.attempt_id, bool(attempt.part.checkpoint)
            )
            self._tell(attempt.job.service, stopped)

    def _tell_ends(self, attempt: attempt_module.Attempt) -> None:
        done = attempt.is_done
        if done:
            # The members of a gang end together; one end tells of all,
            # also of one whose start was never confirmed.
            for member in attempt.unended():
                self.end(attempt, member, model.DONE)
            attempt.correct_ends()
        for member in attempt.untold_ends():
            self._tell_end(attempt, member, succeeded=done)

    def _tell_end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        *,
        succeeded: bool,
    ) -> None:
        member.told = True
        lasts = attempt.job.steps[attempt.part.step].is_lasting
        self._tell(
            attempt.job.service,
            event.TaskEnded(
                attempt_id=attempt.attempt_id,
                task_index=member.index,
                worker_id=member.executor_id,
                # Whatever ends of a task that lasts is started again.
                succeeded=succeeded and not lasts,
                detail=member.how,
                lapsed=lasts or member.how != model.FAILED,
            ),
        )
