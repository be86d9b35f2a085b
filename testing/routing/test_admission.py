"""Admission control: order of the queue, its bounds, and refusals."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest
from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.routing import budget
from knapweedwharf.routing import queue
from testing.routing import fakes

SERVICES = {
    urgency: model.ServiceSpec(name=urgency, urgency=urgency)
    for urgency in model.URGENCIES
}


def _account(name: str, **changed) -> model.AccountSpec:
    return model.AccountSpec(name=name, token_sha256="0" * 64, **changed)


async def _occupy_all_slots(node: fakes.Node) -> list:
    """Occupy every slot with urgent requests."""
    for executor in node.pool.executors.values():
        node.pool.record_signal(executor, executor_module.Signal(running=0))
    request = fakes.make_request(SERVICES[model.URGENT])
    held = []
    while node.pool.choose("any") is not None:
        held.append((await node.admission.acquire_slot(request)).unwrap())
    return [(request, executor) for executor in held]


def _start_request(node: fakes.Node, request, order: list) -> asyncio.Task:
    async def enter() -> None:
        slot = await node.admission.acquire_slot(request)
        if isinstance(slot, result.Failure):
            order.append(slot.failure())
            return
        order.append(request.request_id)
        await asyncio.sleep(0)
        node.admission.release_slot(request, slot.unwrap())

    return asyncio.create_task(enter())


def test_urgent_goes_first_and_batch_does_not_starve() -> None:
    async def check() -> list:
        node = fakes.Node(fakes.Executor(), executors=1)
        held = await _occupy_all_slots(node)
        order: list = []
        tasks = [
            _start_request(
                node, fakes.make_request(SERVICES[urgency], key=urgency), order
            )
            for urgency in (model.BATCH, model.NORMAL, model.URGENT)
            for _n in range(20)
        ]
        await asyncio.sleep(0)
        node.admission.release_slot(*held[0])
        await asyncio.gather(*tasks)
        return order

    order = asyncio.run(check())
    interval = queue.REVERSED_GRANT_INTERVAL
    assert order[: interval - 1] == [model.URGENT] * (interval - 1)
    assert collections.Counter(order[:20])[model.URGENT] >= 18
    assert len(order) == 60


def test_accounts_share_by_weight() -> None:
    async def check() -> list:
        node = fakes.Node(fakes.Executor(), executors=1, max_waiting=200)
        held = await _occupy_all_slots(node)
        order: list = []
        accounts = [_account("small"), _account("large", request_share=3)]
        tasks = [
            _start_request(
                node,
                fakes.make_request(key=account.name, account=account),
                order,
            )
            for account in accounts
            for _n in range(60)
        ]
        await asyncio.sleep(0)
        node.admission.release_slot(*held[0])
        await asyncio.gather(*tasks)
        return order

    first = collections.Counter(asyncio.run(check())[:40])
    assert 28 <= first["large"] <= 32


def test_full_queue_sheds_the_least_urgent() -> None:
    async def check() -> None:
        node = fakes.Node(fakes.Executor(), executors=1, max_waiting=5)
        held = await _occupy_all_slots(node)
        order: list = []
        tasks = [
            _start_request(
                node,
                fakes.make_request(SERVICES[model.BATCH], key=f"b{n}"),
                order,
            )
            for n in range(7)
        ]
        await asyncio.sleep(0)
        assert len(order) == 2
        tasks.append(
            _start_request(
                node,
                fakes.make_request(SERVICES[model.URGENT], key="u"),
                order,
            )
        )
        await asyncio.sleep(0.01)
        assert len(order) == 3
        for fault in order:
            assert isinstance(fault, errors.DidNotRun)
            assert fault.retry_after_s >= 1
        node.admission.release_slot(*held[0])
        await asyncio.gather(*tasks)
        assert order[3] == "u"

    asyncio.run(check())


def test_deadline_that_cannot_be_met_sheds_before_it_runs() -> None:
    async def check() -> None:
        executors = fakes.Executor()
        node = fakes.Node(executors, executors=1)
        node.admission.record_run_time(fakes.make_request(), 2.0)
        outcome = await node.runner.run(fakes.make_request(timeout_s=1.0))
        assert isinstance(outcome.failure(), errors.DidNotRun)
        held = await _occupy_all_slots(node)
        waiting = node.runner.run(fakes.make_request(timeout_s=2.05))
        assert isinstance((await waiting).failure(), errors.DidNotRun)
        assert not executors.arrivals
        assert node.admission.waiting == 0
        node.admission.release_slot(*held[0])

    asyncio.run(check())


def test_batch_leaves_slots_for_urgent() -> None:
    async def check() -> None:
        node = fakes.Node(fakes.Executor(), executors=1)
        batch = fakes.make_request(SERVICES[model.BATCH], timeout_s=0.05)
        slots = [await node.admission.acquire_slot(batch) for _n in range(8)]
        got = [s for s in slots if isinstance(s, result.Success)]
        assert len(got) == 6
        urgent = await node.admission.acquire_slot(fakes.make_request())
        assert isinstance(urgent, result.Success)

    asyncio.run(check())


def test_rate_is_divided_among_entry_vms() -> None:
    node = fakes.Node(fakes.Executor())
    account = _account("a", request_rate_per_s=10.0, request_burst=20)
    passed = 0
    while isinstance(node.admission.check_rate(account), result.Success):
        passed += 1
    assert passed == 20
    refused = node.admission.check_rate(account).failure()
    assert isinstance(refused, errors.DidNotRun)
    assert isinstance(node.admission.check_rate(_account("b")), result.Success)


def test_rate_refills() -> None:
    clock = fakes.Clock()
    limit = budget.RateLimiter(clock)
    assert limit.try_acquire(rate_per_s=2.0, burst=1.0) == 0
    assert limit.try_acquire(rate_per_s=2.0, burst=1.0) == pytest.approx(0.5)
    clock.now_s += 0.5
    assert limit.try_acquire(rate_per_s=2.0, burst=1.0) == 0


def test_retries_are_a_share_of_traffic() -> None:
    async def check() -> None:
        executors = fakes.Executor(*["cut after"] * 10_000)
        node = fakes.Node(executors, executors=12)
        requests = 300
        for _request in range(requests):
            await node.runner.run(fakes.make_request())
        reserve = budget.RETRY_RESERVE + budget.RETRY_SHARE * requests
        assert len(executors.executed) <= requests + reserve

    asyncio.run(check())


def test_flooding_account_does_not_limit_another() -> None:
    flood = dataclasses.replace(_account("flood"), request_burst=5)
    node = fakes.Node(fakes.Executor())
    while isinstance(node.admission.check_rate(flood), result.Success):
        pass
    assert isinstance(node.admission.check_rate(fakes.ACCOUNT), result.Success)
