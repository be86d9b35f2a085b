"""Executors that leave in order while no owner follows their entries."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import structlog

from knapweedwharf.core import workflow
from knapweedwharf.fleet import departures
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module
from testing.fleet import test_crashing_tasks as crashing

DRAIN_S = 2.0
MOVE_S = 1.5
TIMES = crashing.CRASHES_COUNTED
RUN_S = 30.0


async def _start_job(scene, **fields) -> str:
    """Submit a job of long tasks; return its id."""
    job_id, _outcome = await scene.submit(
        scene.vms[-1],
        scene_module.step(expected_run_s=RUN_S, **fields),
        behaviour={"run_s": RUN_S},
    )
    return job_id


async def _executor_at_work(scene, number: int) -> str:
    """Wait for a start; return its executor once it has been at work."""
    await scene.until(lambda: len(scene.pool.starts) >= number)
    await asyncio.sleep(2.0)
    return scene.pool.starts[-1][1]


async def _leave(scene, executor_id: str) -> None:
    """Drain an executor; it then exits and removes its entry."""
    executor = scene.pool.executors[executor_id]
    await scene.list_executor(
        dataclasses.replace(
            executor.spec, state=model.DRAINING, remaining_s=DRAIN_S
        )
    )
    await asyncio.sleep(DRAIN_S)
    await executor.crash()
    await scene.store.external_remove(scene_module.EXECUTORS + executor_id)


async def _kill_owner(scene) -> None:
    owner = scene.owner
    await owner.kill()
    scene.vms.remove(owner)


async def _leave_unseen(scene, executor_id: str, *, vms=()) -> None:
    """Let an executor leave while no VM hears of it.

    :param vms: those that go on; without any, the owner ends.
    """
    if not vms:
        await _kill_owner(scene)
    for vm in scene.vms:
        vm.store.path.silent = True
    await asyncio.sleep(0.5)
    await _leave(scene, executor_id)
    await asyncio.sleep(1.0)


def _reconnect(scene) -> None:
    for vm in scene.vms:
        vm.store.path.silent = False


async def _check_not_failed(scene, job_id: str) -> None:
    await scene.until(lambda: scene.owner is not None)
    await asyncio.sleep(crashing.LAPSE_S + 5.0)
    assert await scene.state(job_id) != workflow.FAILED


def _check_nobody_blamed(lines) -> None:
    events = {line["event"] for line in lines}
    assert "executor-crashed-under-task" not in events


def test_executors_that_left_behind_an_outage_of_the_store_fail_no_sound_job(
    monkeypatch,
):
    """The only VM learns afterwards that they are gone."""

    async def main(scene):
        await scene.open(vms=1, executors=8)
        job_id = await _start_job(scene)
        for number in range(1, TIMES + 1):
            executor_id = await _executor_at_work(scene, number)
            await _leave_unseen(scene, executor_id, vms=scene.vms)
            _reconnect(scene)
        await _check_not_failed(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_left_and_are_back_under_their_id_fail_no_sound_job(
    monkeypatch,
):
    """The next owner sees only another incarnation."""

    async def main(scene):
        await scene.open(vms=TIMES + 1, executors=8)
        job_id = await _start_job(scene)
        for number in range(1, TIMES + 1):
            executor_id = await _executor_at_work(scene, number)
            spec = scene.pool.executors[executor_id].spec
            await _leave_unseen(scene, executor_id)
            spec = dataclasses.replace(spec, incarnation_ms=100 + number)
            scene.pool.add(spec)
            await scene.list_executor(spec)
            _reconnect(scene)
        await _check_not_failed(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("vms", [1, TIMES + 1])
def test_executors_lost_in_forgotten_history_fail_no_sound_job(
    monkeypatch, vms
):
    """Whether they left or crashed can't be known any more."""

    async def main(scene):
        await scene.open(vms=vms, executors=8)
        job_id = await _start_job(scene)
        for number in range(1, TIMES + 1):
            executor_id = await _executor_at_work(scene, number)
            staying = scene.vms if vms == 1 else ()
            await _leave_unseen(scene, executor_id, vms=staying)
            scene.store.compact_history()
            _reconnect(scene)
        await _check_not_failed(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_was_draining_long_before_a_take_over_is_not_blamed(
    monkeypatch,
):
    """The changes of that time are forgotten; the owner's record has it."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        await _start_job(scene)
        executor_id = await _executor_at_work(scene, 1)
        executor = scene.pool.executors[executor_id]
        await scene.list_executor(
            dataclasses.replace(
                executor.spec, state=model.DRAINING, remaining_s=60.0
            )
        )
        await asyncio.sleep(1.0)
        scene.store.compact_history()
        await asyncio.sleep(7.0)
        await _kill_owner(scene)
        await executor.crash()
        await scene.store.external_remove(scene_module.EXECUTORS + executor_id)
        await scene.until(lambda: len(scene.pool.starts) == 2)

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    _check_nobody_blamed(lines)


def test_an_executor_that_drains_beyond_its_record_is_not_blamed(
    monkeypatch,
):
    """Its entry doesn't change meanwhile, and the record drops it."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        await scene.submit(
            scene.vms[-1],
            scene_module.step(expected_run_s=2 * departures.KEPT_S),
            behaviour={"run_s": 2 * departures.KEPT_S},
        )
        executor_id = await _executor_at_work(scene, 1)
        executor = scene.pool.executors[executor_id]
        await scene.list_executor(
            dataclasses.replace(
                executor.spec,
                state=model.DRAINING,
                remaining_s=3 * departures.KEPT_S,
            )
        )
        await asyncio.sleep(
            departures.KEPT_S + 2 * departures.STORE_INTERVAL_S
        )
        await _kill_owner(scene)
        await executor.crash()
        await scene.store.external_remove(scene_module.EXECUTORS + executor_id)
        await asyncio.sleep(crashing.LAPSE_S + 5.0)

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    _check_nobody_blamed(lines)


