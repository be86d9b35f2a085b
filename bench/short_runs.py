"""Value earned by each policy for short jobs under overload.

The loads are like those of three sites, and one of another shape.
"""

from __future__ import annotations

import dataclasses
import statistics

import bench
from bench import _short_load
from bench import _short_simulation
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy

SEEDS = 5


def arrival_order_configuration() -> model.Configuration:
    """Return the configuration without the rules that reorder jobs."""
    configuration = fleet_policy.configuration()
    return dataclasses.replace(
        configuration,
        policy=dataclasses.replace(
            configuration.policy,
            late_factor=0.0,
            headroom_deviations=-1.0,
            crowded_patience_s=0.0,
            accelerator_cores=0.0,
        ),
    )


def _upper_bound(load: _short_load.Load, seed: int) -> float:
    """Return an upper bound of the share of value that can be earned.

    It assumes that accelerators and cores can be split at will and that
    each job can start at any time; jobs with the most value per
    accelerator time are served first.
    """
    arrivals = [
        a
        for a in _short_load.generate_arrivals(load, seed)
        if not a.cancel_after_s
    ]
    duration_s = load.duration_s + max(a.objective_s for a in arrivals)
    remaining_s = load.workers * duration_s * load.accelerators
    demands: list[tuple[float, float]] = []
    for arrival in arrivals:
        accelerator_s = sum(
            step.tasks * step.accelerators * work_s
            for step, work_s in zip(arrival.job.steps, arrival.work_s)
        )
        demands.append(
            (
                arrival.kind.value * _size_weight(arrival, arrivals),
                accelerator_s,
            )
        )
    earned = 0.0
    for value, accelerator_s in sorted(
        demands, key=lambda pair: -pair[0] / pair[1]
    ):
        share = min(1.0, remaining_s / accelerator_s)
        earned += value * share
        remaining_s -= accelerator_s * share
    return earned / sum(value for value, _accelerator_s in demands)


def _size_weight(
    arrival: _short_load.Arrival, arrivals: list[_short_load.Arrival]
) -> float:
    core_s_of_kind = [a.core_s for a in arrivals if a.kind is arrival.kind]
    return min(
        4.0, 0.3 + 0.7 * arrival.core_s / statistics.mean(core_s_of_kind)
    )


@bench.BENCHMARKS.register("short_runs")
def short_runs() -> list[bench.Figure]:
    """Simulate each load under each policy."""
    figures: list[bench.Figure] = []
    for load in _short_load.LOADS:
        for name, options in _policies().items():
            outcomes = [
                _short_simulation.Simulation(load, seed, **options).run()
                for seed in range(SEEDS)
            ]
            figures.extend(_figures(f"{load.name}, {name}", outcomes))
        bounds = [_upper_bound(load, seed) for seed in range(SEEDS)]
        name = f"{load.name}, upper bound"
        figures.append(bench.Figure(name, statistics.mean(bounds), "share"))
    return figures


def _policies() -> dict[str, dict]:
    return {
        "short-runs": {},
        "short-runs, by arrival": {
            "configuration": arrival_order_configuration()
        },
        "best-fit": {"policy": "best-fit"},
        "first-fit": {"policy": "first-fit"},
    }


def _figures(
    name: str, outcomes: list[_short_simulation.Outcome]
) -> list[bench.Figure]:
    value_shares = [outcome.value_share for outcome in outcomes]
    spread = max(value_shares) - min(value_shares)
    return [
        bench.Figure(f"{name}: value", statistics.mean(value_shares), "share"),
        bench.Figure(f"{name}: value, spread", spread, "share"),
        bench.Figure(
            f"{name}: in time",
            statistics.mean(outcome.in_time_share for outcome in outcomes),
            "share",
        ),
        bench.Figure(
            f"{name}: lost work",
            statistics.mean(outcome.lost_work_share for outcome in outcomes),
            "share",
        ),
    ]
