"""Base class of components that run one asyncio task."""

from __future__ import annotations

import asyncio


class Background:
    """Runs ``_run`` of a subclass from ``start`` until ``close``."""

    _task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
