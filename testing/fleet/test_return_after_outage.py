"""What callers get in the seconds after an outage of the store."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.core import workflow
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf.fleet import watcher as watcher_module
from standins import fleet_store
from testing.fleet import scene as scene_module

step = scene_module.step

USUAL_DEADLINE_S = 3.0
SERVED_AGAIN_S = USUAL_DEADLINE_S / 2
"""A call that the end of the outage finds refused has time for another."""


def _set_silent(scene, silent: bool) -> None:
    for vm in scene.vms:
        vm.store.path.silent = silent
    if silent:
        scene.store.suspend_lease_expiry()
    else:
        scene.store.resume_lease_expiry()


@pytest.mark.parametrize("outage_s", [2.0, 3.1, 4.2, 5.0, 6.3, 9.0])
def test_all_vms_accept_jobs_soon_after_an_outage(monkeypatch, outage_s):
    async def main(scene):
        await scene.open(vms=6, executors=2)
        _set_silent(scene, True)
        await asyncio.sleep(outage_s)
        _set_silent(scene, False)
        await asyncio.sleep(SERVED_AGAIN_S)
        for vm in scene.vms:
            _job_id, outcome = await scene.submit(vm, step())
            assert isinstance(outcome, result.Success), outcome

    scene_module.run_on_virtual_time(main, monkeypatch)


class _SlowStore(fleet_store.FakeStore):
    """A store whose answers to watches are late.

    :ivar late_s: how late they are.
    """

    late_s = 0.0

    async def watch(
        self, prefix: str, *, margin_s=fleet_store.WATCH_MARGIN_S, **fields
    ):
        """Wait for changes; give up an answer that is too late."""
        seen = await super().watch(prefix, margin_s=margin_s, **fields)
        await asyncio.sleep(min(self.late_s, margin_s))
        if self.late_s > margin_s:
            return result.Failure(fleet_store.UNKNOWN)
        return seen


def test_a_store_that_has_become_slow_is_heard_after_an_outage(monkeypatch):
    async def main(scene):
        scene._time = asyncio.create_task(scene.pool.run_forever())
        store = _SlowStore(scene.store)
        heard: list[model.Changes] = []
        watcher = watcher_module.Watcher(
            store,
            "p/",
            wait_s=1.0,
            on_listing=lambda _listing: None,
            on_changes=heard.append,
        )
        await watcher.start()
        await asyncio.sleep(0.5)
        store.path.silent = True
        await asyncio.sleep(4.0)
        store.path.silent, store.late_s = False, 0.6
        await scene.store.external_write("p/0", b"x")
        await scene.until(lambda: heard, within_s=USUAL_DEADLINE_S)
        await watcher.close()

    scene_module.run_on_virtual_time(main, monkeypatch)


class _Callers:
    """Callers of two kinds, who compete for one pool.

    Previews are gangs of the first priority; batches of many tasks fill
    what room they find. Each caller tries for 3 s, as it is told.

    :ivar previews: ids of the previews that were accepted.
    """

    PREVIEW = step(tasks=5, is_gang=True, expected_run_s=2.0)
    BATCH = step(tasks=39, expected_run_s=6.0)

    def __init__(self, scene) -> None:
        self._scene = scene
        self._tasks: list[asyncio.Task] = []
        self.previews: list[str] = []

    def batch(self, vm) -> None:
        """Let a caller submit a batch."""
        self._spawn(vm, scene_module.PREFIX, self.BATCH, {"run_s": 6.0})

    def preview(self, vm) -> None:
        """Let a caller submit a preview."""
        ran = {"run_s": 2.0, "gang": 5}
        self._spawn(vm, scene_module.URGENT_PREFIX, self.PREVIEW, ran)

    def _spawn(self, vm, prefix, wanted, behaviour) -> None:
        work = self._submit(vm, prefix, wanted, behaviour)
        self._tasks.append(asyncio.create_task(work))

    async def _submit(self, number, prefix, wanted, behaviour) -> None:
        vms = self._scene.vms
        begun_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < begun_s + USUAL_DEADLINE_S:
            job_id, outcome = await self._scene.submit(
                vms[number % len(vms)],
                wanted,
                prefix=prefix,
                behaviour=behaviour,
            )
            if isinstance(outcome, result.Success):
                if wanted is self.PREVIEW:
                    self.previews.append(job_id)
                return
            number += 1
            fault = outcome.failure()
            if isinstance(fault, errors.DidNotRun):
                await asyncio.sleep(fault.retry_after_s)

    async def close(self) -> None:
        """Wait for all callers."""
        await asyncio.gather(*self._tasks)


@pytest.mark.parametrize("takes_over", [False, True])
def test_callers_that_were_refused_find_room_after_an_outage(
    monkeypatch, takes_over
):
    """Batches that waited don't fill the pool before the previews return.

    The work that ran has ended when the store is back, so all room is free.
    Work is stopped for the callers that the outage has added at most, not
    for as many as usual.
    """

    refused = 4

    async def main(scene):
        await scene.open(vms=4, executors=16, slowdown=3.0)
        callers = _Callers(scene)
        for number in range(24):
            callers.preview(number)
            await asyncio.sleep(0.5)
        for number in range(6):
            callers.batch(number)
        await asyncio.sleep(0.1)
        _set_silent(scene, True)
        await asyncio.sleep(3.0)
        for number in range(refused):
            callers.preview(number)
            await asyncio.sleep(0.25)
        if takes_over:
            scene.store.resume_lease_expiry()
            await asyncio.sleep(4.0)
            scene.store.suspend_lease_expiry()
        _set_silent(scene, False)
        for number in range(8):
            callers.preview(number)
            await asyncio.sleep(0.5)
        await callers.close()
        for job_id in callers.previews:
            await scene.until_state(job_id, workflow.COMPLETED)
        stopped = [r for r in scene.pool.ended_runs if r.outcome == "stopped"]
        assert len(stopped) <= refused * callers.PREVIEW.tasks

    scene_module.run_on_virtual_time(main, monkeypatch)
