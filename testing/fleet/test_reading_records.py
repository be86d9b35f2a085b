"""A new owner reads all records over a slow or failing path."""

from __future__ import annotations

import asyncio

from knapweedwharf.core import workflow
from knapweedwharf.fleet import intake as intake_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import records
from knapweedwharf.fleet import watcher as watcher_module
from standins import fleet_store
from testing.fleet import scene as scene_module

SLOW_LINK_BYTES_PER_S = 625_000.0
"""5 Mbit/s, the slowest link of a deployment."""

MAX_JOBS_IN_ONE_PIECE = 50
"""A few milliseconds of work on half a core, far below a lease renewal."""

step = scene_module.step


def _job(number: int, *, specification: str = "{}") -> workflow.Job:
    return workflow.Job(
        job_id=f"{number:016x}",
        account="acme",
        service="pool",
        route="q",
        priority=1,
        specification=specification,
        steps=(step(),),
        submitted_s=scene_module.UNIX_AT_START_S,
        max_attempts=3,
    )


def _store_jobs(
    scene: scene_module.Scene, count: int, *, spec_bytes: int = 2
) -> None:
    """Store ended jobs that a new owner has to read."""
    specification = "{}".ljust(spec_bytes)
    for number in range(1000, 1000 + count):
        job = _job(number, specification=specification)
        ended = workflow.Workflow(job)
        ended.completed = True
        for kind, value in (
            (records.SPEC, records.dump_job(job)),
            (records.PROGRESS, records.dump_progress(ended)),
        ):
            scene.store.revision += 1
            scene.store.put(records.key(job.job_id, kind), value)


async def _complete_a_job(scene: scene_module.Scene, vm) -> None:
    job_id, _outcome = await scene.submit(vm, step())
    await scene.until_state(job_id, workflow.COMPLETED, vm=vm)


