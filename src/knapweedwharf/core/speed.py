"""Speeds of workers, relative to a sound one that is warm."""

from __future__ import annotations

WARMING_SPEED = 0.5
"""Assumed for a worker that is still warming up."""


class Speeds:
    """What is known of the speed of each worker."""

    def __init__(self) -> None:
        self._warm_s: dict[str, float] = {}

    def set_warming(self, worker_id: str, until_s: float) -> None:
        """Record until when a worker is expected to be slow."""
        self._warm_s[worker_id] = until_s

    def of(self, worker_id: str, now_s: float) -> float:
        """Return the expected speed of a worker; 1.0 is the usual one."""
        if now_s < self._warm_s.get(worker_id, now_s):
            return WARMING_SPEED
        return 1.0

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker; its next life is another one."""
        self._warm_s.pop(worker_id, None)
