"""Token buckets: the retry budget and the rate limit of an account."""

from __future__ import annotations

from collections import abc
import time

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Limits retries to a share of the requests.

    :param share: retries allowed for each request.
    :param reserve: bound of the unused retries that accumulate, and
        their number at the start.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Take one retry; return False if the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimiter:
    """Token bucket of one account on one entry VM.

    The rate and the burst are given with each request, since they
    depend on the configuration and on the number of entry VMs.
    """

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._tokens: float | None = None
        self._refilled_at_s = clock()

    def try_acquire(self, *, rate_per_s: float, burst: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        now_s = self._clock()
        if self._tokens is None:
            self._tokens = burst
        refill = (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(burst, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / rate_per_s
