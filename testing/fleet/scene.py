"""A fleet of VMs on virtual time, with an in-memory store and executors."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import json

from knapweedwharf.core import workflow
from knapweedwharf.fleet import capacity
from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import job_api as job_api_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import node as node_module
from knapweedwharf import metrics
from standins import fleet_executors
from standins import fleet_machines
from standins import fleet_runs
from standins import fleet_store
from standins import limited_link
from standins import virtual_time
from testing.fleet import entries

CONFIG_KEY = entries.CONFIG_KEY
EXECUTORS = entries.EXECUTORS
HOST = entries.HOST
PREFIX = entries.PREFIX
URGENT_PREFIX = entries.URGENT_PREFIX
ADVISED_PREFIX = entries.ADVISED_PREFIX
STORE_SCHEMA = entries.STORE_SCHEMA
desired = entries.desired
UNIX_AT_START_S = 1_700_000_000.0
UNLISTED_AFTER_S = 4.5
"""Three missed heartbeats, after which an executor's entry is removed."""

BOUNDS = model.TimeLimits()
CONTACT_S = 3.0
BEAT_S = 1.5
SHRUNK_GRACE_S = CONTACT_S + BEAT_S
"""Time for which a start may still fit the capacity from before it shrank."""


def step(**fields) -> workflow.Step:
    """Return a step of small tasks."""
    defaults = {
        "tasks": 1,
        "cores_milli": 1000,
        "memory_mib": 1000,
        "accelerators": 1,
        "expected_run_s": 1.0,
    }
    return workflow.Step(**{**defaults, **fields})


class Vm:
    """One VM with its own connection to the store."""

    def __init__(self, name: str, scene: Scene) -> None:
        self.store = fleet_store.FakeStore(scene.store)
        executors = scene.pool
        link_capacity = capacity.Capacity()
        if scene.link_bytes_per_s:
            self.link = limited_link.Link(scene.link_bytes_per_s)
            self.store = limited_link.LimitedStore(scene.store, self.link)
            executors = limited_link.LimitedExecutors(scene.pool, self.link)
            self.executors = executors
            link_capacity = capacity.Capacity(
                link_bps=8 * scene.link_bytes_per_s
            )
        process_config = model.ProcessConfig(
            name,
            "dc",
            "",
            "",
            "",
            "",
            bounds=BOUNDS,
            capacity=link_capacity,
        )
        self.node = node_module.Node(
            process_config,
            clients=clients_module.PlatformClients(
                store=self.store,
                executors=executors,
                advisor=scene.pool.advisor,
                machines=scene.machines,
                store_schema=STORE_SCHEMA,
            ),
            sender=metrics.Metrics(None),
        )

    @property
    def is_owner(self) -> bool:
        """Whether this VM is the owner."""
        return self.node.election.ownership is not None

    async def kill(self) -> None:
        """End the VM as a power failure does: nothing more is sent."""
        self.store.path.refused = True
        await self.node.close()


