"""What callers get in the seconds after an outage of the store."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

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

    async def watch(self, prefix: str, *, margin_s=None, **fields):
        """Wait for changes; give up an answer that is too late."""
        seen = await super().watch(prefix, margin_s=margin_s, **fields)
        if margin_s is None:
            margin_s = fleet_store.WATCH_MARGIN_S
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
