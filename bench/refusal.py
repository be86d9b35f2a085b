"""What callers would gain if jobs that end without value were refused.

Three policies for a pool that is too small for its load: all jobs are
accepted; those are refused that ended without value in a run before, which
nobody can know; those are refused that are expected to end without value by
the work before them. Jobs inside a guarantee are never refused.
"""

from __future__ import annotations

import dataclasses
import statistics

import bench
from bench import _short_load
from bench import _short_simulation
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import part_spec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import policy as fleet_policy

SEEDS = 3
OVERLOADS = (1.25, 1.5, 2.0)
"""Multiples of a rate that fills the pool in bursts."""

_AUDIT = dataclasses.replace(
    _short_load.AUDIT, arrivals_per_s=2.1, mean_tasks=6, mean_work_s=7.2,
    cores=26.0, memory_mib=60_000, late_value=0.3, estimate_error=0.5,
    max_tasks=19,
)  # fmt: skip
_CHECK = dataclasses.replace(
    _short_load.CHECK, arrivals_per_s=8.9, mean_tasks=5, mean_work_s=2.1,
    cores=7.5, memory_mib=22_000, target_s=0.3, max_tasks=20,
)  # fmt: skip
_REBUILD = dataclasses.replace(
    _short_load.REBUILD, arrivals_per_s=2.1, mean_tasks=20, mean_work_s=6.5,
    cores=5.6, memory_mib=8_192, late_value=0.1, max_tasks=100,
)  # fmt: skip


def _load(overload: float) -> _short_load.Load:
    return _short_load.Load(
        f"scarce-{overload}", 44, 12, 64, 262_144, 8,
        (_AUDIT, _CHECK, _REBUILD), rate_factor=0.25 * overload,
        bursts=(("check", 3.0, 9.0, 2.2), ("rebuild", 8.0, 12.0, 2.7)),
        duration_s=40.0, accounts=10, guaranteed_accelerators=16,
    )  # fmt: skip


class _Simulation(_short_simulation.Simulation):
    """A simulation that refuses the jobs named.

    :ivar guaranteed: jobs that were inside a guarantee when they came.
    """

    def __init__(self, load, seed, refused=frozenset()) -> None:
        self.refused: set[str] = set(refused)
        self.guaranteed: set[str] = set()
        super().__init__(load, seed)

    def _submit_job(self, arrival: _short_load.Arrival) -> None:
        if self._refuses(arrival):
            self.refused.add(arrival.job.job_id)
            flow = workflow.Workflow(arrival.job)
            self._workflows[arrival.job.job_id] = flow
        else:
            super()._submit_job(arrival)

    def _refuses(self, arrival: _short_load.Arrival) -> bool:
        return arrival.job.job_id in self.refused

    def _send_event(self, sent_event: event.Event) -> None:
        if isinstance(sent_event, event.JobSubmitted):
            if sent_event.job.urgency == model.URGENT:
                job_id = workflow.job_id_of(sent_event.job.job_id)
                self.guaranteed.add(job_id)
        super()._send_event(sent_event)

    def without_value(self) -> set[str]:
        """Return jobs outside guarantees that were not done in time."""
        return {
            arrival.job.job_id
            for arrival in self._arrivals
            if arrival.job.job_id not in self.guaranteed
            and not self._workflows[arrival.job.job_id].cancelled
            and self._ended_s.get(arrival.job.job_id, float("inf"))
            - arrival.job.submitted_s
            > _short_load.LATE_LIMIT * arrival.objective_s
        }


class _Forecast(_Simulation):
    """Refuses jobs that are expected to end without value."""

    def _refuses(self, arrival: _short_load.Arrival) -> bool:
        job = arrival.job
        spec = self._spec_of(job)
        state = self.engine.state
        if spec.urgency == model.URGENT or not len(state.waiting):
            return False
        state.now_s = self.now_s
        ends_s = self._wait_s(spec) + job.declared_s
        return ends_s > _short_load.LATE_LIMIT * job.objective_s

    def _spec_of(self, job: workflow.Job) -> model.JobSpec:
        claimed = self._claimed_accelerators(job.account) + job.accelerators
        priority = fleet_policy.scheduling_priority(
            job,
            job.steps[0],
            guaranteed=self._load.guaranteed_accelerators,
            claimed=claimed,
            bounds=self.bounds,
            start_delay_s=0.0,
        )
        part = workflow.parts_of_step(job, 0, 0)[0]
        return part_spec.of_part(
            workflow.Workflow(job), part, priority=priority
        )

    def _wait_s(self, spec: model.JobSpec) -> float:
        """Return the time until the work before a job is done.

        Work that it may preempt doesn't count.
        """
        state, load = self.engine.state, self._load
        before = [
            (other, run_s)
            for job_id in state.waiting.job_ids()
            for other in (state.records[job_id].job,)
            for run_s in (state.estimates.run_s(other),)
            if state.order_of(other, run_s)
            < state.order_of(spec, state.estimates.run_s(spec))
        ]
        for job_id in state.by_attempt.values():
            record = state.records[job_id]
            left_s = state.expected_end_s(record) - self.now_s
            if record.job.rank >= spec.rank:
                before.append((record.job, max(0.0, left_s)))
        accelerator_s = sum(job.accelerators * s for job, s in before)
        core_s = sum(job.tasks * job.cores_per_task * s for job, s in before)
        return max(
            accelerator_s / (load.workers * load.accelerators),
            core_s / (load.workers * load.cores * 1000),
        )


@bench.BENCHMARKS.register("refusal")
def refusal() -> list[bench.Figure]:
    """Simulate each overload under each policy."""
    figures: list[bench.Figure] = []
    for overload in OVERLOADS:
        outcomes: dict[str, list[_short_simulation.Outcome]] = {}
        counts = dict.fromkeys(("without value", "refused", "rightly"), 0)
        for seed in range(SEEDS):
            load = _load(overload)
            accepting = _Simulation(load, seed)
            outcomes.setdefault("accepts all", []).append(accepting.run())
            useless = accepting.without_value()
            hindsight = _Simulation(load, seed, useless)
            outcomes.setdefault("hindsight", []).append(hindsight.run())
            forecast = _Forecast(load, seed)
            outcomes.setdefault("forecast", []).append(forecast.run())
            counts["without value"] += len(useless)
            counts["refused"] += len(forecast.refused)
            counts["rightly"] += len(forecast.refused & useless)
        for name, found in outcomes.items():
            figures += _figures(f"{overload}, {name}", found)
        for name, count in counts.items():
            figures.append(bench.Figure(f"{overload}, {name}", count, "jobs"))
    return figures


def _figures(
    name: str, outcomes: list[_short_simulation.Outcome]
) -> list[bench.Figure]:
    values = [outcome.value_share for outcome in outcomes]
    figures = [
        bench.Figure(f"{name}: value", statistics.mean(values), "share"),
        bench.Figure(f"{name}: spread", max(values) - min(values), "share"),
    ]
    for kind in outcomes[0].value_by_kind:
        mean = statistics.mean(o.value_by_kind[kind] for o in outcomes)
        figures.append(bench.Figure(f"{name}: {kind}", mean, "share"))
    return figures
