"""Executors that were out of reach for seconds get no work for a minute."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

CUT_S = 5.0
"""The days of the site have up to 5.5 s, for a sixth of the executors."""

WIDE = "00000000000000a9"
SINGLE = "00000000000000b9"
OTHER = "00000000000000c9"
RUN_S = 1.0
FINISH_S = 14.0


async def main(case: standins_2.Case, trouble: bool) -> list[str]:
    store, fleet = case.store, case.fleet
    await store.put("op/config", standins_2.desired())
    for number in range(10):
        await fleet.add(f"e-{number}", f"m-{number}")
    pair = [await fleet.add(f"e-{n}", f"m-{n}", "k2") for n in (10, 11)]
    vms = [case.add_vm() for _ in range(3)]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.until_ready()
    await case.until(lambda: case.owner() is not None, 10, "an owner")
    await asyncio.sleep(1.0)

    async def submit(job: str, tasks: int, **fields) -> None:
        size = [1000, 1000, 1]
        step = {
            "count": tasks,
            "cpu": size[0],
            "mem_mb": size[1],
            "gpu": size[2],
            "estimated_runtime_ms": int(RUN_S * 1000),
            **fields,
        }
        told = {"run_s": RUN_S, "size": size}
        status, _told = await vms[0].call(
            "POST",
            standins_2.PREFIX + job,
            document={"specification": json.dumps(told), "phases": [step]},
        )
        if status != 200:
            raise standins_2.CannotRun(f"a job was answered {status}")

    async def state(job: str) -> str:
        _status, told = await vms[1].call("GET", standins_2.PREFIX + job)
        return told.get("state", "")

    if trouble:
        for executor in pair:
            executor.cut()
    await asyncio.sleep(0.1)
    await submit(WIDE, 16, requirements="k2")
    await asyncio.sleep(CUT_S - 0.1)
    for executor in pair:
        executor.join()
    await asyncio.sleep(1.0)
    await submit(SINGLE, 1, requirements="k2")
    await submit(OTHER, 1)
    await asyncio.sleep(FINISH_S)
    idle_since_s = case.record.now()
    states: dict[str, str] = {}
    for _ in range(6):
        await asyncio.sleep(1.0)
        states = {job: await state(job) for job in (WIDE, SINGLE, OTHER)}
    if states[OTHER] != "completed":
        raise standins_2.CannotRun("no job at all is completed")
    if all(shown == "completed" for shown in states.values()):
        return []
    late = [entry for entry in fleet.log if entry[0] >= idle_since_s]
    if late:
        raise standins_2.CannotRun("the jobs are slow, but at work")
    idle = sum(8 - executor.used()[2] for executor in pair)
    used = sum(executor.used()[2] for executor in fleet.executors.values())
    return [
        f"LOST job {job} is {shown}; nothing of it has run for 6 s; "
        f"{pair[0].id} and {pair[1].id} have {idle} idle accelerators and "
        f"the service uses {used} of 96"
        for job, shown in states.items()
        if shown != "completed"
    ]


sys.exit(standins_2.run(FOLDER, main))
