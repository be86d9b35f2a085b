"""Jobs from their submission to their end."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

step = scene_module.step


def test_tasks_with_fractional_cores_share_a_core(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=100, cores_milli=300, memory_mib=1, accelerators=0),
            behaviour={"run_s": 5.0, "slots": 200},
        )
        await scene.until(lambda: len(scene.pool.starts) == 100, within_s=3.0)
        await scene.until_state(job_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_job_runs_once_and_is_shown_as_completed(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=2)
        job_id, outcome = await scene.submit(scene.vms[0], step(tasks=3))
        assert outcome.unwrap() == job_id
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.runs_of(job_id)) == 3

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_step_starts_once_the_steps_before_it_are_done(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        steps = (step(tasks=2), step(tasks=2, after=(0,)))
        job_id, _outcome = await scene.submit(scene.vms[0], *steps)
        await scene.until_state(job_id, workflow.COMPLETED)
        runs = scene.runs_of(job_id)
        first = [s.ended_s for s in runs if ".0.0." in s.task_id]
        second = [s.begun_s for s in runs if ".0.1." in s.task_id]
        assert max(first) <= min(second)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_submitting_the_same_id_twice_creates_one_job(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        call = scene.call("00000000000000aa")
        for vm in scene.vms:
            outcome = await vm.node.job_api.submit(
                call, specification="{}", steps=(step(),)
            )
            assert outcome.unwrap() == "00000000000000aa"
        await scene.until_state("00000000000000aa", workflow.COMPLETED)
        assert len(scene.runs_of("00000000000000aa")) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_unknown_job_is_answered_with_410(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        shown = await scene.vms[0].node.job_api.state(scene.call("0" * 16))
        assert shown.failure().http_status == 410

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_cancelled_job_stops_and_starts_nothing_more(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(tasks=12), behaviour={"run_s": 20}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        cancelled = await scene.vms[1].node.job_api.cancel(scene.call(job_id))
        assert cancelled.unwrap() == job_id
        assert await scene.state(job_id) == workflow.CANCELLED
        starts = len(scene.pool.starts)
        await asyncio.sleep(10)
        assert len(scene.pool.starts) == starts
        assert {s.outcome for s in scene.runs_of(job_id)} == {model.STOPPED}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_job_fails_after_its_last_attempt(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=3, attempts=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(), behaviour={"ends": "failed"}
        )
        await scene.until_state(job_id, workflow.FAILED)
        assert len(scene.runs_of(job_id)) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_waiting_jobs_are_counted(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        for _number in range(3):
            await scene.submit(
                scene.vms[0],
                step(tasks=8, is_gang=True),
                behaviour={"gang": 8, "run_s": 30},
            )
        await asyncio.sleep(2)
        call = scene.call("")
        counted = await scene.vms[1].node.job_api.pending(call)
        assert counted.unwrap() == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_write_of_the_count_of_waiting_jobs_replaces_no_newer_one(
    monkeypatch,
):
    """The write gets no answer and is carried out after the next one."""

    async def main(scene):
        await scene.open(vms=2, executors=1)

        async def submit_gang() -> None:
            await scene.submit(
                scene.bystander(),
                step(tasks=8, is_gang=True),
                behaviour={"gang": 8, "run_s": 90},
            )

        await submit_gang()
        await asyncio.sleep(2.0)
        path = scene.owner.store.path
        path.lose_answers, path.late_s = 1, 5.0
        await submit_gang()
        await scene.until(lambda: not path.lose_answers)
        for _number in range(9):
            await submit_gang()
        await asyncio.sleep(9.0)
        for vm in scene.vms:
            counted = await vm.node.job_api.pending(scene.call(""))
            assert counted.unwrap() == 10

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_removed_key_is_refused_at_once(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        await scene.store.external_write(
            scene_module.CONFIG_KEY, scene_module.desired(keys=["other"])
        )
        _job_id, outcome = await scene.submit(scene.vms[0], step())
        assert isinstance(outcome.failure(), errors.Unauthenticated)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_keys_are_refused_while_the_desired_state_is_unconfirmed(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        vm = scene.vms[0]
        vm.store.path.silent = True
        await asyncio.sleep(scene_module.BOUNDS.revocation_s)
        permitted = vm.node.job_api.allow(scene.call("0" * 16))
        assert isinstance(permitted.failure(), errors.DidNotRun)
        assert permitted.failure().retry_after_s > 0

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("revocation_s", [1.5, 2.0, 5.0])
def test_keys_are_accepted_all_the_time_while_the_store_answers(
    monkeypatch, revocation_s
):
    bounds = dataclasses.replace(
        scene_module.BOUNDS, revocation_s=revocation_s
    )
    monkeypatch.setattr(scene_module, "BOUNDS", bounds)

    async def main(scene):
        await scene.open(vms=2, executors=1)
        for _check in range(200):
            await asyncio.sleep(0.05)
            assert all(vm.node.desired.is_fresh for vm in scene.vms)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_long_running_task_is_restarted_however_it_ends(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(is_lasting=True), behaviour={"run_s": 2}
        )
        await scene.until(lambda: len(scene.pool.starts) >= 3)
        assert await scene.state(job_id) == workflow.ACTIVE
        await scene.vms[0].node.job_api.cancel(scene.call(job_id))
        await asyncio.sleep(1)
        started = len(scene.pool.starts)
        await asyncio.sleep(5)
        assert len(scene.pool.starts) == started
        # Its runs succeed and start again, which the final check forbids.
        scene.pool.ended_runs.clear()

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_backfill_work_avoids_executors_of_serving_work(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        serves = step(tail_target_ms=50)
        await scene.submit(scene.vms[0], serves, behaviour={"run_s": 30})
        await scene.until(lambda: len(scene.pool.starts) == 1)
        fills = step(tasks=3, accelerators=0, fills_spare=True)
        await scene.submit(scene.vms[0], fills, behaviour={"run_s": 30})
        await scene.until(lambda: len(scene.pool.starts) == 4)
        serving, *filling = [start[1] for start in scene.pool.starts]
        assert serving not in filling

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_each_repetition_of_a_job_starts_when_it_is_due(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        due_s = asyncio.get_running_loop().time() + 2
        job_id = "00000000000000bb"
        await scene.vms[0].node.job_api.submit(
            scene.call(job_id),
            specification="{}",
            steps=(step(),),
            repetitions=3,
            first_run_s=scene_module.UNIX_AT_START_S + due_s,
            interval_s=2.0,
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        for number, (began_s, _executor, _key) in enumerate(scene.pool.starts):
            early_s = due_s + 2 * number - began_s
            assert -0.5 <= early_s <= 0.0

    scene_module.run_on_virtual_time(main, monkeypatch)
