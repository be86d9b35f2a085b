"""Chooses the executors about which the advisor is asked."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model


def of_step(
    step_id: str,
    *,
    flow: workflow.Workflow | None,
    engine: engine_module.Engine,
    executors: abc.Iterable[model.Executor],
) -> list[model.Executor]:
    """Return the executors that a waiting step could use now.

    Those with the most free accelerators come first. The list is empty
    once no part of the step waits.

    :param flow: the step's job, or None if it was removed.
    :param executors: those that may get work now.
    """
    waiting = [
        part
        for part in (flow.parts.values() if flow else ())
        if part.step_id(flow.job.job_id) == step_id
        and part.part_id in engine.state.waiting
    ]
    if not waiting:
        return []
    label = flow.job.steps[waiting[0].step].label
    rooms = engine.topology.workers
    usable = [
        executor
        for executor in executors
        if executor.executor_id in rooms
        and (not label or label in executor.labels)
    ]
    usable.sort(key=lambda e: -rooms[e.executor_id].open.accelerators)
    return usable
