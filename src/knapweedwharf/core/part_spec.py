"""Parts of jobs as jobs of the engine."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import model
from knapweedwharf.core import workflow

UNLIMITED_ATTEMPTS = 1_000_000_000
"""``max_attempts`` of steps without an end, which restart indefinitely."""


@dataclasses.dataclass(frozen=True)
class SchedulingPriority:
    """Priority of a job against others; see ``model.JobSpec``."""

    urgency: str = model.NORMAL
    handicap_s: float = 0.0
    precedence: int = 0
    start_within_s: float = 0.0


def _neighbours(step: workflow.Step) -> str:
    if step.fills_spare:
        return model.BEST_EFFORT
    return model.LATENCY_SENSITIVE if step.tail_target_ms else ""


def _max_attempts(job: workflow.Job, step: workflow.Step) -> int:
    return UNLIMITED_ATTEMPTS if step.is_lasting else job.max_attempts


def of_part(
    flow: workflow.Workflow,
    part: workflow.Part,
    *,
    priority: SchedulingPriority,
    due_s: float = 0.0,
) -> model.JobSpec:
    """Return a part as a job of the engine.

    Cores are in thousandths, as are those of the fleet's workers.

    :param priority: its priority against other work.
    :param due_s: when its occurrence was due, on the engine's clock.
    """
    job, step = flow.job, flow.job.steps[part.step]
    return model.JobSpec(
        job_id=part.part_id,
        account=job.account,
        data_centre=job.service,
        kind=f"{job.route}/{part.step}",
        tasks=part.tasks,
        accelerators_per_task=step.accelerators,
        cores_per_task=0 if step.fills_spare else step.cores_milli,
        memory_mib_per_task=step.memory_mib,
        urgency=priority.urgency,
        declared_run_s=max(step.expected_run_s, 0.1),
        submitted_s=max(job.submitted_s, due_s),
        max_attempts=_max_attempts(job, step),
        handicap_s=priority.handicap_s,
        label=step.label,
        data_rack=step.data_rack,
        prefers_rack=step.wants_one_rack,
        spread_group=part.step_id(job.job_id),
        max_per_worker=step.max_per_executor,
        start_within_s=priority.start_within_s,
        precedence=priority.precedence,
        saves_progress=step.saves_progress,
        neighbours=_neighbours(step),
        is_lasting=step.is_lasting,
        approval=part.step_id(job.job_id) if job.is_advised else "",
        objective_s=0.0 if step.is_lasting else job.objective_s,
        slowdown=job.slowdown,
        after_s=job.chain_s(part.step) - step.expected_run_s,
        is_suspect=part.is_suspect,
    )
