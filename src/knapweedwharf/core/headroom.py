"""Room kept free for work that goes first, by what it has lately used.

Work that can wait and still be in time leaves this room alone, so that
what goes first finds room at once instead of stopping others.
"""

from __future__ import annotations

import math


class Headroom:
    """Follows the accelerators that first work uses.

    :ivar in_use: what it uses now.
    """

    def __init__(self) -> None:
        self.in_use = 0
        self._mean = 0.0
        self._square = 0.0
        self._seen_s: float | None = None

    def pass_time(self, now_s: float, *, memory_s: float) -> None:
        """Let what is in use count for the time since the last call.

        :param memory_s: after it, a level counts for a third.
        """
        in_use = self.in_use
        if self._seen_s is None:
            self._mean, self._square = float(in_use), float(in_use**2)
        else:
            share = 1.0 - math.exp((self._seen_s - now_s) / memory_s)
            self._mean += share * (in_use - self._mean)
            self._square += share * (in_use**2 - self._square)
        self._seen_s = now_s

    def kept(self, deviations: float) -> float:
        """Return the accelerators to keep free.

        :param deviations: how many standard deviations above the mean
            the use of first work is provided for.
        """
        variance = max(0.0, self._square - self._mean**2)
        expected = self._mean + deviations * math.sqrt(variance)
        return max(0.0, expected - self.in_use)
