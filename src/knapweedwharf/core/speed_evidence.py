"""Learns workers' speeds from the progress and the ends of runs.

A run says something of its worker's speed only if nothing else slows
it down: work that is far from its data, work beside best-effort work
and runs without progress are left out. So are gangs, whose progress is
that of their slowest member.
"""

from __future__ import annotations

from knapweedwharf.core import decision
from knapweedwharf.core import record as record_module
from knapweedwharf.core import speed_class
from knapweedwharf.core import state as state_module

NAMES = {
    speed_class.COLD: "cold",
    speed_class.SLOW: "slow",
    speed_class.USUAL: "usual",
    speed_class.FAST: "fast",
}


class SpeedEvidence:
    """Compares the runs of a step and applies what they tell."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state

    def progressed(self, attempt_id: str) -> None:
        """Compare a run, once its rate of progress is known."""
        record = self._state.job_of_attempt(attempt_id)
        if record is None or not self._is_comparable(record):
            return
        self._compare(record, self._state.progress.sample(attempt_id))

    def finished(self, record: record_module.JobRecord) -> None:
        """Compare a run that has succeeded before its rate was known."""
        if self._is_comparable(record):
            progress, now_s = self._state.progress, self._state.now_s
            self._compare(
                record, progress.sample_end(record.attempt_id, now_s)
            )

    def tick(self) -> None:
        """Drop what is too old."""
        for worker_id in self._state.speeds.expire(self._state.now_s):
            self.apply(worker_id)

    def apply(self, worker_id: str) -> None:
        """Put a worker into the class of its speed."""
        state = self._state
        room = state.topology.workers.get(worker_id)
        speed = state.speeds.of(worker_id, state.now_s)
        found = speed_class.of_speed(speed)
        if state.speeds.is_warming(worker_id, state.now_s):
            found = speed_class.COLD
        if room is None or room.speed_class == found:
            return
        state.topology.set_speed_class(worker_id, found)
        state.decisions.append(
            decision.WorkerSpeedChanged(
                worker_id=worker_id,
                standing=NAMES[found],
                speed=speed,
                runs=state.speeds.runs_compared(worker_id),
            )
        )

    def _compare(
        self, record: record_module.JobRecord, rate: float | None
    ) -> None:
        if rate is None:
            return
        (place,) = record.assignments
        changed = self._state.speeds.compare(
            record.job.step, place.worker_id, rate, self._state.now_s
        )
        for worker_id in changed:
            self.apply(worker_id)

    def _is_comparable(self, record: record_module.JobRecord) -> bool:
        job, state = record.job, self._state
        if not state.configuration.policy.learns_speeds:
            return False
        if job.tasks != 1 or not job.spread_group or job.is_lasting:
            return False
        if len(record.assignments) != 1 or job.neighbours:
            return False
        room = state.topology.workers.get(record.assignments[0].worker_id)
        if room is None or job.data_rack not in ("", room.spec.rack):
            return False
        beside = (state.job_of_attempt(a) for a in room.occupants)
        return not any(other and other.job.neighbours for other in beside)
