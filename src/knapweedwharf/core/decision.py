"""Decisions of the core; the scheduling role carries them out."""

from __future__ import annotations

import dataclasses
import typing

from knapweedwharf.core import model


@dataclasses.dataclass(frozen=True)
class StartGang:
    """Hold every place, commit and start; all tasks or none."""

    job: model.JobSpec
    attempt_id: str
    assignments: tuple[model.Assignment, ...]
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class StopGang:
    """Stop every task and confirm its release.

    :ivar checkpoint: save progress first.
    """

    job_id: str
    attempt_id: str
    checkpoint: bool
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class ThrottleGang:
    """Limit an attempt to its declared size."""

    job_id: str
    attempt_id: str
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class JobChanged:
    """A job's state or reason changed; its record has to be stored.

    :ivar state: a state of the job's chart.
    """

    job_id: str
    state: str
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class GuaranteeChanged:
    """A unit of a guarantee was suspended or restored.

    :ivar unit: number of the unit, from 1.
    :ivar met: whether it can be reclaimed from now on.
    """

    guarantee: str
    unit: int
    met: bool
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class WorkerChanged:
    """A worker's standing changed.

    :ivar standing: ``quarantined``, ``probation``, ``still`` (it makes
        no progress) or ``trusted``.
    """

    worker_id: str
    standing: str
    reason: model.Reason


@dataclasses.dataclass(frozen=True)
class WorkerSpeedChanged:
    """A worker counts as of another class of speed from now on.

    :ivar standing: ``cold``, ``slow``, ``usual`` or ``fast``.
    :ivar speed: its expected speed; 1.0 is the usual one.
    :ivar runs: runs that this is based on, those that are old counted
        less.
    """

    worker_id: str
    standing: str
    speed: float
    runs: float


Decision = typing.Union[
    StartGang,
    StopGang,
    ThrottleGang,
    JobChanged,
    GuaranteeChanged,
    WorkerChanged,
    WorkerSpeedChanged,
]
