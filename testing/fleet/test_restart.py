"""After a restart nothing is in use again that had left or was removed."""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module


async def _restart_all(scene) -> scene_module.Vm:
    """Lose every VM and start one; return it."""
    for vm in list(scene.vms):
        await vm.kill()
    scene.vms.clear()
    vm = scene_module.Vm("vm-new", scene)
    scene.vms.append(vm)
    await vm.node.start()
    return vm


async def _withdraw_key(scene) -> None:
    await scene.store.external_write(
        scene_module.CONFIG_KEY, scene_module.desired(keys=["other"])
    )


def test_a_withdrawn_key_stays_withdrawn_after_a_restart(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        await _withdraw_key(scene)
        vm = await _restart_all(scene)
        refusals = []
        for _call in range(40):
            _job_id, outcome = await scene.submit(vm, scene_module.step())
            assert isinstance(outcome, result.Failure)
            refusals.append(type(outcome.failure()))
            await asyncio.sleep(0.05)
        assert set(refusals) <= {errors.DidNotRun, errors.Unauthenticated}
        assert refusals[-1] is errors.Unauthenticated
        assert not scene.pool.starts

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_no_key_counts_after_a_restart_without_the_store(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        for vm in list(scene.vms):
            await vm.kill()
        scene.vms.clear()
        vm = scene_module.Vm("vm-new", scene)
        scene.vms.append(vm)
        vm.store.path.refused = True
        await vm.node.start()
        await asyncio.sleep(1.0)
        await _withdraw_key(scene)
        _job_id, outcome = await scene.submit(vm, scene_module.step())
        assert isinstance(outcome.failure(), errors.DidNotRun)
        assert outcome.failure().retry_after_s > 0.0
        vm.store.path.refused = False
        await asyncio.sleep(1.0)
        _job_id, outcome = await scene.submit(vm, scene_module.step())
        assert isinstance(outcome.failure(), errors.Unauthenticated)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_left_gets_no_work_after_a_restart(monkeypatch):
    """Its entry is gone, while it still answers on its address."""

    async def main(scene):
        await scene.open(vms=2, executors=3)
        leaving = await _drain(scene, "e0")
        await asyncio.sleep(0.5)
        await scene.store.external_remove(
            scene_module.EXECUTORS + leaving.executor_id
        )
        vm = await _restart_all(scene)
        await _check_only_the_others_run(scene, vm)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_that_drains_gets_no_work_after_a_restart(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        await _drain(scene, "e0")
        vm = await _restart_all(scene)
        await _check_only_the_others_run(scene, vm)

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _drain(scene, executor_id: str) -> model.Executor:
    """Let an executor drain; return its entry from before."""
    leaving = scene.pool.executors[executor_id].spec
    await scene.list_executor(
        dataclasses.replace(leaving, state=model.DRAINING, remaining_s=30.0)
    )
    return leaving


async def _check_only_the_others_run(scene, vm) -> None:
    """Submit more work than two executors hold at once."""
    async with asyncio.timeout(20.0):
        while True:
            job_id, outcome = await scene.submit(
                vm, scene_module.step(tasks=24)
            )
            if isinstance(outcome, result.Success):
                break
            await asyncio.sleep(0.1)
    await scene.until_state(job_id, workflow.COMPLETED, vm=vm)
    used = {executor_id for _at_s, executor_id, _key in scene.pool.starts}
    assert used == {"e1", "e2"}
