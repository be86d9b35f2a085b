"""The owner's in-memory state: jobs, attempts and their placement."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import amount
from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import backlog
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import records

Runs = dict[tuple[str, int], tuple[attempt_module.Attempt, int]]
"""from (task id, run number) to an attempt and a member's task index"""


REMOVED_PRIORITY = 1_000
"""After the priorities of all queues, as nobody waits for a removal."""


class SchedulingState:
    """Jobs and attempts of one ownership.

    :ivar workflows: all known jobs, by job id.
    :ivar attempts: attempts that may still run, by the engine's id.
    :ivar ended_s: when each ended job was first seen as ended.
    :ivar freed_bytes: what jobs have freed by their ends so far.
    """

    def __init__(self) -> None:
        self.workflows: dict[str, workflow.Workflow] = {}
        self.attempts: dict[str, attempt_module.Attempt] = {}
        self.ended_s: dict[str, float] = {}
        self.freed_bytes = 0
        self._runs: dict[str, Runs] = {}
        self._attempts_by_job: dict[str, dict[str, None]] = {}

    def dump(self, job_id: str) -> bytes | None:
        """Return a job's encoded progress; None once it was removed."""
        flow = self.workflows.get(job_id)
        if flow is None:
            return None
        return records.dump_progress(flow, with_parts=not self._is_over(flow))

    def dump_ended(self, job_id: str) -> bytes | None:
        """Return the specification to keep of a job that is over.

        None while it is needed in full: the runs of a job that failed or
        was cancelled are still stopped, perhaps by the next owner.
        """
        flow = self.workflows.get(job_id)
        if flow is None or not self._is_over(flow):
            return None
        return records.dump_ended_job(flow.job)

    def priority_of(self, job_id: str) -> int:
        """Return the priority of a job's queue; removed jobs go last."""
        flow = self.workflows.get(job_id)
        return REMOVED_PRIORITY if flow is None else flow.job.priority

    def _is_over(self, flow: workflow.Workflow) -> bool:
        """Return whether a job has ended and none of its runs is left."""
        return flow.is_final and flow.job.job_id not in self._attempts_by_job

    def find_part(
        self, part_id: str
    ) -> tuple[workflow.Workflow, workflow.Part] | None:
        """Return a part and its job, or None if the job was removed."""
        flow = self.workflows.get(workflow.job_id_of(part_id))
        part = flow.parts.get(part_id) if flow else None
        return (flow, part) if part is not None else None

    def find_part_of_task(
        self, task_id: str
    ) -> tuple[workflow.Workflow, workflow.Part] | None:
        """Return the part of a task and its job, or None if unknown."""
        flow = self.workflows.get(workflow.job_id_of(task_id))
        part_id = workflow.part_id_of(flow.job, task_id) if flow else None
        return self.find_part(part_id) if part_id else None

    def size_of_task(self, task_id: str) -> amount.Amount | None:
        """Return what a task takes of its executor, or None if unknown."""
        flow = self.workflows.get(workflow.job_id_of(task_id))
        part_id = workflow.part_id_of(flow.job, task_id) if flow else None
        if part_id is None:
            return None
        step = flow.job.steps[int(task_id.split(".")[2])]
        cores_milli = 0 if step.fills_spare else step.cores_milli
        return amount.Amount(step.accelerators, cores_milli, step.memory_mib)

    def mark_ended(self, job_id: str) -> None:
        """Record that a job has ended now."""
        if job_id in self.ended_s:
            return
        self.ended_s[job_id] = clock.elapsed_s()
        freed = backlog.footprint(self.workflows[job_id].job)
        self.freed_bytes += freed - backlog.ENDED_BYTES

    def bytes_by_account(self) -> dict[str, int]:
        """Return what the jobs of each account take."""
        taken: dict[str, int] = {}
        for job_id, flow in self.workflows.items():
            job = flow.job
            size = (
                backlog.ENDED_BYTES
                if job_id in self.ended_s
                else backlog.footprint(job)
            )
            taken[job.account] = taken.get(job.account, 0) + size
        return taken

    def add(
        self,
        attempt_id: str,
        flow: workflow.Workflow,
        part: workflow.Part,
        *,
        phase: str,
    ) -> attempt_module.Attempt:
        """Start tracking an attempt at the part's placements."""
        attempt = attempt_module.Attempt(
            attempt_id=attempt_id,
            part=part,
            job=flow.job,
            run=part.run,
            members={
                place.task_index: attempt_module.Member(
                    index=place.task_index,
                    task_id=part.task_id(flow.job.job_id, place.task_index),
                    executor_id=place.worker_id,
                    phase=phase,
                    is_inherited=phase == attempt_module.ORDERED,
                    percent=None if phase == attempt_module.ORDERED else 100,
                )
                for place in part.placements
            },
        )
        self.attempts[attempt_id] = attempt
        by_job = self._attempts_by_job.setdefault(flow.job.job_id, {})
        by_job[attempt_id] = None
        for member in attempt.members.values():
            runs = self._runs.setdefault(member.executor_id, {})
            runs[member.task_id, attempt.run] = (attempt, member.index)
        return attempt

    def remove(self, attempt: attempt_module.Attempt) -> None:
        """Stop tracking an attempt."""
        self.attempts.pop(attempt.attempt_id, None)
        by_job = self._attempts_by_job.get(attempt.job.job_id, {})
        by_job.pop(attempt.attempt_id, None)
        if not by_job:
            self._attempts_by_job.pop(attempt.job.job_id, None)
        for member in attempt.members.values():
            runs = self._runs.get(member.executor_id, {})
            runs.pop((member.task_id, attempt.run), None)
            if not runs:
                self._runs.pop(member.executor_id, None)

    def find_member(
        self, executor_id: str, task_id: str, run: int
    ) -> tuple[attempt_module.Attempt, attempt_module.Member] | None:
        """Return the attempt and the member that a run belongs to."""
        held = self._runs.get(executor_id, {}).get((task_id, run))
        if held is None:
            return None
        attempt, index = held
        return attempt, attempt.members[index]

    def members_on(
        self, executor_id: str
    ) -> abc.Iterator[tuple[attempt_module.Attempt, attempt_module.Member]]:
        """Yield the members placed on an executor."""
        runs = self._runs.get(executor_id, {})
        for attempt, index in list(runs.values()):
            yield attempt, attempt.members[index]

    def work_lost_by_stop(self, executor_id: str) -> float:
        """Return the accelerator-seconds lost by stopping an executor.

        Long-running tasks and tasks that save their progress count by
        their accelerators, whatever their age.
        """
        now_s = clock.elapsed_s()
        at_stake = 0.0
        for attempt, member in self.members_on(executor_id):
            step = attempt.job.steps[attempt.part.step]
            ran_s = now_s - member.since_s if member.since_s else 0.0
            kept = step.is_lasting or step.saves_progress
            at_stake += step.accelerators * (1.0 if kept else 1.0 + ran_s)
        return at_stake

    def is_busy(self, executor_id: str) -> bool:
        """Return whether any task may be running on an executor."""
        return executor_id in self._runs

    def attempt_count(self, job_id: str) -> int:
        """Return the number of a job's attempts that may still run."""
        return len(self._attempts_by_job.get(job_id, ()))

    def parts_with_attempts(self, job_id: str) -> set[str]:
        """Return the ids of a job's parts that have an attempt."""
        return {
            self.attempts[attempt_id].part.part_id
            for attempt_id in self._attempts_by_job.get(job_id, ())
        }

    def is_task_done(self, task_id: str) -> bool:
        """Return whether a task's part is done, as for the rest of a gang."""
        flow = self.workflows.get(workflow.job_id_of(task_id))
        if flow is None or flow.cancelled or flow.failed:
            return False
        if flow.completed:
            # Its record may lack the parts; all of them are done.
            return True
        part_id = workflow.part_id_of(flow.job, task_id)
        part = flow.parts.get(part_id or "")
        return part is not None and part.done

    def requested_accelerators(self, account: str) -> int:
        """Return the accelerators of an account's unended priority-0 jobs."""
        return sum(
            flow.job.accelerators
            for flow in self.workflows.values()
            if flow.job.account == account
            and flow.job.priority == 0
            and not flow.is_final
        )

    def pending(self) -> dict[str, int]:
        """Return how many jobs of each queue have not started."""
        counts: dict[str, int] = {}
        for flow in self.workflows.values():
            if not flow.has_started and not flow.is_final:
                route = flow.job.route
                counts[route] = counts.get(route, 0) + 1
        return counts

    def ended_in_full(self, after_s: float) -> list[workflow.Workflow]:
        """Return the jobs that ended over ``after_s`` ago and hold parts."""
        oldest_s = clock.elapsed_s() - after_s
        ended = (
            self.workflows[job_id]
            for job_id, at_s in self.ended_s.items()
            if at_s < oldest_s
        )
        return [
            flow for flow in ended if flow.job.steps and self._is_over(flow)
        ]

    def pop_expired(self, kept_s: float) -> list[workflow.Workflow]:
        """Remove and return the jobs that ended over ``kept_s`` ago."""
        oldest_s = clock.elapsed_s() - kept_s
        expired = [j for j, at_s in self.ended_s.items() if at_s < oldest_s]
        for job_id in expired:
            del self.ended_s[job_id]
            self.freed_bytes += backlog.ENDED_BYTES
        return [self.workflows.pop(job_id) for job_id in expired]
