"""Placement of gangs within a topology level.

Policies are registered by name. ``guaranteed``, ``short-runs`` and
``best-fit`` use best fit; ``first-fit`` takes workers in their order.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import itertools
import typing

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import speed_class
from knapweedwharf.core import topology as topology_module
from knapweedwharf import registry

Share = list[tuple[topology_module.WorkerRoom, int]]
"""Workers with the number of a gang's tasks on each."""

RACKS_TRIED = 8

Search = typing.Callable[
    [
        topology_module.Topology,
        model.JobSpec,
        abc.Container[str],
        speed_class.Order,
    ],
    "Share | None",
]
"""Maps (topology, job, workers to avoid, order by speed) to a share, or
None."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """A scheduling policy.

    :ivar search: finds free workers for a gang.
    :ivar preempts: preempts borrowers for guarantees and urgent work.
    :ivar reserves: gives reservations to gangs that wait long.
    :ivar holds: backfills reserved capacity only with work that is
        expected to end in time. Without it any work is backfilled and
        preempted later, which pays off if a restart is cheap compared
        with a run.
    """

    search: Search
    preempts: bool
    reserves: bool
    holds: bool


POLICIES: registry.Registry[Search] = registry.Registry(
    subject="placement search"
)


def policy(name: str) -> Policy:
    """Return a policy by name; baselines neither preempt nor reserve."""
    is_production = name in ("guaranteed", "short-runs")
    return Policy(
        search=POLICIES.get(name),
        preempts=is_production,
        reserves=is_production,
        holds=name == "short-runs",
    )


@POLICIES.register("short-runs")
@POLICIES.register("guaranteed")
def best_fit_sparing_cores(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str] = (),
    speeds: speed_class.Order = speed_class.SLOW_FIRST,
) -> Share | None:
    """Best fit, with cores set aside for free accelerators.

    Tasks without accelerators use those cores only if nothing else is
    free.
    """
    if not job.accelerators_per_task:
        share = _search(topology, job, avoid, speeds, spare_cores=True)
        if share is not None:
            return share
    return _search(topology, job, avoid, speeds, spare_cores=False)


@POLICIES.register("best-fit")
def best_fit(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str] = (),
    speeds: speed_class.Order = speed_class.SLOW_FIRST,
) -> Share | None:
    """Use the workers with the least free capacity that fit the gang."""
    return _search(topology, job, avoid, speeds, spare_cores=False)


@POLICIES.register("first-fit")
def first_fit(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str] = (),
    _speeds: speed_class.Order = speed_class.SLOW_FIRST,
) -> Share | None:
    """Take workers in their order."""
    for group in _groups(topology, job.within):
        share = fill(_without(group, avoid), job)
        if share is not None:
            return share
    return None


def _search(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str],
    speeds: speed_class.Order,
    *,
    spare_cores: bool,
) -> Share | None:
    """Search workers; those of one class of speed are preferred."""
    classes = _classes(topology, speeds)
    if job.within == model.WITHIN_WORKER or job.tasks == 1:
        return _search_one(topology, job, avoid, classes, spare_cores)
    share = _search_racks(topology, job, avoid, classes)
    if share is not None or job.within == model.WITHIN_RACK:
        return share
    need = amount.of_task(job)
    for used in classes:
        rooms = _fitting(topology, need, spare_cores=spare_cores, used=used)
        share = fill(_without(rooms, avoid), job)
        if share is not None:
            return share
    return None


def _classes(
    topology: topology_module.Topology, speeds: speed_class.Order
) -> list[frozenset[int]]:
    found = {c for c, count in topology.speed_classes.items() if count}
    return speed_class.present(speeds, found)


def _search_one(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str],
    classes: abc.Iterable[frozenset[int]],
    spare_cores: bool,
) -> Share | None:
    whole = amount.of_task(job).times(job.tasks)
    for used in classes:
        found = _fitting(topology, whole, spare_cores=spare_cores, used=used)
        for room in _without(found, avoid):
            return [(room, job.tasks)]
    return None


def _without(
    rooms: abc.Iterable[topology_module.WorkerRoom],
    avoid: abc.Container[str],
) -> abc.Iterator[topology_module.WorkerRoom]:
    return (room for room in rooms if room.spec.worker_id not in avoid)


def _search_racks(
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str],
    classes: list[frozenset[int]],
) -> Share | None:
    """Search a rack; one that has enough of the best classes goes first."""
    racks = topology.racks_with(job.accelerators)
    if job.within != model.WITHIN_RACK:
        racks = itertools.islice(racks, RACKS_TRIED)
    best: Share | None = None
    left = len(classes)
    for rack in racks:
        rooms = list(_without(_tightest_first(rack.workers.values()), avoid))
        for rank, used in enumerate(classes[:left]):
            share = fill(_of_classes(rooms, used), job)
            if share is not None:
                best, left = share, rank
                break
        if not left:
            break
    return best


def _of_classes(
    rooms: abc.Iterable[topology_module.WorkerRoom], used: abc.Set[int]
) -> abc.Iterator[topology_module.WorkerRoom]:
    """Yield the workers of some classes; the slowest, which bind, first."""
    for found in sorted(used):
        yield from (room for room in rooms if room.speed_class == found)


def _tightest_first(
    rooms: abc.Iterable[topology_module.WorkerRoom],
) -> list[topology_module.WorkerRoom]:
    return sorted(
        (room for room in rooms if room.key is not None),
        key=lambda room: (room.open.accelerators, room.open.cores),
    )


def _fitting(
    topology: topology_module.Topology,
    need: amount.Amount,
    *,
    spare_cores: bool,
    used: abc.Set[int],
) -> abc.Iterator[topology_module.WorkerRoom]:
    """Yield workers that cover ``need``, the best fit first.

    :param used: classes of speed; the slowest, which bind, go first.
    """
    cores_level = need.cores.bit_length()
    memory_level = need.memory_mib.bit_length()
    for key in sorted(topology.buckets):
        _promised, found, accelerators, cores, memory = key
        if found not in used or accelerators < need.accelerators:
            continue
        if cores < cores_level or memory < memory_level:
            continue
        for room in topology.buckets[key].values():
            kept = amount.NOTHING
            if spare_cores:
                kept = cores_beside_accelerators(room)
            if (room.open - kept).covers(need):
                yield room


def cores_beside_accelerators(
    room: topology_module.WorkerRoom,
) -> amount.Amount:
    """Return half of the free accelerators' share of cores and memory."""
    spec = room.spec
    free = max(room.open.accelerators, 0)
    if not free:
        return amount.NOTHING
    return amount.Amount(
        accelerators=0,
        cores=spec.cores * free // spec.accelerators // 2,
        memory_mib=spec.memory_mib * free // spec.accelerators // 2,
    )


