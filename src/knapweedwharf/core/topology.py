"""Free capacity of a data centre, indexed by worker and rack.

Free capacity is what no attempt occupies; open capacity is the part of it
that no claim holds, on workers that may get new work.

A change updates one worker: its bucket and the sums of its rack. Workers
whose open capacity has grown are listed in ``freed``, so that the scheduler
only visits what may have changed.
"""

from __future__ import annotations

import bisect
import collections
from collections import abc
import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import speed_class

LOST = "lost"
LEAVING = "leaving"
QUARANTINE = "quarantine"
REFUSED = "refused"
STILL = "still"

SHORT_EXCLUSIONS = frozenset({REFUSED, STILL})
"""Reasons for short exclusions, which end by themselves within seconds."""

BucketKey = tuple[bool, int, int, int, int]
"""(has cells or reservations, class of speed, open accelerators, bit length
of the open cores, bit length of the open memory); a search takes the smallest
first, so the slowest workers, which bind a gang"""


@dataclasses.dataclass(slots=True)
class WorkerRoom:
    """Free capacity of one worker.

    :ivar accelerators: indexes of the free accelerators; not all of them
        can be used if occupants hold indexes beyond a smaller capacity.
    :ivar accelerators_left: number of accelerators that are free;
        negative, as are cores and memory, while a capacity that has
        shrunk is exceeded.
    :ivar cores: free cores.
    :ivar memory_mib: free memory.
    :ivar excess: what exceeded the capacity when it last changed, less
        what was released since.
    :ivar untracked: taken by runs that belong to no attempt.
    :ivar exclusions: reasons why no new work may be placed here.
    :ivar occupants: places by attempt id.
    :ivar held: held by claims whose victims are being stopped.
    :ivar reserved: used by reservations; other jobs may use it too.
    :ivar promised: accelerators of guarantee cells on this worker.
    :ivar open: free capacity without claims; nothing while excluded.
    :ivar key: bucket that lists the worker, or None.
    :ivar counted_whole: its capacity as included in the totals.
    :ivar counted_free: its free capacity as included in the totals.
    :ivar counted_open: its open accelerators as included in its rack.
    :ivar speed_class: class of its speed; see ``speed_class``.
    :ivar taken_below: cache of what work of lower rank takes, by rank.
    """

    spec: model.WorkerSpec
    accelerators: set[int]
    cores: int
    memory_mib: int
    accelerators_left: int = 0
    excess: amount.Amount = amount.NOTHING
    untracked: amount.Amount = amount.NOTHING
    exclusions: set[str] = dataclasses.field(default_factory=set)
    occupants: dict[str, list[model.Assignment]] = dataclasses.field(
        default_factory=dict
    )
    held: amount.Amount = amount.NOTHING
    reserved: amount.Amount = amount.NOTHING
    promised: int = 0
    open: amount.Amount = amount.NOTHING
    key: BucketKey | None = None
    counted_whole: amount.Amount = amount.NOTHING
    counted_free: amount.Amount = amount.NOTHING
    counted_open: int = 0
    speed_class: int = speed_class.USUAL
    taken_below: dict[int | None, amount.Amount] = dataclasses.field(
        default_factory=dict
    )

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        return not self.exclusions

    @property
    def free(self) -> amount.Amount:
        """What no attempt occupies."""
        left = amount.Amount(
            self.accelerators_left, self.cores, self.memory_mib
        )
        return left - self.untracked

    def recount(self) -> None:
        """Recompute the free capacity from the occupants."""
        self.taken_below.clear()
        self.accelerators = set(range(self.spec.accelerators))
        self.accelerators_left = self.spec.accelerators
        self.cores = self.spec.cores
        self.memory_mib = self.spec.memory_mib
        for places in self.occupants.values():
            for place in places:
                self.accelerators.difference_update(place.accelerators)
                self.accelerators_left -= len(place.accelerators)
                self.cores -= place.cores
                self.memory_mib -= place.memory_mib


@dataclasses.dataclass(slots=True)
class RackRoom:
    """A rack's workers and its open accelerators."""

    name: str
    workers: dict[str, WorkerRoom] = dataclasses.field(default_factory=dict)
    open_accelerators: int = 0


