"""State of one attempt of a part and of each of its members.

The members of a gang run together or not at all. The engine is told of
an attempt's start or end only once nothing can change that result.
"""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model

INTENDED = "intended"
"""The placement is being stored; no start was sent."""

ORDERED = "ordered"
"""A start was sent; whether the task runs is not known."""

RUNNING = "running"
ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Member:
    """One task of an attempt.

    :ivar sent_s: when its start was first sent, or 0.
    :ivar since_s: when it was confirmed as running, or 0; a report
        requested earlier doesn't prove that the run has ended.
    :ivar listed_s: when a report last listed it, or 0.
    :ivar outcome: outcome of the ended run, or empty.
    :ivar end_reported: whether the engine was told of the end.
    :ivar stop_sent: whether a stop is being sent or was answered.
    :ivar stop_sent_s: when the first stop was about to be sent, or 0.
    :ivar stopped_s: when a stop was answered, or 0.
    :ivar is_inherited: a former owner ordered it, or was about to.
    :ivar is_serving: it is long-running and serves its users fully.
    :ivar percent: its speed; None if a former owner may have set it.
    :ivar percent_at_start: whether no speed has been set yet.
    """

    index: int
    task_id: str
    executor_id: str
    phase: str = INTENDED
    sent_s: float = 0.0
    since_s: float = 0.0
    listed_s: float = 0.0
    outcome: str = ""
    end_reported: bool = False
    stop_sent: bool = False
    stop_sent_s: float = 0.0
    stopped_s: float = 0.0
    is_inherited: bool = False
    is_serving: bool = False
    percent: int | None = 100
    percent_at_start: bool = True

    @property
    def at_work_s(self) -> float:
        """For how long its executor is known to have run it."""
        return max(0.0, self.listed_s - self.since_s) if self.since_s else 0.0

    @property
    def may_have_been_sent(self) -> bool:
        """Whether its start may have reached an executor."""
        return self.is_inherited or self.sent_s > 0.0

    def absence_means_ended(self, requested_s: float) -> bool:
        """Return whether a report without the run proves that it ended.

        :param requested_s: when the report was requested.
        """
        if self.phase == RUNNING:
            return self.since_s < requested_s
        if self.phase != ORDERED:
            return False
        if self.stopped_s:
            return self.stopped_s < requested_s
        return self.is_inherited and not self.stop_sent


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt and its members by their task index.

    :ivar start_reported: the engine was told that all members run.
    :ivar stopping: the engine has requested a stop.
    :ivar refused_by: executor that refused a start, or empty.
    :ivar is_withheld: a start wasn't sent, as its data centre is evacuated.
    :ivar closed: the engine was told that the attempt has ended.
    :ivar on_ends_reported: callbacks to call once the engine has been
        told of all ends.
    """

    attempt_id: str
    part: workflow.Part
    job: workflow.Job
    run: int
    members: dict[int, Member]
    start_reported: bool = False
    stopping: bool = False
    refused_by: str = ""
    is_withheld: bool = False
    closed: bool = False
    on_ends_reported: list[abc.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )

    def pending(self) -> list[Member]:
        """Return the members whose start is neither confirmed nor failed."""
        return [
            m for m in self.members.values() if m.phase in (INTENDED, ORDERED)
        ]

    def unended(self) -> list[Member]:
        """Return the members that run or may run."""
        return [m for m in self.members.values() if m.phase != ENDED]

    def running(self) -> list[Member]:
        """Return the members that run."""
        return [m for m in self.members.values() if m.phase == RUNNING]

    @property
    def all_ended(self) -> bool:
        """Whether no member runs or may run."""
        return all(m.phase == ENDED for m in self.members.values())

    @property
    def is_done(self) -> bool:
        """Whether any run succeeded; a gang's members succeed together."""
        return any(m.outcome == model.DONE for m in self.members.values())

    @property
    def start_failed(self) -> bool:
        """Whether a member was lost before all were running."""
        lost = any(
            m.phase == ENDED and m.outcome not in (model.DONE, model.FAILED)
            for m in self.members.values()
        )
        return lost and not self.start_reported and not self.is_done

    @property
    def must_stop(self) -> bool:
        """Whether members that still run must be stopped."""
        return self.stopping or self.start_failed or self.closed

    def mark_all_done(self) -> None:
        """Mark every ended member as done, whatever was recorded before.

        Executors of a gang report at different times: the lease of one
        may have lapsed before another reports that the gang is done.
        """
        for member in self.members.values():
            if member.phase == ENDED and member.outcome != model.DONE:
                member.outcome = model.DONE
                member.end_reported = False

    def unreported_ends(self) -> list[Member]:
        """Return the ended members that the engine was not told of yet."""
        return [
            m
            for m in self.members.values()
            if m.phase == ENDED and not m.end_reported
        ]
