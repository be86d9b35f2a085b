"""One attempt of a part: what became of each of its members.

The members of a gang run together or not at all. An attempt says what
to tell the engine once all that can still change its story is known.
"""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model

INTENDED = "intended"
"""Its place is being written; nothing was sent."""

ORDERED = "ordered"
"""A start was sent; whether it runs is not known."""

RUNNING = "running"
ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Member:
    """One task of an attempt.

    :ivar since_s: when its phase began; older reports say nothing.
    :ivar how: how its run ended, or empty.
    :ivar told: whether the engine knows of the end.
    :ivar stop_sent: whether a stop is under way or was answered.
    :ivar stopped_s: when a stop was answered, or 0.
    :ivar is_inherited: a former owner ordered it, or was about to.
    :ivar is_at_work: it lasts, and serves its users fully.
    :ivar percent: its speed; None where a former owner may have set it.
    :ivar percent_at_start: no speed was set yet.
    """

    index: int
    task_id: str
    executor_id: str
    phase: str = INTENDED
    since_s: float = 0.0
    how: str = ""
    told: bool = False
    stop_sent: bool = False
    stopped_s: float = 0.0
    is_inherited: bool = False
    is_at_work: bool = False
    percent: int | None = 100
    percent_at_start: bool = True

    def is_absent(self, asked_s: float) -> bool:
        """Tell whether a report without the run proves that it is over.

        :param asked_s: when the report was asked for.
        """
        if self.phase == RUNNING:
            return self.since_s < asked_s
        if self.phase != ORDERED:
            return False
        if self.stopped_s:
            return self.stopped_s < asked_s
        return self.is_inherited and not self.stop_sent


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt and its members by their place in the part.

    :ivar told_started: the engine knows that all members run.
    :ivar stopping: the engine has asked for a stop.
    :ivar blamed: executor that refused a start, or empty.
    :ivar over: the engine knows that it has ended.
    :ivar once_told: what waits for the engine to know of all ends.
    """

    attempt_id: str
    part: workflow.Part
    job: workflow.Job
    run: int
    members: dict[int, Member]
    told_started: bool = False
    stopping: bool = False
    blamed: str = ""
    over: bool = False
    once_told: list[abc.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )

    def pending(self) -> list[Member]:
        """Return the members whose start is not settled."""
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
        """Whether a run ended well; a gang's members end together."""
        return any(m.how == model.DONE for m in self.members.values())

    @property
    def start_failed(self) -> bool:
        """Whether a member was lost before all were running."""
        lost = any(
            m.phase == ENDED and m.how not in (model.DONE, model.FAILED)
            for m in self.members.values()
        )
        return lost and not self.told_started and not self.is_done

    @property
    def must_stop(self) -> bool:
        """Whether members that still run have lost their purpose."""
        return self.stopping or self.start_failed or self.over

    def correct_ends(self) -> None:
        """Count every member as done, also those told otherwise before.

        Executors of a gang are heard at different times: the lease of
        one may have lapsed when another tells of the common end.
        """
        for member in self.members.values():
            if member.phase == ENDED and member.how != model.DONE:
                member.how = model.DONE
                member.told = False

    def untold_ends(self) -> list[Member]:
        """Return the ended members that the engine is to hear of."""
        return [
            m for m in self.members.values() if m.phase == ENDED and not m.told
        ]
