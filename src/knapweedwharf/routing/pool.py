"""Pool of executors: which are usable and which gets a request."""

from __future__ import annotations

from collections import abc
import dataclasses
import random
import time

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import executor as executor_module
from knapweedwharf import errors
from knapweedwharf.routing import health as health_module
from knapweedwharf.routing import policies
from knapweedwharf.routing import share

MAX_EJECTED_SHARE = 1 / 3
UNLISTED_KEEP_S = 60.0
SUSPECT_LIST_KEEP_S = 600.0
SUSPECT_LOSS_SHARE = 0.5
_SERVER_ERROR = 500


@dataclasses.dataclass
class Executor:
    """One executor from the view of this node.

    :ivar running: requests of this node that it runs now.
    :ivar own_slots: this node's share of its slots.
    :ivar usable_until_s: when it stops being used if it is no longer
        listed; infinity while it is listed.
    """

    vm: directory_module.Vm
    running: int = 0
    own_slots: int = 0
    usable_until_s: float = float("inf")
    health: health_module.Health = dataclasses.field(
        default_factory=health_module.Health
    )

    @property
    def others_running(self) -> int:
        """Slots that other entry VMs use, by the last signal."""
        return max(0, self.health.total_running - self.running)

    @property
    def load(self) -> int:
        """Requests it runs for all entry VMs, by the last signal."""
        return max(self.running, self.health.total_running)

    @property
    def slot_limit(self) -> int:
        """Slots this node may use: its share or, if more, the unused ones."""
        unused = share.SLOTS_PER_EXECUTOR - self.others_running
        return max(self.own_slots, unused)

    def serves(self, service: str) -> bool:
        """Tell whether it runs a service; one that lists none runs all."""
        names = self.vm.service_names
        return not names or service in names


