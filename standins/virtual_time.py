"""An event loop whose clock jumps to the next timer when it is idle.

Long leases expire without real waiting, and in a deterministic order.
Works only for code that uses no sockets.
"""

from __future__ import annotations

import asyncio
import selectors
import typing


class _Selector(selectors.PollSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the clock by the timeout and poll without blocking."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: no timer is scheduled and every task is waiting"
            )
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, which starts at zero."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s

    def block(self, seconds: float) -> None:
        """Let time pass as a callback does that returns late."""
        self._virtual.now_s += seconds


def run(main: typing.Coroutine) -> typing.Any:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
