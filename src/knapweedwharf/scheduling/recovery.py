"""What a new owner makes of the attempts its workers report.

Records say what the former owner wrote down; workers say what runs.
Pure decisions: the tenure carries the steps out.
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

_ALIVE = (worker_module.PROVISIONAL, worker_module.RUNNING)


@dataclasses.dataclass(frozen=True)
class FinishStart:
    """Every member was started: confirm them."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class RollBack:
    """A member is missing: stop the others."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class StopAgain:
    """The former owner was stopping the attempt."""

    record: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class Adopt:
    """A gang that runs whole and that no page knows."""

    found: engine_module.JobRecord


@dataclasses.dataclass(frozen=True)
class StopStray:
    """An attempt that belongs to no record."""

    attempt_id: str
    worker_ids: tuple[str, ...]


Step = typing.Union[FinishStart, RollBack, StopAgain, Adopt, StopStray]

Ready = typing.Callable[[abc.Iterable[str]], bool]
"""Tells whether all these workers have been sealed or have lapsed."""


class Recovery:
    """Gathers seals and decides once the workers concerned are known."""

    def __init__(self, records: abc.Iterable[engine_module.JobRecord]) -> None:
        self._unfinished = {
            record.attempt_id: record
            for record in records
            if record.state in ("starting", "stopping")
        }
        self._members: dict[str, dict[str, worker_module.HeldTask]] = {}
        self._strays: dict[str, None] = {}
        self._stopping: set[str] = set()

    def saw(self, worker_id: str, held: worker_module.HeldTask) -> None:
        """Note an attempt that a seal has reported."""
        members = self._members.setdefault(held.attempt_id, {})
        members[worker_id] = held

    def stray(self, attempt_id: str) -> None:
        """Note an attempt that no record names."""
        if attempt_id not in self._stopping:
            self._strays[attempt_id] = None

    def stopping(self, attempt_id: str) -> None:
        """Note that a stray is being stopped."""
        self._stopping.add(attempt_id)

    def stray_stopped(self, attempt_id: str) -> None:
        """Note that a stray takes no room any more."""
        self._stopping.discard(attempt_id)

    def holds_back(self, worker_id: str) -> bool:
        """Tell whether a stray takes room on a worker."""
        return any(
            worker_id in self._members[attempt_id]
            for attempt_id in (*self._strays, *self._stopping)
        )

    def decide(
        self, ready: Ready, *, overdue: bool, inbox_read: bool
    ) -> list[Step]:
        """Return steps for attempts whose workers are all known.

        :param overdue: provisional leases have lapsed meanwhile, so
            that unfinished starts are rolled back in any case.
        :param inbox_read: a stray's job may stand in the inbox still.
        """
        steps: list[Step] = []
        for attempt_id, record in list(self._unfinished.items()):
            if overdue or ready(_workers_of(record)):
                del self._unfinished[attempt_id]
                steps.append(self._unfinished_step(record))
        for attempt_id in list(self._strays) if inbox_read else ():
            step = self._stray_step(attempt_id, ready)
            if step is not None:
                del self._strays[attempt_id]
                if isinstance(step, StopStray):
                    self.stopping(attempt_id)
                steps.append(step)
        return steps

    def forget(self) -> None:
        """Drop what seals have told once nothing is undecided."""
        if not (self._unfinished or self._strays or self._stopping):
            self._members.clear()

    def outcomes(
        self, record: engine_module.JobRecord
    ) -> list[event.TaskEnded]:
        """Return the ends of tasks that seals told of an attempt."""
        members = self._members.get(record.attempt_id, {})
        return [
            ended
            for worker_id, held in sorted(members.items())
            for ended in learned(record, worker_id, held)
        ]

    def _unfinished_step(self, record: engine_module.JobRecord) -> Step:
        if record.state == "stopping":
            return StopAgain(record)
        whole = self._whole(record, record.attempt_id, _ALIVE)
        return FinishStart(record) if whole else RollBack(record)

    def _stray_step(self, attempt_id: str, ready: Ready) -> Step | None:
        members = self._members[attempt_id]
        held = next(iter(members.values()))
        found = record_module.parse_descriptor(held.descriptor)
        stop = StopStray(attempt_id, tuple(sorted(members)))
        if found is None or found.attempt_id != attempt_id:
            return stop
        if not ready(_workers_of(found)):
            return None
        running = (worker_module.RUNNING,)
        return (
            Adopt(found) if self._whole(found, attempt_id, running) else stop
        )

    def _whole(
        self,
        record: engine_module.JobRecord,
        attempt_id: str,
        states: tuple[str, ...],
    ) -> bool:
        members = self._members.get(attempt_id, {})
        return all(
            worker_id in members
            and (
                members[worker_id].state in states
                or _succeeded(members[worker_id])
            )
            for worker_id in _workers_of(record)
        )


def learned(
    record: engine_module.JobRecord,
    worker_id: str,
    held: worker_module.HeldTask | None,
) -> list[event.TaskEnded]:
    """Return what a seal tells of a running record's tasks."""
    indexes = {
        place.task_index
        for place in record.assignments
        if place.worker_id == worker_id
    } - record.ended_tasks
    if held is None:
        gone = [worker_module.TaskOutcome(i, "lost") for i in sorted(indexes)]
    else:
        gone = [one for one in held.outcomes if one.task_index in indexes]
    return [
        translation.task_ended(record.attempt_id, worker_id, outcome)
        for outcome in gone
    ]


def _workers_of(record: engine_module.JobRecord) -> set[str]:
    return {place.worker_id for place in record.assignments}


def _succeeded(held: worker_module.HeldTask) -> bool:
    return held.state == worker_module.ENDED and all(
        outcome.kind == worker_module.TASK_ENDED for outcome in held.outcomes
    )
