"""The log tells how an executor was lost, and what ran on it."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import structlog

from knapweedwharf.fleet import executor_loss
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module


async def _restart(scene, executor) -> None:
    await scene.crash_executor(executor.spec.executor_id, back_s=1.0)


async def _cut_off(_scene, executor) -> None:
    executor.silent = True


async def _drain_and_leave(scene, executor) -> None:
    draining = dataclasses.replace(
        executor.spec, state=model.DRAINING, remaining_s=5.0
    )
    await scene.list_executor(draining)
    await asyncio.sleep(0.5)
    executor.silent = True
    await scene.store.external_remove(
        scene_module.EXECUTORS + draining.executor_id
    )


@pytest.mark.parametrize(
    ("lose", "how"),
    [
        (_restart, executor_loss.REBORN),
        (_cut_off, executor_loss.LAPSED),
        (_drain_and_leave, executor_loss.LEFT),
    ],
)
def test_the_log_tells_how_an_executor_was_lost(monkeypatch, lose, how):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=2),
            behaviour={"run_s": 3.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await asyncio.sleep(2.0)
        with structlog.testing.capture_logs() as lines:
            await lose(scene, scene.pool.executors["e0"])
            await asyncio.sleep(8.0)
        (gone,) = [li for li in lines if li["event"] == "executor-gone"]
        assert (gone["executor"], gone["how"]) == ("e0", how)
        assert gone["runs"] == 2
        lost = [li for li in lines if li["event"] == "run-lost"]
        assert [li["job_id"] for li in lost] == [job_id, job_id]
        assert {li["how"] for li in lost} == {how}
        assert {li["beside"] for li in lost} == {1}
        assert all(1.0 <= li["at_work_s"] <= 3.0 for li in lost)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_the_log_names_the_executor_that_a_machine_was_before(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        with structlog.testing.capture_logs() as lines:
            await scene.add_executor("e9", rack="r0", machine_id="m-e0")
            await asyncio.sleep(0.5)
        (seen,) = [li for li in lines if li["event"] == "executor-seen"]
        assert (seen["executor"], seen["former"]) == ("e9", "e0")

    scene_module.run_on_virtual_time(main, monkeypatch)
