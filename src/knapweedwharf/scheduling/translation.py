"""What workers report, in the decision core's own terms."""

from __future__ import annotations

from collections import abc
import typing

from knapweedwharf.adapters import worker as worker_module
from knapweedwharf.core import event
from knapweedwharf.core import model


class Ended(typing.Protocol):
    """The end of a task: an outcome of a seal, or a worker's event."""

    @property
    def task_index(self) -> int:
        """The task within its gang."""

    @property
    def kind(self) -> str:
        """One of ``worker.TASK_ENDS``, or ``lost``."""

    @property
    def detail(self) -> str:
        """The worker's words, or empty."""


def spec_of(
    worker_id: str, state: worker_module.WorkerState
) -> model.WorkerSpec:
    """Return a worker's capacity and place from its seal."""
    return model.WorkerSpec(
        worker_id=worker_id,
        rack=state.rack,
        data_centre=state.data_centre,
        accelerators=state.accelerators,
        cores=state.cores,
        memory_mib=state.memory_mib,
    )


def task_ended(
    attempt_id: str, worker_id: str, ended: Ended
) -> event.TaskEnded:
    """Return the end of a task."""
    return event.TaskEnded(
        attempt_id=attempt_id,
        task_index=ended.task_index,
        worker_id=worker_id,
        succeeded=ended.kind == worker_module.TASK_ENDED,
        lapsed=ended.kind == worker_module.TASK_LAPSED,
        detail=ended.detail or ended.kind,
    )


def usages(
    events: abc.Iterable[worker_module.WorkerEvent],
) -> abc.Iterator[event.UsageReported]:
    """Yield the reports of use among a worker's events."""
    for one in events:
        if one.kind == worker_module.USAGE:
            yield event.UsageReported(
                attempt_id=one.attempt_id,
                task_index=one.task_index,
                cores=one.cores,
                memory_mib=one.memory_mib,
            )
