"""Requests to evacuate a data centre, and what was started there since."""

from __future__ import annotations

import asyncio
import dataclasses

from testing.fleet import entries
from testing.fleet import scene as scene_module

EVACUATION_S = 5.0
BOUNDS = dataclasses.replace(scene_module.BOUNDS, evacuation_s=EVACUATION_S)

KNOWN_WITHIN_S = 0.2
"""A request reaches a VM that is in touch in a few milliseconds, and a start
that was sent before begins as fast."""


async def evacuate(scene, data_centre: str, value: bytes = b"{}") -> float:
    """Ask for an evacuation; return when the store acknowledged that."""
    await scene.store.external_write(entries.EVACUATIONS + data_centre, value)
    return asyncio.get_running_loop().time()


async def lift(scene, data_centre: str) -> float:
    """Remove the request; return when the store acknowledged that."""
    await scene.store.external_remove(entries.EVACUATIONS + data_centre)
    return asyncio.get_running_loop().time()


async def add_executors(scene, data_centre: str, count: int, **fields) -> None:
    """Add executors, named after their data centre."""
    for number in range(count):
        await scene.add_executor(
            f"{data_centre}-{number}",
            rack=f"{data_centre}-r{number // 2}",
            data_centre=data_centre,
            **fields,
        )


def starts_in(
    scene, data_centre: str, *, after_s: float = 0.0
) -> list[tuple[float, str, tuple[str, int]]]:
    """Return the starts on the executors of a data centre."""
    return [
        start
        for start in scene.pool.starts
        if start[0] > after_s and start[1].startswith(f"{data_centre}-")
    ]


async def open_scene(
    scene, *, vms: int = 2, executors: int = 2, **fields
) -> None:
    """Open a scene with data centres north and south, both usable."""
    await add_executors(scene, "north", executors)
    await add_executors(scene, "south", executors)
    await scene.open(vms=vms, executors=0, **fields)


@dataclasses.dataclass
class Job:
    """A job that was submitted."""

    job_id: str
    tasks: int


async def submit(
    scene, *, tasks: int = 1, run_s: float = 1.0, vm=None, **fields
) -> Job:
    """Submit a job of tasks that take an executor each.

    :param run_s: how long they run.
    """
    behaviour = {"run_s": run_s, **fields.pop("behaviour", {})}
    fields = {"accelerators": 8, "expected_run_s": run_s, **fields}
    job_id, _outcome = await scene.submit(
        vm or scene.vms[0],
        scene_module.step(tasks=tasks, **fields),
        behaviour=behaviour,
    )
    return Job(job_id, tasks)
