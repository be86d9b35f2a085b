"""An executor crashes just after the tasks of a lasting job began on it."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

CRASH_S = 4.5
AFTER_S = 0.5
LATER_S = 30.0
TASKS = 16
SIZE = [1000, 1000, 0]
JOB = "00000000000000ad"


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
    await asyncio.sleep(2.0)
    step = {
        "count": TASKS,
        "cpu": SIZE[0],
        "mem_mb": SIZE[1],
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

    def at_work() -> int:
        return sum(len(e.runs) for e in fleet.executors.values())

    await case.until(lambda: at_work() == TASKS, 10, "all tasks at work")
    await asyncio.sleep(AFTER_S)
    if trouble:
        busiest = max(
            machines.machines.values(), key=lambda m: len(m.executor.runs)
        )
        await machines.crash(busiest, CRASH_S)
    await asyncio.sleep(LATER_S)
    counts = []
    for _ in range(6):
        await asyncio.sleep(0.5)
        counts.append(at_work())
        case.record.write("executors", "tasks-at-work", count=counts[-1])
    if max(counts) == TASKS:
        return []
    used = [executor.used()[0] for executor in fleet.executors.values()]
    return [
        f"LOST for 3 s, {TASKS - max(counts)} tasks of the long-running job "
        f"have had no run, {LATER_S + 3:.0f} s after the crash; the "
        f"{len(used)} executors use {sum(used)} of {32_000 * len(used)} "
        "thousandths of a core"
    ]


sys.exit(standins_2.run(FOLDER, main))
