"""Free room of a data centre by worker and rack."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import model


@dataclasses.dataclass
class WorkerRoom:
    """What is free on one worker."""

    spec: model.WorkerSpec
    accelerators: set[int]
    cores: int
    memory_mib: int
    usable: bool = True


class Topology:
    """Workers, their free room and who occupies it.

    :ivar complete: every listed worker has been sealed once.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRoom] = {}
        self.complete = False
        self._occupied: dict[str, tuple[model.Assignment, ...]] = {}

    def add(self, spec: model.WorkerSpec) -> None:
        """Add a worker, or make a known one usable again."""
        self.workers[spec.worker_id] = WorkerRoom(
            spec=spec,
            accelerators=set(range(spec.accelerators)),
            cores=spec.cores,
            memory_mib=spec.memory_mib,
        )
        for assignments in self._occupied.values():
            for place in assignments:
                if place.worker_id == spec.worker_id:
                    self._take(place)

    def remove(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self.workers.pop(worker_id, None)

    def set_usable(self, worker_id: str, *, usable: bool) -> None:
        """Allow or bar new work on a worker."""
        if worker_id in self.workers:
            self.workers[worker_id].usable = usable

    def occupy(
        self, attempt_id: str, assignments: abc.Iterable[model.Assignment]
    ) -> None:
        """Take an attempt's places."""
        places = tuple(assignments)
        self._occupied[attempt_id] = places
        for place in places:
            self._take(place)

    def release(self, attempt_id: str) -> None:
        """Give an attempt's places back."""
        for place in self._occupied.pop(attempt_id, ()):
            room = self.workers.get(place.worker_id)
            if room is None:
                continue
            room.accelerators.update(place.accelerators)
            room.cores += place.cores
            room.memory_mib += place.memory_mib

    def attempts_on(self, worker_id: str) -> list[str]:
        """Return the attempts that occupy a worker."""
        return [
            attempt_id
            for attempt_id, places in self._occupied.items()
            if any(place.worker_id == worker_id for place in places)
        ]

    def free_accelerators(self) -> int:
        """Count free accelerators on usable workers."""
        return sum(
            len(room.accelerators)
            for room in self.workers.values()
            if room.usable
        )

    def _take(self, place: model.Assignment) -> None:
        room = self.workers.get(place.worker_id)
        if room is None:
            return
        room.accelerators.difference_update(place.accelerators)
        room.cores -= place.cores
        room.memory_mib -= place.memory_mib
