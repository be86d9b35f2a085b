"""Admission: rates, a bounded queue, deadlines and slots.

Nothing has been sent to an executor for a request that the door
refuses, so that its "did not run" is true.
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

RECENT_RUNS = 32
MAX_RETRY_AFTER_S = 30.0
SLOT_SHARES = {model.URGENT: 1.0, model.NORMAL: 0.875, model.BATCH: 0.75}
WAKE_INTERVAL_S = 0.1

Slot = result.Result[pool_module.Executor, errors.Fault]


class Door:
    """Lets requests in, in order, as executors have free slots.

    :param max_waiting: bound of the queue.
    """

    def __init__(self, *, pool: pool_module.Pool, max_waiting: int) -> None:
        self._pool = pool
        self._max_waiting = max_waiting
        self._queue = queue_module.Queue()
        self._rates: dict[str, budget.RateLimit] = {}
        self._recent_s: dict[str, collections.deque[float]] = {}
        self._running = dict.fromkeys(model.URGENCIES, 0)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    def check_rate(
        self, account: model.AccountSpec
    ) -> result.Result[None, errors.Fault]:
        """Count a request against its account's rate.

        The rate holds for all entry VMs together: each takes an equal
        part of it.
        """
        entry_count = self._pool.entry_count
        limit = self._rates.setdefault(account.name, budget.RateLimit())
        wait_s = limit.wait_s(
            rate_per_s=account.request_rate_per_s / entry_count,
            burst=max(1.0, account.request_burst / entry_count),
        )
        if wait_s <= 0:
            return result.Success(None)
        return request_module.did_not_run(
            f"Account {account.name} sends more than its rate.",
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    async def enter(self, request: request_module.Request) -> Slot:
        """Wait for a slot until the deadline; a failure did not run."""
        if request.left_s < self._fastest_s(request):
            return request_module.did_not_run("Its deadline cannot be met.")
        if not self._queue:
            executor = self._choose(request)
            if executor is not None:
                return result.Success(self._occupy(request, executor))
        return await self._wait(request)

    async def _wait(self, request: request_module.Request) -> Slot:
        loop = asyncio.get_running_loop()
        waiter = queue_module.Waiter(
            request=request,
            granted=loop.create_future(),
            cost_s=self._mean_s(request),
        )
        expected_s = self._expected_wait_s(waiter)
        if request.left_s < expected_s:
            return self._shed(expected_s)
        if not self._make_room(waiter):
            return self._shed(expected_s)
        self._queue.add(waiter)
        self._wake_later()
        latest_s = request.left_s - self._fastest_s(request)
        timer = loop.call_later(max(0.0, latest_s), _shed_waiter, waiter)
        try:
            self.wake()
            executor = await waiter.granted
        finally:
            timer.cancel()
            self._queue.remove(waiter)
        if executor is None:
            return self._shed(self._expected_wait_s(waiter))
        return result.Success(executor)

    def _make_room(self, waiter: queue_module.Waiter) -> bool:
        if len(self._queue) < self._max_waiting:
            return True
        last = self._queue.least_urgent()
        if last is None or last.rank <= waiter.rank:
            return False
        self._queue.remove(last)
        _shed_waiter(last)
        return True

    def _shed(self, expected_s: float) -> Slot:
        return request_module.did_not_run(
            "The executors have no room for it in time.",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(1.0, expected_s)),
        )

    def leave(
        self,
        request: request_module.Request,
        executor: pool_module.Executor,
    ) -> None:
        """Give a slot back."""
        executor.running -= 1
        self._running[request.service.urgency] -= 1
        asyncio.get_running_loop().call_soon(self.wake)

    def enter_another(
        self, request: request_module.Request, tried: set[str]
    ) -> pool_module.Executor | None:
        """Take a free slot for a repeat, at once or not at all."""
        executor = self._pool.choose(request.service.name, tried=tried)
        if executor is None:
            return None
        return self._occupy(request, executor)

    def note_run(
        self, request: request_module.Request, elapsed_s: float
    ) -> None:
        """Learn how long a service runs."""
        recent = self._recent_s.setdefault(
            request.service.name, collections.deque(maxlen=RECENT_RUNS)
        )
        recent.append(elapsed_s)

    def wake(self) -> None:
        """Grant slots to those whose turn it is."""
        blocked: set[tuple[str, str]] = set()

        def choose(waiter: queue_module.Waiter):
            service = waiter.request.service
            key = (service.urgency, service.name)
            if key in blocked:
                return None
            executor = self._choose(waiter.request)
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
            self._occupy(waiter.request, executor)
            waiter.granted.set_result(executor)

    def _wake_later(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(WAKE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.wake()
        if self._queue:
            self._wake_later()

    def _choose(
        self, request: request_module.Request
    ) -> pool_module.Executor | None:
        urgency = request.service.urgency
        if urgency != model.URGENT:
            allowed = max(1, int(SLOT_SHARES[urgency] * self._pool.room()))
            if self._less_urgent_running(urgency) >= allowed:
                return None
        return self._pool.choose(request.service.name)

    def _less_urgent_running(self, urgency: str) -> int:
        start = model.URGENCIES.index(urgency)
        return sum(self._running[u] for u in model.URGENCIES[start:])

    def _occupy(
        self,
        request: request_module.Request,
        executor: pool_module.Executor,
    ) -> pool_module.Executor:
        executor.running += 1
        self._running[request.service.urgency] += 1
        return executor

    def _expected_wait_s(self, waiter: queue_module.Waiter) -> float:
        ahead = self._queue.ahead_of(waiter.rank)
        fastest_s = self._fastest_s(waiter.request)
        rounds = ahead / max(1, self._pool.room())
        return math.floor(rounds) * fastest_s

    def _fastest_s(self, request: request_module.Request) -> float:
        return min(self._recent_s.get(request.service.name, ()), default=0.0)

    def _mean_s(self, request: request_module.Request) -> float:
        recent = self._recent_s.get(request.service.name)
        return sum(recent) / len(recent) if recent else 1.0


def _shed_waiter(waiter: queue_module.Waiter) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(None)
