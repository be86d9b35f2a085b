"""Converts workers' reports to events and types of the decision core."""

from __future__ import annotations

from collections import abc
import typing

from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.core import event
from knapweedwharf.core import model


class TaskEnd(typing.Protocol):
    """The end of a task: an outcome in a seal answer, or a worker event."""

    @property
    def task_index(self) -> int:
        """Index of the task in its gang."""

    @property
    def kind(self) -> str:
        """One of ``worker.TASK_ENDS``, or ``lost``."""

    @property
    def detail(self) -> str:
        """Text from the worker, or empty."""


def worker_spec(
    worker_id: str, state: worker_module.WorkerState
) -> model.WorkerSpec:
    """Return a worker's capacity, rack and data centre from its state."""
    return model.WorkerSpec(
        worker_id=worker_id,
        rack=state.rack,
        data_centre=state.data_centre,
        accelerators=state.accelerators,
        cores=state.cores,
        memory_mib=state.memory_mib,
    )


def task_ended(
    attempt_id: str, worker_id: str, ended: TaskEnd
) -> event.TaskEnded:
    """Convert the end of a task to an event."""
    return event.TaskEnded(
        attempt_id=attempt_id,
        task_index=ended.task_index,
        worker_id=worker_id,
        succeeded=ended.kind == worker_module.TASK_ENDED,
        lapsed=ended.kind == worker_module.TASK_LAPSED,
        detail=ended.detail or ended.kind,
    )


def usage_reports(
    events: abc.Iterable[worker_module.WorkerEvent],
) -> abc.Iterator[event.UsageReported]:
    """Yield the usage reports among a worker's events."""
    for one in events:
        if one.kind == worker_module.USAGE:
            yield event.UsageReported(
                attempt_id=one.attempt_id,
                task_index=one.task_index,
                cores=one.cores,
                memory_mib=one.memory_mib,
            )
