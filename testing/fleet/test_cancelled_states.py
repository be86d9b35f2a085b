"""A cancelled job ends in whatever state it and the fleet are."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from testing.fleet import scene as scene_module

step = scene_module.step

CANCEL_S = 3.0
"""Time after a cancellation within which starts must cease."""

WATCHED_S = 12.0
"""Longer than leases, back-offs and late orders of these tests."""

LONG = {"run_s": 60.0}

Arrange = abc.Callable[[scene_module.Scene], abc.Awaitable[str]]
"""Brings a job into a state; returns its id."""

STATES: dict[str, Arrange] = {}


def _state(arrange: Arrange) -> Arrange:
    STATES[arrange.__name__.strip("_")] = arrange
    return arrange


async def _submit(scene, *steps, behaviour=None, **fields) -> str:
    job_id, outcome = await scene.submit(
        scene.owner, *steps, behaviour=behaviour or LONG, **fields
    )
    assert outcome.unwrap() == job_id
    return job_id


async def _submit_running(scene, **fields) -> str:
    job_id = await _submit(scene, step(**fields))
    await scene.until_state(job_id, workflow.ACTIVE)
    return job_id


@_state
async def _queued(scene) -> str:
    full = step(tasks=2, accelerators=8)
    await _submit(scene, full, behaviour={"run_s": 5.0})
    await scene.until(lambda: len(scene.pool.starts) == 2)
    return await _submit(scene, step(tasks=4))


@_state
async def _placed_but_not_stored(scene) -> str:
    path = scene.owner.store.path
    job_id = await _submit(scene, step(tasks=4))
    path.lose_answers, path.late_s = 2, 1.5
    await asyncio.sleep(0.02)
    return job_id


@_state
async def _starting_without_an_answer(scene) -> str:
    for executor in scene.pool.executors.values():
        executor.lose_starts, executor.late_s = 4, 2.0
    job_id = await _submit(scene, step(tasks=4))
    await asyncio.sleep(0.2)
    return job_id


@_state
async def _a_gang_starting_in_part(scene) -> str:
    scene.pool.executors["e1"].lose_starts = 1
    scene.pool.executors["e1"].late_s = 2.0
    gang = step(tasks=2, accelerators=8, is_gang=True)
    job_id = await _submit(scene, gang, behaviour={"run_s": 60.0, "gang": 2})
    await asyncio.sleep(0.2)
    return job_id


@_state
async def _running(scene) -> str:
    return await _submit_running(scene, tasks=4)


@_state
async def _running_without_end(scene) -> str:
    return await _submit_running(scene, tasks=2, is_lasting=True)


@_state
async def _stopping_to_run_elsewhere(scene) -> str:
    scene.pool.stop_s = 0.8
    job_id = await _submit_running(scene, expected_run_s=60.0)
    _at_s, executor_id, _run = scene.pool.starts[-1]
    executor = scene.pool.executors[executor_id]
    await scene.list_executor(
        dataclasses.replace(
            executor.spec, state=model.DRAINING, remaining_s=2.0
        )
    )
    await asyncio.sleep(0.3)
    return job_id


@_state
async def _in_back_off(scene) -> str:
    behaviour = {"slots": 0}
    job_id = await _submit(scene, step(tasks=4), behaviour=behaviour)
    await scene.until(lambda: scene.pool.refused)
    await asyncio.sleep(0.3)
    return job_id


@_state
async def _between_two_failures(scene) -> str:
    behaviour = {"run_s": 0.3, "ends": model.FAILED}
    job_id = await _submit(scene, step(tasks=2), behaviour=behaviour)
    await scene.until(lambda: scene.runs_of(job_id))
    return job_id


@_state
async def _between_two_steps(scene) -> str:
    steps = (step(), step(after=(0,), tasks=4))
    job_id = await _submit(scene, *steps, behaviour={"run_s": 0.5})
    await scene.until(lambda: scene.pool.starts)
    await asyncio.sleep(0.48)
    return job_id


@_state
async def _between_two_repetitions(scene) -> str:
    job_id = "00000000000000bb"
    now_s = asyncio.get_running_loop().time()
    await scene.owner.node.job_api.submit(
        scene.call(job_id),
        specification='{"run_s": 0.2}',
        steps=(step(),),
        repetitions=9,
        first_run_s=scene_module.UNIX_AT_START_S + now_s + 0.5,
        interval_s=4.0,
    )
    await scene.until(lambda: scene.runs_of(job_id))
    return job_id


@_state
async def _waiting_for_advice(scene) -> str:
    scene.pool.advisor.decision_s = 2.0
    job_id = await _submit(
        scene, step(tasks=4), prefix=scene_module.ADVISED_PREFIX
    )
    await scene.until(lambda: scene.pool.advisor.calls)
    return job_id


@_state
async def _while_the_owner_is_lost(scene) -> str:
    job_id = await _submit_running(scene, tasks=4)
    await scene.owner.kill()
    return job_id


@_state
async def _while_the_owner_is_lost_with_starts_under_way(scene) -> str:
    job_id = await _starting_without_an_answer(scene)
    await scene.owner.kill()
    return job_id


@_state
async def _while_the_history_is_dropped(scene) -> str:
    job_id = await _submit_running(scene, tasks=4)

    async def drop_often() -> None:
        for _time in range(100):
            scene.store.compact_history()
            await scene.store.notify()
            await asyncio.sleep(0.01)

    scene.dropping = asyncio.create_task(drop_often())
    return job_id


@_state
async def _on_an_executor_that_is_silent_for_a_while(scene) -> str:
    job_id = await _submit_running(scene)
    _at_s, executor_id, _run = scene.pool.starts[-1]
    executor = scene.pool.executors[executor_id]
    executor.silent = True

    async def answer_again() -> None:
        await asyncio.sleep(1.5)
        executor.silent = False

    scene.answering = asyncio.create_task(answer_again())
    return job_id


@_state
async def _on_an_executor_that_restarts(scene) -> str:
    """It has forgotten epochs and stops; a start reaches it after that."""
    job_id = await _submit_running(scene)
    _at_s, executor_id, run = scene.pool.starts[-1]
    former = scene.pool.executors[executor_id]
    order = former.runs[run].order

    async def restart() -> None:
        await asyncio.sleep(0.1)
        reborn = dataclasses.replace(former.spec, incarnation_ms=2)
        for key in list(former.runs):
            await former.finish(key, model.LAPSED)
        restarted = scene.pool.add(reborn)
        late = dataclasses.replace(
            order, not_after_ms=restarted.clock_ms() + 6000
        )
        await scene.list_executor(reborn)
        await asyncio.sleep(0.5)
        restarted.epoch = 0
        assert restarted.start(late) is None

    scene.restarting = asyncio.create_task(restart())
    return job_id


@pytest.mark.parametrize("state", STATES)
def test_a_cancelled_job_starts_nothing_more_and_ends(monkeypatch, state):
    async def main(scene):
        await scene.open(vms=4, executors=2)
        job_id = await STATES[state](scene)
        vm = scene.vms[-1] if scene.owner is None else scene.bystander()
        prefix = scene_module.PREFIX
        if state == "waiting_for_advice":
            prefix = scene_module.ADVISED_PREFIX
        cancelled = await vm.node.job_api.cancel(
            scene.call(job_id, prefix=prefix)
        )
        assert cancelled.unwrap() == job_id
        cancelled_s = asyncio.get_running_loop().time()
        await asyncio.sleep(CANCEL_S + scene.pool.stop_s + 0.1)
        assert not _alive(scene, job_id)
        await asyncio.sleep(WATCHED_S)
        assert not _alive(scene, job_id)
        late = [
            start
            for start in scene.pool.starts
            if start[0] > cancelled_s + CANCEL_S
            and start[2][0].startswith(job_id)
        ]
        assert not late
        shown = await vm.node.job_api.state(scene.call(job_id, prefix=prefix))
        assert shown.unwrap() == workflow.CANCELLED
        assert not _stored_places(scene, job_id)

    scene_module.run_on_virtual_time(main, monkeypatch)


def _stored_places(scene, job_id: str) -> dict[str, tuple]:
    """Return where the record says that the job's parts may run."""
    items = scene.store.items
    spec = items[records.key(job_id, records.SPEC)]
    progress = items[records.key(job_id, records.PROGRESS)]
    flow = records.load_progress(records.load_job(spec.value), progress.value)
    return {
        part_id: part.placements
        for part_id, part in flow.parts.items()
        if part.placements
    }


def _alive(scene, job_id: str) -> list[str]:
    return [
        task_id
        for executor in scene.pool.executors.values()
        for task_id, _run in executor.runs
        if task_id.startswith(job_id)
    ]
