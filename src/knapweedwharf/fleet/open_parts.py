"""Bounds how many parts of jobs the owner works on at the same time.

An open part waits for its placement or runs, and takes memory in the
engine. What a job has beyond that is only a number, and is opened as parts
are placed and end.
"""

from __future__ import annotations

from knapweedwharf.core import workflow
from knapweedwharf.fleet import scheduling_state as scheduling_state_module

MAX_WAITING_PARTS = 256
"""Of one job. More are opened as they are placed, several times a second."""

MAX_OPEN_TASKS = 8_000
"""Of all jobs; more than the tasks that run at the size to design for."""


class OpenParts:
    """Tells how many parts a job may open.

    Beyond the limit an account still gets its even share of it, and each
    job one part, so that a large account locks out nobody.

    :param desired: this VM's copy of the operator's desired state.
    """

    def __init__(
        self,
        *,
        scheduling_state: scheduling_state_module.SchedulingState,
        desired,
    ) -> None:
        self._scheduling_state = scheduling_state
        self._desired = desired
        self._by_job: dict[str, int] = {}
        self._by_account: dict[str, int] = {}
        self._total = 0

    def update(self, flow: workflow.Workflow) -> None:
        """Count a job's open tasks anew."""
        job = flow.job
        tasks = 0 if flow.is_final else flow.open_tasks
        change = tasks - self._by_job.get(job.job_id, 0)
        if not change:
            return
        self._total += change
        self._by_account[job.account] = (
            self._by_account.get(job.account, 0) + change
        )
        self._by_job[job.job_id] = tasks
        if not tasks:
            del self._by_job[job.job_id]

    def most_tasks(self, flow: workflow.Workflow) -> int:
        """Return how many tasks more a job may open; 0 or less for none."""
        job = flow.job
        placed = self._scheduling_state.attempt_count(job.job_id)
        waiting = flow.open_parts - placed
        of_account = self._by_account.get(job.account, 0)
        desired = self._desired.current
        accounts = len(desired.accounts) if desired else 1
        share = MAX_OPEN_TASKS // max(1, accounts)
        most = min(
            MAX_WAITING_PARTS - waiting,
            max(MAX_OPEN_TASKS - self._total, share - of_account),
        )
        has_none = not flow.open_parts
        if has_none and (job.most_tasks_of_part == 1 or not of_account):
            # Each job goes on, except wide gangs beside others of the account.
            return max(most, 1)
        return most
