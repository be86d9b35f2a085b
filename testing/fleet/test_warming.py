"""The engine knows which executors are slow after their start."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from knapweedwharf.core import event
from knapweedwharf.core import speed
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import warming as warming_module
from testing.fleet import evacuation
from testing.fleet import scene as scene_module

EXECUTOR = model.Executor("e", "", "pool", "dc", model.READY, 1, 1, 1)


class _Scene:
    """Executors' entries, and what the engine was told, at a time."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 100.0
        self.told: list[float] = []
        self._warming = warming_module.Warming()
        monkeypatch.setattr(clock, "steady_s", lambda: self.now_s)

    def entry(self, *, at_s: float, cold_s: float) -> None:
        self.now_s = at_s
        executor = dataclasses.replace(EXECUTOR, cold_s=cold_s)
        self._warming.note(executor)
        self._warming.tell(executor, self._tell)

    def restart(self) -> None:
        self._warming.forget(EXECUTOR.executor_id)

    def _tell(self, service: str, happened: event.Event) -> None:
        assert service == "pool"
        assert isinstance(happened, event.WorkerWarming)
        self.told.append(happened.until_s)


@pytest.fixture
def scene(monkeypatch) -> _Scene:
    return _Scene(monkeypatch)


def test_a_warm_executor_is_not_spoken_of(scene):
    scene.entry(at_s=100.0, cold_s=0.0)
    scene.entry(at_s=101.5, cold_s=0.0)
    assert not scene.told


def test_a_time_that_ticks_down_is_told_once(scene):
    for passed_s in (0.0, 1.5, 3.0, 4.5, 6.0):
        scene.entry(at_s=100.0 + passed_s, cold_s=max(0.0, 5.0 - passed_s))
    assert scene.told == [105.0]


def test_an_executor_that_is_cold_again_or_warm_early_is_told(scene):
    scene.entry(at_s=100.0, cold_s=5.0)
    scene.entry(at_s=102.0, cold_s=0.0)
    scene.entry(at_s=110.0, cold_s=8.0)
    scene.entry(at_s=111.0, cold_s=12.0)
    assert scene.told == [105.0, 102.0, 118.0, 123.0]


def test_the_next_incarnation_is_told_anew(scene):
    scene.entry(at_s=100.0, cold_s=5.0)
    scene.restart()
    scene.entry(at_s=100.1, cold_s=5.0)
    assert scene.told == [105.0, 105.1]


def _speed_of(scene, executor_id: str) -> float:
    engine = scene.owner.node.tenure._decider.engines["pool"]
    return engine.state.speeds.of(executor_id, clock.steady_s())


def test_the_engine_knows_for_how_long_an_executor_is_slow(monkeypatch):
    async def main(scene):
        await scene.add_executor("cold", rack="r1", cold_s=6.0)
        await scene.open(vms=1, executors=1)
        assert _speed_of(scene, "cold") == speed.WARMING_SPEED
        assert _speed_of(scene, "e0") == 1.0
        await asyncio.sleep(7.0)
        assert _speed_of(scene, "cold") == 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_come_back_cold_from_an_evacuation_are_slow(
    monkeypatch,
):
    async def main(scene):
        await evacuation.open_scene(scene, vms=1)
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(5.0)
        spec = scene.pool.executors["north-0"].spec
        await scene.list_executor(dataclasses.replace(spec, cold_s=9.0))
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        await evacuation.lift(scene, "north")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        assert _speed_of(scene, "north-0") == speed.WARMING_SPEED
        assert _speed_of(scene, "north-1") == 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)
