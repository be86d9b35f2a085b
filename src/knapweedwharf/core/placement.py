"""Search for places of a gang within a distance."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import model
from knapweedwharf.core import topology as topology_module


def find(
    topology: topology_module.Topology, job: model.JobSpec
) -> tuple[model.Assignment, ...] | None:
    """Return places for the whole gang, or None."""
    usable = [room for room in topology.workers.values() if room.usable]
    for group in _groups(usable, job.within):
        places = _fill(group, job)
        if places is not None:
            return places
    return None


def could_ever_fit(
    topology: topology_module.Topology, job: model.JobSpec
) -> bool:
    """Tell whether the empty hardware could run the gang."""
    groups = _groups(topology.workers.values(), job.within)
    return any(_capacity(group, job) >= job.tasks for group in groups)


def _groups(
    rooms: abc.Iterable[topology_module.WorkerRoom], within: str
) -> list[list[topology_module.WorkerRoom]]:
    groups: dict[str, list[topology_module.WorkerRoom]] = {}
    for room in rooms:
        groups.setdefault(_group_key(room, within), []).append(room)
    return list(groups.values())


def _group_key(room: topology_module.WorkerRoom, within: str) -> str:
    if within == model.WITHIN_WORKER:
        return room.spec.worker_id
    if within == model.WITHIN_RACK:
        return room.spec.rack
    return room.spec.data_centre


def _capacity(
    group: list[topology_module.WorkerRoom], job: model.JobSpec
) -> int:
    return sum(_tasks_on_empty(room.spec, job) for room in group)


def _tasks_on_empty(spec: model.WorkerSpec, job: model.JobSpec) -> int:
    limits = [job.tasks]
    if job.accelerators_per_task:
        limits.append(spec.accelerators // job.accelerators_per_task)
    if job.cores_per_task:
        limits.append(spec.cores // job.cores_per_task)
    if job.memory_mib_per_task:
        limits.append(spec.memory_mib // job.memory_mib_per_task)
    return min(limits)


def _fill(
    group: list[topology_module.WorkerRoom], job: model.JobSpec
) -> tuple[model.Assignment, ...] | None:
    places: list[model.Assignment] = []
    for room in group:
        free = sorted(room.accelerators)
        cores = room.cores
        memory_mib = room.memory_mib
        while (
            len(places) < job.tasks
            and len(free) >= job.accelerators_per_task
            and cores >= job.cores_per_task
            and memory_mib >= job.memory_mib_per_task
        ):
            taken = tuple(free[: job.accelerators_per_task])
            free = free[job.accelerators_per_task :]
            cores -= job.cores_per_task
            memory_mib -= job.memory_mib_per_task
            places.append(
                model.Assignment(
                    task_index=len(places),
                    worker_id=room.spec.worker_id,
                    accelerators=taken,
                    cores=job.cores_per_task,
                    memory_mib=job.memory_mib_per_task,
                )
            )
    if len(places) < job.tasks:
        return None
    return tuple(places)
