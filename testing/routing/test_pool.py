"""Choice of executors: slot shares, leaving, listing and ejection."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.routing import health
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import share
from testing.routing import fakes

FRESH = executor_module.Signal(running=0)
REFUSAL = executor_module.Refusal("full", "", 1.0)


def _entry_vms(count: int, data_centre: str = "here") -> list[share.EntryVm]:
    return [share.EntryVm(f"node-{n}", data_centre) for n in range(count)]


def _own_slots(own: share.EntryVm, everyone: list[share.EntryVm]) -> int:
    return share.own_slot_count(
        own, executor_id="executor", data_centre="here", entry_vms=everyone
    )


@pytest.mark.parametrize("count", range(1, 20))
def test_shares_add_up_to_the_slots(count: int) -> None:
    everyone = _entry_vms(count)
    total = sum(_own_slots(own, everyone) for own in everyone)
    assert total == share.SLOTS_PER_EXECUTOR


def test_shares_follow_entry_vms_that_come_and_go() -> None:
    everyone = _entry_vms(4)
    assert [_own_slots(own, everyone) for own in everyone] == [2, 2, 2, 2]
    assert _own_slots(everyone[0], everyone[:2]) == 4
    away = share.EntryVm("far", "there")
    assert _own_slots(away, everyone) == 0
    assert _own_slots(away, []) == share.SLOTS_PER_EXECUTOR


@pytest.mark.parametrize("count", range(1, 30))
def test_connections_stay_bounded_while_two_start(count: int) -> None:
    before = count * share.connections_per_vm(count)
    joining = 2 * share.connections_per_vm(count + 2)
    assert before + joining <= share.CONNECTIONS_PER_EXECUTOR


def _pool(executors: int = 1, *, clock=None, entries: int = 4):
    clock = clock or fakes.Clock()
    pool = pool_module.Pool(
        node_id="node-0", data_centre="here", seed=1, clock=clock
    )
    pool.set_entry_vms(_entry_vms(entries))
    pool.set_listed([fakes.make_vm(f"executor-{n}") for n in range(executors)])
    return pool, clock


def _occupy_free_slots(pool: pool_module.Pool) -> int:
    taken = 0
    while (executor := pool.choose("check")) is not None:
        executor.running += 1
        taken += 1
    return taken


def test_unused_slots_are_borrowed_and_given_back() -> None:
    pool, _clock = _pool()
    executor = pool.executors["executor-0"]
    pool.record_signal(executor, FRESH)
    assert _occupy_free_slots(pool) == 8
    executor.running = 2
    busy = executor_module.Signal(running=8)
    pool.record_signal(executor, busy)
    assert executor.slot_limit == executor.own_slots == 2
    assert pool.choose("check") is None


def test_refusal_takes_back_what_was_borrowed() -> None:
    pool, clock = _pool()
    executor = pool.executors["executor-0"]
    pool.record_signal(executor, FRESH)
    executor.running = executor.own_slots + 1
    pool.record_fault(executor, REFUSAL)
    executor.running = 0
    assert _occupy_free_slots(pool) == executor.own_slots
    clock.now_s += health.MAX_SIGNAL_AGE_S
    assert pool.choose("check") is executor


def test_refusal_within_the_share_pauses_the_executor() -> None:
    pool, clock = _pool()
    executor = pool.executors["executor-0"]
    pool.record_signal(executor, FRESH)
    executor.running = 1
    pool.record_fault(executor, REFUSAL)
    executor.running = 0
    assert pool.choose("check") is None
    clock.now_s += health.REFUSAL_PAUSE_S
    assert _occupy_free_slots(pool) == executor.own_slots


def test_own_data_centre_goes_first_then_spare_room() -> None:
    clock = fakes.Clock()
    pool, _clock = _pool(clock=clock)
    away = [fakes.make_vm(f"away-{n}", data_centre="there") for n in range(2)]
    pool.set_listed([fakes.make_vm("executor-0"), *away])
    for executor in pool.executors.values():
        pool.record_signal(executor, FRESH)
    busy = executor_module.Signal(running=6)
    pool.record_signal(pool.executors["away-0"], busy)
    first = [pool.choose("check") for _n in range(5)]
    assert {e.vm.vm_id for e in first} == {"executor-0"}
    pool.executors["executor-0"].running = 8
    spilled = [pool.choose("check") for _n in range(20)]
    assert {e.vm.vm_id for e in spilled} == {"away-1"}


def test_ejection_is_bounded_and_returns_by_a_probe() -> None:
    pool, clock = _pool(executors=6)
    for executor in pool.executors.values():
        for _failure in range(health.FAILURES_TO_EJECT):
            pool.record_failure(executor)
    ejected = [
        e for e in pool.executors.values() if e.health.is_ejected(clock.now_s)
    ]
    assert len(ejected) == 2
    clock.now_s += 2 * health.BASE_EJECTION_S
    back = ejected[0]
    assert not back.health.is_ejected(clock.now_s)
    assert not pool.is_fresh(back)
    back.running = 1
    assert back.health.on_probation
    pool.record_answer(back, executor_module.Answer(200, "", b"", FRESH))
    assert not back.health.on_probation


def test_vanished_executors_are_used_while_they_answer() -> None:
    pool, clock = _pool(executors=3)
    pool.set_listed([])
    clock.now_s += pool_module.UNLISTED_KEEP_S + 1
    pool.set_listed([])
    assert pool.choose("check") is not None
    clock.now_s += pool_module.SUSPECT_LIST_KEEP_S
    pool.set_listed([])
    assert pool.choose("check") is None
    assert not pool.executors


def test_one_vanished_executor_is_dropped_after_a_while() -> None:
    pool, clock = _pool(executors=3)
    listed = [fakes.make_vm("executor-0"), fakes.make_vm("executor-1")]
    pool.set_listed(listed)
    assert pool.choose("check", tried={"executor-0", "executor-1"})
    clock.now_s += pool_module.UNLISTED_KEEP_S
    pool.set_listed(listed)
    assert sorted(pool.executors) == ["executor-0", "executor-1"]


def test_leaving_executor_gets_nothing_after_the_bound() -> None:
    async def check() -> None:
        clock = fakes.Clock()
        executors = fakes.Executor()
        node = fakes.Node(executors, executors=3, clock=clock)
        for _request in range(30):
            await node.runner.run(fakes.make_request())
        assert set(executors.arrivals) == set(node.pool.executors)
        executors.leaving = {"executor-0"}
        clock.now_s += health.MAX_SIGNAL_AGE_S
        executors.arrivals.clear()
        for number in range(60):
            clock.now_s += 0.1 * (number % 7)
            outcome = await node.runner.run(fakes.make_request())
            assert isinstance(outcome, result.Success)
        assert set(executors.arrivals) == {"executor-1", "executor-2"}
        executors.leaving = set()
        clock.now_s += health.LEAVING_RECHECK_S
        for _request in range(30):
            await node.runner.run(fakes.make_request())
        assert "executor-0" in executors.arrivals

    asyncio.run(check())


def test_dead_executor_is_probed_and_costs_no_request() -> None:
    async def check() -> None:
        executors = fakes.Executor()
        executors.dead = {"executor-0"}
        node = fakes.Node(executors, executors=3)
        for _request in range(30):
            outcome = await node.runner.run(fakes.make_request())
            assert isinstance(outcome, result.Success)
        assert executors.probes.count("executor-0") <= 3

    asyncio.run(check())
