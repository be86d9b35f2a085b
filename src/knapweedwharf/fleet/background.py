"""Parts of a VM that do their work in one task of their own."""

from __future__ import annotations

import asyncio


class Background:
    """One task between ``start`` and ``close``; subclasses say what."""

    _task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin the work."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the work, wherever it is."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        raise NotImplementedError
