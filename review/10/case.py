"""A machine of a wave crashes before its turn and comes back."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2  # noqa: E402

CRASH_S = 4.5
"""As the days of huerto-central-large have it."""


async def main(case: standins_2.Case, trouble: bool) -> list[str]:
    store = case.store
    machines = standins_2.Machines(case.fleet)
    await store.put("op/config", standins_2.desired())
    for number in range(8):
        await machines.add(f"m-{number}")
    address = f"{standins_2.HOST}:{machines.port}"
    vms = [
        case.add_vm(**{"cloud_api.address": address}) for _ in range(3)
    ]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.until_ready()
    await case.until(lambda: case.owner() is not None, 10, "an owner")
    await asyncio.sleep(5.0)

    wave = {"wave": 1, "machines": ["m-0", "m-1"], "duration_s": 40, "cap": 1}
    case.record.write("operator", "op/wave/1", **wave)
    await store.put("op/wave/1", wave)
    first, second = machines.machines["m-0"], machines.machines["m-1"]

    def begun() -> list:
        return [m for m in (first, second) if 1 in m.waves]

    await case.until(begun, 20, "the upkeep of one machine")
    (waiting,) = {first, second} - set(begun())
    await asyncio.sleep(0.5)
    if trouble:
        await machines.crash(waiting, CRASH_S)

    def state() -> str:
        return (store.document("status/wave/1") or {}).get("state", "")

    await case.until(lambda: state() == "completed", 60, "completed wave")
    case.record.write("operator", "reads status/wave/1", state=state())
    broken = [
        f"MIXED wave 1 is said to be completed; {machine.name} is "
        f"{machine.state} and hasn't begun its upkeep"
        for machine in (first, second)
        if 1 not in machine.waves
    ]
    await asyncio.sleep(8.0)
    for machine in (first, second):
        if 1 not in machine.waves:
            broken.append(f"8 s later {machine.name} still hasn't begun it")
    return broken


sys.exit(standins_2.run(FOLDER, main))
