"""Order in which waiting requests get slots.

Urgent goes before normal before batch, save that one grant in
``TURN_OF_LEAST_URGENT`` goes the other way round, so that batch never
starves. Within an urgency accounts share executor time by weight.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import dataclasses

from knapweedwharf.core import model
from knapweedwharf.routing import pool
from knapweedwharf.routing import request as request_module

TURN_OF_LEAST_URGENT = 16
_RANK = {urgency: rank for rank, urgency in enumerate(model.URGENCIES)}


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request that waits for a slot.

    :ivar granted: resolves to its executor, or to None when shed.
    :ivar cost_s: executor time that it is expected to take.
    """

    request: request_module.Request
    granted: asyncio.Future[pool.Executor | None]
    cost_s: float

    @property
    def rank(self) -> int:
        """Place of its urgency, 0 for the most urgent."""
        return _RANK[self.request.service.urgency]


@dataclasses.dataclass(eq=False)
class _Flow:
    """Waiters of one account and service, first come first."""

    account: str
    service: str
    waiters: collections.deque[Waiter]


class Queue:
    """Waiting requests, by urgency and account."""

    def __init__(self) -> None:
        self._flows: list[dict[tuple[str, str], _Flow]] = [
            {} for _urgency in model.URGENCIES
        ]
        self._used: dict[str, float] = {}
        self._floor = 0.0
        self._grants = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def ahead_of(self, rank: int) -> int:
        """Return how many wait that are at least as urgent."""
        return sum(
            len(flow.waiters)
            for flows in self._flows[: rank + 1]
            for flow in flows.values()
        )

    def add(self, waiter: Waiter) -> None:
        """Put a waiter behind those of its account and service."""
        account = waiter.request.account.name
        service = waiter.request.service.name
        self._used[account] = max(self._used.get(account, 0.0), self._floor)
        flow = self._flows[waiter.rank].setdefault(
            (account, service),
            _Flow(account, service, collections.deque()),
        )
        flow.waiters.append(waiter)
        self._count += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands."""
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
        """Take out the next waiter that ``choose`` has a slot for."""
        ranks = range(len(self._flows))
        turned = self._grants % TURN_OF_LEAST_URGENT == (
            TURN_OF_LEAST_URGENT - 1
        )
        for rank in reversed(ranks) if turned else ranks:
            for flow in self._in_turn(rank):
                waiter = flow.waiters[0]
                executor = choose(waiter)
                if executor is not None:
                    self._take(waiter)
                    return waiter, executor
        return None

    def _in_turn(self, rank: int) -> list[_Flow]:
        flows = self._flows[rank].values()
        return sorted(flows, key=lambda flow: self._used[flow.account])

    def _take(self, waiter: Waiter) -> None:
        account = waiter.request.account
        self._grants += 1
        self._floor = max(self._floor, self._used[account.name])
        self._used[account.name] += waiter.cost_s / account.request_share
        self.remove(waiter)

    def least_urgent(self) -> Waiter | None:
        """Return the newest of the least urgent, most waiting flow."""
        for flows in reversed(self._flows):
            if flows:
                flow = max(flows.values(), key=_excess)
                return flow.waiters[-1]
        return None


def _excess(flow: _Flow) -> float:
    weight = flow.waiters[-1].request.account.request_share
    return len(flow.waiters) / weight
