"""The stored record of a job and its state."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import model

QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"
HOLDING_STATES = (STARTING, RUNNING, STOPPING)

MAX_REASONS = 20

_START_REASONS = ("accepted", "placed", "started")
"""Reason codes that every started job has."""


@dataclasses.dataclass
class JobRecord:
    """A job, its state and its attempts; kept in the store.

    :ivar state: state of the job's state chart.
    :ivar attempt_id: the attempt that occupies workers, or empty.
    :ivar after_stop: chart event to apply once the stop is confirmed.
    :ivar guarantee: the guarantee the attempt runs inside, or empty.
    :ivar unit: number of the guarantee's unit, from 1.
    :ivar has_failed: whether ``failures`` counts the current attempt.
    :ivar requeued_s: when it last queued again after a lost attempt; 0
        before that.
    :ivar preemptions: how often other jobs preempted this one.
    """

    job: model.JobSpec
    state: str
    attempts: int = 0
    attempt_id: str = ""
    assignments: tuple[model.Assignment, ...] = ()
    ended_tasks: frozenset[int] = frozenset()
    after_stop: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    failures: int = 0
    has_failed: bool = False
    reasons: tuple[model.Reason, ...] = ()
    guarantee: str = ""
    unit: int = 0
    preemptions: int = 0
    requeued_s: float = 0.0

    def note(self, reason: model.Reason) -> None:
        """Add a reason; it replaces the last one if that has its code."""
        earlier = self.reasons
        if earlier and earlier[-1].code == reason.code:
            earlier = earlier[:-1]
        self.reasons = (*earlier, reason)[-MAX_REASONS:]

    @property
    def queued_s(self) -> float:
        """When it joined the queue: submitted, or queued again."""
        return self.requeued_s or self.job.submitted_s

    @property
    def waited_for(self) -> list[str]:
        """Reason codes for which it did not start earlier, newest last."""
        codes = [reason.code for reason in self.reasons]
        return [code for code in codes if code not in _START_REASONS]
