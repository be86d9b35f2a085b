"""Which tasks are blamed for the loss of an executor."""

from __future__ import annotations

import asyncio

import structlog

from knapweedwharf.core import workflow
from testing.fleet import scene as scene_module
from testing.fleet import test_crashing_tasks as crashing


def test_a_task_that_crashes_late_is_given_up_beside_short_work(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=3)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(expected_run_s=10.0),
            behaviour={
                **crashing.CRASHING,
                "run_s": 10.0,
                "crash_after_s": 3.0,
            },
        )
        for _number in range(600):
            await scene.submit(
                scene.vms[0],
                scene_module.step(expected_run_s=0.5),
                behaviour={"run_s": 0.5},
            )
            await asyncio.sleep(0.15)
        crashing.check_starts(scene, [job_id])

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_are_cut_off_but_listed_fail_no_sound_job(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(expected_run_s=30.0),
            behaviour={"run_s": 30.0},
        )
        for number in range(1, crashing.CRASHES_COUNTED + 1):
            await scene.until(lambda: len(scene.pool.starts) == number)
            await asyncio.sleep(2.0)
            scene.pool.executors[scene.pool.starts[-1][1]].silent = True
        await asyncio.sleep(crashing.LAPSE_S + 2.0)
        assert await scene.state(job_id) != workflow.FAILED

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_start_that_was_not_sent_is_not_blamed(monkeypatch):
    async def main(scene):
        scene.link_bytes_per_s = 60_000
        await scene.open(vms=1, executors=1)
        with structlog.testing.capture_logs() as lines:
            await scene.submit(
                scene.vms[0],
                scene_module.step(tasks=8),
                behaviour={"run_s": 9.0, "pad": "x" * 30_000},
            )
            await asyncio.sleep(1.5)
            started = {run[0] for _at_s, _id, run in scene.pool.starts}
            await scene.crash_executor("e0", back_s=0.1)
            await asyncio.sleep(3.0)
        blamed = {
            line["task"]
            for line in lines
            if line["event"] == "executor-crashed-under-task"
        }
        # One start may be on its way.
        assert len(blamed - started) <= 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_drained_around_take_overs_fail_no_sound_job(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=5, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[-1],
            scene_module.step(expected_run_s=30.0),
            behaviour={"run_s": 30.0},
        )
        for number in range(1, crashing.CRASHES_COUNTED + 1):
            await scene.until(lambda: len(scene.pool.starts) == number)
            await asyncio.sleep(2.0)
            executor_id = scene.pool.starts[-1][1]
            owner = scene.owner
            await owner.kill()
            scene.vms.remove(owner)
            await crashing.drain(scene, executor_id)
            await scene.store.external_remove(
                scene_module.EXECUTORS + executor_id
            )
            await scene.until(lambda: scene.owner is not None)
        await asyncio.sleep(crashing.LAPSE_S + 5.0)
        assert await scene.state(job_id) != workflow.FAILED

    scene_module.run_on_virtual_time(main, monkeypatch)
