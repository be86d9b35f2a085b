"""Three times the system is down while the job's executor leaves in order.

The executors are emptied one at a time, as planned work; no executor
crashes, and no end `failed` is listed.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_3

KEY = "key-ash"
MACHINES = 3
TIMES = 3
DRAIN_S = 2.3
OUTAGE_S = 4.0


async def play(platform, fleet, trouble: bool) -> bool:
    await fleet.until_ready(path="/batch/", key=KEY)
    await asyncio.sleep(3.0)
    job_id = standins_3.new_id()
    document = standins_3.job(1, 15.0, gpu=8)
    platform.jobs[job_id] = document
    path = f"/batch/{job_id}"
    status, _body = await fleet.call(
        0, "POST", path, key=KEY, document=document
    )
    assert status == 200
    task = f"{job_id}.0.0.0"
    for _time in range(TIMES):
        for _wait in range(400):
            if platform.executor_of(task) is not None:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        executor = platform.executor_of(task)
        if executor is None:
            break
        if trouble:
            fleet.kill()
        platform.note("executor-drains", executor=executor.id)
        await executor.drain(DRAIN_S)
        await asyncio.sleep(OUTAGE_S - DRAIN_S)
        if trouble:
            for number in range(MACHINES):
                fleet.start(number)
    await fleet.until_ready(path="/batch/", key=KEY)
    state = ""
    for _look in range(90):
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
        machines=MACHINES,
        file=__file__,
    )
