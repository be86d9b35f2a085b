"""Workers that leave at a known time, and the work left on them."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology

LAST_STOP_S = 1.0
"""Time before a departure at which work stops whose end isn't known; a stop
takes about as long."""


class Departures:
    """Finds work that was left on a leaving worker and ends too late.

    What goes down with its worker is lost to its gang as a whole, and
    can't start again until the worker's lease has ended.
    """

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._leave_s: dict[str, float] = {}

    def announce(self, worker_id: str, leaves_s: float) -> None:
        """Note when a worker leaves."""
        self._leave_s[worker_id] = leaves_s

    def too_late(self) -> abc.Iterator[tuple[str, record_module.JobRecord]]:
        """Yield workers with work that won't end before they leave."""
        workers = self._state.topology.workers
        for worker_id, leaves_s in list(self._leave_s.items()):
            room = workers.get(worker_id)
            if room is None or topology.LEAVING not in room.exclusions:
                del self._leave_s[worker_id]
                continue
            for attempt_id in list(room.occupants):
                record = self._state.job_of_attempt(attempt_id)
                if record is not None and self._is_late(record, leaves_s):
                    yield worker_id, record

    def _is_late(
        self, record: record_module.JobRecord, leaves_s: float
    ) -> bool:
        """Tell whether reports show that an attempt ends too late."""
        state = self._state
        if record.state != record_module.RUNNING or record.job.is_lasting:
            return False
        left_s = state.progress.remaining_s(record.attempt_id, state.now_s)
        if left_s is None:
            return state.now_s + LAST_STOP_S > leaves_s
        return state.now_s + left_s > leaves_s
