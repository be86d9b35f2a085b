"""Which executors may run a step, as the advisor says, and its tickets.

The advisor takes one call at a time from a VM and needs time for each
executor named, so the most promising ones are asked about first. What
it approves does not change; its tickets run out.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

from returns import result

from knapweedwharf import backoff
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import measures
from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf import metrics

ASK_AT_ONCE = 30
"""The platform reckons a step's objective with one call on so many."""

MOST_AT_ONCE = 100
"""The platform's limit; a gang on more asks again for the rest."""

CALL_SLACK_S = 1.0
"""How much later than its own terms an answer is taken for lost."""

TICKET_MARGIN_S = 0.4
"""A start takes some milliseconds; a repeated one half a second."""

VALIDITY_UNKNOWN_S = 1.0
"""Used where neither the queue nor the answer states a validity."""

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.5

Life = tuple[str, int]
"""(executor id, incarnation)"""


@dataclasses.dataclass(slots=True)
class _Ticket:
    text: str
    life: Life
    until_s: float


@dataclasses.dataclass(slots=True)
class _Step:
    """What is known of one step.

    :ivar asked: lives of executors that the advisor has spoken of.
    """

    service: str
    terms: model.AdviceTerms
    asked: set[Life] = dataclasses.field(default_factory=set)
    tickets: dict[str, _Ticket] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Renewal:
    """Executors of which a placed step needs tickets now."""

    step_id: str
    executors: list[model.Executor]
    done: asyncio.Future


Candidates = abc.Callable[[str, str], list[model.Executor]]
"""(service, step id) to the executors to ask about, the best first"""

Approved = abc.Callable[[str, str, tuple[str, ...], tuple[str, ...]], None]
"""(service, step id, approved executors, denied ones)"""


class Advice(background.Background):
    """Asks the advisor, one call after the other.

    :param client: the advisor's.
    :param candidates: executors that a waiting step could use now; empty
        once it waits no more.
    :param approved: told of each answer.
    """

    def __init__(
        self,
        *,
        client,
        candidates: Candidates,
        approved: Approved,
        sender: metrics.Metrics,
    ) -> None:
        self._client = client
        self._candidates = candidates
        self._approved = approved
        self._sender = sender
        self._log = log.get("advice")
        self._steps: dict[str, _Step] = {}
        self._renewals: list[_Renewal] = []
        self._wake = asyncio.Event()

    def want(
        self, step_id: str, service: str, terms: model.AdviceTerms
    ) -> None:
        """Ask about a step that waits, in the order of these calls."""
        if step_id not in self._steps:
            self._steps[step_id] = _Step(service, terms)
        self._wake.set()

    def look_again(self) -> None:
        """Ask about executors that have come since."""
        self._wake.set()

    def forget(self, step_id: str) -> None:
        """Forget a step that is over."""
        self._steps.pop(step_id, None)

    async def tickets(
        self, step_id: str, executors: list[model.Executor]
    ) -> dict[str, str]:
        """Return valid tickets by executor; asks where one ran out."""
        step = self._steps.get(step_id)
        if step is None:
            return {}
        missing = [e for e in executors if not self._is_valid(step, e)]
        for first in range(0, len(missing), MOST_AT_ONCE):
            done = asyncio.get_running_loop().create_future()
            portion = missing[first : first + MOST_AT_ONCE]
            self._renewals.append(_Renewal(step_id, portion, done))
            self._wake.set()
            await done
        return {
            executor.executor_id: step.tickets[executor.executor_id].text
            for executor in executors
            if self._is_valid(step, executor)
        }

    def _is_valid(self, step: _Step, executor: model.Executor) -> bool:
        ticket = step.tickets.get(executor.executor_id)
        return (
            ticket is not None
            and ticket.life == _life(executor)
            and clock.elapsed_s() < ticket.until_s - TICKET_MARGIN_S
        )

    # Asking

    async def _run(self) -> None:
        waits = backoff.Backoff(
            first_s=_FIRST_RETRY_S, longest_s=_LONGEST_RETRY_S
        )
        while True:
            self._wake.clear()
            question = self._next()
            if question is None:
                await self._wake.wait()
                continue
            step_id, executors = question
            if await self._ask(step_id, executors):
                waits.reset()
            else:
                await asyncio.sleep(waits.next_s())

    def _next(self) -> tuple[str, list[model.Executor]] | None:
        """Return the next question; a placed step's goes first."""
        while self._renewals:
            renewal = self._renewals[0]
            if renewal.step_id in self._steps:
                return renewal.step_id, renewal.executors
            self._settle(renewal.step_id)
        for step_id, step in list(self._steps.items()):
            unasked = [
                executor
                for executor in self._candidates(step.service, step_id)
                if _life(executor) not in step.asked
            ]
            if unasked:
                return step_id, unasked[:ASK_AT_ONCE]
        return None

    def _settle(self, step_id: str) -> None:
        """Let go on who waits for a step's tickets."""
        for renewal in [r for r in self._renewals if r.step_id == step_id]:
            self._renewals.remove(renewal)
            if not renewal.done.done():
                renewal.done.set_result(None)

    async def _ask(
        self, step_id: str, executors: list[model.Executor]
    ) -> bool:
        step = self._steps[step_id]
        terms = step.terms
        ids = [executor.executor_id for executor in executors]
        sent_s = clock.elapsed_s()
        answer = await self._client.approve(
            step_id,
            ids,
            timeout_s=(
                terms.decision_s
                + len(ids) * terms.per_executor_s
                + CALL_SLACK_S
            ),
        )
        took_ms = (clock.elapsed_s() - sent_s) * 1000
        self._sender.timing(measures.ADVICE, took_ms)
        if isinstance(answer, result.Failure):
            self._log.warning(
                "advice-not-given",
                step=step_id,
                executors=len(ids),
                why=answer.failure().code,
            )
            # A placed step does not hold its room for an advisor that
            # is away.
            self._settle(step_id)
            return False
        self._take(step_id, step, executors, answer.unwrap(), sent_s)
        return True

    def _take(
        self,
        step_id: str,
        step: _Step,
        executors: list[model.Executor],
        approval: model.Approval,
        sent_s: float,
    ) -> None:
        validity_s = (
            approval.validity_s or step.terms.validity_s or VALIDITY_UNKNOWN_S
        )
        for executor in executors:
            life = _life(executor)
            step.asked.add(life)
            step.tickets.pop(executor.executor_id, None)
            text = approval.tickets.get(executor.executor_id)
            if text is not None:
                step.tickets[executor.executor_id] = _Ticket(
                    text, life, sent_s + validity_s
                )
        ids = [executor.executor_id for executor in executors]
        approved = tuple(i for i in ids if i in approval.tickets)
        denied = tuple(i for i in ids if i not in approval.tickets)
        self._log.info(
            "advice-given",
            step=step_id,
            job_id=step_id.partition(".")[0],
            approved=len(approved),
            denied=len(denied),
            validity_s=validity_s,
        )
        self._settle(step_id)
        self._approved(step.service, step_id, approved, denied)


def _life(executor: model.Executor) -> Life:
    return executor.executor_id, executor.incarnation_ms
