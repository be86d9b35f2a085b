"""Reservations with backfill, and preemption for jobs that wait long.

A gang that waited long reserves the capacity that is expected to be
free first. Other jobs may be backfilled into it; those that started
after the reservation are preempted once all earlier ones have ended, so
wrong estimates affect the choice of workers but leave no capacity idle.
If enough accelerators are free but fragmented, small borrowers are
preempted once the gang's wait outweighs the work they would lose.
"""

from __future__ import annotations

from collections import abc
import heapq
import itertools

from knapweedwharf.core import amount
from knapweedwharf.core import borrowers
from knapweedwharf.core import claim
from knapweedwharf.core import constraint
from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology as topology_module
from knapweedwharf.core import victims

MAX_RESERVATIONS = 4
GROUPS_TRIED = 64
PREEMPT_AFTER_S = 10.0
"""Wait before a job may preempt borrowers outside of guarantees."""

MIN_PREEMPTING_SLOWDOWN = 1.2

SLOWDOWN_ALLOWANCE = 2.0
DEFRAGMENT_ALLOWANCE = 4.0
"""Accelerator-seconds of work that a preemption may lose for each
accelerator-second that the job has waited."""

RETRY_WAIT_SHARE = 0.05
"""Pause before the next try of a preemption, as a share of the wait."""

RESERVATION_DEPTH = 4
"""Jobs at the head of the queue that may get a reservation."""

CapacityOn = abc.Callable[[topology_module.WorkerRoom], amount.Amount]


