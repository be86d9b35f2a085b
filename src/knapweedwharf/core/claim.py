"""Room set aside for a waiting gang: claims and reservations.

A claim has ordered victims to stop; what they free is the claimant's.
A reservation waits for running work to end. Others may use its room
meanwhile, but what starts there later gives way to the reservation.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import topology as topology_module


@dataclasses.dataclass(slots=True)
class Claim:
    """Room that victims are being stopped for.

    :ivar tasks: how many tasks go to each worker.
    :ivar victims: attempts whose release is still awaited.
    """

    job: model.JobSpec
    tasks: dict[str, int]
    victims: dict[str, None]
    reason: model.Reason


class Claims:
    """Claims by the job that makes them."""

    def __init__(self, topology: topology_module.Topology) -> None:
        self.by_job: dict[str, Claim] = {}
        self.ready: dict[str, None] = {}
        self._topology = topology
        self._by_victim: dict[str, str] = {}

    def add(self, claim: Claim) -> None:
        """Hold room for a claim."""
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
        """Give a claim's room back; returns the claim."""
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
        """Note that a victim has released its places."""
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
    """Room that a gang gets once running work has ended.

    :ivar expected_s: when that is expected, by estimates.
    :ivar made_s: what started since then gives way.
    :ivar chosen_s: when the room was chosen.
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
        """Set room aside."""
        self.by_job[reservation.job.job_id] = reservation
        need = amount.of_task(reservation.job)
        for worker_id, count in reservation.tasks.items():
            self._topology.reserve(worker_id, need.times(count))

    def drop(self, job_id: str) -> None:
        """Give a reservation's room back, if there is one."""
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
