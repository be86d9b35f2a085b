"""Executors that drain and can't be reached."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session
from testing.fleet import scene as scene_module

DRAIN_S = 12.0
RENEWED_WITHIN_S = session.IDLE_WAIT_S + 0.5


async def _drain(scene, executor_id: str) -> None:
    spec = scene.pool.executors[executor_id].spec
    await scene.list_executor(
        dataclasses.replace(spec, state=model.DRAINING, remaining_s=DRAIN_S)
    )
    await asyncio.sleep(RENEWED_WITHIN_S)


async def _start_job(scene, *, run_s: float, tasks: int = 4) -> str:
    """Start a job on the first executor, the only one at that time."""
    job_id, _outcome = await scene.submit(
        scene.vms[0],
        scene_module.step(tasks=tasks, expected_run_s=run_s),
        behaviour={"run_s": run_s},
    )
    await scene.until(lambda: len(scene.pool.starts) == tasks)
    await scene.add_executor("e1", rack="r1")
    return job_id


@pytest.mark.parametrize("cut_s", [2.0, 4.8])
def test_a_draining_executor_that_is_cut_off_keeps_its_runs(
    monkeypatch, cut_s
):
    """Its entry lapses during the cut as if it had left."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id = await _start_job(scene, run_s=10.0)
        await _drain(scene, "e0")
        executor = scene.pool.executors["e0"]
        spec = dataclasses.replace(
            executor.spec, state=model.DRAINING, remaining_s=DRAIN_S - cut_s
        )
        executor.silent = True
        await asyncio.sleep(min(cut_s, scene_module.UNLISTED_AFTER_S))
        await scene.store.external_remove(scene_module.EXECUTORS + "e0")
        await asyncio.sleep(max(0.0, cut_s - scene_module.UNLISTED_AFTER_S))
        executor.silent = False
        await scene.list_executor(spec)
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.pool.starts) == 4

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_on_a_drained_executor_that_has_left_runs_again(monkeypatch):
    """It left with work that took longer than expected."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id = await _start_job(scene, run_s=6.0)
        await _drain(scene, "e0")
        await scene.pool.executors["e0"].crash()
        await scene.store.external_remove(scene_module.EXECUTORS + "e0")
        await scene.until_state(job_id, workflow.COMPLETED, within_s=14.0)
        assert [executor for _s, executor, _key in scene.pool.starts] == (
            ["e0"] * 4 + ["e1"] * 4
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_drained_executor_that_left_idle_is_not_called_any_more(monkeypatch):
    """Calls to it would be repeated until a lease has passed."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await _drain(scene, "e0")
        await scene.pool.executors["e0"].crash()
        await scene.store.external_remove(scene_module.EXECUTORS + "e0")
        registry = scene.owner.node.tenure.registry
        await scene.until(lambda: "e0" not in registry.sessions, within_s=1.0)

    scene_module.run_on_virtual_time(main, monkeypatch)
