"""Uses workers that are slow after their start after the warm ones.

Workers of a data centre come back together. Work that is placed in the
order of the queue goes to warm room first, so that what matters most
isn't crowded on slow workers; they take what finds no other room.
"""

from __future__ import annotations

from knapweedwharf.core import state as state_module


class Warming:
    """Workers that are warming up, and until when."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._until_s: dict[str, float] = {}

    def begin(self, worker_id: str, until_s: float) -> None:
        """Record until when a worker is slow; a past time ends that."""
        self._state.speeds.set_warming(worker_id, until_s)
        self._until_s[worker_id] = until_s
        self._state.topology.set_warming(worker_id, True)
        self.tick()

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        if self._until_s.pop(worker_id, None) is not None:
            self._state.topology.set_warming(worker_id, False)

    def tick(self) -> None:
        """Use workers that are warm by now like all others."""
        now_s = self._state.now_s
        for worker_id, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                self.forget(worker_id)
