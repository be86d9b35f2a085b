"""Keeps suspects apart: jobs under which workers have crashed.

Two suspects on one worker would share its next crash, and with it the
blame. Whatever else runs there would be lost.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import constraint
from knapweedwharf.core import model
from knapweedwharf.core import placement
from knapweedwharf.core import record as record_module
from knapweedwharf.core import speed_class
from knapweedwharf.core import topology as topology_module

ALONE_S = 2.0
"""Time after a suspect's start for which nothing is placed beside it; most
crashes follow the start at once, and reports come once a second."""


class Suspects:
    """The attempts of suspects that hold capacity in a data centre."""

    def __init__(self) -> None:
        self._attempts: dict[str, None] = {}

    def update(self, record: record_module.JobRecord) -> None:
        """Record that an attempt began, or whether its job is a suspect."""
        if record.job.is_suspect:
            self._attempts[record.attempt_id] = None
        else:
            self.release(record.attempt_id)

    def release(self, attempt_id: str) -> None:
        """Forget an attempt that has ended."""
        self._attempts.pop(attempt_id, None)

    def beside(
        self,
        job: model.JobSpec,
        record_of: constraint.RecordOf,
        now_s: float,
    ) -> set[str]:
        """Return the workers on which a job must not join a suspect."""
        found: set[str] = set()
        for attempt_id in self._attempts:
            record = record_of(attempt_id)
            if record is None:
                continue
            has_begun = record.state != record_module.STARTING
            is_new = not has_begun or now_s - record.started_s < ALONE_S
            if job.is_suspect or is_new:
                found.update(place.worker_id for place in record.assignments)
        return found


def search(
    find: placement.Search,
    topology: topology_module.Topology,
    job: model.JobSpec,
    avoid: abc.Container[str],
    speed_order: speed_class.Order,
) -> placement.Share | None:
    """Search workers for a job; a suspect goes where least would be lost."""
    if not job.is_suspect or job.within != model.WITHIN_DATA_CENTRE:
        return find(topology, job, avoid, speed_order)
    rooms = (
        room
        for worker_id, room in topology.workers.items()
        if worker_id not in avoid
    )
    return placement.fill(sorted(rooms, key=_occupied), job)


def _occupied(room: topology_module.WorkerRoom) -> tuple[int, int]:
    taken = room.spec.accelerators - len(room.accelerators)
    return taken, len(room.occupants)
