"""Packing of the cells of guarantees onto workers.

A cell is the capacity set aside for one unit of a guarantee. It spans
as few workers as the hardware allows: whole workers first, then a part
of one worker for the rest, all within the guarantee's topology level.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import amount
from knapweedwharf.core import model

Cell = dict[str, int]
"""Accelerators by worker id."""

MAX_SEARCH_STEPS = 5000
"""Bound on the backtracking search for a packing."""


class Packing:
    """Capacity that no cell holds, by worker."""

    def __init__(self, specs: abc.Iterable[model.WorkerSpec] = ()) -> None:
        self.specs: dict[str, model.WorkerSpec] = {}
        self.spare: dict[str, amount.Amount] = {}
        self._racks: dict[str, dict[str, None]] = {}
        for spec in specs:
            self.add(spec)

    def add(self, spec: model.WorkerSpec) -> None:
        """Add an empty worker."""
        self.specs[spec.worker_id] = spec
        self.spare[spec.worker_id] = amount.of_worker(spec)
        self._racks.setdefault(spec.rack, {})[spec.worker_id] = None

    def remove(self, worker_id: str) -> None:
        """Remove a worker; its parts of cells must have been released."""
        spec = self.specs.pop(worker_id, None)
        if spec is not None:
            del self.spare[worker_id]
            del self._racks[spec.rack][worker_id]

    def allocate(self, guarantee: model.GuaranteeSpec, cell: Cell) -> None:
        """Allocate a cell."""
        for worker_id, count in cell.items():
            if worker_id in self.spare:
                part = amount.of_part(guarantee, count)
                self.spare[worker_id] = self.spare[worker_id] - part

    def release(self, guarantee: model.GuaranteeSpec, cell: Cell) -> None:
        """Release a cell."""
        for worker_id, count in cell.items():
            if worker_id in self.spare:
                part = amount.of_part(guarantee, count)
                self.spare[worker_id] = self.spare[worker_id] + part

    def rack_of(self, worker_id: str) -> str:
        """Return a worker's rack, or an empty string."""
        spec = self.specs.get(worker_id)
        return spec.rack if spec else ""

    def workers_of(self, rack: str) -> list[str]:
        """Return a rack's workers."""
        return list(self._racks.get(rack, ()))

    def cells(
        self,
        guarantee: model.GuaranteeSpec,
        *,
        racks: abc.Iterable[str] | None = None,
    ) -> abc.Iterator[Cell]:
        """Yield cells that fit the spare capacity, the best fit first.

        Groups of equivalent workers yield one cell.
        """
        seen: set[tuple] = set()
        found: list[tuple[int, Cell]] = []
        for workers in self._groups(guarantee.within, racks):
            signature = self._signature(guarantee, workers)
            if signature in seen:
                continue
            seen.add(signature)
            cell = self.carve(guarantee, workers)
            if cell is not None:
                spare = sum(self.spare[w].accelerators for w in workers)
                found.append((spare, cell))
        found.sort(key=lambda item: item[0])
        return (cell for _spare, cell in found)

    def carve(
        self,
        guarantee: model.GuaranteeSpec,
        workers: abc.Iterable[str],
        *,
        base: Cell | None = None,
    ) -> Cell | None:
        """Find a compact cell in the spare capacity of workers.

        :param base: parts that the cell must contain.
        """
        cell = dict(base or {})
        left = guarantee.accelerators - sum(cell.values())
        members = dict.fromkeys([*cell, *workers])
        for worker_id in self._by_spare(members):
            whole = self._largest_part(guarantee, worker_id)
            missing = whole - cell.get(worker_id, 0)
            chosen = worker_id in cell or left >= whole
            if not chosen or not 0 < missing <= left:
                continue
            if self._free_part(guarantee, worker_id) >= whole:
                cell[worker_id] = whole
                left -= missing
        if left > 0 and not self._add_rest(guarantee, members, cell, left):
            return None
        return cell if left >= 0 else None

    def _add_rest(
        self,
        guarantee: model.GuaranteeSpec,
        workers: abc.Iterable[str],
        cell: Cell,
        left: int,
    ) -> bool:
        """Add the last part on the fullest worker that has room for it."""
        tightest = sorted(workers, key=lambda w: self.spare[w].accelerators)
        for worker_id in tightest:
            part = cell.get(worker_id, 0) + left
            if part > self._largest_part(guarantee, worker_id):
                continue
            if self._free_part(guarantee, worker_id) >= part:
                cell[worker_id] = part
                return True
        return False

    def has_room(self, cell: Cell) -> bool:
        """Tell whether the workers of an allocated cell hold all cells."""
        return all(
            worker_id in self.spare
            and self.spare[worker_id].covers(amount.NOTHING)
            for worker_id in cell
        )

    def covers(self, guarantee: model.GuaranteeSpec, cell: Cell) -> bool:
        """Tell whether a cell fits the spare capacity."""
        return all(
            worker_id in self.spare
            and self._free_part(guarantee, worker_id) >= count
            for worker_id, count in cell.items()
        )

    def _by_spare(self, workers: abc.Iterable[str]) -> list[str]:
        # Entirely spare workers come first, then those with the least spare.
        return sorted(
            workers,
            key=lambda w: (
                self.spare[w].accelerators < self.specs[w].accelerators,
                self.spare[w].accelerators,
            ),
        )

    def _largest_part(
        self, guarantee: model.GuaranteeSpec, worker_id: str
    ) -> int:
        """Return the largest part that fits the worker when empty."""
        part = amount.of_part(guarantee, 1)
        return amount.of_worker(self.specs[worker_id]).holds(part)

    def _free_part(
        self, guarantee: model.GuaranteeSpec, worker_id: str
    ) -> int:
        return self.spare[worker_id].holds(amount.of_part(guarantee, 1))

    def _signature(
        self, guarantee: model.GuaranteeSpec, workers: list[str]
    ) -> tuple:
        return tuple(
            sorted(
                (
                    self._free_part(guarantee, w),
                    self._largest_part(guarantee, w),
                    self.spare[w].accelerators,
                    self.spare[w].cores,
                    self.spare[w].memory_mib,
                )
                for w in workers
            )
        )

    def _groups(
        self, within: str, racks: abc.Iterable[str] | None
    ) -> abc.Iterator[list[str]]:
        names = self._racks if racks is None else racks
        chosen = [list(self._racks.get(name, ())) for name in names]
        if within == model.WITHIN_WORKER:
            for workers in chosen:
                yield from ([worker_id] for worker_id in workers)
        elif within == model.WITHIN_RACK:
            yield from chosen
        else:
            yield [w for workers in chosen for w in workers]


