"""Stand-in of workers: accelerators, leases with epochs, tasks.

One process plays many workers, each under ``/<worker id>/``. The
switches of ``POST /<worker id>/control`` make a worker freeze, fail
everything or ignore orders.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time

import click
from tornado import web

TICK_S = 0.05
DEFAULT_RUN_S = 1.0


@dataclasses.dataclass
class Attempt:
    """An attempt's tasks on this worker."""

    attempt_id: str
    state: str
    tasks: list[dict]
    descriptor: str
    lapses_at_s: float
    ends_at_s: float = 0.0


@dataclasses.dataclass
class Faults:
    """Switches of one worker."""

    frozen: bool = False
    fail_all: bool = False
    ignore_stop: bool = False
    ignore_checkpoint: bool = False
    refuse_hold: bool = False
    refuse_start: bool = False
    refuse_confirm: bool = False


class Worker:
    """One worker's state."""

    def __init__(
        self,
        *,
        worker_id: str,
        rack: str,
        data_centre: str,
        accelerators: int,
        cores: int,
        memory_mib: int,
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.data_centre = data_centre
        self.accelerators = accelerators
        self.cores = cores
        self.memory_mib = memory_mib
        self.epoch = 0
        self.faults = Faults()
        self.attempts: dict[str, Attempt] = {}
        self.stopped: set[str] = set()
        self.events: list[dict] = []
        self.history: list[dict] = []
        self.changed = asyncio.Event()

    def note(self, kind: str, attempt_id: str, index: int, detail="") -> None:
        """Append an event and wake a waiting renewal."""
        self.events.append(
            {
                "sequence": len(self.events) + 1,
                "kind": kind,
                "attempt_id": attempt_id,
                "task_index": index,
                "detail": detail,
            }
        )
        self.changed.set()

    def record(self, kind: str, attempt_id: str) -> None:
        """Keep what happened for the tests' oracle."""
        self.history.append(
            {"at_s": time.time(), "kind": kind, "attempt_id": attempt_id}
        )

    def order(self, order: dict) -> tuple[bool, str]:
        """Carry out one order; returns whether it was accepted."""
        return getattr(self, "_" + order["kind"])(order)

    def _hold(self, order: dict) -> tuple[bool, str]:
        attempt_id = order["attempt_id"]
        if attempt_id in self.stopped:
            return False, "already stopped"
        if attempt_id in self.attempts:
            return True, ""
        if self.faults.refuse_hold:
            return False, "refused"
        if not self._has_room(order["tasks"]):
            return False, "no room"
        self.attempts[attempt_id] = Attempt(
            attempt_id=attempt_id,
            state="held",
            tasks=order["tasks"],
            descriptor=order["descriptor"],
            lapses_at_s=time.monotonic() + order["lease_s"],
        )
        self.record("held", attempt_id)
        return True, ""

    def _has_room(self, tasks: list[dict]) -> bool:
        held = [t for a in self.attempts.values() for t in a.tasks]
        used = {index for task in held for index in task["accelerators"]}
        wanted = [i for task in tasks for i in task["accelerators"]]
        cores = sum(task["cores"] for task in [*held, *tasks])
        memory_mib = sum(task["memory_mib"] for task in [*held, *tasks])
        return (
            len(set(wanted)) == len(wanted)
            and not used.intersection(wanted)
            and all(index < self.accelerators for index in wanted)
            and cores <= self.cores
            and memory_mib <= self.memory_mib
        )

    def _start(self, order: dict) -> tuple[bool, str]:
        attempt = self.attempts.get(order["attempt_id"])
        if attempt is None or self.faults.refuse_start:
            return False, "not held"
        if attempt.state == "held":
            attempt.state = "provisional"
            attempt.lapses_at_s = time.monotonic() + order["lease_s"]
            attempt.ends_at_s = time.monotonic() + run_s(attempt)
            self.record("started", attempt.attempt_id)
        return True, ""

    def _confirm(self, order: dict) -> tuple[bool, str]:
        attempt = self.attempts.get(order["attempt_id"])
        if attempt is None or self.faults.refuse_confirm:
            return False, "not started"
        attempt.state = "running"
        attempt.lapses_at_s = time.monotonic() + order["lease_s"]
        self.record("confirmed", attempt.attempt_id)
        return True, ""

    def _checkpoint(self, order: dict) -> tuple[bool, str]:
        if self.faults.ignore_checkpoint:
            return False, "ignored"
        self.record("checkpointed", order["attempt_id"])
        return True, ""

    def _throttle(self, order: dict) -> tuple[bool, str]:
        self.record("throttled", order["attempt_id"])
        return True, ""

    def _stop(self, order: dict) -> tuple[bool, str]:
        if self.faults.ignore_stop:
            return False, "ignored"
        self.stopped.add(order["attempt_id"])
        if self.attempts.pop(order["attempt_id"], None) is not None:
            self.record("stopped", order["attempt_id"])
        return True, ""

    def advance(self, now_s: float) -> None:
        """End tasks that are done and attempts whose lease lapsed."""
        if self.faults.frozen:
            return
        for attempt in list(self.attempts.values()):
            if attempt.lapses_at_s < now_s:
                self._end(attempt, "lapsed")
            elif attempt.state == "running" and self.faults.fail_all:
                self._end(attempt, "failed")
            elif attempt.state == "running" and attempt.ends_at_s < now_s:
                self._end(attempt, "ended")

    def _end(self, attempt: Attempt, kind: str) -> None:
        del self.attempts[attempt.attempt_id]
        self.stopped.add(attempt.attempt_id)
        self.record(kind, attempt.attempt_id)
        if attempt.state == "held":
            return
        for task in attempt.tasks:
            self.note(kind, attempt.attempt_id, task["task_index"])


def run_s(attempt: Attempt) -> float:
    """Return how long the stand-in runs an attempt."""
    if not attempt.descriptor:
        return DEFAULT_RUN_S
    job = json.loads(attempt.descriptor)["job"]
    return float(job["declared_run_s"])


class Handler(web.RequestHandler):
    """Base: finds the worker and applies freezing."""

    def initialize(self, workers: dict[str, Worker]) -> None:
        """Take the workers of this process."""
        self.workers = workers

    async def prepare(self) -> None:
        """Find the worker; a frozen one does not answer."""
        self.worker = self.workers.get(self.path_args[0])
        if self.worker is None:
            raise web.HTTPError(404)
        while self.worker.faults.frozen and not isinstance(self, Control):
            await asyncio.sleep(TICK_S)

    def body(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.request.body)

    def fenced(self, epoch: int) -> bool:
        """Refuse an older epoch; remember a newer one."""
        if epoch < self.worker.epoch:
            self.set_status(409)
            self.write({"epoch": self.worker.epoch})
            return True
        self.worker.epoch = epoch
        return False


class Seal(Handler):
    """Seals the worker and reports its state."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/seal``."""
        if self.fenced(self.body()["epoch"]):
            return
        worker = self.worker
        self.write(
            {
                "worker_id": worker.worker_id,
                "rack": worker.rack,
                "data_centre": worker.data_centre,
                "accelerators": worker.accelerators,
                "cores": worker.cores,
                "memory_mib": worker.memory_mib,
                "sequence": len(worker.events),
                "attempts": [
                    {
                        "attempt_id": attempt.attempt_id,
                        "state": attempt.state,
                        "tasks": attempt.tasks,
                        "descriptor": attempt.descriptor,
                    }
                    for attempt in worker.attempts.values()
                ],
            }
        )


class Orders(Handler):
    """Carries out orders."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/orders``."""
        asked = self.body()
        if self.fenced(asked["epoch"]):
            return
        results = []
        for order in asked["orders"]:
            accepted, reason = self.worker.order(order)
            results.append(
                {
                    "attempt_id": order["attempt_id"],
                    "accepted": accepted,
                    "reason": reason,
                }
            )
        self.write({"results": results})


class Renew(Handler):
    """Renews confirmed attempts and waits for events."""

    async def post(self, _worker_id: str) -> None:
        """Answer ``/renew``."""
        asked = self.body()
        if self.fenced(asked["epoch"]):
            return
        worker = self.worker
        for attempt in worker.attempts.values():
            if attempt.state == "running":
                now_s = time.monotonic()
                attempt.lapses_at_s = now_s + asked["lease_s"]
        after = asked["after_sequence"]
        if len(worker.events) <= after:
            worker.changed.clear()
            await self.wait(asked["wait_s"])
        if asked["epoch"] < worker.epoch:
            self.fenced(asked["epoch"])
            return
        self.write(
            {"events": worker.events[after:], "sequence": len(worker.events)}
        )

    async def wait(self, wait_s: float) -> None:
        """Wait for an event."""
        try:
            await asyncio.wait_for(self.worker.changed.wait(), wait_s)
        except asyncio.TimeoutError:
            pass


class Control(Handler):
    """Sets faults and returns what happened."""

    async def post(self, _worker_id: str) -> None:
        """Change faults."""
        for name, value in self.body().items():
            setattr(self.worker.faults, name, value)
        self.write(dataclasses.asdict(self.worker.faults))

    async def get(self, _worker_id: str) -> None:
        """Return state and history."""
        self.write(
            {
                "epoch": self.worker.epoch,
                "history": self.worker.history,
                "attempts": {
                    a.attempt_id: a.state
                    for a in self.worker.attempts.values()
                },
            }
        )


async def _advance(workers: dict[str, Worker]) -> None:
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        for worker in workers.values():
            worker.advance(now_s)


async def _serve(port: int, workers: dict[str, Worker]) -> None:
    shared = {"workers": workers}
    web.Application(
        [
            (r"/([^/]+)/seal", Seal, shared),
            (r"/([^/]+)/orders", Orders, shared),
            (r"/([^/]+)/renew", Renew, shared),
            (r"/([^/]+)/control", Control, shared),
        ],
        log_function=lambda handler: None,
    ).listen(port, "127.0.0.1")
    await _advance(workers)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--workers", type=click.File(), required=True)
def main(port: int, workers) -> None:
    """Play the workers of a JSON list until stopped."""
    played = [Worker(**item) for item in json.load(workers)]
    asyncio.run(_serve(port, {w.worker_id: w for w in played}))


if __name__ == "__main__":
    main()
