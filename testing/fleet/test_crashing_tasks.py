"""Tasks that crash the executors that start them, beside sound work."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import session as session_module
from testing.fleet import scene as scene_module

LAPSE_S = session_module.lapse_after_s(scene_module.BOUNDS)

CRASHES_COUNTED = 3
MAX_STARTS_AFTER = 2
"""The platform allows fewer than three starts after three crashes."""

MAX_STARTS = CRASHES_COUNTED + MAX_STARTS_AFTER

GIVEN_UP_WITHIN_S = MAX_STARTS * (LAPSE_S + 1.0)

CRASHING = {"crashing": [0], "run_s": 2.0}


def check_starts(scene, job_ids) -> None:
    """Fail if a task of these jobs was started too often."""
    starts = collections.Counter(
        task_id for _at_s, _executor, (task_id, _run) in scene.pool.starts
    )
    for task_id, count in starts.items():
        if workflow.job_id_of(task_id) in job_ids:
            assert count <= MAX_STARTS, task_id


async def _check_given_up(scene, job_id, vm=None) -> None:
    """Fail unless a job ends as failed and is not started any more."""
    await scene.until_state(
        job_id, workflow.FAILED, vm=vm, within_s=GIVEN_UP_WITHIN_S
    )
    started = len(scene.pool.starts)
    await asyncio.sleep(2 * LAPSE_S)
    assert len(scene.pool.starts) == started
    check_starts(scene, [job_id])


@pytest.mark.parametrize("renamed", [True, False])
@pytest.mark.parametrize("crash_after_s", [0.0, 0.01, 3.0])
def test_a_task_that_crashes_executors_is_given_up(
    monkeypatch, renamed, crash_after_s
):
    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(),
            behaviour={
                **CRASHING,
                "run_s": 10.0,
                "renamed": renamed,
                "crash_after_s": crash_after_s,
            },
        )
        await _check_given_up(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_long_running_task_that_crashes_executors_is_given_up(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(is_lasting=True),
            behaviour={**CRASHING, "lasts": True},
        )
        await _check_given_up(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_gang_with_a_member_that_crashes_executors_is_given_up(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=3, is_gang=True, accelerators=8),
            behaviour={"crashing": [1], "gang": 3, "run_s": 2.0},
        )
        await _check_given_up(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("renamed", [True, False])
def test_crashes_are_counted_across_take_overs(monkeypatch, renamed):
    async def main(scene):
        await scene.open(vms=3, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[-1],
            scene_module.step(),
            behaviour={**CRASHING, "renamed": renamed},
        )
        for crashes in (1, 2):
            await scene.until(lambda: len(scene.pool.crashes) == crashes)
            await _replace_owner(scene)
        await _check_given_up(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("crash_after_s", [0.0, 0.01, 3.0])
@pytest.mark.parametrize("executors", [3, 6])
def test_tasks_that_crash_executors_take_no_sound_work_with_them(
    monkeypatch, executors, crash_after_s
):
    async def main(scene):
        await scene.open(vms=1, executors=executors)
        sound, crashing = [], []
        for number in range(12):
            is_crashing = number % 4 == 0
            behaviour = {"run_s": 4.0}
            if is_crashing:
                behaviour |= CRASHING | {
                    "run_s": 10.0,
                    "crash_after_s": crash_after_s,
                }
            job_id, _outcome = await scene.submit(
                scene.vms[0],
                scene_module.step(expected_run_s=4.0),
                behaviour=behaviour,
            )
            (crashing if is_crashing else sound).append(job_id)
        for job_id in sound:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=180.0)
        for job_id in crashing:
            await scene.until_state(job_id, workflow.FAILED, within_s=180.0)
        check_starts(scene, crashing)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_are_used_again_after_the_crashes_of_a_task(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=4)
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(), behaviour=CRASHING
        )
        await _check_given_up(scene, job_id)
        sound_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(tasks=4, accelerators=8)
        )
        await scene.until_state(sound_id, workflow.COMPLETED, within_s=3.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _cut_off(scene, executor_id: str) -> None:
    executor = scene.pool.executors[executor_id]
    executor.silent = True
    await asyncio.sleep(LAPSE_S + 2.0)
    executor.silent = False


async def _kill(scene, executor_id: str) -> None:
    await scene.crash_executor(executor_id, back_s=3.0)


async def _lose_for_good(scene, executor_id: str) -> None:
    await scene.crash_executor(executor_id)


async def _crash_all(scene, _executor_id: str) -> None:
    for executor_id, executor in list(scene.pool.executors.items()):
        if not executor.crashed:
            await scene.crash_executor(executor_id, back_s=3.0)


async def drain(scene, executor_id: str) -> None:
    draining = dataclasses.replace(
        scene.pool.executors[executor_id].spec,
        state=model.DRAINING,
        remaining_s=0.1,
    )
    await scene.list_executor(draining)
    await scene.crash_executor(executor_id)


@pytest.mark.parametrize(
    ("lose", "times"),
    [
        (_kill, 2),
        (_lose_for_good, 2),
        (_crash_all, 2),
        (_cut_off, 5),
        (drain, 5),
    ],
)
def test_executors_lost_for_another_cause_fail_no_sound_job(
    monkeypatch, lose, times
):
    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(expected_run_s=30.0),
            behaviour={"run_s": 30.0},
        )
        for number in range(1, times + 1):
            await scene.until(lambda: len(scene.pool.starts) == number)
            await asyncio.sleep(2.0)
            await lose(scene, scene.pool.starts[-1][1])
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)
        assert len(scene.pool.starts) == times + 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_crashes_months_apart_fail_no_long_running_task(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(is_lasting=True),
            behaviour={"lasts": True},
        )
        for number in range(1, MAX_STARTS + 1):
            await scene.until(lambda: len(scene.pool.starts) == number)
            await asyncio.sleep(1200.0)
            await _kill(scene, scene.pool.starts[-1][1])
        await scene.until(lambda: len(scene.pool.starts) > MAX_STARTS)
        assert await scene.state(job_id) == workflow.ACTIVE

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _replace_owner(scene) -> None:
    owner = scene.owner
    await owner.kill()
    scene.vms.remove(owner)
    await scene.until(lambda: scene.owner is not None)


def test_a_crash_counts_once_across_a_take_over(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[-1],
            scene_module.step(tasks=2, is_gang=True, accelerators=8),
            behaviour={**CRASHING, "gang": 2, "renamed": True},
        )
        await scene.until(lambda: len(scene.pool.crashes) == 1)
        crashed_id = scene.pool.crashes[0][1]
        (other_id,) = {at[1] for at in scene.pool.starts} - {crashed_id}
        await asyncio.sleep(LAPSE_S / 2)
        # The gang's stop waits for this one, and the record keeps its places.
        scene.pool.executors[other_id].silent = True
        await asyncio.sleep(LAPSE_S / 2 + 1.0)
        await _replace_owner(scene)
        await asyncio.sleep(LAPSE_S + 1.0)
        scene.pool.executors[other_id].silent = False
        await _check_given_up(scene, job_id)
        assert len(scene.pool.crashes) == CRASHES_COUNTED

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_withdraws_the_loss_of_an_executor_that_answers(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=2, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[-1],
            scene_module.step(expected_run_s=30.0),
            behaviour={"run_s": 30.0},
        )
        await scene.until(lambda: scene.pool.starts)
        await asyncio.sleep(2.0)
        cut_off = scene.pool.executors[scene.pool.starts[0][1]]
        cut_off.silent = True
        await scene.until(lambda: len(scene.pool.starts) == 2)
        await _replace_owner(scene)
        cut_off.silent = False
        for number in (2, 3):
            await asyncio.sleep(3.0)
            await _kill(scene, scene.pool.starts[-1][1])
            await scene.until(lambda: len(scene.pool.starts) == number + 1)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_that_went_well_is_not_blamed_for_what_has_just_started(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        sound_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(is_lasting=True),
            behaviour={"lasts": True},
        )
        for _number in range(CRASHES_COUNTED + 1):
            await asyncio.sleep(3.0)
            await scene.until(
                lambda: any(
                    workflow.job_id_of(task_id) == sound_id
                    for executor in scene.pool.executors.values()
                    for task_id, _run in executor.runs
                )
            )
            await asyncio.sleep(3.0)
            job_id, _outcome = await scene.submit(
                scene.vms[0], scene_module.step(), behaviour=CRASHING
            )
            await _check_given_up(scene, job_id)
        assert await scene.state(sound_id) == workflow.ACTIVE

    scene_module.run_on_virtual_time(main, monkeypatch)
