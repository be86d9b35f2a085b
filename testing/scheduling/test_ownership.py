"""Change of owner, paused owners and an unreachable store.

Most checks run twice: as built, and with the tested mechanism disabled,
where the same check must fail.
"""

from __future__ import annotations

import asyncio

import pytest

from knapweedwharf.scheduling import recovery as recovery_module
from knapweedwharf.scheduling import roster as roster_module
from standins import in_process
from standins import virtual_time
from standins import worker_state
from testing.scheduling import cell as cell_module

REFUSED = in_process.DeliveryOutcome.REFUSED
DELIVERED = in_process.DeliveryOutcome.DELIVERED


def _disconnect_store(node) -> None:
    node.store_link.decide_outcome = lambda _call: REFUSED


def _reconnect_store(node) -> None:
    node.store_link.decide_outcome = lambda _call: DELIVERED


async def _paused_owner() -> None:
    async with cell_module.Cell() as cell:
        first, second = cell.nodes
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "running")
        first.pause()
        await cell.until(lambda: second.role.active)
        await cell.until(lambda: cell.state(job_id) == "running")
        # The paused owner sends a stop as soon as it resumes.
        attempt_id = next(iter(cell.live_attempts()))
        first.role.tenure._orders.stop(attempt_id, checkpoint=False)
        first.resume()
        await asyncio.sleep(600)
        cell.check_settled(job_id)
        assert list(cell.live_attempts()) == [attempt_id]
        assert not first.role.active


def test_late_orders_of_a_paused_owner_are_refused() -> None:
    virtual_time.run(_paused_owner())


def test_without_epochs_a_late_order_takes_effect(monkeypatch) -> None:
    monkeypatch.setattr(
        worker_state.Worker, "adopt_epoch", lambda self, epoch: None
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_paused_owner())


async def _late_renewal() -> None:
    async with cell_module.Cell(nodes=1) as cell:
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "running")
        worker = cell.workers["w2"]
        asked = {
            "as_of_s": worker.clock(),
            "lease_s": 180.0,
            "release": [],
        }
        await cell.nodes[0].crash()
        await asyncio.sleep(170)
        worker.renew_leases(worker.epoch, asked)
        await asyncio.sleep(60)
        assert not cell.live_attempts()


def test_a_late_renewal_extends_nothing() -> None:
    virtual_time.run(_late_renewal())


def test_without_the_worker_clock_a_late_renewal_extends(monkeypatch) -> None:
    extend = worker_state.Worker.renew_leases

    def from_arrival(self, epoch: int, asked: dict) -> None:
        extend(self, epoch, {**asked, "as_of_s": self.clock()})

    monkeypatch.setattr(worker_state.Worker, "renew_leases", from_arrival)
    with pytest.raises(AssertionError):
        virtual_time.run(_late_renewal())


async def _ended_between_owners() -> None:
    async with cell_module.Cell() as cell:
        job_id = await cell.submit(declared_run_s=5.0)
        await cell.until(lambda: cell.state(job_id) == "running")
        await cell.nodes[0].crash()
        await cell.until(lambda: not cell.live_attempts())
        await cell.until(lambda: cell.state(job_id) == "finished")
        starts = [
            entry
            for entry in cell.workers["w1"].history
            if entry["kind"] == "started"
        ]
        assert len(starts) == 1


def test_tasks_that_end_between_owners_are_learned() -> None:
    virtual_time.run(_ended_between_owners())


def test_without_outcomes_the_gang_runs_twice(monkeypatch) -> None:
    document = worker_state.Attempt.to_document
    monkeypatch.setattr(
        worker_state.Attempt,
        "to_document",
        lambda self: {**document(self), "outcomes": []},
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_ended_between_owners())


async def _stop_interrupted() -> None:
    async with cell_module.Cell() as cell:
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "running")
        for worker in cell.workers.values():
            worker.faults.ignore_stop = True
        await cell.cancel(job_id)
        await cell.until(lambda: cell.state(job_id) == "stopping")
        await asyncio.sleep(1)
        await cell.nodes[0].crash()
        for worker in cell.workers.values():
            worker.faults.ignore_stop = False
        await cell.until(lambda: cell.state(job_id) == "cancelled")
        assert not cell.live_attempts()


def test_an_interrupted_stop_is_completed() -> None:
    virtual_time.run(_stop_interrupted())


def test_without_recovery_a_job_stays_in_stopping(monkeypatch) -> None:
    monkeypatch.setattr(
        recovery_module.Recovery, "decide", lambda self, ready, **_options: []
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_stop_interrupted())


async def _stop_ignored() -> None:
    async with cell_module.Cell(nodes=1) as cell:
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "running")
        cell.workers["w2"].faults.ignore_stop = True
        await cell.cancel(job_id)
        await cell.until(lambda: cell.state(job_id) == "cancelled")
        assert not cell.live_attempts()


def test_a_worker_that_ignores_the_stop_is_not_renewed() -> None:
    virtual_time.run(_stop_ignored())


