"""Start of jobs inside their account's guarantees.

A job can start inside a guarantee if it fits what is left of a unit's
cell. It starts on free capacity of the cell, else on free capacity that
the unit can move to; else the cheapest set of borrowers is preempted.
"""

from __future__ import annotations

from collections import abc
import itertools

from knapweedwharf.core import amount
from knapweedwharf.core import borrowers
from knapweedwharf.core import ledger
from knapweedwharf.core import model
from knapweedwharf.core import packing
from knapweedwharf.core import placement
from knapweedwharf.core import record as record_module
from knapweedwharf.core import state as state_module
from knapweedwharf.core import victims

RACKS_TRIED = 8


class Reclaim:
    """Places jobs inside guarantees."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state

    def attempt(self, record: record_module.JobRecord) -> bool:
        """Start the job inside a guarantee, or claim capacity for it."""
        job = record.job
        units = self._units(job)
        for unit in units:
            if self._start_in_cell(record, unit):
                return True
        free = [unit for unit in units if not unit.users]
        if free and self._start_elsewhere(record, free):
            return True
        return self._state.settled and self._preempt(record, units)

    def promote(self, account: str) -> None:
        """Put borrowers of an account inside its unused units."""
        state = self._state
        units = [
            unit
            for unit in state.ledger.units_of(account)
            if not unit.users and unit.cell
        ]
        if not units:
            return
        for job_id in list(state.holding.get(account, ())):
            record = state.records[job_id]
            if record.guarantee or record.state not in (
                record_module.STARTING,
                record_module.RUNNING,
            ):
                continue
            unit = self._promote_into(record, units)
            if unit is not None:
                units.remove(unit)

    def _promote_into(
        self, record: record_module.JobRecord, units: list[ledger.Unit]
    ) -> ledger.Unit | None:
        state = self._state
        for unit in units:
            if not self._may_enter(unit, record.job):
                continue
            cell = state.ledger.cell_around(unit, record.assignments)
            taken = amount.by_worker(record.assignments)
            if cell is None or not _covered_by(unit, cell, taken):
                continue
            if not state.ledger.move(unit, cell):
                continue
            state.ledger.enter(unit, record.job.job_id, taken)
            record.guarantee = unit.guarantee.name
            record.unit = unit.number
            text = f"The job uses unit {unit.number} from now on."
            name = unit.guarantee.name
            state.record_change(
                record,
                state.reason("inside-guarantee", text, guarantee=name),
            )
            return unit
        return None

    def _units(self, job: model.JobSpec) -> list[ledger.Unit]:
        units = [
            unit
            for unit in self._state.ledger.units_of(job.account)
            if unit.cell and self._may_enter(unit, job)
        ]
        units.sort(
            key=lambda unit: (not unit.users, unit.guarantee.accelerators)
        )
        return units

    def _may_enter(self, unit: ledger.Unit, job: model.JobSpec) -> bool:
        whole = amount.of_part(unit.guarantee, unit.guarantee.accelerators)
        return job.accelerators > 0 and whole.covers(
            amount.of_task(job).times(job.tasks)
        )

    def _start_in_cell(
        self, record: record_module.JobRecord, unit: ledger.Unit
    ) -> bool:
        job = record.job
        need = amount.of_task(job)
        for group in self._cell_groups(unit.cell, job.within):
            left = job.tasks
            share: placement.Share = []
            for worker_id in group:
                room = self._state.topology.workers[worker_id]
                open_here = borrowers.usable_room(room)
                count = min(
                    left,
                    open_here.holds(need),
                    unit.room_on(worker_id).holds(need),
                    self._state.eligibility.most_tasks(room, job),
                )
                if count:
                    share.append((room, count))
                    left -= count
            if not left:
                self._start(record, unit, share)
                return True
        return False

    def _start_elsewhere(
        self, record: record_module.JobRecord, units: list[ledger.Unit]
    ) -> bool:
        job = record.job
        share = self._state.search(job)
        if share is None:
            return False
        places = placement.assign(share, job)
        taken = amount.by_worker(places)
        for unit in units:
            cell = self._state.ledger.cell_around(unit, places)
            if cell is None or not _covered_by(unit, cell, taken):
                continue
            if self._state.ledger.move(unit, cell):
                self._start(record, unit, share)
                return True
        return False

    def _start(
        self,
        record: record_module.JobRecord,
        unit: ledger.Unit,
        share: placement.Share,
    ) -> None:
        need = amount.of_task(record.job)
        taken = {room.spec.worker_id: need.times(n) for room, n in share}
        self._state.ledger.enter(unit, record.job.job_id, taken)
        text = f"Started in unit {unit.number} of {unit.guarantee.name}."
        name = unit.guarantee.name
        self._state.start(
            record, share, self._state.reason("placed", text, guarantee=name)
        )

    # Preemption

    def _preempt(
        self, record: record_module.JobRecord, units: list[ledger.Unit]
    ) -> bool:
        best: tuple[victims.Choice, ledger.Unit, packing.Cell] | None = None
        for unit in units:
            for cell in self._cells(unit):
                choice = self._choose(record.job, unit, cell)
                if choice is None:
                    continue
                if best is None or choice.cost < best[0].cost:
                    best = (choice, unit, cell)
        if best is None:
            return False
        choice, unit, cell = best
        ledger_ = self._state.ledger
        if cell != unit.cell and not ledger_.move(unit, cell):
            return False
        need = amount.of_task(record.job)
        taken = {w: need.times(count) for w, count in choice.tasks.items()}
        ledger_.enter(unit, record.job.job_id, taken)
        name = unit.guarantee.name
        why = f"Unit {unit.number} of guarantee {name} is reclaimed."
        borrowers.claim_room(
            self._state, record, choice, why=why, guarantee=name
        )
        return True

    def _cells(self, unit: ledger.Unit) -> list[packing.Cell]:
        cells = [unit.cell]
        if unit.users:
            return cells
        topology = self._state.topology
        own = dict.fromkeys(
            self._state.ledger.packing.rack_of(w) for w in unit.cell
        )
        racks = itertools.islice(topology.racks_with(1), RACKS_TRIED)
        names = [*own, *(r.name for r in racks if r.name not in own)]
        cells.extend(self._state.ledger.cells_for(unit, names))
        return cells

    def _choose(
        self, job: model.JobSpec, unit: ledger.Unit, cell: packing.Cell
    ) -> victims.Choice | None:
        state = self._state
        need = amount.of_task(job)
        best: victims.Choice | None = None
        for group in self._cell_groups(cell, job.within):
            limits = {
                w: min(
                    _room_in(unit, cell, w).holds(need),
                    state.eligibility.most_tasks(
                        state.topology.workers[w], job
                    ),
                )
                for w in group
            }
            if sum(limits.values()) < job.tasks:
                continue
            rooms = [state.topology.workers[w] for w in group]
            choice = victims.Search(
                job=job,
                rooms={
                    room.spec.worker_id: borrowers.usable_room(room)
                    for room in rooms
                },
                victims=borrowers.victims_on(
                    state, rooms, borrowers.any_victim
                ),
                limits=limits,
            ).run()
            if choice is None:
                continue
            if best is None or choice.cost < best.cost:
                best = choice
        return best

    def _cell_groups(
        self, cell: packing.Cell, within: str
    ) -> abc.Iterable[list[str]]:
        groups: dict[str, list[str]] = {}
        for worker_id in cell:
            room = self._state.topology.workers.get(worker_id)
            if room is not None and room.usable:
                group = placement.group_of(room.spec, within)
                groups.setdefault(group, []).append(worker_id)
        return groups.values()


def _room_in(
    unit: ledger.Unit, cell: packing.Cell, worker_id: str
) -> amount.Amount:
    if cell is unit.cell:
        return unit.room_on(worker_id)
    return amount.of_part(unit.guarantee, cell[worker_id])


def _covered_by(
    unit: ledger.Unit,
    cell: packing.Cell,
    taken: dict[str, amount.Amount],
) -> bool:
    return all(
        amount.of_part(unit.guarantee, cell.get(w, 0)).covers(part)
        for w, part in taken.items()
    )
