"""Generates and runs the schedule of a seed."""

from __future__ import annotations

import hypothesis

from testing.faults import runner
from testing.faults import schedule

# hypothesis always generates the simplest schedule first, whatever the
# seed; the last of these draws depends on the seed.
_DRAWS = 3


def draw(seed: int) -> list[schedule.Step]:
    """Return the schedule of a seed."""
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
    """Run the schedule of a seed; return the violations."""
    return runner.run(draw(seed))


def shrink(seed: int) -> list[schedule.Step]:
    """Remove every step without which the schedule still fails."""
    steps = draw(seed)
    position = 0
    while position < len(steps):
        shorter = steps[:position] + steps[position + 1 :]
        if shorter and runner.run(shorter):
            steps = shorter
        else:
            position += 1
    return steps
