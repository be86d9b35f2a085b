"""An event loop whose clock jumps to the next timer when all is idle.

Long leases lapse at once and in the same order every time. Only for
code without sockets.
"""

from __future__ import annotations

import asyncio
import selectors
import typing


class _Selector(selectors.SelectSelector):
    """Advances the clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Jump over the time in which nothing happens."""
        if timeout is None:
            raise RuntimeError("every task waits for ever")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time that begins at zero."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


def run(main: typing.Coroutine) -> typing.Any:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
