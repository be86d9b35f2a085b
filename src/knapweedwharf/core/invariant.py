"""Invariants of the engine's state; for tests and benchmarks.

Each check is a pure function of an engine that yields one sentence for
each violation. Incremental counts are compared with full recounts.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import amount
from knapweedwharf.core import constraint
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import ledger
from knapweedwharf.core import placement
from knapweedwharf.core import record as record_module
from knapweedwharf import registry

Check = abc.Callable[[engine_module.Engine], abc.Iterator[str]]
CHECKS: registry.Registry[Check] = registry.Registry(subject="invariant")


def violations(engine: engine_module.Engine) -> list[str]:
    """Return every violation in an engine's state."""
    return [
        f"{name}: {found}"
        for name in CHECKS.names()
        for found in CHECKS.get(name)(engine)
    ]


def wrong_stops(
    engine: engine_module.Engine, decisions: list[decision.Decision]
) -> list[str]:
    """Return preemptions of work inside its guarantee."""
    return [
        f"{taken.job_id} is inside {engine.records[taken.job_id].guarantee}"
        for taken in decisions
        if isinstance(taken, decision.StopGang)
        and taken.reason.code == "preempted"
        and engine.records[taken.job_id].guarantee
    ]


def wrong_starts(
    engine: engine_module.Engine, decisions: list[decision.Decision]
) -> list[str]:
    """Return starts on workers that a constraint of their job forbids.

    Later starts of the same decisions may use up a step's limit, so the
    limit counts what all of them bring.
    """
    found: list[str] = []
    for started in decisions:
        if not isinstance(started, decision.StartGang):
            continue
        job = started.job
        approved = engine.state.approved.get(job.approval, ())
        for place in started.assignments:
            room = engine.topology.workers.get(place.worker_id)
            if room is None:
                continue
            if job.label and job.label not in room.spec.labels:
                found.append(f"{job.job_id} is on {place.worker_id}: label")
            if job.approval and place.worker_id not in approved:
                found.append(f"{job.job_id} is on {place.worker_id}: approval")
            running = constraint.tasks_of_group(
                room, job, engine.state.job_of_attempt
            )
            if job.max_per_worker and running > job.max_per_worker:
                found.append(f"{job.job_id} is on {place.worker_id}: spread")
    return found


@CHECKS.register("double-booking")
def _double_booking(engine: engine_module.Engine) -> abc.Iterator[str]:
    for room in engine.topology.workers.values():
        taken = [
            index
            for places in room.occupants.values()
            for place in places
            for index in place.accelerators
        ]
        if len(taken) != len(set(taken)):
            yield f"accelerators of {room.spec.worker_id} are taken twice"
        if not room.excess.covers(room.free.shortfall()):
            yield f"{room.spec.worker_id} is overcommitted"


@CHECKS.register("sums")
def _sums(engine: engine_module.Engine) -> abc.Iterator[str]:
    whole, free = amount.NOTHING, amount.NOTHING
    for room in engine.topology.workers.values():
        if room.usable:
            whole = whole + amount.of_worker(room.spec)
            free = free + room.free
    if (whole, free) != engine.topology.sums:
        yield f"sums are {engine.topology.sums}, not {(whole, free)}"


@CHECKS.register("whole-gangs")
def _whole_gangs(engine: engine_module.Engine) -> abc.Iterator[str]:
    for record in engine.records.values():
        holding = record.state in record_module.HOLDING_STATES
        if holding != bool(record.attempt_id):
            yield f"{record.job.job_id} {record.state} with an attempt"
        if not holding:
            continue
        places = record.assignments
        if [p.task_index for p in places] != list(range(record.job.tasks)):
            yield f"{record.job.job_id} is placed in part"
        present = engine.topology.workers
        groups = {
            placement.group_of(present[p.worker_id].spec, record.job.within)
            for p in places
            if p.worker_id in present
        }
        if len(groups) > 1:
            yield f"{record.job.job_id} spans more than {record.job.within}"


@CHECKS.register("guarantees")
def _guarantees(engine: engine_module.Engine) -> abc.Iterator[str]:
    promised: dict[str, amount.Amount] = {}
    for unit in engine.state.ledger.units.values():
        if unit.cell and sum(unit.cell.values()) != (
            unit.guarantee.accelerators
        ):
            yield f"the cell of {unit.key} has the wrong size"
        for worker_id, count in unit.cell.items():
            part = amount.of_part(unit.guarantee, count)
            before = promised.get(worker_id, amount.NOTHING)
            promised[worker_id] = before + part
        yield from _unit(engine, unit)
    for worker_id, part in promised.items():
        room = engine.topology.workers.get(worker_id)
        if room is None:
            continue
        excess = engine.state.ledger.excess.get(worker_id, amount.NOTHING)
        if not (amount.of_worker(room.spec) + excess).covers(part):
            yield f"cells on {worker_id} overlap"


