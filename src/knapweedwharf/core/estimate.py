"""Run times as learned from each account's kinds of job.

Estimates order the queue and date reservations; nothing that must
hold depends on them.
"""

from __future__ import annotations

import math

from knapweedwharf.core import model

LEARNING_SHARE = 0.2
MAX_FACTOR = 16.0
MAX_KINDS = 2000
OVERRUN_SHARE = 0.5


class Estimates:
    """Correction factors by account and kind of job."""

    def __init__(self) -> None:
        self._log_factors: dict[tuple[str, str], float] = {}

    def learn(self, job: model.JobSpec, ran_s: float) -> None:
        """Take in how long a finished job ran."""
        if ran_s <= 0 or job.declared_run_s <= 0:
            return
        limit = math.log(MAX_FACTOR)
        seen = math.log(ran_s / job.declared_run_s)
        seen = max(-limit, min(limit, seen))
        key = (job.account, job.kind)
        known = self._log_factors.pop(key, None)
        if known is None:
            known = seen
        self._log_factors[key] = known + LEARNING_SHARE * (seen - known)
        if len(self._log_factors) > MAX_KINDS:
            del self._log_factors[next(iter(self._log_factors))]

    def factor(self, job: model.JobSpec) -> float:
        """Return how many times the declared time such jobs run."""
        key = (job.account, job.kind)
        return math.exp(self._log_factors.get(key, 0.0))

    def run_s(self, job: model.JobSpec) -> float:
        """Return the expected run time."""
        return job.declared_run_s * self.factor(job)

    def end_s(
        self, job: model.JobSpec, *, started_s: float, now_s: float
    ) -> float:
        """Return when a running job is expected to end.

        A job that overran its estimate is expected to run for another
        share of the time it has run.
        """
        expected_s = started_s + self.run_s(job)
        if expected_s > now_s:
            return expected_s
        return now_s + OVERRUN_SHARE * max(now_s - started_s, 1.0)
