"""Reservations for gangs that need a rack under a load of single tasks.

Without held reservations, single tasks are backfilled into every gap and
the gang starves.
"""

from __future__ import annotations

import heapq

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy

RUN_S = 4.0
GANG_AT_S = 6.0
END_S = 40.0
STEP_S = 0.1


def _job(job_id: str, submitted_s: float, **fields) -> model.JobSpec:
    defaults = {
        "account": "a",
        "data_centre": "pool",
        "kind": "k",
        "tasks": 1,
        "accelerators_per_task": 1,
        "cores_per_task": 1,
        "memory_mib_per_task": 100,
        "declared_run_s": RUN_S,
    }
    return model.JobSpec(
        job_id=job_id, submitted_s=submitted_s, **{**defaults, **fields}
    )


class _Simulation:
    """Simulates arrivals; every run takes as long as it declares."""

    def __init__(self, policy: str) -> None:
        self.engine = engine_module.Engine(
            data_centre="pool", attempt_prefix="t", policy=policy
        )
        self.started_s: dict[str, float] = {}
        self.stopped = 0
        self._ends: list[tuple[float, str]] = []
        self._tell(
            event.ConfigurationChanged(fleet_policy.configuration()), 0.0
        )
        for number in range(4):
            worker = model.WorkerSpec(
                f"w{number}", f"r{number // 2}", "pool", 8, 32, 64000
            )
            self._tell(event.WorkerSealed(worker), 0.0)

    def _tell(self, happened: event.Event, now_s: float) -> None:
        for taken in self.engine.handle(happened, now_s=now_s):
            if isinstance(taken, decision.StartGang):
                self.started_s.setdefault(taken.job.job_id, now_s)
                started = event.GangStarted(taken.attempt_id)
                self._tell(started, now_s)
                end_s = now_s + taken.job.declared_run_s
                heapq.heappush(self._ends, (end_s, taken.attempt_id))
            elif isinstance(taken, decision.StopGang):
                self.stopped += 1
                stopped = event.GangStopped(taken.attempt_id, False)
                self._tell(stopped, now_s)

    def run(self, jobs: list[model.JobSpec]) -> None:
        """Submit jobs at their times and simulate until ``END_S``."""
        waiting = sorted(jobs, key=lambda job: job.submitted_s)
        steps = int(END_S / STEP_S)
        for now_s in (step * STEP_S for step in range(steps)):
            while self._ends and self._ends[0][0] <= now_s:
                self._end(heapq.heappop(self._ends)[1], now_s)
            while waiting and waiting[0].submitted_s <= now_s:
                self._tell(event.JobSubmitted(waiting.pop(0)), now_s)
            self._tell(event.Tick(), now_s)

    def _end(self, attempt_id: str, now_s: float) -> None:
        record = self.engine.job_of_attempt(attempt_id)
        if record is not None:
            for place in record.assignments:
                ended = event.TaskEnded(
                    attempt_id, place.task_index, place.worker_id, True, ""
                )
                self._tell(ended, now_s)


def _load() -> list[model.JobSpec]:
    """Single tasks that keep the whole pool busy, and one gang."""
    singles = [
        _job(f"s{number}", number * 0.12, handicap_s=16.0)
        for number in range(int(END_S / 0.12))
    ]
    gang = _job(
        "gang",
        GANG_AT_S,
        tasks=2,
        accelerators_per_task=8,
        prefers_rack=True,
    )
    return [*singles, gang]


def test_a_gang_gets_its_rack_while_single_tasks_keep_running():
    simulation = _Simulation("short-runs")
    simulation.run(_load())
    waited_s = simulation.started_s["gang"] - GANG_AT_S
    # Every single task in the rack started before the gang was submitted.
    assert waited_s <= 2 * RUN_S
    assert simulation.stopped == 0
    singles = [j for j in simulation.started_s if j.startswith("s")]
    assert len(singles) > END_S / RUN_S * 16


def test_without_held_reservations_the_gang_waits_longer():
    held, plain = _Simulation("short-runs"), _Simulation("best-fit")
    held.run(_load())
    plain.run(_load())
    never_s = END_S
    assert held.started_s["gang"] < plain.started_s.get("gang", never_s)
