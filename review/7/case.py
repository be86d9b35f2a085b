"""The owner is cut off from the store; the next owner is lost meanwhile."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

CUT_S = 5.5
JOB = "00000000000000a7"
SIZE = [3700, 1000, 1]
FINISH_S = 14.0


async def main(case: standins_2.Case, trouble: bool) -> list[str]:
    store, fleet = case.store, case.fleet
    await store.put("op/config", standins_2.desired())
    for number in range(4):
        await fleet.add(f"e-{number}", f"m-{number}")
    vms = [case.add_vm() for _ in range(2)]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.until_ready()
    await case.until(lambda: case.owner() is not None, 10, "an owner")
    await asyncio.sleep(3.0)
    alone = case.owner()
    (other,) = [vm for vm in vms if vm is not alone]
    if trouble:
        now_s = asyncio.get_running_loop().time
        cut_ends_s = now_s() + CUT_S
        case.record.write(alone.name, "cut-off-from-store", for_s=CUT_S)
        alone.path.silent = True
        await case.until(lambda: case.owner() is other, 4, "the other owner")
        await asyncio.sleep(0.5)
        case.record.write(other.name, "is-lost-for-good")
        other.kill()
        await asyncio.sleep(cut_ends_s - now_s())
        alone.path.silent = False
        case.record.write(alone.name, "reaches-store-again")
    await asyncio.sleep(4.0)

    path = standins_2.PREFIX + JOB
    status, _told = await alone.call(
        "POST",
        path,
        document={
            "specification": json.dumps({"run_s": 2.5, "size": SIZE}),
            "phases": [
                {
                    "count": 3,
                    "cpu": SIZE[0],
                    "mem_mb": SIZE[1],
                    "gpu": SIZE[2],
                    "estimated_runtime_ms": 2500,
                }
            ],
        },
    )
    if status != 200:
        raise standins_2.CannotRun(f"the job was answered {status}")
    state = ""
    for _ in range(int(FINISH_S + 6)):
        await asyncio.sleep(1.0)
        _status, told = await alone.call("GET", path)
        state = told.get("state", "")
        if state == "completed":
            return []
    if fleet.log:
        raise standins_2.CannotRun("the job is slow, but at work")
    return [
        f"LOST the job is {state} {FINISH_S + 6:.0f} s after its acceptance; "
        "no task was ever started, and all executors are idle"
    ]


sys.exit(standins_2.run(FOLDER, main))
