"""Random schedules of faults, drawn by hypothesis."""

from __future__ import annotations

import dataclasses

from hypothesis import strategies

MAX_STEPS = 14
MIN_STEPS = 8

NODE_FAULTS = ("kill", "freeze", "thaw", "drain", "restart")
STORE_FAULTS = ("outage", "slow", "lose-answers", "drop-events", "heal")
NETWORK_FAULTS = ("cut", "isolate", "join")
EXECUTOR_FAULTS = (
    "late",
    "crossed",
    "truncated",
    "drop_before",
    "drop_after",
)
WORKER_FAULTS = (
    "frozen",
    "fail_all",
    "refuse_start",
    "refuse_confirm",
    "ignore_checkpoint",
)
LIST_FAULTS = ("empty", "leaving", "no-entries", "restore")
PROCESS_FAULTS = ("freeze-executor", "freeze-workers", "thaw")
WORK = (
    "booking",
    "booking-twice",
    "check",
    "gang",
    "guaranteed",
    "cancel",
    "change",
    "change-race",
)


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a schedule.

    :ivar kind: target of the action: node, store, network, executor,
        worker, list, process or work.
    :ivar place: index that selects the node, worker, executor or job, or
        sets a size.
    """

    kind: str
    action: str
    place: int


def _steps(kind: str, actions: tuple[str, ...]) -> strategies.SearchStrategy:
    return strategies.builds(
        Step,
        kind=strategies.just(kind),
        action=strategies.sampled_from(actions),
        place=strategies.integers(min_value=0, max_value=5),
    )


def schedules() -> strategies.SearchStrategy[list[Step]]:
    """Generate schedules that alternate between work and faults."""
    work = _steps("work", WORK)
    fault = strategies.one_of(
        _steps("node", NODE_FAULTS),
        _steps("store", STORE_FAULTS),
        _steps("network", NETWORK_FAULTS),
        _steps("executor", EXECUTOR_FAULTS),
        _steps("worker", WORKER_FAULTS),
        _steps("list", LIST_FAULTS),
        _steps("process", PROCESS_FAULTS),
    )
    pairs = strategies.lists(
        strategies.tuples(work, fault),
        min_size=MIN_STEPS // 2,
        max_size=MAX_STEPS // 2,
    )
    return pairs.map(lambda drawn: [step for pair in drawn for step in pair])
