"""Maintenance waves keep their time and their limit and lose no work."""

from __future__ import annotations

import asyncio
import json

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

step = scene_module.step


async def _request_wave(
    scene, machines, *, within_s=40.0, most_at_once=1
) -> None:
    wave = {
        "number": 3,
        "machine_ids": machines,
        "within_s": within_s,
        "most_at_once": most_at_once,
    }
    await scene.store.external_write(
        "operator/wave/3", json.dumps(wave).encode()
    )


def _published(scene) -> bool | None:
    item = scene.store.items.get("shown/wave/3")
    return json.loads(item.value) if item else None


def test_a_wave_is_carried_out_few_at_a_time(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=4)
        machines = [f"m-e{n}" for n in range(4)]
        await _request_wave(scene, machines, most_at_once=2)
        await scene.until(lambda: _published(scene) is False)
        await scene.until(lambda: _published(scene) is True, within_s=40)
        maintained = [m for _at_s, m in scene.machines.maintained]
        assert sorted(maintained) == machines
        assert scene.machines.max_in_maintenance <= 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_write_of_a_waves_status_replaces_no_newer_one(monkeypatch):
    """The first status is carried out after the wave was completed."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await asyncio.sleep(1.0)
        path = scene.owner.store.path
        path.lose_answers, path.late_s = 1, 12.0
        await _request_wave(scene, ["m-e0"])
        await scene.until(lambda: _published(scene) is True, within_s=11.0)
        await asyncio.sleep(15.0)
        assert _published(scene) is True

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_ends_before_its_machine_goes_down(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=8, expected_run_s=4.0),
            behaviour={"run_s": 4.0},
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        await _request_wave(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: _published(scene) is True, within_s=60)
        outcomes = {s.outcome for s in scene.runs_of(job_id)}
        assert outcomes == {model.DONE}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_that_would_delay_a_wave_moves(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(expected_run_s=60.0),
            behaviour={"run_s": 60.0},
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        began_s = asyncio.get_running_loop().time()
        await _request_wave(scene, ["m-e0", "m-e1"], within_s=20.0)
        await scene.until(lambda: _published(scene) is True, within_s=60)
        assert asyncio.get_running_loop().time() - began_s < 20.0
        assert {s.outcome for s in scene.runs_of(job_id)} == {model.STOPPED}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_order_without_an_answer_is_carried_out_once(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        scene.machines.lose_answers = 2
        await _request_wave(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: _published(scene) is True, within_s=60)
        assert len(scene.machines.maintained) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_another_owner_continues_a_wave(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        machines = ["m-e0", "m-e1", "m-e2"]
        await _request_wave(scene, machines)
        await scene.until(lambda: len(scene.machines.maintained) == 1)
        await scene.owner.kill()
        await scene.until(lambda: _published(scene) is True, within_s=60)
        maintained = [m for _at_s, m in scene.machines.maintained]
        assert sorted(maintained) == machines
        assert scene.machines.max_in_maintenance == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_another_owner_does_not_repeat_finished_maintenance(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        await _request_wave(scene, ["m-e0", "m-e1", "m-e2"])
        await scene.until(lambda: len(scene.machines.maintained) == 2)
        first = scene.machines.maintenance_orders[0]
        await scene.owner.kill()
        await scene.until(lambda: _published(scene) is True, within_s=60)
        assert scene.machines.maintenance_orders.count(first) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_that_has_left_does_not_block_a_wave(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        await _request_wave(scene, ["m-e0", "m-nowhere"])
        await scene.until(lambda: _published(scene) is True, within_s=60)
        assert [m for _at_s, m in scene.machines.maintained] == ["m-e0"]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_whose_executor_is_missing_keeps_the_wave_open(monkeypatch):
    """The machine is still listed, so it must still be maintained."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await scene.store.external_remove(scene_module.EXECUTORS + "e1")
        scene.pool.executors["e1"].silent = True
        await _request_wave(scene, ["m-e0", "m-e1"], within_s=8.0)
        await scene.until(lambda: len(scene.machines.maintained) >= 1)
        await asyncio.sleep(5.0)
        assert _published(scene) is False

    scene_module.run_on_virtual_time(main, monkeypatch)


def _running(scene, job_id: str) -> int:
    return sum(
        task_id.startswith(job_id)
        for executor in scene.pool.executors.values()
        for task_id, _run in executor.runs
    )


@pytest.mark.parametrize("allowed", [1, 2])
def test_enough_tasks_of_a_serving_step_keep_running(monkeypatch, allowed):
    async def main(scene):
        await scene.open(vms=1, executors=4)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(
                tasks=3,
                max_per_executor=1,
                is_lasting=True,
                allowed_misses=allowed,
            ),
            behaviour={"lasts": True},
        )
        await scene.until(lambda: _running(scene, job_id) == 3)
        await asyncio.sleep(2.0)
        await _request_wave(
            scene, [f"m-e{n}" for n in range(4)], most_at_once=4
        )
        fewest = 3
        async with asyncio.timeout(90):
            while not _published(scene):
                await asyncio.sleep(0.01)
                fewest = min(fewest, _running(scene, job_id))
        assert fewest >= 3 - allowed

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_task_without_allowed_misses_keeps_its_machine_up(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=1, is_lasting=True, allowed_misses=0),
            behaviour={"lasts": True},
        )
        await scene.until(lambda: _running(scene, job_id) == 1)
        await _request_wave(scene, ["m-e0", "m-e1"], within_s=10.0)
        await asyncio.sleep(20.0)
        assert _running(scene, job_id) == 1
        assert scene.runs_of(job_id) == []

    scene_module.run_on_virtual_time(main, monkeypatch)
