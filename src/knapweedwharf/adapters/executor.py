"""Client of executors: one request, one complete answer."""

from __future__ import annotations

import dataclasses
import re
import typing

from returns import result

from knapweedwharf.adapters import channel
from knapweedwharf.adapters import transport
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_ID_HEADER = "X-Attempt-Id"
TIMEOUT_HEADER = "X-Timeout-Ms"
RUNNING_HEADER = "X-Running"
LEAVING_HEADER = "X-Leaving"

MAX_ANSWER_BYTES = 1_000_000
REFUSED_STATUS = 503
REFUSED_RETRY_AFTER_S = 1.0
_DEFAULT_CONTENT_TYPE = "application/octet-stream"
_CONTENT_TYPE = re.compile(r"^[\x20-\x7e]{1,200}$")


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a request.

    :ivar timeout_s: time left until the caller's deadline.
    :ivar idempotent: running the request twice is safe.
    """

    request_id: str
    attempt_id: str
    service: str
    body: bytes
    timeout_s: float
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class Signal:
    """Load and drain state that an executor reports with an answer.

    :ivar running: number of requests that it runs for all entry VMs, or
        None if it doesn't report one.
    :ivar leaving: it is about to leave and asks for no more work.
    """

    running: int | None = None
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer whose attempt id matches the call."""

    status: int
    content_type: str
    body: bytes
    signal: Signal = Signal()


@dataclasses.dataclass(frozen=True)
class Refusal(errors.DidNotRun):
    """The executor refused the call without running any of it."""

    signal: Signal = Signal()


class Executor(typing.Protocol):
    """Runs calls on executors by their address."""

    async def run(
        self, address: str, call: Call
    ) -> result.Result[Answer, errors.Fault]:
        """Run one call.

        ``Unreachable`` and ``Refusal`` mean that the call did not run,
        ``OutcomeUnknown`` that it may have run.
        """

    async def probe(
        self, address: str, *, timeout_s: float
    ) -> result.Result[Signal, errors.Fault]:
        """Read the executor's signal without sending it a call."""

    def set_connection_limit(self, limit: int) -> None:
        """Limit the open connections to each executor."""

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Executor]
EXECUTORS: registry.Registry[Factory] = registry.Registry(subject="executor")


@EXECUTORS.register("http")
class HttpExecutor:
    """Posts the caller's body to ``/run/<service>``.

    Idempotent calls reuse idle connections. A call that is not
    idempotent gets a new connection: the executor can close an idle
    connection while the request is in flight, which would needlessly
    leave the outcome unknown.
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        del settings
        self._transport = transport.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    def set_connection_limit(self, limit: int) -> None:
        """Limit the open connections to each executor."""
        self._transport.max_connections_per_host = limit

    async def run(
        self, address: str, call: Call
    ) -> result.Result[Answer, errors.Fault]:
        """Run one call and check that the answer carries its attempt id."""
        outcome = await self._transport.exchange(
            method="POST",
            url=f"{address}/run/{call.service}",
            headers={
                REQUEST_ID_HEADER: call.request_id,
                ATTEMPT_ID_HEADER: call.attempt_id,
                TIMEOUT_HEADER: str(int(call.timeout_s * 1000)),
            },
            body=call.body,
            timeout_s=call.timeout_s,
            new_connection=not call.idempotent,
        )
        checked = outcome.bind(lambda reply: _check(reply, call))
        if isinstance(checked, result.Failure):
            if not isinstance(checked.failure(), Refusal):
                self._transport.close_idle(address)
        return checked

    async def probe(
        self, address: str, *, timeout_s: float
    ) -> result.Result[Signal, errors.Fault]:
        """Read the executor's signal without sending it a call."""
        outcome = await self._transport.exchange(
            method="GET", url=f"{address}/healthz", timeout_s=timeout_s
        )
        return outcome.map(_signal)


def _check(
    reply: channel.Reply, call: Call
) -> result.Result[Answer, errors.Fault]:
    attempt_id = reply.headers.get(ATTEMPT_ID_HEADER.lower())
    if attempt_id != call.attempt_id:
        return result.Failure(
            errors.OutcomeUnknown(
                message="The executor's answer belongs to another attempt.",
                remedy="Query the request by its id.",
            )
        )
    if reply.status == REFUSED_STATUS:
        return result.Failure(
            Refusal(
                message="The executor refused the request.",
                remedy="Try again after the given time.",
                retry_after_s=REFUSED_RETRY_AFTER_S,
                signal=_signal(reply),
            )
        )
    return result.Success(
        Answer(
            status=reply.status,
            content_type=_content_type(reply),
            body=reply.body,
            signal=_signal(reply),
        )
    )


def _signal(reply: channel.Reply) -> Signal:
    running = reply.headers.get(RUNNING_HEADER.lower(), "")
    return Signal(
        running=int(running) if re.fullmatch(r"[0-9]{1,6}", running) else None,
        leaving=LEAVING_HEADER.lower() in reply.headers,
    )


def _content_type(reply: channel.Reply) -> str:
    found = reply.headers.get("content-type", "")
    return found if _CONTENT_TYPE.match(found) else _DEFAULT_CONTENT_TYPE
