"""A worker's control interface: messages, registry and HTTP kind.

A worker refuses orders whose epoch is older than the newest it has
seen, and ends tasks whose lease lapses. All orders are idempotent by
attempt id.
"""

from __future__ import annotations

import dataclasses
import typing

from returns import result

from knapweedwharf.adapters import transport
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
    """

    kind: str
    attempt_id: str
    tasks: tuple[TaskSlice, ...] = ()
    lease_s: float = 0.0
    descriptor: str = ""


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """What became of one order."""

    attempt_id: str
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class HeldTask:
    """A task as the worker sees it.

    :ivar state: ``held``, ``provisional``, ``running``, ``ended``.
    """

    attempt_id: str
    state: str
    tasks: tuple[TaskSlice, ...]
    descriptor: str = ""


@dataclasses.dataclass(frozen=True)
class WorkerState:
    """Capacity and tasks of a worker, returned by a seal."""

    worker_id: str
    rack: str
    data_centre: str
    accelerators: int
    cores: int
    memory_mib: int
    attempts: tuple[HeldTask, ...]
    sequence: int


@dataclasses.dataclass(frozen=True)
class WorkerEvent:
    """Something that happened on a worker, in sequence.

    :ivar kind: ``ended``, ``failed``, ``lapsed``, ``checkpointed``,
        ``stopped`` or ``usage``.
    """

    sequence: int
    kind: str
    attempt_id: str
    task_index: int
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Answer to a renewal: what happened since the last one."""

    events: tuple[WorkerEvent, ...]
    sequence: int


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
        self,
        address: str,
        *,
        epoch: int,
        lease_s: float,
        after_sequence: int,
        wait_s: float,
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew all confirmed attempts; wait for events up to wait_s."""

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
        return answer.map(_parse_state)

    async def send(
        self, address: str, *, epoch: int, orders: typing.Sequence[Order]
    ) -> result.Result[list[OrderResult], errors.Fault]:
        """Carry out orders in turn; ``Fenced`` if the epoch is old."""
        document = {
            "epoch": epoch,
            "orders": [dataclasses.asdict(order) for order in orders],
        }
        answer = await self._transport.post_json(
            f"{address}/orders", document, timeout_s=self._timeout_s
        )
        return answer.map(
            lambda reply: [OrderResult(**item) for item in reply["results"]]
        )

    async def renew(
        self,
        address: str,
        *,
        epoch: int,
        lease_s: float,
        after_sequence: int,
        wait_s: float,
    ) -> result.Result[Renewal, errors.Fault]:
        """Renew all confirmed attempts; wait for events up to wait_s."""
        document = {
            "epoch": epoch,
            "lease_s": lease_s,
            "after_sequence": after_sequence,
            "wait_s": wait_s,
        }
        answer = await self._transport.post_json(
            f"{address}/renew", document, timeout_s=wait_s + self._timeout_s
        )
        return answer.map(_parse_renewal)


def _parse_state(document: dict) -> WorkerState:
    attempts = tuple(_parse_held(item) for item in document["attempts"])
    return WorkerState(**{**document, "attempts": attempts})


def _parse_held(item: dict) -> HeldTask:
    tasks = tuple(parse_slice(entry) for entry in item["tasks"])
    return HeldTask(**{**item, "tasks": tasks})


def parse_slice(item: dict) -> TaskSlice:
    """Build a slice from its JSON object."""
    accelerators = tuple(item["accelerators"])
    return TaskSlice(**{**item, "accelerators": accelerators})


def _parse_renewal(document: dict) -> Renewal:
    return Renewal(
        events=tuple(WorkerEvent(**item) for item in document["events"]),
        sequence=document["sequence"],
    )
