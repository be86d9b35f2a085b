"""Processor time and memory of the engine; rounds of preemption.

Sizes are multiples of the planned deployment ("the plan").
"""

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
from knapweedwharf.core import speed
from knapweedwharf.core import speed_class

PLAN_MULTIPLES = (1, 4, 16)
WORKERS, TASKS, JOBS_PER_DAY, ACCOUNTS = 680, 5700, 890, 74
GANG_TASKS = 19
EVENTS = 3000
UNEVEN_WORKERS = (176, 680)
COMPARISONS, RUNS_PER_STEP, RUNS_PER_S = 10_000, 40, 50
BUDGET_MS_PER_S = 12.0
TICKS_PER_S = 1.0


class FilledEngine:
    """An engine filled with the tasks of a multiple of the plan."""

    def __init__(self, size: float) -> None:
        self._rng = random.Random(size)
        self.now_s = 0.0
        self.event_count = 0
        self.decision_count = 0
        self._accounts = tuple(f"team-{n:03d}" for n in range(ACCOUNTS))
        self._submitted_count = 0
        self.running_job_ids: list[str] = []
        workers = _workload.plan_workers(round(WORKERS * size), "dc")
        self.engine = engine_module.Engine(
            data_centre="dc", attempt_prefix="bench"
        )
        self.send_event(
            event.ConfigurationChanged(
                _workload.plan_configuration(workers, self._accounts, "dc")
            )
        )
        for worker in workers:
            self.send_event(event.WorkerSealed(worker))
        self.engine.topology.complete = True
        while len(self.running_job_ids) * GANG_TASKS < TASKS * size:
            self.submit_gang()

    def send_event(self, first_event: event.Event) -> None:
        """Handle an event; confirm resulting starts and stops at once."""
        pending = [first_event]
        while pending:
            decisions = self.engine.handle(pending.pop(), now_s=self.now_s)
            self.event_count += 1
            self.decision_count += len(decisions)
            for action in decisions:
                if isinstance(action, decision.StartGang):
                    self.running_job_ids.append(action.job.job_id)
                    pending.append(event.GangStarted(action.attempt_id))
                elif isinstance(action, decision.StopGang):
                    pending.append(event.GangStopped(action.attempt_id, True))

    def submit_gang(self) -> None:
        """Submit a gang; sizes have the plan's mean."""
        self._submitted_count += 1
        tasks = self._rng.choice([GANG_TASKS - 9, GANG_TASKS, GANG_TASKS + 9])
        has_accelerators = self._rng.random() < 0.2
        self.send_event(
            event.JobSubmitted(
                model.JobSpec(
                    job_id=f"j{self._submitted_count}",
                    account=self._rng.choice(self._accounts),
                    data_centre="dc",
                    kind="fit",
                    tasks=8 if has_accelerators else tasks,
                    accelerators_per_task=int(has_accelerators),
                    cores_per_task=2,
                    memory_mib_per_task=4096,
                    declared_run_s=self._rng.uniform(3600, 36000),
                    submitted_s=self.now_s,
                )
            )
        )

    def end_job(self) -> None:
        """End a random running job, task by task."""
        while self.running_job_ids:
            index = self._rng.randrange(len(self.running_job_ids))
            record = self.engine.records[self.running_job_ids.pop(index)]
            if record.state != "running":
                continue
            for place in record.assignments:
                self.send_event(
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
        """Replace jobs and advance the clock for a number of events."""
        target_count = self.event_count + events
        while self.event_count < target_count:
            self.now_s += 1.0
            self.end_job()
            self.submit_gang()
            self.send_event(event.Tick())


@bench.BENCHMARKS.register("core-cost")
def event_cost() -> list[bench.Figure]:
    """Measure the cost of an event at 1, 4 and 16 times the plan."""
    figures: list[bench.Figure] = []
    costs_us: list[float] = []
    for size in PLAN_MULTIPLES:
        before_mb = memory.resident_mb(os.getpid())
        filled = FilledEngine(size)
        memory_mb = memory.resident_mb(os.getpid()) - before_mb
        event_count, decision_count = filled.event_count, filled.decision_count
        started_s = time.process_time()
        filled.churn(EVENTS)
        processor_s = time.process_time() - started_s
        event_count, decision_count = (
            filled.event_count - event_count,
            filled.decision_count - decision_count,
        )
        costs_us.append(1e6 * processor_s / event_count)
        label = f"{size} x plan"
        figures += [
            bench.Figure(f"{label}: per event", costs_us[-1], "us"),
            bench.Figure(
                f"{label}: decisions", decision_count / processor_s, "1/s"
            ),
            bench.Figure(f"{label}: state", memory_mb, "MB"),
        ]
    for size, cost_us in zip(PLAN_MULTIPLES[1:], costs_us[1:]):
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
    """Return the cost of the plan's whole load, ticks included."""
    task_ends_per_day = JOBS_PER_DAY * GANG_TASKS
    events_per_s = (task_ends_per_day + 3 * JOBS_PER_DAY) / 86400 + TICKS_PER_S
    processor_ms = events_per_s * cost_us / 1000
    return bench.Figure(
        "processor time at the plan's rates",
        processor_ms,
        "ms/s",
        f"at most {BUDGET_MS_PER_S:.0f}",
        processor_ms <= BUDGET_MS_PER_S,
    )


@bench.BENCHMARKS.register("core-rounds")
def rounds() -> list[bench.Figure]:
    """Count the rounds of stops until a job starts when all racks are full."""
    figures: list[bench.Figure] = []
    for label, urgency, tasks in (
        ("guarantee of 8 reclaimed", model.NORMAL, 8),
        ("urgent gang of 8 started", model.URGENT, 8),
        ("urgent gang of 64 started", model.URGENT, 64),
    ):
        round_count, stopped_count, processor_ms = _rounds(urgency, tasks)
        figures += [
            bench.Figure(
                f"{label}: rounds",
                round_count,
                "",
                "exactly 1",
                round_count == 1,
            ),
            bench.Figure(f"{label}: jobs stopped", stopped_count, ""),
            bench.Figure(f"{label}: decision", processor_ms, "ms"),
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
        for action in engine.handle(event.JobSubmitted(job), now_s=1.0):
            if isinstance(action, decision.StartGang):
                started = event.GangStarted(action.attempt_id)
                engine.handle(started, now_s=2.0)
    job = _job("claim", accounts[0], tasks, urgency)
    started_s = time.process_time()
    decisions = engine.handle(event.JobSubmitted(job), now_s=100.0)
    processor_ms = 1000 * (time.process_time() - started_s)
    round_count = stopped_count = 0
    while engine.records["claim"].state == "queued":
        stops = [d for d in decisions if isinstance(d, decision.StopGang)]
        if not stops:
            break
        round_count += 1
        stopped_count += len(stops)
        decisions = []
        for stop in stops:
            stopped = event.GangStopped(stop.attempt_id, True)
            decisions += engine.handle(stopped, now_s=103.0)
    return round_count, stopped_count, processor_ms


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


@bench.BENCHMARKS.register("core-cost-speeds")
def uneven_cost() -> list[bench.Figure]:
    """Measure the cost of an event with alike and with uneven workers."""
    figures: list[bench.Figure] = []
    for workers in UNEVEN_WORKERS:
        for label, odd_every in (("alike", 0), ("a quarter fast", 4)):
            filled = FilledEngine(workers / WORKERS)
            topology = filled.engine.topology
            for number, worker_id in enumerate(topology.workers):
                if odd_every and number % odd_every == 0:
                    topology.set_speed_class(worker_id, speed_class.FAST)
            event_count = filled.event_count
            started_s = time.process_time()
            filled.churn(EVENTS)
            processor_s = time.process_time() - started_s
            cost_us = 1e6 * processor_s / (filled.event_count - event_count)
            name = f"{workers} workers, {label}: per event"
            figures.append(bench.Figure(name, cost_us, "us"))
    for workers in UNEVEN_WORKERS:
        cost_us = _comparison_cost_us(workers)
        name = f"{workers} workers: per run compared"
        figures.append(bench.Figure(name, cost_us, "us"))
    return figures


def _comparison_cost_us(workers: int) -> float:
    """Return what comparing a run costs, with one look at all per second."""
    rng = random.Random(workers)
    speeds = speed.Speeds()
    started_s = time.process_time()
    for number in range(COMPARISONS):
        worker_id = f"w{rng.randrange(workers)}"
        step, rate = f"s{number // RUNS_PER_STEP}", rng.uniform(0.05, 0.2)
        speeds.compare(step, worker_id, rate, number / RUNS_PER_S)
        if number % RUNS_PER_S == 0:
            speeds.expire(number / RUNS_PER_S)
    return 1e6 * (time.process_time() - started_s) / COMPARISONS
