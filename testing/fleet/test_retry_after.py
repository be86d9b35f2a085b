"""When callers whose calls were refused are asked to come back."""

from __future__ import annotations

import asyncio
import collections
import math

import pytest

from knapweedwharf import errors
from knapweedwharf.fleet import retry_after
from testing.fleet import scene as scene_module

CALLERS = [f"/q/{number:016x}" for number in range(400)]


def _returns(*, away_s: float, left_s: float = 600.0) -> collections.Counter:
    """Return how many callers come back after how many seconds."""
    return collections.Counter(
        retry_after.retry_after_s(caller, away_s=away_s, left_s=left_s)
        for caller in CALLERS
    )


@pytest.mark.parametrize("away_s", [0.0, 0.5, 2.7, 4.2, 7.9])
def test_after_a_short_outage_callers_come_back_at_once(away_s):
    assert set(_returns(away_s=away_s)) == {1}


@pytest.mark.parametrize("away_s", [8.0, 20.0, 60.0])
def test_the_callers_of_an_outage_come_back_evenly_over_its_quarter(away_s):
    returns = _returns(away_s=away_s)
    seconds = int(away_s / 4)
    assert set(returns) == set(range(1, seconds + 1))
    fair = len(CALLERS) / seconds
    assert max(returns.values()) < 2 * fair
    assert min(returns.values()) > fair / 3


@pytest.mark.parametrize("away_s", [600.0, math.inf])
def test_nobody_waits_longer_than_the_limit(away_s):
    assert max(_returns(away_s=away_s)) == retry_after.MAX_S


@pytest.mark.parametrize("left_s", [3.0, 6.0, 10.0, 20.0])
def test_a_caller_comes_back_in_the_first_half_of_its_time(left_s):
    assert max(_returns(away_s=math.inf, left_s=left_s)) <= left_s / 2


@pytest.mark.parametrize("left_s", [-1.0, 0.0, 0.5])
def test_a_caller_without_time_is_told_the_shortest_wait(left_s):
    assert set(_returns(away_s=math.inf, left_s=left_s)) == {1}


def test_a_refused_call_names_a_time_by_the_length_of_the_outage(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        vm = scene.vms[0]
        vm.store.path.silent = True
        for away_s in (10.1, 40.1):
            await asyncio.sleep(away_s - vm.node.desired.age_s)
            waits_s = set()
            for number in range(200):
                call = scene.call(f"{number:016x}", wait_s=100.0)
                refused = vm.node.job_api.allow(call).failure()
                assert isinstance(refused, errors.DidNotRun)
                waits_s.add(refused.retry_after_s)
            assert waits_s == set(range(1, int(away_s / 4) + 1))

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_vm_without_a_desired_state_sends_callers_on_at_once(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        vm = scene_module.Vm("late", scene)
        call = scene.call("0" * 16, wait_s=100.0)
        refused = vm.node.job_api.allow(call).failure()
        assert refused.retry_after_s == 1

    scene_module.run_on_virtual_time(main, monkeypatch)
