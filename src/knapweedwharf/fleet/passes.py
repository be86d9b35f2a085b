"""Runs scheduling passes beside the other work of the event loop.

On a slow VM a pass takes longer than the owner may take to renew its
lease. So a pass is split into slices, and the loop is left to other
work for a share of the time however long the slices take.
"""

from __future__ import annotations

import asyncio
from collections import abc

from knapweedwharf.fleet import background
from knapweedwharf import log

SLICE_S = 0.005
"""A hundredth of the period in which the owner renews its lease."""

MAX_SLICE_STEPS = 100
"""A slice ends after so many steps, even if the clock doesn't advance."""

MAX_LOOP_SHARE = 0.5
"""Share of the loop's time for passes; reports, orders and the lease need
the rest."""

MAX_PAUSE_S = 0.2
"""Longest pause; a slice that takes longer was interrupted by a pause of the
whole VM."""


class Passes:
    """Runs scheduling passes in slices.

    :param run_step: runs the next step of a pass that is due; returns
        False if none is due.
    :param may_decide: tells whether this VM is still the owner; waits
        while this is in doubt.
    """

    def __init__(
        self,
        *,
        run_step: abc.Callable[[], bool],
        may_decide: abc.Callable[[], abc.Awaitable[bool]],
    ) -> None:
        self._run_step = run_step
        self._may_decide = may_decide
        self._requested = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._log = log.get("passes")

    async def start(self) -> None:
        """Start running passes."""
        self._task = asyncio.create_task(
            background.keep_running(self._run_forever, type(self).__name__)
        )

    async def close(self) -> None:
        """Stop between two slices."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def request(self) -> None:
        """Run a pass soon; one pass serves all requests before it."""
        self._requested.set()

    async def _run_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._requested.wait()
            self._requested.clear()
            is_due = True
            while is_due:
                if not await self._may_decide():
                    return
                begun_s = loop.time()
                is_due = self._run_slice(until_s=begun_s + SLICE_S)
                took_s = loop.time() - begun_s
                pause_s = took_s * (1.0 / MAX_LOOP_SHARE - 1.0)
                await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

    def _run_slice(self, *, until_s: float) -> bool:
        """Run steps for a while; return whether more are due."""
        loop = asyncio.get_running_loop()
        try:
            for _step in range(MAX_SLICE_STEPS):
                if not self._run_step():
                    return False
                if loop.time() >= until_s:
                    break
        except Exception:
            # The next event requests another pass, which may succeed.
            self._log.exception("pass-broken")
            return False
        return True
