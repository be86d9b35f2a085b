"""Machines between pools that work and pools that are off.

A service that has work waiting takes machines of its kind from a pool
on standby, as many as the work needs. A machine that has been idle for
as long as a move is worth goes back, unless the accounts' guarantees
need it. Nothing runs on a machine when it is moved.
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
from knapweedwharf.fleet import duty as duty_module
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf import log

TICK_S = 0.5
"""Under a third of a move."""

LOOK_S = 2.0
"""Lists of machines are priced; a move takes about as long."""

IDLE_S = 8.0
"""What a move costs, in time of a machine, by the platform's prices."""

MOVES_AT_ONCE = 8
"""Orders in one tick; the platform's rate is several times that."""

Waiting = abc.Callable[[str], amount.Amount]
"""service to what its waiting work needs, cores in thousandths"""


def machines_for(need: amount.Amount, machine: model.Machine) -> int:
    """Return how many machines hold what waits."""
    if need.accelerators and not machine.accelerators:
        return 0
    shares = (
        need.accelerators / max(machine.accelerators, 1),
        need.cores / max(machine.cores_milli, 1),
        need.memory_mib / max(machine.memory_mib, 1),
    )
    return math.ceil(max(shares))


class Pools(background.Background):
    """Moves machines while this VM is the owner.

    :param waiting: what a service's waiting work needs.
    :param is_spoken_for: machines that others give orders for.
    """

    def __init__(
        self,
        duty: duty_module.Duty,
        *,
        waiting: Waiting,
        is_spoken_for: abc.Callable[[str], bool],
    ) -> None:
        self._machines = duty.outside.machines
        self._desired = duty.desired
        self._registry = duty.registry
        self._board = duty.board
        self._election = duty.election
        self._ordinal = duty.ownership.ordinal
        self._sender = duty.sender
        self._tell = duty.tell
        self._first_order_s = duty.first_order_s
        self._waiting = waiting
        self._is_spoken_for = is_spoken_for
        self._log = log.get("pools").bind(epoch=duty.ownership.ordinal)
        self._listed: tuple[model.Machine, ...] = ()
        self._looked_s = float("-inf")
        self._idle_since_s: dict[str, float] = {}
        self._misfits: set[tuple[str, str]] = set()
        self._unsure: dict[str, tuple[model.Machine, str]] = {}

    async def _run(self) -> None:
        while self._election.is_owner:
            await asyncio.sleep(TICK_S)
            try:
                await self._step()
            except Exception:
                # The next tick may succeed; work waits meanwhile.
                self._log.exception("pools-broken")

    async def _step(self) -> None:
        services = self._services()
        standby = {s.name for s in services if s.is_standby}
        if not standby or clock.elapsed_s() < self._first_order_s:
            return
        for machine, pool in list(self._unsure.values()):
            await self._move(machine, pool, why="no-answer")
        working = [s.name for s in services if not s.is_standby]
        needs = {service: self._waiting(service) for service in working}
        self._note_idle(working)
        surplus = self._surplus(working)
        if not any(map(_is_some, needs.values())) and not surplus:
            return
        if not await self._look():
            return
        for service in working:
            if _is_some(needs[service]):
                await self._grow(service, needs[service], standby)
            elif service in surplus:
                await self._shrink(service, surplus[service], standby)

    def _services(self) -> list[model.Service]:
        desired = self._desired.current
        return list(desired.services.values()) if desired else []

    async def _look(self) -> bool:
        """Read the list of machines, unless the last one is fresh."""
        if clock.elapsed_s() - self._looked_s < LOOK_S:
            return False
        self._looked_s = clock.elapsed_s()
        listed = await self._machines.list()
        if isinstance(listed, result.Failure):
            why = listed.failure().code
            self._log.warning("machines-not-listed", why=why)
            return False
        self._listed = listed.unwrap()
        return True

    # More machines

    async def _grow(
        self, service: str, need: amount.Amount, standby: set[str]
    ) -> None:
        own = [m for m in self._listed if m.pool == service]
        kinds = {m.kind for m in own}
        coming = sum(m.state == model.MACHINE_MOVING for m in own)
        spare = [
            m
            for m in self._listed
            if m.pool in standby
            and m.state == model.MACHINE_UP
            and (not kinds or m.kind in kinds)
            and (m.kind, service) not in self._misfits
            and not self._is_spoken_for(m.machine_id)
        ]
        if not spare:
            return
        count = machines_for(need, spare[0]) - coming
        for machine in spare[: max(0, min(count, MOVES_AT_ONCE))]:
            await self._move(machine, service, why="work-waits")

    # Fewer machines

    def _note_idle(self, working: list[str]) -> None:
        now_s = clock.elapsed_s()
        idle = {
            executor.executor_id
            for service in working
            for executor in self._registry.usable(service)
            if not self._board.is_busy(executor.executor_id)
        }
        self._idle_since_s = {
            executor_id: self._idle_since_s.get(executor_id, now_s)
            for executor_id in idle
        }

    def _surplus(self, working: list[str]) -> dict[str, list[str]]:
        """Return the machines that each service has no use for.

        What the accounts are guaranteed stays, whether in use or not.
        """
        oldest_s = clock.elapsed_s() - IDLE_S
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
        for machine in self._listed:
            if machine.machine_id not in machine_ids[:MOVES_AT_ONCE]:
                continue
            home = self._home_of(machine, standby)
            if home is None or self._is_spoken_for(machine.machine_id):
                continue
            session = self._registry.of_machine(machine.machine_id)
            if session is None or self._board.is_busy(session.executor_id):
                continue
            self._registry.retire(session)
            leaving = event.WorkerLeaving(session.executor_id)
            self._tell(service, leaving)
            if not await self._move(machine, home, why="idle"):
                self._registry.reinstate(session)

    def _home_of(
        self, machine: model.Machine, standby: set[str]
    ) -> str | None:
        """Return the pool on standby that takes machines of its kind."""
        known = {m.pool for m in self._listed if m.kind == machine.kind}
        for pool in sorted(standby, key=lambda p: p not in known):
            if (machine.kind, pool) not in self._misfits:
                return pool
        return None

    async def _move(
        self, machine: model.Machine, pool: str, *, why: str
    ) -> bool:
        """Order a move; tells whether it may have been carried out."""
        moved = await self._machines.move(
            machine.machine_id, pool, epoch=self._ordinal
        )
        self._unsure.pop(machine.machine_id, None)
        outcome = "accepted"
        if isinstance(moved, result.Success):
            self._sender.count(measures.MOVED)
        else:
            fault = moved.failure()
            outcome = fault.why
            self._not_moved(machine, pool, fault)
        self._log.info(
            "machine-moved",
            machine=machine.machine_id,
            pool=pool,
            before=machine.pool,
            reason=why,
            outcome=outcome,
        )
        unsure = machine.machine_id in self._unsure
        return unsure or isinstance(moved, result.Success)

    def _not_moved(
        self, machine: model.Machine, pool: str, fault: errors.Fault
    ) -> None:
        if isinstance(fault, errors.Fenced):
            self._election.lose("fenced-by-machines")
        elif isinstance(fault, errors.OutcomeUnknown):
            # It may be carried out yet; the order is repeated.
            self._unsure[machine.machine_id] = (machine, pool)
        elif fault.why == model.NO_MACHINE:
            self._misfits.add((machine.kind, pool))


def _is_some(need: amount.Amount) -> bool:
    return max(need.accelerators, need.cores, need.memory_mib) > 0
