"""How much memory accepted jobs take of an owner, and who must wait.

Any VM may become the owner and then holds all jobs, so what is accepted
is bounded for all VMs alike. Once the bound is reached, submissions of the
accounts that hold more than their even share of it are refused.
"""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import workflow

LIMIT_BYTES = 32_000_000
"""Half of the 64 MB that a VM spends for control; what lies beyond it by the
shares of small accounts, and the open parts, have the rest."""

JOB_BYTES = 8_000
STEP_BYTES = 600
"""Of a step and its record."""

TASK_BYTES = 400
"""Of a task that is done, until its job ends; one that waits takes nothing."""

ENDED_BYTES = 1_000
"""Of a job that has ended and is still readable."""


def footprint(job: workflow.Job) -> int:
    """Return the bytes that a job may take of an owner until it ends."""
    return (
        JOB_BYTES
        + len(job.specification)
        + STEP_BYTES * len(job.steps)
        + TASK_BYTES * job.total_tasks
    )


@dataclasses.dataclass(frozen=True)
class Backlog:
    """What an owner's jobs take.

    :ivar by_account: bytes by client account.
    :ivar freed_bytes_per_s: what jobs have freed lately by their ends.
    """

    by_account: dict[str, int] = dataclasses.field(default_factory=dict)
    freed_bytes_per_s: float = 0.0

    @property
    def total(self) -> int:
        """Bytes of all jobs."""
        return sum(self.by_account.values())

    @property
    def is_notable(self) -> bool:
        """Whether so much is taken that each VM has to know it."""
        return self.total >= LIMIT_BYTES // 2

    def with_added(self, account: str, added: int) -> Backlog:
        """Return the backlog once an account holds more."""
        by_account = {**self.by_account}
        by_account[account] = by_account.get(account, 0) + added
        return dataclasses.replace(self, by_account=by_account)

    def excess(self, account: str, needed: int, *, accounts: int) -> int:
        """Return how much must be freed for a job of an account; 0 for none.

        An account without any job may always have one.

        :param accounts: among how many the limit is divided.
        """
        held = self.by_account.get(account, 0)
        over = self.total + needed - LIMIT_BYTES
        share = LIMIT_BYTES // max(1, accounts)
        if not held or over <= 0 or held + needed <= share:
            return 0
        return min(over, held + needed - share)

    def wait_s(self, excess: int) -> float:
        """Return how long it takes until so much is freed."""
        if not self.freed_bytes_per_s:
            return float("inf")
        return excess / self.freed_bytes_per_s
