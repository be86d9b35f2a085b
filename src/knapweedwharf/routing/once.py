"""Requests that must run at most once: claim, run, settle.

While the store is out of reach such a request is refused: a copy that
is forwarded without a claim could run again through another VM.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing
import uuid

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf.routing import attempt
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import request as request_module

MAX_CLAIMING = 64
MAX_UNSETTLED = 256
SETTLE_WAIT_S = 0.5
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
FIRST_POLL_S = 0.05
MAX_POLL_S = 1.0
POLL_GROWTH = 1.5
_PARALLEL_REPAIRS = 4


@dataclasses.dataclass(frozen=True)
class _Active:
    """A request of this node that is on its way."""

    fingerprint: str
    done: asyncio.Future


class AtMostOnce:
    """Runs a request under a claim that all entry VMs see."""

    def __init__(
        self,
        *,
        claims: claim_module.Claims,
        runner: attempt.Runner,
        seed: int,
    ) -> None:
        self._claims = claims
        self._runner = runner
        self._random = random.Random(seed)
        self._active: dict[tuple[str, str], _Active] = {}
        self._claiming = 0
        self._repairs: set[asyncio.Task] = set()
        self._repair_limit = asyncio.Semaphore(_PARALLEL_REPAIRS)
        self._log = log.get("at-most-once")

    @property
    def unsettled(self) -> int:
        """Claims whose outcome is not yet written."""
        return len(self._repairs)

    async def close(self) -> None:
        """Give up what is not yet written; it stays unknown."""
        for task in self._repairs:
            task.cancel()
        await asyncio.gather(*self._repairs, return_exceptions=True)

    async def run(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        """Run it, or return what became of the one with its key."""
        key = (request.account.name, request.request_id)
        active = self._active.get(key)
        if active is not None:
            return await self._await_active(request, active)
        done = asyncio.get_running_loop().create_future()
        self._active[key] = _Active(request.fingerprint(), done)
        try:
            outcome = await self._claim_and_run(request)
            done.set_result(outcome)
            return outcome
        finally:
            del self._active[key]
            done.cancel()

    async def _await_active(
        self, request: request_module.Request, active: _Active
    ) -> request_module.Outcome:
        if active.fingerprint != request.fingerprint():
            return _reused()
        await asyncio.wait([active.done], timeout=request.left_s)
        if not active.done.done() or active.done.cancelled():
            return request_module.unknown(request)
        return active.done.result()

    async def _claim_and_run(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        if self._claiming >= MAX_CLAIMING or self.unsettled >= MAX_UNSETTLED:
            return request_module.did_not_run("Too many wait for the store.")
        claim = claim_module.Claim(
            request_id=request.request_id,
            account=request.account.name,
            attempt_id=uuid.uuid4().hex,
            fingerprint=request.fingerprint(),
            state=claim_module.CLAIMED,
        )
        taken = await self._take(request, claim)
        if isinstance(taken, result.Failure):
            return await self._not_taken(request, claim, taken.failure())
        outcome = await self._runner.run(request, attempt_id=claim.attempt_id)
        settled = _settled(claim, outcome)
        if settled is not None:
            await self._settle(taken.unwrap(), settled)
        return outcome

    async def _take(
        self, request: request_module.Request, claim: claim_module.Claim
    ) -> result.Result[store_module.Entry, errors.Fault]:
        self._claiming += 1
        try:
            async with asyncio.timeout(max(0.0, request.left_s)):
                return await self._claims.take(claim)
        except TimeoutError:
            return result.Failure(
                errors.OutcomeUnknown(
                    message="The store did not answer in time.",
                    remedy="Check the platform's store.",
                )
            )
        finally:
            self._claiming -= 1

    async def _not_taken(
        self,
        request: request_module.Request,
        claim: claim_module.Claim,
        fault: errors.Fault,
    ) -> request_module.Outcome:
        if isinstance(fault, errors.Conflict):
            return await self._await_other(request)
        if isinstance(fault, errors.OutcomeUnknown):
            self._repair(self._claims.withdraw, claim)
        return request_module.did_not_run(
            "The store cannot record it now; an earlier call with its key "
            "can be asked for once the store is back."
        )

    async def _await_other(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        """Wait for the outcome of the attempt that holds the claim."""
        pause_s = FIRST_POLL_S
        while True:
            found = await self._claims.find(
                request.account.name, request.request_id
            )
            if isinstance(found, result.Success):
                claim = found.unwrap()
                if claim is None:
                    return request_module.unknown(request)
                if claim.fingerprint != request.fingerprint():
                    return _reused()
                if claim.state != claim_module.CLAIMED:
                    return outcome_of(claim)
            if request.left_s <= pause_s:
                return request_module.unknown(request)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_POLL_S, pause_s * POLL_GROWTH)

    async def _settle(
        self, entry: store_module.Entry, claim: claim_module.Claim
    ) -> None:
        task = self._repair(self._claims.settle, entry, claim)
        await asyncio.wait([task], timeout=SETTLE_WAIT_S)

    def _repair(
        self, write: typing.Callable[..., typing.Awaitable], *arguments
    ) -> asyncio.Task:
        """Repeat a write with backoff until the store has taken it."""
        task = asyncio.create_task(self._until_written(write, arguments))
        self._repairs.add(task)
        task.add_done_callback(self._repairs.discard)
        return task

    async def _until_written(
        self, write: typing.Callable[..., typing.Awaitable], arguments: tuple
    ) -> None:
        pause_s = FIRST_PAUSE_S
        written = await write(*arguments)
        while isinstance(written, result.Failure):
            if isinstance(written.failure(), errors.Conflict):
                claim = arguments[-1]
                self._log.error(
                    "claim-changed",
                    request_id=claim.request_id,
                    attempt_id=claim.attempt_id,
                )
                return
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
            pause_s = min(MAX_PAUSE_S, pause_s * 2)
            async with self._repair_limit:
                written = await write(*arguments)


def outcome_of(claim: claim_module.Claim) -> request_module.Outcome:
    """Return the outcome that a claim records."""
    if claim.state == claim_module.RAN:
        return result.Success(claim_answer(claim))
    if claim.state == claim_module.DID_NOT_RUN:
        return request_module.did_not_run("It was refused.")
    return result.Failure(
        errors.OutcomeUnknown(
            message="The request is running, or it is not known whether "
            "it ran.",
            remedy=f"Ask GET /v1/requests/{claim.request_id} again later.",
        )
    )


def claim_answer(claim: claim_module.Claim) -> request_module.Answer:
    """Return the whole answer that a settled claim keeps."""
    return request_module.Answer(
        status=claim.status,
        content_type=claim.content_type,
        body=claim.answer,
    )


def _settled(
    claim: claim_module.Claim, outcome: request_module.Outcome
) -> claim_module.Claim | None:
    if request_module.surely_not_run(outcome):
        return dataclasses.replace(claim, state=claim_module.DID_NOT_RUN)
    if isinstance(outcome, result.Failure):
        return None
    answer = outcome.unwrap()
    return dataclasses.replace(
        claim,
        state=claim_module.RAN,
        status=answer.status,
        content_type=answer.content_type,
        answer=answer.body,
    )


def _reused() -> request_module.Outcome:
    return result.Failure(
        errors.Conflict(
            message="The key was used for a different request.",
            remedy="Use a new Idempotency-Key.",
        )
    )
