"""Synchronous requests to services, and queries for their outcomes."""

from __future__ import annotations

import dataclasses
import re
import time
import uuid

from returns import result

from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf.routing import at_most_once
from knapweedwharf.routing import dispatch
from knapweedwharf.routing import request as request_module
from knapweedwharf.web import base
from knapweedwharf.web import limited_server

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout-S"
MAX_KEY_LENGTH = 200
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_LENGTH}}}")


class _RateLimitedHandler(base.Handler):
    """Base of handlers whose calls count against the account's rate limit."""

    def check(self) -> None:
        """Refuse requests above the account's rate limit."""
        base.unwrap(self.node.dispatcher.admission.check_rate(self.account()))

    def account(self) -> model.AccountSpec:
        """Return the caller's account; a default for the bootstrap token."""
        name = self._caller.account
        known = self.node.feed.current.accounts.get(name)
        return known or model.AccountSpec(name=name, token_sha256="")


class RequestHandler(_RateLimitedHandler):
    """``POST /v1/services/<service>``."""

    def check(self) -> None:
        """Refuse an unknown service and invalid headers."""
        super().check()
        service = self._find_service(self.path_args[0])
        timeout_s = service.timeout_s
        timeout_header = self.request.headers.get(TIMEOUT_HEADER)
        if timeout_header is not None:
            timeout_s = min(timeout_s, _parse_timeout_s(timeout_header))
        key = self._idempotency_key()
        self._request_without_body = request_module.Request(
            request_id=key or uuid.uuid4().hex,
            account=self.account(),
            service=service,
            body=b"",
            deadline_s=time.monotonic() + timeout_s,
            has_key=key is not None,
        )

    async def post(self, _service_name: str) -> None:
        """Run the body on an executor of the service."""
        self.caller()
        request = dataclasses.replace(
            self._request_without_body, body=self.request.body
        )
        outcome = await self.node.dispatcher.run(request)
        write_outcome(self, request.request_id, outcome)

    def _find_service(self, name: str) -> model.ServiceSpec:
        service = self.node.feed.current.services.get(name)
        if service is None:
            raise base.Refused(
                errors.NotFound(
                    message=f"There is no service {name!r}.",
                    remedy=f"Add [service.{name}] to the folder.",
                )
            )
        return service

    def _idempotency_key(self) -> str | None:
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None or _KEY.fullmatch(key):
            return key
        raise base.Refused(
            errors.InvalidField(
                message="The key is empty, too long or not plain ASCII.",
                remedy=f"Use 1 to {MAX_KEY_LENGTH} ASCII characters without "
                "spaces.",
                source="header",
                field=IDEMPOTENCY_KEY_HEADER,
                value=f"{len(key)} characters",
            )
        )


class OutcomeHandler(_RateLimitedHandler):
    """``GET /v1/requests/<id>``."""

    async def get(self, request_id: str) -> None:
        """Return the outcome of a claimed request, whichever VM ran it."""
        caller = self.caller()
        found = await self.node.dispatcher.claims.find(
            caller.account, request_id
        )
        if isinstance(found, result.Failure):
            write_outcome(self, request_id, _store_unavailable(request_id))
            return
        claim = found.unwrap()
        if claim is None:
            raise base.Refused(
                errors.NotFound(
                    message="No outcome is stored for this account and "
                    "request id.",
                    remedy="Outcomes of idempotent services are not stored; "
                    "others are stored for the retention time.",
                )
            )
        write_outcome(self, request_id, at_most_once.outcome_from_claim(claim))


def write_outcome(
    handler: base.Handler, request_id: str, outcome: request_module.Outcome
) -> None:
    """Write the response; its outcome header is always set.

    The outcome is exactly one of ran, did not run and unknown.
    """
    handler.set_header(base.REQUEST_ID_HEADER, request_id)
    handler.set_header(
        limited_server.OUTCOME_HEADER, dispatch.outcome_label(outcome)
    )
    if isinstance(outcome, result.Success):
        answer = outcome.unwrap()
        handler.set_header("Content-Type", answer.content_type)
        handler.set_status(answer.status)
        handler.write(answer.body)
        return
    handler.refuse(outcome.failure())


def _store_unavailable(request_id: str) -> request_module.Outcome:
    return result.Failure(
        errors.OutcomeUnknown(
            message="The outcome cannot be read from the store now.",
            remedy=f"Retry GET /v1/requests/{request_id} later.",
        )
    )


def _parse_timeout_s(text: str) -> float:
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
