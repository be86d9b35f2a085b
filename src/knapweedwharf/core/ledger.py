"""Guarantees at run time: units, their cells and the jobs in them.

Every unit of a guarantee has a cell: a number of accelerators on named
workers. Cells never overlap, and only jobs inside a unit are safe from
preemption, so each unit can be reclaimed whatever else runs. A unit that
is not in use may move to another cell at any time.

If hardware is lost and not every unit fits, units get cells in this
order: units in use keep theirs; then the first unit of every guarantee
goes before any second one; then smaller units go first; then names
decide. A unit without a cell is suspended until capacity returns.
"""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import packing
from knapweedwharf.core import topology as topology_module

UnitKey = tuple[str, int]
"""(guarantee, number of the unit)"""


@dataclasses.dataclass(slots=True)
class Unit:
    """One unit of a guarantee.

    :ivar cell: workers it can be reclaimed on; empty while suspended.
    :ivar users: job id to the capacity it takes, by worker.
    """

    guarantee: model.GuaranteeSpec
    number: int
    cell: packing.Cell = dataclasses.field(default_factory=dict)
    users: dict[str, dict[str, amount.Amount]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def key(self) -> UnitKey:
        """Guarantee and number."""
        return (self.guarantee.name, self.number)

    def room_on(self, worker_id: str) -> amount.Amount:
        """Return the part of the cell on a worker that its jobs leave."""
        count = self.cell.get(worker_id, 0)
        room = amount.of_part(self.guarantee, count)
        for taken in self.users.values():
            room = room - taken.get(worker_id, amount.NOTHING)
        return room


class Ledger:
    """Units of one data centre and the capacity that none of them holds.

    :ivar changed: units suspended or restored since the last report.
    :ivar excess: by worker, by how much the cells of units in use exceeded
        its capacity when that last changed.
    """

    def __init__(self, topology: topology_module.Topology) -> None:
        self.units: dict[UnitKey, Unit] = {}
        self.changed: dict[UnitKey, None] = {}
        self.excess: dict[str, amount.Amount] = {}
        self.packing = packing.Packing()
        self._topology = topology
        self._by_account: dict[str, list[Unit]] = {}
        self._by_worker: dict[str, dict[UnitKey, Unit]] = {}
        self._by_user: dict[str, Unit] = {}

    def units_of(self, account: str) -> list[Unit]:
        """Return an account's units."""
        return self._by_account.get(account, [])

    def unit_of(self, job_id: str) -> Unit | None:
        """Return the unit a job is inside, if any."""
        return self._by_user.get(job_id)

    def configure(
        self, guarantees: abc.Iterable[model.GuaranteeSpec]
    ) -> list[str]:
        """Apply the guarantees of a new configuration.

        :returns: jobs that are no longer inside a guarantee.
        """
        wanted = {
            (guarantee.name, number): guarantee
            for guarantee in guarantees
            for number in range(1, guarantee.count + 1)
        }
        expelled: list[str] = []
        for key, unit in list(self.units.items()):
            if not _same_shape(wanted.get(key), unit.guarantee):
                expelled.extend(unit.users)
                self._drop(unit)
        for key, guarantee in wanted.items():
            if key in self.units:
                self.units[key].guarantee = guarantee
            else:
                self.units[key] = Unit(guarantee, key[1])
        self._by_account = {}
        for key in sorted(self.units):
            unit = self.units[key]
            account = unit.guarantee.account
            self._by_account.setdefault(account, []).append(unit)
        self.repair()
        return expelled

    def worker_usable(self, spec: model.WorkerSpec) -> None:
        """Allow cells on a worker."""
        if spec.worker_id in self.packing.specs:
            return
        self.packing.add(spec)
        for unit in self._by_worker.get(spec.worker_id, {}).values():
            count = unit.cell[spec.worker_id]
            self.packing.allocate(unit.guarantee, {spec.worker_id: count})
            self._topology.promise(spec.worker_id, count)

    def worker_unusable(self, worker_id: str) -> None:
        """Move cells away from a worker; units in use keep theirs there."""
        units = list(self._by_worker.get(worker_id, {}).values())
        for unit in units:
            if not unit.users:
                self._set_cell(unit, {})
        for unit in self._by_worker.get(worker_id, {}).values():
            self._topology.promise(worker_id, -unit.cell[worker_id])
        self.packing.remove(worker_id)
        self.repair()

    def worker_resized(self, spec: model.WorkerSpec) -> None:
        """Note a new capacity of a worker whose cells were moved away.

        Units in use keep their cells, also beyond the capacity.
        """
        left = amount.of_worker(spec)
        for unit in self._by_worker.get(spec.worker_id, {}).values():
            count = unit.cell[spec.worker_id]
            left = left - amount.of_part(unit.guarantee, count)
        self.excess[spec.worker_id] = left.shortfall()

    def repair(self, *, repack: bool = True) -> None:
        """Give suspended units a cell where there is capacity.

        :param repack: if that fails, place all units that are not in
            use again, together.
        """
        if all(unit.cell for unit in self.units.values()):
            return
        missing = [u for u in self._ranked() if not u.cell]
        for unit in missing:
            self._set_cell(unit, self._any_cell(unit))
        if repack and any(not unit.cell for unit in missing):
            self._repack()
        for unit in self.units.values():
            if not unit.cell:
                self.changed[unit.key] = None
        for unit in missing:
            if unit.cell:
                self.changed[unit.key] = None

    def enter(
        self, unit: Unit, job_id: str, taken: dict[str, amount.Amount]
    ) -> None:
        """Put a job inside a unit, with the capacity it takes by worker."""
        unit.users[job_id] = taken
        self._by_user[job_id] = unit

    def leave(self, job_id: str) -> Unit | None:
        """Remove a job from its unit; return the unit."""
        unit = self._by_user.pop(job_id, None)
        if unit is None:
            return None
        del unit.users[job_id]
        if not unit.users and not self.packing.has_room(unit.cell):
            self._set_cell(unit, {})
        if any(not other.cell for other in self.units.values()):
            self.repair()
        return unit

    def restore(
        self,
        unit: Unit,
        job_id: str,
        places: abc.Sequence[model.Assignment],
    ) -> bool:
        """Put a job that already runs inside a unit.

        Units that are not in use lose their cells; the caller places
        them again with ``repair``. Returns whether the job fits.
        """
        for other in self.units.values():
            if not other.users:
                self._set_cell(other, {})
        taken = amount.by_worker(places)
        if unit.users:
            fits = all(
                unit.room_on(worker_id).covers(part)
                for worker_id, part in taken.items()
            )
        else:
            cell = self.cell_around(unit, places)
            fits = cell is not None
            self._set_cell(unit, cell or {})
        if fits:
            self.enter(unit, job_id, taken)
        return fits

    def move(self, unit: Unit, cell: packing.Cell) -> bool:
        """Move a unit that is not in use, if no other unit holds the cell."""
        old = unit.cell
        if unit.users:
            return False
        self.packing.release(unit.guarantee, old)
        fits = self.packing.covers(unit.guarantee, cell)
        self.packing.allocate(unit.guarantee, old)
        if fits:
            self._set_cell(unit, cell)
        return fits

    def cells_for(
        self, unit: Unit, racks: abc.Iterable[str]
    ) -> list[packing.Cell]:
        """Return cells that an unused unit could move to in these racks."""
        self.packing.release(unit.guarantee, unit.cell)
        cells = list(self.packing.cells(unit.guarantee, racks=racks))
        self.packing.allocate(unit.guarantee, unit.cell)
        return cells

    def cell_around(
        self, unit: Unit, places: abc.Iterable[model.Assignment]
    ) -> packing.Cell | None:
        """Return a cell for an unused unit that contains given places."""
        base: packing.Cell = {}
        for place in places:
            if place.worker_id not in self.packing.specs:
                return None
            count = len(place.accelerators)
            base[place.worker_id] = base.get(place.worker_id, 0) + count
        racks = {self.packing.rack_of(worker_id) for worker_id in base}
        within = unit.guarantee.within
        if within == model.WITHIN_WORKER and len(base) > 1:
            return None
        if within == model.WITHIN_RACK and len(racks) > 1:
            return None
        workers = self._group(within, base, racks)
        self.packing.release(unit.guarantee, unit.cell)
        cell = self.packing.carve(unit.guarantee, workers, base=base)
        if cell is not None and not self.packing.covers(unit.guarantee, cell):
            cell = None
        self.packing.allocate(unit.guarantee, unit.cell)
        return cell

    def _group(
        self, within: str, base: packing.Cell, racks: set[str]
    ) -> list[str]:
        if within == model.WITHIN_WORKER:
            return list(base)
        if within == model.WITHIN_RACK:
            (rack,) = racks
            return self.packing.workers_of(rack)
        return list(self.packing.specs)

    def _any_cell(self, unit: Unit) -> packing.Cell:
        return next(self.packing.cells(unit.guarantee), {})

    def _repack(self) -> None:
        """Place every unit that is not in use again.

        If no packing holds them all, units get cells in the order of
        the module's rules.
        """
        movable = [unit for unit in self._ranked() if not unit.users]
        old = {unit.key: unit.cell for unit in movable}
        for unit in movable:
            self._set_cell(unit, {})
        cells = packing.pack(self.packing, [u.guarantee for u in movable])
        if cells is not None:
            for unit, cell in zip(movable, cells):
                self._set_cell(unit, cell)
            return
        for unit in movable:
            cell = old[unit.key]
            if cell and self.packing.covers(unit.guarantee, cell):
                self._set_cell(unit, cell)
            else:
                self._set_cell(unit, self._any_cell(unit))
            if not unit.cell and old[unit.key]:
                self.changed[unit.key] = None

    def _ranked(self) -> list[Unit]:
        return sorted(
            self.units.values(),
            key=lambda unit: (
                not unit.users,
                unit.number,
                unit.guarantee.accelerators,
                unit.guarantee.name,
            ),
        )

    def _set_cell(self, unit: Unit, cell: packing.Cell) -> None:
        for worker_id, count in unit.cell.items():
            del self._by_worker[worker_id][unit.key]
            if worker_id in self.packing.specs:
                self._topology.promise(worker_id, -count)
        self.packing.release(unit.guarantee, unit.cell)
        unit.cell = cell
        self.packing.allocate(unit.guarantee, cell)
        for worker_id, count in cell.items():
            self._by_worker.setdefault(worker_id, {})[unit.key] = unit
            if worker_id in self.packing.specs:
                self._topology.promise(worker_id, count)

    def _drop(self, unit: Unit) -> None:
        self._set_cell(unit, {})
        for job_id in unit.users:
            del self._by_user[job_id]
        del self.units[unit.key]
        self.changed.pop(unit.key, None)


def _same_shape(
    new: model.GuaranteeSpec | None, old: model.GuaranteeSpec
) -> bool:
    if new is None:
        return False
    return new == dataclasses.replace(
        old, count=new.count, reclaim_within_s=new.reclaim_within_s
    )
