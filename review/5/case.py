"""A late write of the count of pending jobs replaces the newer one."""

from __future__ import annotations

import asyncio
import base64
import json

import standins

LATE_S = 5.0
WAITING_JOBS = 10
CALM_S = 4.0
"""Over ``contact_ms`` after the late write."""

PHASE = {
    "count": 1,
    "cpu": 16000,
    "mem_mb": 4096,
    "estimated_runtime_ms": 9000,
}
KEY = "published/pending"


async def play(world: standins.World, trouble: bool) -> list[str]:
    for number in (1, 2):
        world.add_executor(f"i-{number}", run_s=lambda task: 300.0)
    await world.begin()
    for _number in range(4):
        await world.submit([PHASE])
    while len(world.runs) < 4:
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)
    lost: list[bytes] = []

    def late(document: dict) -> float | None:
        """Lose one answer: the write is carried out 5 s later."""
        for row in document.get("write") or []:
            value = base64.b64decode(row["value"])
            if (
                row["key"] == KEY
                and not lost
                and sum(json.loads(value).values())
            ):
                lost.append(value)
                world.record.note(f"store: {KEY} {value!r} gets no answer")
                return LATE_S
        return None

    if trouble:
        world.store.late = late
    await world.submit([PHASE])
    await asyncio.sleep(1.0)
    for _number in range(WAITING_JOBS - 1):
        await world.submit([PHASE])
    await asyncio.sleep(LATE_S + CALM_S)
    found = []
    for _second in range(10):
        for vm in world.vms:
            status, said = await world.call("GET", "/check/", vm=vm)
            if status == 200 and said["pending"] < WAITING_JOBS / 2:
                found.append(
                    f"MIXED: {vm.name} gives {said['pending']} pending jobs "
                    f"where {WAITING_JOBS} wait"
                )
        await asyncio.sleep(1.0)
    world.record.note(f"store: {KEY} is {world.store.value(KEY)!r}")
    return found


standins.main(play)
