"""Replays a workload on the scheduling engine with a simulated clock."""

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

START_DELAY_S = 0.5
STOP_DELAY_S = 3.0
TICK_INTERVAL_S = 2.0
RESTORE_S = 20.0
FAILED_CHECKPOINT_SHARE = 0.05
FAILURE_DELAY_S = 20.0
FAILURES_FROM, FAILURES_UNTIL = 0.4, 0.5
"""Shares of the duration between which all tasks on the failing worker
fail."""


@dataclasses.dataclass
class JobProgress:
    """Progress of one job.

    :ivar saved_s: run time that its last checkpoint covers.
    """

    arrival: _workload.Arrival
    saved_s: float = 0.0
    started_s: float = 0.0
    ended_s: float = 0.0
    first_started_s: float = 0.0


@dataclasses.dataclass
class Totals:
    """Sums over one replay.

    :ivar blocked_s: time in which enough accelerators were free for a
        waiting job, but not within its placement scope.
    :ivar idle_s: accelerator-seconds idle although a waiting job could
        have started on them.
    :ivar lost_s: accelerator-seconds of work lost to preemption.
    """

    blocked_s: float = 0.0
    idle_s: float = 0.0
    lost_s: float = 0.0
    preemptions: int = 0
    decisions: int = 0
    events: int = 0


