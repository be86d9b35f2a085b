"""An executor crashes and starts again under its id; runs are doubled."""

from __future__ import annotations

import asyncio
import os
import time

import standins

RUN_S = 8.0
DARK_S = float(os.environ.get("DARK_S", "0.5"))
PHASE = {"count": 1, "cpu": 4000, "mem_mb": 4096, "estimated_runtime_ms": 8000}


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in (1, 2, 3):
        executor = world.add_executor(f"i-{number}", run_s=lambda task: RUN_S)
        executor.stop_s = 0.3
    await world.begin()
    jobs = [await world.submit([PHASE])]
    await asyncio.sleep(3.0)
    executor = max(world.executors.values(), key=lambda e: len(e.life.runs))
    if trouble:
        executor.crash()
        await asyncio.sleep(DARK_S)
        executor.start_again()
        await executor.drop_connections()
    else:
        await asyncio.sleep(DARK_S)
    jobs.append(await world.submit([PHASE]))
    await asyncio.sleep(20.0)
    for job in jobs:
        await world.state(job)
    return standins.overlaps(
        world.runs, time.monotonic()
    ) + standins.after_done(world.runs)


standins.main(play)
