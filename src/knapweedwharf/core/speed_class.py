"""Classes of workers by speed, and the order in which jobs use them.

A gang ends with its slowest member, so its members are of one class if
possible. Where all workers are of one class, nothing is reordered.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import model

SLOW, USUAL, FAST = -1, 0, 1

Order = tuple[frozenset[int], ...]
"""Classes that a job may use together, the best first."""

_ALL = frozenset({SLOW, USUAL, FAST})

FAST_FIRST: Order = (
    frozenset({FAST}),
    frozenset({USUAL}),
    frozenset({USUAL, FAST}),
    frozenset({SLOW}),
    _ALL,
)

USUAL_FIRST: Order = (
    frozenset({USUAL}),
    frozenset({FAST}),
    frozenset({USUAL, FAST}),
    frozenset({SLOW}),
    _ALL,
)

SLOW_FIRST: Order = (
    frozenset({SLOW}),
    frozenset({USUAL}),
    frozenset({SLOW, USUAL}),
    frozenset({FAST}),
    _ALL,
)

LONG_SLACK_SHARE = 0.3
"""A job whose run takes less than this share of the time left meets its
objective on a worker of half the usual speed as well."""

SHORT_SLACK_SHARE = 0.5
"""A job whose run takes more than this share of the time left until its
objective is short of time; estimates are off by about as much."""


def of_speed(speed: float) -> int:
    """Return the class of a speed; 1.0 is the usual one."""
    return (speed > 1.0) - (speed < 1.0)


def present(order: Order, classes: abc.Set[int]) -> list[frozenset[int]]:
    """Return an order without the classes that no worker is of."""
    return list(
        dict.fromkeys(used & classes for used in order if used & classes)
    )


def of_job(
    job: model.JobSpec,
    *,
    run_s: float,
    objective_s: float,
    late_factor: float,
    now_s: float,
) -> Order:
    """Return the order in which a job should use the classes.

    A job that is short of time gets fast workers; what can wait, or has
    no value left, leaves these to others.

    :param run_s: its expected run time on a worker of the usual speed.
    :param objective_s: its target time from submission to completion.
    :param late_factor: multiple of that after which it has no value.
    """
    if not job.objective_s:
        return SLOW_FIRST
    spent_s = now_s - job.submitted_s + job.after_s
    if late_factor and spent_s + run_s > late_factor * objective_s:
        return SLOW_FIRST
    left_s = objective_s - spent_s
    if run_s > SHORT_SLACK_SHARE * left_s:
        return FAST_FIRST
    return SLOW_FIRST if run_s < LONG_SLACK_SHARE * left_s else USUAL_FIRST
