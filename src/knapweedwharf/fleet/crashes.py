"""Counts the executors that crashed under each task.

A task that crashes whatever starts it leaves no end. It is given up
after a few crashes, and until then it is kept apart from other suspects,
so that it doesn't take sound work with it.

When an executor crashes, the runs that no report has shown at work yet
are blamed, and all of its runs if there are none. An executor whose
lease has lapsed counts as crashed until the same incarnation answers; while
it is still listed, it is taken for cut off and doesn't count yet. One that may
have left in order doesn't count, see ``departures``.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import event
from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import departures as departures_module
from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import progress_writer as progress_writer_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf import log
from knapweedwharf import metrics

CRASHES_TO_GIVE_UP = 3
"""The platform allows to give a task up after two, and fewer than three
starts after three."""

AT_WORK_AFTER_S = 1.0
"""A run that its executor has listed for so long did not crash it by its
start; reports come once a second."""

FORGET_AFTER_S = 600.0
"""Time at work after which a task's earlier crashes no longer count; a task
that crashes an executor less often than this costs little."""

_NO_CRASH = frozenset({executor_loss.LEFT, executor_loss.UNEXPLAINED})

RunKey = tuple[str, int]
"""(task id, run number)"""

Held = tuple[attempt_module.Attempt, attempt_module.Member]

_Blame = tuple[attempt_module.Attempt, attempt_module.Member, workflow.Crash]


class Crashes:
    """Counts crashes in the tasks' parts, whose records keep them."""

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        departures: departures_module.Departures,
        progress_writer: progress_writer_module.ProgressWriter,
        tell: event.EventSink,
        sender: metrics.Metrics,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._departures = departures
        self._progress_writer = progress_writer
        self._tell = tell
        self._sender = sender
        self._log = log.get("crashes")
        self._presumed: dict[tuple[str, int], dict[str, None]] = {}
        """Parts by the executor's id and incarnation."""
        self._cut_off: dict[str, list[_Blame]] = {}
        """What counts by an executor's id once it turns out to be lost."""
        self._restarted: dict[str, list[Held]] = {}
        """What may have crashed an executor, until its next incarnation
        reports."""
        self._unconfirmed: list[tuple[_Blame, str]] = []
        """What may count once it is known whether its executor has left."""

    def restore(self, flow: workflow.Workflow) -> None:
        """Take over what a former owner has counted for a job."""
        for part in flow.parts.values():
            for crash in part.crashes:
                self._presume(part, crash)

    def _presume(self, part: workflow.Part, crash: workflow.Crash) -> None:
        if crash.incarnation_ms:
            lost = (crash.executor_id, crash.incarnation_ms)
            self._presumed.setdefault(lost, {})[part.part_id] = None

    def executor_lost(
        self,
        executor_id: str,
        how: str,
        lost: abc.Iterable[Held],
        *,
        is_listed: bool = False,
    ) -> None:
        """Count the loss of an executor for the tasks that may have caused it.

        :param how: how it was lost; see ``executor_loss``.
        :param lost: the attempts and members that had not ended there.
        :param is_listed: the same incarnation is still listed in the store.
        """
        self.restart_reported(executor_id, executor_loss.REBORN)
        blames = self._cut_off.pop(executor_id, [])
        if how == executor_loss.LEFT:
            return
        begun = [held for held in lost if _may_have_run(held[1])]
        blames.extend(_blames(executor_id, begun))
        if how == executor_loss.LAPSED and is_listed:
            self._cut_off[executor_id] = blames
            return
        self._count_if_crashed(blames, how)

    def executor_restarted(
        self, executor_id: str, held: abc.Iterable[Held]
    ) -> None:
        """Remember what may have crashed an executor that is back.

        :param held: the attempts and members that had not ended there.
        """
        begun = [one for one in held if _may_have_run(one[1])]
        self._restarted.setdefault(executor_id, []).extend(begun)

    def restart_reported(
        self,
        executor_id: str,
        how: str,
        present: abc.Container[RunKey] = (),
    ) -> None:
        """Count the crash of an executor for the runs that ended with it.

        :param how: how its former incarnation was lost.
        :param present: what its current incarnation runs.
        """
        held = self._restarted.pop(executor_id, [])
        if how == executor_loss.LEFT:
            return
        ended = [
            (attempt, member)
            for attempt, member in held
            if member.phase != attempt_module.ENDED
            and (member.task_id, attempt.run) not in present
        ]
        self._count_if_crashed(_blames(executor_id, ended), how)

    def tick(self) -> None:
        """Count what has waited for the executors' entries."""
        if self._unconfirmed and self._departures.is_current:
            waiting, self._unconfirmed = self._unconfirmed, []
            for blame, how in waiting:
                self._count_if_crashed([blame], how)

    def _count_if_crashed(
        self, blames: abc.Iterable[_Blame], how: str
    ) -> None:
        """Count a loss unless the executor has left, or may have."""
        for blame in blames:
            attempt, member, crash = blame
            if not self._departures.is_current:
                self._unconfirmed.append((blame, how))
                continue
            cause = self._departures.explain(
                crash.executor_id, crash.incarnation_ms, how
            )
            if cause not in _NO_CRASH:
                self._count(attempt, member, crash, cause)
                continue
            self._log.info(
                "executor-loss-not-blamed",
                job_id=attempt.job.job_id,
                task=member.task_id,
                run=crash.run,
                executor=crash.executor_id,
                incarnation_ms=crash.incarnation_ms,
                how=cause,
            )

    def _count(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        crash: workflow.Crash,
        how: str,
    ) -> None:
        part = attempt.part
        found = self._scheduling_state.find_part(part.part_id)
        if found is None or found[0].is_final or part.done:
            return
        if any(crash.is_same(known) for known in part.crashes):
            return
        part.crashes = (*part.crashes, crash)
        self._presume(part, crash)
        self._progress_writer.mark_dirty(attempt.job.job_id)
        of_task = [c for c in part.crashes if c.index == member.index]
        self._log.warning(
            "executor-crashed-under-task",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=crash.run,
            executor=crash.executor_id,
            how=how,
            at_start=crash.at_start,
            crashes=len(of_task),
        )
        if len(of_task) >= CRASHES_TO_GIVE_UP:
            self._give_up(attempt, member, of_task)
        else:
            self._tell_suspicion(attempt.job.service, part)

    def _give_up(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        crashes: list[workflow.Crash],
    ) -> None:
        executors = [crash.executor_id for crash in crashes]
        self._sender.count(metric_definitions.TASKS_GIVEN_UP)
        self._log.warning(
            "task-given-up",
            job_id=attempt.job.job_id,
            task=member.task_id,
            executors=executors,
            runs=[crash.run for crash in crashes],
        )
        why = f"Executors crashed under {member.task_id}: {executors}."
        given_up = event.JobGivenUp(attempt.part.part_id, why)
        self._tell(attempt.job.service, given_up)

    def _tell_suspicion(self, service: str, part: workflow.Part) -> None:
        self._tell(service, event.JobSuspected(part.part_id, part.is_suspect))

    def executor_answered(self, executor_id: str, incarnation_ms: int) -> None:
        """Withdraw the crash of an executor that was only cut off."""
        self._cut_off.pop(executor_id, None)
        lost = (executor_id, incarnation_ms)
        if self._unconfirmed:
            self._unconfirmed = [
                (blame, how)
                for blame, how in self._unconfirmed
                if (blame[2].executor_id, blame[2].incarnation_ms) != lost
            ]
        for part_id in self._presumed.pop(lost, ()):
            found = self._scheduling_state.find_part(part_id)
            if found is None:
                continue
            flow, part = found
            self._keep(
                flow.job,
                part,
                [
                    crash
                    for crash in part.crashes
                    if (crash.executor_id, crash.incarnation_ms) != lost
                ],
                why="executor-answered",
            )

    def run_listed(
        self, attempt: attempt_module.Attempt, member: attempt_module.Member
    ) -> None:
        """Forget the crashes of a task that has been at work for long."""
        part = attempt.part
        if part.crashes and member.at_work_s >= FORGET_AFTER_S:
            others = [c for c in part.crashes if c.index != member.index]
            self._keep(attempt.job, part, others, why="at-work")

    def _keep(
        self,
        job: workflow.Job,
        part: workflow.Part,
        crashes: list[workflow.Crash],
        *,
        why: str,
    ) -> None:
        """Keep some of a part's crashes and forget the others."""
        forgotten = len(part.crashes) - len(crashes)
        if not forgotten:
            return
        part.crashes = tuple(crashes)
        self._progress_writer.mark_dirty(job.job_id)
        self._log.info(
            "crashes-forgotten",
            job_id=job.job_id,
            part=part.part_id,
            forgotten=forgotten,
            left=len(crashes),
            why=why,
        )
        self._tell_suspicion(job.service, part)


def _blames(executor_id: str, begun: list[Held]) -> list[_Blame]:
    """Return which of the runs on a crashed executor may have crashed it."""
    new = [held for held in begun if _is_new(held[1])]
    return [
        (
            attempt,
            member,
            workflow.Crash(
                member.index,
                executor_id,
                attempt.part.incarnations.get(executor_id, 0),
                attempt.run,
                at_start=bool(new) and not member.is_inherited,
            ),
        )
        for attempt, member in new or begun
    ]


def _may_have_run(member: attempt_module.Member) -> bool:
    """Return whether a member's run may have been alive at the loss."""
    is_ordered = member.phase in (
        attempt_module.ORDERED,
        attempt_module.RUNNING,
    )
    return is_ordered and member.may_have_been_sent and not member.stopped_s


def _is_new(member: attempt_module.Member) -> bool:
    """Return whether no report has shown a run at work yet."""
    if member.is_inherited and member.listed_s:
        return False
    return member.at_work_s < AT_WORK_AFTER_S
