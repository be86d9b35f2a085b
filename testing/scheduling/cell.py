"""Test data centre on virtual time: two scheduling roles, three workers."""

from __future__ import annotations

import asyncio
from collections import abc
import itertools

from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.core import model
from knapweedwharf.scheduling import inbox as inbox_module
from knapweedwharf.scheduling import role as role_module
from knapweedwharf import settings as settings_module
from standins import in_process
from standins import worker_state

WORKERS = ("w1", "w2", "w3")
ACCELERATORS = 2
LONG_RUN_S = 100_000.0
SETTINGS = settings_module.Settings(
    node_id="vm",
    data_centre="dc",
    http_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    platform_url="http://127.0.0.1:3",
    peer_key="a-key-for-tests-only",
)
LIVE_STATES = ("provisional", "running")


class Node:
    """One VM's scheduling role, with its links to the store and workers."""

    def __init__(self, cell: Cell, name: str) -> None:
        self.store_link = in_process.SimulatedNetwork(name)
        self.worker_link = in_process.SimulatedNetwork(name)
        self.peers_reach_store = False
        self.store = in_process.InProcessStore(cell.keys, self.store_link)
        self.role = role_module.Role(
            settings=SETTINGS,
            store=self.store,
            worker=in_process.InProcessWorkers(cell.workers, self.worker_link),
            peers_reach_store=lambda: self.peers_reach_store,
            clock=lambda: asyncio.get_running_loop().time(),
        )

    def pause(self) -> None:
        """Suspend the node's calls to the store and to workers."""
        self.store_link.unpaused.clear()
        self.worker_link.unpaused.clear()

    def resume(self) -> None:
        """Resume the suspended calls."""
        self.store_link.unpaused.set()
        self.worker_link.unpaused.set()

    async def crash(self) -> None:
        """Stop the node without any further call; it does not resign."""
        self.pause()
        for link in (self.store_link, self.worker_link):
            link.decide_outcome = (
                lambda _call: in_process.DeliveryOutcome.REFUSED
            )
        self.resume()
        await self.role.close()


class Cell:
    """A small data centre with one shared store; use ``async with``."""

    def __init__(self, nodes: int = 2) -> None:
        self.keys = in_process.StoreState()
        loop = asyncio.get_running_loop()
        self.workers = {
            name: worker_state.Worker(
                worker_id=name,
                rack="r",
                data_centre="dc",
                accelerators=ACCELERATORS,
                cores=64,
                memory_mib=65_536,
                clock=loop.time,
            )
            for name in WORKERS
        }
        self.nodes = [Node(self, f"vm{n}") for n in range(1, nodes + 1)]
        self._numbers = itertools.count(1)
        self._ticker: asyncio.Task | None = None

    async def __aenter__(self) -> Cell:
        self._ticker = asyncio.create_task(self._advance())
        for node in self.nodes:
            await node.role.start()
            node.role.post(role_module.VmsListed(self.vms()))
            # Lets the first node win the first election.
            await asyncio.sleep(0.2)
        return self

    async def __aexit__(self, *_error) -> None:
        self._ticker.cancel()
        for node in self.nodes:
            await node.crash()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(in_process.TICK_S)
            for worker in self.workers.values():
                worker.advance()

    def vms(self) -> tuple[directory_module.Vm, ...]:
        """Return the list of workers."""
        return tuple(
            directory_module.Vm(
                vm_id=name, kind="worker", data_centre="dc", address=name
            )
            for name in self.workers
        )

    async def submit(self, node: Node | None = None, **options) -> str:
        """Submit a gang that fills all workers; return its job id."""
        job = model.JobSpec(
            **{
                "job_id": f"job-{next(self._numbers)}",
                "account": "a",
                "data_centre": "dc",
                "kind": "job",
                "tasks": len(WORKERS),
                "accelerators_per_task": ACCELERATORS,
                "cores_per_task": 1,
                "memory_mib_per_task": 1,
                "declared_run_s": LONG_RUN_S,
                **options,
            }
        )
        link = in_process.SimulatedNetwork("caller")
        store = in_process.InProcessStore(self.keys, link)
        (await inbox_module.submit(store, job)).unwrap()
        return job.job_id

    async def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        store = in_process.InProcessStore(
            self.keys, in_process.SimulatedNetwork("caller")
        )
        await inbox_module.cancel(store, data_centre="dc", job_id=job_id)

    def owner(self) -> Node | None:
        """Return the active node with the newest epoch."""
        owners = [n for n in self.nodes if n.role.active]
        return max(owners, key=lambda n: n.role.ownership.epoch, default=None)

    def state(self, job_id: str) -> str:
        """Return a job's state as the owner sees it."""
        owner = self.owner()
        if owner is None or job_id not in owner.role.tenure.records:
            return ""
        return owner.role.tenure.records[job_id].state

    async def until(
        self, holds: abc.Callable[[], object], *, limit_s: float = 2_000.0
    ) -> None:
        """Wait for a condition, in virtual time; fail after the limit."""
        ends_s = asyncio.get_running_loop().time() + limit_s
        while not holds():
            assert asyncio.get_running_loop().time() < ends_s, "timed out"
            await asyncio.sleep(0.25)

    def live_attempts(self) -> dict[str, set[str]]:
        """Return the workers on which each attempt runs."""
        found: dict[str, set[str]] = {}
        for name, worker in self.workers.items():
            for attempt in worker.attempts.values():
                if attempt.state in LIVE_STATES:
                    found.setdefault(attempt.attempt_id, set()).add(name)
        return found

    def check_settled(self, job_id: str) -> None:
        """Assert that one attempt runs, on all workers, and none is held."""
        live = self.live_attempts()
        for attempt_id, names in live.items():
            assert names == set(WORKERS), f"{attempt_id} runs on {names}"
        held = [
            attempt.attempt_id
            for worker in self.workers.values()
            for attempt in worker.attempts.values()
            if attempt.state == "held"
        ]
        assert not held, f"left held: {held}"
        assert self.state(job_id) == "running", self.state(job_id)
        assert len(live) == 1, f"attempts of one job: {sorted(live)}"
