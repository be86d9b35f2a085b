"""Reconciles job records with the attempts that workers report.

Records hold what the former owner wrote to the store; the answers to
seals hold what runs on each worker. An attempt that a worker reports but
no record names is a stray. This module only decides on steps; the tenure
carries them out.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import typing

from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.scheduling import record as record_module
from knapweedwharf.scheduling import translation

_STARTED_STATES = (worker_module.PROVISIONAL, worker_module.RUNNING)


@dataclasses.dataclass(frozen=True)
class FinishStart:
    """Confirm an attempt: every member has been started."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class RollBack:
    """Stop an attempt with a member that has not been started."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class StopAgain:
    """Repeat a stop that the former owner did not complete."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class Adopt:
    """Take over a stray: every member runs or has succeeded.

    :ivar descriptor_record: the record in the workers' descriptor.
    """

    descriptor_record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class StopStray:
    """Stop a stray that cannot be adopted."""

    attempt_id: str
    worker_ids: tuple[str, ...]


Step = typing.Union[FinishStart, RollBack, StopAgain, Adopt, StopStray]

WorkersSettled = typing.Callable[[abc.Iterable[str]], bool]
"""Returns whether each of these workers has settled."""


class Recovery:
    """Collects seal answers and decides once an attempt's workers settled.

    A worker has settled once it is sealed or has lapsed.
    """

    def __init__(self, records: abc.Iterable[engine_module.JobRecord]) -> None:
        self._unfinished = {
            record.attempt_id: record
            for record in records
            if record.state in ("starting", "stopping")
        }
        self._reported: dict[str, dict[str, worker_module.AttemptState]] = {}
        self._strays: dict[str, None] = {}
        self._stopping: set[str] = set()

    def add_reported(
        self, worker_id: str, held: worker_module.AttemptState
    ) -> None:
        """Add an attempt from the answer to a seal."""
        members = self._reported.setdefault(held.attempt_id, {})
        members[worker_id] = held

    def add_stray(self, attempt_id: str) -> None:
        """Add a stray: a reported attempt that no record names."""
        if attempt_id not in self._stopping:
            self._strays[attempt_id] = None

    def mark_stopping(self, attempt_id: str) -> None:
        """Mark a stray as being stopped."""
        self._stopping.add(attempt_id)

    def stray_stopped(self, attempt_id: str) -> None:
        """Mark a stray as stopped; it blocks its workers no more."""
        self._stopping.discard(attempt_id)

    def blocks_worker(self, worker_id: str) -> bool:
        """Return whether a stray occupies resources of a worker."""
        return any(
            worker_id in self._reported[attempt_id]
            for attempt_id in (*self._strays, *self._stopping)
        )

    def decide(
        self, settled: WorkersSettled, *, leases_lapsed: bool, inbox_read: bool
    ) -> list[Step]:
        """Return the steps for attempts whose workers have all settled.

        :param leases_lapsed: whether the provisional leases of the former
            owner have lapsed; unfinished attempts are then decided even if
            their workers have not settled.
        :param inbox_read: whether the inbox has been read; before that, a
            stray's job may still be in the inbox, without a record.
        """
        steps: list[Step] = []
        for attempt_id, record in list(self._unfinished.items()):
            if leases_lapsed or settled(_workers_of(record)):
                del self._unfinished[attempt_id]
                steps.append(self._unfinished_step(record))
        for attempt_id in list(self._strays) if inbox_read else ():
            step = self._stray_step(attempt_id, settled)
            if step is not None:
                del self._strays[attempt_id]
                if isinstance(step, StopStray):
                    self.mark_stopping(attempt_id)
                steps.append(step)
        return steps

    def drop_reports(self) -> None:
        """Drop the reported attempts once none is left to decide or stop."""
        if not (self._unfinished or self._strays or self._stopping):
            self._reported.clear()

    def reported_ends(
        self, record: engine_module.JobRecord
    ) -> list[event.TaskEnded]:
        """Return the ended tasks of an attempt that seal answers report."""
        members = self._reported.get(record.attempt_id, {})
        return [
            ended
            for worker_id, held in sorted(members.items())
            for ended in reported_task_ends(record, worker_id, held)
        ]

    def _unfinished_step(self, record: engine_module.JobRecord) -> Step:
        if record.state == "stopping":
            return StopAgain(record)
        whole = self._is_complete(record, record.attempt_id, _STARTED_STATES)
        return FinishStart(record) if whole else RollBack(record)

    def _stray_step(
        self, attempt_id: str, settled: WorkersSettled
    ) -> Step | None:
        members = self._reported[attempt_id]
        held = next(iter(members.values()))
        found = record_module.parse_descriptor(held.descriptor)
        stop = StopStray(attempt_id, tuple(sorted(members)))
        if found is None or found.attempt_id != attempt_id:
            return stop
        if not settled(_workers_of(found)):
            return None
        running = (worker_module.RUNNING,)
        return (
            Adopt(found)
            if self._is_complete(found, attempt_id, running)
            else stop
        )

    def _is_complete(
        self,
        record: engine_module.JobRecord,
        attempt_id: str,
        states: tuple[str, ...],
    ) -> bool:
        members = self._reported.get(attempt_id, {})
        return all(
            worker_id in members
            and (
                members[worker_id].state in states
                or _succeeded(members[worker_id])
            )
            for worker_id in _workers_of(record)
        )


def reported_task_ends(
    record: engine_module.JobRecord,
    worker_id: str,
    held: worker_module.AttemptState | None,
) -> list[event.TaskEnded]:
    """Return the ended tasks of a record, from one worker's seal answer.

    :param held: the attempt on the worker; None if the worker does not
        have it, so that its tasks count as lost.
    """
    indexes = {
        assignment.task_index
        for assignment in record.assignments
        if assignment.worker_id == worker_id
    } - record.ended_tasks
    if held is None:
        outcomes = [
            worker_module.TaskOutcome(i, "lost") for i in sorted(indexes)
        ]
    else:
        outcomes = [one for one in held.outcomes if one.task_index in indexes]
    return [
        translation.task_ended(record.attempt_id, worker_id, outcome)
        for outcome in outcomes
    ]


def _workers_of(record: engine_module.JobRecord) -> set[str]:
    return {assignment.worker_id for assignment in record.assignments}


def _succeeded(held: worker_module.AttemptState) -> bool:
    return held.state == worker_module.ENDED and all(
        outcome.kind == worker_module.TASK_ENDED for outcome in held.outcomes
    )
