"""Asyncio tasks that an unexpected error does not end."""

from __future__ import annotations

import asyncio
from collections import abc

from knapweedwharf import backoff
from knapweedwharf import log

_FIRST_PAUSE_S = 0.05
"""Shorter than any lease, so that a session keeps the runs of its executor."""

_LONGEST_PAUSE_S = 1.0
"""An error that stays costs one try a second."""


async def keep_running(run: abc.Callable[[], abc.Awaitable], name: str):
    """Run a task; run it again after a pause if it raises.

    A line is written for each new error, not for its repetitions.

    :returns: once the task has ended by itself.
    """
    delays = backoff.Backoff(initial_s=_FIRST_PAUSE_S, max_s=_LONGEST_PAUSE_S)
    told = ""
    while True:
        try:
            return await run()
        except Exception as error:
            # The task's state is in its object; the next run continues.
            if repr(error) != told:
                log.get("background").exception("task-broken", task=name)
            told = repr(error)
        await asyncio.sleep(delays.next_s())


class Background:
    """Runs ``_run`` of a subclass from ``start`` until ``close``."""

    _task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(
            keep_running(self._run, type(self).__name__)
        )

    async def close(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
