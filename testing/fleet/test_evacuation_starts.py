"""Starts that are under way when their data centre is evacuated."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.core import workflow
from testing.fleet import evacuation
from testing.fleet import scene as scene_module

NEVER_S = 30.0
"""An order that is carried out so late is refused."""


@pytest.fixture(autouse=True)
def _limit_evacuations(monkeypatch):
    monkeypatch.setattr(scene_module, "BOUNDS", evacuation.BOUNDS)


def test_placed_starts_that_were_not_sent_go_elsewhere_at_once(monkeypatch):
    """Their placement is stored, and the write's answer takes seconds."""

    async def main(scene):
        await evacuation.open_scene(scene, vms=1)
        store = scene.vms[0].store
        commit = store.commit

        async def slow_commit(commit_, **fields):
            await asyncio.sleep(1.5)
            return await commit(commit_, **fields)

        monkeypatch.setattr(store, "commit", slow_commit)
        job = await evacuation.submit(scene, tasks=2, is_gang=True)
        await asyncio.sleep(0.5)
        monkeypatch.setattr(store, "commit", commit)
        assert not scene.pool.starts
        asked_s = await evacuation.evacuate(scene, "north")
        await scene.until_state(job.job_id, workflow.COMPLETED, within_s=6.0)
        assert not evacuation.starts_in(scene, "north", after_s=asked_s)
        assert len(evacuation.starts_in(scene, "south")) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_start_whose_answer_is_lost_is_not_repeated_there(monkeypatch):
    """It may begin yet, so it is stopped and starts elsewhere."""

    async def main(scene):
        await evacuation.add_executors(scene, "north", 1)
        await scene.open(vms=1, executors=0)
        executor = scene.pool.executors["north-0"]
        executor.lose_starts = 1
        executor.late_s = NEVER_S
        job = await evacuation.submit(scene)
        await scene.until(lambda: not executor.lose_starts)
        await evacuation.evacuate(scene, "north")
        await evacuation.add_executors(scene, "south", 1)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_gang_that_is_half_there_starts_elsewhere_as_a_whole(monkeypatch):
    """Its members here are sent in the moment in which the others wait."""

    async def main(scene):
        await evacuation.add_executors(scene, "west", 2)
        await evacuation.open_scene(scene, vms=1)
        asked: list[float] = []
        start = scene.pool.start

        async def start_late(executor, order, **fields):
            if not asked:
                asked.append(await evacuation.evacuate(scene, "north"))
                await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
            return await start(executor, order, **fields)

        monkeypatch.setattr(scene.pool, "start", start_late)
        gate = scene.owner.node.tenure._orders._gate
        admits = gate.admits

        async def admit_north_last(attempt, member, session):
            if session.executor.data_centre == "north":
                await asyncio.sleep(0.05)
            return await admits(attempt, member, session)

        monkeypatch.setattr(gate, "admits", admit_north_last)
        job = await evacuation.submit(
            scene, tasks=4, is_gang=True, behaviour={"gang": 4}
        )
        await scene.until_state(job.job_id, workflow.COMPLETED, within_s=6.0)
        assert not evacuation.starts_in(scene, "north", after_s=asked[0])

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_is_not_in_back_off_after_the_lift(monkeypatch):
    """A start that was withheld is no fault of the executor."""

    async def main(scene):
        await evacuation.open_scene(scene, vms=1)
        tenure = scene.owner.node.tenure
        gate = tenure._orders._gate
        admits = gate.admits

        async def admit_late(*arguments):
            await asyncio.sleep(0.3)
            return await admits(*arguments)

        monkeypatch.setattr(gate, "admits", admit_late)
        job = await evacuation.submit(scene, tasks=4)
        await asyncio.sleep(0.1)
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(0.5)
        assert not evacuation.starts_in(scene, "north")
        monkeypatch.setattr(gate, "admits", admits)
        lifted_s = await evacuation.lift(scene, "north")
        await scene.until(
            lambda: evacuation.starts_in(scene, "north", after_s=lifted_s),
            within_s=0.5,
        )
        await scene.until_state(job.job_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_advised_work_does_not_ask_about_executors_there(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene, vms=1)
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        _job_id, outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=2),
            prefix=scene_module.ADVISED_PREFIX,
        )
        assert isinstance(outcome, result.Success)
        await scene.until(lambda: len(scene.pool.starts) == 2)
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)
