"""Processor time and memory of the core, and rounds to make room."""

from __future__ import annotations

import os
import random
import time

import bench
from bench import _workload
from bench import memory
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model

SIZES = (1, 4, 16)
WORKERS, TASKS, JOBS_A_DAY, ACCOUNTS = 680, 5700, 890, 74
GANG_TASKS = 19
EVENTS = 3000
BUDGET_MS = 12.0
TICKS_A_SECOND = 1.0


class Plant:
    """An engine at a multiple of the plan, filled with its tasks."""

    def __init__(self, size: int) -> None:
        self._rng = random.Random(size)
        self.now_s = 0.0
        self.handled = 0
        self.taken = 0
        self._accounts = tuple(f"team-{n:03d}" for n in range(ACCOUNTS))
        self._numbers = 0
        self.running: list[str] = []
        workers = _workload.plan_workers(WORKERS * size, "dc")
        self.engine = engine_module.Engine(
            data_centre="dc", attempt_prefix="bench"
        )
        self.tell(
            event.ConfigurationChanged(
                _workload.plan_configuration(workers, self._accounts, "dc")
            )
        )
        for worker in workers:
            self.tell(event.WorkerSealed(worker))
        self.engine.topology.complete = True
        while len(self.running) * GANG_TASKS < TASKS * size:
            self.submit()

    def tell(self, happened: event.Event) -> None:
        """Pass one event and confirm at once what it leads to."""
        pending = [happened]
        while pending:
            taken = self.engine.handle(pending.pop(), now_s=self.now_s)
            self.handled += 1
            self.taken += len(taken)
            for one in taken:
                if isinstance(one, decision.StartGang):
                    self.running.append(one.job.job_id)
                    pending.append(event.GangStarted(one.attempt_id))
                elif isinstance(one, decision.StopGang):
                    pending.append(event.GangStopped(one.attempt_id, True))

    def submit(self) -> None:
        """Submit a gang of the plan's mean size."""
        self._numbers += 1
        tasks = self._rng.choice([GANG_TASKS - 9, GANG_TASKS, GANG_TASKS + 9])
        accelerated = self._rng.random() < 0.2
        self.tell(
            event.JobSubmitted(
                model.JobSpec(
                    job_id=f"j{self._numbers}",
                    account=self._rng.choice(self._accounts),
                    data_centre="dc",
                    kind="fit",
                    tasks=8 if accelerated else tasks,
                    accelerators_per_task=int(accelerated),
                    cores_per_task=2,
                    memory_mib_per_task=4096,
                    declared_run_s=self._rng.uniform(3600, 36000),
                    submitted_s=self.now_s,
                )
            )
        )

    def end(self) -> None:
        """End a running job, task by task."""
        while self.running:
            index = self._rng.randrange(len(self.running))
            record = self.engine.records[self.running.pop(index)]
            if record.state != "running":
                continue
            for place in record.assignments:
                self.tell(
                    event.TaskEnded(
                        record.attempt_id,
                        place.task_index,
                        place.worker_id,
                        True,
                        "",
                    )
                )
            return

    def churn(self, events: int) -> None:
        """Replace jobs and let time pass until events were handled."""
        until = self.handled + events
        while self.handled < until:
            self.now_s += 1.0
            self.end()
            self.submit()
            self.tell(event.Tick())


