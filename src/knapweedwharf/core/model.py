"""Data of the decision core: hardware, guarantees and jobs.

Plain frozen data classes; their values are validated before they are
passed to the core.
Memory is in MiB, times in seconds on the caller's clock.
"""

from __future__ import annotations

import dataclasses

WITHIN_WORKER = "worker"
WITHIN_RACK = "rack"
WITHIN_DATA_CENTRE = "data_centre"
WITHIN_LEVELS = (WITHIN_WORKER, WITHIN_RACK, WITHIN_DATA_CENTRE)

URGENT = "urgent"
NORMAL = "normal"
BATCH = "batch"
URGENCIES = (URGENT, NORMAL, BATCH)

BEST_EFFORT = "fills"
LATENCY_SENSITIVE = "serves"
"""Values of ``JobSpec.neighbours``. Best-effort work slows latency-sensitive
work on the same worker."""

ROLE_CALLER = "caller"
ROLE_OPERATOR = "operator"


@dataclasses.dataclass(frozen=True)
class WorkerSpec:
    """One worker's capacity and location."""

    worker_id: str
    rack: str
    data_centre: str
    accelerators: int
    cores: int
    memory_mib: int
    labels: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class RackSpec:
    """Hardware of a rack, as declared by the operators."""

    name: str
    data_centre: str
    workers: int
    accelerators_per_worker: int
    cores_per_worker: int
    memory_mib_per_worker: int


@dataclasses.dataclass(frozen=True)
class DataCentreSpec:
    """A data centre and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class AccountSpec:
    """A client account: its identity and its limits.

    :ivar token_sha256: hash of the account's token, in hex.
    :ivar quota_accelerators: accelerators its jobs may hold at once;
        0 sets no limit. Guarantees are met even beyond the quota.
    :ivar request_share: weight of the account in request admission.
    """

    name: str
    token_sha256: str
    role: str = ROLE_CALLER
    quota_accelerators: int = 0
    request_share: int = 1
    request_rate_per_s: float = 500.0
    request_burst: int = 1_000


@dataclasses.dataclass(frozen=True)
class GuaranteeSpec:
    """Capacity that an account may reclaim at any time, ``count`` times."""

    name: str
    account: str
    data_centre: str
    accelerators: int
    within: str
    count: int = 1
    cores_per_accelerator: int = 1
    memory_mib_per_accelerator: int = 1024
    reclaim_within_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A kind of request that executors run."""

    name: str
    urgency: str = NORMAL
    idempotent: bool = True
    timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class PolicySpec:
    """Weights and times of the scheduling policy.

    :ivar fragmentation_weight: 0 favours short completion times, 1
        favours low fragmentation.
    :ivar reserve_after_s: wait after which a job gets a reservation.
    :ivar near_patience_runs: how many expected run times a job waits
        for a place near its data, or in one rack.
    :ivar crowded_patience_s: lower bound of that wait while more than
        half of the capacity is in use.
    :ivar restart_s: run time lost by a stop in addition to progress
        that was not saved.
    :ivar disturbance_s: fixed cost of each stop.
    :ivar most_lost_runs: limit on the work lost when work is preempted
        for urgent work, as a multiple of the urgent work itself; 0 sets
        no limit.
    :ivar most_lost_on_time: the same for urgent work that meets its
        objective by it; the higher of both applies.
    :ivar urgent_patience_s: wait after which urgent work preempts
        other work.
    :ivar settle_s: time that a new owner allows for workers to be
        sealed; until then it preempts nothing.
    :ivar still_s: a run without progress for this long is stalled; 0
        where workers report no progress.
    :ivar mixes_after_s: wait after which best-effort work and
        latency-sensitive work may share a worker; 0 for never.
    :ivar late_factor: multiple of its objective after which a job has
        no value left; 0 ignores objectives.
    :ivar headroom_deviations: the headroom kept for work with
        precedence covers its mean use and this many standard
        deviations; negative keeps none.
    :ivar headroom_memory_s: time constant over which that use is
        averaged.
    :ivar headroom_patience_s: longest wait of a job for the sake of
        the headroom.
    :ivar accelerator_cores: number of cores that one accelerator
        weighs as much as; 0 weighs accelerators alone.
    :ivar learns_speeds: workers' speeds are learned from their runs.
    :ivar renew_reserved_s: interval at which the workers of a
        reservation are chosen again; 0 does so only once it is late.
    """

    fragmentation_weight: float = 0.5
    reserve_after_s: float = 120.0
    ageing_s: float = 600.0
    urgent_start_s: float = 9.8
    quarantine_share: float = 0.2
    quarantine_failures: int = 3
    quarantine_s: float = 300.0
    max_attempts: int = 3
    near_patience_runs: float = 0.0
    crowded_patience_s: float = 0.0
    urgent_patience_s: float = 0.0
    restart_s: float = 20.0
    disturbance_s: float = 60.0
    most_lost_runs: float = 0.0
    most_lost_on_time: float = 0.0
    settle_s: float = 3.0
    still_s: float = 0.0
    mixes_after_s: float = 0.0
    late_factor: float = 0.0
    accelerator_cores: float = 0.0
    headroom_deviations: float = -1.0
    headroom_memory_s: float = 10.0
    headroom_patience_s: float = 12.0
    renew_reserved_s: float = 0.0
    learns_speeds: bool = False


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The operators' configuration at one revision."""

    revision: int = 0
    data_centres: dict[str, DataCentreSpec] = dataclasses.field(
        default_factory=dict
    )
    racks: dict[str, RackSpec] = dataclasses.field(default_factory=dict)
    accounts: dict[str, AccountSpec] = dataclasses.field(default_factory=dict)
    guarantees: dict[str, GuaranteeSpec] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, ServiceSpec] = dataclasses.field(default_factory=dict)
    policy: PolicySpec = dataclasses.field(default_factory=PolicySpec)


