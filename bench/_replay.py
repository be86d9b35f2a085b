"""Replays arrivals through the engine on a fake clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from bench import _workload
from knapweedwharf.core import amount
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import placement

START_S = 0.5
STOP_S = 3.0
TICK_S = 2.0
RESTORE_S = 20.0
FAILED_CHECKPOINTS = 0.05
FAILURE_AFTER_S = 20.0
FAILING_FROM, FAILING_UNTIL = 0.4, 0.5
"""Share of the time in which the failing worker fails everything."""


@dataclasses.dataclass
class Progress:
    """What a job has done so far.

    :ivar saved_s: run time that its last checkpoint covers.
    """

    arrival: _workload.Arrival
    saved_s: float = 0.0
    began_s: float = 0.0
    ended_s: float = 0.0
    first_s: float = 0.0


@dataclasses.dataclass
class Totals:
    """Sums over one replay."""

    blocked_s: float = 0.0
    idle_s: float = 0.0
    lost_s: float = 0.0
    stops: int = 0
    decisions: int = 0
    events: int = 0


class Replay:
    """One run of a workload under one policy."""

    def __init__(
        self,
        workload: _workload.Workload,
        *,
        policy: str = "guaranteed",
        weight: float | None = None,
        seed: int = 1,
    ) -> None:
        self.workload = workload
        self.totals = Totals()
        self.jobs: dict[str, Progress] = {}
        self.engine = engine_module.Engine(
            data_centre=workload.data_centre,
            attempt_prefix="bench",
            policy=policy,
        )
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._agenda: list[tuple[float, int, typing.Any]] = []
        self._now_s = 0.0
        self._ticking = False
        self._stale = True
        self._blocked, self._idle = False, 0
        configuration = workload.configuration
        if weight is not None:
            rule = dataclasses.replace(
                configuration.policy, fragmentation_weight=weight
            )
            configuration = dataclasses.replace(configuration, policy=rule)
        self._tell(event.ConfigurationChanged(configuration))
        for worker in workload.workers:
            self._tell(event.WorkerSealed(worker))
        self.engine.topology.complete = True

    def run(self) -> Replay:
        """Replay everything; returns itself."""
        for arrival in self.workload.arrivals:
            job = arrival.job
            self.jobs[job.job_id] = Progress(arrival)
            self._at(job.submitted_s, event.JobSubmitted(job))
            if arrival.cancel_after_s:
                at_s = job.submitted_s + arrival.cancel_after_s
                self._at(at_s, event.JobCancelled(job.job_id))
        end_s = self.workload.length_s
        while self._agenda and self._now_s < 2 * end_s:
            at_s, _number, happened = heapq.heappop(self._agenda)
            self._account(at_s - self._now_s)
            self._now_s = at_s
            self._tell(happened)
            self._tick_later(happened)
        return self

    def _at(self, at_s: float, happened: typing.Any) -> None:
        heapq.heappush(self._agenda, (at_s, next(self._order), happened))

    def _tick_later(self, happened: typing.Any) -> None:
        if isinstance(happened, event.Tick):
            self._ticking = False
        state = self.engine.state
        busy = len(state.waiting) or state.quarantine.busy
        if busy and not self._ticking:
            self._ticking = True
            self._at(self._now_s + TICK_S, event.Tick())

    def _tell(self, happened: event.Event) -> None:
        if isinstance(happened, event.GangStarted):
            self._begin(happened)
        if isinstance(happened, event.TaskEnded) and happened.succeeded:
            self._note_end(happened)
        taken = self.engine.handle(happened, now_s=self._now_s)
        self.totals.events += 1
        self.totals.decisions += len(taken)
        self._stale |= bool(taken) or not isinstance(happened, event.Tick)
        for one in taken:
            if isinstance(one, decision.StartGang):
                started = event.GangStarted(one.attempt_id)
                self._at(self._now_s + START_S, started)
            elif isinstance(one, decision.StopGang):
                self._stop(one)

    def _begin(self, started: event.GangStarted) -> None:
        record = self.engine.job_of_attempt(started.attempt_id)
        if record is None or record.state != "starting":
            return
        progress = self.jobs[record.job.job_id]
        progress.began_s = self._now_s
        progress.first_s = progress.first_s or self._now_s
        culprit = self._culprit(record)
        if culprit is not None:
            self._at(
                self._now_s + FAILURE_AFTER_S,
                event.TaskEnded(
                    started.attempt_id,
                    culprit.task_index,
                    culprit.worker_id,
                    False,
                    "exit 1",
                ),
            )
            return
        left_s = progress.arrival.run_s - progress.saved_s
        if progress.saved_s:
            left_s += RESTORE_S
        for place in record.assignments:
            self._at(
                self._now_s + left_s,
                event.TaskEnded(
                    started.attempt_id,
                    place.task_index,
                    place.worker_id,
                    True,
                    "",
                ),
            )

    def _culprit(self, record) -> model.Assignment | None:
        """Return the place of the task that will fail, if any."""
        if self.jobs[record.job.job_id].arrival.broken:
            return record.assignments[0]
        length_s = self.workload.length_s
        if not FAILING_FROM < self._now_s / length_s < FAILING_UNTIL:
            return None
        for place in record.assignments:
            if place.worker_id == self.workload.failing:
                return place
        return None

    def _note_end(self, ended: event.TaskEnded) -> None:
        record = self.engine.job_of_attempt(ended.attempt_id)
        if record is not None and record.state == "running":
            self.jobs[record.job.job_id].ended_s = self._now_s

    def _stop(self, stop: decision.StopGang) -> None:
        progress = self.jobs[stop.job_id]
        record = self.engine.records[stop.job_id]
        saved = self._rng.random() >= FAILED_CHECKPOINTS
        if stop.reason.code == "preempted":
            self.totals.stops += 1
            self._save(progress, record, saved)
        self._at(
            self._now_s + STOP_S, event.GangStopped(stop.attempt_id, saved)
        )

    def _save(self, progress: Progress, record, saved: bool) -> None:
        if not record.started_s or progress.began_s < record.started_s:
            return
        ran_s = self._now_s - progress.began_s
        accelerators = record.job.accelerators
        if saved:
            progress.saved_s += max(0.0, ran_s - RESTORE_S)
            progress.saved_s = min(progress.saved_s, progress.arrival.run_s)
            self.totals.lost_s += accelerators * min(RESTORE_S, ran_s)
        else:
            self.totals.lost_s += accelerators * ran_s

    # Accounting

    def _account(self, length_s: float) -> None:
        """Add up what was blocked and idle since the last event."""
        if length_s <= 0 or self._now_s > self.workload.length_s:
            return
        if self._stale:
            self._blocked, self._idle = self._look()
            self._stale = False
        self.totals.blocked_s += length_s * self._blocked
        self.totals.idle_s += length_s * self._idle

    def _look(self) -> tuple[bool, int]:
        """Return whether a gang is blocked, and what idles beside work."""
        state = self.engine.state
        free = state.topology.free_accelerators()
        blocked = False
        idle = 0
        for _job_class, head in state.waiting.class_heads():
            job = self.engine.records[head].job
            if not 0 < job.accelerators <= free or state.over_quota(job):
                continue
            if self._adjacent(job):
                idle = max(idle, job.accelerators)
            else:
                blocked = True
        return blocked, idle

    def _adjacent(self, job: model.JobSpec) -> bool:
        need = amount.of_task(job)
        counts: dict[str, int] = {}
        for room in self.engine.topology.workers.values():
            if room.usable:
                group = placement.group_of(room.spec, job.within)
                count = counts.get(group, 0) + room.free.holds(need)
                if count >= job.tasks:
                    return True
                counts[group] = count
        return False
