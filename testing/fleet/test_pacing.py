"""Work that fills what others leave, beside work that serves users."""

from __future__ import annotations

import asyncio

from knapweedwharf.core import workflow
from knapweedwharf.fleet import pacing
from testing.fleet import scene as scene_module

step = scene_module.step

SERVING = {"lasts": True, "serves": True}
TARGET_MS = 100


def _serving(tasks: int = 1):
    return step(
        tasks=tasks,
        accelerators=0,
        is_lasting=True,
        tail_target_ms=TARGET_MS,
        max_per_executor=1,
    )


def _filling(**fields):
    return step(accelerators=0, fills_spare=True, **fields)


async def _serve(scene, *, tasks: int = 1, **pool) -> str:
    """Open a scene whose users are served; returns the serving job."""
    await scene.open(**pool)
    serving, _outcome = await scene.submit(
        scene.vms[0], _serving(tasks), behaviour=SERVING
    )
    await scene.until_state(serving, workflow.ACTIVE)
    return serving


async def _fill(scene, *, run_s: float = 60.0, disturbs: int) -> str:
    """Submit work that disturbs its neighbours so many ms."""
    filling, _outcome = await scene.submit(
        scene.vms[0],
        _filling(expected_run_s=run_s),
        behaviour={"run_s": run_s, "disturbs": disturbs},
    )
    return filling


def test_speed_falls_at_once_and_rises_in_steps():
    assert pacing.next_percent(80, 1.1) == 0
    assert pacing.next_percent(80, 0.9) == 40
    assert pacing.next_percent(8, 0.9) == 0
    assert pacing.next_percent(80, 0.7) == 80
    assert pacing.next_percent(80, 0.2) == 90
    assert pacing.next_percent(95, 0.2) == 100


def test_filling_work_keeps_away_from_users_while_it_can(monkeypatch):
    async def main(scene):
        serving = await _serve(scene, vms=1, executors=2)
        filling = await _fill(scene, run_s=1.0, disturbs=500)
        await scene.until_state(filling, workflow.COMPLETED)
        served_by = {e for _at_s, e, k in scene.pool.starts if serving in k[0]}
        assert scene.runs_of(filling)[0].executor_id not in served_by

    scene_module.play(main, monkeypatch)


def test_filling_work_runs_though_users_are_served_everywhere(monkeypatch):
    async def main(scene):
        await _serve(scene, vms=1, executors=2, tasks=2)
        await asyncio.sleep(0.5)
        filling = await _fill(scene, run_s=2.0, disturbs=20)
        await scene.until_state(filling, workflow.COMPLETED)

    scene_module.play(main, monkeypatch)


def _tails(scene) -> list[int]:
    return [
        executor.load_ms(state)
        for executor in scene.pool.executors.values()
        for state in executor.runs.values()
        if "serves" in state.behaviour
    ]


def test_users_are_over_their_target_for_two_reports_at_most(monkeypatch):
    """At full speed it takes its neighbours to five times their tail."""

    async def main(scene):
        await _serve(scene, vms=1, executors=1)
        await _fill(scene, disturbs=200)
        over_s = longest_s = 0.0
        for _hundredth in range(3000):
            await asyncio.sleep(0.01)
            over = any(tail > TARGET_MS for tail in _tails(scene))
            over_s = over_s + 0.01 if over else 0.0
            longest_s = max(longest_s, over_s)
        assert longest_s < 2.5

    scene_module.play(main, monkeypatch)


def test_filling_work_is_fast_again_once_users_have_gone(monkeypatch):
    async def main(scene):
        serving = await _serve(scene, vms=1, executors=1)
        filling = await _fill(scene, run_s=30.0, disturbs=400)
        await scene.until_state(filling, workflow.ACTIVE)
        await asyncio.sleep(4.0)
        await scene.vms[0].node.door.cancel(scene.call(serving))
        await asyncio.sleep(4.0)
        (executor,) = scene.pool.executors.values()
        assert [s.percent for s in executor.runs.values()] == [100]

    scene_module.play(main, monkeypatch)


def test_a_new_owner_sets_speeds_anew(monkeypatch):
    async def main(scene):
        await _serve(scene, vms=2, executors=1)
        filling = await _fill(scene, disturbs=400)
        await scene.until_state(filling, workflow.ACTIVE)
        await asyncio.sleep(3.0)
        (executor,) = scene.pool.executors.values()
        await scene.owner.kill()
        for state in executor.runs.values():
            state.percent = 100
        await asyncio.sleep(5.0)
        assert all(tail <= TARGET_MS for tail in _tails(scene))

    scene_module.play(main, monkeypatch)


def test_work_that_lasts_takes_room_from_other_work(monkeypatch):
    """However full the service is, its users get their tasks."""

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

    scene_module.play(main, monkeypatch)