class Reserve:
    """Reserves capacity for gangs that wait long."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._retry_at_s: dict[str, float] = {}

    def tick(self) -> abc.Iterator[None]:
        """Renew late reservations, add new ones and preempt borrowers.

        Yields after each search. Jobs may start or end in between.
        """
        state = self._state
        for job_id, reservation in list(state.reservations.by_job.items()):
            if state.reservations.by_job.get(job_id) is not reservation:
                continue
            if reservation.expected_s < state.now_s or self._is_stale(
                reservation
            ):
                state.reservations.drop(job_id)
                self._reserve(reservation.job, made_s=reservation.made_s)
                yield
        self._retry_at_s = {
            job_id: at_s
            for job_id, at_s in self._retry_at_s.items()
            if at_s > state.now_s
        }
        if not state.policy.holds:
            for job_id in self._most_slowed_down():
                if job_id in state.waiting:
                    self._preempt_less_delayed(state.records[job_id])
                    yield
        for job_id in state.waiting.first(RESERVATION_DEPTH):
            if job_id not in state.waiting:
                continue
            job = state.records[job_id].job
            if state.over_quota(job):
                continue
            may_defragment = (
                not state.policy.holds and job_id not in self._retry_at_s
            )
            if may_defragment and self._defragment(job):
                yield
            elif not self._needs_no_reservation(job):
                self._reserve(job, made_s=state.now_s)
                yield

    def _is_stale(self, reservation: claim.Reservation) -> bool:
        """Tell whether a reservation is due for a new choice of workers.

        Reported progress may show other workers that are free earlier.
        Capacity that is already free counts for its present workers.
        """
        renew_s = self._state.configuration.policy.renew_reserved_s
        return (
            bool(renew_s)
            and self._state.now_s - reservation.chosen_s >= renew_s
        )

    def start_ready(self, freed: abc.Iterable[str]) -> None:
        """Claim reservations that only later attempts still occupy."""
        state = self._state
        touched = {
            job_id: None
            for worker_id in freed
            for job_id in state.reservations.on_worker(worker_id)
        }
        for job_id in touched:
            reservation = state.reservations.by_job[job_id]
            if state.over_quota(reservation.job):
                continue
            choice = self._choose_reserved(reservation)
            if choice is None or choice.victims and not state.settled:
                continue
            why = "The job has reserved this capacity."
            record = state.records[job_id]
            borrowers.claim_room(state, record, choice, why=why)

    def _choose_reserved(
        self, reservation: claim.Reservation
    ) -> victims.Choice | None:
        state = self._state
        rooms = [
            state.topology.workers[worker_id]
            for worker_id in reservation.tasks
            if not state.eligibility.violated(reservation.job, {worker_id: 1})
        ]

        def allowed(
            other: record_module.JobRecord, _victim: victims.Victim
        ) -> bool:
            return self._is_preemptable_for(other, reservation)

        return victims.Search(
            job=reservation.job,
            rooms={
                room.spec.worker_id: borrowers.usable_room(room)
                for room in rooms
            },
            victims=borrowers.victims_on(state, rooms, allowed),
        ).run()

    def _is_preemptable_for(
        self, other: record_module.JobRecord, reservation: claim.Reservation
    ) -> bool:
        if other.job.urgency == model.URGENT or self._state.policy.holds:
            return False
        if other.state == record_module.STARTING:
            return True
        return other.started_s >= reservation.made_s

    def _needs_no_reservation(self, job: model.JobSpec) -> bool:
        """Tell whether a job gets no new reservation now.

        A single accelerator is not affected by fragmentation, so it
        needs none.
        """
        state = self._state
        if job.tasks == 1 and job.accelerators < 2:
            return True
        wait_s = state.now_s - job.submitted_s
        return (
            job.job_id in state.reservations.by_job
            or len(state.reservations.by_job) >= MAX_RESERVATIONS
            or wait_s < state.configuration.policy.reserve_after_s
        )

    def _reserve(self, job: model.JobSpec, *, made_s: float) -> None:
        state = self._state
        best: claim.Reservation | None = None
        near = constraint.near_variant(state.topology, job)
        fast = job if near is None or state.is_impatient(job) else near
        groups = borrowers.groups(state.topology, fast.within)
        avoid = state.avoided(job, near=fast is not job)
        for group in itertools.islice(groups, GROUPS_TRIED):
            rooms = [r for r in group if r.spec.worker_id not in avoid]
            found = self._earliest_reservation(rooms, job, made_s)
            if found is None:
                continue
            if best is None or found.expected_s < best.expected_s:
                best = found
        if best is not None:
            state.reservations.add(best)

    def _earliest_reservation(
        self,
        rooms: list[topology_module.WorkerRoom],
        job: model.JobSpec,
        made_s: float,
    ) -> claim.Reservation | None:
        """Return the earliest reservation for a gang in a group of workers."""
        state = self._state
        need = amount.of_task(job)
        reservation = claim.Reservation(
            job, {}, state.now_s, made_s, chosen_s=state.now_s
        )
        open_on = {
            room.spec.worker_id: room.open - room.reserved for room in rooms
        }
        total = sum(part.holds(need) for part in open_on.values())
        attempts = dict.fromkeys(a for r in rooms for a in r.occupants)
        ends = sorted(
            (self._expected_free_s(a, reservation), a) for a in attempts
        )
        for end_s, attempt_id in ends:
            if total >= job.tasks:
                break
            reservation.expected_s = end_s
            for place in state.topology.places_of(attempt_id):
                before = open_on.get(place.worker_id)
                if before is None:
                    continue
                after = before + amount.of_place(place)
                open_on[place.worker_id] = after
                total += after.holds(need) - before.holds(need)
        if total < job.tasks:
            return None
        left = job.tasks
        for worker_id, part in open_on.items():
            count = min(left, part.holds(need))
            if count:
                reservation.tasks[worker_id] = count
                left -= count
        return reservation

    def _expected_free_s(
        self, attempt_id: str, reservation: claim.Reservation
    ) -> float:
        state = self._state
        record = state.job_of_attempt(attempt_id)
        if record is None or record.state == record_module.STOPPING:
            return state.now_s
        if not record.guarantee and self._is_preemptable_for(
            record, reservation
        ):
            return state.now_s
        return state.expected_end_s(record)

    def _most_slowed_down(self) -> list[str]:
        """Return the two waiting jobs with the highest slowdown."""
        state = self._state
        slowdowns: list[tuple[float, str]] = []
        for _job_class, job_id in state.waiting.class_heads():
            job = state.records[job_id].job
            if state.now_s - job.submitted_s < PREEMPT_AFTER_S:
                continue
            if job_id in self._retry_at_s:
                continue
            slowdown = state.estimates.bounded_slowdown(
                job, end_s=state.now_s, more_s=state.estimates.run_s(job)
            )
            if slowdown >= MIN_PREEMPTING_SLOWDOWN:
                slowdowns.append((-slowdown, job_id))
        return [job_id for _d, job_id in heapq.nsmallest(2, slowdowns)]

    def _preempt_less_delayed(self, record: record_module.JobRecord) -> bool:
        """Preempt borrowers whose slowdown stays below that of this job.

        Slowdown is the completion time divided by the run time, so
        short work does not wait for long work. The work lost must not
        exceed a bound that grows with the wait.
        """
        state = self._state
        job = record.job
        wait_s = state.now_s - job.submitted_s
        if not state.settled or state.over_quota(job):
            return False
        run_s = state.estimates.run_s(job)
        slowdown = state.estimates.bounded_slowdown(
            job, end_s=state.now_s, more_s=run_s
        )
        allowance_s = SLOWDOWN_ALLOWANCE * wait_s * max(job.accelerators, 1)

        def allowed(
            other: record_module.JobRecord, victim: victims.Victim
        ) -> bool:
            if other.job.urgency == model.URGENT:
                return False
            end_s = state.expected_end_s(other)
            after = state.estimates.bounded_slowdown(
                other.job, end_s=end_s, more_s=run_s
            )
            return victim.cost <= allowance_s and after < slowdown

        why = "The job has a higher slowdown than they have."
        return self._preempt_for(job, allowance_s, allowed, why)

    def _defragment(self, job: model.JobSpec) -> bool:
        """Preempt small borrowers if the free accelerators are fragmented.

        The fragmentation weight sets how much work a second of waiting
        may cost.
        """
        state = self._state
        wait_s = state.now_s - job.submitted_s
        open_count = state.topology.open_accelerators
        if not state.settled or wait_s < PREEMPT_AFTER_S:
            return False
        if job.accelerators < 2 or open_count < job.accelerators:
            return False
        weight = state.configuration.policy.fragmentation_weight
        allowance_s = weight * DEFRAGMENT_ALLOWANCE * wait_s * job.accelerators

        def allowed(
            other: record_module.JobRecord, victim: victims.Victim
        ) -> bool:
            return (
                other.job.urgency != model.URGENT
                and 2 * other.job.accelerators <= job.accelerators
                and victim.cost <= allowance_s
            )

        why = "The free accelerators were fragmented."
        return self._preempt_for(job, allowance_s, allowed, why)

    def _preempt_for(
        self,
        job: model.JobSpec,
        allowance_s: float,
        allowed: borrowers.MayPreempt,
        why: str,
    ) -> bool:
        """Preempt the cheapest borrowers if the loss is within the limit."""
        state = self._state
        choice = cheapest_victims(
            state, job, allowed=allowed, capacity_on=borrowers.usable_room
        )
        if choice is None or choice.cost[0] > allowance_s:
            wait_s = state.now_s - job.submitted_s
            pause_s = max(PREEMPT_AFTER_S / 2, RETRY_WAIT_SHARE * wait_s)
            self._retry_at_s[job.job_id] = state.now_s + pause_s
            return False
        record = state.records[job.job_id]
        borrowers.claim_room(state, record, choice, why=why)
        return True


def cheapest_victims(
    state: state_module.State,
    job: model.JobSpec,
    *,
    allowed: borrowers.MayPreempt,
    capacity_on: CapacityOn,
    below_rank: int | None = None,
) -> victims.Choice | None:
    """Return the cheapest victims for a gang in the whole data centre.

    Groups are searched in batches; the result comes from the first
    batch in which the gang can fit.

    :param below_rank: leave out victims of this rank and above.
    """
    groups = borrowers.groups(state.topology, job.within)
    avoid = state.avoided(job, mixing=True).union(
        state.quarantine.failed_on(job.job_id)
    )
    limits = _limits(state, job)
    best: victims.Choice | None = None
    while best is None:
        portion = list(itertools.islice(groups, GROUPS_TRIED))
        if not portion:
            return None
        for group in portion:
            rooms = [r for r in group if r.spec.worker_id not in avoid]
            capacity = [(room, capacity_on(room)) for room in rooms]
            if not borrowers.could_fit(state, capacity, job, below_rank):
                continue
            choice = victims.Search(
                job=job,
                rooms={r.spec.worker_id: free for r, free in capacity},
                victims=borrowers.victims_on(
                    state, rooms, allowed, below_rank
                ),
                limits=limits,
            ).run()
            if choice is None:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
    return best


def _limits(
    state: state_module.State, job: model.JobSpec
) -> dict[str, int] | None:
    """Return the most tasks by worker; None if the job sets no limit."""
    if not job.max_per_worker:
        return None
    return {
        worker_id: state.eligibility.most_tasks(room, job)
        for worker_id, room in state.topology.workers.items()
    }
