"""Quarantine of workers on which tasks fail, and their probation.

A job that failed on a worker counts against the worker unless the job
has failed on several workers, or its step on most of those it was tried
on: then the job is at fault. A worker is quarantined once enough jobs
failed on it, which must belong to at least two accounts if that many have
work. It returns on probation, which allows one task at first and twice as
many after each success.

Until then each failure makes the worker back off, longer each time. If
tasks fail on more workers than may be faulty at once, only the worst of
them back off.

A worker that refuses starts backs off as well, longer each time it does so
after a back-off. Starts that were placed before a back-off ended don't tell
more than the one that began it. If more workers refuse than may be faulty
at once, the others back off only for a short time.
"""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import model
from knapweedwharf.core import step_failures

MIN_WORKERS_TO_BLAME_JOB = 3
"""A job that failed on so many workers is at fault itself."""

MAX_LENGTH_FACTOR = 8
PROBATION_END_TASKS = 8
"""Probation ends once more tasks than this would be allowed at once."""

BACK_OFF_S = 1.0
MAX_BACK_OFF_S = 60.0
MAX_BACKED_OFF_SHARE = 1 / 3
"""Share of the workers that may be kept from work by failures; if tasks fail
on more, the jobs are more likely at fault. Also the share that may back off
for long after refused starts."""

MAX_COMMON_BACK_OFF_S = 2.0
"""Longest back-off after refused starts of the workers beyond that share, so
that a service that was out of reach as a whole is soon in use again."""

MAX_JOBS_REMEMBERED = 4000


JOB_AT_FAULT = "job-at-fault"
BACK_OFF = "back-off"
QUARANTINE = "quarantine"
"""Verdicts on a failure."""


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """Failure history of a worker.

    :ivar failed_jobs: jobs that failed here, with their accounts.
    :ivar times: quarantines so far.
    :ivar until_s: end of the quarantine; 0 before the first.
    :ivar probation_tasks: tasks allowed at once; 0 sets no limit.
    :ivar refusals: number of back-offs after refused starts, since the last
        success.
    :ivar refused_until_s: end of the back-off after a refused start.
    :ivar refusal_pause_s: length of that back-off.
    :ivar failures: number of failures here by step, since the last success.
    :ivar failed_s: time of the last failure.
    :ivar failed_until_s: end of the back-off after failures.
    """

    failed_jobs: dict[str, str] = dataclasses.field(default_factory=dict)
    times: int = 0
    until_s: float = 0.0
    probation_tasks: int = 0
    refusals: int = 0
    refused_until_s: float = 0.0
    refusal_pause_s: float = 0.0
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
    failed_s: float = 0.0
    failed_until_s: float = 0.0

    @property
    def backs_off_until_s(self) -> float:
        """End of the back-off; 0 before the first."""
        return max(self.refused_until_s, self.failed_until_s)

    def is_kept_off(self, now_s: float) -> bool:
        """Whether it is in a back-off that not all workers may be in."""
        is_long = self.refusal_pause_s > MAX_COMMON_BACK_OFF_S
        is_refusing = is_long and self.refused_until_s > now_s
        return is_refusing or self.failed_until_s > now_s

    @property
    def failure_count(self) -> int:
        """Number of failures here since the last success."""
        return sum(self.failures.values())


