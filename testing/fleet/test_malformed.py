"""Malformed entries, records and reports end no process and lose no work."""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

import pytest

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from standins import fleet_executors
from testing.fleet import scene as scene_module

GARBAGE = [
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b"{}",
    b'{"steps": 7}',
    b'{"state": "ready", "address": 7, "labels": 1}',
    b"\x78\x01not compressed",
]
JOB_ID = "f" * 16

KEYS = [
    "operator/wave/1",
    scene_module.EXECUTORS + "i-garbage",
    records.key(JOB_ID, records.SPEC),
    records.key(JOB_ID, records.PROGRESS),
    records.JOBS + "x",
]


@pytest.fixture(autouse=True)
def _strict_decoders(monkeypatch):
    """Report malformed entries as the platform's decoders do."""

    def strict(decode: abc.Callable) -> abc.Callable:
        def decoded(*arguments):
            try:
                return decode(*arguments)
            except (LookupError, TypeError, AttributeError) as error:
                raise ValueError(str(error)) from error

        return decoded

    schema = scene_module.STORE_SCHEMA
    monkeypatch.setattr(
        scene_module,
        "STORE_SCHEMA",
        dataclasses.replace(
            schema,
            decode_desired=strict(schema.decode_desired),
            decode_executor=strict(schema.decode_executor),
            decode_wave=strict(schema.decode_wave),
        ),
    )


async def _check_still_serving(scene) -> None:
    job_id, outcome = await scene.submit(
        scene.vms[0], scene_module.step(tasks=4)
    )
    assert outcome.unwrap() == job_id
    await scene.until_state(job_id, workflow.COMPLETED)


@pytest.mark.parametrize("key", KEYS)
def test_a_malformed_entry_of_another_writer_changes_nothing(monkeypatch, key):
    async def main(scene):
        await scene.open(vms=2, executors=2)
        for value in GARBAGE:
            await scene.store.external_write(key, value)
            await asyncio.sleep(0.2)
        await _check_still_serving(scene)
        await scene.add_executor("z-later", rack="r9")
        await scene.submit(
            scene.vms[0], scene_module.step(tasks=24), behaviour={"run_s": 3.0}
        )
        await scene.until(
            lambda: any(s[1] == "z-later" for s in scene.pool.starts),
            within_s=2.5,
        )
        survivor = scene.bystander()
        await scene.owner.kill()
        await scene.until(lambda: survivor.is_owner)
        scene.vms[:] = [survivor]
        await _check_still_serving(scene)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_malformed_desired_state_is_mended_by_the_next(monkeypatch):
    """The store checks desired states, so this needs a fault of its own."""

    async def main(scene):
        await scene.open(vms=2, executors=2)
        for value in GARBAGE:
            await scene.store.external_write(scene_module.CONFIG_KEY, value)
            await asyncio.sleep(0.2)
        _job_id, outcome = await scene.submit(
            scene.vms[0], scene_module.step()
        )
        assert isinstance(outcome.failure(), errors.DidNotRun)
        await scene.store.external_write(
            scene_module.CONFIG_KEY, scene_module.desired()
        )
        await asyncio.sleep(0.5)
        await _check_still_serving(scene)

    scene_module.run_on_virtual_time(main, monkeypatch)


RUNS = [
    model.RunStatus("", 0, "", 0),
    model.RunStatus("no.such", 1, "", 50),
    model.RunStatus(f"{JOB_ID}.0.0.0", 10**9, "x" * 5000, 1000, -5),
    model.RunStatus("....", -1, "", -1),
]
ENDS = [
    model.RunEnd(10**6, "", 0, "done", ""),
    model.RunEnd(10**6 + 1, "a.b.c.d", 1, "done", ""),
    model.RunEnd(10**6 + 2, f"{JOB_ID}.9.9.9", 1, "failed", ""),
    model.RunEnd(10**6 + 3, "....", -1, "no-such-outcome", ""),
]


def test_a_report_with_unknown_runs_and_ends_harms_no_work(monkeypatch):
    report = fleet_executors.FakeExecutorPool._report

    def with_garbage(self, found):
        whole = report(self, found)
        return model.Report(
            whole.clock_ms,
            whole.incarnation_ms,
            (*RUNS, *whole.runs),
            (*whole.ends, *ENDS),
        )

    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.vms[0],
            scene_module.step(tasks=4),
            behaviour={"run_s": 6.0},
        )
        await scene.until(lambda: len(scene.pool.starts) == 4)
        with monkeypatch.context() as patched:
            patched.setattr(
                fleet_executors.FakeExecutorPool, "_report", with_garbage
            )
            await asyncio.sleep(3.0)
        for executor in scene.pool.executors.values():
            executor.number = 2 * 10**6
        await scene.until_state(job_id, workflow.COMPLETED)
        assert [run.outcome for run in scene.runs_of(job_id)] == (
            [model.DONE] * 4
        )

    scene_module.run_on_virtual_time(main, monkeypatch)


ODD_RECORDS = [
    *GARBAGE,
    b'{"steps": [], "a": 1}',
    b"[" * 100_000,
    b'{"steps": [' + b"[" * 100_000,
]


@pytest.mark.parametrize("value", ODD_RECORDS, ids=lambda v: repr(v[:12]))
def test_an_odd_record_that_stays_keeps_no_other_job_back(monkeypatch, value):
    async def main(scene):
        await scene.open(vms=2, executors=2)
        for kind in (records.SPEC, records.PROGRESS, records.CANCEL):
            await scene.store.external_write(records.key(JOB_ID, kind), value)
        await _check_still_serving(scene)
        call = scene.call(JOB_ID, wait_s=0.5)
        shown = await scene.vms[0].node.job_api.state(call)
        assert isinstance(shown.failure(), errors.DidNotRun)
        survivor = scene.bystander()
        await scene.owner.kill()
        await scene.until(lambda: survivor.is_owner)
        scene.vms[:] = [survivor]
        await _check_still_serving(scene)

    scene_module.run_on_virtual_time(main, monkeypatch)
