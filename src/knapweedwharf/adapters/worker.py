"""A worker's control interface: messages, registry and HTTP kind.

A worker refuses orders whose epoch is older than the newest it has
seen, and ends tasks whose lease lapses. All orders are idempotent by
attempt id. docs/reference/worker.md is the whole contract.
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
    """What one task of a gang takes on one worker.

    :ivar accelerators: indexes of accelerators on the worker.
    """

    task_index: int
    accelerators: tuple[int, ...]
    cores: int
    memory_mib: int


@dataclasses.dataclass(frozen=True)
class Order:
    """One order for an attempt's tasks on one worker.

    :ivar kind: one of the constants of this module.
    :ivar lease_s: how long a hold or a start lasts without renewal.
    :ivar descriptor: the job's record, kept by the worker so that a
        new scheduling node can adopt the attempt; JSON text.
    :ivar number: rises with each attempt of an epoch; a worker that
        has forgotten stopped attempts refuses holds up to theirs.
    """

    kind: str
    attempt_id: str
    tasks: tuple[TaskSlice, ...] = ()
    lease_s: float = 0.0
    descriptor: str = ""
    number: int = 0


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """What became of one order."""

    attempt_id: str
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class TaskOutcome:
    """How a task ended, kept until the owner releases the attempt.

    :ivar kind: one of ``TASK_ENDS``.
    """

    task_index: int
    kind: str
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class HeldTask:
    """An attempt's tasks as the worker sees them.

    :ivar state: ``held``, ``provisional``, ``running``, ``ended``.
    """

    attempt_id: str
    state: str
    tasks: tuple[TaskSlice, ...]
    descriptor: str = ""
    outcomes: tuple[TaskOutcome, ...] = ()


@dataclasses.dataclass(frozen=True)
class WorkerState:
    """Capacity and tasks of a worker, returned by a seal.

    :ivar clock_s: the worker's clock, for the next renewal.
    """

    worker_id: str
    rack: str
    data_centre: str
    accelerators: int
    cores: int
    memory_mib: int
    attempts: tuple[HeldTask, ...]
    sequence: int
    clock_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WorkerEvent:
    """Something that happened on a worker, in sequence.

    :ivar kind: one of ``TASK_ENDS``, or ``usage``.
    :ivar cores: processors in use, in a usage report.
    :ivar memory_mib: memory in use, in a usage report.
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
    """Answer to a renewal: what happened since the last one.

    :ivar clock_s: the worker's clock, for the next renewal.
    """

    events: tuple[WorkerEvent, ...]
    sequence: int
    clock_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RenewalOrder:
    """What a renewal asks for.

    The leases run until ``as_of_s + lease_s`` on the worker's clock,
    so that a renewal that arrives late extends nothing.

    :ivar as_of_s: the worker's clock in its last answer.
    :ivar release: attempts that are not renewed, and forgotten if they
        have ended.
    :ivar after_sequence: the newest event that is known.
    :ivar wait_s: how long the answer may wait for an event.
    """

    lease_s: float
    as_of_s: float
    after_sequence: int
    wait_s: float
    release: tuple[str, ...] = ()


class Worker(typing.Protocol):
    """Control of workers by their address."""

    async def seal(
        self, address: str, *, epoch: int
    ) -> result.Result[WorkerState, errors.Fault]:
        """Refuse older epochs from now on and report the state."""

    async def send(
        self, address: str, *, epoch: int, orders: typing.Sequence[Order]
    ) -> result.Result[list[OrderResult], errors.Fault]:
        """Carry out orders in turn; ``Fenced`` if the epoch is old."""

    async def renew(
        self, address: str, *, epoch: int, order: RenewalOrder
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew confirmed attempts; wait for events."""

    def close(self) -> None:
        """Close connections."""


Factory = typing.Callable[[settings_module.Settings], Worker]
WORKERS: registry.Registry[Factory] = registry.Registry(subject="worker")


@WORKERS.register("http-json")
class HttpWorker:
    """Speaks JSON over HTTP; documented in docs/reference."""

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
        """Refuse older epochs from now on and report the state."""
        answer = await self._transport.post_json(
            f"{address}/seal", {"epoch": epoch}, timeout_s=self._timeout_s
        )
        return answer.bind(lambda reply: _parse(WorkerState, reply))

    async def send(
        self, address: str, *, epoch: int, orders: typing.Sequence[Order]
    ) -> result.Result[list[OrderResult], errors.Fault]:
        """Carry out orders in turn; ``Fenced`` if the epoch is old."""
        document = {"epoch": epoch, "orders": codec.plain(orders)}
        answer = await self._transport.post_json(
            f"{address}/orders", document, timeout_s=self._timeout_s
        )
        return answer.bind(lambda reply: _parse(_Results, reply)).map(
            lambda reply: list(reply.results)
        )

    async def renew(
        self, address: str, *, epoch: int, order: RenewalOrder
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew confirmed attempts; wait for events."""
        document = {"epoch": epoch, **codec.plain(order)}
        answer = await self._transport.post_json(
            f"{address}/renew",
            document,
            timeout_s=order.wait_s + self._timeout_s,
        )
        return answer.bind(lambda reply: _parse(Renewal, reply))


@dataclasses.dataclass(frozen=True)
class _Results:
    """Answer to orders."""

    results: tuple[OrderResult, ...]


def _parse(
    kind: type, document: typing.Any
) -> result.Result[typing.Any, errors.Fault]:
    try:
        return result.Success(codec.build(kind, document))
    except (AttributeError, KeyError, TypeError):
        return result.Failure(
            errors.OutcomeUnknown(
                message=f"The worker's answer is no {kind.__name__}.",
                remedy="Compare it with docs/reference/worker.md.",
            )
        )
