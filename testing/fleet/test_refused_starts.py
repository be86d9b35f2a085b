"""Executors that refuse or don't answer starts for a short time."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import workflow
from standins import fleet_faults
from testing.fleet import scene as scene_module


def _refuse_all(scene, executor_ids) -> None:
    """Let executors refuse all starts for want of room."""
    for executor_id in executor_ids:
        executor = scene.pool.executors[executor_id]
        executor.start = lambda _order: fleet_faults.refused("room")


def _accept_all(scene) -> None:
    for executor in scene.pool.executors.values():
        vars(executor).pop("start", None)


async def _submit(scene, *, tasks: int, **fields) -> str:
    gang = {"gang": tasks} if fields.get("is_gang") else {}
    job_id, _outcome = await scene.submit(
        scene.owner, scene_module.step(tasks=tasks, **fields), behaviour=gang
    )
    return job_id


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("refused_s", [0.3, 1.0, 3.0, 8.0])
def test_a_service_that_refused_all_starts_is_soon_in_use(
    monkeypatch, refused_s, gang
):
    """All of its executors backed off for a minute."""

    async def main(scene):
        await scene.open(vms=1, executors=6)
        _refuse_all(scene, scene.pool.executors)
        job_id = await _submit(scene, tasks=40, is_gang=gang)
        await asyncio.sleep(refused_s)
        _accept_all(scene)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=6.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("silent_s", [0.5, 1.0, 3.0, 5.0])
@pytest.mark.parametrize("share", ["two", "all"])
def test_executors_that_were_silent_are_soon_in_use(
    monkeypatch, silent_s, share
):
    """Eight starts without an answer made the longest back-off."""

    async def main(scene):
        await scene.open(vms=1, executors=0)
        for number in range(12):
            label = "k2" if number >= 10 or share == "all" else "a"
            await scene.add_executor(
                f"e{number}", rack="r0", labels=(label, "r0")
            )
        await asyncio.sleep(1.0)
        cut = [
            e for e in scene.pool.executors.values() if "k2" in e.spec.labels
        ]
        for executor in cut:
            executor.silent = True
        wide = await _submit(scene, tasks=8 * len(cut), label="k2")
        await asyncio.sleep(silent_s)
        for executor in cut:
            executor.silent = False
        await asyncio.sleep(1.0)
        single = await _submit(scene, tasks=1, label="k2")
        for job_id in (wide, single):
            await scene.until_state(job_id, workflow.COMPLETED, within_s=8.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_refuses_everything_delays_little_work(monkeypatch):
    """It is tried few times, and what it refuses starts elsewhere."""

    async def main(scene):
        await scene.open(vms=1, executors=6)
        _refuse_all(scene, ["e0"])
        for _number in range(30):
            job_id = await _submit(scene, tasks=40)
            await scene.until_state(job_id, workflow.COMPLETED, within_s=4.0)
        assert len(scene.pool.refused) <= 8 * 6

    scene_module.run_on_virtual_time(main, monkeypatch)
