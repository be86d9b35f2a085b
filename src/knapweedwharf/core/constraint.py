"""Placement constraints: workers that a job must not use or avoids."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import model
from knapweedwharf.core import placement
from knapweedwharf.core import record as record_module
from knapweedwharf.core import topology as topology_module

RecordOf = abc.Callable[[str], record_module.JobRecord | None]
"""Returns the record of an attempt's job, by the attempt's id."""

Constraint = tuple[str, str, bool, str, str, str, bool]
"""(label, data rack, prefers one rack, spread group if limited, neighbours,
approval, suspect)"""

_CONFLICTS_WITH = {
    model.BEST_EFFORT: model.LATENCY_SENSITIVE,
    model.LATENCY_SENSITIVE: model.BEST_EFFORT,
}


def of_job(job: model.JobSpec) -> Constraint:
    """Return the constraints on a job's placement, as a hashable key."""
    group = job.spread_group if job.max_per_worker else ""
    return (
        job.label,
        job.data_rack,
        job.prefers_rack,
        group,
        job.neighbours,
        job.approval,
        job.is_suspect,
    )


def unsuitable(
    topology: topology_module.Topology,
    job: model.JobSpec,
    record_of: RecordOf,
) -> set[str]:
    """Return the workers that a job must not be placed on.

    They lack its label or have reached the limit of its spread group.
    """
    found: set[str] = set()
    if job.label:
        found.update(
            worker_id
            for worker_id, room in topology.workers.items()
            if job.label not in room.spec.labels
        )
    if job.max_per_worker:
        found.update(
            worker_id
            for worker_id, room in topology.workers.items()
            if tasks_of_group(room, job, record_of) >= job.max_per_worker
        )
    return found


def conflicting(
    topology: topology_module.Topology,
    job: model.JobSpec,
    record_of: RecordOf,
) -> set[str]:
    """Return the workers that run work which conflicts with a job."""
    if not job.neighbours:
        return set()
    return {
        worker_id
        for worker_id, room in topology.workers.items()
        if _runs_kind(room, _CONFLICTS_WITH[job.neighbours], record_of)
    }


def _runs_kind(
    room: topology_module.WorkerRoom, neighbours: str, record_of: RecordOf
) -> bool:
    found = (record_of(attempt_id) for attempt_id in room.occupants)
    return any(r and r.job.neighbours == neighbours for r in found)


def tasks_of_group(
    room: topology_module.WorkerRoom,
    job: model.JobSpec,
    record_of: RecordOf,
) -> int:
    """Return how many tasks of a job's spread group a worker runs."""
    count = 0
    for attempt_id, places in room.occupants.items():
        record = record_of(attempt_id)
        if record and record.job.spread_group == job.spread_group:
            count += len(places)
    return count


def outside_data_rack(
    topology: topology_module.Topology, job: model.JobSpec
) -> set[str]:
    """Return the workers outside the rack of the job's data."""
    return {
        worker_id
        for worker_id, room in topology.workers.items()
        if room.spec.rack != job.data_rack
    }


def near_variant(
    topology: topology_module.Topology, job: model.JobSpec
) -> model.JobSpec | None:
    """Return the job restricted to the rack or racks where it is fast.

    None if it has no such preference, or if the present workers could
    not run it with that restriction.
    """
    confined = job
    specs = [room.spec for room in topology.workers.values()]
    if job.data_rack:
        specs = [spec for spec in specs if spec.rack == job.data_rack]
    elif not (job.prefers_rack and job.tasks > 1):
        return None
    if job.tasks > 1:
        confined = dataclasses.replace(job, within=model.WITHIN_RACK)
    if not placement.could_ever_fit(specs, confined):
        return None
    return confined
