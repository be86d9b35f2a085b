"""Executors that start again under their id, and what they run since."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module


async def _run_short_jobs(scene, count: int) -> None:
    for _number in range(count):
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(), behaviour={"run_s": 0.2}
        )
        await scene.until_state(job_id, workflow.COMPLETED)


@pytest.mark.parametrize("back_s", [0.0, 0.02, 0.5])
@pytest.mark.parametrize("run_s", [0.3, 4.0])
def test_work_given_to_an_executor_before_its_new_entry_runs_once(
    monkeypatch, run_s, back_s
):
    """The starts reach an incarnation that the owner has not seen listed."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        await _run_short_jobs(scene, 3)
        await scene.crash_executor("e0", back_s=back_s, listed_after_s=1.0)
        await asyncio.sleep(back_s)
        jobs = []
        for _number in range(6):
            job_id, _outcome = await scene.submit(
                scene.vms[0], scene_module.step(), behaviour={"run_s": run_s}
            )
            jobs.append(job_id)
            await asyncio.sleep(0.02)
        for job_id in jobs:
            await scene.until_state(job_id, workflow.COMPLETED)
            assert len(scene.runs_of(job_id)) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_runs_of_a_crashed_incarnation_are_repeated_at_once(monkeypatch):
    """The crash is known by an answer, before the new entry is seen."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=4),
            behaviour={"run_s": 3.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 4)
        await asyncio.sleep(1.0)
        executor_id = scene.pool.starts[0][1]
        crashed_s = asyncio.get_running_loop().time()
        await scene.crash_executor(executor_id, back_s=0.1, listed_after_s=4.0)
        await scene.until(lambda: len(scene.pool.starts) > 4)
        assert scene.pool.starts[4][0] - crashed_s < 0.5
        assert scene.pool.starts[4][1] != executor_id
        await scene.until_state(job_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_entry_from_before_a_restart_gives_up_no_run(monkeypatch):
    """A former incarnation's entry is seen again after its successor's."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        former = scene.pool.executors["e0"].spec
        await scene.crash_executor("e0", back_s=0.1)
        await asyncio.sleep(1.0)
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(), behaviour={"run_s": 4.0}
        )
        await scene.until(lambda: scene.pool.starts)
        await scene.list_executor(former)
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.runs_of(job_id)) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_entry_without_an_incarnation_is_no_restart(monkeypatch):
    """Later entries that name the incarnation are still followed."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=4),
            behaviour={"run_s": 6.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 4)
        spec = scene.pool.executors["e0"].spec
        await scene.list_executor(dataclasses.replace(spec, incarnation_ms=0))
        await asyncio.sleep(1.0)
        await scene.list_executor(
            dataclasses.replace(spec, state=model.DRAINING, remaining_s=9.0)
        )
        await asyncio.sleep(1.0)
        await scene.submit(scene.vms[0], scene_module.step(tasks=4))
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.runs_of(job_id)) == 4
        used = [executor for _at_s, executor, _key in scene.pool.starts[4:]]
        assert used == ["e1"] * 4

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_address_of_the_same_incarnation_gives_up_no_run(monkeypatch):
    """The entry names another address while the same process runs on."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(), behaviour={"run_s": 4.0}
        )
        await scene.until(lambda: scene.pool.starts)
        await asyncio.sleep(1.0)
        spec = scene.pool.executors["e0"].spec
        await scene.list_executor(
            dataclasses.replace(spec, address="127.0.0.1:9")
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.runs_of(job_id)) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _write_entries(scene, *specs: model.Executor | None) -> None:
    """Write or remove the entry of e0 several times before a watch ends."""
    key = scene_module.EXECUTORS + "e0"
    for spec in specs:
        scene.store.revision += 1
        if spec is None:
            scene.store.remove(key)
        else:
            value = json.dumps(dataclasses.asdict(spec)).encode()
            scene.store.put(key, value)
    await scene.store.notify()


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("is_reborn", [False, True])
def test_an_entry_that_is_back_in_the_same_answer_of_the_watch_gets_work(
    monkeypatch, is_reborn, times
):
    """Its removal was taken to be the newest change."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        await _run_short_jobs(scene, 1)
        spec = scene.pool.executors["e0"].spec
        if is_reborn:
            await scene.crash_executor("e0")
            spec = dataclasses.replace(spec, incarnation_ms=7)
            scene.pool.add(spec)
        await _write_entries(scene, *(None, spec) * times)
        await asyncio.sleep(1.0)
        await _run_short_jobs(scene, 2)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_removed_last_in_an_answer_of_the_watch_gets_no_work(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        spec = scene.pool.executors["e0"].spec
        await _write_entries(scene, None, spec, None)
        await asyncio.sleep(1.0)
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step()
        )
        await asyncio.sleep(3.0)
        assert not scene.pool.starts
        assert await scene.state(job_id) == workflow.QUEUED

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_change_from_before_a_listed_entry_restarts_no_session(monkeypatch):
    """The watch goes on from the listing's first page, the entry was newer."""

    async def main(scene):
        await scene.open(vms=1, executors=4)
        owner = scene.owner
        spec = scene.pool.executors["e3"].spec
        owner.store.page_items, owner.store.path.bytes_per_s = 2, 2_000.0
        seen = len(owner.store.pages)
        scene.store.revision += 1
        scene.store.remove(scene_module.EXECUTORS + "e1")
        scene.store.compact_history()
        await scene.store.notify()
        await scene.until(
            lambda: (scene_module.EXECUTORS, "") in owner.store.pages[seen:]
        )
        await scene.list_executor(dataclasses.replace(spec, address="old"))
        await scene.list_executor(spec)
        session = owner.node.tenure.registry.sessions["e3"]
        await asyncio.sleep(3.0)
        assert owner.node.tenure.registry.sessions["e3"] is session

    scene_module.run_on_virtual_time(main, monkeypatch)
