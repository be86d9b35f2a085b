"""A busy link of the owner isn't taken for a failure of the executors."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

SLOW_LINK_BYTES_PER_S = 250_000.0
"""2 Mbit/s."""

EXECUTORS = 24
PADDING = "x" * 4000
"""Fills the longest specification that callers may send."""


async def _open(scene, **fields) -> None:
    scene.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    await scene.open(vms=1, executors=EXECUTORS, **fields)


def _check_each_task_ran_once(scene, *job_ids: str, tasks: int) -> None:
    for job_id in job_ids:
        outcomes = [run.outcome for run in scene.runs_of(job_id)]
        assert outcomes == [model.DONE] * tasks


@pytest.mark.parametrize("tasks", [16, 160])
def test_a_wide_step_starts_over_a_slow_link_without_repeated_runs(
    monkeypatch, tasks
):
    async def main(scene):
        await _open(scene)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=tasks),
            behaviour={"run_s": 4.0, "padding": PADDING},
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        _check_each_task_ran_once(scene, job_id, tasks=tasks)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_running_work_keeps_its_leases_while_wide_steps_start(monkeypatch):
    async def main(scene):
        await _open(scene)
        long_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=EXECUTORS),
            behaviour={"run_s": 20.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == EXECUTORS)
        wide_ids = []
        for _number in range(5):
            job_id, _outcome = await scene.submit(
                scene.vms[0],
                scene_module.step(tasks=150),
                behaviour={"run_s": 1.5, "padding": PADDING},
            )
            wide_ids.append(job_id)
            await asyncio.sleep(1.0)
        for job_id in (*wide_ids, long_id):
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        _check_each_task_ran_once(scene, long_id, tasks=EXECUTORS)
        _check_each_task_ran_once(scene, *wide_ids, tasks=150)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_urgent_starts_pass_those_of_a_wide_step(monkeypatch):
    async def main(scene):
        await _open(scene, guaranteed=32)
        await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=160),
            behaviour={"run_s": 4.0, "padding": PADDING},
        )
        await scene.until(lambda: len(scene.pool.starts) > 20)
        before_s = asyncio.get_running_loop().time()
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=8),
            behaviour={"run_s": 1.0},
            prefix=scene_module.URGENT_PREFIX,
        )
        await scene.until(
            lambda: sum(s[2][0].startswith(job_id) for s in scene.pool.starts)
            == 8
        )
        assert asyncio.get_running_loop().time() - before_s < 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_queued_start_is_not_sent_to_an_executor_that_drains(monkeypatch):
    async def main(scene):
        await _open(scene)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=160),
            behaviour={"run_s": 4.0, "padding": PADDING},
        )
        await scene.until(lambda: len(scene.pool.starts) > 20)
        started = {
            executor_id for _at_s, executor_id, _key in scene.pool.starts
        }
        leaving = next(
            executor.spec
            for executor_id, executor in scene.pool.executors.items()
            if executor_id not in started
        )
        await scene.list_executor(
            dataclasses.replace(
                leaving, state=model.DRAINING, remaining_s=30.0
            )
        )
        told_s = asyncio.get_running_loop().time()
        await scene.until_state(job_id, workflow.COMPLETED)
        late = [
            at_s
            for at_s, executor_id, _key in scene.pool.starts
            if executor_id == leaving.executor_id and at_s > told_s + 1.0
        ]
        assert not late

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("delay_s", [0.6, 0.8, 1.2])
def test_answers_that_are_late_from_all_executors_lose_no_work(
    monkeypatch, delay_s
):
    async def main(scene):
        await _open(scene)
        vm = scene.vms[0]
        job_id, _outcome = await scene.submit(
            vm, scene_module.step(tasks=EXECUTORS), behaviour={"run_s": 16.0}
        )
        await scene.until(lambda: len(scene.pool.starts) == EXECUTORS)
        vm.executors.answer_delay_s = delay_s
        await asyncio.sleep(14.0)
        vm.executors.answer_delay_s = 0.0
        await scene.until_state(job_id, workflow.COMPLETED)
        _check_each_task_ran_once(scene, job_id, tasks=EXECUTORS)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("padding", ["", PADDING])
def test_guaranteed_work_starts_in_time_over_a_slow_link(monkeypatch, padding):
    """The starts alone take a second of the link."""
    tasks = 56

    async def main(scene):
        await _open(scene, guaranteed=64)
        scene.pool.stop_s = scene_module.BOUNDS.stop_timeout_s
        await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=8 * EXECUTORS),
            behaviour={"run_s": 30.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 8 * EXECUTORS)
        await asyncio.sleep(2.0)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=tasks),
            behaviour={"run_s": 1.0, "padding": padding},
            prefix=scene_module.URGENT_PREFIX,
        )
        accepted_s = asyncio.get_running_loop().time()
        await scene.until_state(job_id, workflow.COMPLETED)
        starts = [
            at_s
            for at_s, _executor_id, key in scene.pool.starts
            if key[0].startswith(job_id)
        ]
        assert len(starts) == tasks
        took_s = max(starts) - accepted_s
        assert took_s <= scene_module.BOUNDS.reclaim_timeout_s

    scene_module.run_on_virtual_time(main, monkeypatch)