@bench.BENCHES.register("core-cost")
def cost() -> list[bench.Figure]:
    """Measure cost per event at 1, 4 and 16 times the plan."""
    figures: list[bench.Figure] = []
    costs_us: list[float] = []
    for size in SIZES:
        before_mb = memory.resident_mb(os.getpid())
        plant = Plant(size)
        memory_mb = memory.resident_mb(os.getpid()) - before_mb
        handled, taken = plant.handled, plant.taken
        began_s = time.process_time()
        plant.churn(EVENTS)
        spent_s = time.process_time() - began_s
        handled, taken = plant.handled - handled, plant.taken - taken
        costs_us.append(1e6 * spent_s / handled)
        label = f"{size} x plan"
        figures += [
            bench.Figure(f"{label}: per event", costs_us[-1], "us"),
            bench.Figure(f"{label}: decisions", taken / spent_s, "1/s"),
            bench.Figure(f"{label}: state", memory_mb, "MB"),
        ]
    for size, cost_us in zip(SIZES[1:], costs_us[1:]):
        ratio = cost_us / costs_us[0]
        figures.append(
            bench.Figure(
                f"cost per event, {size} x plan / plan",
                ratio,
                "",
                f"at most {size}",
                ratio <= size,
            )
        )
    figures.append(_budget(costs_us[0]))
    return figures


def _budget(cost_us: float) -> bench.Figure:
    """Return the plan's whole load on one engine, ticks included."""
    ends = JOBS_A_DAY * GANG_TASKS
    events_a_second = (ends + 3 * JOBS_A_DAY) / 86400 + TICKS_A_SECOND
    spent_ms = events_a_second * cost_us / 1000
    return bench.Figure(
        "processor time at the plan's rates",
        spent_ms,
        "ms/s",
        f"at most {BUDGET_MS:.0f}",
        spent_ms <= BUDGET_MS,
    )


@bench.BENCHES.register("core-rounds")
def rounds() -> list[bench.Figure]:
    """Count stop rounds until a claim starts with every rack full."""
    figures: list[bench.Figure] = []
    for label, urgency, tasks in (
        ("guarantee of 8 reclaimed", model.NORMAL, 8),
        ("urgent gang of 8 started", model.URGENT, 8),
        ("urgent gang of 64 started", model.URGENT, 64),
    ):
        count, victims, spent_ms = _rounds(urgency, tasks)
        figures += [
            bench.Figure(
                f"{label}: rounds", count, "", "exactly 1", count == 1
            ),
            bench.Figure(f"{label}: jobs stopped", victims, ""),
            bench.Figure(f"{label}: decision", spent_ms, "ms"),
        ]
    return figures


def _rounds(urgency: str, tasks: int) -> tuple[int, int, float]:
    workers = _workload.plan_workers(136, "dc")
    accounts = tuple(f"team-{n:03d}" for n in range(16))
    engine = engine_module.Engine(data_centre="dc", attempt_prefix="b")
    configuration = _workload.plan_configuration(workers, accounts, "dc")
    engine.handle(event.ConfigurationChanged(configuration), now_s=0.0)
    for worker in workers:
        engine.handle(event.WorkerSealed(worker), now_s=0.0)
    engine.topology.complete = True
    for number in range(160):
        job = _job(f"b{number}", accounts[1 + number % 3], 1, model.NORMAL)
        for one in engine.handle(event.JobSubmitted(job), now_s=1.0):
            if isinstance(one, decision.StartGang):
                started = event.GangStarted(one.attempt_id)
                engine.handle(started, now_s=2.0)
    job = _job("claim", accounts[0], tasks, urgency)
    began_s = time.process_time()
    taken = engine.handle(event.JobSubmitted(job), now_s=100.0)
    spent_ms = 1000 * (time.process_time() - began_s)
    count = victims = 0
    while engine.records["claim"].state == "queued":
        stops = [one for one in taken if isinstance(one, decision.StopGang)]
        if not stops:
            break
        count += 1
        victims += len(stops)
        taken = []
        for stop in stops:
            stopped = event.GangStopped(stop.attempt_id, True)
            taken += engine.handle(stopped, now_s=103.0)
    return count, victims, spent_ms


def _job(job_id: str, account: str, tasks: int, urgency: str):
    return model.JobSpec(
        job_id=job_id,
        account=account,
        data_centre="dc",
        kind="fit",
        tasks=tasks,
        accelerators_per_task=1,
        cores_per_task=1,
        memory_mib_per_task=1024,
        urgency=urgency,
    )
