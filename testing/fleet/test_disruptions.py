"""Disruptions of whole deployments: callers get what they were promised."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
from returns import result

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

step = scene_module.step


async def _submit_all(scene, count: int, *steps, **fields) -> list[str]:
    """Submit jobs at all VMs in turn; return those that were accepted."""
    accepted = []
    for number in range(count):
        vm = scene.vms[number % len(scene.vms)]
        job_id, outcome = await scene.submit(vm, *steps, **fields)
        if isinstance(outcome, result.Success):
            accepted.append(job_id)
    return accepted


@pytest.mark.parametrize("attempts", [1, 3])
def test_many_jobs_that_always_fail_keep_no_others_from_running(
    monkeypatch, attempts
):
    async def main(scene):
        await scene.open(vms=2, executors=4, attempts=attempts)
        hopeless = await _submit_all(
            scene,
            30,
            step(tasks=2),
            behaviour={"run_s": 0.5, "ends": model.FAILED},
        )
        sound = await _submit_all(scene, 4, step(tasks=4))
        for job_id in sound:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)
        for job_id in hopeless:
            await scene.until_state(job_id, workflow.FAILED, within_s=120.0)
            failed = {}
            for run in scene.runs_of(job_id):
                failed.setdefault(run.task_id, []).append(run.outcome)
            assert all(
                outcomes.count(model.FAILED) <= attempts
                for outcomes in failed.values()
            )

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_one_wide_job_that_always_fails_keeps_no_others_from_running(
    monkeypatch,
):
    """Its tasks fail on all executors, several on each at the same time."""

    async def main(scene):
        await scene.open(vms=2, executors=12, attempts=4)
        (hopeless,) = await _submit_all(
            scene, 1, step(tasks=60), behaviour={"ends": model.FAILED}
        )
        await asyncio.sleep(2.0)
        for _number in range(10):
            (job_id,) = await _submit_all(scene, 1, step(tasks=3))
            await scene.until_state(job_id, workflow.COMPLETED, within_s=4.0)
        await scene.until_state(hopeless, workflow.FAILED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_jobs_that_fit_no_executor_are_told_and_harm_no_others(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=2)
        too_large = await _submit_all(scene, 20, step(cores_milli=99_000))
        sound = await _submit_all(scene, 4, step(tasks=4))
        for job_id in sound:
            await scene.until_state(job_id, workflow.COMPLETED)
        for job_id in too_large:
            assert await scene.state(job_id) == workflow.QUEUED
        assert not any(scene.runs_of(job_id) for job_id in too_large)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_desired_states_in_quick_succession_lose_no_job(monkeypatch):
    """Each changes the keys; that of the callers stays."""

    async def main(scene):
        await scene.open(vms=3, executors=2)
        accepted: list[str] = []
        refused: list[errors.Fault] = []
        for number in range(40):
            await scene.store.external_write(
                scene_module.CONFIG_KEY,
                scene_module.desired(keys=["key", f"other-{number}"]),
            )
            job_id, outcome = await scene.submit(scene.vms[number % 3], step())
            if isinstance(outcome, result.Success):
                accepted.append(job_id)
            else:
                refused.append(outcome.failure())
            await asyncio.sleep(0.02)
        assert len(accepted) >= 30
        assert all(isinstance(f, errors.DidNotRun) for f in refused)
        for job_id in accepted:
            await scene.until_state(job_id, workflow.COMPLETED)
        await asyncio.sleep(2.0)
        for vm in scene.vms:
            assert "other-39" in vm.node.desired.current.account_by_key
            assert "other-38" not in vm.node.desired.current.account_by_key

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_all_executors_are_replaced_while_work_goes_on(monkeypatch):
    """Each drains, leaves with what still runs, and a new one comes."""

    async def main(scene):
        await scene.open(vms=2, executors=4)
        accepted = await _submit_all(
            scene, 6, step(tasks=6), behaviour={"run_s": 2.5}
        )
        for number in range(4):
            leaving = scene.pool.executors[f"e{number}"]
            await scene.list_executor(
                dataclasses.replace(
                    leaving.spec, state=model.DRAINING, remaining_s=2.0
                )
            )
            await scene.add_executor(f"n{number}", rack=f"r{number // 2}")
            await asyncio.sleep(2.5)
            for key in list(leaving.runs):
                await leaving.finish(key, model.LAPSED)
            leaving.silent = True
            await scene.store.external_remove(
                scene_module.EXECUTORS + leaving.spec.executor_id
            )
        for job_id in accepted:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_executors_that_stand_still_lose_their_work_to_others(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=3)
        for executor_id in ("e0", "e1"):
            scene.pool.executors[executor_id].stalled = True
        accepted = await _submit_all(scene, 3, step(tasks=4))
        for job_id in accepted:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_answers_lost_after_the_work_began_run_nothing_twice(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        for executor in scene.pool.executors.values():
            executor.lose_starts = 3
        for vm in scene.vms:
            vm.store.path.lose_answers = 2
        accepted = await _submit_all(
            scene, 6, step(tasks=3), behaviour={"run_s": 1.5}
        )
        assert len(accepted) == 6
        for job_id in accepted:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)

    scene_module.run_on_virtual_time(main, monkeypatch)
