"""Scheduling passes over the waiting jobs that events may help.

A pass does the work that is due with time, then tries the first job of
each ready class until the class is empty or blocked. It may be split
into slices. A class that is woken again after the pass has tried it
waits for the next pass, so classes late in the queue have their turn.
"""

from __future__ import annotations

from collections import abc
import math

from knapweedwharf.core import amount
from knapweedwharf.core import borrowers
from knapweedwharf.core import constraint
from knapweedwharf.core import explain
from knapweedwharf.core import model
from knapweedwharf.core import order
from knapweedwharf.core import reclaim
from knapweedwharf.core import record as record_module
from knapweedwharf.core import reorder
from knapweedwharf.core import reservation
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology as topology_module
from knapweedwharf.core import victims
from knapweedwharf.core import waiting

PREEMPT_PAUSE_S = 0.25
"""Pause after a search for victims in vain; the shortest runs take about as
long."""

PREEMPT_PAUSE_SHARE = 0.1
"""The same as a share of the wait, for jobs that waited long."""

HEADROOM_SHARE = 0.8
"""Share of its objective; a job that would end later ignores headroom."""

_DONE = object()


class Scheduler:
    """Starts waiting jobs by the configured policy."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self.reclaim = reclaim.Reclaim(state)
        self.reserve = reservation.Reserve(state)
        self._reorder = reorder.Reorder(state)
        self._settled = False
        self._timed_work_due = False
        self._timed_work: abc.Iterator[None] | None = None
        self._preempt_at_s: dict[str, float] = {}
        self._must_start_s: dict[str, float] = {}
        self._has_begun = False
        self._tried: set[waiting.ClassKey] = set()
        self._heads: abc.Iterator[str] = iter(())
        self._changes_seen = -1

    @property
    def is_due(self) -> bool:
        """Whether a pass has anything to do."""
        state = self._state
        return bool(
            state.waiting.has_ready
            or state.claims.ready
            or state.topology.freed
            or self._timed_work_due
            or self._timed_work is not None
            or self._next_overdue() is not None
        )

    def tick(self) -> None:
        """Update what changes with time alone."""
        state = self._state
        state.waiting.queue_due(state.now_s)
        if state.configuration.policy.headroom_deviations >= 0:
            state.sample_headroom()
        if state.policy.holds:
            # The end of a reservation frees nothing, but lets others use it.
            state.waiting.wake_all()
        if state.settled and not self._settled:
            self._settled = True
            state.ledger.repair()
            state.waiting.wake_all()
        self._preempt_at_s = {
            job_id: at_s
            for job_id, at_s in self._preempt_at_s.items()
            if at_s > state.now_s
        }
        self._timed_work_due = True

    def _do_timed_work(self) -> abc.Iterator[None]:
        """Update the queue's order and the reservations, step by step."""
        state = self._state
        if state.configuration.policy.late_factor:
            yield from self._reorder.run()
        if state.policy.reserves:
            yield from self.reserve.tick()

    def run(self, tries: int | None = None) -> None:
        """Start the jobs that fit now.

        :param tries: most jobs or steps of timed work to try before the
            call returns; the next call continues. None runs a whole
            pass.
        """
        left = math.inf if tries is None else tries
        # Claimed capacity stays idle until its job starts.
        self._start_claims()
        left = self._start_overdue(left)
        if tries is None or not self._has_begun:
            self._begin_pass()
        while self._timed_work is not None:
            if not left:
                return
            if next(self._timed_work, _DONE) is _DONE:
                self._timed_work = None
            else:
                left -= 1
        self._start_jobs(left)

    def _next_overdue(self) -> str | None:
        """Return the waiting job that must have started longest ago."""
        due = (
            (at_s, job_id)
            for job_id, at_s in self._must_start_s.items()
            if at_s <= self._state.now_s
        )
        return min(due, default=(0.0, None))[1]

    def _start_overdue(self, left: float) -> float:
        """Try the jobs that must start by now; a long pass would delay them.

        :param left: most jobs to try; returns how many are left of it.
        """
        while left and (job_id := self._next_overdue()) is not None:
            del self._must_start_s[job_id]
            # A job that was delayed meanwhile has a place in a later pass.
            if not self._state.waiting.is_queued(job_id):
                continue
            left -= 1
            self._changes_seen = -1
            self._try_job(self._state.records[job_id])
        return left

    def _begin_pass(self) -> None:
        self._has_begun = True
        self._tried.clear()
        self._changes_seen = -1
        if self._timed_work_due and self._timed_work is None:
            self._timed_work_due = False
            self._timed_work = self._do_timed_work()

    def _start_jobs(self, left: float) -> None:
        state = self._state
        self._start_claims()
        if state.topology.freed:
            if state.policy.reserves:
                self.reserve.start_ready(list(state.topology.freed))
                self._start_claims()
            self._wake_freed()
        if self._changes_seen != state.waiting.changes:
            self._changes_seen = state.waiting.changes
            self._heads = state.waiting.ready_heads(self._tried)
        for job_id in self._heads:
            if not left:
                return
            left -= 1
            self._try_class(job_id)
        self._has_begun = False

    def _try_class(self, job_id: str) -> None:
        """Try the first job of a class, once in a pass if it can't start."""
        waiting_jobs = self._state.waiting
        class_key = waiting_jobs.class_of(job_id)
        # If the job breaks this slice, the next one tries other classes.
        self._tried.add(class_key)
        try:
            self._try_job(self._state.records[job_id])
        except Exception:
            self._changes_seen = -1
            raise
        if job_id not in waiting_jobs:
            self._tried.discard(class_key)

    def _wake_freed(self) -> None:
        state = self._state
        room = amount.NOTHING
        for worker_id in state.topology.freed:
            worker = state.topology.workers.get(worker_id)
            if worker is None or not worker.usable:
                continue
            here = borrowers.usable_room(worker)
            room = amount.Amount(
                max(room.accelerators, here.accelerators),
                max(room.cores, here.cores),
                max(room.memory_mib, here.memory_mib),
            )
        state.topology.freed.clear()
        state.waiting.wake_room(room)

    def _start_claims(self) -> None:
        state = self._state
        for job_id in list(state.claims.ready):
            claim = state.claims.drop(job_id)
            record = state.records[job_id]
            need = amount.of_task(claim.job)
            rooms = state.topology.workers
            avoid = state.suspects.beside(
                claim.job, state.job_of_attempt, state.now_s
            )
            if not state.eligibility.violated(claim.job, claim.tasks) and all(
                worker_id in rooms
                and worker_id not in avoid
                and rooms[worker_id].usable
                and rooms[worker_id].free.covers(need.times(count))
                for worker_id, count in claim.tasks.items()
            ):
                share = [(rooms[w], n) for w, n in claim.tasks.items()]
                name = claim.reason.guarantee
                text = "The capacity that the job claimed is free."
                reason = state.reason("placed", text, guarantee=name)
                state.start(record, share, reason)
                continue
            state.ledger.leave(job_id)
            state.enqueue(record)
            state.waiting.wake_account(record.job.account)

    def _try_job(self, record: record_module.JobRecord) -> None:
        state = self._state
        job = record.job
        if state.policy.preempts and self.reclaim.attempt(record):
            self._start_claims()
            return
        if state.over_quota(job):
            text = explain.over_quota(state, job)
            self._block(record, state.reason("over-quota", text))
            return
        if self._start_on_probation(record):
            return
        if not self._leaves_headroom(job):
            text = "The job can wait; this room is kept for higher precedence."
            self._block(record, state.reason("room-kept", text))
            return
        share = state.search(job)
        if share is not None:
            text = "Free capacity was found; the job borrows it."
            state.start(record, share, state.reason("placed", text))
            return
        if self._preempt_for_urgent(record):
            return
        text = explain.no_room(state, job)
        self._block(record, state.reason("no-room", text))

    def _leaves_headroom(self, job: model.JobSpec) -> bool:
        """Tell whether a job may start without using up the headroom.

        A job that would otherwise be late may use the headroom.
        """
        state = self._state
        policy = state.configuration.policy
        if policy.headroom_deviations < 0 or job.rank or not job.accelerators:
            return True
        if state.is_half_free():
            return True
        if state.now_s - job.submitted_s >= policy.headroom_patience_s:
            return True
        kept = state.headroom.required(policy.headroom_deviations)
        if state.topology.open_accelerators - job.accelerators >= kept:
            return True
        run_s = state.estimates.run_s(job)
        ends_s = order.completion_s(job, run_s, state.now_s)
        return ends_s >= HEADROOM_SHARE * state.order.likely_objective_s(job)

    def _block(
        self, record: record_module.JobRecord, reason: model.Reason
    ) -> None:
        record.note(reason)
        self._state.waiting.block(record.job.job_id, reason)
        self._note_must_start(record.job)

    def _note_must_start(self, job: model.JobSpec) -> None:
        """Remember when to try a job again that may preempt by then.

        That happens once, as overdue jobs could else take all steps.
        """
        at_s = job.submitted_s + job.start_within_s
        if job.rank and job.start_within_s and at_s > self._state.now_s:
            self._must_start_s[job.job_id] = at_s

    def _preempt_for_urgent(self, record: record_module.JobRecord) -> bool:
        state = self._state
        job = record.job
        if not job.rank or not state.policy.preempts:
            return False
        if not state.settled:
            return False
        waited_s = state.now_s - job.submitted_s
        if waited_s < state.configuration.policy.urgent_patience_s:
            return False
        if state.now_s < self._preempt_at_s.get(job.job_id, 0.0):
            return False
        near = constraint.near_variant(state.topology, job)
        choice = None
        for variant in (near, job):
            if variant is None or choice is not None:
                continue
            choice = reservation.cheapest_victims(
                state,
                variant,
                allowed=borrowers.any_victim,
                capacity_on=borrowers.usable_room,
                below_rank=job.rank,
            )
        if choice is None or not self._is_loss_acceptable(job, choice):
            self._pause_preemption(job)
            return False
        why = "Urgent work goes before borrowed work."
        borrowers.claim_room(state, record, choice, why=why)
        self._start_claims()
        return True

    def _pause_preemption(self, job: model.JobSpec) -> None:
        """Let a job wait before its next search for victims.

        The costs of running work hardly change between two events. Once
        the job must start, they no longer matter, so the pause ends.
        """
        now_s = self._state.now_s
        waited_s = now_s - job.submitted_s
        pause_s = max(PREEMPT_PAUSE_S, PREEMPT_PAUSE_SHARE * waited_s)
        at_s = now_s + pause_s
        if waited_s < job.start_within_s:
            at_s = min(at_s, job.submitted_s + job.start_within_s)
        self._preempt_at_s[job.job_id] = at_s

    def _is_loss_acceptable(
        self, job: model.JobSpec, choice: victims.Choice
    ) -> bool:
        """Tell whether the work lost by preemption is within the limit."""
        state = self._state
        limit = state.configuration.policy.most_lost_runs
        if limit and state.is_on_time(job):
            limit = max(limit, state.configuration.policy.most_lost_on_time)
        waited_s = state.now_s - job.submitted_s
        must_start = job.start_within_s and waited_s >= job.start_within_s
        if not limit or must_start:
            return True
        policy = state.configuration.policy
        own_s = state.estimates.run_s(job) * model.weight_of(job, policy)
        return choice.cost[0] <= limit * own_s

    def _start_on_probation(self, record: record_module.JobRecord) -> bool:
        state = self._state
        job = record.job
        if job.tasks > 1 or job.urgency == model.URGENT or job.is_suspect:
            return False
        if not state.quarantine.probation:
            return False
        need = amount.of_task(job)
        avoid = state.avoided(job)
        for worker_id in state.quarantine.probation:
            room = state.topology.workers.get(worker_id)
            if room is None or room.exclusions != {topology_module.QUARANTINE}:
                continue
            if worker_id in avoid:
                continue
            allowed = state.quarantine.tasks_allowed(worker_id)
            if len(room.occupants) < allowed and room.free.covers(need):
                text = f"Tries worker {worker_id} after its quarantine."
                reason = state.reason("placed", text)
                state.start(record, [(room, 1)], reason)
                return True
        return False