def test_without_withholding_an_ignored_stop_runs_on(monkeypatch) -> None:
    monkeypatch.setattr(
        roster_module.Roster, "withhold", lambda *_arguments: None
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_stop_ignored())


async def _lost_worker() -> None:
    async with cell_module.Cell(nodes=1) as cell:
        job_id = await cell.submit(tasks=2, accelerators_per_task=2)
        await cell.until(lambda: cell.state(job_id) == "running")
        lost = sorted(next(iter(cell.live_attempts().values())))[0]
        cell.workers[lost].faults.frozen = True
        await cell.until(
            lambda: any(
                lost not in names and len(names) == 2
                for names in cell.live_attempts().values()
            )
        )
        cell.workers[lost].faults.frozen = False
        await cell.until(lambda: cell.state(job_id) == "running")
        await asyncio.sleep(600)
        assert [len(names) for names in cell.live_attempts().values()] == [2]


def test_a_lost_worker_ends_its_gang_and_returns() -> None:
    virtual_time.run(_lost_worker())


async def _store_unreachable(*, restartable: bool, peers_reach: bool) -> str:
    async with cell_module.Cell() as cell:
        first, second = cell.nodes
        blocker = await cell.submit(declared_run_s=40.0)
        await cell.until(lambda: cell.state(blocker) == "running")
        job_id = await cell.submit(restartable=restartable)
        await cell.until(lambda: cell.state(job_id) == "queued")
        for node in cell.nodes:
            _disconnect_store(node)
        first.peers_reach_store = peers_reach
        await asyncio.sleep(90)
        assert cell.state(blocker) == "finished"
        seen = "running" if cell.live_attempts() else "waiting"
        attempts = set(cell.live_attempts())
        _reconnect_store(first)
        _reconnect_store(second)
        await cell.until(lambda: cell.state(job_id) == "running")
        await asyncio.sleep(600)
        cell.check_settled(job_id)
        assert not attempts or set(cell.live_attempts()) == attempts
        return seen


@pytest.mark.parametrize(
    ("restartable", "peers_reach", "expected"),
    [
        (True, False, "running"),
        (False, False, "waiting"),
        (True, True, "waiting"),
    ],
)
def test_starts_while_the_store_is_unreachable(
    restartable: bool, peers_reach: bool, expected: str
) -> None:
    case = _store_unreachable(restartable=restartable, peers_reach=peers_reach)
    assert virtual_time.run(case) == expected


async def _adopted() -> None:
    async with cell_module.Cell() as cell:
        first, second = cell.nodes
        blocker = await cell.submit(declared_run_s=40.0)
        await cell.until(lambda: cell.state(blocker) == "running")
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "queued")
        for node in cell.nodes:
            _disconnect_store(node)
        await cell.until(lambda: cell.state(job_id) == "running")
        (attempt_id,) = cell.live_attempts()
        await first.crash()
        _reconnect_store(second)
        await cell.until(lambda: cell.state(job_id) == "running")
        await asyncio.sleep(600)
        cell.check_settled(job_id)
        assert list(cell.live_attempts()) == [attempt_id]


def test_a_gang_without_a_record_is_adopted() -> None:
    virtual_time.run(_adopted())


def test_without_descriptors_the_gang_is_started_anew(monkeypatch) -> None:
    monkeypatch.setattr(
        recovery_module.record_module,
        "parse_descriptor",
        lambda descriptor: None,
    )
    with pytest.raises(AssertionError):
        virtual_time.run(_adopted())


async def _slow_store() -> float:
    async with cell_module.Cell(nodes=1) as cell:
        node = cell.nodes[0]
        job_id = await cell.submit(urgency="urgent")
        answer_lost = in_process.DeliveryOutcome.ANSWER_LOST

        def plan(call: in_process.Call) -> in_process.DeliveryOutcome:
            return answer_lost if call.kind == "write" else DELIVERED

        node.store_link.decide_outcome = plan
        began_s = asyncio.get_running_loop().time()
        await cell.until(lambda: cell.state(job_id) == "running")
        return asyncio.get_running_loop().time() - began_s


def test_urgent_work_starts_while_every_write_times_out() -> None:
    assert virtual_time.run(_slow_store()) <= 9.8


async def _cancel_many() -> tuple[int, str]:
    async with cell_module.Cell(nodes=1) as cell:
        jobs = [await cell.submit() for _number in range(500)]
        await cell.until(lambda: all(cell.state(one) for one in jobs))
        await asyncio.sleep(60)
        before = cell.nodes[0].store_link.calls["write"]
        for job_id in jobs:
            await cell.cancel(job_id)
        await cell.until(
            lambda: all(cell.state(one) == "cancelled" for one in jobs)
        )
        await asyncio.sleep(60)
        left = [key for key in cell.keys.entries if "/inbox/" in key]
        return cell.nodes[0].store_link.calls["write"] - before, len(left)


def test_many_cancellations_share_page_writes() -> None:
    writes, left = virtual_time.run(_cancel_many())
    assert left == 0
    # Each of the 500 entries takes a delete; page writes are batched.
    assert writes <= 500 + 5 * 16
