"""Waits between tries that grow and are spread at random.

The spread keeps nodes that lost the same outside system from coming
back to it at the same moment.
"""

from __future__ import annotations

import random

_LOWEST_SHARE = 0.5


class Backoff:
    """Exponential waits with jitter.

    :param first_s: longest first wait.
    :param longest_s: bound of all waits.
    :param seed: makes the waits repeatable.
    """

    def __init__(
        self, *, first_s: float, longest_s: float, seed: int | None = None
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = random.Random(seed)
        self._failures = 0

    def next_s(self) -> float:
        """Count one more failure and return how long to wait."""
        ceiling_s = min(self._first_s * 2**self._failures, self._longest_s)
        if ceiling_s < self._longest_s:
            self._failures += 1
        return spread_s(ceiling_s, self._random)

    def reset(self) -> None:
        """Begin again with the shortest wait."""
        self._failures = 0


def spread_s(period_s: float, source: random.Random) -> float:
    """Return a wait between half of a period and the whole of it."""
    return period_s * source.uniform(_LOWEST_SHARE, 1.0)
