"""A draining executor is cut off; its runs are started elsewhere."""

from __future__ import annotations

import asyncio
import time

import standins

EXECUTORS = 24
RUN_S = 12.0
REMAINING_S = 12.0
CUT_S = 5.5


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in range(1, EXECUTORS + 1):
        world.add_executor(f"i-{number}", run_s=lambda task: RUN_S)
    await world.begin()
    jobs = [
        await world.submit(
            [
                {
                    "count": 1,
                    "cpu": 4000,
                    "mem_mb": 4096,
                    "estimated_runtime_ms": int(RUN_S * 1000),
                }
            ]
        )
        for _number in range(6)
    ]
    await asyncio.sleep(3.0)
    busiest = max(world.executors.values(), key=lambda e: len(e.life.runs))
    leaves_s = time.monotonic() + REMAINING_S
    busiest.state = "draining"
    busiest.leaves_s = leaves_s
    busiest.check_in_now()
    await asyncio.sleep(0.5)
    if trouble:
        world.record.note(f"{busiest.executor_id}: cut off")
        busiest.cut = True
        await asyncio.sleep(CUT_S)
        world.record.note(f"{busiest.executor_id}: the cut has healed")
        busiest.cut = False
        busiest.check_in_now()
    await asyncio.sleep(leaves_s - time.monotonic() + 0.5)
    await busiest.leave()
    await asyncio.sleep(13.0)
    for job in jobs:
        await world.state(job)
    return standins.overlaps(
        world.runs, time.monotonic()
    ) + standins.after_done(world.runs)


standins.main(play)