class Scene:
    """The store, the executors and some VMs.

    :ivar link_bytes_per_s: bandwidth of each VM's link, for all of its
        calls together and each way; 0 if it isn't limited.
    :ivar clock_step_s: what all VMs' time of day has jumped by.
    """

    def __init__(self) -> None:
        self.store = fleet_store.StoreState()
        self.pool = fleet_executors.FakeExecutorPool()
        self.machines = fleet_machines.FakeMachines(
            on_machine_up=self._start_executor,
            on_machine_down=self._end_executor,
        )
        self.pool.on_crash = self._crashed_by_task
        self._crash_tasks: set[asyncio.Task] = set()
        self._incarnations = 1
        self.link_bytes_per_s = 0.0
        self.clock_step_s = 0.0
        self.vms: list[Vm] = []
        self._next_id = 0

    async def open(self, *, vms: int, executors: int, **fields) -> None:
        """Start everything and wait for an owner."""
        self.pool.enforces_capacity = fields.get("enforces_capacity", True)
        self._time = asyncio.create_task(self.pool.run_forever())
        await self.store.external_write(CONFIG_KEY, desired(**fields))
        for number in range(executors):
            await self.add_executor(f"e{number}", rack=f"r{number // 2}")
        for number in range(vms):
            vm = Vm(f"vm-{number}", self)
            self.vms.append(vm)
            await vm.node.start()
        await self.until(lambda: self.owner is not None)
        await asyncio.sleep(0.3)

    async def close(self) -> None:
        """End everything."""
        for vm in self.vms:
            await vm.node.close()
        for task in self._crash_tasks:
            task.cancel()
        self._time.cancel()

    async def add_executor(self, executor_id: str, *, rack: str, **fields):
        """Add an executor and its entry."""
        spec = model.Executor(
            executor_id=executor_id,
            address="",
            service="pool",
            data_centre="dc",
            state=model.READY,
            cores_milli=32_000,
            memory_mib=64_000,
            accelerators=8,
            labels=("a", rack),
            incarnation_ms=1,
            machine_id=f"m-{executor_id}",
        )
        spec = dataclasses.replace(spec, **fields)
        self.pool.add(spec)
        self.machines.machines[spec.machine_id] = model.Machine(
            machine_id=spec.machine_id,
            pool=spec.service,
            state=model.MACHINE_UP,
            cores_milli=spec.cores_milli,
            memory_mib=spec.memory_mib,
            accelerators=spec.accelerators,
            labels=spec.labels,
            executor_id=spec.executor_id,
            data_centre=spec.data_centre,
        )
        await self.list_executor(spec)

    def add_standby_machine(
        self, machine_id: str, *, pool: str, kind: str = "a"
    ):
        """Add a machine to a standby pool."""
        self.machines.machines[machine_id] = model.Machine(
            machine_id=machine_id,
            pool=pool,
            state=model.MACHINE_UP,
            cores_milli=32_000,
            memory_mib=64_000,
            accelerators=8,
            labels=(kind, "r8"),
            data_centre="dc",
        )

    async def _end_executor(self, machine: model.Machine) -> None:
        """End all runs on a machine and remove its executor's entry."""
        executor = self.pool.executors.pop(machine.executor_id, None)
        if executor is not None:
            for key in list(executor.runs):
                await executor.finish(key, model.LAPSED)
            await self.store.external_remove(EXECUTORS + machine.executor_id)

    async def _start_executor(self, machine: model.Machine) -> None:
        """Let a machine join its pool as a new executor."""
        if machine.pool != "pool":
            off = dataclasses.replace(machine, executor_id="")
            self.machines.machines[machine.machine_id] = off
            return
        self._incarnations += 1
        executor_id = f"{machine.machine_id}-{self._incarnations}"
        await self.add_executor(
            executor_id,
            rack=machine.labels[1],
            machine_id=machine.machine_id,
            service=machine.pool,
            data_centre=machine.data_centre,
            incarnation_ms=self._incarnations,
        )

    async def crash_executor(
        self,
        executor_id: str,
        *,
        back_s: float | None = None,
        renamed: bool = False,
        listed_after_s: float = 0.0,
    ) -> None:
        """Crash an executor.

        :param back_s: after how many seconds it is back; None for never.
        :param renamed: whether it is back under another id.
        :param listed_after_s: time from its return to its new entry.
        """
        executor = self.pool.executors[executor_id]
        now_s = asyncio.get_running_loop().time()
        self.pool.crashes.append((now_s, executor_id))
        self.machines.crash(executor.spec.machine_id)
        await executor.crash()
        self._spawn(self._unlist_crashed(executor))
        if back_s is not None:
            self._spawn(
                self._return_crashed(executor, back_s, renamed, listed_after_s)
            )

    async def _crashed_by_task(
        self,
        executor: fleet_executors.FakeExecutor,
        back_s: float | None,
        renamed: bool,
    ) -> None:
        await self.crash_executor(
            executor.spec.executor_id, back_s=back_s, renamed=renamed
        )

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _unlist_crashed(
        self, executor: fleet_executors.FakeExecutor
    ) -> None:
        await asyncio.sleep(UNLISTED_AFTER_S)
        executor_id = executor.spec.executor_id
        if self.pool.executors.get(executor_id) is executor:
            await self.store.external_remove(EXECUTORS + executor_id)

    async def _return_crashed(
        self,
        executor: fleet_executors.FakeExecutor,
        back_s: float,
        renamed: bool,
        listed_after_s: float,
    ) -> None:
        await asyncio.sleep(back_s)
        self._incarnations += 1
        executor_id = executor.spec.executor_id
        if renamed:
            executor_id = f"{executor.spec.machine_id}-{self._incarnations}"
        spec = dataclasses.replace(
            executor.spec,
            executor_id=executor_id,
            incarnation_ms=self._incarnations,
        )
        self.pool.add(spec)
        self.machines.come_back(spec.machine_id, executor_id)
        await asyncio.sleep(listed_after_s)
        await self.list_executor(spec)

    async def list_executor(self, spec: model.Executor) -> None:
        """Write an executor's entry."""
        value = json.dumps(dataclasses.asdict(spec)).encode()
        await self.store.external_write(EXECUTORS + spec.executor_id, value)

    async def resize(
        self, executor_id: str, *, listed_after_s: float = 0.0, **fields
    ) -> None:
        """Change an executor's capacity, and then its entry."""
        executor = self.pool.executors[executor_id]
        executor.resize(**fields)
        await asyncio.sleep(listed_after_s)
        await self.list_executor(executor.spec)

    @property
    def owner(self) -> Vm | None:
        """The VM that is the owner, if there is one."""
        return next((vm for vm in self.vms if vm.is_owner), None)

    def bystander(self) -> Vm:
        """Return a VM that is not the owner."""
        return next(vm for vm in self.vms if not vm.is_owner)

    async def until(self, condition, *, within_s: float = 30.0) -> None:
        """Wait until a condition holds; fail after ``within_s``."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.01)

    # Calls

    def call(
        self, job_id: str, *, key: str = "key", prefix=PREFIX, wait_s=3.0
    ) -> job_api_module.Call:
        """Return a call with a deadline in ``wait_s``."""
        deadline_s = clock.elapsed_s() + wait_s
        return job_api_module.Call(HOST, prefix + job_id, key, deadline_s)

    async def submit(
        self, vm: Vm, *steps: workflow.Step, behaviour=None, prefix=PREFIX
    ):
        """Submit a job; return its id and the outcome."""
        self._next_id += 1
        job_id = f"{self._next_id:016x}"
        self.pool.capacity_record.add_job(job_id, steps)
        outcome = await vm.node.job_api.submit(
            self.call(job_id, prefix=prefix),
            specification=json.dumps(behaviour or {}),
            steps=steps,
        )
        return job_id, outcome

    async def state(self, job_id: str, vm: Vm | None = None) -> str:
        """Return a job's state as callers see it."""
        vm = vm or self.vms[-1]
        shown = await vm.node.job_api.state(self.call(job_id))
        return shown.unwrap()

    async def until_state(
        self, job_id: str, state: str, *, vm=None, within_s: float = 30.0
    ) -> None:
        """Wait until callers see a state; refused calls are repeated."""
        vm = vm or self.vms[-1]
        async with asyncio.timeout(within_s):
            while True:
                shown = await vm.node.job_api.state(self.call(job_id))
                if shown.value_or("") == state:
                    return
                await asyncio.sleep(0.05)

    # Checks

    def runs_of(self, job_id: str) -> list[fleet_runs.RunRecord]:
        """Return the ended runs of a job."""
        return [
            s for s in self.pool.ended_runs if s.task_id.startswith(job_id)
        ]

    def check_single_execution(self) -> None:
        """Fail if a task's runs overlap or it runs again once done."""
        by_task: dict[str, list[fleet_runs.RunRecord]] = {}
        for run in self.pool.ended_runs:
            by_task.setdefault(run.task_id, []).append(run)
        for task_id, runs in by_task.items():
            runs.sort(key=lambda run: run.begun_s)
            for first, second in zip(runs, runs[1:]):
                assert first.ended_s <= second.begun_s, task_id
                assert first.outcome != model.DONE, task_id

    def check_capacity(self) -> None:
        """Fail if a start brought an executor over its capacity."""
        found = self.pool.capacity_record.overruns(SHRUNK_GRACE_S)
        assert not found, found


def run_on_virtual_time(main, monkeypatch) -> None:
    """Run a test on virtual time, with all clocks patched to it."""

    def now_s() -> float:
        return asyncio.get_running_loop().time()

    monkeypatch.setattr(clock, "elapsed_s", now_s)
    scene = Scene()
    monkeypatch.setattr(
        clock,
        "unix_s",
        lambda: UNIX_AT_START_S + now_s() + scene.clock_step_s,
    )

    async def whole() -> None:
        try:
            await main(scene)
        finally:
            await scene.close()
        scene.check_single_execution()
        scene.check_capacity()

    virtual_time.run(whole())
