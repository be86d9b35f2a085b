"""Machines that move between a working pool and a standby pool."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import amount
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import pool_scaling
from testing.fleet import scene as scene_module

step = scene_module.step


@pytest.mark.parametrize(
    ("need", "count"),
    [
        (amount.Amount(), 0),
        (amount.Amount(1, 1, 1), 1),
        (amount.Amount(17, 1, 1), 3),
        (amount.Amount(0, 65_000, 0), 3),
        (amount.Amount(0, 0, 200_000), 4),
    ],
)
def test_machine_count_covers_the_scarcest_resource(need, count):
    machine = model.Machine("m", "off", model.MACHINE_UP, 32_000, 64_000, 8)
    assert pool_scaling.machines_for(need, machine) == count


def test_machines_without_accelerators_do_not_count_for_accelerator_work():
    machine = model.Machine("m", "off", model.MACHINE_UP, 32_000, 64_000, 0)
    assert pool_scaling.machines_for(amount.Amount(8, 1, 1), machine) == 0


def test_waiting_work_brings_machines_of_its_kind(monkeypatch):
    async def main(scene):
        for number in range(3):
            scene.add_standby_machine(f"s{number}", pool="off")
        scene.add_standby_machine("odd", pool="off", kind="b")
        await scene.open(vms=1, executors=1, standby=["off"])
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=3, accelerators=8, expected_run_s=20),
            behaviour={"run_s": 20},
        )
        await scene.until(lambda: len(scene.pool.starts) == 3, within_s=12)
        moved = {m for _at_s, m, _pool in scene.machines.moved}
        assert len(moved) in (2, 3)
        assert "odd" not in moved
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_idle_machines_beyond_the_guarantee_return_to_standby(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=4, standby=["off"], guaranteed=12)
        await asyncio.sleep(30)
        moved = [m for _at_s, m, pool in scene.machines.moved]
        assert len(moved) == 2
        assert len(scene.pool.executors) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_busy_machine_is_not_moved(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2, standby=["off"])
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=2, accelerators=8, expected_run_s=30),
            behaviour={"run_s": 30},
        )
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        assert {s.outcome for s in scene.runs_of(job_id)} == {model.DONE}
        assert all(at_s > 30 for at_s, _m, _pool in scene.machines.moved)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_move_without_an_answer_is_repeated(monkeypatch):
    async def main(scene):
        scene.add_standby_machine("s0", pool="off")
        scene.machines.lose_answers = 1
        await scene.open(vms=1, executors=1, standby=["off"])
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=2, accelerators=8, expected_run_s=9),
            behaviour={"run_s": 9},
        )
        await scene.until(lambda: len(scene.pool.starts) == 2, within_s=9)
        assert scene.machines.lose_answers == 0
        await scene.until_state(job_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_without_a_standby_pool_machines_are_never_listed(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        await asyncio.sleep(20)
        assert scene.machines.listings == 0

    scene_module.run_on_virtual_time(main, monkeypatch)
