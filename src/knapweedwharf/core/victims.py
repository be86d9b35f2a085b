"""Choice of the attempts to preempt so that a gang fits.

A greedy search keeps the lost work and the number of victims low: it
determines for each worker the cheapest set of victims that makes room
for one more task, and takes the cheapest of these sets until the whole
gang fits. Victims that later choices made unnecessary are dropped.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import heapq

from knapweedwharf.core import amount
from knapweedwharf.core import model


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """An attempt that may be preempted.

    :ivar lost_s: accelerator-seconds of work it is expected to lose.
    :ivar disturbance_s: fixed cost of a stop.
    :ivar frees: capacity that its stop frees, by worker.
    """

    attempt_id: str
    lost_s: float
    disturbance_s: float
    frees: dict[str, amount.Amount]

    @property
    def cost(self) -> float:
        """Lost work plus the fixed cost of a stop."""
        return self.lost_s + self.disturbance_s


@dataclasses.dataclass(slots=True)
class Choice:
    """Victims and the tasks that then fit on each worker."""

    victims: list[Victim]
    tasks: dict[str, int]

    @property
    def cost(self) -> tuple[float, int]:
        """Total cost, then the number of victims."""
        return (sum(v.cost for v in self.victims), len(self.victims))


class Search:
    """One search over a group of workers.

    :param rooms: free capacity by worker.
    :param victims: attempts that may be preempted, by worker.
    :param limits: most tasks by worker; None sets no limits.
    """

    def __init__(
        self,
        *,
        job: model.JobSpec,
        rooms: dict[str, amount.Amount],
        victims: dict[str, list[Victim]],
        limits: dict[str, int] | None = None,
    ) -> None:
        self._tasks = job.tasks
        self._need = amount.of_task(job)
        self._rooms = dict(rooms)
        self._victims = victims
        self._limits = limits
        self._chosen: dict[str, Victim] = {}
        self._steps: dict[str, tuple[float, int, list[Victim]]] = {}

    def run(self) -> Choice | None:
        """Return the choice, or None if the gang cannot fit."""
        counts = {w: self._count(w) for w in self._rooms}
        total = sum(counts.values())
        heap = [(*self._cheapest_step(w)[:2], w) for w in self._rooms]
        heapq.heapify(heap)
        while total < self._tasks and heap:
            cost, size, worker_id = heapq.heappop(heap)
            if not size:
                continue
            step = self._cheapest_step(worker_id)
            if step[:2] != (cost, size):
                heapq.heappush(heap, (*step[:2], worker_id))
                continue
            for touched in self._apply(step[2]):
                total += self._count(touched) - counts[touched]
                counts[touched] = self._count(touched)
                heapq.heappush(
                    heap, (*self._cheapest_step(touched)[:2], touched)
                )
        if total < self._tasks:
            return None
        return self._prune()

    def _count(self, worker_id: str) -> int:
        count = min(self._rooms[worker_id].holds(self._need), self._tasks)
        if self._limits is not None:
            count = min(count, self._limits.get(worker_id, 0))
        return count

    def _cheapest_step(
        self, worker_id: str
    ) -> tuple[float, int, list[Victim]]:
        """Return the cheapest victims for one more task on a worker.

        The result is (cost, number of victims, victims). It holds until
        the worker's room changes.
        """
        step = self._steps.get(worker_id)
        if step is None:
            step = self._find_cheapest_step(worker_id)
            self._steps[worker_id] = step
        return step

    def _find_cheapest_step(
        self, worker_id: str
    ) -> tuple[float, int, list[Victim]]:
        count = self._count(worker_id)
        limit = self._tasks
        if self._limits is not None:
            limit = min(limit, self._limits.get(worker_id, 0))
        if count >= limit:
            return (0.0, 0, [])
        goal = self._need.times(count + 1)
        room = self._rooms[worker_id]
        taken: list[Victim] = []
        for victim in sorted(
            self._victims.get(worker_id, ()),
            key=lambda v: (v.cost, v.attempt_id),
        ):
            if room.covers(goal):
                break
            if victim.attempt_id not in self._chosen:
                taken.append(victim)
                room = room + victim.frees[worker_id]
        if not room.covers(goal):
            return (0.0, 0, [])
        for victim in sorted(taken, key=lambda v: -v.cost):
            without = room - victim.frees[worker_id]
            if without.covers(goal):
                room = without
                taken.remove(victim)
        return (sum(v.cost for v in taken), len(taken), taken)

    def _apply(self, victims: list[Victim]) -> abc.Iterable[str]:
        touched: dict[str, None] = {}
        for victim in victims:
            self._chosen[victim.attempt_id] = victim
            for worker_id, freed in victim.frees.items():
                if worker_id in self._rooms:
                    self._rooms[worker_id] = self._rooms[worker_id] + freed
                    self._steps.pop(worker_id, None)
                    touched[worker_id] = None
        return touched

    def _prune(self) -> Choice:
        counts = {w: self._count(w) for w in self._rooms}
        total = sum(counts.values())
        for victim in sorted(self._chosen.values(), key=lambda v: -v.cost):
            touched = [w for w in victim.frees if w in self._rooms]
            before = sum(counts[w] for w in touched)
            for worker_id in touched:
                freed = victim.frees[worker_id]
                self._rooms[worker_id] = self._rooms[worker_id] - freed
                counts[worker_id] = self._count(worker_id)
            after = sum(counts[w] for w in touched)
            if total - before + after >= self._tasks:
                total += after - before
                del self._chosen[victim.attempt_id]
                continue
            self._apply([victim])
            for worker_id in touched:
                counts[worker_id] = self._count(worker_id)
        left = self._tasks
        tasks: dict[str, int] = {}
        freed = {w for v in self._chosen.values() for w in v.frees}
        for worker_id in sorted(self._rooms, key=lambda w: w not in freed):
            count = min(left, self._count(worker_id))
            if count:
                tasks[worker_id] = count
                left -= count
        return Choice(victims=list(self._chosen.values()), tasks=tasks)
