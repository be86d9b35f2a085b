"""Limits how many tasks of a long-running step are down at once."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module


def may_stop(
    scheduling_state: scheduling_state_module.SchedulingState,
    attempt: attempt_module.Attempt,
) -> bool:
    """Return whether an attempt of a long-running step may be stopped.

    Every other task of the step that does not serve fully counts as
    down, whatever the cause.
    """
    step = attempt.job.steps[attempt.part.step]
    at_work = sum(
        member.is_serving
        for other in _attempts_of_step(scheduling_state, attempt)
        if other is not attempt and not other.must_stop
        for member in other.members.values()
    )
    others_away = step.tasks - len(attempt.members) - at_work
    # Each member of a gang sees the other members go down too.
    return others_away + len(attempt.members) - 1 < step.allowed_misses


def _attempts_of_step(
    scheduling_state: scheduling_state_module.SchedulingState,
    attempt: attempt_module.Attempt,
) -> list[attempt_module.Attempt]:
    step_id = attempt.part.step_id(attempt.job.job_id)
    return [
        other
        for other in scheduling_state.attempts.values()
        if other.job.job_id == attempt.job.job_id
        and other.part.step_id(other.job.job_id) == step_id
    ]


def is_lasting(attempt: attempt_module.Attempt) -> bool:
    """Return whether an attempt's tasks run until they are stopped."""
    step: workflow.Step = attempt.job.steps[attempt.part.step]
    return step.is_lasting


def movable(
    scheduling_state: scheduling_state_module.SchedulingState,
    executor_id: str,
) -> abc.Iterator[attempt_module.Attempt]:
    """Yield the long-running attempts on an executor that may be stopped.

    Each is checked when it is asked for, as a stop counts for the next one.
    """
    seen: set[str] = set()
    for attempt, _member in scheduling_state.members_on(executor_id):
        if attempt.attempt_id in seen or attempt.stopping:
            continue
        seen.add(attempt.attempt_id)
        if is_lasting(attempt) and may_stop(scheduling_state, attempt):
            yield attempt
