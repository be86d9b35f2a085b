"""A caller's request and its outcome."""

from __future__ import annotations

import dataclasses
import hashlib
import time

from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.core import model
from knapweedwharf import errors

RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request, read and authenticated.

    :ivar deadline_s: monotonic time of the caller's deadline.
    :ivar has_key: the id is the caller's idempotency key, so the caller
        may retry with the same id.
    """

    request_id: str
    account: model.AccountSpec
    service: model.ServiceSpec
    body: bytes
    deadline_s: float
    has_key: bool = False

    @property
    def remaining_s(self) -> float:
        """Seconds left until the deadline."""
        return self.deadline_s - time.monotonic()

    def fingerprint(self) -> str:
        """Return a hash of the service and the body.

        It tells a retry from a different request with the same key.
        """
        name = self.service.name.encode()
        return hashlib.sha256(name + b"\0" + self.body).hexdigest()


Answer = executor_module.Answer
Outcome = result.Result[executor_module.Answer, errors.Fault]


def certainly_not_run(outcome: Outcome) -> bool:
    """Tell whether it is certain that the request did not run."""
    if isinstance(outcome, result.Success):
        return False
    return isinstance(
        outcome.failure(), (errors.Unreachable, errors.DidNotRun)
    )


def did_not_run(
    why: str, *, retry_after_s: float = RETRY_AFTER_S
) -> result.Result[executor_module.Answer, errors.Fault]:
    """Return the outcome of a request that did not run."""
    return result.Failure(
        errors.DidNotRun(
            message=f"{why} The request did not run.",
            remedy="Retry with the same key after the given time.",
            retry_after_s=retry_after_s,
        )
    )


def unknown(request: Request) -> Outcome:
    """Return the outcome of a request that may have run."""
    if request.service.idempotent:
        remedy = "The service is idempotent: retry the request."
    else:
        remedy = f"Ask GET /v1/requests/{request.request_id} on any VM."
    return result.Failure(
        errors.OutcomeUnknown(
            message="It is not known whether the request ran.",
            remedy=remedy,
        )
    )
