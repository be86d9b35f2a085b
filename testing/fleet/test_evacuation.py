"""Nothing is started in a data centre that is evacuated."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import workflow
from testing.fleet import evacuation
from testing.fleet import scene as scene_module

LASTS_S = 3.0


@pytest.fixture(autouse=True)
def _limit_evacuations(monkeypatch):
    monkeypatch.setattr(scene_module, "BOUNDS", evacuation.BOUNDS)


def test_nothing_is_started_there_and_what_runs_there_runs_on(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene)
        first = await evacuation.submit(scene, tasks=4, run_s=6.0)
        await scene.until(lambda: len(scene.pool.starts) == 4)
        asked_s = await evacuation.evacuate(scene, "north")
        second = await evacuation.submit(scene, tasks=4)
        await scene.until_state(second.job_id, workflow.COMPLETED)
        await scene.until_state(first.job_id, workflow.COMPLETED)
        assert not evacuation.starts_in(scene, "north", after_s=asked_s)
        assert len(scene.runs_of(first.job_id)) == 4
        lifted_s = await evacuation.lift(scene, "north")
        third = await evacuation.submit(scene, tasks=4)
        await scene.until_state(third.job_id, workflow.COMPLETED)
        assert evacuation.starts_in(scene, "north", after_s=lifted_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_waits_while_all_are_evacuated_and_starts_with_the_lift(
    monkeypatch,
):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north")
        await evacuation.evacuate(scene, "south")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        job = await evacuation.submit(scene, tasks=4)
        await asyncio.sleep(20.0)
        assert not scene.pool.starts
        assert await scene.state(job.job_id) == workflow.QUEUED
        lifted_s = await evacuation.lift(scene, "south")
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert scene.pool.starts[0][0] - lifted_s < 0.5
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_two_at_once_are_lifted_one_by_one(monkeypatch):
    async def main(scene):
        await evacuation.add_executors(scene, "west", 2)
        await evacuation.open_scene(scene)
        north_s = await evacuation.evacuate(scene, "north")
        south_s = await evacuation.evacuate(scene, "south")
        first = await evacuation.submit(scene, tasks=6)
        await scene.until_state(first.job_id, workflow.COMPLETED)
        assert len(evacuation.starts_in(scene, "west")) == 6
        await evacuation.lift(scene, "north")
        second = await evacuation.submit(scene, tasks=6)
        await scene.until_state(second.job_id, workflow.COMPLETED)
        assert evacuation.starts_in(scene, "north", after_s=north_s)
        assert not evacuation.starts_in(scene, "south", after_s=south_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize(
    "value", [b"", b"null", b"[]", b"\xff\xfe", b'{"until": 1', b'{"x": {}}']
)
def test_an_odd_value_of_a_request_is_a_request(monkeypatch, value):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north", value)
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        job = await evacuation.submit(scene, tasks=4)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_join_or_restart_meanwhile_get_no_work(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north")
        await scene.crash_executor("north-0", back_s=1.0)
        await scene.crash_executor("north-1", back_s=1.0, renamed=True)
        await scene.add_executor("north-9", rack="r9", data_centre="north")
        await asyncio.sleep(8.0)
        job = await evacuation.submit(scene, tasks=6)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert len(evacuation.starts_in(scene, "south")) == 6

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_lists_no_data_centre_gets_no_work(monkeypatch):
    """It may be in the evacuated one."""

    async def main(scene):
        await evacuation.open_scene(scene)
        await scene.add_executor("odd", rack="r9", data_centre="")
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        job = await evacuation.submit(scene, tasks=4)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert len(evacuation.starts_in(scene, "south")) == 4

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_tasks_that_last_run_on_there_and_are_restarted_elsewhere(
    monkeypatch,
):
    async def main(scene):
        await evacuation.add_executors(scene, "north", 1)
        await scene.open(vms=1, executors=0)
        job = await evacuation.submit(
            scene,
            tasks=2,
            accelerators=4,
            is_lasting=True,
            behaviour={"lasts": True},
        )
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await evacuation.add_executors(scene, "south", 1)
        asked_s = await evacuation.evacuate(scene, "north")
        await asyncio.sleep(LASTS_S)
        assert not scene.runs_of(job.job_id)
        _s, executor_id, key = scene.pool.starts[0]
        await scene.pool.executors[executor_id].finish(key, "lapsed")
        await scene.until(lambda: evacuation.starts_in(scene, "south"))
        assert not evacuation.starts_in(scene, "north", after_s=asked_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_guaranteed_work_is_started_elsewhere(monkeypatch):
    """Room that it has a right to is evacuated; other work makes way."""

    async def main(scene):
        await evacuation.open_scene(scene, guaranteed=16)
        await evacuation.submit(scene, tasks=4, run_s=60.0)
        await scene.until(lambda: len(scene.pool.starts) == 4)
        asked_s = await evacuation.evacuate(scene, "north")
        _job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=2, accelerators=8, expected_run_s=1.0),
            behaviour={"run_s": 1.0},
            prefix=scene_module.URGENT_PREFIX,
        )
        await scene.until(
            lambda: len(evacuation.starts_in(scene, "south", after_s=asked_s))
            >= 2,
            within_s=evacuation.BOUNDS.reclaim_timeout_s,
        )
        assert not evacuation.starts_in(scene, "north", after_s=asked_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_gang_that_waits_for_room_there_waits_for_other_room(monkeypatch):
    """It has reserved what is free and soon will be."""

    async def main(scene):
        await evacuation.add_executors(scene, "south", 2)
        await scene.open(vms=1, executors=0)
        await evacuation.submit(scene, tasks=2, run_s=25.0)
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await evacuation.add_executors(scene, "north", 2)
        await asyncio.sleep(0.5)
        gang = await evacuation.submit(
            scene, tasks=3, is_gang=True, behaviour={"gang": 3}
        )
        state = scene.owner.node.tenure._decider.engines["pool"].state
        await scene.until(lambda: state.reservations.on_worker("north-0"))
        asked_s = await evacuation.evacuate(scene, "north")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        assert not state.reservations.on_worker("north-0")
        await evacuation.add_executors(scene, "west", 1)
        await scene.until_state(gang.job_id, workflow.COMPLETED)
        assert not evacuation.starts_in(scene, "north", after_s=asked_s)

    scene_module.run_on_virtual_time(main, monkeypatch)
