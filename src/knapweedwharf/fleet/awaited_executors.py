"""Executors on which runs of a former owner may be alive, until seen."""

from __future__ import annotations

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module


class AwaitedExecutors:
    """Executors that a former owner used and whose entry was not seen yet."""

    def __init__(self, bounds: model.TimeLimits) -> None:
        self._bounds = bounds
        self._since_s: dict[str, float] = {}

    def add(self, executor_id: str) -> None:
        """Await an executor on which earlier runs may be alive."""
        self._since_s[executor_id] = clock.elapsed_s()

    def discard(self, executor_id: str) -> None:
        """Await an executor no longer, as its entry was seen."""
        self._since_s.pop(executor_id, None)

    def pop_lapsed(self) -> list[str]:
        """Remove and return executors whose runs have surely ended."""
        lapse_s = session_module.lapse_after_s(self._bounds)
        oldest_s = clock.elapsed_s() - lapse_s
        gone = [e for e, at_s in self._since_s.items() if at_s < oldest_s]
        for executor_id in gone:
            del self._since_s[executor_id]
        return gone
