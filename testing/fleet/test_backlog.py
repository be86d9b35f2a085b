"""Accepted jobs and the memory of the VM that holds them all."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import backlog
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import job_api
from knapweedwharf.fleet import open_parts
from knapweedwharf.fleet import records
from knapweedwharf.fleet import retention
from knapweedwharf.fleet import retry_after
from testing.fleet import scene as scene_module

CONTROL_BYTES = 64_000_000
"""What a VM may spend for control, see docs/CAPACITY.md."""

TASKS = 10_000
"""The most that one job may have."""

MANY_JOBS = 60
SPECIFICATION = '{"run_s": 0.3}'


class _Memory:
    """What Python has allocated since it was created."""

    def __init__(self) -> None:
        tracemalloc.start()
        self._before = tracemalloc.get_traced_memory()[0]

    def grown(self) -> int:
        return tracemalloc.get_traced_memory()[0] - self._before

    def close(self) -> None:
        tracemalloc.stop()


@pytest.fixture(name="memory")
def _memory():
    memory = _Memory()
    yield memory
    memory.close()


def _wide(**fields) -> workflow.Step:
    return scene_module.step(
        tasks=TASKS, accelerators=1, expected_run_s=1.0, **fields
    )


async def _submit(scene, vm, *steps, key="key"):
    """Submit a job; return its id and the outcome."""
    scene._next_id += 1
    job_id = f"{scene._next_id:016x}"
    outcome = await vm.node.job_api.submit(
        scene.call(job_id, key=key),
        specification=SPECIFICATION,
        steps=steps,
    )
    return job_id, outcome


def _is_refused(outcome) -> bool:
    return isinstance(outcome.swap().value_or(None), errors.DidNotRun)


async def _store_jobs(scene, count: int, *steps, **fields) -> list[str]:
    """Store jobs as an earlier owner has accepted them."""
    job_ids = [f"{number:016x}" for number in range(1, count + 1)]
    for job_id in job_ids:
        job = workflow.Job(
            job_id=job_id,
            account="acme",
            service="pool",
            route="q",
            specification=SPECIFICATION,
            steps=steps,
            submitted_s=clock.unix_s(),
            **fields,
        )
        await scene.store.external_write(
            records.key(job_id, records.SPEC), records.dump_job(job)
        )
    return job_ids


@pytest.mark.parametrize("is_gang", [False, True])
def test_stored_jobs_of_many_tasks_fit_the_memory_of_their_owner(
    monkeypatch, memory, is_gang
):
    """One such job took 33 MB, and an owner read all of them."""

    async def main(scene):
        await _store_jobs(scene, MANY_JOBS, _wide(is_gang=is_gang))
        await scene.open(vms=1, executors=2)
        await asyncio.sleep(5.0)
        assert memory.grown() < CONTROL_BYTES

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_stored_jobs_that_wait_beyond_the_open_parts_are_all_done(
    monkeypatch,
):
    """Their tasks are opened as others are placed and end."""
    monkeypatch.setattr(open_parts, "MAX_OPEN_TASKS", 20)
    monkeypatch.setattr(open_parts, "MAX_WAITING_PARTS", 8)

    async def main(scene):
        job_ids = await _store_jobs(scene, 5, scene_module.step(tasks=50))
        await scene.open(vms=1, executors=4)
        state = scene.owner.node.tenure.scheduling_state
        for job_id in job_ids:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
            open_tasks = sum(f.open_tasks for f in state.workflows.values())
            assert open_tasks <= 20 + len(job_ids)
        assert len(scene.pool.starts) == 5 * 50
        await asyncio.sleep(retention.SHRINK_AFTER_S + retention.INTERVAL_S)
        assert not any(f.parts for f in state.workflows.values())
        assert not scene.owner.node.tenure._decider.engines["pool"].records

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_take_over_keeps_what_is_not_open_yet(monkeypatch):
    monkeypatch.setattr(open_parts, "MAX_WAITING_PARTS", 8)

    async def main(scene):
        (job_id,) = await _store_jobs(
            scene,
            1,
            scene_module.step(tasks=60),
            scene_module.step(after=(0,)),
        )
        await scene.open(vms=2, executors=1)
        await scene.until(lambda: len(scene.pool.starts) >= 20)
        owner = scene.owner
        await owner.kill()
        scene.vms.remove(owner)
        await scene.until_state(job_id, workflow.COMPLETED, within_s=60)
        assert len(scene.runs_of(job_id)) == 61

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_repetitions_that_are_due_at_once_fit_the_memory_of_their_owner(
    monkeypatch, memory
):
    async def main(scene):
        await _store_jobs(
            scene,
            12,
            scene_module.step(),
            repetitions=TASKS,
            first_run_s=clock.unix_s() - TASKS,
            interval_s=1.0,
        )
        await scene.open(vms=1, executors=2)
        await asyncio.sleep(5.0)
        assert memory.grown() < CONTROL_BYTES

    scene_module.run_on_virtual_time(main, monkeypatch)


def _refused(outcome) -> errors.BacklogFull | None:
    fault = outcome.swap().value_or(None)
    return fault if isinstance(fault, errors.BacklogFull) else None


async def _fill(scene, *, seconds: int) -> list:
    """Submit wide jobs of one account to all VMs; return the outcomes."""
    outcomes = []
    for number in range(10 * seconds):
        vm = scene.vms[number % len(scene.vms)]
        _job_id, outcome = await _submit(scene, vm, _wide())
        outcomes.append(outcome)
        await asyncio.sleep(0.1)
    return outcomes


def test_an_account_that_fills_the_backlog_is_refused_on_every_vm(
    monkeypatch,
):
    """Its neighbours aren't, and nothing of what was refused is stored."""

    async def main(scene):
        await scene.open(vms=3, executors=2, others=["birch"])
        outcomes = await _fill(scene, seconds=12)
        accepted = [o for o in outcomes if not _is_refused(o)]
        assert 1 < len(accepted) < 12
        for vm in scene.vms:
            job_id, outcome = await _submit(scene, vm, _wide())
            fault = _refused(outcome)
            assert 1 <= fault.retry_after_s <= 1.5 * retry_after.MAX_S
            key = records.key(job_id, records.SPEC)
            assert key not in scene.store.items
            for _job in range(5):
                _id, outcome = await _submit(
                    scene, vm, scene_module.step(), key="birch"
                )
                assert not _is_refused(outcome)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_vm_that_has_just_started_knows_that_the_backlog_is_full(
    monkeypatch,
):
    async def main(scene):
        await scene.open(vms=2, executors=2, others=["birch"])
        await _fill(scene, seconds=12)
        late = scene_module.Vm("vm-late", scene)
        scene.vms.append(late)
        await late.node.start()
        await scene.until(lambda: late.node.desired.current is not None)
        _job_id, outcome = await _submit(scene, late, _wide())
        assert _refused(outcome)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_backlog_that_has_become_smaller_takes_jobs_again(monkeypatch):
    """Cancelled jobs free what they took at once."""

    async def main(scene):
        await scene.open(vms=2, executors=2, others=["birch"])
        await _fill(scene, seconds=12)
        state = scene.owner.node.tenure.scheduling_state
        for job_id in list(state.workflows):
            await scene.vms[0].node.job_api.cancel(scene.call(job_id))
        await asyncio.sleep(3.0)
        _job_id, outcome = await _submit(scene, scene.vms[1], _wide())
        assert not _is_refused(outcome)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_submission_that_is_stored_already_is_not_refused(monkeypatch):
    """The answer to its first call was lost, and the backlog has filled."""

    async def main(scene):
        await scene.open(vms=2, executors=2, others=["birch"])
        job_id, _outcome = await _submit(scene, scene.vms[0], _wide())
        await _fill(scene, seconds=12)
        again = await scene.vms[1].node.job_api.submit(
            scene.call(job_id), specification="{}", steps=(_wide(),)
        )
        assert again.unwrap() == job_id

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_in_an_outage_of_the_store_submissions_are_refused_at_once(
    monkeypatch,
):
    """Each of them waited for the published backlog first."""

    async def main(scene):
        await scene.open(vms=1, executors=1)
        scene.vms[0].store.path.silent = True
        await asyncio.sleep(job_api.STORE_SUSPECT_S + 0.3)
        began_s = clock.elapsed_s()
        _id, outcome = await _submit(scene, scene.vms[0], scene_module.step())
        assert _is_refused(outcome)
        assert clock.elapsed_s() - began_s < 0.01

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_full_backlog_asks_callers_back_when_enough_is_freed():
    known = backlog.Backlog({"acme": backlog.LIMIT_BYTES}, 1_000_000.0)
    excess = known.excess("acme", 3_000_000, accounts=2)
    assert known.wait_s(excess) == 3.0
    assert not known.excess("birch", 3_000_000, accounts=2)
    assert not known.with_added("birch", 1_000).excess(
        "birch", 3_000_000, accounts=2
    )
