"""Starts and stops attempts and reports the results to the engine."""

from __future__ import annotations

import asyncio
from collections import abc

from returns import result

from knapweedwharf.core import event
from knapweedwharf import errors
from knapweedwharf.fleet import advice as advice_module
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf.fleet import session as session_module
from knapweedwharf.fleet import start_delay as start_delay_module
from knapweedwharf.fleet import start_gate as start_gate_module
from knapweedwharf.fleet import start_window as start_window_module
from knapweedwharf import log
from knapweedwharf import metrics

START_TRIES = 2
"""The second try uses a new connection."""

STOP_RETRY_S = 0.15
MAX_STOP_RETRY_S = 0.6
"""Stops are repeated until answered, several times within a lease."""


class Orders:
    """Carries out attempts, with an asyncio task for each member.

    :param sessions: by executor id.
    :param election: knows whether orders may still be sent.
    :param tell: passes an event to a service's engine.
    :param advice: provides the tickets of steps that need them.
    :param window: bounds the starts in flight.
    :param start_delay: is told how long stops take.
    :param gate: decides whether a start may be sent now.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        progress_writer: progress_writer_module.ProgressWriter,
        sessions: dict[str, session_module.Session],
        election: election_module.Election,
        epoch: int,
        sender: metrics.Metrics,
        tell: event.EventSink,
        advice: advice_module.Advice,
        window: start_window_module.StartWindow,
        start_delay: start_delay_module.StartDelay,
        gate: start_gate_module.StartGate,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._progress_writer = progress_writer
        self._sessions = sessions
        self._election = election
        self._epoch = epoch
        self._sender = sender
        self._tell = tell
        self._advice = advice
        self._window = window
        self._start_delay = start_delay
        self._gate = gate
        self._log = log.get("orders").bind(epoch=epoch)
        self._tasks: set[asyncio.Task] = set()
        self._strays: set[tuple[str, str, int]] = set()

    async def close(self) -> None:
        """Stop sending orders."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_finished)

    def _task_finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("order-broken", exc_info=task.exception())

    # Starts

    def start(self, attempt: attempt_module.Attempt) -> None:
        """Start every member; the placements are stored already."""
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
                self.record_end(attempt, member, model.REFUSED)
                continue
            member.phase = attempt_module.ORDERED
            ticket = tickets[member.executor_id] if tickets else ""
            self._spawn(self._start(attempt, member, session, ticket))
        self.advance(attempt)

    async def _start(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
        ticket: str,
    ) -> None:
        order = model.StartOrder(
            task_id=member.task_id,
            run=attempt.run,
            specification=attempt.job.specification,
            not_after_ms=0,
            epoch=self._epoch,
            checkpoint=attempt.part.checkpoint,
            ticket=ticket,
        )
        maybe_sent = False
        fault: errors.Fault | None = None
        for _try in range(START_TRIES):
            answer = await self._send_start(attempt, member, session, order)
            if answer is None:
                break
            if isinstance(answer, result.Success):
                self.record_start(attempt, member)
                return
            fault = answer.failure()
            self._handle_start_failure(attempt, member, fault)
            if isinstance(fault, errors.Fenced):
                return
            maybe_sent |= isinstance(fault, errors.OutcomeUnknown)
            repeatable = (errors.OutcomeUnknown, errors.Unreachable)
            if not isinstance(fault, repeatable):
                break
        is_lost = self._election.ownership is None
        if is_lost or member.phase != attempt_module.ORDERED:
            return
        if fault is not None and fault.why != model.NO_TICKET:
            attempt.refused_by = member.executor_id
        if maybe_sent:
            await self._stop(attempt, member)
        else:
            self.record_end(attempt, member, model.REFUSED)
            self.advance(attempt)

    async def _send_start(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        session: session_module.Session,
        order: model.StartOrder,
    ) -> result.Result[int, errors.Fault] | None:
        """Send a start when it is its turn; None if it is not to be sent."""
        size = len(order.specification)
        async with self._window.slot(attempt.job.priority, size):
            if not await self._gate.admits(attempt, member, session):
                return None
            sent_s = clock.elapsed_s()
            member.sent_s = member.sent_s or sent_s
            answer = await session.start_run(order)
        if isinstance(answer, result.Success):
            took_ms = (clock.elapsed_s() - sent_s) * 1000
            self._sender.timing(metric_definitions.START_MS, took_ms)
        return answer

    def _handle_start_failure(
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
            self._election.give_up("fenced-by-executor")

    def record_start(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Record that a member runs."""
        if member.phase != attempt_module.ORDERED:
            return
        member.phase = attempt_module.RUNNING
        member.since_s = clock.elapsed_s()
        flow = self._scheduling_state.workflows.get(attempt.job.job_id)
        if flow is not None and not flow.has_started:
            flow.has_started = True
            self._progress_writer.mark_dirty(attempt.job.job_id)
        self.advance(attempt)

    # Stops

    async def _stop(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Send stops until the executor has answered or is gone."""
        if member.stop_sent:
            return
        member.stop_sent = True
        member.stop_sent_s = clock.elapsed_s()
        if await self._send_stops(
            member.executor_id,
            member.task_id,
            attempt.run,
            is_needed=lambda: member.phase != attempt_module.ENDED,
        ):
            member.stopped_s = clock.elapsed_s()

    def stop_stray(
        self, session: session_module.Session, task_id: str, run: int
    ) -> None:
        """Stop a run that belongs to no attempt."""
        executor_id = session.executor_id
        stray = (executor_id, task_id, run)
        if stray not in self._strays:
            self._strays.add(stray)
            self._log.warning(
                "stray-run", task=task_id, run=run, executor=executor_id
            )
            self._spawn(self._stop_stray(session, stray))

    async def _stop_stray(
        self, session: session_module.Session, stray: tuple[str, str, int]
    ) -> None:
        """Send stops; a run that goes on all the same is listed again."""

        def is_needed() -> bool:
            return self._sessions.get(session.executor_id) is session

        try:
            await self._send_stops(*stray, is_needed=is_needed)
        finally:
            self._strays.discard(stray)

    async def _send_stops(
        self,
        executor_id: str,
        task_id: str,
        run: int,
        *,
        is_needed: abc.Callable[[], bool],
    ) -> bool:
        """Send stops while needed; return whether one was answered."""
        wait_s = STOP_RETRY_S
        while is_needed():
            may_order = await self._election.may_order()
            session = self._sessions.get(executor_id)
            if session is None or not may_order:
                return False
            answer = await session.stop_run(task_id, run)
            if isinstance(answer, result.Success):
                return True
            if isinstance(answer.failure(), errors.Fenced):
                self._election.give_up("fenced-by-executor")
                return False
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_STOP_RETRY_S)
        return False

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
            self._election.give_up("fenced-by-executor")

    # Results

    def record_end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        how: str,
        checkpoint: str = "",
    ) -> None:
        """Record the end of a member's run; later calls have no effect."""
        if member.phase == attempt_module.ENDED:
            return
        member.phase = attempt_module.ENDED
        member.is_serving = False
        member.outcome = how
        if checkpoint:
            attempt.part.checkpoint = checkpoint
        if how == model.STOPPED and member.stop_sent:
            self._start_delay.add_stop(clock.elapsed_s() - member.stop_sent_s)
        ran_s = clock.elapsed_s() - member.since_s if member.since_s else 0.0
        if ran_s and how not in (model.DONE, model.FAILED):
            step = attempt.job.steps[attempt.part.step]
            lost_ms = int(ran_s * step.accelerators * 1000)
            self._sender.count(metric_definitions.ACCELERATOR_MS_LOST, lost_ms)
        self._log.info(
            "run-ended",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            how=how,
            ran_s=round(ran_s, 3),
        )

    def advance(self, attempt: attempt_module.Attempt) -> None:
        """Report to the engine what is now certain about an attempt."""
        if not attempt.closed:
            self._advance(attempt)
        if attempt.closed or not attempt.unreported_ends():
            waiting, attempt.on_ends_reported = attempt.on_ends_reported, []
            for call in waiting:
                call()

    def _advance(self, attempt: attempt_module.Attempt) -> None:
        if attempt.must_stop and not attempt.is_done:
            for member in attempt.running():
                self._spawn(self._stop(attempt, member))
        if attempt.start_failed:
            if attempt.all_ended:
                self._report_failed_start(attempt)
            return
        if not attempt.start_reported:
            if attempt.pending() and not attempt.is_done:
                return
            attempt.start_reported = True
            started = event.GangStarted(attempt.attempt_id)
            self._tell(attempt.job.service, started)
        self._report_ends(attempt)
        if attempt.all_ended:
            self._close_attempt(attempt)

    def _report_failed_start(self, attempt: attempt_module.Attempt) -> None:
        """Report a start in which not all members began to run."""
        attempt.closed = True
        self._scheduling_state.remove(attempt)
        for member in attempt.unreported_ends():
            if member.outcome == model.FAILED:
                self._report_end(attempt, member, succeeded=False)
        refused = event.GangRefused(
            attempt.attempt_id,
            attempt.refused_by,
            "A member did not start.",
            is_withheld=attempt.is_withheld,
        )
        self._tell(attempt.job.service, refused)

    def _close_attempt(self, attempt: attempt_module.Attempt) -> None:
        attempt.closed = True
        self._scheduling_state.remove(attempt)
        if attempt.stopping:
            stopped = event.GangStopped(
                attempt.attempt_id, bool(attempt.part.checkpoint)
            )
            self._tell(attempt.job.service, stopped)

    def _report_ends(self, attempt: attempt_module.Attempt) -> None:
        done = attempt.is_done
        if done:
            # The members of a gang end together, so one end proves all,
            # even of a member whose start was never confirmed.
            for member in attempt.unended():
                self.record_end(attempt, member, model.DONE)
            attempt.mark_all_done()
        for member in attempt.unreported_ends():
            self._report_end(attempt, member, succeeded=done)

    def _report_end(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        *,
        succeeded: bool,
    ) -> None:
        member.end_reported = True
        lasts = attempt.job.steps[attempt.part.step].is_lasting
        self._tell(
            attempt.job.service,
            event.TaskEnded(
                attempt_id=attempt.attempt_id,
                task_index=member.index,
                worker_id=member.executor_id,
                # A long-running task is restarted however it ends.
                succeeded=succeeded and not lasts,
                detail=member.outcome,
                lapsed=lasts or member.outcome != model.FAILED,
            ),
        )
