"""Work moves off hanging and draining executors."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

step = scene_module.step


async def _run_for_3_s(scene, run_s: float) -> tuple[str, str]:
    """Run a job for 3 s; return its id and its executor's id."""
    await scene.open(vms=1, executors=2)
    job_id, _outcome = await scene.submit(
        scene.vms[0], step(expected_run_s=run_s), behaviour={"run_s": run_s}
    )
    await scene.until(lambda: len(scene.pool.starts) == 1)
    await asyncio.sleep(3.0)
    return job_id, scene.pool.starts[0][1]


async def _drain(scene, executor_id: str) -> None:
    executor = scene.pool.executors[executor_id]
    await scene.list_executor(
        dataclasses.replace(
            executor.spec, state=model.DRAINING, remaining_s=2.0
        )
    )


def test_fresh_work_on_a_hanging_executor_restarts_elsewhere(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(), behaviour={"run_s": 4}
        )
        await scene.until(lambda: len(scene.pool.starts) == 1)
        _began_s, executor_id, _key = scene.pool.starts[0]
        scene.pool.executors[executor_id].stalled = True
        await scene.until_state(job_id, workflow.COMPLETED, within_s=12)
        assert scene.pool.starts[1][1] != executor_id

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_long_work_moves_off_a_draining_executor(monkeypatch):
    async def main(scene):
        job_id, executor_id = await _run_for_3_s(scene, 20.0)
        drained_s = asyncio.get_running_loop().time()
        await _drain(scene, executor_id)
        await scene.until(lambda: len(scene.pool.starts) == 2)
        moved_s, other_id, _key = scene.pool.starts[1]
        assert other_id != executor_id
        assert moved_s - drained_s < 1.5
        assert [s.outcome for s in scene.runs_of(job_id)] == [model.STOPPED]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_short_work_completes_on_a_draining_executor(monkeypatch):
    async def main(scene):
        job_id, executor_id = await _run_for_3_s(scene, 4.0)
        await _drain(scene, executor_id)
        await scene.until_state(job_id, workflow.COMPLETED)
        assert [s.outcome for s in scene.runs_of(job_id)] == [model.DONE]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_knows_how_long_work_has_run(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(expected_run_s=20), behaviour={"run_s": 20}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        placed_s = scene_module.clock.unix_s()
        await asyncio.sleep(5.0)
        killed, other = scene.owner, scene.bystander()
        await killed.kill()
        await scene.until(lambda: other.is_owner)
        await asyncio.sleep(1.0)
        found = other.node.tenure.scheduling_state.workflows[job_id]
        (part,) = found.parts.values()
        assert abs(part.placed_s - placed_s) < 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)
