"""A task that raises an unexpected error is told of and runs again."""

from __future__ import annotations

import asyncio

import pytest
from returns import result
import structlog

from knapweedwharf.core import workflow
from knapweedwharf.fleet import background
from knapweedwharf.fleet import model
from knapweedwharf.fleet import progress_writer
from knapweedwharf import metrics
from standins import fleet_executors
from standins import fleet_store
from standins import virtual_time
from testing.fleet import scene as scene_module


class _Failing(background.Background):
    """Fails some times, then ends.

    :ivar runs: number of runs begun.
    """

    def __init__(self, failures: list[Exception]) -> None:
        self.runs = 0
        self._failures = failures

    async def _run(self) -> None:
        self.runs += 1
        await asyncio.sleep(0.01)
        if self._failures:
            raise self._failures.pop(0)


def _broken(lines: list[dict]) -> list[dict]:
    return [line for line in lines if line["event"] == "task-broken"]


def test_a_task_that_raises_runs_again():
    async def main():
        task = _Failing([KeyError("a"), OverflowError("b")])
        await task.start()
        await asyncio.sleep(5.0)
        assert task.runs == 3
        await task.close()

    with structlog.testing.capture_logs() as lines:
        virtual_time.run(main())
    assert [line["task"] for line in _broken(lines)] == ["_Failing"] * 2


def test_a_task_that_always_raises_the_same_is_told_of_once():
    async def main():
        task = _Failing([KeyError("a")] * 1_000)
        await task.start()
        await asyncio.sleep(60.0)
        assert 30 < task.runs < 200
        await task.close()

    with structlog.testing.capture_logs() as lines:
        virtual_time.run(main())
    assert len(_broken(lines)) == 1


def test_an_error_while_writing_progress_loses_no_record(monkeypatch):
    async def main():
        store = fleet_store.FakeStore(fleet_store.StoreState())
        stored = []
        writer = progress_writer.ProgressWriter(
            store=store,
            epoch_revision=0,
            dump=lambda job_id: job_id.encode(),
            on_fenced=lambda: None,
            sender=metrics.Metrics(None),
        )
        commit = store.commit
        errors = [KeyError("revision"), TypeError()]

        async def fail_at_first(*arguments, **fields) -> result.Result:
            if errors:
                raise errors.pop(0)
            return await commit(*arguments, **fields)

        monkeypatch.setattr(store, "commit", fail_at_first)
        await writer.start()
        writer.mark_dirty("a", lambda: stored.append("a"))
        await asyncio.sleep(5.0)
        assert stored == ["a"]
        assert not writer.unstored_jobs
        await writer.close()

    virtual_time.run(main())


CALLS = [
    (fleet_store.FakeStore, "watch"),
    (fleet_store.FakeStore, "list_page"),
    (fleet_store.FakeStore, "commit"),
    (fleet_store.FakeStore, "read"),
    (fleet_store.FakeStore, "renew"),
    (fleet_executors.FakeExecutorPool, "renew"),
    (fleet_executors.FakeExecutorPool, "start"),
]


@pytest.mark.parametrize("owner, name", CALLS, ids=lambda v: str(v)[-12:])
@pytest.mark.parametrize("error", [OverflowError, TypeError])
def test_calls_that_raise_for_a_while_stop_nothing_for_good(
    monkeypatch, owner, name, error
):
    async def main(scene):
        await scene.open(vms=2, executors=2)
        await scene.submit(
            scene.owner, scene_module.step(tasks=4), behaviour={"run_s": 1.0}
        )

        async def broken(*_arguments, **_fields):
            raise error("an odd value")

        with monkeypatch.context() as patched:
            patched.setattr(owner, name, broken)
            await asyncio.sleep(4.0)
        await scene.until(lambda: scene.owner is not None)
        await asyncio.sleep(3.0)
        await scene.add_executor("x-later", rack="r9")
        job_id, outcome = await scene.submit(
            scene.owner, scene_module.step(tasks=40), behaviour={"run_s": 1.0}
        )
        assert outcome.unwrap() == job_id
        await scene.until_state(job_id, workflow.COMPLETED)
        assert {start[1] for start in scene.pool.starts} == {
            "e0",
            "e1",
            "x-later",
        }
        ended = [run.outcome for run in scene.runs_of(job_id)]
        assert ended.count(model.DONE) == 40

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_executor_whose_renewals_always_raise_counts_as_lost(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=2)
        job_id, _outcome = await scene.submit(
            scene.owner, scene_module.step(tasks=16), behaviour={"run_s": 9.0}
        )
        await scene.until(lambda: len(scene.pool.starts) == 16)
        renew = fleet_executors.FakeExecutorPool.renew

        async def broken(self, executor, **fields):
            if executor.executor_id == "e0":
                raise OverflowError("an odd value")
            return await renew(self, executor, **fields)

        monkeypatch.setattr(fleet_executors.FakeExecutorPool, "renew", broken)
        with structlog.testing.capture_logs() as lines:
            await scene.until_state(job_id, workflow.COMPLETED, within_s=60.0)
        told = [line for line in lines if line["event"] == "renewal-broken"]
        assert len(told) <= 3
        done = [r for r in scene.runs_of(job_id) if r.outcome == model.DONE]
        assert {run.executor_id for run in done} == {"e1"}

    scene_module.run_on_virtual_time(main, monkeypatch)
