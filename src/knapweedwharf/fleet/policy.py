"""Figures and rules of the scheduling of short step jobs.

Runs last seconds here, so nobody waits minutes for a reservation, and
stopped work costs more than it frees: only guaranteed work stops other
work, and only once it has waited in vain.
"""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf.core import workflow

ENGINE_POLICY = "short-runs"

URGENT_PATIENCE_S = 0.9
"""Leaves two thirds of the shortest reclaim time for stop and start."""

NEAR_PATIENCE_S = 4.0
"""Half of a typical run; a distant run takes three times as long."""

RESERVE_AFTER_S = 3.0
"""A typical wait for the end of some run."""

HANDICAP_PER_LEVEL_S = 8.0
"""One typical run: less urgent work is overtaken for about as long."""

QUARANTINE_S = 6.0
"""About as long as the executors' faults of the platform's sheet."""


def configuration() -> model.Configuration:
    """Return the core's configuration for a service's pool."""
    return model.Configuration(
        revision=1,
        policy=model.PolicySpec(
            fragmentation_weight=1.0,
            reserve_after_s=RESERVE_AFTER_S,
            ageing_s=0.0,
            quarantine_s=QUARANTINE_S,
            near_patience_s=NEAR_PATIENCE_S,
            urgent_patience_s=URGENT_PATIENCE_S,
        ),
    )


def urgency(job: workflow.Job, *, guaranteed: int, claimed: int) -> str:
    """Return how urgent a job is, by its account's guarantee.

    :param guaranteed: accelerators that the account may reclaim.
    :param claimed: accelerators of all its unended jobs of priority 0,
        this one included.
    """
    if job.priority == 0 and claimed <= guaranteed:
        return model.URGENT
    return model.NORMAL


def handicap_s(job: workflow.Job) -> float:
    """Return how much later than its arrival a job is in line."""
    return job.priority * HANDICAP_PER_LEVEL_S
