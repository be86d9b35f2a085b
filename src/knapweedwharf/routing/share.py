"""How much of an executor one entry VM may use, without a counter.

Every entry VM works the same division out for itself from the entry
VMs that it sees. Safety does not rest on equal views: the executor
refuses what exceeds its slots, and a refusal ran nothing.
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
    """An entry VM that takes part in the division."""

    node_id: str
    data_centre: str


def slots_of(
    own: EntryVm,
    *,
    executor_id: str,
    data_centre: str,
    entry_vms: abc.Iterable[EntryVm],
) -> int:
    """Return the slots of an executor that are this entry VM's own.

    The entry VMs of the executor's data centre divide its slots; the
    rest goes to the first in an order that differs by executor. Where
    that data centre has no entry VM, all entry VMs divide them.
    """
    everyone = {own, *entry_vms}
    local = {vm for vm in everyone if vm.data_centre == data_centre}
    sharing = local or everyone
    if own not in sharing:
        return 0
    ranked = sorted(sharing, key=lambda vm: _rank(executor_id, vm))
    whole, rest = divmod(SLOTS_PER_EXECUTOR, len(ranked))
    return whole + (ranked.index(own) < rest)


def connections_of(entry_count: int) -> int:
    """Return the connections one entry VM may open to an executor.

    Room is left for entry VMs that start before the others see them.
    """
    sharing = max(1, entry_count) + JOINING_VMS
    return max(1, CONNECTIONS_PER_EXECUTOR // sharing)


def _rank(executor_id: str, vm: EntryVm) -> tuple[int, str]:
    text = f"{executor_id}/{vm.node_id}"
    return zlib.crc32(text.encode()), vm.node_id
