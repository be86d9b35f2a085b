"""One executor fails what it runs; once sound, it gets foreign work.

Executors with even numbers are of the kind `a`, the others of the kind `b`.
The first jobs run anywhere; later ones require the kind that the executor
that failed doesn't have.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_3

KEY = "key-ash"
FAILS_FROM_S = 4
FAILS_S = 6.5
REQUIRED_FROM_S = 12
TRAFFIC_S = 32
JOBS_PER_S = 4
OTHER_KIND = {"a": "b", "b": "a"}


async def play(platform, fleet, trouble: bool) -> bool:
    for number, executor in platform.executors.items():
        platform.kinds[number] = "ab"[number % 2]
        await executor.register()
    kinds = {
        executor.id: platform.kind_of(executor.number)
        for executor in platform.executors.values()
    }
    await fleet.until_ready(path="/batch/", key=KEY)
    await asyncio.sleep(3.0)
    requires: dict[str, str] = {}

    async def submit(number: int, label: str) -> None:
        more = {"requirements": label} if label else {}
        document = standins_3.job(1, 1.5, gpu=1, **more)
        job_id = standins_3.new_id()
        platform.jobs[job_id] = document
        requires[job_id] = label
        await fleet.call(
            number % 3, "POST", f"/batch/{job_id}", key=KEY, document=document
        )

    async def fail(executor) -> None:
        executor.fails = True
        platform.note("executor-fails", executor=executor.id)
        await asyncio.sleep(FAILS_S)
        executor.fails = False
        platform.note("executor-sound", executor=executor.id)

    label = ""
    for second in range(TRAFFIC_S):
        for number in range(JOBS_PER_S):
            await submit(number, label if second >= REQUIRED_FROM_S else "")
        await asyncio.sleep(1.0)
        if second == FAILS_FROM_S:
            executors = platform.executors.values()
            fullest = max(executors, key=lambda executor: len(executor.runs))
            label = OTHER_KIND[kinds[fullest.id]]
            if trouble:
                standins_3.spawn(fail(fullest))
    await asyncio.sleep(4.0)
    wrong = [
        (task, executor)
        for _at_s, task, _run, executor in platform.starts
        if requires[task.split(".")[0]] not in ("", kinds[executor])
    ]
    platform.note(
        "seen",
        starts=len(platform.starts),
        ends_failed=sum(end[3] == "failed" for end in platform.ends),
        without_label=len(wrong),
        first=wrong[:3],
    )
    for line in fleet.log_lines("executor-standing"):
        platform.note("log", line=line)
    # ROUTE: a start on an executor without the label in `requirements`.
    return len(platform.starts) > 0 and not wrong


if __name__ == "__main__":
    standins_3.main(
        play,
        standins_3.desired_state(
            3, [standins_3.route("batch", priority=1, attempts=4)]
        ),
        machines=3,
        file=__file__,
    )