@dataclasses.dataclass(frozen=True)
class JobSpec:
    """A gang job: ``tasks`` equal tasks that run together or not at all.

    :ivar within: the topology level that the gang must not exceed.
    :ivar declared_run_s: run time estimated by the caller; no guarantee
        or limit relies on it.
    :ivar restartable: may start while the store is unreachable.
    :ivar max_attempts: failures allowed; 0 uses the policy's limit.
    :ivar handicap_s: added to its submission time to order the queue.
    :ivar label: only workers with this label run it.
    :ivar data_rack: rack of its data; it runs much slower in others.
    :ivar prefers_rack: it runs much slower when spread over racks.
    :ivar spread_group: jobs whose tasks count for ``max_per_worker``.
    :ivar max_per_worker: most tasks of the group on one worker; 0 sets
        no limit.
    :ivar start_within_s: after this wait it takes any place and
        preempts whatever it must; 0 for none.
    :ivar precedence: it may preempt work of a lower precedence.
    :ivar saves_progress: a stop loses little of the work done.
    :ivar neighbours: ``BEST_EFFORT``, ``LATENCY_SENSITIVE`` or empty;
        the scheduler avoids placing the first two on one worker.
    :ivar is_lasting: it runs until it is stopped.
    :ivar objective_s: target time from submission to completion if its
        declared run time is right; 0 for none.
    :ivar slowdown: seconds that the objective grows by for each second
        that the run takes longer than declared.
    :ivar is_suspect: workers have crashed under it, so it is kept apart
        from other suspects.
    :ivar after_s: expected run time of the later steps of its job.
    :ivar approval: only workers approved under this name run it; empty
        for any worker.
    """

    job_id: str
    account: str
    data_centre: str
    kind: str
    tasks: int
    accelerators_per_task: int
    cores_per_task: int
    memory_mib_per_task: int
    within: str = WITHIN_DATA_CENTRE
    urgency: str = NORMAL
    declared_run_s: float = 3600.0
    restartable: bool = True
    submitted_s: float = 0.0
    max_attempts: int = 0
    handicap_s: float = 0.0
    label: str = ""
    data_rack: str = ""
    prefers_rack: bool = False
    spread_group: str = ""
    max_per_worker: int = 0
    start_within_s: float = 0.0
    precedence: int = 0
    saves_progress: bool = True
    neighbours: str = ""
    is_lasting: bool = False
    approval: str = ""
    objective_s: float = 0.0
    slowdown: float = 0.0
    after_s: float = 0.0
    is_suspect: bool = False

    @property
    def step(self) -> str:
        """The step of which it is a part, or itself if there is none."""
        return self.spread_group or self.job_id

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task

    @property
    def rank(self) -> int:
        """Preemption rank; a job may preempt jobs of a lower rank."""
        return max(self.precedence, int(self.urgency == URGENT))


def weight_of(job: JobSpec, policy: PolicySpec) -> float:
    """Return the weight of a second of a job's run, in accelerators."""
    weight = float(job.accelerators)
    if policy.accelerator_cores:
        cores = job.tasks * job.cores_per_task
        weight += cores / policy.accelerator_cores
    return max(weight, 1.0)


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The placement of one task: accelerators by index on one worker."""

    task_index: int
    worker_id: str
    accelerators: tuple[int, ...]
    cores: int
    memory_mib: int


@dataclasses.dataclass(frozen=True)
class Reason:
    """Why a decision was taken, for ``job explain``.

    :ivar code: stable identifier, such as ``no-room`` or ``preempted``.
    :ivar revision: configuration revision the decision is based on.
    """

    code: str
    text: str
    at_s: float
    revision: int
    guarantee: str = ""
    other_job_id: str = ""
