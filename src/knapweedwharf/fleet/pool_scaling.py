"""Scales pools by moving machines from and to standby pools.

A service with waiting work gets as many machines of its kind from a
standby pool as the work needs. A machine returns once it has been idle
for as long as a move costs, unless the accounts' guarantees need it.
Only machines on which nothing runs are moved.
"""

from __future__ import annotations

import asyncio
from collections import abc
import math

from returns import result

from knapweedwharf.core import amount
from knapweedwharf.core import event
from knapweedwharf import errors
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import machine_order_context as context_module
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf import log

TICK_S = 0.5
"""Under a third of a move."""

LIST_INTERVAL_S = 2.0
"""Listing machines has a price, and a move takes about as long."""

IDLE_BEFORE_MOVE_S = 8.0
"""Price of a move, as the machine time that costs the same."""

MAX_MOVES_PER_TICK = 8
"""The platform accepts several times this rate."""

WaitingNeed = abc.Callable[[str], amount.Amount]
"""from a service to what its waiting work needs; cores in thousandths"""


def machines_for(need: amount.Amount, machine: model.Machine) -> int:
    """Return how many such machines the waiting work needs."""
    if need.accelerators and not machine.accelerators:
        return 0
    shares = (
        need.accelerators / max(machine.accelerators, 1),
        need.cores / max(machine.cores_milli, 1),
        need.memory_mib / max(machine.memory_mib, 1),
    )
    return math.ceil(max(shares))