def test_an_owner_on_a_slow_link_reads_the_records(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        owner, other = scene.owner, scene.bystander()
        _store_jobs(scene, 300, spec_bytes=5000)
        other.store.path.bytes_per_s = SLOW_LINK_BYTES_PER_S
        await owner.kill()
        await scene.until(lambda: other.is_owner)
        await _complete_a_job(scene, other)
        assert other.node.election.ownership.epoch == 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_page_that_fails_is_repeated_alone(monkeypatch):
    async def main(scene):
        store = fleet_store.FakeStore(scene.store)
        scene._time = asyncio.create_task(scene.pool.run_forever())
        store.page_items, store.path.bytes_per_s = 10, 10_000.0
        for number in range(35):
            await scene.store.external_write(f"p/{number:02}", b"x")
        first_revision = scene.store.revision
        listings: list[model.Listing] = []
        changes: list[model.Changes] = []
        watcher = watcher_module.Watcher(
            store,
            "p/",
            wait_s=1.0,
            on_listing=listings.append,
            on_changes=changes.append,
        )
        await watcher.start()
        await scene.until(lambda: len(store.pages) == 2)
        store.path.cut_pages = 2
        await scene.store.external_write("p/00", b"y")
        await scene.until(lambda: listings and changes)
        await watcher.close()
        afters = [after for _prefix, after in store.pages]
        assert afters == ["", "p/09", "p/09", "p/09", "p/19", "p/29"]
        assert len(listings[0].items) == 35
        assert listings[0].revision == first_revision
        assert [item.value for item in changes[0].items] == [b"y"]

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_lost_history_confirms_nothing_until_it_is_listed(monkeypatch):
    async def main(scene):
        store = fleet_store.FakeStore(scene.store)
        scene._time = asyncio.create_task(scene.pool.run_forever())
        listings: list[model.Listing] = []
        watcher = watcher_module.Watcher(
            store,
            "p/",
            wait_s=1.0,
            on_listing=listings.append,
            on_changes=lambda _changes: None,
        )
        await watcher.start()
        await asyncio.sleep(0.5)
        store.path.refused = True
        scene.store.revision += 1
        scene.store.put("p/00", b"x")
        scene.store.compact_history()
        hidden_s = asyncio.get_running_loop().time()
        await scene.until(lambda: watcher.failures)
        store.path.refused, store.path.stalled = False, True
        for _check in range(200):
            await asyncio.sleep(0.01)
            now_s = asyncio.get_running_loop().time()
            assert watcher.age_s >= now_s - hidden_s
        store.path.stalled = False
        await scene.until(lambda: len(listings) == 2)
        assert watcher.age_s < 0.1
        await watcher.close()

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_other_work_continues_while_records_are_applied(monkeypatch):
    apply_records = intake_module.Intake._apply_records
    pieces = [0]

    def counted(self, job_id, kinds) -> None:
        if not pieces[-1]:
            asyncio.get_running_loop().call_soon(pieces.append, 0)
        pieces[-1] += 1
        apply_records(self, job_id, kinds)

    monkeypatch.setattr(intake_module.Intake, "_apply_records", counted)

    async def main(scene):
        await scene.open(vms=2, executors=1)
        owner, other = scene.owner, scene.bystander()
        _store_jobs(scene, 800)
        await owner.kill()
        await scene.until(lambda: other.is_owner)
        await _complete_a_job(scene, other)
        assert sum(pieces) >= 800
        assert max(pieces) <= MAX_JOBS_IN_ONE_PIECE

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_reading_ends_with_the_ownership(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        owner, other = scene.owner, scene.bystander()
        _store_jobs(scene, 300, spec_bytes=5000)
        other.store.path.bytes_per_s = SLOW_LINK_BYTES_PER_S
        other.store.page_items = 50
        await owner.kill()
        await scene.until(lambda: other.is_owner)
        await asyncio.sleep(0.5)
        other.node.election.withdrawn = True
        other.node.election.give_up("test")
        await asyncio.sleep(0.1)
        read = len(other.store.pages)
        await asyncio.sleep(2.0)
        jobs = [p for p in other.store.pages[read:] if p[0] == records.JOBS]
        assert not jobs

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_an_owner_that_cannot_read_the_records_hands_over(monkeypatch):
    async def main(scene):
        await scene.open(vms=4, executors=1)
        first = scene.owner
        rest = [vm for vm in scene.vms if vm is not first]
        for vm in rest:
            vm.store.path.stalled = True
        await first.kill()
        await scene.until(lambda: scene.owner is not None)
        stuck = scene.owner
        for vm in rest:
            vm.store.path.stalled = vm is stuck
        await scene.until(lambda: scene.owner not in (None, stuck))
        await _complete_a_job(scene, scene.owner)
        assert not stuck.is_owner

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_vm_that_handed_over_does_not_compete_at_once(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        election = scene.owner.node.election
        pause_s = 2 * scene_module.BOUNDS.owner_lease_s
        began_s = asyncio.get_running_loop().time()
        election.step_down("test", pause_s)
        await scene.until(lambda: election.is_owner)
        assert asyncio.get_running_loop().time() - began_s >= pause_s
        await _complete_a_job(scene, scene.vms[0])

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_single_vm_tries_again_until_it_can_read(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        vm = scene.vms[0]
        vm.store.path.stalled = True
        vm.node.election.step_down("test", 0.0)
        await scene.until(lambda: vm.node.election.is_owner)
        await scene.until(lambda: not vm.node.election.is_owner)
        await asyncio.sleep(20.0)
        vm.store.path.stalled = False
        await _complete_a_job(scene, vm)

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_single_vm_reads_more_than_its_first_limit_allows(monkeypatch):
    async def main(scene):
        await scene.open(vms=1, executors=1)
        vm = scene.vms[0]
        _store_jobs(scene, 40, spec_bytes=100_000)
        vm.store.path.bytes_per_s = 300_000.0
        vm.node.election.step_down("test", 0.0)
        await scene.until(lambda: vm.is_owner)
        flows = vm.node.tenure.scheduling_state.workflows
        assert not flows
        await scene.until(
            lambda: vm.node.tenure is not None
            and len(vm.node.tenure.scheduling_state.workflows) == 40,
            within_s=120.0,
        )
        assert vm.node.election.ownership.epoch > 2

    scene_module.run_on_virtual_time(main, monkeypatch)


def test_a_job_whose_records_do_not_match_is_left_out(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        owner, other = scene.owner, scene.bystander()
        job = _job(1000)
        flow = workflow.Workflow(job)
        for part in flow.release_ready_parts(0.0):
            part.run = 1
        spec = records.dump_ended_job(job)
        for kind, value in (
            (records.SPEC, spec),
            (records.PROGRESS, records.dump_progress(flow)),
        ):
            scene.store.revision += 1
            scene.store.put(records.key(job.job_id, kind), value)
        await owner.kill()
        await scene.until(lambda: other.is_owner)
        await _complete_a_job(scene, other)

    scene_module.run_on_virtual_time(main, monkeypatch)
