"""Headroom for work with precedence, predicted from its recent use.

Jobs that can wait and still meet their objective leave the headroom
free, so that work with precedence starts at once without preemption.
"""

from __future__ import annotations

import math


class Headroom:
    """Averages the accelerators that work with precedence uses.

    :ivar in_use: accelerators that it uses now.
    """

    def __init__(self) -> None:
        self.in_use = 0
        self._mean = 0.0
        self._mean_square = 0.0
        self._sampled_s: float | None = None

    @property
    def averages(self) -> tuple[float, float]:
        """The means of the use and of its square."""
        return self._mean, self._mean_square

    def restore(self, mean: float, mean_square: float, now_s: float) -> None:
        """Continue from averages of before, as if nothing had passed."""
        self._mean, self._mean_square = mean, mean_square
        self._sampled_s = now_s

    def sample(self, now_s: float, *, memory_s: float) -> None:
        """Update the moving averages with the use since the last call.

        :param memory_s: time constant of the exponential averages.
        """
        in_use = self.in_use
        if self._sampled_s is None:
            self._mean, self._mean_square = float(in_use), float(in_use**2)
        else:
            share = 1.0 - math.exp((self._sampled_s - now_s) / memory_s)
            self._mean += share * (in_use - self._mean)
            self._mean_square += share * (in_use**2 - self._mean_square)
        self._sampled_s = now_s

    def required(self, deviations: float) -> float:
        """Return the accelerators to keep free.

        :param deviations: number of standard deviations above the mean
            use that is provided for.
        """
        variance = max(0.0, self._mean_square - self._mean**2)
        expected = self._mean + deviations * math.sqrt(variance)
        return max(0.0, expected - self.in_use)
