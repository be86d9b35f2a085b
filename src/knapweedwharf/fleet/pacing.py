"""Speed of work that fills what others leave, beside work that serves.

Filling work disturbs its neighbours by amounts that differ and change
within seconds. So it begins slowly beside them, goes faster while their
users are served well in time, and slower as soon as they may not be.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import board as board_module
from knapweedwharf.fleet import model
from knapweedwharf import log

FULL_PERCENT = 100
FIRST_PERCENT = 30
"""A third of the disturbance, until the first report shows its effect."""

STEP_PERCENT = 10
"""Full speed is reached within some ten reports, which is ten seconds."""

LEAST_PERCENT = 5
"""Slower work is held still: it takes memory and is hardly done."""

EASY_SHARE = 0.6
TIGHT_SHARE = 0.85
"""Of the target; a tail between them leaves the speed as it is."""

Order = abc.Callable[
    [attempt_module.Attempt, attempt_module.Member, int], None
]
"""Sets a member's speed, in percent."""


def next_percent(percent: int, tail_share: float) -> int:
    """Return the speed after a report.

    :param percent: the present speed.
    :param tail_share: the worst tail of the neighbours' response times,
        as a multiple of its target.
    """
    if tail_share >= 1.0:
        return 0
    if tail_share > TIGHT_SHARE:
        slower = percent // 2
        return slower if slower >= LEAST_PERCENT else 0
    if tail_share < EASY_SHARE:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent


class Pacing:
    """Sets the speed of filling work, executor by executor.

    :param order: sends a new speed.
    """

    def __init__(self, *, board: board_module.Board, order: Order) -> None:
        self._board = board
        self._order = order
        self._log = log.get("pacing")

    def look(self, executor_id: str, runs: tuple[model.Run, ...]) -> None:
        """Set speeds by an executor's newest report."""
        filling: list[tuple[attempt_module.Attempt, attempt_module.Member]] = (
            []
        )
        tails: list[float] = []
        for run in runs:
            held = self._board.member(executor_id, run.task_id, run.run)
            if held is None:
                continue
            step = held[0].job.steps[held[0].part.step]
            if step.fills_spare:
                filling.append(held)
            elif step.tail_target_ms:
                tails.append(run.load / step.tail_target_ms)
        for attempt, member in filling:
            self._set(attempt, member, tails)

    def _set(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        tails: list[float],
    ) -> None:
        if not tails:
            percent = FULL_PERCENT
        elif member.percent is None or member.percent_at_start:
            percent = min(FIRST_PERCENT, next_percent(100, max(tails)))
        else:
            percent = next_percent(member.percent, max(tails))
        if percent == member.percent:
            return
        self._log.info(
            "speed-set",
            job_id=attempt.job.job_id,
            task=member.task_id,
            run=attempt.run,
            executor=member.executor_id,
            percent=percent,
            before=member.percent,
            tail_share=round(max(tails), 2) if tails else None,
        )
        self._order(attempt, member, percent)
