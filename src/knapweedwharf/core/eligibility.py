"""Whether a job may start on workers now; asked before each start."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import constraint
from knapweedwharf.core import model
from knapweedwharf.core import topology as topology_module


class Eligibility:
    """Checks the constraints that no start may violate.

    Labels, approvals and what else runs may change between the choice of
    a worker and the start.

    :param approved: approved workers, by the approval's name.
    :param record_of: returns the record of an attempt.
    """

    def __init__(
        self,
        *,
        topology: topology_module.Topology,
        approved: abc.Mapping[str, abc.Container[str]],
        record_of: constraint.RecordOf,
    ) -> None:
        self._topology = topology
        self._approved = approved
        self._record_of = record_of

    def violated(
        self, job: model.JobSpec, tasks: abc.Mapping[str, int]
    ) -> str:
        """Return the constraint that a start would violate; empty for none.

        :param tasks: number of tasks by worker.
        """
        for worker_id, count in tasks.items():
            room = self._topology.workers.get(worker_id)
            if room is None:
                return f"Worker {worker_id} is gone."
            if job.label and job.label not in room.spec.labels:
                return f"Worker {worker_id} lacks the label {job.label}."
            if job.approval and worker_id not in self._approved.get(
                job.approval, ()
            ):
                return f"Worker {worker_id} is not approved."
            if count > self._left_of_group(room, job):
                return f"Worker {worker_id} has enough tasks of the step."
        return ""

    def most_tasks(
        self, room: topology_module.WorkerRoom, job: model.JobSpec
    ) -> int:
        """Return how many tasks of a job may start on a worker."""
        if self.violated(job, {room.spec.worker_id: 1}):
            return 0
        return self._left_of_group(room, job)

    def _left_of_group(
        self, room: topology_module.WorkerRoom, job: model.JobSpec
    ) -> int:
        """Return how many tasks a job's spread group leaves to a worker."""
        if not job.max_per_worker:
            return job.tasks
        running = constraint.tasks_of_group(room, job, self._record_of)
        return max(0, job.max_per_worker - running)
