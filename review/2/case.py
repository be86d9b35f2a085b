"""An executor crashes and starts again under its id; runs are doubled."""

from __future__ import annotations

import asyncio
import time

import standins

EXECUTORS = 24
DARK_S = 0.5
LONG_S = 8.0
SHORT_S = 0.3


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in range(1, EXECUTORS + 1):
        executor = world.add_executor(f"i-{number}", run_s=world.declared_s)
        executor.stop_s = 0.3
    await world.begin()
    jobs = [await _submit(world, LONG_S)]
    for _number in range(3):
        jobs.append(await _submit(world, SHORT_S))
    await asyncio.sleep(3.0)
    executor = max(world.executors.values(), key=lambda e: len(e.life.runs))
    await _checked_in(executor)
    if trouble:
        executor.crash()
        await asyncio.sleep(DARK_S)
        executor.start_again()
        await executor.drop_connections()
    else:
        await asyncio.sleep(DARK_S)
    jobs.append(await _submit(world, SHORT_S))
    jobs.append(await _submit(world, LONG_S))
    await asyncio.sleep(20.0)
    for job in jobs:
        await world.state(job)
    return standins.overlaps(
        world.runs, time.monotonic()
    ) + standins.after_done(world.runs)


async def _submit(world: standins.World, run_s: float) -> str:
    return await world.submit(
        [
            {
                "count": 1,
                "cpu": 4000,
                "mem_mb": 4096,
                "estimated_runtime_ms": int(run_s * 1000),
            }
        ]
    )


async def _checked_in(executor) -> None:
    """Wait until the executor has just written to the store."""
    heard_s = executor.heard_s
    while executor.heard_s == heard_s:
        await asyncio.sleep(0.01)


standins.main(play)
