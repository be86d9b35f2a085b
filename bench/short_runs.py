"""Short step jobs under overload: what callers get, against others.

Loads are like those of the users' two sites, and one of another shape.
"""

from __future__ import annotations

import dataclasses
import statistics

import bench
from bench import _short_load
from bench import _short_player
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy

SEEDS = 5


def _arrival_order() -> model.Configuration:
    """Return the rules without what lateness and first work decide."""
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


def _bound(load: _short_load.Load, seed: int) -> float:
    """Return a share that no schedule can beat.

    Accelerators and cores may be split at will and every job may start
    at any time of the day; the best worth for its room goes first.
    """
    arrivals = [
        a for a in _short_load.draw(load, seed) if not a.cancel_after_s
    ]
    length_s = load.length_s + max(a.objective_s for a in arrivals)
    left = load.workers * length_s * load.accelerators
    owed: list[tuple[float, float]] = []
    for arrival in arrivals:
        used = sum(
            step.tasks * step.accelerators * work_s
            for step, work_s in zip(arrival.job.steps, arrival.work_s)
        )
        owed.append((arrival.kind.worth * _size(arrival, arrivals), used))
    earned = 0.0
    for worth, used in sorted(owed, key=lambda o: -o[0] / o[1]):
        share = min(1.0, left / used)
        earned += worth * share
        left -= used * share
    return earned / sum(worth for worth, _used in owed)


def _size(
    arrival: _short_load.Arrival, arrivals: list[_short_load.Arrival]
) -> float:
    alike = [a.core_s for a in arrivals if a.kind is arrival.kind]
    return min(4.0, 0.3 + 0.7 * arrival.core_s / statistics.mean(alike))


@bench.BENCHES.register("short_runs")
def short_runs() -> list[bench.Figure]:
    """Play every load under every policy."""
    figures: list[bench.Figure] = []
    for load in _short_load.LOADS:
        for name, fields in _policies().items():
            outcomes = [
                _short_player.Player(load, seed, **fields).play()
                for seed in range(SEEDS)
            ]
            figures.extend(_figures(f"{load.name}, {name}", outcomes))
        bounds = [_bound(load, seed) for seed in range(SEEDS)]
        name = f"{load.name}, no schedule beats"
        figures.append(bench.Figure(name, statistics.mean(bounds), "share"))
    return figures


def _policies() -> dict[str, dict]:
    return {
        "short-runs": {},
        "short-runs, by arrival": {"configuration": _arrival_order()},
        "best-fit": {"policy": "best-fit"},
        "first-fit": {"policy": "first-fit"},
    }


def _figures(
    name: str, outcomes: list[_short_player.Outcome]
) -> list[bench.Figure]:
    worths = [outcome.worth for outcome in outcomes]
    spread = max(worths) - min(worths)
    return [
        bench.Figure(f"{name}: worth", statistics.mean(worths), "share"),
        bench.Figure(f"{name}: worth, spread", spread, "share"),
        bench.Figure(
            f"{name}: in time",
            statistics.mean(outcome.in_time for outcome in outcomes),
            "share",
        ),
        bench.Figure(
            f"{name}: thrown away",
            statistics.mean(outcome.waste_share for outcome in outcomes),
            "share",
        ),
    ]
