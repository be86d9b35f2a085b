"""Tells the engine which executors are slow for a while after their start."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model

TOLERANCE_S = 1.0
"""An executor's entry is up to a check-in old, so that the end that it tells
varies; smaller changes don't matter."""


class Warming:
    """When executors will be warm, as their entries tell."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}

    def note(self, executor: model.Executor) -> None:
        """Note what an entry says that was just read."""
        executor_id = executor.executor_id
        if executor.cold_s > 0:
            self._until_s[executor_id] = clock.steady_s() + executor.cold_s
        else:
            self._until_s.pop(executor_id, None)

    def forget(self, executor_id: str) -> None:
        """Forget an executor; its next incarnation tells anew."""
        self._until_s.pop(executor_id, None)
        self._told_s.pop(executor_id, None)

    def tell(self, executor: model.Executor, tell: event.EventSink) -> None:
        """Tell the engine if it doesn't know yet when one is warm."""
        now_s = clock.steady_s()
        executor_id = executor.executor_id
        until_s = max(now_s, self._until_s.get(executor_id, now_s))
        told_s = max(now_s, self._told_s.get(executor_id, now_s))
        if abs(until_s - told_s) < TOLERANCE_S:
            return
        self._told_s[executor_id] = until_s
        tell(executor.service, event.WorkerWarming(executor_id, until_s))
