"""Cost of a scheduler take-over, and orders needed to start a gang."""

from __future__ import annotations

import asyncio
import time

from returns import result

import bench
from bench import worker_control
from knapweedwharf.adapters import directory as directory_module
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import model
from knapweedwharf.scheduling import gang as gang_module
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import roster as roster_module
from standins import in_process
from standins import virtual_time
from standins import worker_state

LIVE_JOBS = 178
TASKS_PER_JOB = 6
ENDED_JOBS = 1_000
GANG_SIZES = (1, 4, 16, 64)
MAX_PAGE_BYTES = 1_048_576


def _job(number: int) -> model.JobSpec:
    return model.JobSpec(
        job_id=f"job-{number}",
        account="cafe-altiplano",
        data_centre="dc",
        kind="fleet-audit",
        tasks=TASKS_PER_JOB,
        accelerators_per_task=1,
        cores_per_task=4,
        memory_mib_per_task=16_384,
    )


def _record(number: int, *, live: bool) -> engine_module.JobRecord:
    reason = model.Reason("placed", "Room was found." * 4, 1.5e9, 1_900)
    assignments = tuple(
        model.Assignment(task, f"rack-a-w{number % 136}", (task,), 4, 16_384)
        for task in range(TASKS_PER_JOB)
    )
    return engine_module.JobRecord(
        job=_job(number),
        state="running" if live else "finished",
        attempt_id=f"dc-7-{number}" if live else "",
        assignments=assignments if live else (),
        reasons=(reason,) * 5,
    )


async def _measure_takeover(factor: int) -> list[bench.Figure]:
    keys = in_process.StoreState()
    records = {
        record.job.job_id: record
        for number in range(factor * (LIVE_JOBS + ENDED_JOBS))
        for record in [_record(number, live=number < factor * LIVE_JOBS)]
    }
    store = in_process.InProcessStore(
        keys, in_process.SimulatedNetwork("former")
    )
    old_pages = pages_module.Pages(store=store, data_centre="dc", epoch=1)
    (await old_pages.take_over()).unwrap()
    written = await old_pages.write(range(pages_module.PAGE_COUNT), records)
    written.unwrap()
    link = in_process.SimulatedNetwork("new")
    keys.bytes_read = keys.bytes_written = 0
    started_s = time.process_time()
    new_pages = pages_module.Pages(
        store=in_process.InProcessStore(keys, link), data_centre="dc", epoch=2
    )
    loaded = (await new_pages.take_over()).unwrap()
    processor_s = time.process_time() - started_s
    assert loaded.keys() == records.keys()
    largest = max(len(entry.value) for entry in keys.entries.values())
    name = f"take-over at {factor}x"
    return [
        bench.Figure(f"{name}, store reads", link.calls["read"], "calls"),
        bench.Figure(f"{name}, store writes", link.calls["write"], "calls"),
        bench.Figure(f"{name}, read", keys.bytes_read / 1e6, "MB"),
        bench.Figure(f"{name}, written", keys.bytes_written / 1e6, "MB"),
        bench.Figure(f"{name}, processor time", processor_s * 1e3, "ms"),
        bench.Figure(
            name=f"{name}, largest page",
            value=largest / 1e6,
            unit="MB",
            target="at most 1.05",
            met=largest <= MAX_PAGE_BYTES,
        ),
    ]


async def _count_start_orders(size: int) -> bench.Figure:
    loop = asyncio.get_running_loop()
    workers = {
        f"w{number}": worker_state.Worker(
            worker_id=f"w{number}",
            rack="r",
            data_centre="dc",
            accelerators=1,
            cores=8,
            memory_mib=65_536,
            clock=loop.time,
        )
        for number in range(size)
    }
    link = in_process.SimulatedNetwork("vm")
    adapter = in_process.InProcessWorkers(workers, link)
    settings = worker_control.SETTINGS
    roster = roster_module.Roster(
        epoch=1, worker=adapter, settings=settings, report=lambda _report: None
    )
    await roster.open_sessions(
        directory_module.Vm(name, "worker", "dc", name) for name in workers
    )
    runner = gang_module.GangRunner(
        worker=adapter, settings=settings, epoch=1, roster=roster
    )
    assignments = tuple(
        model.Assignment(number, name, (0,), 1, 1)
        for number, name in enumerate(workers)
    )

    async def commit() -> result.Result:
        return result.Success(None)

    refusal = await runner.start(gang_module.Gang("a-1", assignments), commit)
    assert refusal is None
    await roster.close()
    orders = sum(link.calls[kind] for kind in ("hold", "start", "confirm"))
    return bench.Figure(f"start of {size} members", orders, "orders")


@bench.BENCHMARKS.register("recovery")
def recovery() -> list[bench.Figure]:
    """Measure take-overs at 1 and 4 times the plan, and gang starts."""
    figures = []
    for factor in (1, 4):
        figures += virtual_time.run(_measure_takeover(factor))
    for size in GANG_SIZES:
        figures.append(virtual_time.run(_count_start_orders(size)))
    return figures
