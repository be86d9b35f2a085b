"""An engine with the fleet's policy for short runs, and jobs for it."""

from __future__ import annotations

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy


def job(job_id: str, submitted_s: float = 0.0, **fields) -> model.JobSpec:
    """Return a job of one task that takes all accelerators of a worker.

    Cores are in thousandths.
    """
    defaults = {
        "account": "a",
        "data_centre": "pool",
        "kind": "k",
        "tasks": 1,
        "accelerators_per_task": 8,
        "cores_per_task": 1000,
        "memory_mib_per_task": 100,
        "declared_run_s": 5.0,
    }
    return model.JobSpec(
        job_id=job_id, submitted_s=submitted_s, **{**defaults, **fields}
    )


def engine(
    workers: int, *, learns_speeds: bool = False
) -> engine_module.Engine:
    """Return an engine with workers of 8 accelerators in one rack."""
    made = engine_module.Engine(
        data_centre="pool", attempt_prefix="t", policy="short-runs"
    )
    configured = event.ConfigurationChanged(
        fleet_policy.configuration(learns_speeds=learns_speeds)
    )
    made.handle(configured, now_s=0.0)
    for number in range(workers):
        made.handle(event.WorkerSealed(worker(number)), now_s=0.0)
    return made


def worker(number: int, rack: str = "r") -> model.WorkerSpec:
    """Return a worker of 8 accelerators."""
    return model.WorkerSpec(f"w{number}", rack, "pool", 8, 32_000, 64000)


def start(
    used: engine_module.Engine, submitted: model.JobSpec, now_s: float
) -> decision.StartGang:
    """Submit a job that starts at once; return the decision to start it."""
    taken = used.handle(event.JobSubmitted(submitted), now_s=now_s)
    (started,) = starts(taken)
    used.handle(event.GangStarted(started.attempt_id), now_s=now_s)
    return started


def starts(decisions: list[decision.Decision]) -> list[decision.StartGang]:
    """Return the decisions to start a gang."""
    return [d for d in decisions if isinstance(d, decision.StartGang)]
