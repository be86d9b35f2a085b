"""Executors that don't enforce their capacity are never brought over it.

Each test also ends with ``Scene.check_capacity``.
"""

from __future__ import annotations

import asyncio

import pytest
import structlog

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from testing.fleet import scene as scene_module

step = scene_module.step

LONG = {"run_s": 30.0}
NEWS_S = 0.1
"""Time for a change to reach the owner and for a start to be sent."""


async def _open(scene, **fields) -> None:
    fields = {"vms": 2, "executors": 1, **fields}
    await scene.open(enforces_capacity=False, **fields)


def _running(scene, job_id: str = "") -> int:
    """Return how many runs go on, of one job or of all."""
    return sum(
        task_id.startswith(job_id)
        for executor in scene.pool.executors.values()
        for task_id, _run in executor.runs
    )


def _starts_since(scene, since_s: float) -> int:
    return sum(start[0] >= since_s for start in scene.pool.starts)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def test_a_full_executor_is_filled_up_to_its_capacity(monkeypatch):
    async def main(scene):
        await _open(scene)
        await scene.submit(scene.owner, step(tasks=12), behaviour=LONG)
        await asyncio.sleep(5.0)
        assert _running(scene) == 8
        assert scene.pool.capacity_record.peak("e0").accelerators == 8

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_change_of_capacity_is_logged_with_what_is_used(monkeypatch):
    async def main(scene):
        await _open(scene)
        await scene.submit(scene.owner, step(tasks=6), behaviour=LONG)
        await asyncio.sleep(1.0)
        with structlog.testing.capture_logs() as lines:
            await scene.resize("e0", accelerators=4)
            await asyncio.sleep(NEWS_S)
        (line,) = [x for x in lines if x["event"] == "executor-resized"]
        assert line["executor"] == "e0"
        assert line["before"]["accelerators"] == 8
        assert line["after"]["accelerators"] == 4
        assert line["used"]["accelerators"] == 6
        assert line["age_s"] <= 0.25
        assert line["revision"] == scene.store.revision

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("idle", [True, False])
def test_a_smaller_capacity_is_in_force_as_soon_as_it_is_listed(
    monkeypatch, idle
):
    async def main(scene):
        await _open(scene)
        if not idle:
            await scene.submit(scene.owner, step(), behaviour=LONG)
        await asyncio.sleep(3.3)
        await scene.resize("e0", accelerators=3)
        await asyncio.sleep(NEWS_S)
        await scene.submit(scene.owner, step(tasks=6), behaviour=LONG)
        await asyncio.sleep(3.0)
        assert _running(scene) == 3

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_no_start_counts_on_a_capacity_behind_a_silent_watch(monkeypatch):
    async def main(scene):
        await _open(scene)
        await asyncio.sleep(2.0)
        scene.owner.store.path.mute_prefix = scene_module.EXECUTORS
        await scene.resize(
            "e0", accelerators=2, listed_after_s=scene_module.BEAT_S
        )
        await asyncio.sleep(scene_module.CONTACT_S)
        await scene.submit(scene.owner, step(tasks=6), behaviour=LONG)
        await asyncio.sleep(3.0)
        scene.owner.store.path.mute_prefix = ""
        await asyncio.sleep(3.0)
        assert _running(scene) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_work_goes_on_once_the_watch_of_executors_is_heard_again(monkeypatch):
    async def main(scene):
        await _open(scene)
        await asyncio.sleep(2.0)
        scene.owner.store.path.mute_prefix = scene_module.EXECUTORS
        await asyncio.sleep(8.0)
        job_id, _outcome = await scene.submit(scene.owner, step())
        await asyncio.sleep(1.0)
        scene.owner.store.path.mute_prefix = ""
        await scene.until_state(job_id, workflow.COMPLETED, within_s=5.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_starts_that_wait_for_a_ticket_fit_the_capacity_when_sent(
    monkeypatch,
):
    async def main(scene):
        await _open(scene)
        advisor = scene.pool.advisor
        advisor.validity_s = 0.5
        await scene.submit(
            scene.owner, step(tasks=8), behaviour={"run_s": 4.0}
        )
        await asyncio.sleep(0.5)
        await scene.submit(
            scene.owner,
            step(tasks=6),
            behaviour={**LONG, "advised": True},
            prefix=scene_module.ADVISED_PREFIX,
        )
        await asyncio.sleep(3.0)
        advisor.decision_s = 6.0
        advisor.validity_s = 30.0
        await scene.until(lambda: not _running(scene))
        await asyncio.sleep(NEWS_S)
        await scene.resize("e0", accelerators=2)
        await asyncio.sleep(30.0)
        assert _running(scene) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _shrink_behind_a_slow_link(scene) -> None:
    scene.link_bytes_per_s = 3_000.0
    await _open(scene, vms=1)
    await scene.submit(
        scene.owner,
        step(tasks=8),
        behaviour={**LONG, "padding": "x" * 3000},
    )
    await scene.until(lambda: scene.pool.starts)
    await scene.resize("e0", accelerators=2)
    await asyncio.sleep(20.0)


def test_starts_that_wait_for_the_link_bring_no_executor_over(monkeypatch):
    scene_module.run_on_virtual_time(_shrink_behind_a_slow_link, monkeypatch)


def test_starts_that_wait_for_the_link_fit_the_capacity_when_sent(monkeypatch):
    async def main(scene):
        await _shrink_behind_a_slow_link(scene)
        assert _running(scene) == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_accelerators_left_by_a_shrinking_are_counted_whatever_their_index(
    monkeypatch,
):
    """Those with the lowest indexes end first."""

    async def main(scene):
        await _open(scene)
        await scene.submit(
            scene.owner, step(tasks=6), behaviour={"run_s": 3.0}
        )
        await asyncio.sleep(0.5)
        await scene.submit(scene.owner, step(tasks=2), behaviour=LONG)
        await asyncio.sleep(0.5)
        assert _running(scene) == 8
        await scene.resize("e0", accelerators=3)
        await scene.submit(scene.owner, step(tasks=4), behaviour=LONG)
        await asyncio.sleep(10.0)
        assert _running(scene) == 3

    scene_module.run_on_virtual_time(main, monkeypatch)


@pytest.mark.parametrize("cut", ["cores_milli", "memory_mib", "accelerators"])
def test_a_shrinking_below_what_runs_stops_nothing_and_starts_nothing(
    monkeypatch, cut
):
    async def main(scene):
        await _open(scene)
        job_id, _outcome = await scene.submit(
            scene.owner,
            step(tasks=6, cores_milli=4000, memory_mib=8000),
            behaviour={"run_s": 12.0},
        )
        await asyncio.sleep(1.0)
        smaller = {"cores_milli": 8000, "memory_mib": 16000, "accelerators": 2}
        await scene.resize("e0", **{cut: smaller[cut]})
        shrunk_s = _now_s()
        sizes = {"cores_milli": 1, "memory_mib": 1, "accelerators": 0}
        for fields in (sizes, {**sizes, "fills_spare": True}):
            await scene.submit(
                scene.owner, step(tasks=2, **fields), behaviour=LONG
            )
        await asyncio.sleep(8.0)
        assert _running(scene, job_id) == 6
        assert not _starts_since(scene, shrunk_s + NEWS_S)
        await scene.until_state(job_id, workflow.COMPLETED)
        assert {run.outcome for run in scene.runs_of(job_id)} == {model.DONE}
        await asyncio.sleep(2.0)
        assert _running(scene) == 4

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_capacity_that_grows_again_is_used_at_once(monkeypatch):
    async def main(scene):
        await _open(scene)
        await scene.resize("e0", accelerators=0, cores_milli=0, memory_mib=0)
        await asyncio.sleep(3.3)
        await scene.submit(scene.owner, step(tasks=8), behaviour=LONG)
        await asyncio.sleep(10.0)
        assert not _running(scene)
        await scene.resize(
            "e0", accelerators=8, cores_milli=32_000, memory_mib=64_000
        )
        await asyncio.sleep(NEWS_S)
        assert _running(scene) == 8

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_job_that_fits_only_the_larger_capacity_stays_queued(monkeypatch):
    async def main(scene):
        await _open(scene)
        await scene.resize("e0", accelerators=2)
        await asyncio.sleep(3.0)
        job_id, _outcome = await scene.submit(
            scene.owner, step(accelerators=6)
        )
        await asyncio.sleep(20.0)
        assert await scene.state(job_id) == workflow.QUEUED
        await scene.resize("e0", accelerators=8)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=5.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_what_is_being_stopped_for_urgent_work_counts_on_a_shrunk_executor(
    monkeypatch,
):
    async def main(scene):
        await _open(scene, guaranteed=4)
        scene.pool.stop_s = scene_module.BOUNDS.stop_timeout_s
        await scene.submit(scene.owner, step(tasks=8), behaviour=LONG)
        await asyncio.sleep(1.0)
        await scene.resize("e0", accelerators=4)
        await asyncio.sleep(6.0)
        urgent_id, _outcome = await scene.submit(
            scene.owner,
            step(tasks=4),
            behaviour=LONG,
            prefix=scene_module.URGENT_PREFIX,
        )
        await asyncio.sleep(10.0)
        assert _running(scene, urgent_id) == 4

    scene_module.run_on_virtual_time(main, monkeypatch)


async def _cancel(scene, job_id: str) -> None:
    cancelled = await scene.bystander().node.job_api.cancel(scene.call(job_id))
    assert cancelled.unwrap() == job_id


def test_runs_that_a_former_owner_was_stopping_count_after_a_take_over(
    monkeypatch,
):
    async def main(scene):
        await _open(scene, vms=3)
        scene.pool.stop_s = scene_module.BOUNDS.stop_timeout_s
        job_id, _outcome = await scene.submit(
            scene.owner, step(tasks=8), behaviour=LONG
        )
        await asyncio.sleep(1.0)
        waiting_id, _outcome = await scene.submit(
            scene.owner, step(tasks=8), behaviour=LONG
        )
        scene.pool.executors["e0"].lose_stops = 100
        await _cancel(scene, job_id)
        await asyncio.sleep(0.5)
        killed = scene.owner
        await killed.kill()
        scene.vms.remove(killed)
        scene.pool.executors["e0"].lose_stops = 0
        await scene.until(lambda: _running(scene, waiting_id) == 8)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_late_start_counts_on_an_executor_that_was_given_up(monkeypatch):
    async def main(scene):
        await _open(scene, executors=2)
        executor = scene.pool.executors["e0"]
        executor.lose_starts = 16
        executor.late_s = 5.9
        await scene.submit(
            scene.owner, step(tasks=16), behaviour={"run_s": 2.5}
        )
        await asyncio.sleep(1.0)
        executor.silent = True
        await asyncio.sleep(5.5)
        executor.silent = False
        for _number in range(20):
            await scene.submit(
                scene.owner, step(tasks=4), behaviour={"run_s": 2.0}
            )
            await asyncio.sleep(0.3)
        await asyncio.sleep(20.0)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_capacities_that_keep_changing_are_never_exceeded(monkeypatch):
    async def main(scene):
        await _open(scene, executors=3, guaranteed=2)
        scene.pool.stop_s = 0.5
        jobs = []
        for number in range(60):
            urgent = number % 5 == 0
            job_id, _outcome = await scene.submit(
                scene.owner,
                step(
                    tasks=1 + number % 4,
                    accelerators=number % 3,
                    cores_milli=1000 + 500 * (number % 7),
                ),
                behaviour={"run_s": 0.4 + number % 6},
                prefix=(
                    scene_module.URGENT_PREFIX
                    if urgent
                    else scene_module.PREFIX
                ),
            )
            jobs.append(job_id)
            await scene.resize(
                f"e{number % 3}",
                accelerators=number * 5 % 9,
                cores_milli=4000 * (number * 3 % 9),
            )
            await asyncio.sleep(0.3)
            if number % 11 == 10:
                await _cancel(scene, jobs[number - 3])
        for number in range(3):
            await scene.resize(
                f"e{number}", accelerators=8, cores_milli=32_000
            )
        kept = [j for n, j in enumerate(jobs) if (n + 3) % 11 != 10]
        for job_id in kept:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=90.0)

    scene_module.run_on_virtual_time(main, monkeypatch)