def test_work_beside_executors_that_left_around_a_take_over_goes_on_at_once(
    monkeypatch,
):
    """It must not become suspect, as suspects run one at a time."""
    tasks = 16

    async def main(scene):
        await scene.open(vms=2, executors=3)
        job_id = await _start_job(scene, tasks=tasks)
        executor_id = await _executor_at_work(scene, tasks)
        await _leave_unseen(scene, executor_id)
        _reconnect(scene)
        await scene.until_state(
            job_id, workflow.COMPLETED, within_s=RUN_S + 15.0
        )

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    _check_nobody_blamed(lines)


@pytest.mark.parametrize("crash_after_s", [0.5, 3.0])
@pytest.mark.parametrize("renamed", [True, False])
def test_a_task_that_crashes_an_executor_in_each_take_over_is_given_up(
    monkeypatch, renamed, crash_after_s
):
    """The executor's next incarnation is listed before there is an owner."""

    async def main(scene):
        await scene.open(vms=TIMES + 2, executors=8)
        job_id, _outcome = await scene.submit(
            scene.vms[-1],
            scene_module.step(expected_run_s=RUN_S),
            behaviour={
                "crashing": [0],
                "crash_after_s": crash_after_s,
                "run_s": RUN_S,
                "renamed": renamed,
                "back_s": 1.0,
            },
        )
        for number in range(1, TIMES + 1):
            await scene.until(lambda: len(scene.pool.crashes) == number)
            await _kill_owner(scene)
            await scene.until(lambda: scene.owner is not None)
        await scene.until_state(
            job_id,
            workflow.FAILED,
            vm=scene.owner,
            within_s=crashing.GIVEN_UP_WITHIN_S,
        )
        crashing.check_starts(scene, [job_id])

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_a_former_owner_has_ordered_away_is_not_blamed(
    monkeypatch,
):
    """The order is carried out late, after the next owner has used it."""

    async def main(scene):
        await scene.open(vms=2, executors=1)
        registry = scene.owner.node.tenure.registry
        registry.retire(registry.sessions["e0"])
        await asyncio.sleep(0.5)
        await _kill_owner(scene)
        await scene.until(lambda: scene.owner is not None)
        await _start_job(scene)
        await _executor_at_work(scene, 1)
        await scene.pool.executors["e0"].crash()
        machine = scene.machines.machines["m-e0"]
        await scene.machines._take_down(machine, MOVE_S)
        await scene.until(lambda: len(scene.pool.starts) == 2)

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    _check_nobody_blamed(lines)
