"""Scheduling policy for jobs of short steps.

Runs last seconds, so reservations must not take minutes, and preemption
costs more than it frees: only guaranteed work preempts other work, and
only after it has waited for room.
"""

from __future__ import annotations

from knapweedwharf.core import model
from knapweedwharf.core import part_spec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model as fleet_model

ENGINE_POLICY = "short-runs"

URGENT_PATIENCE_S = 0.3
"""Wait before preemption, as a run may end by itself meanwhile; a tenth of
the shortest reclaim time."""

NEAR_PATIENCE_RUNS = 1.2
"""A run far from its data or spread over racks takes three times as long, so
a wait saves up to two runs."""

CROWDED_PATIENCE_S = 12.0
"""A run far from its data or spread over racks uses three times the room.
The platform checks for runnable jobs 14 s after the last submission, for
3 s."""

RESTART_S = 0.6
"""The time an executor takes to restore a checkpoint."""

DISTURBANCE_S = 1.0
"""Cost of a stop, a restart and the placement lost in between."""

MOST_LOST_RUNS = 0.2
"""Work that is late already gains little by its start."""

MOST_LOST_ON_TIME = 1.0
"""For a burst of first-priority work on a full pool: started at once it meets
its objective and is worth five times as much as late; see ``python -m bench
short_runs``."""

ORDER_MARGIN_S = 0.6
"""Time from the decision to preempt until the start on the freed room, beside
the stop itself and what delays starts beyond the usual."""

LASTING_PATIENCE_S = 1.0
"""A third of the time for which a long-running task may have no run."""

GUARANTEED_PRECEDENCE = 2
FIRST_PRECEDENCE = 1

RESERVE_AFTER_S = 3.0
"""Most gangs find room earlier, and reserved room stays idle; see
``python -m bench short_runs``."""

HANDICAP_PER_LEVEL_S = 20.0
"""Two typical runs; see ``python -m bench short_runs``."""

QUARANTINE_S = 6.0
"""About as long as the executor faults that the platform specifies."""

SETTLE_S = 0.5
"""Executors are sealed concurrently, within tens of milliseconds."""

STILL_S = 2.0
"""Two reports; a healthy run gains a percent in a tenth of that time."""

GROW_AFTER_S = 0.5
"""Wait after which a further machine is worth a move, which takes three
times as long."""

ACCELERATOR_CORES = 8000.0
"""Thousandths of a core that count as one accelerator when the platform
weighs lost work."""

LATE_FACTOR = 3.0
"""A job that takes three times its objective scores nothing."""

HEADROOM_DEVIATIONS = 2.5
"""1.0 preempts more work, 4.0 keeps the least urgent work waiting; see
``python -m bench short_runs``."""

HEADROOM_PATIENCE_S = 10.0
"""The platform checks for runnable jobs 14 s after the last submission, for
3 s."""

HEADROOM_MEMORY_S = 10.0
"""A few runs of first-priority work."""

MIXES_AFTER_S = 1.0
"""Work that shares an executor is slow or disturbs others; a run ends in
about this time anyway."""

RENEW_RESERVED_S = 1.0
"""Executors report the progress of their runs once a second."""


def configuration(*, learns_speeds: bool = False) -> model.Configuration:
    """Return the core's configuration for a service's pool.

    :param learns_speeds: see ``PolicySpec``.
    """
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
            most_lost_on_time=MOST_LOST_ON_TIME,
            settle_s=SETTLE_S,
            still_s=STILL_S,
            mixes_after_s=MIXES_AFTER_S,
            late_factor=LATE_FACTOR,
            accelerator_cores=ACCELERATOR_CORES,
            headroom_deviations=HEADROOM_DEVIATIONS,
            headroom_memory_s=HEADROOM_MEMORY_S,
            headroom_patience_s=HEADROOM_PATIENCE_S,
            renew_reserved_s=RENEW_RESERVED_S,
            learns_speeds=learns_speeds,
        ),
    )


def scheduling_priority(
    job: workflow.Job,
    step: workflow.Step,
    *,
    guaranteed: int,
    claimed: int,
    bounds: fleet_model.TimeLimits,
    start_delay_s: float,
) -> part_spec.SchedulingPriority:
    """Return a job's precedence by its queue and its account's guarantee.

    :param guaranteed: accelerators that the account may reclaim.
    :param claimed: accelerators of all its unended jobs of priority 0,
        including this one.
    :param start_delay_s: what delays its starts beyond the usual.
    """
    if step.is_lasting:
        # All of its tasks serve users, so none of them is preempted.
        return part_spec.SchedulingPriority(
            precedence=GUARANTEED_PRECEDENCE,
            start_within_s=LASTING_PATIENCE_S,
        )
    if job.priority > 0:
        return part_spec.SchedulingPriority(
            handicap_s=job.priority * HANDICAP_PER_LEVEL_S
        )
    if claimed > guaranteed:
        return part_spec.SchedulingPriority(precedence=FIRST_PRECEDENCE)
    preempted_by_s = (
        bounds.reclaim_timeout_s
        - bounds.stop_timeout_s
        - ORDER_MARGIN_S
        - start_delay_s
    )
    return part_spec.SchedulingPriority(
        urgency=model.URGENT,
        precedence=GUARANTEED_PRECEDENCE,
        start_within_s=max(preempted_by_s, URGENT_PATIENCE_S),
    )
