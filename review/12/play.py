"""A client that nobody controls hands in a few jobs with many tasks.

Each is one small request that the system accepts. The processes have to
stay within the memory of their machines all the same.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_3

MACHINES = 3
WIDE_JOBS = 12
WIDE_TASKS = 10_000
SMALL_TASKS = 10
TRAFFIC_S = 16
RETRIES = 4
WATCH_S = 40
KILLS = 3
FAULTY_MACHINES = 2


async def play(platform, fleet, trouble: bool) -> bool:
    await fleet.until_ready(path="/quick/", key="key-ash")
    standins_3.spawn(fleet.enforce_memory(standins_3.MEMORY_MB))
    await asyncio.sleep(3.0)
    accepted: list[str] = []

    async def submit(number: int, queue: str, key: str, document: dict):
        """Hand a job in; a client asks again up to four times."""
        job_id = standins_3.new_id()
        platform.jobs[job_id] = document
        path = f"/{queue}/{job_id}"
        for attempt in range(1 + RETRIES):
            status, _body = await fleet.call(
                (number + attempt) % MACHINES,
                "POST",
                path,
                key=key,
                document=document,
            )
            if status == 200:
                if queue == "quick":
                    accepted.append(path)
                return
            await asyncio.sleep(1.0)

    async def stranger() -> None:
        tasks = WIDE_TASKS if trouble else SMALL_TASKS
        for number in range(WIDE_JOBS):
            wide = standins_3.job(tasks, 1.0, cpu=500, mem_mb=100)
            standins_3.spawn(submit(number, "bulk", "key-elm", wide))
            await asyncio.sleep(0.1)

    for second in range(TRAFFIC_S):
        if second == 4:
            standins_3.spawn(stranger())
        small = standins_3.job(2, 1.5, gpu=1)
        standins_3.spawn(submit(second, "quick", "key-ash", small))
        await asyncio.sleep(1.0)
    platform.note("traffic-ends", accepted=len(accepted))
    # FAULT: on a tenth of the machines in use (two at least) processes end
    # by themselves three times, memory over the limit counts.
    often: list[int] = []
    for _look in range(WATCH_S):
        await asyncio.sleep(1.0)
        often = [n for n in range(MACHINES) if fleet.kills.count(n) >= KILLS]
        if len(often) >= FAULTY_MACHINES:
            break
    platform.note(
        "seen",
        accepted=len(accepted),
        killed=fleet.kills,
        machines_often=often,
        memory_mb=[fleet.memory_mb(n) for n in range(MACHINES)],
    )
    return len(accepted) > 0 and len(often) < FAULTY_MACHINES


if __name__ == "__main__":
    standins_3.main(
        play,
        standins_3.desired_state(
            3,
            [
                standins_3.route("quick", priority=0),
                standins_3.route("bulk", priority=2, attempts=3),
            ],
        ),
        machines=MACHINES,
        file=__file__,
    )
