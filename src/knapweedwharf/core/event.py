"""Events the decision core is told of; each is one typed message."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf.core import model


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A new revision is in force."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True)
class WorkerSealed:
    """A worker accepts this epoch's orders; its capacity is known."""

    worker: model.WorkerSpec


@dataclasses.dataclass(frozen=True)
class WorkerLost:
    """A worker does not answer; its tasks end when their lease lapses."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class WorkerLeaving:
    """The platform is about to take a worker away.

    :ivar remaining_s: work that ends within this time may stay.
    :ivar keeps_lasting: work that lasts stays until it is moved.
    """

    worker_id: str
    remaining_s: float = 0.0
    keeps_lasting: bool = False


@dataclasses.dataclass(frozen=True)
class JobMoved:
    """Work is to stop where it runs and to start elsewhere."""

    job_id: str
    why: str


@dataclasses.dataclass(frozen=True)
class WorkerGone:
    """A worker's last lease has lapsed; nothing of ours runs on it."""

    worker_id: str


@dataclasses.dataclass(frozen=True)
class JobSubmitted:
    """A job was accepted and is durable.

    :ivar failures: attempts that failed under an earlier epoch.
    """

    job: model.JobSpec
    failures: int = 0


@dataclasses.dataclass(frozen=True)
class JobCancelled:
    """The caller or an operator cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class GangStarted:
    """Every member of the attempt runs and is confirmed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class GangAdopted:
    """A waiting job's whole gang was found running on its workers.

    An earlier epoch started it and could not write that down.
    """

    job_id: str
    attempt_id: str
    assignments: tuple[model.Assignment, ...]


@dataclasses.dataclass(frozen=True)
class GangRefused:
    """The start failed and every member was released.

    :ivar worker_id: the worker to blame, or empty.
    """

    attempt_id: str
    worker_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class GangStopped:
    """Every member of a running attempt has stopped and is released.

    :ivar checkpointed: progress was saved before the stop.
    """

    attempt_id: str
    checkpointed: bool


@dataclasses.dataclass(frozen=True)
class TaskEnded:
    """One task of a running attempt ended by itself.

    :ivar lapsed: its lease lapsed, which is not the job's fault.
    """

    attempt_id: str
    task_index: int
    worker_id: str
    succeeded: bool
    detail: str
    lapsed: bool = False


@dataclasses.dataclass(frozen=True)
class UsageReported:
    """A worker's lagging report of what a task uses."""

    attempt_id: str
    task_index: int
    cores: float
    memory_mib: int


@dataclasses.dataclass(frozen=True)
class WorkersApproved:
    """An outside authority has said which workers may run some jobs.

    :ivar approval: name that the jobs' specifications bear.
    :ivar approved: workers that may run them from now on.
    :ivar denied: workers that may not.
    """

    approval: str
    approved: tuple[str, ...]
    denied: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProgressSeen:
    """A worker's report of how far the attempts on it are.

    :ivar shares: (attempt, share that is done, from 0 to 1).
    """

    worker_id: str
    shares: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time passed; ageing, reservations and probes are looked at."""


Event = typing.Union[
    ConfigurationChanged,
    WorkerSealed,
    WorkerLost,
    WorkerLeaving,
    WorkerGone,
    JobSubmitted,
    JobCancelled,
    GangStarted,
    GangAdopted,
    GangRefused,
    GangStopped,
    TaskEnded,
    UsageReported,
    JobMoved,
    WorkersApproved,
    ProgressSeen,
    Tick,
]

Tell = typing.Callable[[str, Event], None]
"""(service, event) to the engine of the service's pool"""
