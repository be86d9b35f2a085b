"""Asks the advisor which executors may run a step and keeps its tickets.

The advisor accepts one call at a time from a VM and takes time for each
executor in it, so the most promising executors are sent first. An
approval does not change, but its tickets expire.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses

from returns import result

from knapweedwharf import backoff
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import metric_definitions
from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf import metrics

EXECUTORS_PER_CALL = 30
"""The platform computes a step's objective with one call for this many."""

MAX_EXECUTORS_PER_CALL = 100
"""Limit of the platform; a larger gang needs several calls."""

CALL_SLACK_S = 1.0
"""Time beyond the advisor's own terms after which an answer counts as lost."""

TICKET_MARGIN_S = 0.4
"""A start takes a few milliseconds, a repeated one half a second."""

DEFAULT_VALIDITY_S = 1.0
"""Used if neither the queue nor the answer states a validity."""

_FIRST_RETRY_S = 0.05
_LONGEST_RETRY_S = 0.5

Incarnation = tuple[str, int]
"""(executor id, incarnation)"""


@dataclasses.dataclass(slots=True)
class _Ticket:
    text: str
    incarnation: Incarnation
    expires_s: float


@dataclasses.dataclass(slots=True)
class _Step:
    """The advisor's answers for one step.

    :ivar answered: executor incarnations that the advisor has judged.
    """

    service: str
    terms: model.AdvisorTerms
    answered: set[Incarnation] = dataclasses.field(default_factory=set)
    tickets: dict[str, _Ticket] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Renewal:
    """Executors for which a placed step needs tickets now."""

    step_id: str
    executors: list[model.Executor]
    done: asyncio.Future


Candidates = abc.Callable[[str, str], list[model.Executor]]
"""from (service, step id) to the executors to ask about, best first"""

Approved = abc.Callable[[str, str, tuple[str, ...], tuple[str, ...]], None]
"""(service, step id, approved executors, denied ones)"""


class Advice(background.Background):
    """Sends calls to the advisor, one at a time.

    :param client: client of the advisor.
    :param candidates: returns the executors that a waiting step could
        use now; empty once it no longer waits.
    :param approved: called with each answer.
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

    def enqueue_step(
        self, step_id: str, service: str, terms: model.AdvisorTerms
    ) -> None:
        """Ask about a waiting step, in the order of these calls."""
        if step_id not in self._steps:
            self._steps[step_id] = _Step(service, terms)
        self._wake.set()

    def executors_changed(self) -> None:
        """Ask about executors that were added since."""
        self._wake.set()

    def forget_step(self, step_id: str) -> None:
        """Forget a step that has ended."""
        self._steps.pop(step_id, None)

    async def tickets(
        self, step_id: str, executors: list[model.Executor]
    ) -> dict[str, str]:
        """Return valid tickets by executor id; renew expired ones."""
        step = self._steps.get(step_id)
        if step is None:
            return {}
        missing = [e for e in executors if not self._is_valid(step, e)]
        for first in range(0, len(missing), MAX_EXECUTORS_PER_CALL):
            done = asyncio.get_running_loop().create_future()
            portion = missing[first : first + MAX_EXECUTORS_PER_CALL]
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
            and ticket.incarnation == _incarnation_of(executor)
            and clock.elapsed_s() < ticket.expires_s - TICKET_MARGIN_S
        )

    # Asking

    async def _run(self) -> None:
        delays = backoff.Backoff(
            initial_s=_FIRST_RETRY_S, max_s=_LONGEST_RETRY_S
        )
        while True:
            self._wake.clear()
            question = self._next_question()
            if question is None:
                await self._wake.wait()
                continue
            step_id, executors = question
            if await self._ask(step_id, executors):
                delays.reset()
            else:
                await asyncio.sleep(delays.next_s())

    def _next_question(self) -> tuple[str, list[model.Executor]] | None:
        """Return the next step and executors to ask about, renewals first."""
        while self._renewals:
            renewal = self._renewals[0]
            if renewal.step_id in self._steps:
                return renewal.step_id, renewal.executors
            self._release_waiters(renewal.step_id)
        for step_id, step in list(self._steps.items()):
            unasked = [
                executor
                for executor in self._candidates(step.service, step_id)
                if _incarnation_of(executor) not in step.answered
            ]
            if unasked:
                return step_id, unasked[:EXECUTORS_PER_CALL]
        return None

    def _release_waiters(self, step_id: str) -> None:
        """Wake all callers that wait for a step's tickets."""
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
        self._sender.timing(metric_definitions.ADVICE_MS, took_ms)
        if isinstance(answer, result.Failure):
            self._log.warning(
                "advice-not-given",
                step=step_id,
                executors=len(ids),
                why=answer.failure().code,
            )
            # A placed step must not hold its room while the advisor is
            # unreachable.
            self._release_waiters(step_id)
            return False
        self._record_answer(step_id, step, executors, answer.unwrap(), sent_s)
        return True

    def _record_answer(
        self,
        step_id: str,
        step: _Step,
        executors: list[model.Executor],
        approval: model.Approval,
        sent_s: float,
    ) -> None:
        validity_s = (
            approval.validity_s or step.terms.validity_s or DEFAULT_VALIDITY_S
        )
        for executor in executors:
            incarnation = _incarnation_of(executor)
            step.answered.add(incarnation)
            step.tickets.pop(executor.executor_id, None)
            text = approval.tickets.get(executor.executor_id)
            if text is not None:
                step.tickets[executor.executor_id] = _Ticket(
                    text, incarnation, sent_s + validity_s
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
            odd_rows=approval.odd_rows,
            validity_s=validity_s,
        )
        self._release_waiters(step_id)
        self._approved(step.service, step_id, approved, denied)


def _incarnation_of(executor: model.Executor) -> Incarnation:
    return executor.executor_id, executor.incarnation_ms
