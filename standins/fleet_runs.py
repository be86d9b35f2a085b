"""Runs of the in-memory executors."""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.fleet import model


@dataclasses.dataclass
class RunState:
    """A run that is executing.

    :ivar stalled_s: total time without progress, in seconds.
    :ivar percent: speed limit, in percent of full speed.
    """

    order: model.StartOrder
    begun_s: float
    behaviour: dict
    stalled_s: float = 0.0
    percent: int = 100


@dataclasses.dataclass(frozen=True)
class RunRecord:
    """Record of an ended run, for assertions."""

    task_id: str
    run: int
    executor_id: str
    begun_s: float
    ended_s: float
    outcome: str


def load_ms(state: RunState, beside: abc.Iterable[RunState]) -> int:
    """Return the simulated tail latency of a serving run.

    It is 50 ms, plus the ``disturbs`` value of each filler run on the
    same executor, scaled by that run's speed.

    :param beside: all runs on the executor.
    """
    if "serves" not in state.behaviour:
        return 0
    return 50 + sum(
        int(other.behaviour.get("disturbs", 0) * other.percent / 100)
        for other in beside
    )
