"""Exponential backoff with jitter.

The jitter keeps nodes that lost the same external system from
reconnecting to it at the same moment.
"""

from __future__ import annotations

import random

_MIN_JITTER_FACTOR = 0.5


class Backoff:
    """Computes the delays between retries.

    :param initial_s: upper bound of the first delay.
    :param max_s: upper bound of all delays.
    :param seed: makes the delays reproducible.
    """

    def __init__(
        self, *, initial_s: float, max_s: float, seed: int | None = None
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random.Random(seed)
        self._failures = 0

    def next_s(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        ceiling_s = min(self._initial_s * 2**self._failures, self._max_s)
        if ceiling_s < self._max_s:
            self._failures += 1
        return jittered_s(ceiling_s, self._random)

    def reset(self) -> None:
        """Start again with the first delay."""
        self._failures = 0


def jittered_s(period_s: float, source: random.Random) -> float:
    """Return a random time between half of a period and all of it."""
    return period_s * source.uniform(_MIN_JITTER_FACTOR, 1.0)
