"""Steps that may run only on executors that the advisor approves."""

from __future__ import annotations

import asyncio

from knapweedwharf.core import workflow
from testing.fleet import scene as scene_module

step = scene_module.step
ADVISED = scene_module.ADVISED_PREFIX


def test_only_approved_executors_run_a_step(monkeypatch):
    async def main(scene):
        scene.pool.advisor.approved = {"e2"}
        await scene.open(vms=2, executors=4)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=6),
            behaviour={"advised": True},
            prefix=ADVISED,
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        assert {s.executor_id for s in scene.runs_of(job_id)} == {"e2"}
        assert scene.pool.refused == []

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_one_call_serves_all_tasks_of_a_step(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=4)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=8),
            behaviour={"advised": True},
            prefix=ADVISED,
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        assert len(scene.pool.advisor.calls) == 1

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_expired_ticket_is_renewed_before_the_start(monkeypatch):
    """The pool stays full for longer than a ticket is valid."""

    async def main(scene):
        scene.pool.advisor.validity_s = 1.0
        await scene.open(vms=1, executors=1)
        first, _outcome = await scene.submit(
            scene.vms[0],
            step(accelerators=8, expected_run_s=5.0),
            behaviour={"run_s": 5.0},
        )
        await scene.until_state(first, workflow.ACTIVE)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            step(tasks=2, is_gang=True, accelerators=4),
            behaviour={"advised": True, "gang": 2},
            prefix=ADVISED,
        )
        await scene.until_state(job_id, workflow.COMPLETED)
        assert scene.pool.refused == []
        assert len(scene.pool.advisor.calls) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_the_advisor_is_asked_about_a_later_executor(monkeypatch):
    async def main(scene):
        scene.pool.advisor.approved = {"late"}
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(), behaviour={"advised": True}, prefix=ADVISED
        )
        await asyncio.sleep(2.0)
        assert await scene.state(job_id) == workflow.QUEUED
        await scene.add_executor("late", rack="r9")
        await scene.until_state(job_id, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_unreachable_advisor_delays_only_its_own_steps(monkeypatch):
    async def main(scene):
        scene.pool.advisor.refuses = True
        await scene.open(vms=1, executors=1)
        advised, _outcome = await scene.submit(
            scene.vms[0], step(), behaviour={"advised": True}, prefix=ADVISED
        )
        other, _outcome = await scene.submit(scene.vms[0], step())
        await scene.until_state(other, workflow.COMPLETED)
        assert await scene.state(advised) == workflow.QUEUED
        scene.pool.advisor.refuses = False
        await scene.until_state(advised, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_asks_the_advisor_again(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        scene.pool.advisor.approved = set()
        job_id, _outcome = await scene.submit(
            scene.vms[0], step(), behaviour={"advised": True}, prefix=ADVISED
        )
        await asyncio.sleep(1.0)
        killed, other = scene.owner, scene.bystander()
        await killed.kill()
        scene.pool.advisor.approved = None
        await scene.until_state(job_id, workflow.COMPLETED, vm=other)

    scene_module.run_on_virtual_time(main, monkeypatch)
