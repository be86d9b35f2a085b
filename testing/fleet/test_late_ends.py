"""Ends that are heard only after their executor was given up."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module
from testing.fleet import scene as scene_module

LAPSE_S = session_module.lapse_after_s(scene_module.BOUNDS)


async def _end_a_run_unheard(scene, outcome: str) -> str:
    """End a run on an executor that is silent until it is given up.

    :returns: the job's id.
    """
    job_id, _outcome = await scene.submit(
        scene.vms[0], scene_module.step(), behaviour={"run_s": 100.0}
    )
    await scene.until(lambda: scene.pool.starts)
    await asyncio.sleep(1.5)
    executor = scene.pool.executors[scene.pool.starts[0][1]]
    executor.silent = True
    (key,) = executor.runs
    await executor.finish(key, outcome)
    return job_id


def test_a_late_done_is_not_run_again(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id = await _end_a_run_unheard(scene, model.DONE)
        await asyncio.sleep(2 * LAPSE_S)
        scene.pool.executors["e0"].silent = False
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.pool.starts) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_done_of_a_gang_is_not_run_again(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=2, is_gang=True, accelerators=8),
            behaviour={"gang": 2, "run_s": 3.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await asyncio.sleep(1.5)
        for executor in scene.pool.executors.values():
            executor.silent = True
        await asyncio.sleep(2 * LAPSE_S)
        for executor in scene.pool.executors.values():
            executor.silent = False
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.pool.starts) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_done_stops_the_run_that_took_its_place(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id = await _end_a_run_unheard(scene, model.DONE)
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await asyncio.sleep(1.0)
        first, second = (
            scene.pool.executors[start[1]] for start in scene.pool.starts
        )
        first.silent = False
        await scene.until_state(job_id, workflow.COMPLETED, within_s=3.0)
        await scene.until(lambda: not second.runs, within_s=3.0)
        assert [run.outcome for run in scene.runs_of(job_id)] == [
            model.DONE,
            model.STOPPED,
        ]
        # The lease of the first run had lapsed before the second began.
        scene.pool.ended_runs.clear()

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_done_is_acknowledged_only_once_it_is_stored(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id = await _end_a_run_unheard(scene, model.DONE)
        await asyncio.sleep(2 * LAPSE_S)
        owner, other = scene.owner, scene.bystander()
        owner.store.path.silent = True
        scene.pool.executors["e0"].silent = False
        await scene.until(lambda: other.is_owner)
        await scene.until_state(job_id, workflow.COMPLETED, vm=other)
        assert len(scene.pool.starts) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_late_failure_counts_against_the_attempts(monkeypatch, attempts):
    async def main(scene):
        await scene.open(vms=1, executors=1, attempts=attempts)
        job_id = await _end_a_run_unheard(scene, model.FAILED)
        await asyncio.sleep(2 * LAPSE_S)
        executor = scene.pool.executors["e0"]
        executor.silent = False
        for started in range(2, attempts + 1):
            await scene.until(lambda: len(scene.pool.starts) == started)
            await asyncio.sleep(1.5)
            (key,) = executor.runs
            await executor.finish(key, model.FAILED)
        await scene.until_state(job_id, workflow.FAILED)
        assert len(scene.pool.starts) == attempts

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_failure_counts_once_across_a_take_over(monkeypatch):
    """The executor lists the failure again to the next owner."""

    async def main(scene):
        await scene.open(vms=2, executors=2, attempts=2)
        job_id = await _end_a_run_unheard(scene, model.FAILED)
        await scene.until(lambda: len(scene.pool.starts) == 2)
        first, second = (
            scene.pool.executors[start[1]] for start in scene.pool.starts
        )
        first.lose_acknowledgements = True
        first.silent = False
        await asyncio.sleep(2.0)
        successor = scene.bystander()
        await scene.owner.kill()
        await scene.until(lambda: successor.is_owner)
        await asyncio.sleep(2.0)
        (key,) = second.runs
        await second.finish(key, model.DONE)
        await scene.until_state(job_id, workflow.COMPLETED, vm=successor)
        assert len(scene.pool.starts) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)
