"""A draining executor is cut off; its runs are started elsewhere."""

from __future__ import annotations

import asyncio

import standins

RUN_S = 12.0


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in (1, 2, 3):
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
    await asyncio.sleep(2.0)
    busiest = max(world.executors.values(), key=lambda e: len(e.life.runs))
    world.record.note(f"{busiest.executor_id}: drains for 25 s or longer")
    busiest.state = "draining"
    busiest.remaining_ms = 25_000
    busiest.check_in_now()
    await asyncio.sleep(1.0)
    if trouble:
        world.record.note(f"{busiest.executor_id}: cut off")
        busiest.cut = True
        await asyncio.sleep(5.5)
        world.record.note(f"{busiest.executor_id}: the cut has healed")
        busiest.cut = False
        busiest.check_in_now()
    await asyncio.sleep(16.0)
    for job in jobs:
        await world.state(job)
    now_s = asyncio.get_running_loop().time()
    return standins.overlaps(world.runs, now_s) + standins.after_done(
        world.runs
    )


standins.main(play)
