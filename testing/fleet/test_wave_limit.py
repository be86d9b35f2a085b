"""How many machines of maintenance waves are down at once."""

from __future__ import annotations

import pytest

from testing.fleet import scene as scene_module
from testing.fleet import waves


@pytest.mark.parametrize("kept", [True, False])
def test_waves_that_share_machines_keep_each_others_limit(monkeypatch, kept):
    """A machine was ordered for two waves, and a third was down beside it."""

    async def main(scene):
        await scene.open(vms=2, executors=4)
        await waves.request(scene, ["m-e0", "m-e1"], number=3)
        await waves.request(scene, ["m-e0", "m-e1", "m-e2"], number=4)
        machines = scene.machines
        if not kept:
            await scene.until(lambda: machines.maintained)
            await scene.owner.kill()
        await scene.until(
            lambda: waves.published(scene, 3) and waves.published(scene, 4),
            within_s=120,
        )
        assert len(machines.done) == 5
        assert machines.max_in_maintenance == 1
        refused = len(machines.maintenance_orders) - len(machines.maintained)
        assert refused <= (0 if kept else 1)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_machines_of_a_standby_pool_keep_the_limit_of_their_wave(monkeypatch):
    """Machines without an executor were all ordered down at once."""

    async def main(scene):
        for number in range(3):
            scene.add_standby_machine(f"s{number}", pool="off")
        await scene.open(vms=1, executors=1, standby=["off"])
        await waves.request(scene, ["s0", "s1", "s2"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert len(scene.machines.done) == 3
        assert scene.machines.max_in_maintenance == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_machines_that_wait_for_room_are_not_listed(monkeypatch):
    """The list was read each second while the wave was at its limit."""

    async def main(scene):
        machines = [f"s{number}" for number in range(6)]
        for machine_id in machines:
            scene.add_standby_machine(machine_id, pool="off")
        await scene.open(vms=1, executors=1, standby=["off"])
        await waves.request(scene, machines, within_s=60.0)
        await scene.until(lambda: waves.published(scene) is True, within_s=90)
        assert len(scene.machines.done) == 6
        # One finds a machine without an executor, one sees it up again.
        assert scene.machines.listings <= 2 * len(machines)

    scene_module.run_on_virtual_time(main, monkeypatch)
