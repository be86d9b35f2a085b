"""Callers' synchronous requests and the question what became of one."""

from __future__ import annotations

import time
import uuid

from returns import result

from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import dispatch
from knapweedwharf.web import base

KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout-S"
MAX_KEY_LENGTH = 200

RAN = "ran"
DID_NOT_RUN = "did-not-run"
UNKNOWN = "unknown"


class RequestHandler(base.Handler):
    """``POST /v1/services/<service>``."""

    async def post(self, service_name: str) -> None:
        """Run the body on an executor of the service."""
        caller = self.caller()
        request = dispatch.Request(
            request_id=self._request_id(),
            account=caller.account,
            service=self._service(service_name),
            body=self.request.body,
            deadline_s=self._deadline_s(service_name),
        )
        with self.node.in_flight:
            outcome = await self.node.dispatcher.run(request)
        write_outcome(self, request.request_id, outcome)

    def _service(self, name: str) -> model.ServiceSpec:
        service = self.node.feed.current.services.get(name)
        if service is None:
            raise base.Refused(
                errors.NotFound(
                    message=f"There is no service {name!r}.",
                    remedy=f"Add [service.{name}] to the folder.",
                )
            )
        return service

    def _request_id(self) -> str:
        key = self.request.headers.get(KEY_HEADER)
        if key is None:
            return uuid.uuid4().hex
        if not 0 < len(key) <= MAX_KEY_LENGTH:
            raise base.Refused(
                errors.InvalidField(
                    message="The key is empty or too long.",
                    remedy=f"Use 1 to {MAX_KEY_LENGTH} characters.",
                    source="header",
                    field=KEY_HEADER,
                    value=f"{len(key)} characters",
                )
            )
        return key

    def _deadline_s(self, service_name: str) -> float:
        timeout_s = self._service(service_name).timeout_s
        asked = self.request.headers.get(TIMEOUT_HEADER)
        if asked is not None:
            timeout_s = min(timeout_s, _seconds(asked))
        return time.monotonic() + timeout_s


class OutcomeHandler(base.Handler):
    """``GET /v1/requests/<id>``."""

    async def get(self, request_id: str) -> None:
        """Tell what became of a claimed request, on any VM."""
        caller = self.caller()
        found = await claim_module.find(
            self.node.store, caller.account, request_id
        )
        claim = base.unwrap(found)
        if claim is None:
            raise base.Refused(
                errors.NotFound(
                    message="No request of this account has that id.",
                    remedy="It did not run; send it again if you want it.",
                )
            )
        write_outcome(self, request_id, dispatch.outcome_of(claim))


def write_outcome(
    handler: base.Handler, request_id: str, outcome: dispatch.Outcome
) -> None:
    """Answer with exactly one of ran, did not run and unknown."""
    handler.set_header(base.REQUEST_ID_HEADER, request_id)
    if isinstance(outcome, result.Success):
        answer = outcome.unwrap()
        handler.set_header(base.OUTCOME_HEADER, RAN)
        handler.set_header("Content-Type", answer.content_type)
        handler.set_status(answer.status)
        handler.write(answer.body)
        return
    fault = outcome.failure()
    unknown = isinstance(fault, errors.OutcomeUnknown)
    handler.set_header(
        base.OUTCOME_HEADER, UNKNOWN if unknown else DID_NOT_RUN
    )
    handler.refuse(fault)


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if seconds > 0:
        return seconds
    raise base.Refused(
        errors.InvalidField(
            message="Not a positive number of seconds.",
            remedy="Send a number such as 2.5.",
            source="header",
            field=TIMEOUT_HEADER,
            value=text[:40],
        )
    )
