"""Excess use of resources is throttled first, and stopped if it lasts."""

from __future__ import annotations

import asyncio

from standins import virtual_time
from testing.scheduling import cell as cell_module

WATCHED_S = 60.0


async def _run(*, ignore_throttle: bool) -> list[str]:
    """Return the distinct kinds of the worker's history, in order."""
    async with cell_module.Cell(nodes=1) as cell:
        worker = cell.workers["w2"]
        worker.faults.excess = 2.0
        worker.faults.ignore_throttle = ignore_throttle
        job_id = await cell.submit(cores_per_task=4)
        await cell.until(lambda: cell.state(job_id) == "running")
        await asyncio.sleep(WATCHED_S)
        kinds = [entry["kind"] for entry in worker.history]
        return list(dict.fromkeys(kinds[kinds.index("confirmed") :]))


def test_excess_is_throttled_and_the_gang_continues() -> None:
    kinds = virtual_time.run(_run(ignore_throttle=False))
    assert kinds == ["confirmed", "throttled"]


def test_excess_despite_the_throttle_is_stopped() -> None:
    kinds = virtual_time.run(_run(ignore_throttle=True))
    assert kinds[:2] == ["confirmed", "throttled"]
    assert "stopped" in kinds
