"""Borrowers: attempts outside guarantees, which may be preempted."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import amount
from knapweedwharf.core import claim
from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import topology as topology_module
from knapweedwharf.core import victims

MayPreempt = abc.Callable[[record_module.JobRecord, victims.Victim], bool]


def any_victim(
    _record: record_module.JobRecord, _victim: victims.Victim
) -> bool:
    """Allow every victim."""
    return True


def victims_on(
    state: state_module.State,
    rooms: abc.Iterable[topology_module.WorkerRoom],
    allowed: MayPreempt,
    below_rank: int | None = None,
) -> dict[str, list[victims.Victim]]:
    """Return the borrowers on workers that may be stopped, by worker.

    :param below_rank: leave out work of this rank and above.
    """
    found: dict[str, list[victims.Victim]] = {}
    known: dict[str, victims.Victim | None] = {}
    for room in rooms:
        for attempt_id in room.occupants:
            if attempt_id not in known:
                record = _borrower(state, attempt_id, below_rank)
                known[attempt_id] = record and _victim(state, record, allowed)
            victim = known[attempt_id]
            if victim is not None:
                found.setdefault(room.spec.worker_id, []).append(victim)
    return found


def _borrower(
    state: state_module.State, attempt_id: str, below_rank: int | None
) -> record_module.JobRecord | None:
    record = state.job_of_attempt(attempt_id)
    if record is None or record.guarantee:
        return None
    if record.state not in (record_module.STARTING, record_module.RUNNING):
        return None
    if below_rank is not None and record.job.rank >= below_rank:
        return None
    return record


def could_fit(
    state: state_module.State,
    rooms: abc.Iterable[tuple[topology_module.WorkerRoom, amount.Amount]],
    job: model.JobSpec,
    below_rank: int | None,
) -> bool:
    """Tell whether a gang may fit once all work of lower rank stops.

    False is certain. It costs far less than a search for victims.

    :param rooms: workers and their free capacity.
    """
    need = amount.of_task(job)
    most = job.max_per_worker or job.tasks
    left = job.tasks
    for room, free in rooms:
        most_free = free + _taken_below(state, room, below_rank)
        left -= min(most_free.holds(need), most)
        if left <= 0:
            return True
    return False


def _taken_below(
    state: state_module.State,
    room: topology_module.WorkerRoom,
    below_rank: int | None,
) -> amount.Amount:
    """Return at least what work of lower rank takes of a worker."""
    taken = room.taken_below.get(below_rank)
    if taken is None:
        taken = amount.NOTHING
        for attempt_id in room.occupants:
            record = state.job_of_attempt(attempt_id)
            if (
                record is None
                or below_rank is None
                or record.job.rank < below_rank
            ):
                by_worker = state.topology.taken_by(attempt_id)
                taken = taken + by_worker[room.spec.worker_id]
        room.taken_below[below_rank] = taken
    return taken


def _victim(
    state: state_module.State,
    record: record_module.JobRecord,
    allowed: MayPreempt,
) -> victims.Victim | None:
    elapsed_s = 0.0
    if record.state == record_module.RUNNING:
        elapsed_s = max(0.0, state.now_s - record.started_s)
    policy = state.configuration.policy
    victim = victims.Victim(
        attempt_id=record.attempt_id,
        lost_s=state.estimates.lost_s(
            record.job, elapsed_s, restart_s=policy.restart_s
        )
        * model.weight_of(record.job, policy),
        disturbance_s=policy.disturbance_s,
        frees=state.topology.taken_by(record.attempt_id),
    )
    return victim if allowed(record, victim) else None


def claim_room(
    state: state_module.State,
    record: record_module.JobRecord,
    choice: victims.Choice,
    *,
    why: str,
    guarantee: str = "",
) -> None:
    """Stop the victims and hold their capacity for a job."""
    job = record.job
    state.waiting.discard(job.job_id)
    state.reservations.drop(job.job_id)
    reason = state.reason(
        "reclaiming" if guarantee else "preempting",
        f"{why} The job waits until {len(choice.victims)} jobs have stopped.",
        guarantee=guarantee,
    )
    state.claims.add(
        claim.Claim(
            job=job,
            tasks=choice.tasks,
            victims={victim.attempt_id: None for victim in choice.victims},
            reason=reason,
        )
    )
    if not choice.victims:
        return
    record.note(reason)
    for victim in choice.victims:
        stopped = state.job_of_attempt(victim.attempt_id)
        stopped.preemptions += 1
        text = f"Stopped for job {job.job_id} of {job.account}. {why}"
        state.stop(
            stopped,
            "requeue",
            state.reason(
                "preempted",
                text,
                guarantee=guarantee,
                other_job_id=job.job_id,
            ),
        )


def usable_room(
    room: topology_module.WorkerRoom,
) -> amount.Amount:
    """Return the free capacity without claims; reservations do not count."""
    return room.free - room.held if room.usable else amount.NOTHING


def groups(
    topology: topology_module.Topology, within: str
) -> abc.Iterator[list[topology_module.WorkerRoom]]:
    """Yield groups of usable workers, the most free accelerators first."""
    if within == model.WITHIN_WORKER:
        for key in sorted(topology.buckets, key=lambda k: -k[2]):
            for room in list(topology.buckets[key].values()):
                yield [room]
    elif within == model.WITHIN_RACK:
        racks = sorted(
            topology.racks.values(), key=lambda rack: -rack.open_accelerators
        )
        for rack in racks:
            yield [room for room in rack.workers.values() if room.usable]
    else:
        yield [room for room in topology.workers.values() if room.usable]
