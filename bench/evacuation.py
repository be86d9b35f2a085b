"""Processor time of the engine when a third of its workers is evacuated."""

from __future__ import annotations

import time

import bench
from bench import _workload
from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model

SIZES = (176, 680)
DATA_CENTRES = 3
ACCELERATORS = 8
WAITING_JOBS = 400
ACCOUNTS = tuple(f"team-{number}" for number in range(10))
MAX_EVENT_MS = 20.0
"""A share of the period in which an owner renews its lease."""


class _Service:
    """An engine whose workers are full, with work that waits."""

    def __init__(self, size: int) -> None:
        self.specs = [
            model.WorkerSpec(
                f"w{number}", f"r{number // 8}", "dc", ACCELERATORS, 64, 262144
            )
            for number in range(size)
        ]
        self.now_s = 1000.0
        self.longest_ms = 0.0
        self.engine = engine_module.Engine(
            data_centre="dc", attempt_prefix="bench"
        )
        self.send(
            event.ConfigurationChanged(
                _workload.plan_configuration(self.specs, ACCOUNTS, "dc")
            )
        )
        for spec in self.specs:
            self.send(event.WorkerSealed(spec))
        for number in range(size * 2 + WAITING_JOBS):
            self.send(event.JobSubmitted(self._job(number)))
        self.evacuated = self.specs[::DATA_CENTRES]

    def _job(self, number: int) -> model.JobSpec:
        return model.JobSpec(
            job_id=f"j{number}",
            account=ACCOUNTS[number % len(ACCOUNTS)],
            data_centre="dc",
            kind="fit",
            tasks=4,
            accelerators_per_task=1,
            cores_per_task=4,
            memory_mib_per_task=4096,
            declared_run_s=60.0,
            submitted_s=self.now_s,
        )

    def send(self, *events: event.Event) -> None:
        """Apply events one by one, as the owner does, and run a pass."""
        for happened in events:
            began_s = time.process_time()
            self.engine.apply(happened, now_s=self.now_s)
            took_ms = 1000 * (time.process_time() - began_s)
            self.longest_ms = max(self.longest_ms, took_ms)
            self._confirm(self.engine.take_decisions())
        while self.engine.needs_pass:
            self.engine.schedule(now_s=self.now_s, tries=1)
            self._confirm(self.engine.take_decisions())

    def _confirm(self, decisions: list[decision.Decision]) -> None:
        for decided in decisions:
            if isinstance(decided, decision.StartGang):
                started = event.GangStarted(decided.attempt_id)
                self.engine.apply(started, now_s=self.now_s)

    def measure_ms(self, *events: event.Event) -> float:
        """Return the processor time of events and the pass after them."""
        self.longest_ms = 0.0
        began_s = time.process_time()
        self.send(*events)
        return 1000 * (time.process_time() - began_s)


@bench.BENCHMARKS.register("evacuation")
def evacuation() -> list[bench.Figure]:
    """Measure a request and its lift at two sizes."""
    figures: list[bench.Figure] = []
    for size in SIZES:
        service = _Service(size)
        lost = [event.WorkerLost(s.worker_id) for s in service.evacuated]
        sealed = [event.WorkerSealed(spec) for spec in service.evacuated]
        for name, events in (("request", lost), ("lift", sealed)):
            took_ms = service.measure_ms(*events)
            label = f"{size} workers, {name}"
            figures.append(bench.Figure(label, took_ms, "ms"))
            figures.append(
                bench.Figure(
                    f"{label}: longest event",
                    service.longest_ms,
                    "ms",
                    f"at most {MAX_EVENT_MS:.0f}",
                    service.longest_ms <= MAX_EVENT_MS,
                )
            )
    return figures
