"""Exponential backoff with jitter.

The jitter keeps nodes that lost the same external system from
reconnecting to it at the same moment.
"""

from __future__ import annotations

import random

_MIN_JITTER_FACTOR = 0.5


class Backoff:
    """Computes the delays between retries.

    :param first_s: upper bound of the first delay.
    :param longest_s: upper bound of all delays.
    :param seed: makes the delays reproducible.
    """

    def __init__(
        self, *, first_s: float, longest_s: float, seed: int | None = None
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = random.Random(seed)
        self._failures = 0

    def next_s(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        ceiling_s = min(self._first_s * 2**self._failures, self._longest_s)
        if ceiling_s < self._longest_s:
            self._failures += 1
        return spread_s(ceiling_s, self._random)

    def reset(self) -> None:
        """Start again with the first delay."""
        self._failures = 0


def spread_s(period_s: float, source: random.Random) -> float:
    """Return a random time between half of a period and all of it."""
    return period_s * source.uniform(_MIN_JITTER_FACTOR, 1.0)
