"""Figures and rules of the scheduling of short step jobs.

Runs last seconds here, so nobody waits minutes for a reservation, and
stopped work costs more than it frees: only guaranteed work stops other
work, and only once it has waited in vain.
"""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model as fleet_model

ENGINE_POLICY = "short-runs"

URGENT_PATIENCE_S = 0.3
"""A run that ends by itself meanwhile need not be stopped; a tenth of
the shortest reclaim time."""

NEAR_PATIENCE_RUNS = 1.2
"""A distant run takes three times as long, so two runs are saved."""

CROWDED_PATIENCE_S = 12.0
"""A distant run takes three times the room. The platform looks for jobs
that could run 14 s after the last one came, and for 3 s."""

RESTART_S = 0.6
"""The time an executor takes to restore a checkpoint."""

DISTURBANCE_S = 1.0
"""A stop and a start, and the place that is lost meanwhile."""

MOST_LOST_RUNS = 0.2
"""Stopped work costs about as much as first work gains by its start."""

ORDER_MARGIN_S = 0.6
"""Time from the decision to stop others to the start on their room."""

LASTING_PATIENCE_S = 1.0
"""A third of the time for which a task that lasts may have no run."""

GUARANTEED_PRECEDENCE = 2
FIRST_PRECEDENCE = 1

RESERVE_AFTER_S = 3.0
"""By ``python -m bench short_runs``; most gangs find room before, and
reserved room stands empty meanwhile."""

HANDICAP_PER_LEVEL_S = 20.0
"""Two typical runs, by ``python -m bench short_runs``."""

QUARANTINE_S = 6.0
"""About as long as the executors' faults of the platform's sheet."""

SETTLE_S = 0.5
"""Executors are sealed side by side, in some tens of milliseconds."""

STILL_S = 2.0
"""Two reports; a sound run moves by a percent in a tenth of that."""

GROW_AFTER_S = 0.5
"""Wait after which work is worth a machine more; a move takes thrice it."""

ACCELERATOR_CORES = 8000.0
"""In thousandths, as all cores here; the platform weighs work that is
thrown away by it."""

LATE_FACTOR = 3.0
"""The platform counts a job for nothing after three objectives."""

HEADROOM_DEVIATIONS = 2.5
"""By ``python -m bench short_runs``: 1.0 stops more work, 4.0 leaves the
least urgent work waiting."""

HEADROOM_PATIENCE_S = 10.0
"""The platform looks for jobs that could run 14 s after the last one
came, and for 3 s."""

HEADROOM_MEMORY_S = 10.0
"""A few runs of first work."""

MIXES_AFTER_S = 1.0
"""Beside others, work is slow or disturbs; a run ends about as soon."""

RENEW_RESERVED_S = 1.0
"""Executors report how far their runs are once a second."""


def configuration() -> model.Configuration:
    """Return the core's configuration for a service's pool."""
    return model.Configuration(
        revision=1,
        policy=model.PolicySpec(
            fragmentation_weight=1.0,
            reserve_after_s=RESERVE_AFTER_S,
            ageing_s=0.0,
            quarantine_s=QUARANTINE_S,
            near_patience_runs=NEAR_PATIENCE_RUNS,
            crowded_patience_s=CROWDED_PATIENCE_S,
            urgent_patience_s=URGENT_PATIENCE_S,
            restart_s=RESTART_S,
            disturbance_s=DISTURBANCE_S,
            most_lost_runs=MOST_LOST_RUNS,
            settle_s=SETTLE_S,
            still_s=STILL_S,
            mixes_after_s=MIXES_AFTER_S,
            late_factor=LATE_FACTOR,
            accelerator_cores=ACCELERATOR_CORES,
            headroom_deviations=HEADROOM_DEVIATIONS,
            headroom_memory_s=HEADROOM_MEMORY_S,
            headroom_patience_s=HEADROOM_PATIENCE_S,
            renew_reserved_s=RENEW_RESERVED_S,
        ),
    )


def standing(
    job: workflow.Job,
    step: workflow.Step,
    *,
    guaranteed: int,
    claimed: int,
    bounds: fleet_model.Bounds,
) -> workflow.Standing:
    """Return how a job stands, by its queue and its account's guarantee.

    :param guaranteed: accelerators that the account may reclaim.
    :param claimed: accelerators of all its unended jobs of priority 0,
        this one included.
    """
    if step.is_lasting:
        # Its users are served by all of its tasks; none is a victim.
        return workflow.Standing(
            precedence=GUARANTEED_PRECEDENCE,
            start_within_s=LASTING_PATIENCE_S,
        )
    if job.priority > 0:
        return workflow.Standing(
            handicap_s=job.priority * HANDICAP_PER_LEVEL_S
        )
    if claimed > guaranteed:
        return workflow.Standing(precedence=FIRST_PRECEDENCE)
    return workflow.Standing(
        urgency=model.URGENT,
        precedence=GUARANTEED_PRECEDENCE,
        start_within_s=(
            bounds.reclaim_timeout_s - bounds.stop_timeout_s - ORDER_MARGIN_S
        ),
    )
