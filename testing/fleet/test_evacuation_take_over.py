"""Evacuations while the owner changes, is cut off, or hears nothing."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import workflow
from testing.fleet import evacuation
from testing.fleet import scene as scene_module

LISTED_AFTER_S = 8.0
"""Longer than a take-over."""


@pytest.fixture(autouse=True)
def _limit_evacuations(monkeypatch):
    monkeypatch.setattr(scene_module, "BOUNDS", evacuation.BOUNDS)


async def _submit_every(scene, count: int, period_s: float) -> list[str]:
    """Submit jobs one after the other, of which each takes an executor."""
    jobs = []
    for _number in range(count):
        job = await evacuation.submit(scene, vm=scene.vms[-1], run_s=0.5)
        jobs.append(job.job_id)
        await asyncio.sleep(period_s)
    return jobs


async def _until_all_completed(scene, jobs: list[str]) -> None:
    for job_id in jobs:
        await scene.until_state(job_id, workflow.COMPLETED)


def test_one_that_is_in_force_binds_the_next_owner(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        survivor = scene.bystander()
        await scene.owner.kill()
        await scene.until(lambda: scene.owner is survivor)
        job = await evacuation.submit(scene, tasks=4, vm=survivor)
        await scene.until_state(job.job_id, workflow.COMPLETED, vm=survivor)
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("after_s", [0.0, 1.0, 3.0, 3.3, 3.6])
def test_one_that_is_asked_for_during_a_take_over(monkeypatch, after_s):
    async def main(scene):
        await evacuation.open_scene(scene)
        job = await evacuation.submit(
            scene, tasks=8, run_s=2.0, vm=scene.bystander()
        )
        await asyncio.sleep(0.5)
        survivor = scene.bystander()
        await scene.owner.kill()
        await asyncio.sleep(after_s)
        asked_s = await evacuation.evacuate(scene, "north")
        await scene.until_state(job.job_id, workflow.COMPLETED, vm=survivor)
        assert not evacuation.starts_in(
            scene, "north", after_s=asked_s + evacuation.KNOWN_WITHIN_S
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("after_s", [0.0, 1.0, 3.0, 3.3, 3.6])
def test_one_that_is_lifted_during_a_take_over(monkeypatch, after_s):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north")
        await evacuation.evacuate(scene, "south")
        await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        survivor = scene.bystander()
        job = await evacuation.submit(scene, tasks=4, vm=survivor)
        await scene.owner.kill()
        await asyncio.sleep(after_s)
        lifted_s = await evacuation.lift(scene, "north")
        await scene.until_state(job.job_id, workflow.COMPLETED, vm=survivor)
        assert len(evacuation.starts_in(scene, "north")) == 4
        assert scene.pool.starts[0][0] >= lifted_s

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_owner_that_is_cut_off_from_the_store_starts_nothing_there(
    monkeypatch,
):
    """It has heard of no request, and reaches the executors still."""

    async def main(scene):
        await evacuation.open_scene(scene)
        jobs = await _submit_every(scene, 4, 0.1)
        former = scene.owner
        former.store.path.silent = True
        asked_s = await evacuation.evacuate(scene, "north")
        scene.vms.remove(former)
        scene.vms.append(former)
        await scene.until(
            lambda: any(vm.is_owner for vm in scene.vms if vm is not former)
        )
        survivor = next(vm for vm in scene.vms if vm is not former)
        scene.vms = [former, survivor]
        jobs += await _submit_every(scene, 10, 0.3)
        former.store.path.silent = False
        jobs += await _submit_every(scene, 20, 0.3)
        await _until_all_completed(scene, jobs)
        assert not evacuation.starts_in(
            scene, "north", after_s=asked_s + evacuation.EVACUATION_S
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_owner_whose_watch_is_mute_starts_nothing_it_can_not_vouch_for(
    monkeypatch,
):
    """The store takes its writes, but its watch of requests hears nothing."""

    async def main(scene):
        await evacuation.open_scene(scene)
        owner = scene.owner
        owner.store.path.mute_prefix = (
            scene_module.STORE_SCHEMA.operator_prefix
        )
        asked_s = await evacuation.evacuate(scene, "north")
        jobs = await _submit_every(scene, 30, 0.3)
        assert scene.owner is owner
        assert not evacuation.starts_in(
            scene, "north", after_s=asked_s + evacuation.EVACUATION_S
        )
        owner.store.path.mute_prefix = ""
        await _until_all_completed(scene, jobs)
        assert not evacuation.starts_in(
            scene, "north", after_s=asked_s + evacuation.EVACUATION_S
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_connections_that_fall_silent_hide_no_request_for_long(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene)
        scene.owner.store.path.mute_open_connections()
        asked_s = await evacuation.evacuate(scene, "north")
        jobs = await _submit_every(scene, 30, 0.3)
        await _until_all_completed(scene, jobs)
        assert not evacuation.starts_in(
            scene, "north", after_s=asked_s + evacuation.EVACUATION_S
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("lifted", [False, True])
def test_a_history_that_was_lost_is_read_anew(monkeypatch, lifted):
    """The change was made while no watch heard it, and is not told again."""

    async def main(scene):
        await evacuation.open_scene(scene)
        if lifted:
            await evacuation.evacuate(scene, "north")
            await asyncio.sleep(evacuation.KNOWN_WITHIN_S)
        owner = scene.owner
        owner.store.path.mute_open_connections()
        if lifted:
            changed_s = await evacuation.lift(scene, "north")
        else:
            changed_s = await evacuation.evacuate(scene, "north")
        scene.store.compact_history()
        await asyncio.sleep(4.0)
        job = await evacuation.submit(scene, tasks=4)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        began = evacuation.starts_in(scene, "north", after_s=changed_s)
        assert bool(began) == lifted

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_owner_that_has_not_read_the_requests_starts_nothing(monkeypatch):
    """It became the owner before its first listing."""

    async def main(scene):
        await evacuation.open_scene(scene, vms=1)
        await evacuation.evacuate(scene, "north")
        job = await evacuation.submit(scene, tasks=4, run_s=2.0)
        late = scene_module.Vm("vm-late", scene)
        list_page = late.store.list_page

        async def list_late(prefix, **fields):
            if prefix == scene_module.STORE_SCHEMA.operator_prefix:
                await asyncio.sleep(LISTED_AFTER_S)
            return await list_page(prefix, **fields)

        monkeypatch.setattr(late.store, "list_page", list_late)
        former = scene.owner
        scene.vms.append(late)
        await late.node.start()
        await former.kill()
        await scene.until_state(job.job_id, workflow.COMPLETED, vm=late)
        assert not evacuation.starts_in(scene, "north")

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_without_a_limit_of_the_platform_a_mute_watch_holds_up_no_work(
    monkeypatch,
):
    monkeypatch.setattr(scene_module, "BOUNDS", type(evacuation.BOUNDS)())

    async def main(scene):
        await evacuation.open_scene(scene)
        scene.owner.store.path.mute_prefix = (
            scene_module.STORE_SCHEMA.operator_prefix
        )
        await asyncio.sleep(6.0)
        began_s = asyncio.get_running_loop().time()
        await evacuation.submit(scene, vm=scene.bystander())
        await scene.until(lambda: scene.pool.starts, within_s=1.0)
        assert scene.pool.starts[0][0] - began_s < 1.0

    scene_module.run_on_virtual_time(main, monkeypatch)