class Replay:
    """Replay of one workload under one placement policy."""

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
        self.jobs: dict[str, JobProgress] = {}
        self.engine = engine_module.Engine(
            data_centre=workload.data_centre,
            attempt_prefix="bench",
            policy=policy,
        )
        self._rng = random.Random(seed)
        self._event_numbers = itertools.count()
        self._event_queue: list[tuple[float, int, typing.Any]] = []
        self._now_s = 0.0
        self._ticking = False
        self._unused_is_stale = True
        self._is_blocked, self._idle_accelerators = False, 0
        configuration = workload.configuration
        if weight is not None:
            rule = dataclasses.replace(
                configuration.policy, fragmentation_weight=weight
            )
            configuration = dataclasses.replace(configuration, policy=rule)
        self._send_event(event.ConfigurationChanged(configuration))
        for worker in workload.workers:
            self._send_event(event.WorkerSealed(worker))
        self.engine.topology.complete = True

    def run(self) -> Replay:
        """Replay all arrivals and return this object."""
        for arrival in self.workload.arrivals:
            job = arrival.job
            self.jobs[job.job_id] = JobProgress(arrival)
            self._schedule(job.submitted_s, event.JobSubmitted(job))
            if arrival.cancel_after_s:
                at_s = job.submitted_s + arrival.cancel_after_s
                self._schedule(at_s, event.JobCancelled(job.job_id))
        end_s = self.workload.duration_s
        while self._event_queue and self._now_s < 2 * end_s:
            at_s, _number, next_event = heapq.heappop(self._event_queue)
            self._add_unused(at_s - self._now_s)
            self._now_s = at_s
            self._send_event(next_event)
            self._schedule_tick(next_event)
        return self

    def _schedule(self, at_s: float, next_event: typing.Any) -> None:
        heapq.heappush(
            self._event_queue, (at_s, next(self._event_numbers), next_event)
        )

    def _schedule_tick(self, next_event: typing.Any) -> None:
        if isinstance(next_event, event.Tick):
            self._ticking = False
        state = self.engine.state
        busy = len(state.waiting) or state.quarantine.busy
        if busy and not self._ticking:
            self._ticking = True
            self._schedule(self._now_s + TICK_INTERVAL_S, event.Tick())

    def _send_event(self, next_event: event.Event) -> None:
        if isinstance(next_event, event.GangStarted):
            self._run_gang(next_event)
        if isinstance(next_event, event.TaskEnded) and next_event.succeeded:
            self._record_end(next_event)
        decisions = self.engine.handle(next_event, now_s=self._now_s)
        self.totals.events += 1
        self.totals.decisions += len(decisions)
        self._unused_is_stale |= bool(decisions) or not isinstance(
            next_event, event.Tick
        )
        for action in decisions:
            if isinstance(action, decision.StartGang):
                started = event.GangStarted(action.attempt_id)
                self._schedule(self._now_s + START_DELAY_S, started)
            elif isinstance(action, decision.StopGang):
                self._stop(action)

    def _run_gang(self, started: event.GangStarted) -> None:
        record = self.engine.job_of_attempt(started.attempt_id)
        if record is None or record.state != "starting":
            return
        progress = self.jobs[record.job.job_id]
        progress.started_s = self._now_s
        progress.first_started_s = progress.first_started_s or self._now_s
        failing_place = self._find_failing_place(record)
        if failing_place is not None:
            self._schedule(
                self._now_s + FAILURE_DELAY_S,
                event.TaskEnded(
                    started.attempt_id,
                    failing_place.task_index,
                    failing_place.worker_id,
                    False,
                    "exit 1",
                ),
            )
            return
        remaining_s = progress.arrival.run_s - progress.saved_s
        if progress.saved_s:
            remaining_s += RESTORE_S
        for place in record.assignments:
            self._schedule(
                self._now_s + remaining_s,
                event.TaskEnded(
                    started.attempt_id,
                    place.task_index,
                    place.worker_id,
                    True,
                    "",
                ),
            )

    def _find_failing_place(self, record) -> model.Assignment | None:
        """Return the assignment of the task that will fail, if any."""
        if self.jobs[record.job.job_id].arrival.always_fails:
            return record.assignments[0]
        duration_s = self.workload.duration_s
        if not FAILURES_FROM < self._now_s / duration_s < FAILURES_UNTIL:
            return None
        for place in record.assignments:
            if place.worker_id == self.workload.failing_worker_id:
                return place
        return None

    def _record_end(self, ended: event.TaskEnded) -> None:
        record = self.engine.job_of_attempt(ended.attempt_id)
        if record is not None and record.state in ("running", "stopping"):
            self.jobs[record.job.job_id].ended_s = self._now_s

    def _stop(self, stop: decision.StopGang) -> None:
        progress = self.jobs[stop.job_id]
        record = self.engine.records[stop.job_id]
        saved = self._rng.random() >= FAILED_CHECKPOINT_SHARE
        if stop.reason.code == "preempted":
            self.totals.preemptions += 1
            self._record_checkpoint(progress, record, saved)
        self._schedule(
            self._now_s + STOP_DELAY_S,
            event.GangStopped(stop.attempt_id, saved),
        )

    def _record_checkpoint(
        self, progress: JobProgress, record, saved: bool
    ) -> None:
        if not record.started_s or progress.started_s < record.started_s:
            return
        ran_s = self._now_s - progress.started_s
        accelerators = record.job.accelerators
        if saved:
            progress.saved_s += max(0.0, ran_s - RESTORE_S)
            progress.saved_s = min(progress.saved_s, progress.arrival.run_s)
            self.totals.lost_s += accelerators * min(RESTORE_S, ran_s)
        else:
            self.totals.lost_s += accelerators * ran_s

    # Accounting

    def _add_unused(self, elapsed_s: float) -> None:
        """Add blocked and idle time since the last event to the totals."""
        if elapsed_s <= 0 or self._now_s > self.workload.duration_s:
            return
        if self._unused_is_stale:
            self._is_blocked, self._idle_accelerators = self._find_unused()
            self._unused_is_stale = False
        self.totals.blocked_s += elapsed_s * self._is_blocked
        self.totals.idle_s += elapsed_s * self._idle_accelerators

    def _find_unused(self) -> tuple[bool, int]:
        """Return whether fragmentation blocks a waiting job, and how many
        accelerators are idle although a waiting job fits.
        """
        state = self.engine.state
        free = state.topology.free_accelerators()
        blocked = False
        idle = 0
        for _job_class, head in state.waiting.class_heads():
            job = self.engine.records[head].job
            if not 0 < job.accelerators <= free or state.over_quota(job):
                continue
            if self._fits(job):
                idle = max(idle, job.accelerators)
            else:
                blocked = True
        return blocked, idle

    def _fits(self, job: model.JobSpec) -> bool:
        task_amount = amount.of_task(job)
        counts: dict[str, int] = {}
        for worker in self.engine.topology.workers.values():
            if worker.usable:
                group = placement.group_of(worker.spec, job.within)
                count = counts.get(group, 0) + worker.free.holds(task_amount)
                if count >= job.tasks:
                    return True
                counts[group] = count
        return False
