"""Control interface of workers: messages, registry and HTTP client.

A worker refuses orders whose epoch is older than the newest one it has
seen, and ends tasks whose lease expires. All orders are idempotent by
attempt id. docs/reference/worker.md specifies the protocol.
"""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import transport
from knapweedwharf import codec
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf import settings as settings_module

_MAX_ANSWER_BYTES = 4 * 1024 * 1024

HOLD = "hold"
START = "start"
CONFIRM = "confirm"
CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"

HELD = "held"
PROVISIONAL = "provisional"
RUNNING = "running"
ENDED = "ended"

TASK_ENDED = "ended"
TASK_LAPSED = "lapsed"
USAGE = "usage"
TASK_ENDS = (TASK_ENDED, "failed", TASK_LAPSED)


@dataclasses.dataclass(frozen=True)
class TaskSlice:
    """Resources that one task of a gang uses on one worker.

    :ivar accelerators: indexes of the accelerators on the worker.
    """

    task_index: int
    accelerators: tuple[int, ...]
    cores: int
    memory_mib: int


@dataclasses.dataclass(frozen=True)
class Order:
    """One order for an attempt's tasks on one worker.

    :ivar kind: ``hold``, ``start``, ``confirm``, ``checkpoint``,
        ``throttle`` or ``stop``.
    :ivar lease_s: how long a hold or a start lasts without renewal.
    :ivar descriptor: the job's record as JSON text; the worker keeps it
        so that a new scheduling node can adopt the attempt.
    :ivar number: increases with each attempt of an epoch. After a
        worker has forgotten stopped attempts, it refuses holds whose
        number is not above theirs.
    """

    kind: str
    attempt_id: str
    tasks: tuple[TaskSlice, ...] = ()
    lease_s: float = 0.0
    descriptor: str = ""
    number: int = 0


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """Result of one order."""

    attempt_id: str
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class TaskOutcome:
    """How a task ended; kept until the owner releases the attempt.

    :ivar kind: one of ``TASK_ENDS``.
    """

    task_index: int
    kind: str
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptState:
    """The tasks of one attempt as the worker reports them.

    :ivar state: ``held``, ``provisional``, ``running``, ``ended``.
    """

    attempt_id: str
    state: str
    tasks: tuple[TaskSlice, ...]
    descriptor: str = ""
    outcomes: tuple[TaskOutcome, ...] = ()


@dataclasses.dataclass(frozen=True)
class WorkerState:
    """Capacity and attempts of a worker; the answer to a seal.

    :ivar clock_s: the worker's clock; ``as_of_s`` of the next renewal.
    """

    worker_id: str
    rack: str
    data_centre: str
    accelerators: int
    cores: int
    memory_mib: int
    attempts: tuple[AttemptState, ...]
    sequence: int
    clock_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WorkerEvent:
    """An event on a worker, numbered in sequence.

    :ivar kind: one of ``TASK_ENDS``, or ``usage``.
    :ivar cores: processor cores in use; set in a usage report.
    :ivar memory_mib: memory in use; set in a usage report.
    """

    sequence: int
    kind: str
    attempt_id: str
    task_index: int
    detail: str = ""
    cores: float = 0.0
    memory_mib: int = 0


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Answer to a renewal: the events since the last one.

    :ivar clock_s: the worker's clock; ``as_of_s`` of the next renewal.
    """

    events: tuple[WorkerEvent, ...]
    sequence: int
    clock_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RenewalRequest:
    """Request to renew the leases on a worker.

    Leases run until ``as_of_s + lease_s`` on the worker's clock, so
    that a renewal that arrives late extends nothing.

    :ivar as_of_s: the worker's clock in its last answer.
    :ivar release: attempts that are not renewed; the worker forgets
        those that have ended.
    :ivar after_sequence: sequence number of the newest known event.
    :ivar wait_s: how long the worker may delay its answer to wait for
        an event.
    """

    lease_s: float
    as_of_s: float
    after_sequence: int
    wait_s: float
    release: tuple[str, ...] = ()


class Worker(typing.Protocol):
    """Controls workers by their address."""

    async def seal(
        self, address: str, *, epoch: int
    ) -> result.Result[WorkerState, errors.Fault]:
        """Have a worker refuse older epochs and report its state."""

    async def send(
        self, address: str, *, epoch: int, orders: typing.Sequence[Order]
    ) -> result.Result[list[OrderResult], errors.Fault]:
        """Have orders executed in sequence; ``Fenced`` if the epoch is old."""

    async def renew(
        self, address: str, *, epoch: int, order: RenewalRequest
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew the leases of confirmed attempts and wait for events."""

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Worker]
WORKERS: registry.Registry[Factory] = registry.Registry(subject="worker")


@WORKERS.register("http-json")
class HttpWorker:
    """Controls workers by JSON over HTTP; see docs/reference/worker.md."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._timeout_s = settings.worker_timeout_s
        self._transport = transport.HttpTransport(
            max_body_bytes=_MAX_ANSWER_BYTES
        )

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    async def seal(
        self, address: str, *, epoch: int
    ) -> result.Result[WorkerState, errors.Fault]:
        """Have a worker refuse older epochs and report its state."""
        answer = await self._transport.post_json(
            f"{address}/seal", {"epoch": epoch}, timeout_s=self._timeout_s
        )
        return answer.bind(lambda reply: _parse(WorkerState, reply))

    async def send(
        self, address: str, *, epoch: int, orders: typing.Sequence[Order]
    ) -> result.Result[list[OrderResult], errors.Fault]:
        """Have orders executed in sequence; ``Fenced`` if the epoch is old."""
        document = {"epoch": epoch, "orders": codec.encode(orders)}
        answer = await self._transport.post_json(
            f"{address}/orders", document, timeout_s=self._timeout_s
        )
        return answer.bind(lambda reply: _parse(_Results, reply)).map(
            lambda reply: list(reply.results)
        )

    async def renew(
        self, address: str, *, epoch: int, order: RenewalRequest
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew the leases of confirmed attempts and wait for events."""
        document = {"epoch": epoch, **codec.encode(order)}
        answer = await self._transport.post_json(
            f"{address}/renew",
            document,
            timeout_s=order.wait_s + self._timeout_s,
        )
        return answer.bind(lambda reply: _parse(Renewal, reply))


@dataclasses.dataclass(frozen=True)
class _Results:
    """Answer to a list of orders."""

    results: tuple[OrderResult, ...]


def _parse(
    kind: type, document: typing.Any
) -> result.Result[typing.Any, errors.Fault]:
    try:
        return result.Success(codec.decode(kind, document))
    except codec.UNDECODABLE:
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The worker's answer is not a valid {kind.__name__}.",
                remedy="Compare it with docs/reference/worker.md.",
            )
        )