class Topology:
    """Workers, their free capacity and the attempts on them.

    :ivar complete: every listed worker has been sealed once.
    :ivar freed: workers whose open capacity grew since the last pass of
        the scheduler.
    :ivar speed_classes: number of workers by class of speed.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRoom] = {}
        self.racks: dict[str, RackRoom] = {}
        self.buckets: dict[BucketKey, dict[str, WorkerRoom]] = {}
        self.complete = False
        self.freed: dict[str, None] = {}
        self.open_accelerators = 0
        self.speed_classes: collections.Counter[int] = collections.Counter()
        self._whole = amount.NOTHING
        self._free = amount.NOTHING
        self._by_open: list[tuple[int, str]] = []
        self._occupied: dict[str, list[model.Assignment]] = {}
        self._taken_by: dict[str, dict[str, amount.Amount]] = {}
        self._orphans: dict[str, dict[str, list[model.Assignment]]] = {}
        self._untracked: dict[str, amount.Amount] = {}

    def add(self, spec: model.WorkerSpec) -> None:
        """Add a worker, or make a known one usable again."""
        known = self.workers.get(spec.worker_id)
        exclusions: set[str] = set()
        if known is not None:
            exclusions = known.exclusions - {LOST, LEAVING}
            self._forget(known)
        room = WorkerRoom(spec, set(), 0, 0, exclusions=exclusions)
        if known is not None:
            room.held, room.reserved = known.held, known.reserved
            room.promised = known.promised
            room.speed_class = known.speed_class
            room.occupants = known.occupants
        else:
            room.occupants = self._orphans.pop(spec.worker_id, {})
        room.untracked = self._untracked.get(spec.worker_id, amount.NOTHING)
        room.recount()
        room.excess = room.free.shortfall()
        self.workers[spec.worker_id] = room
        self.speed_classes[room.speed_class] += 1
        rack = self.racks.setdefault(spec.rack, RackRoom(spec.rack))
        rack.workers[spec.worker_id] = room
        if len(rack.workers) == 1:
            bisect.insort(self._by_open, (0, rack.name))
        self.refresh(room)

    def set_untracked(self, worker_id: str, taken: amount.Amount) -> None:
        """Count what runs that belong to no attempt take of a worker."""
        self._untracked[worker_id] = taken
        room = self.workers.get(worker_id)
        if room is not None:
            room.untracked = taken
            room.excess = room.free.shortfall()
            self.refresh(room)

    def remove(self, worker_id: str) -> None:
        """Remove a worker that is gone."""
        self._untracked.pop(worker_id, None)
        room = self.workers.pop(worker_id, None)
        if room is None:
            return
        self._forget(room)
        if room.occupants:
            self._orphans[worker_id] = room.occupants

    def exclude(self, worker_id: str, why: str) -> None:
        """Exclude a worker from new work, for one reason."""
        room = self.workers.get(worker_id)
        if room is not None and why not in room.exclusions:
            room.exclusions.add(why)
            self.refresh(room)

    def lift_exclusion(self, worker_id: str, why: str) -> None:
        """Remove one reason for the exclusion of a worker."""
        room = self.workers.get(worker_id)
        if room is not None and why in room.exclusions:
            room.exclusions.discard(why)
            self.refresh(room)

    def occupy(
        self, attempt_id: str, assignments: abc.Iterable[model.Assignment]
    ) -> None:
        """Occupy the places of an attempt."""
        places = list(assignments)
        self._occupied[attempt_id] = places
        self._taken_by.pop(attempt_id, None)
        touched: dict[str, WorkerRoom] = {}
        for place in places:
            occupants = self._occupants(place.worker_id)
            occupants.setdefault(attempt_id, []).append(place)
            room = self.workers.get(place.worker_id)
            if room is not None:
                touched[place.worker_id] = room
        for room in touched.values():
            room.recount()
            self.refresh(room)

    def release(self, attempt_id: str) -> None:
        """Release the places of an attempt."""
        places = self._occupied.pop(attempt_id, [])
        self._taken_by.pop(attempt_id, None)
        for worker_id in dict.fromkeys(place.worker_id for place in places):
            self._occupants(worker_id).pop(attempt_id, None)
            self._update_released(worker_id)

    def release_task(self, attempt_id: str, task_index: int) -> None:
        """Release the place of a task that has ended."""
        places = self._occupied.get(attempt_id, [])
        self._taken_by.pop(attempt_id, None)
        for place in [p for p in places if p.task_index == task_index]:
            places.remove(place)
            self._occupants(place.worker_id)[attempt_id].remove(place)
            self._update_released(place.worker_id)

    def attempts_on(self, worker_id: str) -> list[str]:
        """Return the attempts that occupy a worker."""
        room = self.workers.get(worker_id)
        if room is not None:
            return list(room.occupants)
        return list(self._orphans.get(worker_id, ()))

    def used_on(self, worker_id: str) -> amount.Amount:
        """Return what attempts take on a worker."""
        taken = (
            self.taken_by(attempt_id).get(worker_id, amount.NOTHING)
            for attempt_id in self.attempts_on(worker_id)
        )
        return sum(taken, amount.NOTHING)

    def places_of(self, attempt_id: str) -> list[model.Assignment]:
        """Return the places that an attempt occupies now."""
        return self._occupied.get(attempt_id, [])

    def taken_by(self, attempt_id: str) -> dict[str, amount.Amount]:
        """Return the capacity that an attempt takes now, by worker."""
        taken = self._taken_by.get(attempt_id)
        if taken is None:
            taken = amount.by_worker(self.places_of(attempt_id))
            self._taken_by[attempt_id] = taken
        return taken

    def free_accelerators(self) -> int:
        """Count free accelerators on usable workers."""
        return self._free.accelerators

    @property
    def is_uneven(self) -> bool:
        """Whether some worker isn't of the usual speed."""
        return self.speed_classes[speed_class.USUAL] < len(self.workers)

    @property
    def sums(self) -> tuple[amount.Amount, amount.Amount]:
        """Capacity of the usable workers, and what is free of it."""
        return self._whole, self._free

    def is_half_free(self, accelerator_cores: float) -> bool:
        """Tell whether at least half of the usable capacity is free.

        More than half of the accelerators suffices too, as cores alone
        may be short.

        :param accelerator_cores: cores that an accelerator counts as.
        """
        whole, free = self._whole, self._free
        weighed = accelerator_cores * whole.accelerators + whole.cores
        open_weighed = accelerator_cores * free.accelerators + free.cores
        return (
            2 * open_weighed >= weighed
            or 2 * free.accelerators > whole.accelerators
        )

    def racks_with(self, accelerators: int) -> abc.Iterator[RackRoom]:
        """Yield racks with enough open accelerators, the best fit first."""
        start = bisect.bisect_left(self._by_open, (accelerators, ""))
        for _open, name in self._by_open[start:]:
            yield self.racks[name]

    def hold(self, worker_id: str, change: amount.Amount) -> None:
        """Change the amount that claims hold on a worker."""
        room = self.workers.get(worker_id)
        if room is not None:
            room.held = room.held + change
            self.refresh(room)

    def reserve(self, worker_id: str, change: amount.Amount) -> None:
        """Change the amount that reservations use on a worker."""
        room = self.workers.get(worker_id)
        if room is not None:
            room.reserved = room.reserved + change
            self.refresh(room)

    def set_speed_class(self, worker_id: str, found: int) -> None:
        """Put a worker into a class of speed."""
        room = self.workers.get(worker_id)
        if room is not None:
            self.speed_classes[room.speed_class] -= 1
            self.speed_classes[found] += 1
            room.speed_class = found
            self.refresh(room)

    def promise(self, worker_id: str, accelerators: int) -> None:
        """Change the number of accelerators of cells on a worker."""
        room = self.workers.get(worker_id)
        if room is not None:
            room.promised += accelerators
            self.refresh(room)

    def refresh(self, room: WorkerRoom) -> None:
        """Update the index for one worker."""
        before = room.open
        room.open = amount.NOTHING
        if room.usable:
            room.open = room.free - room.held
        grown = room.open - before
        if max(grown.accelerators, grown.cores, grown.memory_mib) > 0:
            self.freed[room.spec.worker_id] = None
        self._count(
            room,
            amount.of_worker(room.spec) if room.usable else amount.NOTHING,
            room.free if room.usable else amount.NOTHING,
        )
        self._count_open(room, max(room.open.accelerators, 0))
        self._enter_bucket(room, _key_of(room))

    def _count(
        self,
        room: WorkerRoom,
        whole: amount.Amount,
        free: amount.Amount,
    ) -> None:
        """Update the totals over usable workers for one worker."""
        self._whole = self._whole + (whole - room.counted_whole)
        self._free = self._free + (free - room.counted_free)
        room.counted_whole, room.counted_free = whole, free

    def _count_open(self, room: WorkerRoom, accelerators: int) -> None:
        change = accelerators - room.counted_open
        if not change:
            return
        room.counted_open = accelerators
        self.open_accelerators += change
        rack = self.racks[room.spec.rack]
        entry = (rack.open_accelerators, rack.name)
        del self._by_open[bisect.bisect_left(self._by_open, entry)]
        rack.open_accelerators += change
        bisect.insort(self._by_open, (rack.open_accelerators, rack.name))

    def _enter_bucket(self, room: WorkerRoom, key: BucketKey | None) -> None:
        if key == room.key:
            return
        if room.key is not None:
            bucket = self.buckets[room.key]
            del bucket[room.spec.worker_id]
            if not bucket:
                del self.buckets[room.key]
        room.key = key
        if key is not None:
            self.buckets.setdefault(key, {})[room.spec.worker_id] = room

    def _forget(self, room: WorkerRoom) -> None:
        self._count_open(room, 0)
        self._count(room, amount.NOTHING, amount.NOTHING)
        self._enter_bucket(room, None)
        self.speed_classes[room.speed_class] -= 1
        rack = self.racks[room.spec.rack]
        del rack.workers[room.spec.worker_id]
        if not rack.workers:
            self._by_open.remove((0, rack.name))
            del self.racks[rack.name]

    def _occupants(self, worker_id: str) -> dict[str, list]:
        room = self.workers.get(worker_id)
        if room is not None:
            return room.occupants
        return self._orphans.setdefault(worker_id, {})

    def _update_released(self, worker_id: str) -> None:
        places = self._occupants(worker_id)
        for attempt_id in [a for a, held in places.items() if not held]:
            del places[attempt_id]
        room = self.workers.get(worker_id)
        if room is not None:
            room.recount()
            room.excess = room.excess.least(room.free.shortfall())
            self.refresh(room)
        elif not places:
            del self._orphans[worker_id]


def _key_of(room: WorkerRoom) -> BucketKey | None:
    if not room.usable:
        return None
    if min(room.open.cores, room.open.memory_mib) < 0:
        return None
    return (
        room.promised > 0 or room.reserved != amount.NOTHING,
        room.speed_class,
        max(room.open.accelerators, 0),
        room.open.cores.bit_length(),
        room.open.memory_mib.bit_length(),
    )
