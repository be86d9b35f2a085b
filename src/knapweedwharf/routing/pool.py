"""Executors of the list and which of them takes the next request."""

from __future__ import annotations

from collections import abc
import dataclasses
import random
import time

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.adapters import executor as executor_module
from knapweedwharf import errors
from knapweedwharf.routing import choice
from knapweedwharf.routing import health as health_module
from knapweedwharf.routing import share

MAX_EJECTED_SHARE = 1 / 3
UNLISTED_KEEP_S = 60.0
DOUBTED_LIST_KEEP_S = 600.0
DOUBTED_LOSS_SHARE = 0.5
_SERVER_ERROR = 500


@dataclasses.dataclass
class Executor:
    """One executor as this node sees it.

    :ivar running: requests of this node that it runs now.
    :ivar own_slots: slots that are this node's share.
    :ivar listed_until_s: end of its use once it is not listed.
    """

    vm: directory_module.Vm
    running: int = 0
    own_slots: int = 0
    listed_until_s: float = float("inf")
    health: health_module.Health = dataclasses.field(
        default_factory=health_module.Health
    )

    @property
    def others_running(self) -> int:
        """Slots that other entry VMs use, as last signalled."""
        return max(0, self.health.total_running - self.running)

    @property
    def load(self) -> int:
        """Requests that it runs for all entry VMs, as far as known."""
        return max(self.running, self.health.total_running)

    @property
    def limit(self) -> int:
        """Slots this node may use: its share, and what is unused."""
        unused = share.SLOTS_PER_EXECUTOR - self.others_running
        return max(self.own_slots, unused)

    def serves(self, service: str) -> bool:
        """Tell whether it runs a service."""
        names = self.vm.service_names
        return not names or service in names


class Pool:
    """Executors, own data centre first, within this node's shares."""

    def __init__(
        self,
        *,
        node_id: str,
        data_centre: str,
        seed: int,
        policy: str = "least-of-two",
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = share.EntryVm(node_id, data_centre)
        self._random = random.Random(seed)
        self._policy = choice.POLICIES.get(policy)
        self._clock = clock
        self._entry_vms: frozenset[share.EntryVm] = frozenset([self._own])
        self.executors: dict[str, Executor] = {}

    @property
    def entry_count(self) -> int:
        """Entry VMs that share the executors."""
        return len(self._entry_vms)

    @property
    def connection_limit(self) -> int:
        """Connections this node may open to each executor."""
        return share.connections_of(self.entry_count)

    def set_entry_vms(self, entry_vms: abc.Iterable[share.EntryVm]) -> None:
        """Take the entry VMs that are listed or heard, own included."""
        found = frozenset([self._own, *entry_vms])
        if found != self._entry_vms:
            self._entry_vms = found
            for executor in self.executors.values():
                self._divide(executor)

    def _divide(self, executor: Executor) -> None:
        executor.own_slots = share.slots_of(
            self._own,
            executor_id=executor.vm.vm_id,
            data_centre=executor.vm.data_centre,
            entry_vms=self._entry_vms,
        )

    def set_listed(self, vms: list[directory_module.Vm]) -> None:
        """Take the platform's list.

        An executor that is no longer listed is used for a while, as
        long as it answers; longer when many vanish at once, since such
        a list is doubted.
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
        fresh_loss = sum(e.listed_until_s == float("inf") for e in lost)
        doubted = fresh_loss > DOUBTED_LOSS_SHARE * len(self.executors)
        keep_s = DOUBTED_LIST_KEEP_S if doubted else UNLISTED_KEEP_S
        for executor in lost:
            self._unlist(executor, now_s, keep_s)
        for vm_id, vm in listed.items():
            self._list(vm_id, vm)

    def _unlist(self, executor: Executor, now_s: float, keep_s: float) -> None:
        if executor.listed_until_s == float("inf"):
            executor.listed_until_s = now_s + keep_s
        elif executor.listed_until_s <= now_s and not executor.running:
            del self.executors[executor.vm.vm_id]

    def _list(self, vm_id: str, vm: directory_module.Vm) -> None:
        known = self.executors.get(vm_id)
        if known is None or known.vm.address != vm.address:
            known = Executor(vm=vm)
            self.executors[vm_id] = known
            self._divide(known)
        known.vm = vm
        known.listed_until_s = float("inf")

    def choose(
        self, service: str, *, tried: abc.Collection[str] = ()
    ) -> Executor | None:
        """Return an executor with a free slot, or None.

        The own data centre goes first; what it has no room for spills
        over to the executors with spare room elsewhere.
        """
        free = [
            executor
            for executor in self._usable()
            if executor.vm.vm_id not in tried
            and executor.serves(service)
            and executor.running < self._limit(executor)
        ]
        own = self._own.data_centre
        local = [e for e in free if e.vm.data_centre == own]
        candidates = local or free
        if not candidates:
            return None
        return self._policy(candidates, self._random)

    def room(self) -> int:
        """Return how many requests this node may run at once."""
        return sum(self._limit(executor) for executor in self._usable())

    def _usable(self) -> abc.Iterator[Executor]:
        now_s = self._clock()
        for executor in self.executors.values():
            health = executor.health
            if (
                not executor.vm.leaving
                and executor.listed_until_s > now_s
                and not health.is_leaving(now_s)
                and not health.is_ejected(now_s)
            ):
                yield executor

    def _limit(self, executor: Executor) -> int:
        if self._clock() < executor.health.paused_until_s:
            return 0
        if executor.health.on_probation:
            return 1
        if not self.is_fresh(executor):
            return min(share.SLOTS_PER_EXECUTOR, self.connection_limit)
        return min(executor.limit, self.connection_limit)

    def may_send(self, executor: Executor) -> bool:
        """Tell whether a chosen executor, once probed, may get work."""
        return (
            self.is_fresh(executor)
            and not executor.health.is_leaving(self._clock())
            and executor.running <= self._limit(executor)
        )

    def is_fresh(self, executor: Executor) -> bool:
        """Tell whether work may be sent without a probe first."""
        return executor.health.is_fresh(self._clock())

    def note_signal(
        self,
        executor: Executor,
        signal: executor_module.Signal,
        *,
        probed: bool = False,
    ) -> None:
        """Take what an executor says of itself."""
        executor.health.hear(signal, self._clock(), probed=probed)

    def note_answer(
        self, executor: Executor, answer: executor_module.Answer
    ) -> None:
        """Take a whole answer; server errors count as failures."""
        self.note_signal(executor, answer.signal)
        if answer.status >= _SERVER_ERROR:
            self.note_failure(executor)
        else:
            executor.health.succeed()

    def note_fault(self, executor: Executor, fault: errors.Fault) -> None:
        """Take a failed call; a refusal is a signal, not a failure."""
        if not isinstance(fault, executor_module.Refusal):
            self.note_failure(executor)
            return
        full = executor_module.Signal(
            running=share.SLOTS_PER_EXECUTOR + executor.running
        )
        signal = fault.signal if fault.signal.leaving else full
        if executor.running <= executor.own_slots:
            executor.health.pause(self._clock())
        self.note_signal(executor, signal)

    def note_failure(self, executor: Executor) -> None:
        """Count a failure; eject within the bounded share."""
        if not executor.health.fail():
            return
        now_s = self._clock()
        ejected = sum(
            e.health.is_ejected(now_s) for e in self.executors.values()
        )
        if ejected < self._most_ejected():
            executor.health.eject(now_s, jitter=self._random.random())

    def _most_ejected(self) -> int:
        count = len(self.executors)
        return max(1, int(MAX_EJECTED_SHARE * count)) if count > 1 else 0
