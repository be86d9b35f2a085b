"""Three executors crash, one after the other, under the same sound task."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_3

KEY = "key-ash"
CRASHES = 3


async def play(platform, fleet, trouble: bool) -> bool:
    await fleet.until_ready(path="/batch/", key=KEY)
    await asyncio.sleep(3.0)
    job_id = standins_3.new_id()
    document = standins_3.job(1, 12.0, gpu=8)
    platform.jobs[job_id] = document
    path = f"/batch/{job_id}"
    status, _body = await fleet.call(
        0, "POST", path, key=KEY, document=document
    )
    assert status == 200
    task = f"{job_id}.0.0.0"
    for _crash in range(CRASHES if trouble else 0):
        while platform.executor_of(task) is None:
            await asyncio.sleep(0.05)
        # At work for two seconds: its start has not crashed anything.
        await asyncio.sleep(2.0)
        executor = platform.executor_of(task)
        platform.note("executor-crashes", executor=executor.id)
        await executor.crash()
        await asyncio.sleep(4.5)
        await platform.open(executor.number)
    state = ""
    for _look in range(60):
        await asyncio.sleep(0.5)
        status, body = await fleet.call(1, "GET", path, key=KEY)
        state = body.get("state", "") if status == 200 else ""
        if state in ("completed", "failed", "cancelled"):
            break
    failed = [end for end in platform.ends if end[3] == "failed"]
    platform.note("seen", state=state, ends_failed=len(failed))
    for line in fleet.log_lines("task-given-up", "crashed-under-task"):
        platform.note("log", line=line)
    # LOST: shown as `failed` without cause; only ends `failed` count.
    return state == "completed"


if __name__ == "__main__":
    standins_3.main(
        play,
        standins_3.desired_state(
            3, [standins_3.route("batch", priority=1, attempts=2)]
        ),
        machines=3,
        file=__file__,
    )
