"""The check of starts against capacities finds exactly the starts over it."""

from __future__ import annotations

from knapweedwharf.core import amount
from standins import capacity_record
from testing.fleet import scene as scene_module

GRACE_S = 4.5


def _overruns(changes, starts) -> list[float]:
    """Return when starts were over the capacity, in accelerators."""
    record = capacity_record.CapacityRecord()
    for at_s, accelerators in changes:
        capacity = amount.Amount(accelerators, 100, 100)
        record.set_capacity("e0", capacity, at_s)
    for at_s, accelerators in starts:
        used = amount.Amount(accelerators, 1, 1)
        record.starts.append(capacity_record.Start(at_s, "e0", "t", used))
    return [start.at_s for start in record.overruns(GRACE_S)]


def test_a_start_over_the_capacity_is_found():
    assert _overruns([(0.0, 8)], [(1.0, 8), (2.0, 9)]) == [2.0]


def test_the_capacity_from_before_counts_during_the_grace_only():
    changes = [(0.0, 8), (10.0, 4)]
    starts = [(14.4, 8), (14.6, 5), (14.7, 4)]
    assert _overruns(changes, starts) == [14.6]


def test_a_capacity_that_grew_counts_from_then_on():
    assert _overruns([(0.0, 4), (10.0, 8)], [(9.9, 5), (10.1, 8)]) == [9.9]


def test_a_short_rise_counts_during_its_own_grace():
    changes = [(0.0, 4), (10.0, 8), (10.5, 4)]
    starts = [(14.9, 8), (15.1, 8)]
    assert _overruns(changes, starts) == [15.1]


def test_work_that_fills_spare_cores_takes_none():
    record = capacity_record.CapacityRecord()
    steps = [scene_module.step(), scene_module.step(fills_spare=True)]
    record.add_job("j", steps)
    used = record.used(["j.0.0.0", "j.0.1.0"])
    assert used == amount.Amount(2, 1000, 2000)
