"""A gang runs whole or not at all, whatever fails during its start.

The tests inject a crash or a pause of the owner, and lost, late and
refused messages, at every step of the start, with a second VM ready to
take over. Every case must end with the whole gang running. The last tests
disable a mechanism and expect the same check to fail.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from knapweedwharf.scheduling import gang as gang_module
from standins import in_process
from standins import virtual_time
from standins import worker_state
from testing.scheduling import cell as cell_module

STEPS = ("hold", "write", "start", "confirm")
FATES = (
    in_process.DeliveryOutcome.DROPPED,
    in_process.DeliveryOutcome.ANSWER_LOST,
    in_process.DeliveryOutcome.LATE,
    in_process.DeliveryOutcome.REFUSED,
)
LEASE_S = cell_module.SETTINGS.worker_lease_s
SETTLE_S = 3 * LEASE_S


def _is_step(call: in_process.Call, step: str) -> bool:
    in_page = "/page/" in call.target
    return call.kind == step and (step != "write" or in_page)


def _inject_once(node, step: str, inject) -> None:
    """Call ``inject`` once, at the step on worker w2 or on a page write."""
    seen = itertools.count(1)

    def plan(call: in_process.Call) -> in_process.DeliveryOutcome:
        wanted = call.target == "w2" or step == "write"
        if _is_step(call, step) and wanted and next(seen) == 1:
            return inject()
        return in_process.DeliveryOutcome.DELIVERED

    node.store_link.decide_outcome = plan
    node.worker_link.decide_outcome = plan


async def _settle(cell: cell_module.Cell, job_id: str) -> None:
    await cell.until(lambda: cell.state(job_id) == "running")
    await asyncio.sleep(SETTLE_S)
    cell.check_settled(job_id)


async def _message_case(step: str, fate: in_process.DeliveryOutcome) -> None:
    async with cell_module.Cell() as cell:
        _inject_once(cell.nodes[0], step, lambda: fate)
        await _settle(cell, await cell.submit())


async def _crash_case(step: str, after: bool) -> None:
    async with cell_module.Cell() as cell:
        first = cell.nodes[0]
        crashes = []

        def crash() -> in_process.DeliveryOutcome:
            crashes.append(asyncio.ensure_future(first.crash()))
            fates = in_process.DeliveryOutcome
            return fates.DELIVERED if after else fates.REFUSED

        _inject_once(first, step, crash)
        job_id = await cell.submit()
        await cell.until(lambda: crashes)
        await _settle(cell, job_id)


async def _pause_case(step: str, pause_s: float) -> None:
    async with cell_module.Cell() as cell:
        first = cell.nodes[0]
        paused = []

        def pause() -> in_process.DeliveryOutcome:
            first.pause()
            paused.append(step)
            return in_process.DeliveryOutcome.DELIVERED

        _inject_once(first, step, pause)
        job_id = await cell.submit()
        await cell.until(lambda: paused)
        await asyncio.sleep(pause_s)
        first.resume()
        await _settle(cell, job_id)


@pytest.mark.parametrize("fate", FATES, ids=lambda fate: fate.value)
@pytest.mark.parametrize("step", STEPS)
def test_message_fails_at_a_step(
    step: str, fate: in_process.DeliveryOutcome
) -> None:
    virtual_time.run(_message_case(step, fate))


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("step", STEPS)
def test_owner_crashes_at_a_step(step: str, after: bool) -> None:
    virtual_time.run(_crash_case(step, after))


@pytest.mark.parametrize("pause_s", [5.0, 15.0, 30.0, 400.0])
@pytest.mark.parametrize("step", STEPS)
def test_owner_is_paused_at_a_step(step: str, pause_s: float) -> None:
    virtual_time.run(_pause_case(step, pause_s))


async def _worker_fault_case(**faults) -> None:
    async with cell_module.Cell() as cell:
        worker = cell.workers["w2"]
        for name, value in faults.items():
            setattr(worker.faults, name, value)
        job_id = await cell.submit()
        await asyncio.sleep(20)
        assert all(len(n) < 3 for n in cell.live_attempts().values())
        worker.faults = worker_state.Faults()
        await _settle(cell, job_id)


@pytest.mark.parametrize(
    "fault", ["refuse_hold", "refuse_start", "refuse_confirm", "frozen"]
)
def test_worker_fails_a_step(fault: str) -> None:
    virtual_time.run(_worker_fault_case(**{fault: True}))


async def _compete_case() -> None:
    async with cell_module.Cell() as cell:
        jobs = [await cell.submit(declared_run_s=5.0) for _n in range(4)]
        await cell.until(
            lambda: all(cell.state(job_id) == "finished" for job_id in jobs)
        )
        assert not cell.live_attempts()


def test_competing_gangs_all_finish() -> None:
    virtual_time.run(_compete_case())


# With a mechanism disabled, the same check fails.


def _start_without_lease(self, order: dict) -> tuple[bool, str]:
    attempt = self.attempts.get(order["attempt_id"])
    if attempt is None:
        return False, "not held"
    attempt.state = "provisional"
    attempt.expires_at_s = float("inf")
    return True, ""


async def _no_stop(self, gang, *, checkpoint) -> bool:
    return False


def test_without_provisional_lease_a_partial_gang_stays(monkeypatch) -> None:
    monkeypatch.setattr(worker_state.Worker, "_start", _start_without_lease)
    monkeypatch.setattr(gang_module.GangRunner, "stop", _no_stop)
    with pytest.raises(AssertionError):
        virtual_time.run(
            _message_case("start", in_process.DeliveryOutcome.ANSWER_LOST)
        )


async def _late_hold_case() -> bool:
    """Return whether a worker accepted a hold that arrived after its stop."""
    async with cell_module.Cell() as cell:
        _inject_once(
            cell.nodes[0], "hold", lambda: in_process.DeliveryOutcome.LATE
        )
        job_id = await cell.submit()
        await cell.until(lambda: cell.state(job_id) == "starting")
        # Cancels the job, so that no later attempt uses the worker.
        await cell.cancel(job_id)
        await cell.until(lambda: cell.state(job_id) == "cancelled")
        await asyncio.sleep(SETTLE_S)
        kinds = [entry["kind"] for entry in cell.workers["w2"].history]
        return "held" in kinds


@pytest.fixture
def _single_try(monkeypatch) -> None:
    # An unanswered hold is not sent again, so the stop arrives before it.
    monkeypatch.setattr(gang_module, "_ORDER_TRIES", 1)


@pytest.mark.usefixtures("_single_try")
def test_late_hold_is_refused_after_the_stop() -> None:
    assert not virtual_time.run(_late_hold_case())


@pytest.mark.usefixtures("_single_try")
def test_without_tombstones_a_late_hold_is_accepted(monkeypatch) -> None:
    def forget(self, attempt_id: str, number: int) -> None:
        del attempt_id, number

    monkeypatch.setattr(worker_state.Worker, "_remember_stopped", forget)
    assert virtual_time.run(_late_hold_case())
