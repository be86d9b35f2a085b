"""Handling of events about workers and of configuration changes."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import amount
from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import ledger
from knapweedwharf.core import lifecycle
from knapweedwharf.core import model
from knapweedwharf.core import quarantine as quarantine_module
from knapweedwharf.core import record as record_module
from knapweedwharf.core import speed_evidence
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology as topology_module

Stays = abc.Callable[[record_module.JobRecord], bool]
"""Returns whether a job's attempt may stay on its workers."""

STILL_PERCENTS = 3.0
"""A run is stalled if it takes longer than it took for so many percents;
single reports are late by up to one of them."""

MAX_STILL_FACTOR = 3.0
"""Most that this prolongs the usual limit, as an outage of the reports makes
a run look slow as well."""


def _nothing_stays(_record: record_module.JobRecord) -> bool:
    return False


class Hardware:
    """Applies events about workers, and configurations, to the state."""

    def __init__(
        self, state: state_module.State, jobs: lifecycle.Lifecycle
    ) -> None:
        self._state = state
        self._lifecycle = jobs
        self._was_complete = False
        self._suspended: dict[ledger.UnitKey, None] = {}
        self._stalled_since_s: dict[str, float] = {}
        self._speed_evidence = speed_evidence.SpeedEvidence(state)

    def check_complete(self) -> None:
        """Check waiting jobs again once every worker is known."""
        complete = self._state.topology.complete
        if complete and not self._was_complete:
            self._lifecycle.recheck_feasibility()
            self._state.waiting.wake_all()
        self._was_complete = complete

    def configure(self, configuration: model.Configuration) -> None:
        """Put a configuration in force."""
        state = self._state
        reorder = state.configuration.policy != configuration.policy
        state.configuration = configuration
        self._lifecycle.feasibility.configure()
        expelled = state.ledger.configure(
            guarantee
            for guarantee in configuration.guarantees.values()
            if guarantee.data_centre == state.data_centre
        )
        self._lifecycle.make_borrowers(expelled)
        self._lifecycle.restore_guarantees()
        if reorder:
            for job_id in state.waiting.job_ids():
                state.waiting.discard(job_id)
                state.enqueue(state.records[job_id])
        for account in list(state.holding):
            self._lifecycle.promote(account)
        self._lifecycle.recheck_feasibility()
        state.waiting.wake_all()

    def sealed(self, spec: model.WorkerSpec) -> None:
        """Add a worker, or use it again."""
        state = self._state
        known = state.topology.workers.get(spec.worker_id)
        if known is not None and known.spec != spec:
            self._withdraw(spec.worker_id)
        if known is None or known.spec != spec:
            state.ledger.worker_resized(spec)
        state.topology.add(spec)
        self._speed_evidence.apply(spec.worker_id)
        self._requeue_excess(spec.worker_id)
        self._sync_cells(spec.worker_id)
        self._lifecycle.restore_guarantees()
        if known is None or known.spec != spec:
            self._lifecycle.feasibility.hardware_changed()

    def _requeue_excess(self, worker_id: str) -> None:
        """Stop starts that no longer fit a worker, the newest first.

        What runs already stays.
        """
        state = self._state
        free = state.topology.workers[worker_id].free
        text = f"Worker {worker_id} has less capacity now."
        for attempt_id in reversed(state.topology.attempts_on(worker_id)):
            missing = free.shortfall()
            record = state.job_of_attempt(attempt_id)
            if record is None or record.state != record_module.STARTING:
                continue
            taken = state.topology.taken_by(attempt_id)[worker_id]
            if missing.least(taken) != amount.NOTHING:
                free = free + taken
                reason = state.reason("worker-shrunk", text)
                state.stop(record, "requeue", reason)

    def exclude(self, worker_id: str, why: str) -> None:
        """Place no new work on a worker."""
        self._state.topology.exclude(worker_id, why)
        self._sync_cells(worker_id)

    def leaving(self, happened: event.WorkerLeaving) -> None:
        """Move work away from a worker that is about to leave."""
        state = self._state
        worker_id, remaining_s = happened.worker_id, happened.remaining_s
        self.exclude(worker_id, topology_module.LEAVING)
        text = f"Worker {worker_id} is about to leave."
        until_s = state.now_s + remaining_s

        def stays(record: record_module.JobRecord) -> bool:
            if remaining_s and state.expected_end_s(record) <= until_s:
                return True
            return happened.keeps_lasting and record.job.is_lasting

        self._requeue_on(worker_id, "worker-leaving", text, stays=stays)

    def record_progress(self, happened: event.ProgressSeen) -> None:
        """Record the progress of attempts; act on those that are stalled."""
        state = self._state
        for attempt_id, share in happened.shares:
            state.progress.record(attempt_id, share, state.now_s)
            self._speed_evidence.progressed(attempt_id)
        stalled = [a for a, _share in happened.shares if self._is_stalled(a)]
        worker_id = happened.worker_id
        if any(self._runs_only_on(a, worker_id) for a in stalled):
            self._mark_stalled(worker_id)
        elif not stalled:
            self._clear_stalled(worker_id, "Work on it makes progress again.")
        for attempt_id in stalled:
            self._restart_if_cheap(attempt_id)

    def _is_stalled(self, attempt_id: str) -> bool:
        state = self._state
        record = state.job_of_attempt(attempt_id)
        if record is None or record.state != record_module.RUNNING:
            return False
        limit_s = state.configuration.policy.still_s
        if not limit_s or record.job.is_lasting:
            return False
        # Reports are whole percents, which take a slow run longer.
        percent_s = state.progress.percent_s(attempt_id)
        slow_s = min(STILL_PERCENTS * percent_s, MAX_STILL_FACTOR * limit_s)
        limit_s = max(limit_s, slow_s)
        return state.progress.stalled_s(attempt_id) >= limit_s

    def _runs_only_on(self, attempt_id: str, worker_id: str) -> bool:
        """Tell whether an attempt runs on this worker only.

        If one worker of a gang stalls, the gang stalls on all of them,
        so a gang does not show which worker is at fault.
        """
        places = self._state.topology.places_of(attempt_id)
        return all(place.worker_id == worker_id for place in places)

    def _mark_stalled(self, worker_id: str) -> None:
        state = self._state
        room = state.topology.workers.get(worker_id)
        if room is None or topology_module.STILL in room.exclusions:
            return
        state.topology.exclude(worker_id, topology_module.STILL)
        self._stalled_since_s[worker_id] = state.now_s
        text = "Work on it makes no progress."
        self._report_standing(worker_id, "still", text)

    def _clear_stalled(self, worker_id: str, text: str) -> None:
        if self._stalled_since_s.pop(worker_id, None) is None:
            return
        self._state.topology.lift_exclusion(worker_id, topology_module.STILL)
        self._report_standing(worker_id, "trusted", text)

    def _restart_if_cheap(self, attempt_id: str) -> None:
        """Restart stalled work elsewhere once that costs no more than waiting.

        It is stopped once it has stalled for as long as the run time
        that a stop would lose. As for any ski-rental problem, this
        loses at most twice as much as the best choice in hindsight.
        """
        state = self._state
        record = state.job_of_attempt(attempt_id)
        stalled_s = state.progress.stalled_s(attempt_id)
        lost_s = state.estimates.lost_s(
            record.job,
            max(0.0, state.now_s - record.started_s - stalled_s),
            restart_s=state.configuration.policy.restart_s,
        )
        if lost_s > stalled_s:
            return
        text = f"It made no progress for {stalled_s:.1f} s."
        state.stop(record, "requeue", state.reason("no-progress", text))

    def gone(self, worker_id: str) -> None:
        """Remove a worker; its gangs start again elsewhere."""
        text = f"Worker {worker_id} is gone."
        self._requeue_on(worker_id, "worker-lost", text)
        self._withdraw(worker_id)
        self._state.topology.remove(worker_id)
        self._state.speeds.forget(worker_id)
        self._stalled_since_s.pop(worker_id, None)
        self._state.quarantine.forget_worker(worker_id)
        self._lifecycle.recheck_feasibility()

    def restarted(self, worker_id: str) -> None:
        """Forget the speed of a worker that has begun another life."""
        self._state.speeds.forget(worker_id)
        self._speed_evidence.apply(worker_id)

    def warming(self, worker_id: str, until_s: float) -> None:
        """Count a worker as slow for a while."""
        self._state.speeds.set_warming(worker_id, until_s)
        self._speed_evidence.apply(worker_id)

    def start_refused(self, worker_id: str, attempt_id: str) -> None:
        """Put a worker that refused a start in back-off."""
        state = self._state
        if worker_id not in state.topology.workers:
            return
        pause_s = state.quarantine.record_refusal(
            worker_id,
            placed_s=state.placed_s.get(attempt_id, 0.0),
            now_s=state.now_s,
            workers=len(state.topology.workers),
        )
        if pause_s:
            state.topology.exclude(worker_id, topology_module.REFUSED)
            text = f"It refused a start; it gets no other for {pause_s:.0f} s."
            self._report_standing(worker_id, "backing-off", text)

    def record_outcome(self, happened: event.TaskEnded) -> None:
        """Record the end of a task in its worker's failure history."""
        state = self._state
        worker_id = happened.worker_id
        if happened.lapsed or worker_id not in state.topology.workers:
            return
        record = state.job_of_attempt(happened.attempt_id)
        if happened.succeeded:
            self._speed_evidence.finished(record)
            if state.quarantine.record_success(worker_id, record.job):
                state.topology.lift_exclusion(
                    worker_id, topology_module.QUARANTINE
                )
                self._sync_cells(worker_id)
                self._report_standing(
                    worker_id, "trusted", "Its probation has ended."
                )
            return
        policy = state.configuration.policy
        verdict = state.quarantine.record_failure(
            worker_id,
            record.job,
            policy,
            accounts=len(state.holding),
            now_s=state.now_s,
        )
        if verdict == quarantine_module.JOB_AT_FAULT:
            self._end_back_offs()
            return
        if verdict == quarantine_module.QUARANTINE and (
            state.quarantine.may_quarantine(
                worker_id,
                workers=len(state.topology.workers),
                share=policy.quarantine_share,
            )
        ):
            self._quarantine(worker_id, policy)
        else:
            self._back_off_failing(worker_id)

    def tick(self) -> None:
        """End quarantines and back-offs whose time is over."""
        state = self._state
        for worker_id in state.quarantine.end_quarantines(state.now_s):
            self._report_standing(
                worker_id,
                "probation",
                "Its quarantine has ended; it may run one task at first.",
            )
            state.waiting.wake_all()
        self._end_back_offs()
        self._speed_evidence.tick()
        oldest_s = state.now_s - state.configuration.policy.quarantine_s
        for worker_id, since_s in list(self._stalled_since_s.items()):
            if since_s < oldest_s:
                self._clear_stalled(worker_id, "Its exclusion timed out.")

    def report_guarantee_changes(self) -> None:
        """Add decisions about guarantees that were suspended or restored."""
        state = self._state
        changed, state.ledger.changed = state.ledger.changed, {}
        for key in changed:
            unit = state.ledger.units.get(key)
            if unit is None:
                self._suspended.pop(key, None)
                continue
            met = bool(unit.cell)
            if met == (key not in self._suspended):
                continue
            if met:
                del self._suspended[key]
            else:
                self._suspended[key] = None
            self._report_guarantee(unit, met=met)

    def _report_guarantee(self, unit: ledger.Unit, *, met: bool) -> None:
        state = self._state
        name = unit.guarantee.name
        text = f"Unit {unit.number} of {name} can be reclaimed again."
        if not met:
            text = (
                f"Unit {unit.number} of {name} is suspended: the usable "
                "hardware cannot hold every unit. Units in use keep their "
                "cells; then first units go before second ones, and small "
                "ones before large ones."
            )
        code = "guarantee-met" if met else "guarantee-suspended"
        state.decisions.append(
            decision.GuaranteeChanged(
                guarantee=name,
                unit=unit.number,
                met=met,
                reason=state.reason(code, text, guarantee=name),
            )
        )
        account = unit.guarantee.account
        state.waiting.wake_account(account)
        for job_id in state.waiting.jobs_of(account):
            record = state.records[job_id]
            record.note(state.reason(code, text, guarantee=name))

    def _quarantine(self, worker_id: str, policy: model.PolicySpec) -> None:
        state = self._state
        until_s = state.quarantine.begin(
            worker_id, now_s=state.now_s, length_s=policy.quarantine_s
        )
        state.topology.exclude(worker_id, topology_module.QUARANTINE)
        self._sync_cells(worker_id)
        text = f"Jobs failed on it; quarantined until {until_s:.0f} s."
        self._report_standing(worker_id, "quarantined", text)

    def _back_off_failing(self, worker_id: str) -> None:
        """Place nothing on a worker on which a task failed, for a while."""
        state = self._state
        if state.quarantine.back_off(
            worker_id, now_s=state.now_s, workers=len(state.topology.workers)
        ):
            state.topology.exclude(worker_id, topology_module.REFUSED)
        self._end_back_offs()

    def _end_back_offs(self) -> None:
        state = self._state
        for worker_id in state.quarantine.end_back_offs(state.now_s):
            state.topology.lift_exclusion(worker_id, topology_module.REFUSED)

    def _report_standing(
        self, worker_id: str, standing: str, text: str
    ) -> None:
        state = self._state
        state.decisions.append(
            decision.WorkerChanged(
                worker_id=worker_id,
                standing=standing,
                reason=state.reason(f"worker-{standing}", text),
            )
        )

    def _sync_cells(self, worker_id: str) -> None:
        """Let cells use a worker exactly while new work may be placed on it.

        ``SHORT_EXCLUSIONS`` are too short to move cells for.
        """
        state = self._state
        room = state.topology.workers.get(worker_id)
        if (
            room is not None
            and room.exclusions <= topology_module.SHORT_EXCLUSIONS
        ):
            state.ledger.worker_usable(room.spec)
            state.ledger.repair(repack=state.settled)
        else:
            self._withdraw(worker_id)

    def _withdraw(self, worker_id: str) -> None:
        state = self._state
        state.ledger.worker_unusable(worker_id)
        for job_id in state.claims.on_worker(worker_id):
            state.drop_claim(job_id)
            state.enqueue(state.records[job_id])
        for job_id in state.reservations.on_worker(worker_id):
            state.reservations.drop(job_id)

    def _requeue_on(
        self,
        worker_id: str,
        code: str,
        text: str,
        *,
        stays: Stays = _nothing_stays,
    ) -> None:
        state = self._state
        for attempt_id in state.topology.attempts_on(worker_id):
            record = state.job_of_attempt(attempt_id)
            if record is None or record.state == record_module.STOPPING:
                continue
            if not stays(record):
                state.stop(record, "requeue", state.reason(code, text))
