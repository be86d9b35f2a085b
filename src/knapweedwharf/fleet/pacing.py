"""Speed of backfill work that shares executors with serving work.

Backfill work disturbs its neighbours by amounts that differ and change
within seconds. So it starts slowly beside them, speeds up while their
response times are well below target, and slows down as soon as they
come close to it.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf import log

FULL_PERCENT = 100
INITIAL_PERCENT = 30
"""A third of the disturbance, until the first report shows the effect."""

STEP_PERCENT = 10
"""Ten reports, or about ten seconds, lead to full speed."""

MIN_PERCENT = 5
"""Below it work is paused: it would hold memory and hardly progress."""

SPEED_UP_BELOW = 0.6
SLOW_DOWN_ABOVE = 0.85
"""Shares of the target latency; in between the speed does not change."""

SetSpeed = abc.Callable[
    [attempt_module.Attempt, attempt_module.Member, int], None
]
"""Sets a member's speed, in percent."""


def next_percent(percent: int, tail_share: float) -> int:
    """Return the speed after a report.

    :param percent: the current speed.
    :param tail_share: worst tail latency of the neighbours, as a
        multiple of its target.
    """
    if tail_share >= 1.0:
        return 0
    if tail_share > SLOW_DOWN_ABOVE:
        slower = percent // 2
        return slower if slower >= MIN_PERCENT else 0
    if tail_share < SPEED_UP_BELOW:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent


class Pacing:
    """Sets the speed of backfill work on each executor.

    :param set_speed: sends a new speed to the executor.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        set_speed: SetSpeed,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._set_speed = set_speed
        self._log = log.get("pacing")

    def adjust(
        self, executor_id: str, runs: tuple[model.RunStatus, ...]
    ) -> None:
        """Set speeds according to an executor's newest report."""
        backfill: list[
            tuple[attempt_module.Attempt, attempt_module.Member]
        ] = []
        tails: list[float] = []
        for run in runs:
            held = self._scheduling_state.find_member(
                executor_id, run.task_id, run.run
            )
            if held is None:
                continue
            step = held[0].job.steps[held[0].part.step]
            if step.fills_spare:
                backfill.append(held)
            elif step.tail_target_ms:
                tails.append(run.load / step.tail_target_ms)
        for attempt, member in backfill:
            self._adjust_member(attempt, member, tails)

    def _adjust_member(
        self,
        attempt: attempt_module.Attempt,
        member: attempt_module.Member,
        tails: list[float],
    ) -> None:
        if not tails:
            percent = FULL_PERCENT
        elif member.percent is None or member.percent_at_start:
            percent = min(INITIAL_PERCENT, next_percent(100, max(tails)))
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
        self._set_speed(attempt, member, percent)
