"""Draws the schedule of a seed and runs it."""

from __future__ import annotations

import hypothesis

from testing.faults import runner
from testing.faults import schedule

# hypothesis always tries the simplest schedule first; the last of
# these draws is the seed's own.
_DRAWS = 3


def draw(seed: int) -> list[schedule.Step]:
    """Return the schedule that belongs to a seed."""
    drawn: list[list[schedule.Step]] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=_DRAWS,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(schedule.schedules())
    def collect(steps: list[schedule.Step]) -> None:
        drawn.append(steps)

    collect()
    return drawn[-1]


def run(seed: int) -> list[str]:
    """Run a seed's schedule; return the broken promises."""
    return runner.run(draw(seed))


def shrink(seed: int) -> list[schedule.Step]:
    """Leave steps out while the schedule still breaks a promise."""
    steps = draw(seed)
    position = 0
    while position < len(steps):
        shorter = steps[:position] + steps[position + 1 :]
        if shorter and runner.run(shorter):
            steps = shorter
        else:
            position += 1
    return steps