def _unit(
    engine: engine_module.Engine, unit: ledger.Unit
) -> abc.Iterator[str]:
    present = engine.topology.workers
    specs = [present[w].spec for w in unit.cell if w in present]
    within = unit.guarantee.within
    if len({placement.group_of(spec, within) for spec in specs}) > 1:
        yield f"the cell of {unit.key} spans more than {within}"
    for worker_id in unit.cell:
        if not unit.room_on(worker_id).covers(amount.NOTHING):
            yield f"{unit.key} is used beyond its cell"
        if worker_id not in present and not unit.users:
            yield f"the cell of {unit.key} is on a worker that is gone"
    for job_id in unit.users:
        record = engine.records[job_id]
        if record.job.account != unit.guarantee.account:
            yield f"{job_id} uses a guarantee of another account"
        if record.attempt_id and record.guarantee != unit.guarantee.name:
            yield f"{job_id} does not know its guarantee"


@CHECKS.register("nothing-lost")
def _nothing_lost(engine: engine_module.Engine) -> abc.Iterator[str]:
    state = engine.state
    for job_id, record in engine.records.items():
        waits = job_id in state.waiting
        claims = job_id in state.claims.by_job
        queued = record.state == record_module.QUEUED
        if queued != (waits or claims) or (waits and claims):
            yield f"{job_id} is {record.state}; {waits=} {claims=}"
    for job_id, claim in state.claims.by_job.items():
        stopping = [
            state.job_of_attempt(attempt_id) for attempt_id in claim.victims
        ]
        if not all(r and r.state == "stopping" for r in stopping):
            yield f"the claim of {job_id} waits for nothing"
    for job_id in state.reservations.by_job:
        if job_id not in state.waiting:
            yield f"{job_id} has a reservation and does not wait"


@CHECKS.register("accounts")
def _accounts(engine: engine_module.Engine) -> abc.Iterator[str]:
    held: dict[str, int] = {}
    for record in engine.records.values():
        if not record.attempt_id:
            continue
        job = record.job
        held[job.account] = held.get(job.account, 0) + job.accelerators
    used = {a: n for a, n in engine.state.used.items() if n}
    if used != {a: n for a, n in held.items() if n}:
        yield f"accounts hold {held}, noted are {used}"


@CHECKS.register("index")
def _index(engine: engine_module.Engine) -> abc.Iterator[str]:
    topology = engine.topology
    free = open_count = 0
    for worker_id, room in topology.workers.items():
        expected = room.free - room.held
        if not room.usable:
            expected = amount.NOTHING
        if room.open != expected:
            yield f"open room of {worker_id} is {room.open}, not {expected}"
        free += room.free.accelerators if room.usable else 0
        open_count += max(room.open.accelerators, 0)
        listed = [k for k, b in topology.buckets.items() if worker_id in b]
        if listed != ([room.key] if room.key is not None else []):
            yield f"{worker_id} is listed in {listed}"
    if free != topology.free_accelerators():
        yield f"{free} accelerators are free, not counted so"
    racks = sum(r.open_accelerators for r in topology.racks.values())
    if not open_count == racks == topology.open_accelerators:
        yield f"{open_count} accelerators are open, racks say {racks}"
    yield from _holds(engine)


def _holds(engine: engine_module.Engine) -> abc.Iterator[str]:
    state = engine.state
    for attribute, allocations in (
        ("held", state.claims.by_job),
        ("reserved", state.reservations.by_job),
    ):
        expected: dict[str, amount.Amount] = {}
        for allocation in allocations.values():
            need = amount.of_task(allocation.job)
            for worker_id, count in allocation.tasks.items():
                before = expected.get(worker_id, amount.NOTHING)
                expected[worker_id] = before + need.times(count)
        for worker_id, room in engine.topology.workers.items():
            wanted = expected.get(worker_id, amount.NOTHING)
            if getattr(room, attribute) != wanted:
                yield f"{worker_id} has the wrong amount {attribute}"


@CHECKS.register("reasons")
def _reasons(engine: engine_module.Engine) -> abc.Iterator[str]:
    for record in engine.records.values():
        if not record.reasons:
            yield f"{record.job.job_id} has no reason"
        if len(record.reasons) > record_module.MAX_REASONS:
            yield f"{record.job.job_id} has too many reasons"
