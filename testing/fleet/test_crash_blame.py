"""Which tasks are blamed for the loss of an executor."""

from __future__ import annotations

import asyncio

from knapweedwharf.core import workflow
from testing.fleet import scene as scene_module
from testing.fleet import test_crashing_tasks as crashing


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
