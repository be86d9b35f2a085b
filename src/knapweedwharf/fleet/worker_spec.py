"""Describes an executor to the decision core."""

from __future__ import annotations

from knapweedwharf.core import model as core_model
from knapweedwharf.fleet import model


def of(executor: model.Executor) -> core_model.WorkerSpec:
    """Return an executor as a worker of its service's engine."""
    return core_model.WorkerSpec(
        worker_id=executor.executor_id,
        rack=executor.rack,
        data_centre=executor.service,
        accelerators=executor.accelerators,
        cores=executor.cores_milli,
        memory_mib=executor.memory_mib,
        labels=frozenset(executor.labels),
    )
