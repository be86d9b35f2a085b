"""Waits while what was read from the store may be out of date."""

from __future__ import annotations

import asyncio
from collections import abc

from knapweedwharf.fleet import clock

MAX_AGE_SHARE = 2 / 3
"""Share of the time within which starts must cease after a request for which
the owner starts work without the store's word that none has come; the rest is
for starts under way."""

STALE_POLL_S = 0.05
"""Time between checks of whether the store has confirmed it."""


class Confirmation:
    """Lets starts wait while a request may have been missed for too long.

    :param limit_s: time after a request within which starts must cease; 0
        if there is no such limit.
    :param age_s: returns the time since the store last confirmed what was
        read, in seconds; infinite before that.
    :param on_stale: called once when a wait begins.
    :param on_confirmed: called once when it has ended, with its length in
        seconds.
    """

    def __init__(
        self,
        *,
        limit_s: float,
        age_s: abc.Callable[[], float],
        on_stale: abc.Callable[[], None],
        on_confirmed: abc.Callable[[float], None],
    ) -> None:
        self.max_age_s = MAX_AGE_SHARE * limit_s
        self._age_s = age_s
        self._on_stale = on_stale
        self._on_confirmed = on_confirmed
        self._stale_s: float | None = None

    async def wait(self) -> bool:
        """Wait until it is recent enough; return whether that took time."""
        if not self._is_stale:
            return False
        if self._stale_s is None:
            self._stale_s = clock.elapsed_s()
            self._on_stale()
        while self._is_stale:
            await asyncio.sleep(STALE_POLL_S)
        if self._stale_s is not None:
            after_s = clock.elapsed_s() - self._stale_s
            self._stale_s = None
            self._on_confirmed(after_s)
        return True

    @property
    def _is_stale(self) -> bool:
        return 0 < self.max_age_s < self._age_s()