def fill(
    rooms: abc.Iterable[topology_module.WorkerRoom], job: model.JobSpec
) -> Share | None:
    """Fill workers with the gang in their order; None if it does not fit."""
    need = amount.of_task(job)
    left = job.tasks
    most = job.max_per_worker or job.tasks
    share: Share = []
    for room in rooms:
        count = min(left, room.open.holds(need), most)
        if count:
            share.append((room, count))
            left -= count
        if not left:
            return share
    return None


def assign(share: Share, job: model.JobSpec) -> tuple[model.Assignment, ...]:
    """Pick the accelerators of each task."""
    places: list[model.Assignment] = []
    for room, count in share:
        free = sorted(room.accelerators)
        for number in range(count):
            start = number * job.accelerators_per_task
            taken = free[start : start + job.accelerators_per_task]
            places.append(
                model.Assignment(
                    task_index=len(places),
                    worker_id=room.spec.worker_id,
                    accelerators=tuple(taken),
                    cores=job.cores_per_task,
                    memory_mib=job.memory_mib_per_task,
                )
            )
    return tuple(places)


def could_ever_fit(
    specs: abc.Iterable[model.WorkerSpec], job: model.JobSpec
) -> bool:
    """Tell whether empty workers could run the gang."""
    need = amount.of_task(job)
    most = job.max_per_worker or job.tasks
    counts: dict[str, int] = {}
    for spec in specs:
        group = group_of(spec, job.within)
        count = counts.get(group, 0)
        if job.label and job.label not in spec.labels:
            continue
        count += min(most, amount.of_worker(spec).holds(need))
        if count >= job.tasks:
            return True
        counts[group] = count
    return False


def group_of(spec: model.WorkerSpec, within: str) -> str:
    """Return the worker, rack or data centre that a level refers to."""
    if within == model.WITHIN_WORKER:
        return spec.worker_id
    if within == model.WITHIN_RACK:
        return spec.rack
    return spec.data_centre


def _groups(
    topology: topology_module.Topology, within: str
) -> abc.Iterator[list[topology_module.WorkerRoom]]:
    if within == model.WITHIN_WORKER:
        for room in topology.workers.values():
            yield [room]
    elif within == model.WITHIN_RACK:
        for rack in topology.racks.values():
            yield list(rack.workers.values())
    else:
        yield list(topology.workers.values())
