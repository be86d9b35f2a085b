"""Sends a request to executors, with retries and hedging where safe."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
import uuid

from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf import metrics as metrics_module
from knapweedwharf.routing import admission as admission_module
from knapweedwharf.routing import budget
from knapweedwharf.routing import metric_definitions
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import request as request_module

MAX_ATTEMPTS = 3
HEDGE_AFTER_SHARE = 0.5
PROBE_TIMEOUT_S = 0.5
RETRY_JITTER_S = 0.02


@dataclasses.dataclass
class _RequestState:
    """State of one request across its attempts.

    :ivar target: executor of the current attempt.
    :ivar attempt_id: id shared by all attempts; empty for a new id each.
    :ivar tried: ids of the executors that were already tried.
    :ivar may_have_run: an executor may have run a failed attempt.
    """

    request: request_module.Request
    target: pool_module.Executor
    attempt_id: str
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False


class Runner:
    """Acquires a slot for a request and runs it on that executor.

    A request that is not idempotent is retried only if it is certain
    that no earlier attempt ran any part of it.
    """

    def __init__(
        self,
        *,
        executor: executor_module.Executor,
        pool: pool_module.Pool,
        admission: admission_module.AdmissionController,
        retry_budget: budget.RetryBudget,
        metrics: metrics_module.Metrics,
        seed: int,
    ) -> None:
        self._executor = executor
        self._pool = pool
        self._admission = admission
        self._retry_budget = retry_budget
        self._metrics = metrics
        self._random = random.Random(seed)
        self._probes: dict[str, asyncio.Task] = {}
        self._log = log.get("attempt")

    async def run(
        self, request: request_module.Request, *, attempt_id: str = ""
    ) -> request_module.Outcome:
        """Run a request; all its attempts use ``attempt_id`` if it is set."""
        slot = await self._admission.acquire_slot(request)
        if isinstance(slot, result.Failure):
            self._metrics.count(metric_definitions.SHED)
            return slot
        self._retry_budget.deposit()
        state = _RequestState(request, slot.unwrap(), attempt_id)
        try:
            return await self._run_attempts(state)
        finally:
            self._admission.release_slot(request, state.target)

    async def _run_attempts(
        self, state: _RequestState
    ) -> request_module.Outcome:
        while True:
            outcome = await self._attempt_or_hedge(state)
            if isinstance(outcome, result.Success):
                return outcome
            state.may_have_run |= not request_module.certainly_not_run(outcome)
            if state.may_have_run and not state.request.service.idempotent:
                return request_module.unknown(state.request)
            if not self._move_to_other_executor(state):
                break
            await asyncio.sleep(self._random.uniform(0, RETRY_JITTER_S))
        if state.may_have_run:
            return request_module.unknown(state.request)
        return request_module.did_not_run("No executor accepted the request.")

    def _move_to_other_executor(self, state: _RequestState) -> bool:
        """Move the request to another executor; False if it isn't retried."""
        other = self._acquire_retry_slot(state)
        if other is None:
            return False
        self._admission.release_slot(state.request, state.target)
        state.target = other
        return True

    def _acquire_retry_slot(
        self, state: _RequestState
    ) -> pool_module.Executor | None:
        """Take a slot for one more attempt.

        None if the attempts, the deadline or the retry budget are used
        up, or no other executor has a free slot.
        """
        state.attempts += 1
        state.tried.add(state.target.vm.vm_id)
        if state.attempts >= MAX_ATTEMPTS or state.request.remaining_s <= 0:
            return None
        if not self._retry_budget.try_withdraw():
            self._metrics.count(metric_definitions.RETRIES_DENIED)
            return None
        other = self._admission.try_acquire_slot(state.request, state.tried)
        if other is not None:
            self._metrics.count(metric_definitions.RETRIES)
        return other

    async def _attempt_or_hedge(
        self, state: _RequestState
    ) -> request_module.Outcome:
        """Make one attempt, hedged if it is idempotent and slow.

        The first attempt is not cancelled when the second starts, so
        that a data centre in which all executors are slow still
        answers in time.
        """
        if not state.request.service.idempotent or state.attempts > 0:
            return await self._send_attempt(state, state.target)
        first = asyncio.create_task(self._send_attempt(state, state.target))
        try:
            pause_s = state.request.remaining_s * HEDGE_AFTER_SHARE
            await asyncio.wait([first], timeout=pause_s)
            if first.done():
                return first.result()
            other = self._acquire_retry_slot(state)
            if other is None:
                return await first
            return await self._hedge(state, first, other)
        finally:
            first.cancel()

    async def _hedge(
        self,
        state: _RequestState,
        first: asyncio.Task,
        other: pool_module.Executor,
    ) -> request_module.Outcome:
        """Run a second attempt in parallel; return the first full answer."""
        state.tried.add(other.vm.vm_id)
        second = asyncio.create_task(self._send_attempt(state, other))
        try:
            done, _pending = await asyncio.wait(
                [first, second], return_when=asyncio.FIRST_COMPLETED
            )
            outcome = done.pop().result()
            if isinstance(outcome, result.Success):
                return outcome
            state.may_have_run |= not request_module.certainly_not_run(outcome)
            await asyncio.wait([first, second])
            outcomes = [first.result(), second.result()]
            return min(outcomes, key=_outcome_rank)
        finally:
            second.cancel()
            self._admission.release_slot(state.request, other)

    async def _send_attempt(
        self, state: _RequestState, target: pool_module.Executor
    ) -> request_module.Outcome:
        if not await self._is_usable(target):
            return result.Failure(_not_sent_fault(target))
        request = state.request
        if request.remaining_s <= 0:
            return request_module.did_not_run(
                "The deadline of the request has passed."
            )
        call = executor_module.Call(
            request_id=request.request_id,
            attempt_id=state.attempt_id or uuid.uuid4().hex,
            service=request.service.name,
            body=request.body,
            timeout_s=request.remaining_s,
            idempotent=request.service.idempotent,
        )
        started_s = time.monotonic()
        outcome = await self._executor.run(target.vm.address, call)
        self._record_result(
            state, target, call, outcome, time.monotonic() - started_s
        )
        return outcome

    def _record_result(
        self,
        state: _RequestState,
        target: pool_module.Executor,
        call: executor_module.Call,
        outcome: request_module.Outcome,
        elapsed_s: float,
    ) -> None:
        if isinstance(outcome, result.Success):
            self._pool.record_answer(target, outcome.unwrap())
            self._admission.record_run_time(state.request, elapsed_s)
            self._metrics.timing(metric_definitions.RUN_TIME, elapsed_s * 1000)
            return
        fault = outcome.failure()
        self._pool.record_fault(target, fault)
        self._log.info(
            "attempt-failed",
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            executor_id=target.vm.vm_id,
            code=fault.code,
            why=fault.message,
        )

    async def _is_usable(self, target: pool_module.Executor) -> bool:
        """Tell whether an executor takes work.

        Without a recent signal it is probed first; concurrent attempts
        share one probe.
        """
        if not self._pool.is_fresh(target):
            vm_id = target.vm.vm_id
            task = self._probes.get(vm_id)
            if task is None:
                task = asyncio.create_task(self._probe(target))
                self._probes[vm_id] = task
                task.add_done_callback(lambda _t: self._probes.pop(vm_id))
            await asyncio.shield(task)
        return self._pool.may_send(target)

    async def _probe(self, target: pool_module.Executor) -> None:
        signal = await self._executor.probe(
            target.vm.address, timeout_s=PROBE_TIMEOUT_S
        )
        if isinstance(signal, result.Success):
            self._pool.record_signal(target, signal.unwrap(), probed=True)
        else:
            self._pool.record_failure(target)


def _not_sent_fault(target: pool_module.Executor) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"Executor {target.vm.vm_id} accepts no work now; "
        "nothing was sent.",
        remedy="The request is retried on another executor.",
    )


def _outcome_rank(outcome: request_module.Outcome) -> int:
    """Rank outcomes of hedged attempts: answer, unknown, did not run."""
    if isinstance(outcome, result.Success):
        return 0
    return 2 if request_module.certainly_not_run(outcome) else 1
