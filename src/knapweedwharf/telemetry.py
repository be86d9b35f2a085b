"""Periodic gauges of a node: revision, load, ownership and capacity."""

from __future__ import annotations

import asyncio
import typing

from knapweedwharf import metrics

INTERVAL_S = 10.0

_REVISION = metrics.define(
    "node.revision",
    kind=metrics.GAUGE,
    unit="revision",
    text="Configuration revision in force on the node.",
)
_REVISION_AGE = metrics.define(
    "node.revision_age_s",
    kind=metrics.GAUGE,
    unit="seconds",
    text="Time since the store last confirmed the revision.",
)
_IN_FLIGHT = metrics.define(
    "node.requests_in_flight",
    kind=metrics.GAUGE,
    unit="requests",
    text="Requests begun and not yet answered.",
)
_OWNER = metrics.define(
    "node.owner",
    kind=metrics.GAUGE,
    unit="0 or 1",
    text="Whether the node schedules its data centre.",
)
_FREE_ACCELERATORS = metrics.define(
    "scheduling.free_accelerators",
    kind=metrics.GAUGE,
    unit="accelerators",
    text="Free accelerators of the data centre, sent by its owner.",
)
_QUEUED_JOBS = metrics.define(
    "scheduling.queued_jobs",
    kind=metrics.GAUGE,
    unit="jobs",
    text="Jobs that wait in the data centre, sent by its owner.",
)

Status = dict[str, typing.Any]


class Telemetry:
    """Sends the gauges at a fixed interval."""

    def __init__(
        self,
        *,
        sender: metrics.Metrics,
        status: typing.Callable[[], Status],
    ) -> None:
        self._sender = sender
        self._status = status
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start sending."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self.send()
            await asyncio.sleep(INTERVAL_S)

    def send(self) -> None:
        """Send every gauge once."""
        status = self._status()
        owner = status["free_accelerators"] is not None
        self._sender.gauge(_REVISION, status["revision"])
        if status["revision_age_s"] is not None:
            self._sender.gauge(_REVISION_AGE, status["revision_age_s"])
        self._sender.gauge(_IN_FLIGHT, status["requests_in_flight"])
        self._sender.gauge(_OWNER, int(owner))
        if owner:
            self._sender.gauge(_FREE_ACCELERATORS, status["free_accelerators"])
            self._sender.gauge(_QUEUED_JOBS, status["queued_jobs"])