class Quarantine:
    """Failure histories of the workers of one data centre."""

    def __init__(self) -> None:
        self._histories: dict[str, FailureHistory] = {}
        self._failed_on: dict[str, dict[str, None]] = {}
        self._backing_off: dict[str, None] = {}
        self._steps = step_failures.StepFailures()
        self._quarantined: dict[str, None] = {}
        self.probation: dict[str, None] = {}

    @property
    def busy(self) -> bool:
        """Whether any worker is in quarantine or in back-off."""
        return bool(self._quarantined or self._backing_off)

    def record_start(
        self, job: model.JobSpec, places: abc.Iterable[model.Assignment]
    ) -> None:
        """Record that a job begins at places."""
        workers = [place.worker_id for place in places]
        self._steps.record_start(job.step, workers)

    def record_failure(
        self,
        worker_id: str,
        job: model.JobSpec,
        policy: model.PolicySpec,
        *,
        accounts: int,
        now_s: float,
    ) -> str:
        """Record a failure; return the verdict on it.

        :param accounts: accounts that have jobs here now.
        """
        self._steps.record_end(job.step, worker_id, succeeded=False)
        places = self._failed_on.setdefault(job.job_id, {})
        places[worker_id] = None
        if len(self._failed_on) > MAX_JOBS_REMEMBERED:
            del self._failed_on[next(iter(self._failed_on))]
        if self._steps.is_at_fault(job.step):
            self._absolve_workers(job.step)
            return JOB_AT_FAULT
        if len(places) >= MIN_WORKERS_TO_BLAME_JOB:
            self._clear_job(job.job_id, places)
            return JOB_AT_FAULT
        history = self._history(worker_id)
        history.failures[job.step] = history.failures.get(job.step, 0) + 1
        history.failed_s = now_s
        if history.probation_tasks:
            return QUARANTINE
        history.failed_jobs[job.job_id] = job.account
        blaming = set(history.failed_jobs.values())
        enough = len(history.failed_jobs) >= policy.quarantine_failures
        if enough and len(blaming) >= min(2, accounts):
            return QUARANTINE
        return BACK_OFF

    def _absolve_workers(self, step: str) -> None:
        """Withdraw what the failures of a step have caused."""
        for history in self._histories.values():
            if history.failures.pop(step, 0):
                history.failed_until_s = _failed_until_s(history)

    def record_success(self, worker_id: str, job: model.JobSpec) -> bool:
        """Record a success; return whether it ends the probation."""
        self._steps.record_end(job.step, worker_id, succeeded=True)
        history = self._histories.get(worker_id)
        if history is None:
            return False
        history.failed_jobs.clear()
        history.failures.clear()
        history.refusals = 0
        if not history.probation_tasks:
            return False
        history.probation_tasks *= 2
        if history.probation_tasks <= PROBATION_END_TASKS:
            return False
        history.probation_tasks = 0
        history.times = 0
        self.probation.pop(worker_id, None)
        return True

    def may_quarantine(
        self, worker_id: str, *, workers: int, share: float
    ) -> bool:
        """Tell whether the limit allows one more quarantined worker."""
        others = self._quarantined.keys() | self.probation.keys()
        return len(others - {worker_id}) + 1 <= max(1, int(workers * share))

    def begin(self, worker_id: str, *, now_s: float, length_s: float) -> float:
        """Begin a quarantine, longer each time; return its end."""
        history = self._history(worker_id)
        factor = min(2**history.times, MAX_LENGTH_FACTOR)
        history.times += 1
        history.until_s = now_s + length_s * factor
        history.probation_tasks = 0
        history.failed_jobs.clear()
        self.probation.pop(worker_id, None)
        self._quarantined[worker_id] = None
        return history.until_s

    def end_quarantines(self, now_s: float) -> list[str]:
        """Put workers whose quarantine has ended on probation; return them."""
        ended = [
            worker_id
            for worker_id in self._quarantined
            if self._histories[worker_id].until_s <= now_s
        ]
        for worker_id in ended:
            del self._quarantined[worker_id]
            self._histories[worker_id].probation_tasks = 1
            self.probation[worker_id] = None
        return ended

    def record_refusal(
        self, worker_id: str, *, placed_s: float, now_s: float, workers: int
    ) -> float:
        """Record a refused start, with exponential back-off.

        :param placed_s: when the start was placed.
        :param workers: number of workers.
        :returns: length of the back-off; 0 if the start was placed before
            the last one ended.
        """
        history = self._history(worker_id)
        if placed_s < history.refused_until_s:
            # Placed beside the start that began the back-off.
            return 0.0
        if placed_s - history.refused_until_s > MAX_BACK_OFF_S:
            history.refusals = 0
        history.refusals += 1
        pause_s = _pause_s(history.refusals)
        others = self._kept_off(now_s) - {worker_id}
        if len(others) >= _most_kept_off(workers):
            pause_s = min(pause_s, MAX_COMMON_BACK_OFF_S)
        history.refusal_pause_s = pause_s
        history.refused_until_s = now_s + pause_s
        self._backing_off[worker_id] = None
        return pause_s

    def _kept_off(self, now_s: float) -> set[str]:
        """Return the workers that are kept from work for long."""
        backing_off = {
            worker_id
            for worker_id in self._backing_off
            if self._histories[worker_id].is_kept_off(now_s)
        }
        return backing_off | self._quarantined.keys() | self.probation.keys()

    def back_off(self, worker_id: str, *, now_s: float, workers: int) -> bool:
        """Begin or extend a back-off after a failure, if one more may.

        A worker with fewer failures than this one ends its own instead.

        :param workers: number of workers.
        :returns: whether the worker is in back-off now.
        """
        history = self._history(worker_id)
        failing = [
            other
            for other in self._backing_off
            if self._histories[other].failed_until_s > now_s
        ]
        kept_off = {*failing, *self._quarantined, *self.probation}
        if len(kept_off - {worker_id}) >= _most_kept_off(workers):
            least = min(
                failing,
                key=lambda other: self._histories[other].failure_count,
                default=worker_id,
            )
            if self._histories[least].failure_count >= history.failure_count:
                return False
            self._histories[least].failed_until_s = now_s
        history.failed_until_s = _failed_until_s(history)
        self._backing_off[worker_id] = None
        return True

    def end_back_offs(self, now_s: float) -> list[str]:
        """Return workers whose back-off has ended."""
        over = [
            worker_id
            for worker_id in self._backing_off
            if self._histories[worker_id].backs_off_until_s <= now_s
        ]
        for worker_id in over:
            del self._backing_off[worker_id]
        return over

    def tasks_allowed(self, worker_id: str) -> int:
        """Return the limit of a worker on probation; 0 without one."""
        history = self._histories.get(worker_id)
        return history.probation_tasks if history else 0

    def failed_on(self, job_id: str) -> abc.Container[str]:
        """Return the workers a job has failed on."""
        return self._failed_on.get(job_id, ())

    def forget_job(self, job_id: str) -> None:
        """Drop the failures of a job that ended."""
        self._failed_on.pop(job_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the history of a worker that is gone."""
        self._quarantined.pop(worker_id, None)
        self.probation.pop(worker_id, None)
        self._backing_off.pop(worker_id, None)
        self._histories.pop(worker_id, None)

    def _history(self, worker_id: str) -> FailureHistory:
        return self._histories.setdefault(worker_id, FailureHistory())

    def _clear_job(self, job_id: str, places: dict[str, None]) -> None:
        for worker_id in places:
            history = self._histories.get(worker_id)
            if history is not None:
                history.failed_jobs.pop(job_id, None)


def _pause_s(times: int) -> float:
    """Return the length of a back-off after so many refusals or failures."""
    return min(BACK_OFF_S * 2 ** min(times - 1, 10), MAX_BACK_OFF_S)


def _most_kept_off(workers: int) -> int:
    """Return how many of the workers may be kept from work for long."""
    return max(1, int(workers * MAX_BACKED_OFF_SHARE))


def _failed_until_s(history: FailureHistory) -> float:
    count = history.failure_count
    return history.failed_s + _pause_s(count) if count else 0.0
