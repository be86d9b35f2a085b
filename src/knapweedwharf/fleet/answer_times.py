"""How long executors take to answer, as seen from this VM.

If most executors answer late, the VM's own link or processor is busy.
Calls then wait longer, so that this isn't taken for a failure of all
executors at once.
"""

from __future__ import annotations

import statistics

from knapweedwharf.fleet import clock

TIMEOUT_FACTOR = 3.0
"""Multiple of the typical answer time after which a call has failed."""

MAX_TIMEOUT_S = 1.0
"""Executors that are cut off all at once are probed at least as often, so
that their return is seen before their leases end."""

MIN_EXECUTORS = 3
"""With fewer, the answers don't tell the executors from the VM's link."""

_REFRESH_S = 0.1


class AnswerTimes:
    """The latest answer time of each executor.

    The median isn't moved by the executors of a rack or a data centre
    that are cut off.
    """

    def __init__(self) -> None:
        self._latest_s: dict[str, float] = {}
        self._typical_s = 0.0
        self._computed_s = 0.0

    def add(self, executor_id: str, took_s: float) -> None:
        """Record an answer, or for how long none has come."""
        self._latest_s[executor_id] = took_s

    def forget(self, executor_id: str) -> None:
        """Forget an executor that is gone."""
        self._latest_s.pop(executor_id, None)

    @property
    def typical_s(self) -> float:
        """The median of the executors' latest answer times."""
        if len(self._latest_s) < MIN_EXECUTORS:
            return 0.0
        now_s = clock.elapsed_s()
        if now_s - self._computed_s >= _REFRESH_S:
            self._computed_s = now_s
            self._typical_s = statistics.median_low(self._latest_s.values())
        return self._typical_s

    def timeout_s(self, least_s: float) -> float:
        """Return how long to wait for an answer: within ``MAX_TIMEOUT_S``.

        :param least_s: the time-out while executors answer as usual.
        """
        usual_s = min(TIMEOUT_FACTOR * self.typical_s, MAX_TIMEOUT_S)
        return max(least_s, usual_s)
