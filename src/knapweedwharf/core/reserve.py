"""Reservations with backfill, and moves that make adjacent room.

A gang that waited long gets the room that is expected free first.
Short work may use that room meanwhile. When enough accelerators are
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
from knapweedwharf.core import placement
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
        for job_id in state.waiting.first(HEADS_LOOKED_AT):
            record = state.records[job_id]
            if state.over_quota(record.job):
                continue
            if self._make_room(record):
                continue
            self._reserve(record)

    def start_ready(self) -> list[str]:
        """Start gangs whose reserved room is free."""
        state = self._state
        started: list[str] = []
        for job_id, kept in list(state.reservations.by_job.items()):
            need = amount.of_task(kept.job)
            rooms = state.topology.workers
            if state.over_quota(kept.job) or not all(
                worker_id in rooms
                and state.room_for(job_id, rooms[worker_id]).covers(
                    need.times(count)
                )
                for worker_id, count in kept.tasks.items()
            ):
                continue
            share = [(rooms[w], n) for w, n in kept.tasks.items()]
            text = "Reserved room is free."
            state.start(
                state.records[job_id], share, state.reason("placed", text)
            )
            started.append(job_id)
        return started

    def backfill(self, record: record_module.JobRecord) -> bool:
        """Start work in reserved room if it should end in time."""
        state = self._state
        job = record.job
        ends_s = state.now_s + state.estimates.run_s(job)
        need = amount.of_task(job)
        for kept in state.reservations.by_job.values():
            if ends_s > kept.expected_s or kept.job.job_id == job.job_id:
                continue
            groups: dict[str, placement.Share] = {}
            for worker_id in kept.tasks:
                room = state.topology.workers.get(worker_id)
                if room is None or not room.usable:
                    continue
                group = placement.group_of(room.spec, job.within)
                count = borrowers.usable_room(room).holds(need)
                if count:
                    groups.setdefault(group, []).append((room, count))
            for found in groups.values():
                share = _cut(found, job.tasks)
                if share is not None:
                    text = f"Uses room reserved for {kept.job.job_id}."
                    reason = state.reason("backfilled", text)
                    state.start(record, share, reason)
                    return True
        return False

    def _reserve(self, record: record_module.JobRecord) -> None:
        state = self._state
        job = record.job
        wait_s = state.now_s - job.submitted_s
        if (
            job.job_id in state.reservations.by_job
            or len(state.reservations.by_job) >= MAX_RESERVATIONS
            or wait_s < state.configuration.policy.reserve_after_s
        ):
            return
        best: tuple[float, dict[str, int]] | None = None
        groups = borrowers.groups(state.topology, job.within)
        for rooms in itertools.islice(groups, GROUPS_TRIED):
            found = self._earliest(rooms, job)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return
        kept = claim.Reservation(job, tasks=best[1], expected_s=best[0])
        state.reservations.add(kept)

    def _earliest(
        self, rooms: list[topology_module.WorkerRoom], job: model.JobSpec
    ) -> tuple[float, dict[str, int]] | None:
        """Return when a group is expected to hold the gang, and how."""
        state = self._state
        need = amount.of_task(job)
        open_on = {room.spec.worker_id: room.open for room in rooms}
        total = sum(part.holds(need) for part in open_on.values())
        attempts = dict.fromkeys(a for r in rooms for a in r.occupants)
        ends = sorted((self._end_s(a), a) for a in attempts)
        at_s = state.now_s
        for end_s, attempt_id in ends:
            if total >= job.tasks:
                break
            at_s = end_s
            for place in state.topology.places_of(attempt_id):
                before = open_on.get(place.worker_id)
                if before is None:
                    continue
                after = before + amount.of_place(place)
                open_on[place.worker_id] = after
                total += after.holds(need) - before.holds(need)
        if total < job.tasks:
            return None
        tasks: dict[str, int] = {}
        left = job.tasks
        for worker_id, part in open_on.items():
            count = min(left, part.holds(need))
            if count:
                tasks[worker_id] = count
                left -= count
        return (at_s, tasks)

    def _end_s(self, attempt_id: str) -> float:
        state = self._state
        record = state.job_of_attempt(attempt_id)
        if record is None or record.state == record_module.STOPPING:
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
            open_on=lambda room: state.room_for(job.job_id, room),
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


def _cut(found: placement.Share, tasks: int) -> placement.Share | None:
    share: placement.Share = []
    for room, count in found:
        count = min(count, tasks)
        if count:
            share.append((room, count))
            tasks -= count
    return share if not tasks else None
