"""Graceful shutdown of a node.

1. The node reports that it is not ready and waits for the load
   balancer to notice. It still serves new requests, but closes their
   connections after the response.
2. The listening socket is closed once no request is in flight.
3. Requests that still arrived are served, and the outcomes of claims
   are written.

The deadline or a second signal ends the drain at once: the connections
to executors are closed, and callers with unfinished requests are told
that the outcome is unknown.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import typing

from knapweedwharf import log
from knapweedwharf import settings as settings_module

_POLL_INTERVAL_S = 0.02
_ACCEPT_GRACE_S = 0.1
"""Requests may still arrive on connections accepted before the close."""

_ABORT_GRACE_S = 0.5


class InFlight:
    """Counts requests that have been received and not yet answered."""

    def __init__(self) -> None:
        self.count = 0

    def begin(self) -> None:
        """Count a request whose headers have been read."""
        self.count += 1

    def end(self) -> None:
        """Count a request that was answered or whose caller disconnected."""
        self.count -= 1


class Server(typing.Protocol):
    """What a drain needs from the HTTP server."""

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""

    def stop(self) -> None:
        """Close the listening socket."""


@dataclasses.dataclass(frozen=True)
class DrainResult:
    """Result of a drain.

    :ivar cut: number of requests that were unfinished when it ended.
    :ivar unsettled: number of claims whose outcome was not written.
    """

    cut: int
    unsettled: int

    @property
    def event(self) -> str:
        """Event of the node's state chart."""
        return "force" if self.cut else "drained"


class Drain:
    """One graceful shutdown.

    :param unsettled: returns the number of claims whose outcome is not
        yet written.
    :param abort: closes the connections to executors.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        server: Server,
        in_flight: InFlight,
        unsettled: abc.Callable[[], int],
        abort: abc.Callable[[], None],
    ) -> None:
        self._settings = settings
        self._server = server
        self._in_flight = in_flight
        self._unsettled = unsettled
        self._abort = abort
        self._forced = asyncio.Event()
        self._log = log.get("drain")

    def force(self) -> None:
        """End the drain without waiting for requests in flight."""
        self._log.warning("drain-forced", in_flight=self._in_flight.count)
        self._forced.set()

    async def run(self) -> DrainResult:
        """Drain until all requests are done, the deadline or ``force``."""
        self._log.info("draining", in_flight=self._in_flight.count)
        self._server.disable_keep_alive()
        finish = asyncio.create_task(self._drain_gracefully())
        forced = asyncio.create_task(self._forced.wait())
        limit_s = self._settings.drain_wait_s + self._settings.drain_timeout_s
        await asyncio.wait(
            [finish, forced],
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in (finish, forced):
            task.cancel()
        await asyncio.gather(finish, forced, return_exceptions=True)
        drained = DrainResult(self._in_flight.count, self._unsettled())
        self._log.info("drained", **dataclasses.asdict(drained))
        if drained.cut:
            await self._abort_requests()
        return drained

    async def _abort_requests(self) -> None:
        self._abort()
        try:
            async with asyncio.timeout(_ABORT_GRACE_S):
                await self._wait_until_idle()
        except TimeoutError:
            self._log.error("callers-cut", in_flight=self._in_flight.count)

    async def _drain_gracefully(self) -> None:
        await asyncio.sleep(self._settings.drain_wait_s)
        await self._wait_until_idle()
        self._server.stop()
        await asyncio.sleep(_ACCEPT_GRACE_S)
        await self._wait_until_idle()
        while self._unsettled():
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_until_idle(self) -> None:
        while self._in_flight.count:
            await asyncio.sleep(_POLL_INTERVAL_S)
