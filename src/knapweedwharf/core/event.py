"""Events that the decision core handles."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf.core import amount
from knapweedwharf.core import model


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A new revision is in force."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True)
class WorkerSealed:
    """A worker accepted this epoch and reported its capacity."""

    worker: model.WorkerSpec


@dataclasses.dataclass(frozen=True)
class WorkerLost:
    """A worker does not answer; its tasks end when their lease expires."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class WorkerLeaving:
    """The platform is about to take a worker away.

    :ivar remaining_s: work expected to end within this time may stay.
    :ivar keeps_lasting: work without an end stays until it is moved.
    """

    worker_id: str
    remaining_s: float = 0.0
    keeps_lasting: bool = False


@dataclasses.dataclass(frozen=True)
class UntrackedSeen:
    """A worker reported runs that belong to no attempt.

    :ivar taken: what they take together; nothing once they have ended.
    """

    worker_id: str
    taken: amount.Amount


@dataclasses.dataclass(frozen=True)
class JobMoved:
    """A job has to stop where it runs and start elsewhere."""

    job_id: str
    why: str


@dataclasses.dataclass(frozen=True)
class WorkerGone:
    """A worker's last lease expired; none of our tasks run on it."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class WorkerWarming:
    """A worker is slow for a while, such as after its start.

    :ivar until_s: when it is expected to be warm.
    """

    worker_id: str
    until_s: float


@dataclasses.dataclass(frozen=True)
class WorkerRestarted:
    """A worker has begun another life under its id."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class JobSubmitted:
    """A job was accepted and stored durably.

    :ivar failures: attempts that failed under an earlier epoch.
    """

    job: model.JobSpec
    failures: int = 0


@dataclasses.dataclass(frozen=True)
class JobCancelled:
    """The caller or an operator cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class LateSuccess:
    """An earlier attempt, given up as lost, is found to have succeeded."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class LateFailure:
    """An earlier attempt, given up as lost, is found to have failed."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class JobSuspected:
    """Workers have crashed under a job, or it is cleared of that."""

    job_id: str
    is_suspect: bool


@dataclasses.dataclass(frozen=True)
class JobGivenUp:
    """A job may not start again, as workers crash under it."""

    job_id: str
    why: str


@dataclasses.dataclass(frozen=True)
class GangStarted:
    """Every task of the attempt is confirmed to run."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class GangAdopted:
    """The whole gang of a queued job was found running on its workers.

    An earlier epoch started it and failed to record the start.
    """

    job_id: str
    attempt_id: str
    assignments: tuple[model.Assignment, ...]


@dataclasses.dataclass(frozen=True)
class GangRefused:
    """The start failed and every task was released.

    :ivar worker_id: the worker that refused, or empty.
    """

    attempt_id: str
    worker_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class GangStopped:
    """Every task of an attempt has stopped and was released.

    :ivar checkpointed: progress was saved before the stop.
    """

    attempt_id: str
    checkpointed: bool


@dataclasses.dataclass(frozen=True)
class TaskEnded:
    """One task of an attempt ended without being stopped.

    :ivar lapsed: its lease expired; that is no failure of the job.
    """

    attempt_id: str
    task_index: int
    worker_id: str
    succeeded: bool
    detail: str
    lapsed: bool = False


@dataclasses.dataclass(frozen=True)
class UsageReported:
    """A worker's delayed report of a task's resource usage."""

    attempt_id: str
    task_index: int
    cores: float
    memory_mib: int


@dataclasses.dataclass(frozen=True)
class WorkersApproved:
    """An external advisor decided which workers may run some jobs.

    :ivar approval: ``approval`` of the jobs that it applies to.
    :ivar approved: workers that may run them from now on.
    :ivar denied: workers that may not.
    """

    approval: str
    approved: tuple[str, ...]
    denied: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProgressSeen:
    """A worker's report of the progress of its attempts.

    :ivar shares: (attempt id, share that is done, from 0 to 1).
    """

    worker_id: str
    shares: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time passed; timers, queue order and reservations are updated."""


Event = typing.Union[
    ConfigurationChanged,
    WorkerSealed,
    WorkerLost,
    WorkerLeaving,
    WorkerGone,
    JobSubmitted,
    JobCancelled,
    LateSuccess,
    LateFailure,
    JobSuspected,
    JobGivenUp,
    GangStarted,
    GangAdopted,
    GangRefused,
    GangStopped,
    TaskEnded,
    UsageReported,
    UntrackedSeen,
    JobMoved,
    WorkerWarming,
    WorkerRestarted,
    WorkersApproved,
    ProgressSeen,
    Tick,
]

EventSink = typing.Callable[[str, Event], None]
"""Passes (service, event) to the engine of the service's pool."""
