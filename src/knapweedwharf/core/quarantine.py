"""Workers that fail what they start: evidence, quarantine, return.

Evidence against a worker is a job that failed there, unless the job
has failed on several other workers too: then it is the job's fault.
Several jobs, of several accounts where there are several, put the
worker into quarantine. It returns on probation, which allows few tasks
at first and twice as many after each success.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import model

JOB_AT_FAULT_WORKERS = 3
MAX_LENGTHENING = 8
FULL_RETURN_TASKS = 8
REFUSAL_PAUSE_S = 1.0
MAX_REFUSAL_PAUSE_S = 60.0
MAX_JOBS_REMEMBERED = 4000


@dataclasses.dataclass(slots=True)
class Standing:
    """What is known of a worker.

    :ivar failed_jobs: jobs that failed here, with their accounts.
    :ivar until_s: end of the quarantine; 0 outside of it.
    :ivar probation_tasks: tasks allowed at once; 0 without limit.
    """

    failed_jobs: dict[str, str] = dataclasses.field(default_factory=dict)
    times: int = 0
    until_s: float = 0.0
    probation_tasks: int = 0
    refusals: int = 0
    refused_until_s: float = 0.0


class Quarantine:
    """Standing of the workers of one data centre."""

    def __init__(self) -> None:
        self._standings: dict[str, Standing] = {}
        self._failed_on: dict[str, dict[str, None]] = {}
        self._refused: dict[str, None] = {}
        self._quarantined: dict[str, None] = {}
        self.probation: dict[str, None] = {}

    @property
    def busy(self) -> bool:
        """Whether some worker waits for its quarantine or rest to end."""
        return bool(self._quarantined or self._refused)

    def failed(
        self,
        worker_id: str,
        job: model.JobSpec,
        policy: model.PolicySpec,
        *,
        accounts: int,
    ) -> bool:
        """Take in a failure; tells whether quarantine is due.

        :param accounts: accounts that have jobs here now.
        """
        places = self._failed_on.setdefault(job.job_id, {})
        places[worker_id] = None
        if len(self._failed_on) > MAX_JOBS_REMEMBERED:
            del self._failed_on[next(iter(self._failed_on))]
        standing = self._standing(worker_id)
        if standing.probation_tasks:
            return True
        if len(places) >= JOB_AT_FAULT_WORKERS:
            self._clear_job(job.job_id, places)
            return False
        standing.failed_jobs[job.job_id] = job.account
        blaming = set(standing.failed_jobs.values())
        return len(standing.failed_jobs) >= policy.quarantine_failures and len(
            blaming
        ) >= min(2, accounts)

    def succeeded(self, worker_id: str) -> bool:
        """Take in a success; tells whether probation has ended."""
        standing = self._standings.get(worker_id)
        if standing is None:
            return False
        standing.failed_jobs.clear()
        standing.refusals = 0
        if not standing.probation_tasks:
            return False
        standing.probation_tasks *= 2
        if standing.probation_tasks <= FULL_RETURN_TASKS:
            return False
        standing.probation_tasks = 0
        self.probation.pop(worker_id, None)
        del self._standings[worker_id]
        return True

    def may_quarantine(
        self, worker_id: str, *, workers: int, share: float
    ) -> bool:
        """Tell whether the bound on quarantined workers allows one."""
        others = self._quarantined.keys() | self.probation.keys()
        return len(others - {worker_id}) + 1 <= max(1, int(workers * share))

    def begin(self, worker_id: str, *, now_s: float, length_s: float) -> float:
        """Begin a quarantine, longer each time; returns its end."""
        standing = self._standing(worker_id)
        factor = min(2**standing.times, MAX_LENGTHENING)
        standing.times += 1
        standing.until_s = now_s + length_s * factor
        standing.probation_tasks = 0
        standing.failed_jobs.clear()
        self.probation.pop(worker_id, None)
        self._quarantined[worker_id] = None
        return standing.until_s

    def ended(self, now_s: float) -> list[str]:
        """Return workers whose quarantine ends; probation begins."""
        ended = [
            worker_id
            for worker_id in self._quarantined
            if self._standings[worker_id].until_s <= now_s
        ]
        for worker_id in ended:
            del self._quarantined[worker_id]
            self._standings[worker_id].probation_tasks = 1
            self.probation[worker_id] = None
        return ended

    def refused(self, worker_id: str, now_s: float) -> None:
        """Take in a refused start; the worker rests, longer each time."""
        standing = self._standing(worker_id)
        pause_s = REFUSAL_PAUSE_S * 2 ** min(standing.refusals, 10)
        standing.refusals += 1
        standing.refused_until_s = now_s + min(pause_s, MAX_REFUSAL_PAUSE_S)
        self._refused[worker_id] = None

    def rested(self, now_s: float) -> list[str]:
        """Return workers that may be asked again after a refusal."""
        rested = [
            worker_id
            for worker_id in self._refused
            if self._standings[worker_id].refused_until_s <= now_s
        ]
        for worker_id in rested:
            del self._refused[worker_id]
        return rested

    def tasks_allowed(self, worker_id: str) -> int:
        """Return the limit of a worker on probation; 0 without one."""
        standing = self._standings.get(worker_id)
        return standing.probation_tasks if standing else 0

    def forget_job(self, job_id: str) -> None:
        """Forget where a job that ended has failed."""
        self._failed_on.pop(job_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self._quarantined.pop(worker_id, None)
        self.probation.pop(worker_id, None)
        self._refused.pop(worker_id, None)
        self._standings.pop(worker_id, None)

    def _standing(self, worker_id: str) -> Standing:
        return self._standings.setdefault(worker_id, Standing())

    def _clear_job(self, job_id: str, places: dict[str, None]) -> None:
        for worker_id in places:
            standing = self._standings.get(worker_id)
            if standing is not None:
                standing.failed_jobs.pop(job_id, None)
