"""Arithmetic on amounts of accelerators, cores and memory."""

from __future__ import annotations

from collections import abc
import dataclasses
import sys

from knapweedwharf.core import model


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """An immutable amount of accelerators, cores and memory."""

    accelerators: int = 0
    cores: int = 0
    memory_mib: int = 0

    def __add__(self, other: Amount) -> Amount:
        return Amount(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_mib + other.memory_mib,
        )

    def __sub__(self, other: Amount) -> Amount:
        return Amount(
            self.accelerators - other.accelerators,
            self.cores - other.cores,
            self.memory_mib - other.memory_mib,
        )

    def times(self, count: int) -> Amount:
        """Return ``count`` times this amount."""
        return Amount(
            self.accelerators * count,
            self.cores * count,
            self.memory_mib * count,
        )

    def covers(self, need: Amount) -> bool:
        """Tell whether ``need`` fits into this amount."""
        return (
            self.accelerators >= need.accelerators
            and self.cores >= need.cores
            and self.memory_mib >= need.memory_mib
        )

    def shortfall(self) -> Amount:
        """Return what is missing where this amount is negative."""
        return Amount(
            max(-self.accelerators, 0),
            max(-self.cores, 0),
            max(-self.memory_mib, 0),
        )

    def least(self, other: Amount) -> Amount:
        """Return the smaller of each of the two amounts' parts."""
        return Amount(
            min(self.accelerators, other.accelerators),
            min(self.cores, other.cores),
            min(self.memory_mib, other.memory_mib),
        )

    def holds(self, need: Amount) -> int:
        """Return how often ``need`` fits into this amount."""
        if not self.covers(NOTHING):
            return 0
        count = sys.maxsize
        if need.accelerators:
            count = self.accelerators // need.accelerators
        if need.cores:
            count = min(count, self.cores // need.cores)
        if need.memory_mib:
            count = min(count, self.memory_mib // need.memory_mib)
        return count


NOTHING = Amount()


def of_worker(spec: model.WorkerSpec) -> Amount:
    """Return a worker's whole capacity."""
    return Amount(spec.accelerators, spec.cores, spec.memory_mib)


def of_task(job: model.JobSpec) -> Amount:
    """Return what one task of a job requests."""
    return Amount(
        job.accelerators_per_task, job.cores_per_task, job.memory_mib_per_task
    )


def of_place(place: model.Assignment) -> Amount:
    """Return the amount that an assignment takes on its worker."""
    return Amount(len(place.accelerators), place.cores, place.memory_mib)


def of_part(guarantee: model.GuaranteeSpec, accelerators: int) -> Amount:
    """Return the amount of a cell's part with so many accelerators."""
    return Amount(
        accelerators,
        accelerators * guarantee.cores_per_accelerator,
        accelerators * guarantee.memory_mib_per_accelerator,
    )


def by_worker(
    places: abc.Iterable[model.Assignment],
) -> dict[str, Amount]:
    """Return the capacity that places take, by worker."""
    taken: dict[str, Amount] = {}
    for place in places:
        before = taken.get(place.worker_id, NOTHING)
        taken[place.worker_id] = before + of_place(place)
    return taken
