"""One wide job that can never be done keeps sound jobs from running."""

from __future__ import annotations

import asyncio
import time

import standins

EXECUTORS = 24
SOUND_JOBS = 19
WIDTH = 94
FAILS_AFTER_S = 1.0
SOUND_S = 2.5
FINISH_S = 14.0
"""After the end of the traffic, ``finish_s``."""
IDLE_S = 3.0

WIDE = {
    "count": WIDTH,
    "cpu": 2800,
    "mem_mb": 15000,
    "gpu": 1,
    "estimated_runtime_ms": 9500,
}
SOUND = {
    "count": 3,
    "cpu": 3700,
    "mem_mb": 15000,
    "gpu": 1,
    "estimated_runtime_ms": 2500,
}


async def play(world: standins.World, trouble: bool) -> list[str]:
    hopeless: list[str] = []

    def run_s(task: str) -> float:
        return FAILS_AFTER_S if _job_of(task) in hopeless else SOUND_S

    def how(task: str) -> str:
        failing = trouble and _job_of(task) in hopeless
        return "failed" if failing else "done"

    for number in range(1, EXECUTORS + 1):
        world.add_executor(f"i-{number}", run_s=run_s).how = how
    await world.begin()
    hopeless.append(world.new_id())
    await world.submit([WIDE], job_id=hopeless[0])
    await asyncio.sleep(2.0)
    jobs = []
    for _number in range(SOUND_JOBS):
        jobs.append(await world.submit([SOUND]))
        await asyncio.sleep(0.15)
    await asyncio.sleep(FINISH_S)
    begun_s = time.monotonic()
    shown = {job: await world.state(job) for job in jobs}
    await asyncio.sleep(IDLE_S)
    waiting = [job for job in jobs if _is_idle(world, job, begun_s)]
    in_use = sum(len(e.life.runs) for e in world.executors.values())
    world.record.note(f"{in_use} tasks run on {EXECUTORS} executors")
    return [
        f"LOST: {job}, {shown[job]}, has had nothing running for {IDLE_S} s, "
        f"{FINISH_S:.0f} s after the last job; {in_use} tasks run on "
        f"{EXECUTORS} executors"
        for job in waiting
    ]


def _job_of(task: str) -> str:
    return task.partition(".")[0]


def _is_idle(world, job: str, since_s: float) -> bool:
    """Tell whether a job that isn't over has had no run since a time."""
    runs = [run for run in world.runs if _job_of(run.task) == job]
    done = {run.task for run in runs if run.how == "done"}
    if len(done) == SOUND["count"]:
        return False
    return all(run.ended_s and run.ended_s < since_s for run in runs)


standins.main(play)
