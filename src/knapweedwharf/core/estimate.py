"""Run time estimates, learned by account and kind of job.

Estimates order the queue and date reservations; no guarantee depends
on them.
"""

from __future__ import annotations

import math

from knapweedwharf.core import model

SMOOTHING_FACTOR = 0.2
MAX_FACTOR = 16.0
MAX_KINDS = 2000
OVERRUN_SHARE = 0.5
MIN_SLOWDOWN_RUN_S = 10.0
INITIAL_CHECKPOINT_FAILURE_SHARE = 0.2
"""Initial estimate of the share of checkpoints that fail."""


class Estimates:
    """Ratios of actual to declared run time, by account and kind of job."""

    def __init__(self) -> None:
        self._log_factors: dict[tuple[str, str], float] = {}
        self._typical_s: dict[str, float] = {}
        self._checkpoint_failure_share = INITIAL_CHECKPOINT_FAILURE_SHARE

    def record_checkpoint(self, *, saved: bool) -> None:
        """Record whether a stopped attempt saved its progress."""
        change = (0.0 if saved else 1.0) - self._checkpoint_failure_share
        self._checkpoint_failure_share += SMOOTHING_FACTOR / 4 * change

    def lost_s(
        self, job: model.JobSpec, elapsed_s: float, *, restart_s: float
    ) -> float:
        """Return the run time that a stop is expected to lose."""
        if not elapsed_s:
            return 0.0
        unsaved = self._checkpoint_failure_share if job.saves_progress else 1.0
        return unsaved * elapsed_s + restart_s

    def bounded_slowdown(
        self, job: model.JobSpec, *, end_s: float, more_s: float = 0.0
    ) -> float:
        """Return a job's bounded slowdown.

        That is its time from submission to completion as a multiple of
        its run time, which counts as ``MIN_SLOWDOWN_RUN_S`` at least.

        :param end_s: when it is expected to end.
        :param more_s: time to add to ``end_s``.
        """
        run_s = max(self.run_s(job), MIN_SLOWDOWN_RUN_S)
        return (end_s + more_s - job.submitted_s) / run_s

    def learn(self, job: model.JobSpec, ran_s: float) -> None:
        """Update the estimates with the run time of a finished job.

        :param ran_s: as on workers of the usual speed.
        """
        if ran_s <= 0 or job.declared_run_s <= 0:
            return
        known_s = self._typical_s.pop(job.kind, ran_s)
        self._typical_s[job.kind] = known_s + SMOOTHING_FACTOR * (
            ran_s - known_s
        )
        if len(self._typical_s) > MAX_KINDS:
            del self._typical_s[next(iter(self._typical_s))]
        limit = math.log(MAX_FACTOR)
        seen = math.log(ran_s / job.declared_run_s)
        seen = max(-limit, min(limit, seen))
        key = (job.account, job.kind)
        known = self._log_factors.pop(key, None)
        if known is None:
            known = seen
        self._log_factors[key] = known + SMOOTHING_FACTOR * (seen - known)
        if len(self._log_factors) > MAX_KINDS:
            del self._log_factors[next(iter(self._log_factors))]

    def factor(self, job: model.JobSpec) -> float:
        """Return the expected ratio of actual to declared run time."""
        key = (job.account, job.kind)
        return math.exp(self._log_factors.get(key, 0.0))

    def cautious_run_s(self, job: model.JobSpec) -> float:
        """Return a cautious estimate of the run time.

        It is no lower than the average of the job's kind, so a declared
        time that is far too short does not make the job count as late.
        """
        return max(self.run_s(job), self._typical_s.get(job.kind, 0.0))

    def run_s(self, job: model.JobSpec) -> float:
        """Return the expected run time."""
        return job.declared_run_s * self.factor(job)

    def end_s(
        self,
        job: model.JobSpec,
        *,
        started_s: float,
        now_s: float,
        speed: float = 1.0,
    ) -> float:
        """Return when a running job is expected to end.

        A job that overran its estimate is expected to run on for
        ``OVERRUN_SHARE`` of the time it has run.

        :param speed: of its slowest worker; 1.0 is the usual one.
        """
        expected_s = started_s + self.run_s(job) / speed
        if expected_s > now_s:
            return expected_s
        return now_s + OVERRUN_SHARE * max(now_s - started_s, 1.0)
