"""Tells a step that fails everywhere from workers on which tasks fail.

The tasks of a step run the same program, so a step that fails on most of
the workers that it was tried on is at fault itself.
"""

from __future__ import annotations

from collections import abc
import dataclasses

MIN_WORKERS = 3
"""A step that failed on fewer workers may have met only faulty ones."""

MIN_SHARE = 0.5
"""Share of the tried workers; more than are faulty at the same time."""

MAX_STEPS_REMEMBERED = 1000
"""More than are at work at once; each keeps the workers it was tried on."""


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Workers on which tasks of a step began, failed and succeeded."""

    tried: dict[str, None] = dataclasses.field(default_factory=dict)
    failed: dict[str, None] = dataclasses.field(default_factory=dict)
    succeeded: dict[str, None] = dataclasses.field(default_factory=dict)


class StepFailures:
    """Outcomes of steps by worker."""

    def __init__(self) -> None:
        self._steps: dict[str, _Outcomes] = {}

    def record_start(self, step: str, workers: abc.Iterable[str]) -> None:
        """Record that tasks of a step begin on workers."""
        if step not in self._steps:
            self._steps[step] = _Outcomes()
            if len(self._steps) > MAX_STEPS_REMEMBERED:
                del self._steps[next(iter(self._steps))]
        self._steps[step].tried.update(dict.fromkeys(workers))

    def record_end(self, step: str, worker: str, *, succeeded: bool) -> None:
        """Record how a task of a step ended on a worker."""
        outcomes = self._steps.get(step)
        if outcomes is not None:
            ended = outcomes.succeeded if succeeded else outcomes.failed
            ended[worker] = None

    def is_at_fault(self, step: str) -> bool:
        """Tell whether a step has failed on most of the workers tried."""
        outcomes = self._steps.get(step)
        if outcomes is None:
            return False
        failed = len(outcomes.failed.keys() - outcomes.succeeded.keys())
        return failed >= max(MIN_WORKERS, MIN_SHARE * len(outcomes.tried))
