"""Executors of the list and which of them takes the next request."""

from __future__ import annotations

import dataclasses
import random

from knapweedwharf.adapters import directory as directory_module

SLOTS_PER_EXECUTOR = 8


@dataclasses.dataclass
class Executor:
    """One executor as this node sees it.

    :ivar running: requests of this node that it runs now.
    """

    vm: directory_module.Vm
    running: int = 0
    leaving: bool = False


class Pool:
    """Least-loaded of two, own data centre first."""

    def __init__(self, *, data_centre: str, seed: int) -> None:
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self.executors: dict[str, Executor] = {}

    def set_listed(self, vms: list[directory_module.Vm]) -> None:
        """Take the platform's list; an empty one is not believed."""
        listed = {
            vm.vm_id: vm
            for vm in vms
            if vm.kind == directory_module.EXECUTOR_KIND
        }
        if not listed:
            return
        for vm_id in self.executors.keys() - listed.keys():
            del self.executors[vm_id]
        for vm_id, vm in listed.items():
            known = self.executors.setdefault(vm_id, Executor(vm=vm))
            known.vm = vm

    def choose(self, service: str, *, tried: set[str]) -> Executor | None:
        """Return an executor with a free slot, or None."""
        free = [
            executor
            for executor in self.executors.values()
            if self._may_take(executor, service, tried)
        ]
        local = [e for e in free if e.vm.data_centre == self._data_centre]
        candidates = local or free
        if not candidates:
            return None
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda executor: executor.running)

    def _may_take(
        self, executor: Executor, service: str, tried: set[str]
    ) -> bool:
        names = executor.vm.service_names
        return (
            executor.vm.vm_id not in tried
            and not executor.vm.leaving
            and not executor.leaving
            and executor.running < SLOTS_PER_EXECUTOR
            and (not names or service in names)
        )
