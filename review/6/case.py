"""More than 500 ends wait for a new owner after an outage of the store."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

DOWN_S = 4.5
"""As the days of the site have it."""


async def main(case: standins_2.Case, trouble: bool) -> list[str]:
    store, fleet = case.store, case.fleet
    await store.put("op/config", standins_2.desired())
    executor = await fleet.add("e-0", "m-0")
    vms = [case.add_vm() for _ in range(2)]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.until_ready()
    await case.until(lambda: case.owner() is not None, 10, "an owner")
    await asyncio.sleep(1.0)

    size = [25, 100, 0]
    jobs = {"00000000000000a6": (400, 20.0)}
    for number in range(5):
        jobs[f"00000000000000b{number}"] = (400, 18.0 - 0.9 * number)
    """Tasks of each job, and how long each of them runs."""
    for job, (tasks, run_s) in jobs.items():
        status, _told = await vms[0].call(
            "POST",
            standins_2.PREFIX + job,
            document={
                "specification": json.dumps({"run_s": run_s, "size": size}),
                "phases": [
                    {
                        "count": tasks,
                        "cpu": size[0],
                        "mem_mb": size[1],
                        "estimated_runtime_ms": int(run_s * 1000),
                    }
                ],
            },
        )
        if status != 200:
            raise standins_2.CannotRun(f"a job was answered {status}")
    all_tasks = sum(tasks for tasks, _run_s in jobs.values())
    await case.until(
        lambda: len(executor.runs) >= 0.98 * all_tasks, 16, "tasks at work"
    )
    ends_s = min(run.begun_s + run.run_s for run in executor.runs.values())
    loop_s = asyncio.get_running_loop().time
    await asyncio.sleep(max(0.0, ends_s - 0.2 - loop_s()))
    if trouble:
        case.record.write("store", "down", for_s=DOWN_S)
        store.down = True
        await asyncio.sleep(DOWN_S)
        store.down = False
        case.record.write("store", "back", unnoted=len(executor.ends))
    await asyncio.sleep(2.0)
    for _ in range(40):
        shown = [
            (await vms[0].call("GET", standins_2.PREFIX + job))[1].get("state")
            for job in jobs
        ]
        if shown == ["completed"] * len(jobs):
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(3.0)
    case.record.write("executor", "most-unnoted", ends=executor.most_unacked)
    broken = fleet.twice()
    print(f"{len(broken)} tasks ran twice; at most {executor.most_unacked}"
          " ends were listed at once")
    return broken[:5]


standins_2.BOUNDS.update(
    max_hold_ms=10_000,
    stop_timeout_ms=200,
    checkpoint_interval_s=1,
    restore_timeout_ms=100,
    reclaim_timeout_ms=2700,
)
"""As on the sheet of kobberfryd."""

sys.exit(standins_2.run(FOLDER, main, size=(64_000, 262_144, 8)))
