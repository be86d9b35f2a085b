"""Workers that a new owner cannot reach, short VM lists and large pages.

A former owner that has lost the store may still renew the leases of a
worker that the new owner cannot reach. The new owner must have sealed most
workers, and waited, before it counts those leases as lapsed.
"""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import model
from knapweedwharf.scheduling import pages as pages_module
from knapweedwharf.scheduling import retention
from knapweedwharf.scheduling import roster as roster_module
from standins import in_process
from standins import virtual_time
from testing.scheduling import cell as cell_module

REFUSED = in_process.DeliveryOutcome.REFUSED
DELIVERED = in_process.DeliveryOutcome.DELIVERED


async def _unreachable_worker() -> None:
    async with cell_module.Cell() as cell:
        first, second = cell.nodes
        job_id = await cell.submit(tasks=2)
        await cell.until(lambda: cell.state(job_id) == "running")
        ((former, members),) = cell.live_attempts().items()
        unreachable = max(members)
        second.worker_link.decide_outcome = lambda call: (
            REFUSED if call.target == unreachable else DELIVERED
        )
        first.store_link.decide_outcome = lambda _call: REFUSED
        await cell.until(lambda: cell.live_attempts().keys() - {former})
        # A new attempt must not start before the former one has ended.
        assert former not in cell.live_attempts()
        await asyncio.sleep(600)
        assert [len(names) for names in cell.live_attempts().values()] == [2]


def test_an_unreachable_worker_lapses_after_its_leases() -> None:
    virtual_time.run(_unreachable_worker())


def test_without_the_wait_two_attempts_run_at_once(monkeypatch) -> None:
    monkeypatch.setattr(
        roster_module.Roster,
        "_lapsed_by_now",
        lambda self, member: member.state != "silent",
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_unreachable_worker())


async def _leaving() -> None:
    async with cell_module.Cell(nodes=1) as cell:
        role = cell.nodes[0].role
        await cell.until(lambda: role.active)
        listed = cell_module.role_module.VmsListed
        role.post(listed(cell.vms()[:1]))
        await asyncio.sleep(5)
        assert not any(m.leaving for m in role.tenure.roster.members.values())
        role.post(listed(cell.vms()[:2]))
        await asyncio.sleep(5)
        assert role.tenure.roster.members["w3"].leaving
        job_id = await cell.submit(tasks=3)
        await asyncio.sleep(30)
        assert cell.state(job_id) != "running"


def test_a_list_is_ignored_only_if_it_lost_most_workers() -> None:
    virtual_time.run(_leaving())


def _record(number: int, ended_s: float) -> engine_module.JobRecord:
    job = model.JobSpec(
        job_id=f"job-{number}",
        account="a",
        data_centre="dc",
        kind="k" * 2_500,
        tasks=1,
        accelerators_per_task=1,
        cores_per_task=1,
        memory_mib_per_task=1,
    )
    state = "finished" if ended_s else "queued"
    return engine_module.JobRecord(job=job, state=state, ended_s=ended_s)


async def _large_pages() -> tuple[int, set[str]]:
    keys = in_process.StoreState()
    store = in_process.InProcessStore(keys, in_process.SimulatedNetwork("vm"))
    pages = pages_module.Pages(store=store, data_centre="dc", epoch=1)
    (await pages.take_over()).unwrap()
    records = {
        record.job.job_id: record
        for number in range(5_000)
        for record in [_record(number, float(number % 2 and number))]
    }
    all_pages = range(pages_module.PAGE_COUNT)
    (await pages.write(all_pages, records)).unwrap()
    entries = list(keys.entries.values())
    kept = pages_module.decode(entries)
    largest = max(len(entry.value) for entry in entries)
    lost = records.keys() - kept.keys()
    return largest, {records[job_id].state for job_id in lost}


def test_a_page_drops_ended_jobs_before_it_is_too_large() -> None:
    largest, lost_states = virtual_time.run(_large_pages())
    assert lost_states == {"finished"}
    assert largest <= 1_048_576


def test_retention_bounds_age_and_count() -> None:
    records = [_record(number, 100.0 + number) for number in range(1, 6)]
    settings = dataclasses.replace(
        cell_module.SETTINGS, job_retention_s=10.0, job_retention_count=2
    )
    gone = retention.expired(records, settings=settings, now_s=114.0)
    assert gone == ["job-3", "job-2", "job-1"]
