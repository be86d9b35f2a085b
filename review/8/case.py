"""Executors crash three times under the task of a long-running job."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

CRASH_S = 4.5
CRASHES = 3
AT_WORK_S = 3.0

JOB = "00000000000000a8"
SIZE = [13_000, 1000, 4]


async def main(case: standins_2.Case, trouble: bool) -> list[str]:
    store, fleet = case.store, case.fleet
    machines = standins_2.Machines(fleet)
    await store.put("op/config", standins_2.desired())
    for number in range(8):
        await machines.add(f"m-{number}")
    vms = [case.add_vm() for _ in range(3)]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.until_ready()
    await case.until(lambda: case.owner() is not None, 10, "an owner")
    await asyncio.sleep(1.0)

    step = {
        "count": 1,
        "cpu": SIZE[0],
        "mem_mb": SIZE[1],
        "gpu": SIZE[2],
        "estimated_runtime_ms": 1000,
        "long_running": True,
    }
    told = {"size": SIZE, "lasts": True}
    status, _told = await vms[0].call(
        "POST",
        standins_2.PREFIX + JOB,
        document={"specification": json.dumps(told), "phases": [step]},
    )
    if status != 200:
        raise standins_2.CannotRun(f"the job was answered {status}")

    def at_work() -> list:
        return [
            machine
            for machine in machines.machines.values()
            if machine.state == "up" and machine.executor.runs
        ]

    for _ in range(CRASHES if trouble else 0):
        await case.until(at_work, 20, "the task at work")
        await asyncio.sleep(AT_WORK_S)
        for machine in at_work():
            await machines.crash(machine, CRASH_S)

    state = ""
    for _ in range(20):
        await asyncio.sleep(1.0)
        _status, told = await vms[1].call("GET", standins_2.PREFIX + JOB)
        state = told.get("state", "")
        if state in ("completed", "failed", "cancelled"):
            break
    ends = [entry[5] for entry in fleet.log if entry[1] == "end"]
    case.record.write("executors", "ends", how=",".join(ends))
    if state == "failed" and "failed" not in ends:
        await asyncio.sleep(10.0)
        return [
            f"LOST the long-running job is shown as {state}; its runs: "
            f"{', '.join(ends)}; {len(at_work())} tasks are at work 10 s later"
        ]
    if not at_work():
        raise standins_2.CannotRun(f"the job is {state} and not at work")
    return []


sys.exit(standins_2.run(FOLDER, main))
