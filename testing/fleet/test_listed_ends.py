"""More ends wait on an executor than one of its reports lists."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import structlog

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

TASKS = 200
LISTED_ENDS = 50


async def _run_small_tasks(
    scene, *, vms: int = 1, executors: int = 1, run_s: float = 1.5
) -> str:
    """Open a scene and start many tasks; return the id of their job."""
    await scene.open(vms=vms, executors=executors)
    scene.pool.listed_ends = LISTED_ENDS
    job_id = await _submit_small_tasks(scene, run_s=run_s)
    await scene.until(lambda: len(scene.pool.starts) == TASKS)
    return job_id


async def _submit_small_tasks(scene, *, run_s: float, tasks=TASKS) -> str:
    """Submit a job whose tasks all fit one executor at once."""
    job_id, _outcome = await scene.submit(
        scene.owner,
        scene_module.step(
            tasks=tasks,
            cores_milli=25,
            memory_mib=10,
            accelerators=0,
        ),
        behaviour={"run_s": run_s, "slots": tasks},
    )
    return job_id


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0])
def test_ends_that_wait_behind_a_full_list_are_not_lost(monkeypatch, silent_s):
    """Runs whose ends were not listed yet were started again."""

    async def main(scene):
        job_id = await _run_small_tasks(scene)
        scene.pool.executors["e0"].silent = True
        await asyncio.sleep(silent_s)
        scene.pool.executors["e0"].silent = False
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        assert len(scene.pool.starts) == TASKS

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_reads_all_ends_before_it_takes_runs_for_lost(monkeypatch):
    """It knows the runs from their records, and the report is cut."""

    async def main(scene):
        job_id = await _run_small_tasks(scene, vms=2, run_s=2.0)
        await asyncio.sleep(0.5)
        await scene.owner.kill()
        await scene.until(lambda: scene.owner is not None)
        owner = next(vm for vm in scene.vms if vm.is_owner)
        await scene.until_state(
            job_id, workflow.COMPLETED, vm=owner, within_s=60
        )
        assert len(scene.pool.starts) == TASKS

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_ends_of_a_restarted_executor_behind_a_full_list_are_no_crash(
    monkeypatch,
):
    """The starts reached the new incarnation before its entry was seen."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        scene.pool.listed_ends = 2
        submission = asyncio.create_task(
            _submit_small_tasks(scene, run_s=0.01, tasks=100)
        )
        await asyncio.sleep(0.0)
        await scene.crash_executor("e0", back_s=0.0, listed_after_s=1.0)
        job_id = await submission
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.runs_of(job_id)) == 100

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    events = {line["event"] for line in lines}
    assert "executor-crashed-under-task" not in events


def test_runs_lost_beside_ends_that_wait_are_started_again(monkeypatch):
    """Once all ends are listed, what is named nowhere was lost."""

    async def main(scene):
        job_id = await _run_small_tasks(scene)
        executor = scene.pool.executors["e0"]
        executor.silent = True
        await asyncio.sleep(1.0)
        for key in list(executor.runs)[:3]:
            state = executor.runs.pop(key)
            executor._record(key, state, "vanished")
        await asyncio.sleep(1.0)
        executor.silent = False
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        assert len(scene.pool.starts) == TASKS + 3

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("how", ["leaves", "lapses"])
def test_work_goes_on_when_an_executor_is_gone_with_ends_that_wait(
    monkeypatch, how
):
    async def main(scene):
        job_id = await _run_small_tasks(scene, executors=2)
        executor_id = scene.pool.starts[0][1]
        executor = scene.pool.executors[executor_id]
        executor.silent = True
        await asyncio.sleep(2.0)
        if how == "leaves":
            await scene.crash_executor(executor_id)
        else:
            await asyncio.sleep(16.0)
            executor.silent = False
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        # No end there was acknowledged in time, so the tasks may run again.
        scene.pool.ended_runs = [
            run
            for run in scene.pool.ended_runs
            if run.executor_id != executor_id
        ]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_goes_on_when_a_crashed_executor_is_unlisted_early(monkeypatch):
    """Its entry goes before its lease has ended."""
    monkeypatch.setattr(scene_module, "UNLISTED_AFTER_S", 4.0)

    async def main(scene):
        job_id = await _run_small_tasks(scene, executors=2)
        executor_id = scene.pool.starts[0][1]
        scene.pool.executors[executor_id].silent = True
        await asyncio.sleep(2.0)
        await scene.crash_executor(executor_id)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_draining_executor_with_ends_that_wait_loses_none(monkeypatch):
    async def main(scene):
        job_id = await _run_small_tasks(scene, executors=2)
        for executor in scene.pool.executors.values():
            executor.silent = True
            draining = dataclasses.replace(
                executor.spec, state=model.DRAINING, remaining_s=4.0
            )
            await scene.list_executor(draining)
        await asyncio.sleep(2.0)
        for executor in scene.pool.executors.values():
            executor.silent = False
        await scene.until_state(job_id, workflow.COMPLETED, within_s=10)
        assert len(scene.pool.starts) == TASKS

    scene_module.run_on_virtual_time(main, monkeypatch)
