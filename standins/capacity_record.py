"""Records starts against the capacity that executors had."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.core import workflow


@dataclasses.dataclass(frozen=True)
class Start:
    """A start on an executor that doesn't enforce its capacity.

    :ivar used: what the executor's runs take, with this one.
    """

    at_s: float
    executor_id: str
    task_id: str
    used: amount.Amount


class CapacityRecord:
    """Knows the sizes of tasks, and checks starts against capacities.

    :ivar starts: in the order of time.
    """

    def __init__(self) -> None:
        self.starts: list[Start] = []
        self._steps: dict[str, abc.Sequence[workflow.Step]] = {}
        self._capacities: dict[str, list[tuple[float, amount.Amount]]] = {}

    def add_job(self, job_id: str, steps: abc.Sequence[workflow.Step]) -> None:
        """Note the sizes of a job's tasks."""
        self._steps[job_id] = steps

    def set_capacity(
        self, executor_id: str, capacity: amount.Amount, at_s: float
    ) -> None:
        """Note what an executor's capacity is from now on."""
        self._capacities.setdefault(executor_id, []).append((at_s, capacity))

    def used(self, task_ids: abc.Iterable[str]) -> amount.Amount:
        """Return what tasks take together; unknown ones take nothing."""
        used = amount.NOTHING
        for task_id in task_ids:
            job_id, _occurrence, number, _index = task_id.split(".")
            steps = self._steps.get(job_id)
            if steps is not None:
                used = used + _size_of(steps[int(number)])
        return used

    def peak(self, executor_id: str) -> amount.Amount:
        """Return the most that a start has brought an executor to."""
        found = [s.used for s in self.starts if s.executor_id == executor_id]
        return amount.Amount(
            max((used.accelerators for used in found), default=0),
            max((used.cores for used in found), default=0),
            max((used.memory_mib for used in found), default=0),
        )

    def overruns(self, grace_s: float) -> list[Start]:
        """Return the starts that brought an executor over its capacity.

        :param grace_s: for how long a larger capacity of before counts.
        """
        return [s for s in self.starts if not self._allowed(s, grace_s)]

    def _allowed(self, start: Start, grace_s: float) -> bool:
        changes = [
            (at_s, capacity)
            for at_s, capacity in self._capacities[start.executor_id]
            if at_s <= start.at_s
        ]
        oldest_s = start.at_s - grace_s
        ends_s = [at_s for at_s, _capacity in changes[1:]] + [start.at_s]
        return any(
            capacity.covers(start.used)
            for (_at_s, capacity), until_s in zip(changes, ends_s)
            if until_s >= oldest_s
        )


def _size_of(step: workflow.Step) -> amount.Amount:
    return amount.Amount(
        step.accelerators,
        0 if step.fills_spare else step.cores_milli,
        step.memory_mib,
    )
