"""Cancelled jobs start nothing more, whatever hides the cancellation."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import pytest
import structlog

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import session as session_module
from testing.fleet import scene as scene_module

step = scene_module.step
PREFIX = scene_module.PREFIX
ADVISED = scene_module.ADVISED_PREFIX

CANCEL_S = 3.0
"""Time after a cancellation within which starts must cease."""


async def _cancel(scene, job_id: str, *, prefix: str = PREFIX) -> float:
    """Cancel a job at a VM that is not the owner; return when."""
    vm = scene.bystander()
    call = scene.call(job_id, prefix=prefix)
    cancelled = await vm.node.job_api.cancel(call)
    assert cancelled.unwrap() == job_id
    return asyncio.get_running_loop().time()


def test_the_owner_logs_how_late_it_learned_of_a_cancellation(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id, _outcome = await scene.submit(
            scene.owner, step(), behaviour={"run_s": 20.0}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        with structlog.testing.capture_logs() as lines:
            await _cancel(scene, job_id)
            await asyncio.sleep(0.1)
        (line,) = [x for x in lines if x["event"] == "job-cancelled"]
        assert 0.0 < line["age_s"] < 0.1

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("value", [b"{}", b"{"])
def test_a_cancellation_without_a_time_stops_the_job(monkeypatch, value):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        job_id, _outcome = await scene.submit(
            scene.owner, step(), behaviour={"run_s": 20.0}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        key = records.key(job_id, records.CANCEL)
        await scene.store.external_write(key, value)
        await scene.until(lambda: scene.runs_of(job_id), within_s=2.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def _late_starts(scene, job_id: str, cancelled_s: float) -> list[str]:
    return [
        run.task_id
        for run in scene.runs_of(job_id)
        if run.begun_s > cancelled_s + CANCEL_S
    ]


def test_work_cancelled_while_connections_are_silent_is_not_started(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id, _outcome = await scene.submit(
            scene.owner, step(tasks=80), behaviour={"run_s": 1.0}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        scene.owner.store.path.mute_open_connections()
        cancelled_s = await _cancel(scene, job_id)
        await asyncio.sleep(10.0)
        assert not _late_starts(scene, job_id, cancelled_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("cancelled_after_s", [0.0, 0.5, 2.0, 4.0, 6.0])
@pytest.mark.parametrize("is_muted", [False, True])
def test_work_cancelled_around_an_election_behind_silent_connections_ends(
    monkeypatch, cancelled_after_s, is_muted
):
    """The next owner's watch of the records may hear nothing, too."""

    async def main(scene):
        await scene.open(vms=3, executors=1)
        job_id, _outcome = await scene.submit(
            scene.owner, step(tasks=120), behaviour={"run_s": 1.0}
        )
        await scene.until_state(job_id, workflow.ACTIVE)
        for vm in scene.vms:
            vm.store.path.mute_open_connections()
            vm.store.path.mute_prefix = records.JOBS if is_muted else ""
        owner = scene.owner
        scene.vms.remove(owner)
        await owner.kill()
        await asyncio.sleep(cancelled_after_s)
        cancelled_s = await _cancel(scene, job_id)
        await asyncio.sleep(5.0)
        for vm in scene.vms:
            vm.store.path.mute_prefix = ""
        await asyncio.sleep(10.0)
        assert not _late_starts(scene, job_id, cancelled_s)
        assert not scene.pool.executors["e0"].runs

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_no_work_is_started_while_cancellations_cannot_be_read(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        owner = scene.owner
        cancelled_id, _outcome = await scene.submit(
            owner, step(tasks=80), behaviour={"run_s": 1.0}
        )
        await scene.until_state(cancelled_id, workflow.ACTIVE)
        owner.store.path.mute_watches = True
        cancelled_s = await _cancel(scene, cancelled_id)
        kept_id, _outcome = await scene.submit(scene.bystander(), step())
        await asyncio.sleep(10.0)
        assert not _late_starts(scene, cancelled_id, cancelled_s)
        owner.store.path.mute_watches = False
        await scene.until_state(kept_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _drain(scene, executor_id: str) -> None:
    executor = scene.pool.executors[executor_id]
    await scene.list_executor(
        dataclasses.replace(executor.spec, state=model.DRAINING)
    )


@pytest.mark.parametrize("what", ["cancelled", "draining"])
def test_a_start_without_an_answer_is_not_repeated_once_unwanted(
    monkeypatch, what
):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        executor = scene.pool.executors["e0"]
        executor.lose_starts, executor.late_s = 1, 60.0
        job_id, _outcome = await scene.submit(
            scene.owner, step(), behaviour={"run_s": 20.0}
        )
        await scene.until(lambda: not executor.lose_starts)
        if what == "cancelled":
            await _cancel(scene, job_id)
        else:
            await _drain(scene, "e0")
        await asyncio.sleep(5.0)
        assert not scene.pool.starts

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_start_that_waited_for_advice_follows_no_stale_records(monkeypatch):
    async def main(scene):
        advisor = scene.pool.advisor
        advisor.validity_s = 0.5
        await scene.open(vms=2, executors=1)
        owner = scene.owner
        first_id, _outcome = await scene.submit(owner, step(accelerators=8))
        await scene.until_state(first_id, workflow.ACTIVE)
        job_id, _outcome = await scene.submit(
            owner,
            step(accelerators=8),
            behaviour={"advised": True},
            prefix=ADVISED,
        )
        await scene.until(lambda: len(advisor.calls) == 1)
        await asyncio.sleep(0.2)
        advisor.decision_s, advisor.validity_s = 4.0, 9.0
        owner.store.path.mute_watches = True
        cancelled_s = await _cancel(scene, job_id, prefix=ADVISED)
        await scene.until(lambda: len(advisor.calls) == 2)
        await asyncio.sleep(10.0)
        assert not _late_starts(scene, job_id, cancelled_s)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_run_that_nobody_tracks_is_stopped_although_a_stop_is_lost(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        executor = scene.pool.executors["e0"]
        await asyncio.sleep(1.0)
        executor.lose_stops = 1
        order = model.StartOrder(
            task_id="00000000000000aa.0.0.0",
            run=1,
            specification=json.dumps({"run_s": 60.0}),
            not_after_ms=executor.clock_ms() + 6000,
            epoch=executor.epoch,
        )
        assert executor.start(order) is None
        await scene.until(
            lambda: not executor.lose_stops,
            within_s=session_module.IDLE_WAIT_S + 0.1,
        )
        await scene.until(lambda: not executor.runs, within_s=1.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_places_nothing_where_cancelled_work_still_stops(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=3, executors=1)
        scene.pool.stop_s = 5.0
        killed = scene.owner
        cancelled_id, _outcome = await scene.submit(
            killed, step(tasks=8), behaviour={"run_s": 30.0}
        )
        await scene.until(lambda: len(scene.pool.starts) == 8)
        waiting_id, _outcome = await scene.submit(killed, step(tasks=8))
        await _cancel(scene, cancelled_id)
        await asyncio.sleep(0.5)
        await killed.kill()
        await scene.until(lambda: scene.owner not in (None, killed))
        await scene.until_state(
            waiting_id, workflow.COMPLETED, vm=scene.owner, within_s=10.0
        )
        assert not scene.pool.refused
        assert len(scene.runs_of(cancelled_id)) == 8

    scene_module.run_on_virtual_time(main, monkeypatch)


def _break_once(monkeypatch, kind, part_id: str) -> list[str]:
    """Let the engine fail on the first event of a kind about a part."""
    apply = engine_module.Engine.apply
    failed: list[str] = []

    def broken_apply(self, happened, *, now_s):
        about = getattr(happened, "job_id", None)
        if about is None and isinstance(happened, kind):
            record = self.job_of_attempt(happened.attempt_id)
            about = record.job.job_id if record else ""
        if isinstance(happened, kind) and about == part_id and not failed:
            failed.append(part_id)
            raise RuntimeError("of a test")
        return apply(self, happened, now_s=now_s)

    monkeypatch.setattr(engine_module.Engine, "apply", broken_apply)
    return failed


def test_an_error_about_one_task_leaves_no_other_running(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        job_id, _outcome = await scene.submit(
            scene.owner, step(tasks=4), behaviour={"run_s": 60.0}
        )
        await scene.until(lambda: len(scene.pool.starts) == 4)
        part_id = f"{job_id}.0.0.0"
        failed = _break_once(monkeypatch, event.JobCancelled, part_id)
        await _cancel(scene, job_id)
        await asyncio.sleep(CANCEL_S)
        assert failed
        running = scene.pool.executors["e0"].runs
        assert {task_id for task_id, _run in running} <= {part_id}

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_error_about_one_end_hides_no_other(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        first_id, _outcome = await scene.submit(scene.owner, step())
        other_id, _outcome = await scene.submit(scene.owner, step(tasks=3))
        part_id = f"{first_id}.0.0.0"
        failed = _break_once(monkeypatch, event.TaskEnded, part_id)
        await scene.until(lambda: len(scene.pool.starts) == 4)
        executor = scene.pool.executors["e0"]
        executor.silent = True
        await scene.until(lambda: len(executor.ends) == 4)
        executor.silent = False
        await scene.until_state(other_id, workflow.COMPLETED, within_s=10.0)
        assert failed

    scene_module.run_on_virtual_time(main, monkeypatch)
