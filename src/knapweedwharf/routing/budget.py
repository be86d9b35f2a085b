"""Budgets that refill: retries as a share of traffic, and rates."""

from __future__ import annotations

from collections import abc
import time

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Allows retries up to a share of the requests that came.

    :param reserve: retries that may be saved up in quiet times.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self) -> bool:
        """Take a retry; False when the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimit:
    """Token bucket of one account on one entry VM."""

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._tokens: float | None = None
        self._filled_at_s = clock()

    def wait_s(self, *, rate_per_s: float, burst: float) -> float:
        """Take a token; return 0, or how long until there is one."""
        now_s = self._clock()
        if self._tokens is None:
            self._tokens = burst
        gained = (now_s - self._filled_at_s) * rate_per_s
        self._tokens = min(burst, self._tokens + gained)
        self._filled_at_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / rate_per_s
