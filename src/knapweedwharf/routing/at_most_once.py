"""Requests that must run at most once: claim, run, write the outcome.

While the store cannot be reached, such a request is refused: if it were
sent without a claim, a retry could run again through another entry VM.
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

MAX_CONCURRENT_CLAIMS = 64
MAX_UNSETTLED_CLAIMS = 256
SETTLE_WAIT_S = 0.5
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
FIRST_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 1.0
POLL_GROWTH = 1.5
_MAX_PARALLEL_RETRIES = 4


@dataclasses.dataclass(frozen=True)
class _InFlight:
    """A request that this node is running."""

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
        self._in_flight: dict[tuple[str, str], _InFlight] = {}
        self._claiming_count = 0
        self._pending_writes: set[asyncio.Task] = set()
        self._retry_limit = asyncio.Semaphore(_MAX_PARALLEL_RETRIES)
        self._log = log.get("at-most-once")

    @property
    def unsettled(self) -> int:
        """Number of claims whose outcome is not yet stored."""
        return len(self._pending_writes)

    async def close(self) -> None:
        """Cancel unconfirmed writes; their outcomes stay unknown."""
        for task in self._pending_writes:
            task.cancel()
        await asyncio.gather(*self._pending_writes, return_exceptions=True)

    async def run(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        """Run the request, or return the outcome of one with the same key."""
        key = (request.account.name, request.request_id)
        in_flight = self._in_flight.get(key)
        if in_flight is not None:
            return await self._await_in_flight(request, in_flight)
        done = asyncio.get_running_loop().create_future()
        self._in_flight[key] = _InFlight(request.fingerprint(), done)
        try:
            outcome = await self._claim_and_run(request)
            done.set_result(outcome)
            return outcome
        finally:
            del self._in_flight[key]
            done.cancel()

    async def _await_in_flight(
        self, request: request_module.Request, in_flight: _InFlight
    ) -> request_module.Outcome:
        if in_flight.fingerprint != request.fingerprint():
            return _key_reused()
        await asyncio.wait([in_flight.done], timeout=request.remaining_s)
        if not in_flight.done.done() or in_flight.done.cancelled():
            return request_module.unknown(request)
        return in_flight.done.result()

    async def _claim_and_run(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        if (
            self._claiming_count >= MAX_CONCURRENT_CLAIMS
            or self.unsettled >= MAX_UNSETTLED_CLAIMS
        ):
            return request_module.did_not_run(
                "Too many requests wait for the store."
            )
        claim = claim_module.Claim(
            request_id=request.request_id,
            account=request.account.name,
            attempt_id=uuid.uuid4().hex,
            fingerprint=request.fingerprint(),
            state=claim_module.CLAIMED,
        )
        taken = await self._take_claim(request, claim)
        if isinstance(taken, result.Failure):
            return await self._handle_claim_failure(
                request, claim, taken.failure()
            )
        outcome = await self._runner.run(request, attempt_id=claim.attempt_id)
        settled = _claim_with_outcome(claim, outcome)
        if settled is not None:
            await self._settle(taken.unwrap(), settled)
        return outcome

    async def _take_claim(
        self, request: request_module.Request, claim: claim_module.Claim
    ) -> result.Result[store_module.Entry, errors.Fault]:
        self._claiming_count += 1
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s)):
                return await self._claims.acquire(claim)
        except TimeoutError:
            return result.Failure(
                errors.OutcomeUnknown(
                    message="The store did not answer in time.",
                    remedy="Check the platform's store.",
                )
            )
        finally:
            self._claiming_count -= 1

    async def _handle_claim_failure(
        self,
        request: request_module.Request,
        claim: claim_module.Claim,
        fault: errors.Fault,
    ) -> request_module.Outcome:
        if isinstance(fault, errors.Conflict):
            return await self._await_other_attempt(request)
        if isinstance(fault, errors.OutcomeUnknown):
            self._start_write(self._claims.withdraw, claim)
        return request_module.did_not_run(
            "The store cannot record the request now; the outcome of an "
            "earlier request with the same key can be looked up once the "
            "store is reachable."
        )

    async def _await_other_attempt(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        """Wait for the outcome of the attempt that holds the claim."""
        pause_s = FIRST_POLL_INTERVAL_S
        while True:
            found = await self._claims.find(
                request.account.name, request.request_id
            )
            if isinstance(found, result.Success):
                claim = found.unwrap()
                if claim is None:
                    return request_module.unknown(request)
                if claim.fingerprint != request.fingerprint():
                    return _key_reused()
                if claim.state != claim_module.CLAIMED:
                    return outcome_from_claim(claim)
            if request.remaining_s <= pause_s:
                return request_module.unknown(request)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_POLL_INTERVAL_S, pause_s * POLL_GROWTH)

    async def _settle(
        self, entry: store_module.Entry, claim: claim_module.Claim
    ) -> None:
        task = self._start_write(self._claims.settle, entry, claim)
        await asyncio.wait([task], timeout=SETTLE_WAIT_S)

    def _start_write(
        self, write: typing.Callable[..., typing.Awaitable], *arguments
    ) -> asyncio.Task:
        """Start a task that retries a write until it succeeds or conflicts."""
        task = asyncio.create_task(self._write_with_retries(write, arguments))
        self._pending_writes.add(task)
        task.add_done_callback(self._pending_writes.discard)
        return task

    async def _write_with_retries(
        self, write: typing.Callable[..., typing.Awaitable], arguments: tuple
    ) -> None:
        pause_s = FIRST_BACKOFF_S
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
            pause_s = min(MAX_BACKOFF_S, pause_s * 2)
            async with self._retry_limit:
                written = await write(*arguments)


def outcome_from_claim(claim: claim_module.Claim) -> request_module.Outcome:
    """Return the outcome that a claim records."""
    if claim.state == claim_module.RAN:
        return result.Success(answer_from_claim(claim))
    if claim.state == claim_module.DID_NOT_RUN:
        return request_module.did_not_run("The request was refused.")
    return result.Failure(
        errors.OutcomeUnknown(
            message="The request is still running, or it is not known "
            "whether it ran.",
            remedy=f"Ask GET /v1/requests/{claim.request_id} again later.",
        )
    )


def answer_from_claim(claim: claim_module.Claim) -> request_module.Answer:
    """Return the answer that a claim with an outcome stores."""
    return request_module.Answer(
        status=claim.status,
        content_type=claim.content_type,
        body=claim.answer,
    )


def _claim_with_outcome(
    claim: claim_module.Claim, outcome: request_module.Outcome
) -> claim_module.Claim | None:
    """Return the claim with its outcome; None if that is unknown."""
    if request_module.certainly_not_run(outcome):
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


def _key_reused() -> request_module.Outcome:
    return result.Failure(
        errors.Conflict(
            message="The idempotency key was already used for a "
            "different request.",
            remedy="Use a new Idempotency-Key.",
        )
    )
