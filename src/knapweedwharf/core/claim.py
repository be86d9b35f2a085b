"""Capacity set aside for waiting gangs: claims and reservations.

A claim holds capacity for its job until the victims of its preemption
have stopped. A reservation waits for running work to end; other jobs may
use its capacity meanwhile, but those that start after it are preempted.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import topology as topology_module


@dataclasses.dataclass(slots=True)
class Claim:
    """Capacity held while the victims of a preemption stop.

    :ivar tasks: number of tasks by worker.
    :ivar victims: attempts that have not been released yet.
    """

    job: model.JobSpec
    tasks: dict[str, int]
    victims: dict[str, None]
    reason: model.Reason


class Claims:
    """Claims by job.

    :ivar ready: jobs whose victims have all been released.
    """

    def __init__(self, topology: topology_module.Topology) -> None:
        self.by_job: dict[str, Claim] = {}
        self.ready: dict[str, None] = {}
        self._topology = topology
        self._by_victim: dict[str, str] = {}

    def add(self, claim: Claim) -> None:
        """Add a claim and hold its capacity."""
        job_id = claim.job.job_id
        self.by_job[job_id] = claim
        for attempt_id in claim.victims:
            self._by_victim[attempt_id] = job_id
        need = amount.of_task(claim.job)
        for worker_id, count in claim.tasks.items():
            self._topology.hold(worker_id, need.times(count))
        if not claim.victims:
            self.ready[job_id] = None

    def drop(self, job_id: str) -> Claim | None:
        """Remove a claim and release its capacity; return the claim."""
        claim = self.by_job.pop(job_id, None)
        if claim is None:
            return None
        self.ready.pop(job_id, None)
        for attempt_id in claim.victims:
            self._by_victim.pop(attempt_id, None)
        need = amount.of_task(claim.job)
        for worker_id, count in claim.tasks.items():
            self._topology.hold(worker_id, need.times(-count))
        return claim

    def victim_gone(self, attempt_id: str) -> None:
        """Record that a victim was released."""
        job_id = self._by_victim.pop(attempt_id, None)
        if job_id is None:
            return
        claim = self.by_job[job_id]
        del claim.victims[attempt_id]
        if not claim.victims:
            self.ready[job_id] = None

    def on_worker(self, worker_id: str) -> list[str]:
        """Return the jobs with a claim on a worker."""
        return [
            job_id
            for job_id, claim in self.by_job.items()
            if worker_id in claim.tasks
        ]


@dataclasses.dataclass(slots=True)
class Reservation:
    """Capacity that a gang gets once running work has ended.

    :ivar tasks: number of tasks by worker.
    :ivar expected_s: when that is expected, by estimates.
    :ivar made_s: when the job first got it; attempts that started
        later are preempted for it.
    :ivar chosen_s: when its workers were chosen last.
    """

    job: model.JobSpec
    tasks: dict[str, int]
    expected_s: float
    made_s: float
    chosen_s: float = 0.0


class Reservations:
    """Reservations by job."""

    def __init__(self, topology: topology_module.Topology) -> None:
        self.by_job: dict[str, Reservation] = {}
        self._topology = topology

    def add(self, reservation: Reservation) -> None:
        """Add a reservation."""
        self.by_job[reservation.job.job_id] = reservation
        need = amount.of_task(reservation.job)
        for worker_id, count in reservation.tasks.items():
            self._topology.reserve(worker_id, need.times(count))

    def drop(self, job_id: str) -> None:
        """Remove a job's reservation, if there is one."""
        reservation = self.by_job.pop(job_id, None)
        if reservation is None:
            return
        need = amount.of_task(reservation.job)
        for worker_id, count in reservation.tasks.items():
            self._topology.reserve(worker_id, need.times(-count))

    def on_worker(self, worker_id: str) -> list[str]:
        """Return the jobs with a reservation on a worker."""
        return [
            job_id
            for job_id, reservation in self.by_job.items()
            if worker_id in reservation.tasks
        ]
