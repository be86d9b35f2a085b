"""Maintenance waves keep their time and their limit and lose no work."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module
from testing.fleet import waves

step = scene_module.step


def test_a_wave_is_carried_out_few_at_a_time(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=4)
        machines = [f"m-e{n}" for n in range(4)]
        await waves.request(scene, machines, most_at_once=2)
        await scene.until(lambda: waves.published(scene) is False)
        await scene.until(lambda: waves.published(scene) is True, within_s=40)
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
        await waves.request(scene, ["m-e0"])
        await scene.until(
            lambda: waves.published(scene) is True, within_s=11.0
        )
        await asyncio.sleep(15.0)
        assert waves.published(scene) is True

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
        await waves.request(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
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
        await waves.request(scene, ["m-e0", "m-e1"], within_s=20.0)
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert asyncio.get_running_loop().time() - began_s < 20.0
        assert {s.outcome for s in scene.runs_of(job_id)} == {model.STOPPED}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_order_without_an_answer_is_carried_out_once(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        scene.machines.lose_answers = 2
        await waves.request(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert len(scene.machines.maintained) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_another_owner_continues_a_wave(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        machines = ["m-e0", "m-e1", "m-e2"]
        await waves.request(scene, machines)
        await scene.until(lambda: len(scene.machines.maintained) == 1)
        await scene.owner.kill()
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        maintained = [m for _at_s, m in scene.machines.maintained]
        assert sorted(maintained) == machines
        assert scene.machines.max_in_maintenance == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_another_owner_does_not_repeat_finished_maintenance(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=3)
        await waves.request(scene, ["m-e0", "m-e1", "m-e2"])
        await scene.until(lambda: len(scene.machines.maintained) == 2)
        first = scene.machines.maintenance_orders[0]
        await scene.owner.kill()
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert scene.machines.maintenance_orders.count(first) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_that_has_left_does_not_block_a_wave(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        await waves.request(scene, ["m-e0", "m-nowhere"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert [m for _at_s, m in scene.machines.maintained] == ["m-e0"]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_that_a_list_leaves_out_is_still_maintained(monkeypatch):
    """Its row can't be read, and its executor isn't listed for a while."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await scene.store.external_remove(scene_module.EXECUTORS + "e1")
        machines = scene.machines
        listed = machines.list

        async def list_without():
            rows = (await listed()).unwrap()
            return result.Success(
                tuple(m for m in rows if m.machine_id != "m-e1")
            )

        machines.list = list_without
        await waves.request(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert machines.done == {("m-e0", 3), ("m-e1", 3)}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_whose_executor_is_missing_keeps_the_wave_open(monkeypatch):
    """The machine is still listed, so it must still be maintained."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await scene.store.external_remove(scene_module.EXECUTORS + "e1")
        scene.pool.executors["e1"].silent = True
        await waves.request(scene, ["m-e0", "m-e1"], within_s=8.0)
        await scene.until(lambda: len(scene.machines.maintained) >= 1)
        await asyncio.sleep(5.0)
        assert waves.published(scene) is False

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
        await waves.request(
            scene, [f"m-e{n}" for n in range(4)], most_at_once=4
        )
        fewest = 3
        async with asyncio.timeout(90):
            while not waves.published(scene):
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
        await waves.request(scene, ["m-e0", "m-e1"], within_s=10.0)
        await asyncio.sleep(20.0)
        assert _running(scene, job_id) == 1
        assert scene.runs_of(job_id) == []

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("back_s", [1.5, 3.0, 4.5])
def test_a_crash_before_its_turn_counts_as_no_maintenance(monkeypatch, back_s):
    """A machine that was back from a crash counted as maintained."""

    async def main(scene):
        await scene.open(vms=1, executors=4)
        await waves.request(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: scene.machines.maintained)
        ((_at_s, first),) = scene.machines.maintained
        (other,) = {"e0", "e1"} - {first.removeprefix("m-")}
        await scene.crash_executor(other, back_s=back_s, renamed=True)
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert scene.machines.done == {("m-e0", 3), ("m-e1", 3)}
        assert scene.machines.max_in_maintenance == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_on_a_machine_back_from_a_crash_ends_before_its_order(
    monkeypatch,
):
    """The repeated order must not end what has started meanwhile."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        scene.machines.drop_orders, scene.machines.silence_s = 1, 8.0
        await waves.request(scene, ["m-e0"], within_s=60.0)
        await scene.until(lambda: scene.machines.maintenance_orders)
        await scene.crash_executor("e0", back_s=1.0, renamed=True)
        await asyncio.sleep(3.0)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=16, expected_run_s=6.0),
            behaviour={"run_s": 6.0},
        )
        await scene.until(lambda: _running(scene, job_id) == 16)
        await scene.until(lambda: waves.published(scene) is True, within_s=90)
        assert scene.machines.done == {("m-e0", 3)}
        await scene.until_state(job_id, workflow.COMPLETED)
        assert {r.outcome for r in scene.runs_of(job_id)} == {model.DONE}

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("back_s", [0.5, 4.0])
def test_a_crash_behind_an_unanswered_order_is_no_maintenance(
    monkeypatch, back_s
):
    """Only an accepted order shows that the maintenance has begun."""

    async def main(scene):
        await scene.open(vms=1, executors=3)
        scene.machines.drop_orders, scene.machines.silence_s = 2, 2.5
        await waves.request(scene, ["m-e0"])
        await scene.until(lambda: scene.machines.maintenance_orders)
        await scene.crash_executor("e0", back_s=back_s, renamed=True)
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert scene.machines.done == {("m-e0", 3)}

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("executed", [False, True])
def test_a_new_owner_repeats_an_order_that_may_not_have_been_sent(
    monkeypatch, executed
):
    """A crash around the take-over counted as the end of the maintenance."""

    async def main(scene):
        await scene.open(vms=2, executors=3)
        machines = scene.machines
        machines.drop_orders = 0 if executed else 9
        machines.lose_answers = 9 if executed else 0
        await waves.request(scene, ["m-e0", "m-e1"])
        await scene.until(lambda: machines.maintenance_orders)
        await scene.owner.kill()
        first = machines.maintenance_orders[0]
        machines.drop_orders = machines.lose_answers = 0
        if not executed:
            await scene.crash_executor(
                first.removeprefix("m-"), back_s=1.0, renamed=True
            )
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert machines.done == {("m-e0", 3), ("m-e1", 3)}
        assert len(machines.maintained) == 2
        assert machines.max_in_maintenance == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_whose_order_took_effect_unseen_gets_work_again(monkeypatch):
    """It is asked again once back, and has no other return to wait for."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        scene.machines.lose_answers = 9
        await waves.request(scene, ["m-e0"])
        await scene.until(lambda: scene.machines.maintained)
        await scene.owner.kill()
        scene.machines.lose_answers = 0
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert len(scene.machines.maintained) == 1
        job_id, _outcome = await scene.submit(scene.owner, step(tasks=16))
        await scene.until(lambda: _running(scene, job_id) == 16)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_machine_that_is_not_of_its_wave_gets_work_again(monkeypatch):
    """It was drained for an order that is refused for good."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        del scene.machines.machines["m-e0"]
        await waves.request(scene, ["m-e0"])
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        job_id, _outcome = await scene.submit(scene.vms[0], step(tasks=16))
        await scene.until(lambda: _running(scene, job_id) == 16)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_waves_that_share_a_machine_maintain_it_once_each(monkeypatch):
    """The return from one wave's maintenance counted for the other too."""

    async def main(scene):
        await scene.open(vms=1, executors=4)
        await waves.request(scene, ["m-e0", "m-e1"], number=3)
        await waves.request(scene, ["m-e0", "m-e2"], number=4)
        await scene.until(
            lambda: waves.published(scene, 3) and waves.published(scene, 4),
            within_s=60,
        )
        assert scene.machines.done == {
            ("m-e0", 3),
            ("m-e1", 3),
            ("m-e0", 4),
            ("m-e2", 4),
        }

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("idle_s", [0.0, 6.0, 7.5, 8.0, 8.5, 9.0, 10.0])
def test_a_machine_that_changes_its_pool_has_its_maintenance_too(
    monkeypatch, idle_s
):
    """Its new executor, or none, is no sign of its maintenance."""

    async def main(scene):
        scene.add_standby_machine("s0", pool="off")
        await scene.open(vms=1, executors=4, standby=["off"], guaranteed=8)
        await asyncio.sleep(idle_s)
        machines = [*(f"m-e{n}" for n in range(4)), "s0"]
        await waves.request(scene, machines, most_at_once=2, within_s=20.0)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=5, accelerators=8, expected_run_s=6.0),
            behaviour={"run_s": 6.0},
        )
        await scene.until(lambda: waves.published(scene) is True, within_s=90)
        assert scene.machines.done == {(m, 3) for m in machines}
        assert scene.machines.max_in_maintenance <= 2
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_crashed_machine_holds_up_no_other_of_its_wave(monkeypatch):
    """It loses no work, so it was taken first and waited for."""

    async def main(scene):
        await scene.open(vms=1, executors=4)
        await asyncio.sleep(3.0)
        machines = [f"m-e{n}" for n in range(4)]
        await scene.crash_executor("e0", back_s=20.0, renamed=True)
        await asyncio.sleep(1.5)
        await waves.request(scene, machines, within_s=40.0)
        await scene.until(lambda: len(scene.machines.done) == 3, within_s=15.0)
        await scene.until(lambda: waves.published(scene) is True, within_s=60)
        assert scene.machines.done == {(m, 3) for m in machines}

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b"7", b'{"begun":7}'])
def test_a_wave_whose_record_is_malformed_is_carried_out(monkeypatch, value):
    """It held up all waves."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        await scene.store.external_write("waves/3", value)
        await waves.request(scene, ["m-e0"], number=3)
        await waves.request(scene, ["m-e1"], number=4)
        await scene.until(
            lambda: waves.published(scene, 3) and waves.published(scene, 4),
            within_s=60,
        )
        assert scene.machines.done == {("m-e0", 3), ("m-e1", 4)}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_orders_without_an_answer_finish_no_machine_that_is_up(monkeypatch):
    """A machine that is up counts as back only after an accepted order."""

    async def main(scene):
        await scene.open(vms=1, executors=2)
        scene.machines.drop_orders = 10
        await waves.request(scene, ["m-e0"])
        await scene.until(lambda: scene.machines.drop_orders == 0)
        assert waves.published(scene) is False
        await scene.until(lambda: waves.published(scene) is True, within_s=30)
        assert scene.machines.done == {("m-e0", 3)}

    scene_module.run_on_virtual_time(main, monkeypatch)
