"""Order of the waiting jobs by precedence, objective and submission."""

from __future__ import annotations

from knapweedwharf.core import estimate
from knapweedwharf.core import model
from knapweedwharf.core import waiting

MAX_RUN_AGEINGS = 4
"""Ageing times that a long run adds at most to a job's sort key."""

_RANKS_PER_PRECEDENCE = 2
"""Ranks for each precedence: on time, then late."""

_NO_VALUE_RANK = 10
"""Rank of jobs without value left; after the ranks of all precedences."""


class Order:
    """Sorts jobs by what their callers lose while they wait.

    :param reserves: whether the placement policy reserves capacity; if
        not, jobs are sorted by submission only.
    """

    def __init__(
        self, estimates: estimate.Estimates, *, reserves: bool
    ) -> None:
        self._estimates = estimates
        self._reserves = reserves

    def key(
        self,
        job: model.JobSpec,
        run_s: float,
        *,
        policy: model.PolicySpec,
        now_s: float,
    ) -> waiting.OrderKey:
        """Return a job's sort key in the queue.

        Urgent work goes first. Each lower urgency adds one ageing time
        to the submission time, and a longer run adds a bounded amount.
        So ageing prevents starvation within one precedence.
        """
        if not self._reserves:
            return (0, job.submitted_s + job.handicap_s, job.job_id)
        if job.urgency == model.URGENT:
            return (-job.precedence, job.submitted_s, job.job_id)
        level = model.URGENCIES.index(job.urgency) - 1
        length_s = min(run_s, MAX_RUN_AGEINGS * policy.ageing_s)
        length_s *= 1.0 - policy.fragmentation_weight
        later_s = level * policy.ageing_s + length_s + job.handicap_s
        rank = self._rank(job, run_s, policy, now_s)
        return (rank, job.submitted_s + later_s, job.job_id)

    def _rank(
        self,
        job: model.JobSpec,
        run_s: float,
        policy: model.PolicySpec,
        now_s: float,
    ) -> int:
        """Return a job's rank by precedence and objective.

        Within a precedence, jobs that can still meet their objective go
        before late ones; jobs without value left go last of all.
        """
        base = (1 - job.precedence) * _RANKS_PER_PRECEDENCE
        if not policy.late_factor or not job.objective_s:
            return base
        ends_s = completion_s(job, run_s, now_s)
        objective_s = self.likely_objective_s(job)
        if ends_s <= objective_s:
            return base
        if ends_s <= objective_s * policy.late_factor:
            return base + 1
        return _NO_VALUE_RANK

    def is_on_time(self, job: model.JobSpec, now_s: float) -> bool:
        """Tell whether a job meets its objective if it starts now."""
        if not job.objective_s:
            return False
        ends_s = completion_s(job, self._estimates.run_s(job), now_s)
        return ends_s <= self.likely_objective_s(job)

    def likely_objective_s(self, job: model.JobSpec) -> float:
        """Return a job's objective, adjusted to its likely run time."""
        longer_s = self._estimates.cautious_run_s(job) - job.declared_run_s
        return job.objective_s + job.slowdown * max(0.0, longer_s)


def completion_s(job: model.JobSpec, run_s: float, now_s: float) -> float:
    """Return a job's time from submission to completion if started now."""
    return now_s - job.submitted_s + run_s + job.after_s
