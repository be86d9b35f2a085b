"""Graceful shutdown: what a node finishes before it exits.

1. Readiness is off, the balancer's wait runs; new requests are still
   taken, and their connections are closed after the answer.
2. The listening socket closes once nothing is in flight.
3. The rest is answered and the outcomes of claims are written.

The deadline or a second signal ends this at once: the connections to
executors are closed, and the callers that still wait are told that
the outcome is unknown.
"""

from __future__ import annotations

import asyncio
from collections import abc
import dataclasses
import typing

from knapweedwharf import log
from knapweedwharf import settings as settings_module

_POLL_S = 0.02
_ACCEPT_GRACE_S = 0.1
_ABORT_GRACE_S = 0.5


class InFlight:
    """Counts requests that have begun and not been answered."""

    def __init__(self) -> None:
        self.count = 0

    def begin(self) -> None:
        """Count a request whose headers have been read."""
        self.count += 1

    def end(self) -> None:
        """Count its answer, or the loss of its caller."""
        self.count -= 1


class Server(typing.Protocol):
    """What a drain needs of the HTTP server."""

    def close_after_answers(self) -> None:
        """Close each connection after its next answer."""

    def stop(self) -> None:
        """Close the listening socket."""


@dataclasses.dataclass(frozen=True)
class Drained:
    """How a drain ended.

    :ivar cut: requests that were not finished.
    :ivar unsettled: claims whose outcome was not written.
    """

    cut: int
    unsettled: int

    @property
    def event(self) -> str:
        """Event of the node's chart."""
        return "force" if self.cut else "drained"


class Drain:
    """One graceful shutdown.

    :param unsettled: counts claims whose outcome is not yet written.
    :param abort: ends what executors still run for this node.
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
        """End the drain at once."""
        self._log.warning("drain-forced", in_flight=self._in_flight.count)
        self._forced.set()

    async def run(self) -> Drained:
        """Drain until all is finished, the deadline or a force."""
        self._log.info("draining", in_flight=self._in_flight.count)
        self._server.close_after_answers()
        finish = asyncio.create_task(self._finish())
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
        drained = Drained(self._in_flight.count, self._unsettled())
        self._log.info("drained", **dataclasses.asdict(drained))
        if drained.cut:
            await self._tell_callers()
        return drained

    async def _tell_callers(self) -> None:
        self._abort()
        try:
            async with asyncio.timeout(_ABORT_GRACE_S):
                await self._until_answered()
        except TimeoutError:
            self._log.error("callers-cut", in_flight=self._in_flight.count)

    async def _finish(self) -> None:
        await asyncio.sleep(self._settings.drain_wait_s)
        await self._until_answered()
        self._server.stop()
        await asyncio.sleep(_ACCEPT_GRACE_S)
        await self._until_answered()
        while self._unsettled():
            await asyncio.sleep(_POLL_S)

    async def _until_answered(self) -> None:
        while self._in_flight.count:
            await asyncio.sleep(_POLL_S)
