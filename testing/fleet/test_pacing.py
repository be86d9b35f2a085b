"""Backfill work that shares executors with work that serves users."""

from __future__ import annotations

import asyncio

from knapweedwharf.core import workflow
from knapweedwharf.fleet import pacing
from standins import fleet_runs
from testing.fleet import scene as scene_module

step = scene_module.step

SERVING = {"lasts": True, "serves": True}
TARGET_MS = 100


def _serving_step(tasks: int = 1):
    return step(
        tasks=tasks,
        accelerators=0,
        is_lasting=True,
        tail_target_ms=TARGET_MS,
        max_per_executor=1,
    )


def _backfill_step(**fields):
    return step(accelerators=0, fills_spare=True, **fields)


async def _start_serving(scene, *, tasks: int = 1, **pool) -> str:
    """Open a scene with a running serving job; return the job's id."""
    await scene.open(**pool)
    serving, _outcome = await scene.submit(
        scene.vms[0], _serving_step(tasks), behaviour=SERVING
    )
    await scene.until_state(serving, workflow.ACTIVE)
    return serving


async def _submit_backfill(
    scene, *, run_s: float = 60.0, disturbs: int
) -> str:
    """Submit work that slows its neighbours down by ``disturbs`` ms."""
    backfill, _outcome = await scene.submit(
        scene.vms[0],
        _backfill_step(expected_run_s=run_s),
        behaviour={"run_s": run_s, "disturbs": disturbs},
    )
    return backfill


def test_speed_falls_at_once_and_rises_in_steps():
    assert pacing.next_percent(80, 1.1) == 0
    assert pacing.next_percent(80, 0.9) == 40
    assert pacing.next_percent(8, 0.9) == 0
    assert pacing.next_percent(80, 0.7) == 80
    assert pacing.next_percent(80, 0.2) == 90
    assert pacing.next_percent(95, 0.2) == 100


def test_backfill_work_avoids_serving_work_while_it_can(monkeypatch):
    async def main(scene):
        serving = await _start_serving(scene, vms=1, executors=2)
        backfill = await _submit_backfill(scene, run_s=1.0, disturbs=500)
        await scene.until_state(backfill, workflow.COMPLETED)
        served_by = {e for _at_s, e, k in scene.pool.starts if serving in k[0]}
        assert scene.runs_of(backfill)[0].executor_id not in served_by

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_backfill_work_runs_although_all_executors_serve(monkeypatch):
    async def main(scene):
        await _start_serving(scene, vms=1, executors=2, tasks=2)
        await asyncio.sleep(0.5)
        backfill = await _submit_backfill(scene, run_s=2.0, disturbs=20)
        await scene.until_state(backfill, workflow.COMPLETED)

    scene_module.run_on_virtual_time(main, monkeypatch)


def _tails(scene) -> list[int]:
    return [
        fleet_runs.load_ms(state, executor.runs.values())
        for executor in scene.pool.executors.values()
        for state in executor.runs.values()
        if "serves" in state.behaviour
    ]


def test_latency_exceeds_its_target_for_two_reports_at_most(monkeypatch):
    """At full speed it raises its neighbours' tail latency fivefold."""

    async def main(scene):
        await _start_serving(scene, vms=1, executors=1)
        await _submit_backfill(scene, disturbs=200)
        over_s = longest_s = 0.0
        for _hundredth in range(3000):
            await asyncio.sleep(0.01)
            over = any(tail > TARGET_MS for tail in _tails(scene))
            over_s = over_s + 0.01 if over else 0.0
            longest_s = max(longest_s, over_s)
        assert longest_s < 2.5

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_backfill_work_speeds_up_once_serving_work_has_gone(monkeypatch):
    async def main(scene):
        serving = await _start_serving(scene, vms=1, executors=1)
        backfill = await _submit_backfill(scene, run_s=30.0, disturbs=400)
        await scene.until_state(backfill, workflow.ACTIVE)
        await asyncio.sleep(4.0)
        await scene.vms[0].node.job_api.cancel(scene.call(serving))
        await asyncio.sleep(4.0)
        (executor,) = scene.pool.executors.values()
        assert [s.percent for s in executor.runs.values()] == [100]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_new_owner_sets_speeds_again(monkeypatch):
    async def main(scene):
        await _start_serving(scene, vms=2, executors=1)
        backfill = await _submit_backfill(scene, disturbs=400)
        await scene.until_state(backfill, workflow.ACTIVE)
        await asyncio.sleep(3.0)
        (executor,) = scene.pool.executors.values()
        await scene.owner.kill()
        for state in executor.runs.values():
            state.percent = 100
        await asyncio.sleep(5.0)
        assert all(tail <= TARGET_MS for tail in _tails(scene))

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_long_running_work_preempts_other_work(monkeypatch):
    """Tasks that serve users start even if the service is full."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        full, _outcome = await scene.submit(
            scene.vms[0],
            step(accelerators=8, expected_run_s=60.0),
            behaviour={"run_s": 60.0},
        )
        await scene.until_state(full, workflow.ACTIVE)
        lasting, _outcome = await scene.submit(
            scene.vms[0],
            step(accelerators=4, is_lasting=True),
            behaviour={"lasts": True},
        )
        await scene.until_state(lasting, workflow.ACTIVE, within_s=5.0)

    scene_module.run_on_virtual_time(main, monkeypatch)