class Pool:
    """Executors that this node may use, and its share of their slots."""

    def __init__(
        self,
        *,
        node_id: str,
        data_centre: str,
        seed: int,
        policy: str = "least-of-two",
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_vm = share.EntryVm(node_id, data_centre)
        self._random = random.Random(seed)
        self._policy = policies.POLICIES.get(policy)
        self._clock = clock
        self._entry_vms: frozenset[share.EntryVm] = frozenset([self._own_vm])
        self.executors: dict[str, Executor] = {}

    @property
    def entry_vm_count(self) -> int:
        """Number of entry VMs that share the executors."""
        return len(self._entry_vms)

    @property
    def connection_limit(self) -> int:
        """Number of connections this node may open to each executor."""
        return share.connections_per_vm(self.entry_vm_count)

    def set_entry_vms(self, entry_vms: abc.Iterable[share.EntryVm]) -> None:
        """Set the entry VMs that share the executors.

        This node's own entry VM is always added.
        """
        found = frozenset([self._own_vm, *entry_vms])
        if found != self._entry_vms:
            self._entry_vms = found
            for executor in self.executors.values():
                self._assign_own_slots(executor)

    def _assign_own_slots(self, executor: Executor) -> None:
        executor.own_slots = share.own_slot_count(
            self._own_vm,
            executor_id=executor.vm.vm_id,
            data_centre=executor.vm.data_centre,
            entry_vms=self._entry_vms,
        )

    def set_listed(self, vms: list[directory_module.Vm]) -> None:
        """Update the pool from the platform's list of VMs.

        An executor that is no longer listed stays usable for a grace
        period as long as it answers. The period is longer if many
        executors disappear at once, since such a list may be wrong.
        """
        now_s = self._clock()
        listed = {
            vm.vm_id: vm
            for vm in vms
            if vm.kind == directory_module.EXECUTOR_KIND
        }
        lost = [
            executor
            for vm_id, executor in self.executors.items()
            if vm_id not in listed
        ]
        newly_lost = sum(e.usable_until_s == float("inf") for e in lost)
        is_suspect = newly_lost > SUSPECT_LOSS_SHARE * len(self.executors)
        keep_s = SUSPECT_LIST_KEEP_S if is_suspect else UNLISTED_KEEP_S
        for executor in lost:
            self._handle_unlisted(executor, now_s, keep_s)
        for vm_id, vm in listed.items():
            self._handle_listed(vm_id, vm)

    def _handle_unlisted(
        self, executor: Executor, now_s: float, keep_s: float
    ) -> None:
        if executor.usable_until_s == float("inf"):
            executor.usable_until_s = now_s + keep_s
        elif executor.usable_until_s <= now_s and not executor.running:
            del self.executors[executor.vm.vm_id]

    def _handle_listed(self, vm_id: str, vm: directory_module.Vm) -> None:
        known = self.executors.get(vm_id)
        if known is None or known.vm.address != vm.address:
            known = Executor(vm=vm)
            self.executors[vm_id] = known
            self._assign_own_slots(known)
        known.vm = vm
        known.usable_until_s = float("inf")

    def choose(
        self, service: str, *, tried: abc.Collection[str] = ()
    ) -> Executor | None:
        """Return an executor with a free slot, or None.

        Executors of this data centre are preferred; if they are full,
        one of another data centre is chosen.
        """
        free = [
            executor
            for executor in self._usable_executors()
            if executor.vm.vm_id not in tried
            and executor.serves(service)
            and executor.running < self._executor_slot_limit(executor)
        ]
        own = self._own_vm.data_centre
        local = [e for e in free if e.vm.data_centre == own]
        candidates = local or free
        if not candidates:
            return None
        return self._policy(candidates, self._random)

    def slot_limit(self) -> int:
        """Return how many requests this node may run at once."""
        return sum(
            self._executor_slot_limit(executor)
            for executor in self._usable_executors()
        )

    def _usable_executors(self) -> abc.Iterator[Executor]:
        now_s = self._clock()
        for executor in self.executors.values():
            health = executor.health
            if (
                not executor.vm.leaving
                and executor.usable_until_s > now_s
                and not health.is_leaving(now_s)
                and not health.is_ejected(now_s)
            ):
                yield executor

    def _executor_slot_limit(self, executor: Executor) -> int:
        if self._clock() < executor.health.paused_until_s:
            return 0
        if executor.health.on_probation:
            return 1
        if not self.is_fresh(executor):
            return min(share.SLOTS_PER_EXECUTOR, self.connection_limit)
        return min(executor.slot_limit, self.connection_limit)

    def may_send(self, executor: Executor) -> bool:
        """Tell whether work may be sent to a chosen executor.

        Its probe may have changed what was known when it was chosen.
        """
        return (
            self.is_fresh(executor)
            and not executor.health.is_leaving(self._clock())
            and executor.running <= self._executor_slot_limit(executor)
        )

    def is_fresh(self, executor: Executor) -> bool:
        """Tell whether work may be sent without a probe."""
        return executor.health.is_fresh(self._clock())

    def record_signal(
        self,
        executor: Executor,
        signal: executor_module.Signal,
        *,
        probed: bool = False,
    ) -> None:
        """Record a signal of an executor."""
        executor.health.record_signal(signal, self._clock(), probed=probed)

    def record_answer(
        self, executor: Executor, answer: executor_module.Answer
    ) -> None:
        """Record a full answer; server errors count as failures."""
        self.record_signal(executor, answer.signal)
        if answer.status >= _SERVER_ERROR:
            self.record_failure(executor)
        else:
            executor.health.record_success()

    def record_fault(self, executor: Executor, fault: errors.Fault) -> None:
        """Record a failed call.

        A refusal is no failure: it signals that all slots are in use or
        that the executor leaves.
        """
        if not isinstance(fault, executor_module.Refusal):
            self.record_failure(executor)
            return
        full_signal = executor_module.Signal(
            running=share.SLOTS_PER_EXECUTOR + executor.running
        )
        signal = fault.signal if fault.signal.leaving else full_signal
        if executor.running <= executor.own_slots:
            executor.health.pause(self._clock())
        self.record_signal(executor, signal)

    def record_failure(self, executor: Executor) -> None:
        """Record a failure; eject unless too many are ejected."""
        if not executor.health.record_failure():
            return
        now_s = self._clock()
        ejected = sum(
            e.health.is_ejected(now_s) for e in self.executors.values()
        )
        if ejected < self._max_ejected():
            executor.health.eject(now_s, jitter=self._random.random())

    def _max_ejected(self) -> int:
        count = len(self.executors)
        return max(1, int(MAX_EJECTED_SHARE * count)) if count > 1 else 0
