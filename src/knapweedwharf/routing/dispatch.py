"""The way of one request: claim, choose, run, settle.

Every request ends in one of three outcomes: ran (with the whole
answer), did not run, or unknown.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import time
import uuid

from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import pool as pool_module

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request after it passed the door.

    :ivar deadline_s: monotonic time by which the caller wants it.
    """

    request_id: str
    account: str
    service: model.ServiceSpec
    body: bytes
    deadline_s: float


Outcome = result.Result[executor_module.Answer, errors.Fault]


class Dispatcher:
    """Carries requests to executors."""

    def __init__(
        self,
        *,
        store: store_module.Store,
        executor: executor_module.Executor,
        pool: pool_module.Pool,
    ) -> None:
        self._store = store
        self._executor = executor
        self._pool = pool
        self._log = log.get("dispatch")

    async def run(self, request: Request) -> Outcome:
        """Run a request and return its outcome."""
        if request.service.idempotent:
            return await self._run_repeatable(request)
        return await self._run_once(request)

    async def _run_repeatable(self, request: Request) -> Outcome:
        tried: set[str] = set()
        outcome: Outcome = result.Failure(_no_room())
        for _attempt in range(MAX_ATTEMPTS):
            target = self._pool.choose(request.service.name, tried=tried)
            if target is None or _left_s(request) <= 0:
                break
            tried.add(target.vm.vm_id)
            outcome = await self._attempt(request, target, _new_attempt())
            if isinstance(outcome, result.Success):
                break
        return outcome

    async def _run_once(self, request: Request) -> Outcome:
        claim = claim_module.Claim(
            request_id=request.request_id,
            account=request.account,
            attempt_id=_new_attempt(),
            body_sha256=hashlib.sha256(request.body).hexdigest(),
            state=claim_module.CLAIMED,
        )
        taken = await claim_module.take(self._store, claim)
        if isinstance(taken, result.Failure):
            return await self._not_ours(taken.failure(), claim)
        outcome = await self._run_claimed(request, claim)
        await self._settle(taken.unwrap(), claim, outcome)
        return outcome

    async def _run_claimed(
        self, request: Request, claim: claim_module.Claim
    ) -> Outcome:
        tried: set[str] = set()
        while _left_s(request) > 0:
            target = self._pool.choose(request.service.name, tried=tried)
            if target is None:
                break
            tried.add(target.vm.vm_id)
            outcome = await self._attempt(request, target, claim.attempt_id)
            if not _surely_not_run(outcome):
                return outcome
        return result.Failure(_no_room())

    async def _attempt(
        self,
        request: Request,
        target: pool_module.Executor,
        attempt_id: str,
    ) -> Outcome:
        call = executor_module.Call(
            request_id=request.request_id,
            attempt_id=attempt_id,
            service=request.service.name,
            body=request.body,
            timeout_s=_left_s(request),
        )
        target.running += 1
        try:
            outcome = await self._executor.run(target.vm.address, call)
        finally:
            target.running -= 1
        if isinstance(outcome, result.Success):
            target.leaving = outcome.unwrap().leaving
        return outcome

    async def _not_ours(
        self, fault: errors.Fault, claim: claim_module.Claim
    ) -> Outcome:
        if not isinstance(fault, errors.Conflict):
            return result.Failure(
                errors.DidNotRun(
                    message="The store cannot record the request now.",
                    remedy="Send it again with the same key.",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        found = await claim_module.find(
            self._store, claim.account, claim.request_id
        )
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return result.Failure(_unknown(claim.request_id))
        return outcome_of(found.unwrap(), expected_sha256=claim.body_sha256)

    async def _settle(
        self,
        entry: store_module.Entry,
        claim: claim_module.Claim,
        outcome: Outcome,
    ) -> None:
        settled = _settled(claim, outcome)
        if settled is None:
            return
        written = await claim_module.settle(self._store, entry, settled)
        if isinstance(written, result.Failure):
            self._log.warning(
                "claim-not-settled",
                request_id=claim.request_id,
                why=str(written.failure()),
            )


def outcome_of(
    claim: claim_module.Claim, *, expected_sha256: str = ""
) -> Outcome:
    """Return the outcome that a claim records."""
    if expected_sha256 and claim.body_sha256 != expected_sha256:
        return result.Failure(
            errors.Conflict(
                message="The key was used for a different request.",
                remedy="Use a new Idempotency-Key.",
            )
        )
    if claim.state == claim_module.RAN:
        return result.Success(
            executor_module.Answer(
                status=claim.status,
                content_type=claim.content_type,
                body=claim.answer,
                running=None,
                leaving=False,
            )
        )
    if claim.state == claim_module.DID_NOT_RUN:
        return result.Failure(_no_room())
    return result.Failure(_unknown(claim.request_id))


def _settled(
    claim: claim_module.Claim, outcome: Outcome
) -> claim_module.Claim | None:
    if _surely_not_run(outcome):
        return dataclasses.replace(claim, state=claim_module.DID_NOT_RUN)
    if isinstance(outcome, result.Failure):
        return None
    answer = outcome.unwrap()
    if len(answer.body) > claim_module.MAX_KEPT_ANSWER_BYTES:
        return None
    return dataclasses.replace(
        claim,
        state=claim_module.RAN,
        status=answer.status,
        content_type=answer.content_type,
        answer_base64=base64.b64encode(answer.body).decode(),
    )


def _surely_not_run(outcome: Outcome) -> bool:
    if isinstance(outcome, result.Success):
        return False
    return isinstance(
        outcome.failure(), (errors.Unreachable, errors.DidNotRun)
    )


def _left_s(request: Request) -> float:
    return request.deadline_s - time.monotonic()


def _new_attempt() -> str:
    return uuid.uuid4().hex


def _no_room() -> errors.DidNotRun:
    return errors.DidNotRun(
        message="No executor could take the request; it did not run.",
        remedy="Send it again after the given time.",
        retry_after_s=RETRY_AFTER_S,
    )


def _unknown(request_id: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message="It is not known whether the request ran.",
        remedy=f"Ask GET /v1/requests/{request_id} on any VM.",
    )
