"""Bounds the starts in flight, so that they don't fill the VM's link.

A step of hundreds of tasks is placed at once, and each start carries the
job's specification. Sent together they would hold up renewals for longer
than executors wait for them.
"""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import heapq
import itertools

MAX_LINK_DELAY_S = 0.1
"""Time for which starts may occupy the link; a seventh of the shortest
time-out of a renewal."""

MAX_STARTS = 64
"""Answers that may arrive together; each takes about a millisecond of the
owner's event loop."""

START_OVERHEAD_BYTES = 600
"""Headers, packets and the opening of a connection."""


class StartWindow:
    """Lets starts pass in order of their priority.

    A start larger than the window passes alone.

    :param link_bps: bandwidth of the VM's link, in bits per second.
    """

    def __init__(self, link_bps: float) -> None:
        self._max_bytes = link_bps / 8 * MAX_LINK_DELAY_S
        self._bytes = 0
        self._starts = 0
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, int, asyncio.Future]] = []

    @contextlib.asynccontextmanager
    async def slot(
        self, priority: int, specification_bytes: int
    ) -> abc.AsyncIterator[None]:
        """Wait for room in the window and hold it inside the block.

        :param priority: lower values pass first.
        """
        size = specification_bytes + START_OVERHEAD_BYTES
        await self._enter(priority, size)
        try:
            yield
        finally:
            self._leave(size)

    async def _enter(self, priority: int, size: int) -> None:
        if not self._waiting and self._has_room(size):
            self._hold(size)
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._numbers), size, turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._leave(size)
            raise

    def _has_room(self, size: int) -> bool:
        if not self._starts:
            return True
        return (
            self._starts < MAX_STARTS and self._bytes + size <= self._max_bytes
        )

    def _hold(self, size: int) -> None:
        self._starts += 1
        self._bytes += size

    def _leave(self, size: int) -> None:
        self._starts -= 1
        self._bytes -= size
        while self._waiting:
            _priority, _number, next_size, turn = self._waiting[0]
            if not turn.done() and not self._has_room(next_size):
                return
            heapq.heappop(self._waiting)
            if not turn.done():
                self._hold(next_size)
                turn.set_result(None)
