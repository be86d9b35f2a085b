"""An in-memory advisor that approves executors for a limited time."""

from __future__ import annotations

import asyncio

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import model

_UNREACHABLE = errors.Unreachable(message="Nothing sent.", remedy="Wait.")


class FakeAdvisor:
    """Answers calls one at a time.

    :ivar approved: executors that may run any step; None approves all.
    :ivar decision_s: duration of a decision.
    :ivar validity_s: validity of a ticket.
    :ivar refuses: every call is refused.
    :ivar calls: (step, executors) of each call, in order.
    """

    def __init__(self) -> None:
        self.approved: set[str] | None = None
        self.decision_s = 0.05
        self.validity_s = 3.0
        self.refuses = False
        self.calls: list[tuple[str, list[str]]] = []
        self._tickets: dict[tuple[str, str, str], float] = {}
        self._busy = asyncio.Lock()

    async def approve(
        self, step_id: str, executor_ids: list[str], *, timeout_s: float
    ):
        """Issue a ticket for each approved executor."""
        if self.refuses:
            return result.Failure(_UNREACHABLE)
        async with self._busy:
            self.calls.append((step_id, executor_ids))
            await asyncio.sleep(self.decision_s)
            tickets = {}
            for executor_id in executor_ids:
                if self.approved is None or executor_id in self.approved:
                    ticket = f"t{len(self._tickets)}"
                    tickets[executor_id] = ticket
                    until_s = self._now_s() + self.validity_s
                    key = (step_id, executor_id, ticket)
                    self._tickets[key] = until_s
            return result.Success(model.Approval(tickets, self.validity_s))

    def is_valid(self, step_id: str, executor_id: str, ticket: str) -> bool:
        """Return whether a ticket is valid now."""
        key = (step_id, executor_id, ticket)
        return self._tickets.get(key, 0.0) >= self._now_s()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def close(self) -> None:
        """Do nothing; there are no connections."""
