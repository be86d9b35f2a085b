"""A job that lasts is shown as failed after its executor crashed thrice."""

from __future__ import annotations

import asyncio
import time

import standins

CRASHES = 3
BACK_S = 3.0
AT_WORK_S = 8.0


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in (1, 2, 3, 4):
        world.add_executor(f"i-{number}", run_s=lambda task: 0.0)
    await world.begin()
    job = await world.submit(
        [
            {
                "count": 1,
                "cpu": 4000,
                "mem_mb": 4096,
                "estimated_runtime_ms": 60000,
                "long_running": True,
            }
        ]
    )
    for _number in range(CRASHES):
        executor = await _executor_at_work(world)
        if executor is None:
            break
        await asyncio.sleep(AT_WORK_S)
        if trouble:
            executor.crash()
            await asyncio.sleep(BACK_S)
            await executor.drop_connections()
            executor.start_again()
            executor.check_in_now()
        else:
            await asyncio.sleep(BACK_S)
    await asyncio.sleep(15.0)
    shown = await world.state(job)
    running = [run for run in world.runs if run.ended_s is None]
    world.record.note(f"{len(running)} runs of the job at the end")
    found = []
    if shown == "failed":
        ends = [run.how for run in world.runs]
        found.append(
            f"LOST: a job that lasts and that nobody has cancelled is shown "
            f"as failed; its runs ended {ends}"
        )
    return found


async def _executor_at_work(world):
    """Return the executor that runs the task, or None after 20 s."""
    deadline_s = time.monotonic() + 20
    while time.monotonic() < deadline_s:
        for executor in world.executors.values():
            if executor.up and executor.life.runs:
                return executor
        await asyncio.sleep(0.05)
    return None


standins.main(play)
