"""Queue of the requests that wait for a slot.

Slots go to urgent, then normal, then batch requests. One grant in
``REVERSED_GRANT_INTERVAL`` uses the reverse order, so that batch requests
don't starve. Within an urgency, accounts share executor time by weighted
fair queueing: the next slot goes to the account with the smallest virtual
time, which is its expected executor time divided by its weight.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import dataclasses

from knapweedwharf.core import model
from knapweedwharf.routing import pool
from knapweedwharf.routing import request as request_module

REVERSED_GRANT_INTERVAL = 16
_RANK = {urgency: rank for rank, urgency in enumerate(model.URGENCIES)}


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request that waits for a slot.

    :ivar granted: resolves to its executor, or to None if it is shed.
    :ivar expected_run_s: expected executor time of the request.
    """

    request: request_module.Request
    granted: asyncio.Future[pool.Executor | None]
    expected_run_s: float

    @property
    def rank(self) -> int:
        """Index of its urgency; 0 is the most urgent."""
        return _RANK[self.request.service.urgency]


@dataclasses.dataclass(eq=False)
class _Flow:
    """Waiters of one account and service, in order of arrival."""

    account: str
    service: str
    waiters: collections.deque[Waiter]


class Queue:
    """Waiting requests, by urgency, account and service."""

    def __init__(self) -> None:
        self._flows: list[dict[tuple[str, str], _Flow]] = [
            {} for _urgency in model.URGENCIES
        ]
        self._virtual_times_s: dict[str, float] = {}
        self._virtual_now_s = 0.0
        self._grant_count = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiters that are at least as urgent."""
        return sum(
            len(flow.waiters)
            for flows in self._flows[: rank + 1]
            for flow in flows.values()
        )

    def add(self, waiter: Waiter) -> None:
        """Add a waiter behind those of its account and service.

        The virtual time of its account is raised to the current one,
        so that an account gains no credit while it is idle.
        """
        account = waiter.request.account.name
        service = waiter.request.service.name
        self._virtual_times_s[account] = max(
            self._virtual_times_s.get(account, 0.0), self._virtual_now_s
        )
        flow = self._flows[waiter.rank].setdefault(
            (account, service),
            _Flow(account, service, collections.deque()),
        )
        flow.waiters.append(waiter)
        self._count += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; do nothing if it is not queued."""
        request = waiter.request
        key = (request.account.name, request.service.name)
        flow = self._flows[waiter.rank].get(key)
        if flow is None or waiter not in flow.waiters:
            return
        flow.waiters.remove(waiter)
        self._count -= 1
        if not flow.waiters:
            del self._flows[waiter.rank][key]

    def grant(
        self, choose: abc.Callable[[Waiter], pool.Executor | None]
    ) -> tuple[Waiter, pool.Executor] | None:
        """Remove and return the next waiter with its executor.

        Waiters for which ``choose`` returns None are passed over.
        """
        ranks = range(len(self._flows))
        is_reversed = self._grant_count % REVERSED_GRANT_INTERVAL == (
            REVERSED_GRANT_INTERVAL - 1
        )
        for rank in reversed(ranks) if is_reversed else ranks:
            for flow in self._flows_by_virtual_time(rank):
                waiter = flow.waiters[0]
                executor = choose(waiter)
                if executor is not None:
                    self._dequeue(waiter)
                    return waiter, executor
        return None

    def _flows_by_virtual_time(self, rank: int) -> list[_Flow]:
        flows = self._flows[rank].values()
        return sorted(
            flows, key=lambda flow: self._virtual_times_s[flow.account]
        )

    def _dequeue(self, waiter: Waiter) -> None:
        account = waiter.request.account
        self._grant_count += 1
        self._virtual_now_s = max(
            self._virtual_now_s, self._virtual_times_s[account.name]
        )
        self._virtual_times_s[account.name] += (
            waiter.expected_run_s / account.request_share
        )
        self.remove(waiter)

    def eviction_candidate(self) -> Waiter | None:
        """Return the waiter to drop when the queue is full, or None.

        It is the newest of the flow that is longest by its weight,
        among those of the lowest urgency.
        """
        for flows in reversed(self._flows):
            if flows:
                flow = max(flows.values(), key=_weighted_length)
                return flow.waiters[-1]
        return None


def _weighted_length(flow: _Flow) -> float:
    weight = flow.waiters[-1].request.account.request_share
    return len(flow.waiters) / weight
