"""Machine pools and maintenance while a data centre is evacuated."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedwharf.core import workflow
from testing.fleet import evacuation
from testing.fleet import scene as scene_module
from testing.fleet import waves

RUN_S = 20.0


def _add_standby_machines(scene, data_centre: str, count: int) -> None:
    for number in range(count):
        machine_id = f"{data_centre}-s{number}"
        scene.add_standby_machine(machine_id, pool="off")
        scene.machines.machines[machine_id] = dataclasses.replace(
            scene.machines.machines[machine_id], data_centre=data_centre
        )


def test_a_pool_takes_no_machines_whose_executors_would_get_no_work(
    monkeypatch,
):
    async def main(scene):
        _add_standby_machines(scene, "north", 3)
        _add_standby_machines(scene, "south", 3)
        await evacuation.add_executors(scene, "south", 1)
        await scene.open(vms=1, executors=0, standby=["off"])
        await evacuation.evacuate(scene, "north")
        await evacuation.submit(scene, tasks=3, run_s=RUN_S)
        await scene.until(lambda: len(scene.pool.starts) == 3, within_s=12)
        moved = [machine for _s, machine, _pool in scene.machines.moved]
        assert moved
        assert all(machine.startswith("south") for machine in moved)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_machines_of_an_evacuated_data_centre_are_not_moved_off(monkeypatch):
    """They will be needed after the lift as much as before."""

    async def main(scene):
        await evacuation.open_scene(scene, standby=["off"], guaranteed=32)
        await evacuation.evacuate(scene, "north")
        await asyncio.sleep(RUN_S)
        assert not scene.machines.moved

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_wave_goes_on_and_its_machines_come_back_without_work(monkeypatch):
    async def main(scene):
        await evacuation.open_scene(scene)
        await evacuation.evacuate(scene, "north")
        await waves.request(scene, ["m-north-0", "m-north-1"])
        await scene.until(lambda: len(scene.machines.done) == 2, within_s=30.0)
        await asyncio.sleep(5.0)
        job = await evacuation.submit(scene, tasks=4)
        await scene.until_state(job.job_id, workflow.COMPLETED)
        assert len(evacuation.starts_in(scene, "south")) == 4

    scene_module.run_on_virtual_time(main, monkeypatch)
