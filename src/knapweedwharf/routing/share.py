"""Divides an executor's slots and connections among entry VMs.

There is no shared counter: each entry VM computes the same division from
the entry VMs that it knows. Correctness does not depend on equal views:
an executor refuses requests beyond its slots, and a refused request did
not run.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import zlib

SLOTS_PER_EXECUTOR = 8
CONNECTIONS_PER_EXECUTOR = 64
JOINING_VMS = 2


@dataclasses.dataclass(frozen=True, order=True)
class EntryVm:
    """An entry VM that shares the executors."""

    node_id: str
    data_centre: str


def own_slot_count(
    own: EntryVm,
    *,
    executor_id: str,
    data_centre: str,
    entry_vms: abc.Iterable[EntryVm],
) -> int:
    """Return how many slots of an executor belong to this entry VM.

    The entry VMs of the executor's data centre divide its slots evenly;
    the remainder goes to the first ones in an order that differs by
    executor. If that data centre has no entry VM, all entry VMs divide
    the slots.
    """
    all_vms = {own, *entry_vms}
    local = {vm for vm in all_vms if vm.data_centre == data_centre}
    sharing = local or all_vms
    if own not in sharing:
        return 0
    ranked = sorted(sharing, key=lambda vm: _rank(executor_id, vm))
    base, remainder = divmod(SLOTS_PER_EXECUTOR, len(ranked))
    return base + (ranked.index(own) < remainder)


def connections_per_vm(entry_vm_count: int) -> int:
    """Return how many connections one entry VM may open to an executor.

    Connections are reserved for ``JOINING_VMS`` entry VMs that have
    started and are not yet known to the others.
    """
    sharing = max(1, entry_vm_count) + JOINING_VMS
    return max(1, CONNECTIONS_PER_EXECUTOR // sharing)


def _rank(executor_id: str, vm: EntryVm) -> tuple[int, str]:
    text = f"{executor_id}/{vm.node_id}"
    return zlib.crc32(text.encode()), vm.node_id
