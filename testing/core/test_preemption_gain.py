"""First-priority work on a full pool preempts what it is worth.

Plays bursts of short jobs, of the shapes of several deployments, and
compares what callers get with the rules that it replaced.
"""

from __future__ import annotations

import dataclasses
import functools
import statistics

import pytest

from bench import _short_load
from bench import _short_simulation
from bench import short_runs
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy

SEEDS = range(4)
LOADS = (_short_load.HUERTO, _short_load.KOBBERFRYD, _short_load.OTHER)
MAX_LOSS = 0.02
"""Share of the value by which single loads may differ by chance."""


def _without_larger_losses() -> model.Configuration:
    """Return the configuration without the limit for work on time."""
    configuration = fleet_policy.configuration()
    policy = dataclasses.replace(configuration.policy, most_lost_on_time=0.0)
    return dataclasses.replace(configuration, policy=policy)


RULES = {
    "now": {},
    "before": {"configuration": _without_larger_losses()},
    "by-arrival": {"configuration": short_runs.arrival_order_configuration()},
    "first-fit": {"policy": "first-fit"},
}


@functools.cache
def _value(load: _short_load.Load, rules: str) -> float:
    return statistics.mean(
        _short_simulation.Simulation(load, seed, **RULES[rules])
        .run()
        .value_share
        for seed in SEEDS
    )


@pytest.mark.parametrize("other", ["before", "by-arrival", "first-fit"])
def test_callers_get_more_over_all_loads(other):
    gains = [_value(load, "now") - _value(load, other) for load in LOADS]
    assert statistics.mean(gains) > 0.0


@pytest.mark.parametrize("load", LOADS, ids=lambda load: load.name)
def test_no_load_gets_less(load):
    assert _value(load, "now") > _value(load, "before") - MAX_LOSS


def test_callers_of_a_large_pool_get_more():
    seed, load = 0, _short_load.LARGE
    now = _short_simulation.Simulation(load, seed).run()
    before = _short_simulation.Simulation(load, seed, **RULES["before"]).run()
    assert now.value_share > before.value_share
    assert now.in_time_share >= before.in_time_share
