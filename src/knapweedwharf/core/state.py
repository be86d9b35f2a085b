"""State shared by the parts of the engine: records, capacity, decisions."""

from __future__ import annotations

import math

from knapweedwharf.charts import chart
from knapweedwharf.core import amount
from knapweedwharf.core import claim
from knapweedwharf.core import constraint
from knapweedwharf.core import decision
from knapweedwharf.core import eligibility
from knapweedwharf.core import estimate
from knapweedwharf.core import headroom
from knapweedwharf.core import ledger
from knapweedwharf.core import model
from knapweedwharf.core import order as order_module
from knapweedwharf.core import placement
from knapweedwharf.core import progress
from knapweedwharf.core import quarantine
from knapweedwharf.core import record as record_module
from knapweedwharf.core import speed
from knapweedwharf.core import speed_class
from knapweedwharf.core import suspects
from knapweedwharf.core import topology
from knapweedwharf.core import waiting


class State:
    """Scheduling state of one data centre.

    :ivar placed_s: when each attempt was placed.
    :ivar used: accelerators held by attempts, by account.
    :ivar approved: approved workers, by the approval's name.
    :ivar holding: jobs whose attempts hold capacity, by account.
    :ivar now_s: time of the current event.
    :ivar first_event_s: time of the first event.
    """

    def __init__(
        self, *, data_centre: str, attempt_prefix: str, policy: str
    ) -> None:
        self.data_centre = data_centre
        self.policy = placement.policy(policy)
        self.configuration = model.Configuration()
        self.chart = chart.load("job")
        self.records: dict[str, record_module.JobRecord] = {}
        self.by_attempt: dict[str, str] = {}
        self.topology = topology.Topology()
        self.ledger = ledger.Ledger(self.topology)
        self.waiting = waiting.Waiting()
        self.claims = claim.Claims(self.topology)
        self.reservations = claim.Reservations(self.topology)
        self.estimates = estimate.Estimates()
        self.order = order_module.Order(
            self.estimates, reserves=self.policy.reserves
        )
        self.speeds = speed.Speeds()
        self.progress = progress.Progress()
        self.headroom = headroom.Headroom()
        self.approved: dict[str, set[str]] = {}
        self.eligibility = eligibility.Eligibility(
            topology=self.topology,
            approved=self.approved,
            record_of=self.job_of_attempt,
        )
        self.quarantine = quarantine.Quarantine()
        self.placed_s: dict[str, float] = {}
        self.suspects = suspects.Suspects()
        self.used: dict[str, int] = {}
        self.holding: dict[str, dict[str, None]] = {}
        self.decisions: list[decision.Decision] = []
        self.now_s = 0.0
        self.first_event_s: float | None = None
        self._prefix = attempt_prefix
        self._counter = 0

    @property
    def settled(self) -> bool:
        """Whether enough workers are known for preemption to be allowed."""
        if self.topology.complete or self.first_event_s is None:
            return self.topology.complete
        settle_s = self.configuration.policy.settle_s
        return self.now_s - self.first_event_s >= settle_s

    def job_of_attempt(
        self, attempt_id: str
    ) -> record_module.JobRecord | None:
        """Return the record an attempt belongs to."""
        job_id = self.by_attempt.get(attempt_id)
        return self.records.get(job_id) if job_id else None

    # Reasons and state changes

    def reason(self, code: str, text: str, **links: str) -> model.Reason:
        """Return a reason with the current time and revision."""
        return model.Reason(
            code, text, self.now_s, self.configuration.revision, **links
        )

    def transition(
        self,
        record: record_module.JobRecord,
        chart_event: str,
        reason: model.Reason,
    ) -> None:
        """Apply an event of the job's state chart."""
        record.state = self.chart.step(record.state, chart_event)
        if record.state == record_module.QUEUED:
            record.requeued_s = self.now_s
        if record.state in self.chart.final:
            record.ended_s = self.now_s
            self.quarantine.forget_job(record.job.job_id)
        self.record_change(record, reason)

    def record_change(
        self, record: record_module.JobRecord, reason: model.Reason
    ) -> None:
        """Add a decision that the record has to be stored."""
        record.note(reason)
        self.decisions.append(
            decision.JobChanged(
                job_id=record.job.job_id, state=record.state, reason=reason
            )
        )

    # Waiting

    def enqueue(
        self, record: record_module.JobRecord, *, delay_s: float = 0.0
    ) -> None:
        """Put a job into the queue."""
        run_s = self.estimates.run_s(record.job)
        class_key = waiting.class_of(record.job, run_s)
        order = self.order_of(record.job, run_s)
        if delay_s:
            at_s = self.now_s + delay_s
            self.waiting.add_delayed(class_key, order, at_s=at_s)
            return
        job_class = self.waiting.add(class_key, order)
        if job_class.blocked is not None:
            record.note(job_class.blocked)

    def order_of(self, job: model.JobSpec, run_s: float) -> waiting.OrderKey:
        """Return a job's sort key in the queue."""
        policy = self.configuration.policy
        return self.order.key(job, run_s, policy=policy, now_s=self.now_s)

    def is_on_time(self, job: model.JobSpec) -> bool:
        """Tell whether a job meets its objective if it starts now."""
        return self.order.is_on_time(job, self.now_s)

    def sample_headroom(self) -> None:
        """Sample the use of work with precedence for the headroom."""
        memory_s = self.configuration.policy.headroom_memory_s
        self.headroom.sample(self.now_s, memory_s=memory_s)

    def is_half_free(self) -> bool:
        """Tell whether half the capacity is free; no headroom is kept then."""
        policy = self.configuration.policy
        return self.topology.is_half_free(policy.accelerator_cores)

    def search(self, job: model.JobSpec) -> placement.Share | None:
        """Find free workers, near its data or in one rack if preferred.

        A job accepts other workers once it has waited for those.
        """
        near = constraint.near_variant(self.topology, job)
        if near is not None:
            share = self._search(near, self.avoided(near, near=True))
            if share is not None or not self.is_impatient(job):
                return share
        return self._search(job, self.avoided(job))

    def is_impatient(self, job: model.JobSpec) -> bool:
        """Tell whether a job has waited long enough for preferred workers.

        Elsewhere a run occupies capacity for several times as long, so
        the job waits longer while capacity is scarce.
        """
        policy = self.configuration.policy
        patience_s = policy.near_patience_runs * self.estimates.run_s(job)
        if not self.is_half_free():
            patience_s = max(patience_s, policy.crowded_patience_s)
        if job.start_within_s:
            patience_s = min(patience_s, job.start_within_s)
        return self.now_s - job.submitted_s >= patience_s

    def _may_mix(self, job: model.JobSpec) -> bool:
        """Tell whether a job may now share workers with conflicting work."""
        after_s = self.configuration.policy.mixes_after_s
        return bool(after_s) and self.now_s - job.submitted_s >= after_s

    def avoided(
        self,
        job: model.JobSpec,
        *,
        near: bool = False,
        mixing: bool = False,
    ) -> set[str]:
        """Return the workers that a job may not be placed on.

        :param near: include workers outside the rack of its data.
        :param mixing: leave out workers that run conflicting work.
        """
        found = constraint.unsuitable(self.topology, job, self.job_of_attempt)
        found |= self.suspects.beside(job, self.job_of_attempt, self.now_s)
        if not mixing and not self._may_mix(job):
            found |= constraint.conflicting(
                self.topology, job, self.job_of_attempt
            )
        if job.approval:
            found.update(
                self.topology.workers.keys()
                - self.approved.get(job.approval, set())
            )
        if near and job.data_rack:
            found |= constraint.outside_data_rack(self.topology, job)
        if self.policy.holds:
            found |= self._reserved_for_others(job)
        return found

    def _reserved_for_others(self, job: model.JobSpec) -> set[str]:
        """Return workers on which a job would delay a reservation.

        Reservations of jobs behind it in the queue do not count.
        """
        run_s = self.estimates.run_s(job)
        need = amount.of_task(job)
        order = self.order_of(job, run_s)
        uneven = self.topology.is_uneven
        found: set[str] = set()
        for reservation in self.reservations.by_job.values():
            left_s = reservation.expected_s - self.now_s
            if reservation.job.job_id == job.job_id:
                continue
            if not uneven and run_s <= left_s:
                continue
            if order < self.order_of(
                reservation.job, self.estimates.run_s(reservation.job)
            ):
                continue
            for worker_id in reservation.tasks:
                if run_s <= left_s * self.speeds.of(worker_id, self.now_s):
                    continue
                room = self.topology.workers.get(worker_id)
                if room and not (room.open - room.reserved).covers(need):
                    found.add(worker_id)
        return found

    def _search(
        self, job: model.JobSpec, avoid: set[str]
    ) -> placement.Share | None:
        """Search workers that the job has not failed on.

        All workers are searched if the others could never run it.
        """
        failed_on = self.quarantine.failed_on(job.job_id)
        if failed_on:
            others = (
                room.spec
                for room in self.topology.workers.values()
                if room.spec.worker_id not in failed_on
                and room.spec.worker_id not in avoid
            )
            if placement.could_ever_fit(others, job):
                avoid = avoid.union(failed_on)
        return suspects.search(
            self.policy.search,
            self.topology,
            job,
            avoid,
            self.speed_order(job),
        )

    def speed_order(self, job: model.JobSpec) -> speed_class.Order:
        """Return the order in which a job should use slow and fast workers."""
        if not self.topology.is_uneven:
            return speed_class.SLOW_FIRST
        return speed_class.of_job(
            job,
            run_s=self.estimates.run_s(job),
            objective_s=self.order.likely_objective_s(job),
            late_factor=self.configuration.policy.late_factor,
            now_s=self.now_s,
        )

    # Attempts

    def start(
        self,
        record: record_module.JobRecord,
        share: placement.Share,
        reason: model.Reason,
    ) -> None:
        """Start a gang on the workers of a share.

        :raises ValueError: if that violates a constraint of the job.
        """
        job = record.job
        tasks = {room.spec.worker_id: count for room, count in share}
        violated = self.eligibility.violated(job, tasks)
        if violated:
            raise ValueError(f"{job.job_id} may not start: {violated}")
        self.waiting.discard(job.job_id)
        self.reservations.drop(job.job_id)
        self._counter += 1
        record.attempt_id = f"{self._prefix}-{self._counter}"
        record.attempts += 1
        record.assignments = placement.assign(share, job)
        record.ended_tasks = frozenset()
        unit = self.ledger.unit_of(job.job_id)
        record.guarantee = unit.guarantee.name if unit else ""
        record.unit = unit.number if unit else 0
        self.hold(record)
        self.placed_s[record.attempt_id] = self.now_s
        self.transition(record, "place", reason)
        self.decisions.append(
            decision.StartGang(
                job=job,
                attempt_id=record.attempt_id,
                assignments=record.assignments,
                reason=reason,
            )
        )

    def hold(self, record: record_module.JobRecord) -> None:
        """Account for the places of a record's attempt."""
        job = record.job
        self.by_attempt[record.attempt_id] = job.job_id
        places = [
            place
            for place in record.assignments
            if place.task_index not in record.ended_tasks
        ]
        self.topology.occupy(record.attempt_id, places)
        self.quarantine.record_start(job, places)
        self.suspects.update(record)
        self.used[job.account] = (
            self.used.get(job.account, 0) + job.accelerators
        )
        self.holding.setdefault(job.account, {})[job.job_id] = None
        if job.rank:
            self.headroom.in_use += job.accelerators

    def release(self, record: record_module.JobRecord) -> None:
        """Release everything that a record's attempt holds."""
        job = record.job
        self.topology.release(record.attempt_id)
        self.suspects.release(record.attempt_id)
        self.by_attempt.pop(record.attempt_id, None)
        self.placed_s.pop(record.attempt_id, None)
        self.used[job.account] -= job.accelerators
        if job.rank:
            self.headroom.in_use -= job.accelerators
        held = self.holding[job.account]
        del held[job.job_id]
        if not held:
            del self.holding[job.account]
            del self.used[job.account]
        self.claims.victim_gone(record.attempt_id)
        self.progress.forget(record.attempt_id)
        record.attempt_id = ""
        record.has_failed = False
        record.assignments = ()
        record.guarantee = ""
        record.unit = 0
        self.ledger.leave(job.job_id)
        self.waiting.wake_account(job.account)

    def stop(
        self,
        record: record_module.JobRecord,
        after: str,
        reason: model.Reason,
    ) -> None:
        """Stop an attempt; ``after`` is the chart event to apply then."""
        if not self.chart.allows(record.state, "stop"):
            return
        record.after_stop = after
        self.transition(record, "stop", reason)
        self.decisions.append(
            decision.StopGang(
                job_id=record.job.job_id,
                attempt_id=record.attempt_id,
                checkpoint=after == "requeue",
                reason=reason,
            )
        )

    def drop_claim(self, job_id: str) -> None:
        """Drop a claim and take its job out of its unit."""
        if self.claims.drop(job_id):
            self.ledger.leave(job_id)

    def expected_end_s(self, record: record_module.JobRecord) -> float:
        """Return when an attempt is expected to end, by progress if known."""
        if record.job.is_lasting:
            return math.inf
        left_s = self.progress.remaining_s(record.attempt_id, self.now_s)
        if left_s is not None:
            return self.now_s + left_s
        started_s = record.started_s
        if record.state == record_module.STARTING:
            started_s = self.now_s
        return self.estimates.end_s(
            record.job,
            started_s=started_s,
            now_s=self.now_s,
            speed=self._speed_of(record),
        )

    def learn_run_s(self, record: record_module.JobRecord) -> None:
        """Update the estimates with the run time of a job that ends now."""
        ran_s = self.now_s - record.started_s
        self.estimates.learn(record.job, ran_s * self._speed_of(record))

    def _speed_of(self, record: record_module.JobRecord) -> float:
        """Return the speed of an attempt, which is its slowest worker's."""
        worker_ids = (place.worker_id for place in record.assignments)
        return self.speeds.slowest(worker_ids, self.now_s)

    # Limits

    def over_quota(self, job: model.JobSpec) -> bool:
        """Tell whether a job would exceed its account's quota."""
        account = self.configuration.accounts.get(job.account)
        if account is None or not account.quota_accelerators:
            return False
        used = self.used.get(job.account, 0)
        return (
            job.accelerators > 0
            and used + job.accelerators > account.quota_accelerators
        )
