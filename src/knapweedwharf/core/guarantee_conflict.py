"""Whether a data centre's hardware can meet all guarantees at once."""

from __future__ import annotations

import itertools
import math

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import packing

MAX_SUBSETS = 2000


def smallest_conflict(
    configuration: model.Configuration, data_centre: str
) -> list[model.GuaranteeSpec]:
    """Return guarantees that cannot be met together, or an empty list.

    The set is the smallest possible one if there are few enough subsets
    to try; otherwise it is irreducible: without any one member, the rest
    can be met.
    """
    guarantees = [
        guarantee
        for guarantee in configuration.guarantees.values()
        if guarantee.data_centre == data_centre
    ]
    workers = packing.declared_workers(configuration, data_centre)
    if feasible(guarantees, workers):
        return []
    for size in range(1, len(guarantees)):
        if math.comb(len(guarantees), size) > MAX_SUBSETS:
            break
        for subset in itertools.combinations(guarantees, size):
            if not feasible(subset, workers):
                return list(subset)
    return _irreducible(guarantees, workers)


def feasible(
    guarantees: list[model.GuaranteeSpec] | tuple[model.GuaranteeSpec, ...],
    workers: list[model.WorkerSpec],
) -> bool:
    """Tell whether cells for every unit fit empty workers together."""
    need = amount.NOTHING
    for guarantee in guarantees:
        whole = amount.of_part(guarantee, guarantee.accelerators)
        need = need + whole.times(guarantee.count)
    have = amount.NOTHING
    for worker in workers:
        have = have + amount.of_worker(worker)
    if not have.covers(need):
        return False
    units = [g for g in guarantees for _number in range(g.count)]
    return packing.pack(packing.Packing(workers), units) is not None


def _irreducible(
    guarantees: list[model.GuaranteeSpec], workers: list[model.WorkerSpec]
) -> list[model.GuaranteeSpec]:
    kept = list(guarantees)
    for guarantee in guarantees:
        fewer = [other for other in kept if other is not guarantee]
        if not feasible(fewer, workers):
            kept = fewer
    return kept