class PoolScaler(background.Background):
    """Moves machines while this VM is the owner.

    :param waiting: returns what a service's waiting work needs.
    :param has_other_orders: returns whether another component sends
        orders for a machine.
    """

    def __init__(
        self,
        context: context_module.MachineOrderContext,
        *,
        waiting: WaitingNeed,
        has_other_orders: abc.Callable[[str], bool],
    ) -> None:
        self._machines = context.clients.machines
        self._desired = context.desired
        self._evacuations = context.desired.evacuations
        self._registry = context.registry
        self._scheduling_state = context.scheduling_state
        self._election = context.election
        self._epoch = context.ownership.epoch
        self._sender = context.sender
        self._tell = context.tell
        self._first_order_s = context.first_order_s
        self._waiting = waiting
        self._has_other_orders = has_other_orders
        self._log = log.get("pools").bind(epoch=context.ownership.epoch)
        self._machine_list: tuple[model.Machine, ...] = ()
        self._listed_at_s = float("-inf")
        self._idle_since_s: dict[str, float] = {}
        self._unfit_pools: set[tuple[str, str]] = set()
        self._unconfirmed: dict[str, tuple[model.Machine, str]] = {}

    async def _run(self) -> None:
        while await self._election.may_order():
            await asyncio.sleep(TICK_S)
            try:
                await self._step()
            except Exception:
                # The next tick may succeed; until then work only waits.
                self._log.exception("pools-broken")

    async def _step(self) -> None:
        services = self._services()
        standby = {s.name for s in services if s.is_standby}
        if not standby or clock.elapsed_s() < self._first_order_s:
            return
        for machine, pool in list(self._unconfirmed.values()):
            await self._move(machine, pool, why="no-answer")
        working = [s.name for s in services if not s.is_standby]
        needs = {service: self._waiting(service) for service in working}
        self._update_idle(working)
        surplus = self._surplus(working)
        if not any(map(_is_nonzero, needs.values())) and not surplus:
            return
        if not await self._refresh_machines():
            return
        for service in working:
            if _is_nonzero(needs[service]):
                await self._grow(service, needs[service], standby)
            elif service in surplus:
                await self._shrink(service, surplus[service], standby)

    def _services(self) -> list[model.Service]:
        desired = self._desired.current
        return list(desired.services.values()) if desired else []

    async def _refresh_machines(self) -> bool:
        """List the machines, unless the last list is recent."""
        if clock.elapsed_s() - self._listed_at_s < LIST_INTERVAL_S:
            return False
        self._listed_at_s = clock.elapsed_s()
        listed = await self._machines.list()
        if isinstance(listed, result.Failure):
            why = listed.failure().code
            self._log.warning("machines-not-listed", why=why)
            return False
        self._machine_list = listed.unwrap()
        return True

    # More machines

    async def _grow(
        self, service: str, need: amount.Amount, standby: set[str]
    ) -> None:
        own = [m for m in self._machine_list if m.pool == service]
        kinds = {m.kind for m in own}
        coming = sum(
            m.state == model.MACHINE_MOVING and self._may_get_work(m)
            for m in own
        )
        spare = [
            m
            for m in self._machine_list
            if m.pool in standby
            and m.state == model.MACHINE_UP
            and self._may_get_work(m)
            and (not kinds or m.kind in kinds)
            and (m.kind, service) not in self._unfit_pools
            and not self._has_other_orders(m.machine_id)
        ]
        if not spare:
            return
        count = machines_for(need, spare[0]) - coming
        for machine in spare[: max(0, min(count, MAX_MOVES_PER_TICK))]:
            await self._move(machine, service, why="work-waits")

    def _may_get_work(self, machine: model.Machine) -> bool:
        return not self._evacuations.forbids(machine.data_centre)

    # Fewer machines

    def _update_idle(self, working: list[str]) -> None:
        now_s = clock.elapsed_s()
        idle = {
            executor.executor_id
            for service in working
            for executor in self._registry.usable(service)
            if not self._scheduling_state.is_busy(executor.executor_id)
        }
        self._idle_since_s = {
            executor_id: self._idle_since_s.get(executor_id, now_s)
            for executor_id in idle
        }

    def _surplus(self, working: list[str]) -> dict[str, list[str]]:
        """Return the ids of each service's surplus machines.

        Accelerators guaranteed to accounts stay, even while idle.
        """
        oldest_s = clock.elapsed_s() - IDLE_BEFORE_MOVE_S
        desired = self._desired.current
        guaranteed = sum(
            account.guaranteed_accelerators
            for account in desired.accounts.values()
        )
        surplus: dict[str, list[str]] = {}
        for service in working:
            usable = self._registry.usable(service)
            left = sum(e.accelerators for e in usable) - guaranteed
            for executor in usable[1:]:
                since_s = self._idle_since_s.get(executor.executor_id)
                if since_s is None or since_s > oldest_s:
                    continue
                if executor.accelerators <= left and executor.machine_id:
                    left -= executor.accelerators
                    listed = surplus.setdefault(service, [])
                    listed.append(executor.machine_id)
        return surplus

    async def _shrink(
        self, service: str, machine_ids: list[str], standby: set[str]
    ) -> None:
        for machine in self._machine_list:
            if machine.machine_id not in machine_ids[:MAX_MOVES_PER_TICK]:
                continue
            home = self._standby_pool_for(machine, standby)
            if home is None or self._has_other_orders(machine.machine_id):
                continue
            session = self._registry.session_of_machine(machine.machine_id)
            if session is None or self._scheduling_state.is_busy(
                session.executor_id
            ):
                continue
            self._registry.retire(session)
            leaving = event.WorkerLeaving(session.executor_id)
            self._tell(service, leaving)
            if not await self._move(machine, home, why="idle"):
                self._registry.reinstate(session)

    def _standby_pool_for(
        self, machine: model.Machine, standby: set[str]
    ) -> str | None:
        """Return the standby pool that accepts machines of this kind."""
        known = {m.pool for m in self._machine_list if m.kind == machine.kind}
        for pool in sorted(standby, key=lambda p: p not in known):
            if (machine.kind, pool) not in self._unfit_pools:
                return pool
        return None

    async def _move(
        self, machine: model.Machine, pool: str, *, why: str
    ) -> bool:
        """Order a move; return whether it may have been carried out."""
        if not await self._election.may_order():
            return False
        moved = await self._machines.move(
            machine.machine_id, pool, epoch=self._epoch
        )
        self._unconfirmed.pop(machine.machine_id, None)
        outcome = "accepted"
        if isinstance(moved, result.Success):
            self._sender.count(metric_definitions.MACHINES_MOVED)
        else:
            fault = moved.failure()
            outcome = fault.why
            self._handle_move_failure(machine, pool, fault)
        self._log.info(
            "machine-moved",
            machine=machine.machine_id,
            pool=pool,
            before=machine.pool,
            reason=why,
            outcome=outcome,
        )
        unsure = machine.machine_id in self._unconfirmed
        return unsure or isinstance(moved, result.Success)

    def _handle_move_failure(
        self, machine: model.Machine, pool: str, fault: errors.Fault
    ) -> None:
        if isinstance(fault, errors.Fenced):
            self._election.give_up("fenced-by-machines")
        elif isinstance(fault, errors.OutcomeUnknown):
            # It may still be carried out, so the order is repeated.
            self._unconfirmed[machine.machine_id] = (machine, pool)
        elif fault.why == model.NO_MACHINE:
            self._unfit_pools.add((machine.kind, pool))


def _is_nonzero(need: amount.Amount) -> bool:
    return max(need.accelerators, need.cores, need.memory_mib) > 0
