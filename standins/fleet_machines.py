"""In-memory machines; moves and maintenance restart a machine."""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model

ANSWER_S = 0.005
MAINTENANCE_S = 2.0
MIGRATION_S = 1.5
_UNKNOWN = errors.OutcomeUnknown(message="No answer.", remedy="Ask again.")
_FENCED = errors.Fenced(message="Newer epoch.", remedy="Stop.")


class FakeMachines:
    """All machines and the client through which they are ordered.

    :param on_machine_up: called with a machine when it is up again.
    :param on_machine_down: called with a machine when it goes down.
    :ivar lose_answers: number of next orders that are executed without
        an answer.
    :ivar drop_orders: number of next orders that are neither executed nor
        answered.
    :ivar silence_s: time after which the caller gives up such an order.
    :ivar maintenance_orders: machine ids of all maintenance orders, also
        repeated ones.
    :ivar maintained: (time, machine id) of each maintenance started.
    :ivar done: (machine id, wave) of each maintenance started.
    :ivar moved: (time, machine id, new pool) of each move.
    :ivar max_in_maintenance: maximum number of machines in maintenance at
        once.
    """

    def __init__(self, *, on_machine_up, on_machine_down) -> None:
        self.machines: dict[str, model.Machine] = {}
        self.lose_answers = 0
        self.drop_orders = 0
        self.silence_s = 1.0
        self.maintenance_orders: list[str] = []
        self.maintained: list[tuple[float, str]] = []
        self.moved: list[tuple[float, str, str]] = []
        self.max_in_maintenance = 0
        self.listings = 0
        self._epochs: dict[str, int] = {}
        self.done: set[tuple[str, int]] = set()
        self._on_machine_up = on_machine_up
        self._on_machine_down = on_machine_down
        self._tasks: set[asyncio.Task] = set()

    async def list(self):
        """Return every machine."""
        self.listings += 1
        await asyncio.sleep(ANSWER_S)
        return result.Success(tuple(self.machines.values()))

    async def move(self, machine_id: str, pool: str, *, epoch: int):
        """Move a machine to another pool."""
        await asyncio.sleep(ANSWER_S)
        fault = self._check_order(machine_id, epoch)
        machine = self.machines.get(machine_id)
        if fault is None and machine.pool != pool:
            self.moved.append((self._now_s(), machine_id, pool))
            moved = dataclasses.replace(
                machine, pool=pool, state=model.MACHINE_MOVING
            )
            await self._take_down(moved, MIGRATION_S)
        return self._answer(fault)

    async def maintain(self, machine_id: str, wave: int, *, epoch: int):
        """Start a machine's maintenance, at most once per wave."""
        await asyncio.sleep(ANSWER_S)
        self.maintenance_orders.append(machine_id)
        if self.drop_orders:
            self.drop_orders -= 1
            await asyncio.sleep(self.silence_s)
            return result.Failure(_UNKNOWN)
        if (machine_id, wave) in self.done:
            return self._answer(None)
        fault = self._check_order(machine_id, epoch)
        if fault is None:
            self.done.add((machine_id, wave))
            self.maintained.append((self._now_s(), machine_id))
            down = dataclasses.replace(
                self.machines[machine_id], state=model.MACHINE_MAINTAINED
            )
            await self._take_down(down, MAINTENANCE_S)
        return self._answer(fault)

    def crash(self, machine_id: str) -> None:
        """Note that a machine crashes; orders are refused until its return."""
        self._set_state(machine_id, model.MACHINE_DOWN)

    def come_back(self, machine_id: str, executor_id: str) -> None:
        """Note that a crashed machine is back with an executor."""
        self._set_state(machine_id, model.MACHINE_UP, executor_id=executor_id)

    def _set_state(self, machine_id: str, state: str, **fields) -> None:
        machine = self.machines.get(machine_id)
        if machine is not None:
            self.machines[machine_id] = dataclasses.replace(
                machine, state=state, **fields
            )

    def _check_order(self, machine_id: str, epoch: int) -> errors.Fault | None:
        machine = self.machines.get(machine_id)
        if machine is None:
            return errors.OrderRefused("No.", "Look.", model.NO_MACHINE)
        if epoch < self._epochs.get(machine_id, 0):
            return _FENCED
        self._epochs[machine_id] = epoch
        if machine.state != model.MACHINE_UP:
            return errors.OrderRefused("Busy.", "Wait.", "busy")
        return None

    def _answer(self, fault: errors.Fault | None):
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Failure(_UNKNOWN)
        return result.Failure(fault) if fault else result.Success(None)

    async def _take_down(self, machine: model.Machine, for_s: float) -> None:
        self.machines[machine.machine_id] = machine
        down = [
            m
            for m in self.machines.values()
            if m.state == model.MACHINE_MAINTAINED
        ]
        self.max_in_maintenance = max(self.max_in_maintenance, len(down))
        await self._on_machine_down(machine)
        task = asyncio.create_task(self._bring_up(machine, for_s))
        self._tasks.add(task)

    async def _bring_up(self, machine: model.Machine, for_s: float) -> None:
        await asyncio.sleep(for_s)
        machine = dataclasses.replace(machine, state=model.MACHINE_UP)
        self.machines[machine.machine_id] = machine
        await self._on_machine_up(machine)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def close(self) -> None:
        """Do nothing; there are no connections."""