def pack(
    packing: Packing, guarantees: abc.Sequence[model.GuaranteeSpec]
) -> list[Cell] | None:
    """Find cells for all units together, by bounded backtracking.

    The cells are in the order of ``guarantees``; the packing is not
    changed. Returns None if the search finds no solution.
    """
    order = sorted(
        range(len(guarantees)), key=lambda i: _hardest_first(guarantees[i])
    )
    chosen: list[Cell] = []
    choices: list[abc.Iterator[Cell]] = []
    steps = 0
    while len(chosen) < len(order) and steps < MAX_SEARCH_STEPS:
        steps += 1
        guarantee = guarantees[order[len(chosen)]]
        if len(choices) == len(chosen):
            choices.append(packing.cells(guarantee))
        cell = next(choices[-1], None)
        if cell is not None:
            packing.allocate(guarantee, cell)
            chosen.append(cell)
            continue
        choices.pop()
        if not chosen:
            break
        packing.release(guarantees[order[len(chosen) - 1]], chosen.pop())
    for index, cell in zip(order, chosen):
        packing.release(guarantees[index], cell)
    if len(chosen) < len(order):
        return None
    cells = dict(zip(order, chosen))
    return [cells[index] for index in range(len(guarantees))]


def _hardest_first(guarantee: model.GuaranteeSpec) -> tuple:
    level = model.WITHIN_LEVELS.index(guarantee.within)
    return (-guarantee.accelerators, level, guarantee.name)


def declared_workers(
    configuration: model.Configuration, data_centre: str
) -> list[model.WorkerSpec]:
    """Return the workers of the racks that the operators declare."""
    return [
        model.WorkerSpec(
            worker_id=f"{rack.name}/{number}",
            rack=rack.name,
            data_centre=data_centre,
            accelerators=rack.accelerators_per_worker,
            cores=rack.cores_per_worker,
            memory_mib=rack.memory_mib_per_worker,
        )
        for rack in configuration.racks.values()
        if rack.data_centre == data_centre
        for number in range(rack.workers)
    ]
