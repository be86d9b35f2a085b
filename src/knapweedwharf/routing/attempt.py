"""Attempts of one request on executors, with retries where safe."""

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
from knapweedwharf.routing import budget
from knapweedwharf.routing import door as door_module
from knapweedwharf.routing import measures
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import request as request_module

MAX_ATTEMPTS = 3
HEDGE_AFTER_SHARE = 0.5
PROBE_TIMEOUT_S = 0.5
RETRY_JITTER_S = 0.02


@dataclasses.dataclass
class _Run:
    """One request's way through its attempts.

    :ivar in_doubt: an attempt may have run.
    """

    request: request_module.Request
    target: pool_module.Executor
    attempt_id: str
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    in_doubt: bool = False


class Runner:
    """Takes a slot for a request and runs it there.

    A request that is not idempotent is repeated only after attempts of
    which surely nothing ran.
    """

    def __init__(
        self,
        *,
        executor: executor_module.Executor,
        pool: pool_module.Pool,
        door: door_module.Door,
        retries: budget.RetryBudget,
        metrics: metrics_module.Metrics,
        seed: int,
    ) -> None:
        self._executor = executor
        self._pool = pool
        self._door = door
        self._retries = retries
        self._metrics = metrics
        self._random = random.Random(seed)
        self._probes: dict[str, asyncio.Task] = {}
        self._log = log.get("attempt")

    async def run(
        self, request: request_module.Request, *, attempt_id: str = ""
    ) -> request_module.Outcome:
        """Run a request; ``attempt_id`` names all its attempts."""
        entered = await self._door.enter(request)
        if isinstance(entered, result.Failure):
            self._metrics.count(measures.SHED)
            return entered
        self._retries.earn()
        run = _Run(request, entered.unwrap(), attempt_id)
        try:
            return await self._until_done(run)
        finally:
            self._door.leave(request, run.target)

    async def _until_done(self, run: _Run) -> request_module.Outcome:
        while True:
            outcome = await self._try(run)
            if isinstance(outcome, result.Success):
                return outcome
            run.in_doubt |= not request_module.surely_not_run(outcome)
            if run.in_doubt and not run.request.service.idempotent:
                return request_module.unknown(run.request)
            if not self._retry(run):
                break
            await asyncio.sleep(self._random.uniform(0, RETRY_JITTER_S))
        if run.in_doubt:
            return request_module.unknown(run.request)
        return request_module.did_not_run("No executor could take it.")

    def _retry(self, run: _Run) -> bool:
        """Move the request to another executor, if it may be repeated."""
        other = self._next(run)
        if other is None:
            return False
        self._door.leave(run.request, run.target)
        run.target = other
        return True

    def _next(self, run: _Run) -> pool_module.Executor | None:
        run.attempts += 1
        run.tried.add(run.target.vm.vm_id)
        if run.attempts >= MAX_ATTEMPTS or run.request.left_s <= 0:
            return None
        if not self._retries.spend():
            self._metrics.count(measures.RETRIES_DENIED)
            return None
        other = self._door.enter_another(run.request, run.tried)
        if other is not None:
            self._metrics.count(measures.RETRIES)
        return other

    async def _try(self, run: _Run) -> request_module.Outcome:
        """Make one attempt; a slow idempotent one gets a second beside.

        The first is not cut, so that a data centre in which all are
        slow still answers in time.
        """
        if not run.request.service.idempotent or run.attempts > 0:
            return await self._attempt(run, run.target)
        first = asyncio.create_task(self._attempt(run, run.target))
        try:
            pause_s = run.request.left_s * HEDGE_AFTER_SHARE
            await asyncio.wait([first], timeout=pause_s)
            if first.done():
                return first.result()
            other = self._next(run)
            if other is None:
                return await first
            return await self._hedge(run, first, other)
        finally:
            first.cancel()

    async def _hedge(
        self, run: _Run, first: asyncio.Task, other: pool_module.Executor
    ) -> request_module.Outcome:
        """Return the first whole answer of two attempts."""
        run.tried.add(other.vm.vm_id)
        second = asyncio.create_task(self._attempt(run, other))
        try:
            done, _pending = await asyncio.wait(
                [first, second], return_when=asyncio.FIRST_COMPLETED
            )
            outcome = done.pop().result()
            if isinstance(outcome, result.Success):
                return outcome
            run.in_doubt |= not request_module.surely_not_run(outcome)
            await asyncio.wait([first, second])
            outcomes = [first.result(), second.result()]
            return min(outcomes, key=_preference)
        finally:
            second.cancel()
            self._door.leave(run.request, other)

    async def _attempt(
        self, run: _Run, target: pool_module.Executor
    ) -> request_module.Outcome:
        if not await self._is_usable(target):
            return result.Failure(_not_sent(target))
        request = run.request
        if request.left_s <= 0:
            return request_module.did_not_run("Its deadline has passed.")
        call = executor_module.Call(
            request_id=request.request_id,
            attempt_id=run.attempt_id or uuid.uuid4().hex,
            service=request.service.name,
            body=request.body,
            timeout_s=request.left_s,
            idempotent=request.service.idempotent,
        )
        started_s = time.monotonic()
        outcome = await self._executor.run(target.vm.address, call)
        self._note(run, target, call, outcome, time.monotonic() - started_s)
        return outcome

    def _note(
        self,
        run: _Run,
        target: pool_module.Executor,
        call: executor_module.Call,
        outcome: request_module.Outcome,
        elapsed_s: float,
    ) -> None:
        if isinstance(outcome, result.Success):
            self._pool.note_answer(target, outcome.unwrap())
            self._door.note_run(run.request, elapsed_s)
            self._metrics.timing(measures.RUN_TIME, elapsed_s * 1000)
            return
        fault = outcome.failure()
        self._pool.note_fault(target, fault)
        self._log.info(
            "attempt-failed",
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            executor_id=target.vm.vm_id,
            code=fault.code,
            why=fault.message,
        )

    async def _is_usable(self, target: pool_module.Executor) -> bool:
        """Probe an executor that was not heard lately; no work is sent."""
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
        heard = await self._executor.probe(
            target.vm.address, timeout_s=PROBE_TIMEOUT_S
        )
        if isinstance(heard, result.Success):
            self._pool.note_signal(target, heard.unwrap(), probed=True)
        else:
            self._pool.note_failure(target)


def _not_sent(target: pool_module.Executor) -> errors.Unreachable:
    return errors.Unreachable(
        message=f"{target.vm.vm_id} takes no work now; nothing was sent.",
        remedy="Another executor is tried.",
    )


def _preference(outcome: request_module.Outcome) -> int:
    """Rank the outcomes of a request that ran twice: an answer first."""
    if isinstance(outcome, result.Success):
        return 0
    return 2 if request_module.surely_not_run(outcome) else 1
