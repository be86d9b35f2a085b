"""An executor's interface: one request, one whole answer."""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import transport
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_ID_HEADER = "X-Attempt-Id"
RUNNING_HEADER = "X-Running"
LEAVING_HEADER = "X-Leaving"


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a request.

    :ivar timeout_s: what is left of the caller's deadline.
    """

    request_id: str
    attempt_id: str
    service: str
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer that belongs to the call.

    :ivar running: requests the executor says it runs, or None.
    :ivar leaving: the executor asks for no more work.
    """

    status: int
    content_type: str
    body: bytes
    running: int | None
    leaving: bool


class Executor(typing.Protocol):
    """Runs calls on executors by their address."""

    async def run(
        self, address: str, call: Call
    ) -> result.Result[Answer, errors.Fault]:
        """Run one call.

        ``Unreachable`` and ``DidNotRun`` say that it did not run;
        ``OutcomeUnknown`` that it may have.
        """

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Executor]
EXECUTORS: registry.Registry[Factory] = registry.Registry(subject="executor")


@EXECUTORS.register("http")
class HttpExecutor:
    """Posts the caller's body to ``/run/<service>``."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._transport = transport.HttpTransport(
            max_body_bytes=settings.max_body_bytes
        )

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    async def run(
        self, address: str, call: Call
    ) -> result.Result[Answer, errors.Fault]:
        """Run one call; the correlation id of the answer is checked."""
        outcome = await self._transport.exchange(
            method="POST",
            url=f"{address}/run/{call.service}",
            headers={
                REQUEST_ID_HEADER: call.request_id,
                ATTEMPT_ID_HEADER: call.attempt_id,
            },
            body=call.body,
            timeout_s=call.timeout_s,
        )
        return outcome.bind(lambda reply: _check(reply, call))


def _check(
    reply: transport.Reply, call: Call
) -> result.Result[Answer, errors.Fault]:
    attempt_id = reply.headers.get(ATTEMPT_ID_HEADER.lower())
    if attempt_id != call.attempt_id:
        return result.Failure(
            errors.OutcomeUnknown(
                message="The executor's answer belongs to another attempt.",
                remedy="Ask again by the request's id.",
            )
        )
    if reply.status == 503:
        return result.Failure(
            errors.DidNotRun(
                message="The executor refused the request.",
                remedy="Try again after the given time.",
                retry_after_s=1.0,
            )
        )
    running = reply.headers.get(RUNNING_HEADER.lower())
    return result.Success(
        Answer(
            status=reply.status,
            content_type=reply.headers.get(
                "content-type", "application/octet-stream"
            ),
            body=reply.body,
            running=int(running) if running else None,
            leaving=LEAVING_HEADER.lower() in reply.headers,
        )
    )
