"""Admission control: rate limits, a bounded queue, deadlines and slots.

A request is refused before anything is sent to an executor, so the
outcome "did not run" is always correct.
"""

from __future__ import annotations

import asyncio
import collections
import math

from returns import result

from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.routing import budget
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import queue as queue_module
from knapweedwharf.routing import request as request_module

MAX_RECENT_RUNS = 32
MAX_RETRY_AFTER_S = 30.0
SLOT_SHARES = {model.URGENT: 1.0, model.NORMAL: 0.875, model.BATCH: 0.75}
"""Share of this node's slots that an urgency and those below it may use."""

GRANT_INTERVAL_S = 0.1

SlotResult = result.Result[pool_module.Executor, errors.Fault]


class AdmissionController:
    """Grants executor slots to requests, in the order of the queue.

    :param max_waiting: maximum number of queued requests.
    """

    def __init__(self, *, pool: pool_module.Pool, max_waiting: int) -> None:
        self._pool = pool
        self._max_waiting = max_waiting
        self._queue = queue_module.Queue()
        self._rate_limiters: dict[str, budget.RateLimiter] = {}
        self._recent_runs_s: dict[str, collections.deque[float]] = {}
        self._running = dict.fromkeys(model.URGENCIES, 0)
        self._grant_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def check_rate(
        self, account: model.AccountSpec
    ) -> result.Result[None, errors.Fault]:
        """Count a request against the rate limit of its account.

        The limit applies to all entry VMs together; each enforces an
        equal part of it.
        """
        entry_vm_count = self._pool.entry_vm_count
        limiter = self._rate_limiters.setdefault(
            account.name, budget.RateLimiter()
        )
        wait_s = limiter.try_acquire(
            rate_per_s=account.request_rate_per_s / entry_vm_count,
            burst=max(1.0, account.request_burst / entry_vm_count),
        )
        if wait_s <= 0:
            return result.Success(None)
        return request_module.did_not_run(
            f"Account {account.name} exceeds its request rate.",
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    async def acquire_slot(
        self, request: request_module.Request
    ) -> SlotResult:
        """Wait for a slot until the deadline.

        A request that gets no slot did not run.
        """
        if request.remaining_s < self._shortest_run_s(request):
            return request_module.did_not_run(
                "The deadline of the request cannot be met."
            )
        if not self._queue:
            executor = self._choose_executor(request)
            if executor is not None:
                return result.Success(self._occupy_slot(request, executor))
        return await self._wait_for_slot(request)

    async def _wait_for_slot(
        self, request: request_module.Request
    ) -> SlotResult:
        loop = asyncio.get_running_loop()
        waiter = queue_module.Waiter(
            request=request,
            granted=loop.create_future(),
            expected_run_s=self._mean_run_s(request),
        )
        expected_wait_s = self._expected_wait_s(waiter)
        if request.remaining_s < expected_wait_s:
            return self._shed(expected_wait_s)
        if not self._make_room(waiter):
            return self._shed(expected_wait_s)
        self._queue.add(waiter)
        self._schedule_grant()
        shed_after_s = request.remaining_s - self._shortest_run_s(request)
        shed_timer = loop.call_later(
            max(0.0, shed_after_s), _shed_waiter, waiter
        )
        try:
            self.grant_slots()
            executor = await waiter.granted
        finally:
            shed_timer.cancel()
            self._queue.remove(waiter)
        if executor is None:
            return self._shed(self._expected_wait_s(waiter))
        return result.Success(executor)

    def _make_room(self, waiter: queue_module.Waiter) -> bool:
        if len(self._queue) < self._max_waiting:
            return True
        evicted = self._queue.eviction_candidate()
        if evicted is None or evicted.rank <= waiter.rank:
            return False
        self._queue.remove(evicted)
        _shed_waiter(evicted)
        return True

    def _shed(self, expected_wait_s: float) -> SlotResult:
        return request_module.did_not_run(
            "The executors have no free slot for the request in time.",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(1.0, expected_wait_s)),
        )

    def release_slot(
        self,
        request: request_module.Request,
        executor: pool_module.Executor,
    ) -> None:
        """Release a slot and grant it to a waiting request."""
        executor.running -= 1
        self._running[request.service.urgency] -= 1
        asyncio.get_running_loop().call_soon(self.grant_slots)

    def try_acquire_slot(
        self, request: request_module.Request, tried: set[str]
    ) -> pool_module.Executor | None:
        """Take a free slot for a retry or hedge; None if there is none."""
        executor = self._pool.choose(request.service.name, tried=tried)
        if executor is None:
            return None
        return self._occupy_slot(request, executor)

    def record_run_time(
        self, request: request_module.Request, elapsed_s: float
    ) -> None:
        """Record the run time of a service for the estimates."""
        recent = self._recent_runs_s.setdefault(
            request.service.name, collections.deque(maxlen=MAX_RECENT_RUNS)
        )
        recent.append(elapsed_s)

    def grant_slots(self) -> None:
        """Grant free slots to waiting requests, in the order of the queue."""
        blocked: set[tuple[str, str]] = set()

        def choose(waiter: queue_module.Waiter):
            service = waiter.request.service
            key = (service.urgency, service.name)
            if key in blocked:
                return None
            executor = self._choose_executor(waiter.request)
            if executor is None:
                blocked.add(key)
            return executor

        while self._queue:
            granted = self._queue.grant(choose)
            if granted is None:
                return
            waiter, executor = granted
            if waiter.granted.done():
                continue
            self._occupy_slot(waiter.request, executor)
            waiter.granted.set_result(executor)

    def _schedule_grant(self) -> None:
        if self._grant_timer is None:
            loop = asyncio.get_running_loop()
            self._grant_timer = loop.call_later(
                GRANT_INTERVAL_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._grant_timer = None
        self.grant_slots()
        if self._queue:
            self._schedule_grant()

    def _choose_executor(
        self, request: request_module.Request
    ) -> pool_module.Executor | None:
        urgency = request.service.urgency
        if urgency != model.URGENT:
            allowed = max(
                1, int(SLOT_SHARES[urgency] * self._pool.slot_limit())
            )
            if self._running_at_or_below(urgency) >= allowed:
                return None
        return self._pool.choose(request.service.name)

    def _running_at_or_below(self, urgency: str) -> int:
        start = model.URGENCIES.index(urgency)
        return sum(self._running[u] for u in model.URGENCIES[start:])

    def _occupy_slot(
        self,
        request: request_module.Request,
        executor: pool_module.Executor,
    ) -> pool_module.Executor:
        executor.running += 1
        self._running[request.service.urgency] += 1
        return executor

    def _expected_wait_s(self, waiter: queue_module.Waiter) -> float:
        ahead = self._queue.count_ahead(waiter.rank)
        shortest_run_s = self._shortest_run_s(waiter.request)
        rounds = ahead / max(1, self._pool.slot_limit())
        return math.floor(rounds) * shortest_run_s

    def _shortest_run_s(self, request: request_module.Request) -> float:
        return min(
            self._recent_runs_s.get(request.service.name, ()), default=0.0
        )

    def _mean_run_s(self, request: request_module.Request) -> float:
        recent = self._recent_runs_s.get(request.service.name)
        return sum(recent) / len(recent) if recent else 1.0


def _shed_waiter(waiter: queue_module.Waiter) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(None)
