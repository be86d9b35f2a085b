"""In-memory executors with fencing, leases, gangs and answer faults.

A task's specification sets its simulated behaviour: ``{"run_s": 2,
"gang": 3, "ends": "done"}``. ``"crashing": [0]`` lists tasks, by their
number in the step, that crash their executor ``crash_after_s`` after
each start, or before it is answered if that is 0; ``back_s`` and
``renamed`` say how it comes back.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import json

from returns import result

from knapweedwharf.core import amount
from knapweedwharf import errors
from knapweedwharf.fleet import model
from standins import capacity_record
from standins import fleet_advisor
from standins import fleet_faults
from standins import fleet_runs

ANSWER_S = 0.002
CALL_TIMEOUT_S = 0.7
CRASHED = "crashed"
"""Outcome of a run whose executor crashed; no report lists it."""

CRASH_AFTER_S = 0.01
BACK_AFTER_S = 3.0


class FakeExecutor:
    """One executor.

    :ivar silent: no call is executed or answered.
    :ivar is_crashing: it crashes before it answers.
    :ivar crashed: nothing listens on its address any more.
    :ivar lose_stops: number of next stops that are lost.
    :ivar lose_starts: number of next starts that are executed without
        an answer.
    :ivar late_s: delay after which such starts are executed.
    :ivar stalled: running tasks make no progress.
    :ivar lose_acknowledgements: ends are listed again although a renewal
        has acknowledged them.
    :ivar number: number of the newest end.
    :ivar stopped: task id to its newest ended or stopped run; starts
        of that run or older ones are refused.
    """

    def __init__(self, spec: model.Executor, pool: FakeExecutorPool) -> None:
        self.spec = spec
        self.pool = pool
        self.epoch = 0
        self.lease_until_ms = 0
        self.runs: dict[tuple[str, int], fleet_runs.RunState] = {}
        self.ends: list[model.RunEnd] = []
        self.number = 0
        self.stopped: dict[str, int] = {}
        self.silent = False
        self.is_crashing = False
        self.crashed = False
        self.lose_stops = 0
        self.lose_starts = 0
        self.late_s = 0.0
        self.stalled = False
        self.lose_acknowledgements = False
        self.advanced_s = 0.0
        self.changed = asyncio.Condition()
        self._note_capacity()

    def resize(self, **fields) -> None:
        """Change the capacity, as given by fields of the entry."""
        self.spec = dataclasses.replace(self.spec, **fields)
        self._note_capacity()

    def _note_capacity(self) -> None:
        spec = self.spec
        capacity = amount.Amount(
            spec.accelerators, spec.cores_milli, spec.memory_mib
        )
        now_s = asyncio.get_running_loop().time()
        record = self.pool.capacity_record
        record.set_capacity(spec.executor_id, capacity, now_s)

    def clock_ms(self) -> int:
        """Return the executor's clock, 5 s ahead of the event loop's."""
        return int(asyncio.get_running_loop().time() * 1000) + 5000

    async def advance(self) -> None:
        """End runs that are finished or whose lease has expired."""
        now_s = asyncio.get_running_loop().time()
        for key, state in list(self.runs.items()):
            if self.clock_ms() >= self.lease_until_ms:
                await self.finish(key, model.LAPSED)
                continue
            slowed = 1.0 if self.stalled else 1.0 - state.percent / 100
            state.stalled_s += slowed * (now_s - self.advanced_s)
            if state.behaviour.get("lasts"):
                continue
            if self.pool.share(key, state, now_s) >= 1.0:
                await self.finish(key, state.behaviour.get("ends", "done"))
        self.advanced_s = now_s

    async def finish(self, key: tuple[str, int], how: str) -> None:
        """End a run and record it."""
        state = self.runs.pop(key)
        self.number += 1
        self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])
        self.ends.append(model.RunEnd(self.number, key[0], key[1], how, ""))
        self._record(key, state, how)
        async with self.changed:
            self.changed.notify_all()

    async def crash(self) -> None:
        """End with all that runs here; nobody is told."""
        self.crashed = True
        for key, state in self.runs.items():
            self._record(key, state, CRASHED)
        self.runs.clear()
        self.ends.clear()
        async with self.changed:
            self.changed.notify_all()

    def _record(
        self, key: tuple[str, int], state: fleet_runs.RunState, how: str
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.pool.ended_runs.append(
            fleet_runs.RunRecord(
                key[0],
                key[1],
                self.spec.executor_id,
                state.begun_s,
                now_s,
                how,
            )
        )

    def start(self, order: model.StartOrder) -> errors.Fault | None:
        """Start a run; return a fault if it is refused."""
        if order.epoch < self.epoch:
            return fleet_faults.FENCED
        self.epoch = order.epoch
        key = (order.task_id, order.run)
        if key in self.runs:
            return None
        if order.not_after_ms < self.clock_ms():
            return fleet_faults.refused("late")
        if order.run <= self.stopped.get(order.task_id, 0):
            return fleet_faults.refused("old")
        behaviour = json.loads(order.specification)
        if behaviour.get("advised") and not self._has_ticket(order):
            return fleet_faults.refused(model.NO_TICKET)
        if self.pool.enforces_capacity:
            if len(self.runs) >= behaviour.get("slots", 8):
                return fleet_faults.refused("room")
        self.lease_until_ms = max(self.lease_until_ms, order.not_after_ms)
        now_s = asyncio.get_running_loop().time()
        self.runs[key] = fleet_runs.RunState(order, now_s, behaviour)
        self.pool.starts.append((now_s, self.spec.executor_id, key))
        number = int(order.task_id.rsplit(".", 1)[1])
        if number in behaviour.get("crashing", ()):
            self.pool.crash_soon(self, behaviour)
        if not self.pool.enforces_capacity:
            self._note_start(order.task_id, now_s)
        return None

    def _note_start(self, task_id: str, now_s: float) -> None:
        record = self.pool.capacity_record
        used = record.used(task for task, _run in self.runs)
        record.starts.append(
            capacity_record.Start(now_s, self.spec.executor_id, task_id, used)
        )

    def _has_ticket(self, order: model.StartOrder) -> bool:
        step_id = order.task_id.rsplit(".", 1)[0]
        return self.pool.advisor.is_valid(
            step_id, self.spec.executor_id, order.ticket
        )


CrashCallback = abc.Callable[[FakeExecutor, float, bool], abc.Awaitable[None]]


class FakeExecutorPool:
    """All executors, and the client through which the fleet calls them.

    :ivar ended_runs: runs that have ended, in order.
    :ivar renewals: number of renewals requested.
    :ivar refused: reasons of refused starts, in order.
    :ivar stop_s: how long a run goes on after a stop was answered.
    :ivar starts: (time, executor id, (task, run)) of each start.
    :ivar crashes: (time, executor id) of each crash.
    :ivar on_crash: called with an executor that a task has crashed, after
        how many seconds it is back, and whether under another id.
    :ivar enforces_capacity: executors refuse what doesn't fit.
    :ivar listed_ends: maximum number of ends in a report.
    """

    def __init__(self) -> None:
        self.enforces_capacity = True
        self.listed_ends = 500
        self.capacity_record = capacity_record.CapacityRecord()
        self.advisor = fleet_advisor.FakeAdvisor()
        self.refused: list[str] = []
        self.executors: dict[str, FakeExecutor] = {}
        self.ended_runs: list[fleet_runs.RunRecord] = []
        self.starts: list[tuple[float, str, tuple[str, int]]] = []
        self.crashes: list[tuple[float, str]] = []
        self.on_crash: CrashCallback | None = None
        self.renewals = 0
        self.stop_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    def add(self, spec: model.Executor) -> FakeExecutor:
        """Add an executor."""
        executor = FakeExecutor(spec, self)
        self.executors[spec.executor_id] = executor
        return executor

    def crash_soon(self, executor: FakeExecutor, behaviour: dict) -> None:
        """Let a task crash its executor."""
        if not behaviour.get("crash_after_s", CRASH_AFTER_S):
            executor.is_crashing = True
        self._tasks.add(asyncio.create_task(self._crash(executor, behaviour)))

    async def _crash(self, executor: FakeExecutor, behaviour: dict) -> None:
        await asyncio.sleep(behaviour.get("crash_after_s", CRASH_AFTER_S))
        if not executor.crashed:
            await self.on_crash(
                executor,
                behaviour.get("back_s", BACK_AFTER_S),
                behaviour.get("renamed", False),
            )

    def share(
        self, key: tuple[str, int], state: fleet_runs.RunState, now_s
    ) -> float:
        """Return the progress of a run, from 0 to 1.

        A gang makes progress only while all its members run, counted
        from the start of its last member.
        """
        gang = state.behaviour.get("gang", 1)
        begun_s = state.begun_s
        if gang > 1:
            gang_id = key[0].rsplit(".", 1)[0]
            members = [
                other.begun_s
                for executor in self.executors.values()
                for (task_id, run), other in executor.runs.items()
                if run == key[1] and task_id.rsplit(".", 1)[0] == gang_id
            ]
            done = any(
                s.outcome == "done"
                and s.run == key[1]
                and s.task_id.rsplit(".", 1)[0] == gang_id
                for s in self.ended_runs
            )
            if done:
                return 1.0
            if len(members) < gang:
                return 0.0
            begun_s = max(members)
        worked_s = now_s - begun_s - state.stalled_s
        return min(1.0, worked_s / state.behaviour.get("run_s", 1.0))

    def _percent(
        self, key: tuple[str, int], state: fleet_runs.RunState, now_s
    ) -> int:
        return int(100 * max(0.0, self.share(key, state, now_s)))

    async def run_forever(self) -> None:
        """Advance every executor periodically."""
        while True:
            await asyncio.sleep(0.01)
            for executor in list(self.executors.values()):
                await executor.advance()

    # Client interface

    async def renew(
        self,
        executor: model.Executor,
        *,
        epoch: int,
        lease_until_ms: int,
        acknowledged_end: int,
        wait_s: float,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Answer a renewal."""
        self.renewals += 1
        found = self.executors.get(executor.executor_id)
        await asyncio.sleep(ANSWER_S)
        if found is not None and found.crashed:
            return result.Failure(fleet_faults.REFUSED_CONNECTION)
        if found is None or found.silent:
            await asyncio.sleep(wait_s + timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if epoch < found.epoch:
            return result.Failure(fleet_faults.FENCED)
        found.epoch = epoch
        await found.advance()
        found.lease_until_ms = max(found.lease_until_ms, lease_until_ms)
        if not found.lose_acknowledgements:
            found.ends = [e for e in found.ends if e.number > acknowledged_end]
        if wait_s and not found.ends:
            try:
                async with asyncio.timeout(wait_s), found.changed:
                    await found.changed.wait()
            except TimeoutError:
                await found.advance()
        if found.silent:
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if found.crashed:
            return result.Failure(fleet_faults.UNKNOWN)
        return result.Success(self._report(found))

    def _report(self, found: FakeExecutor) -> model.Report:
        now_s = asyncio.get_running_loop().time()
        rows = [
            model.RunStatus(
                key[0],
                key[1],
                "",
                self._percent(key, state, now_s),
                fleet_runs.load_ms(state, found.runs.values()),
            )
            for key, state in found.runs.items()
        ]
        return model.Report(
            found.clock_ms(),
            found.spec.incarnation_ms,
            tuple(rows),
            tuple(found.ends[: self.listed_ends]),
            has_all_ends=len(found.ends) < self.listed_ends,
        )

    async def start(
        self,
        executor: model.Executor,
        order: model.StartOrder,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Answer a start."""
        found = self.executors.get(executor.executor_id)
        await asyncio.sleep(ANSWER_S)
        if found is not None and found.crashed:
            return result.Failure(fleet_faults.REFUSED_CONNECTION)
        if found is None or found.silent:
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if found.lose_starts:
            found.lose_starts -= 1
            task = asyncio.create_task(self._start_late(found, order))
            self._tasks.add(task)
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        fault = found.start(order)
        if fault is not None:
            self.refused.append(fault.why)
            return result.Failure(fault)
        if found.is_crashing:
            return result.Failure(fleet_faults.UNKNOWN)
        return result.Success(found.clock_ms())

    async def _start_late(self, found: FakeExecutor, order) -> None:
        await asyncio.sleep(found.late_s)
        found.start(order)

    async def stop(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        epoch: int,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Answer a stop."""
        found = self.executors.get(executor.executor_id)
        await asyncio.sleep(ANSWER_S)
        if found is not None and found.crashed:
            return result.Failure(fleet_faults.REFUSED_CONNECTION)
        if found is None or found.silent:
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if found.lose_stops:
            found.lose_stops -= 1
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if epoch < found.epoch:
            return result.Failure(fleet_faults.FENCED)
        found.stopped[task_id] = max(found.stopped.get(task_id, 0), run)
        if (task_id, run) in found.runs:
            work = self._finish_stopped(found, (task_id, run))
            task = asyncio.create_task(work)
            self._tasks.add(task)
        return result.Success(found.clock_ms())

    async def _finish_stopped(
        self, found: FakeExecutor, key: tuple[str, int]
    ) -> None:
        if self.stop_s:
            await asyncio.sleep(self.stop_s)
        if key in found.runs:
            await found.finish(key, model.STOPPED)

    async def pace(
        self,
        executor: model.Executor,
        *,
        task_id: str,
        run: int,
        percent: int,
        epoch: int,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Answer an order that sets a run's speed."""
        found = self.executors.get(executor.executor_id)
        await asyncio.sleep(ANSWER_S)
        if found is not None and found.crashed:
            return result.Failure(fleet_faults.REFUSED_CONNECTION)
        if found is None or found.silent:
            await asyncio.sleep(timeout_s)
            return result.Failure(fleet_faults.UNKNOWN)
        if epoch < found.epoch:
            return result.Failure(fleet_faults.FENCED)
        state = found.runs.get((task_id, run))
        if state is None:
            return result.Failure(fleet_faults.refused("old"))
        state.percent = percent
        return result.Success(found.clock_ms())

    def close(self) -> None:
        """Do nothing; there are no connections."""
