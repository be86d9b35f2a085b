"""Reservations with backfill, and moves that make adjacent room.

A gang that waited long reserves the room that is expected free first.
Others may use that room meanwhile; whatever started there after the
reservation gives way once the rest has ended, so estimates only choose
the room and never leave it idle. When enough accelerators are
free but not adjacent, borrowers are moved out of the way once the
gang's wait outweighs what they would lose.
"""

from __future__ import annotations

from collections import abc
import itertools

from knapweedwharf.core import amount
from knapweedwharf.core import borrowers
from knapweedwharf.core import claim
from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology as topology_module
from knapweedwharf.core import victims

MAX_RESERVATIONS = 4
GROUPS_TRIED = 64
MOVE_AFTER_S = 10.0
MAX_MOVES = 3
HEADS_LOOKED_AT = 4

OpenOn = abc.Callable[[topology_module.WorkerRoom], amount.Amount]


class Reserve:
    """Keeps room for gangs that wait long."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state

    def tick(self) -> None:
        """Renew late reservations, add one, and move borrowers."""
        state = self._state
        for job_id, kept in list(state.reservations.by_job.items()):
            if kept.expected_s < state.now_s:
                state.reservations.drop(job_id)
                self._reserve(kept.job, made_s=kept.made_s)
        for job_id in state.waiting.first(HEADS_LOOKED_AT):
            record = state.records[job_id]
            if state.over_quota(record.job):
                continue
            if self._make_room(record) or self._due(record.job):
                continue
            self._reserve(record.job, made_s=state.now_s)

    def start_ready(self, freed: abc.Iterable[str]) -> None:
        """Claim reserved room once only later starters are in the way."""
        state = self._state
        touched = {
            job_id: None
            for worker_id in freed
            for job_id in state.reservations.on_worker(worker_id)
        }
        for job_id in touched:
            kept = state.reservations.by_job[job_id]
            if state.over_quota(kept.job):
                continue
            choice = self._choose_reserved(kept)
            if choice is None or choice.victims and not state.settled:
                continue
            why = "It has reserved this room."
            record = state.records[job_id]
            borrowers.claim_room(state, record, choice, why=why)

    def _choose_reserved(
        self, kept: claim.Reservation
    ) -> victims.Choice | None:
        rooms = [
            self._state.topology.workers[worker_id] for worker_id in kept.tasks
        ]

        def allowed(
            other: record_module.JobRecord, _victim: victims.Victim
        ) -> bool:
            return self._gives_way(other, kept)

        return victims.Search(
            job=kept.job,
            rooms={
                room.spec.worker_id: borrowers.usable_room(room)
                for room in rooms
            },
            victims=borrowers.victims_on(self._state, rooms, allowed),
        ).run()

    def _gives_way(
        self, other: record_module.JobRecord, kept: claim.Reservation
    ) -> bool:
        if other.job.urgency == model.URGENT:
            return False
        if other.state == record_module.STARTING:
            return True
        return other.started_s >= kept.made_s

    def _due(self, job: model.JobSpec) -> bool:
        """Tell whether a job has no claim to a new reservation yet."""
        state = self._state
        wait_s = state.now_s - job.submitted_s
        return (
            job.job_id in state.reservations.by_job
            or len(state.reservations.by_job) >= MAX_RESERVATIONS
            or wait_s < state.configuration.policy.reserve_after_s
        )

    def _reserve(self, job: model.JobSpec, *, made_s: float) -> None:
        state = self._state
        best: claim.Reservation | None = None
        groups = borrowers.groups(state.topology, job.within)
        for rooms in itertools.islice(groups, GROUPS_TRIED):
            found = self._earliest(rooms, job, made_s)
            if found is None:
                continue
            if best is None or found.expected_s < best.expected_s:
                best = found
        if best is not None:
            state.reservations.add(best)

    def _earliest(
        self,
        rooms: list[topology_module.WorkerRoom],
        job: model.JobSpec,
        made_s: float,
    ) -> claim.Reservation | None:
        """Return when a group is expected to hold the gang, and how."""
        state = self._state
        need = amount.of_task(job)
        kept = claim.Reservation(job, {}, state.now_s, made_s)
        open_on = {
            room.spec.worker_id: room.open - room.reserved for room in rooms
        }
        total = sum(part.holds(need) for part in open_on.values())
        attempts = dict.fromkeys(a for r in rooms for a in r.occupants)
        ends = sorted((self._end_s(a, kept), a) for a in attempts)
        for end_s, attempt_id in ends:
            if total >= job.tasks:
                break
            kept.expected_s = end_s
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
                kept.tasks[worker_id] = count
                left -= count
        return kept

    def _end_s(self, attempt_id: str, kept: claim.Reservation) -> float:
        state = self._state
        record = state.job_of_attempt(attempt_id)
        if record is None or record.state == record_module.STOPPING:
            return state.now_s
        if not record.guarantee and self._gives_way(record, kept):
            return state.now_s
        started_s = record.started_s
        if record.state == record_module.STARTING:
            started_s = state.now_s
        return state.estimates.end_s(
            record.job, started_s=started_s, now_s=state.now_s
        )

    def _make_room(self, record: record_module.JobRecord) -> bool:
        """Move borrowers when free accelerators are not adjacent."""
        state = self._state
        job = record.job
        weight = state.configuration.policy.fragmentation_weight
        wait_s = state.now_s - job.submitted_s
        open_count = state.topology.open_accelerators
        if not state.settled or wait_s < MOVE_AFTER_S:
            return False
        if not job.accelerators or open_count < job.accelerators:
            return False
        allowance_s = weight * job.accelerators * wait_s

        def allowed(
            other: record_module.JobRecord, victim: victims.Victim
        ) -> bool:
            return (
                other.job.urgency != model.URGENT
                and other.preemptions < MAX_MOVES
                and 2 * other.job.accelerators <= job.accelerators
                and victim.cost <= allowance_s
            )

        choice = cheapest(
            state,
            job,
            allowed=allowed,
            open_on=borrowers.usable_room,
        )
        if choice is None or choice.cost[0] > allowance_s:
            return False
        if not choice.victims:
            return False
        why = "Free accelerators were not adjacent."
        borrowers.claim_room(state, record, choice, why=why)
        return True


def cheapest(
    state: state_module.State,
    job: model.JobSpec,
    *,
    allowed: borrowers.Allowed,
    open_on: OpenOn,
) -> victims.Choice | None:
    """Return the cheapest victims for a gang that may go anywhere.

    Groups are looked at in portions; the first portion in which the
    gang can fit decides.
    """
    groups = borrowers.groups(state.topology, job.within)
    best: victims.Choice | None = None
    while best is None:
        portion = list(itertools.islice(groups, GROUPS_TRIED))
        if not portion:
            return None
        for rooms in portion:
            choice = victims.Search(
                job=job,
                rooms={room.spec.worker_id: open_on(room) for room in rooms},
                victims=borrowers.victims_on(state, rooms, allowed),
            ).run()
            if choice is None:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
    return best
