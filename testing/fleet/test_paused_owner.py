"""A VM that was paused past its lease acts on no permission of before."""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.core import workflow
from testing.fleet import scene as scene_module


@pytest.mark.parametrize("paused_s", [1.4, 2.0, 5.0, 20.0])
def test_starts_after_a_pause_carry_an_epoch_in_force(monkeypatch, paused_s):
    """All VMs are paused at once, with an accepted job at hand."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        loop = asyncio.get_running_loop()
        orders = []
        for executor in scene.pool.executors.values():
            start = executor.start

            def noted(order, start=start):
                owner = scene.owner
                held = owner.node.election.ownership if owner else None
                orders.append((order.epoch, held.epoch if held else 0))
                return start(order)

            executor.start = noted
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(tasks=4)
        )
        loop.block(paused_s)
        await scene.until_state(job_id, workflow.COMPLETED)
        assert orders
        assert all(epoch == held for epoch, held in orders)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("paused_s", [2.0, 5.0])
def test_no_lease_of_an_executor_is_extended_after_a_pause(
    monkeypatch, paused_s
):
    """Renewals of the paused owner are refused once another has sealed."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0], scene_module.step(tasks=4), behaviour={"run_s": 9.0}
        )
        await scene.until(lambda: len(scene.pool.starts) == 4)
        paused = scene.owner
        epoch = paused.node.election.ownership.epoch
        asyncio.get_running_loop().block(paused_s)
        sent = []
        renew = scene.pool.renew

        async def noted(executor, **fields):
            if fields["lease_until_ms"]:
                sent.append(fields["epoch"])
            return await renew(executor, **fields)

        scene.pool.renew = noted
        await scene.until(lambda: scene.owner is not None and sent)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        held = scene.owner.node.election.ownership.epoch
        if held > epoch:
            assert epoch not in sent

    scene_module.run_on_virtual_time(main, monkeypatch)
