"""Random workloads of two sample deployments and of the planned one.

The planned deployment ("the plan") has five data centres with 680
workers, 690 accelerators and 74 accounts in all.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random

from knapweedwharf.configuration import folder
from knapweedwharf.core import model

DAY_S = 86400.0
HOUR_S = 3600.0
MINUTE_S = 60.0


@dataclasses.dataclass(frozen=True)
class JobKind:
    """Distribution of the jobs of one kind in a workload.

    :ivar shapes: possible tasks, accelerators per task and placement
        scope (``within``).
    :ivar run_s: shortest and longest run time.
    :ivar work_share: share of the workload's accelerator-seconds.
    :ivar max_burst: maximum number of jobs that arrive together.
    """

    name: str
    accounts: tuple[str, ...]
    shapes: tuple[tuple[int, int, str], ...]
    run_s: tuple[float, float]
    work_share: float
    max_burst: int = 1
    urgency: str = model.NORMAL
    cores_per_accelerator: int = 2


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job with its arrival time and behaviour.

    :ivar run_s: real run time.
    :ivar always_fails: whether it fails on every worker.
    :ivar cancel_after_s: time after which its caller cancels it, or 0.
    """

    job: model.JobSpec
    run_s: float
    always_fails: bool = False
    cancel_after_s: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether its completion time is part of the result."""
        return not self.always_fails and not self.cancel_after_s


@dataclasses.dataclass(frozen=True, eq=False)
class Workload:
    """Workers, configuration and arrivals of one data centre.

    :ivar large_job_accelerators: accelerators from which on a job counts
        as large.
    :ivar failing_worker_id: worker on which all tasks fail for a while.
    """

    name: str
    data_centre: str
    configuration: model.Configuration
    workers: tuple[model.WorkerSpec, ...]
    arrivals: tuple[Arrival, ...]
    duration_s: float
    large_job_accelerators: int
    failing_worker_id: str = ""

    @property
    def accelerators(self) -> int:
        """Number of accelerators in the data centre."""
        return sum(worker.accelerators for worker in self.workers)


_ESCALERAS = (
    JobKind(
        "fleet-audit",
        ("valle-cafe", "citricos-norte"),
        ((2, 8, "rack"), (1, 8, "worker"), (3, 8, "rack")),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.5,
        max_burst=3,
        urgency=model.BATCH,
    ),
    JobKind(
        "tariff-rebuild",
        ("aguacates-sur", "citricos-norte"),
        ((4, 2, "data_centre"), (1, 4, "worker")),
        (0.25 * HOUR_S, 1.5 * HOUR_S),
        0.3,
        max_burst=2,
    ),
    JobKind(
        "booking-check",
        ("mostrador", "valle-cafe"),
        ((1, 1, "worker"), (1, 2, "worker")),
        (5 * MINUTE_S, 30 * MINUTE_S),
        0.2,
        max_burst=12,
        urgency=model.URGENT,
    ),
)

_KOBBERFRYD = (
    JobKind(
        "bath-curve-fit",
        ("bench-crew",),
        ((4, 8, "rack"), (2, 8, "rack"), (1, 8, "worker")),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.4,
        max_burst=2,
        cores_per_accelerator=4,
    ),
    JobKind(
        "bath-curve-fit",
        ("kro-havnen",),
        ((1, 8, "worker"),),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.1,
        cores_per_accelerator=4,
    ),
    JobKind(
        "photo-inspection",
        ("fotobatch", "kro-skoven"),
        ((1, 2, "worker"), (4, 1, "data_centre"), (1, 4, "worker")),
        (10 * MINUTE_S, HOUR_S),
        0.3,
        max_burst=8,
        urgency=model.BATCH,
        cores_per_accelerator=4,
    ),
    JobKind(
        "quote-check",
        ("kro-havnen", "kro-skoven"),
        ((1, 1, "worker"),),
        (3 * MINUTE_S, 20 * MINUTE_S),
        0.2,
        max_burst=12,
        cores_per_accelerator=4,
    ),
)


def deployment(
    name: str, *, load: float, seed: int, days: float = 4.0
) -> Workload:
    """Return a workload for a sample deployment's first data centre."""
    files = folder.read(pathlib.Path(f"examples/{name}/folder")).unwrap()
    configuration = folder.load(files, revision=1).unwrap()
    data_centre = next(iter(configuration.data_centres))
    workers = tuple(
        model.WorkerSpec(
            f"{rack.name}-w{number}",
            rack.name,
            data_centre,
            rack.accelerators_per_worker,
            rack.cores_per_worker,
            rack.memory_mib_per_worker,
        )
        for rack in configuration.racks.values()
        if rack.data_centre == data_centre
        for number in range(rack.workers)
    )
    kinds = {"escaleras": _ESCALERAS, "kobberfryd": _KOBBERFRYD}[name]
    return _with_arrivals(
        Workload(
            name=name,
            data_centre=data_centre,
            configuration=configuration,
            workers=workers,
            arrivals=(),
            duration_s=days * DAY_S,
            large_job_accelerators=8,
            failing_worker_id=workers[-1].worker_id,
        ),
        kinds,
        load=load,
        seed=seed,
    )


def _plan_kinds(accounts: tuple[str, ...]) -> tuple[JobKind, ...]:
    return (
        JobKind(
            "training",
            accounts,
            (
                (64, 1, "data_centre"),
                (32, 1, "data_centre"),
                (16, 1, "data_centre"),
                (8, 1, "rack"),
            ),
            (HOUR_S, 8 * HOUR_S),
            0.6,
            urgency=model.BATCH,
        ),
        JobKind(
            "analysis",
            accounts,
            ((4, 1, "rack"), (2, 1, "rack"), (1, 1, "worker")),
            (0.5 * HOUR_S, 6 * HOUR_S),
            0.35,
            max_burst=4,
        ),
        JobKind(
            "check",
            accounts,
            ((1, 1, "worker"),),
            (5 * MINUTE_S, 30 * MINUTE_S),
            0.05,
            max_burst=10,
            urgency=model.URGENT,
        ),
    )


def plan(*, load: float, seed: int, days: float = 2.0) -> Workload:
    """Return a workload for one of the plan's five data centres.

    It has a fifth of the workers, accelerators and accounts; a quarter
    of the accounts hold guarantees.
    """
    data_centre = "dc-1"
    workers = plan_workers(136, data_centre)
    accounts = tuple(f"team-{number:02d}" for number in range(15))
    configuration = plan_configuration(workers, accounts, data_centre)
    return _with_arrivals(
        Workload(
            name="plan",
            data_centre=data_centre,
            configuration=configuration,
            workers=workers,
            arrivals=(),
            duration_s=days * DAY_S,
            large_job_accelerators=16,
            failing_worker_id=workers[-1].worker_id,
        ),
        _plan_kinds(accounts),
        load=load,
        seed=seed,
    )


def _with_arrivals(
    workload: Workload, kinds: tuple[JobKind, ...], *, load: float, seed: int
) -> Workload:
    """Return the workload with arrivals.

    :param load: share of the accelerator time that the jobs ask for.
    """
    accelerators = sum(worker.accelerators for worker in workload.workers)
    arrivals = _make_arrivals(
        kinds,
        workload.data_centre,
        work_s=load * accelerators * workload.duration_s,
        duration_s=workload.duration_s,
        rng=random.Random(seed),
    )
    return dataclasses.replace(workload, arrivals=arrivals)


def plan_workers(count: int, data_centre: str) -> tuple[model.WorkerSpec, ...]:
    """Return workers like the plan's: one accelerator each, some two."""
    return tuple(
        model.WorkerSpec(
            worker_id=f"w{number:05d}",
            rack=f"r{number // 17:04d}",
            data_centre=data_centre,
            accelerators=2 if number % 68 == 0 else 1,
            cores=32,
            memory_mib=131072,
        )
        for number in range(count)
    )


def plan_configuration(
    workers: tuple[model.WorkerSpec, ...],
    accounts: tuple[str, ...],
    data_centre: str,
) -> model.Configuration:
    """Return a configuration with a quota for each account and a guarantee
    for every fourth.
    """
    racks: dict[str, model.RackSpec] = {}
    for worker in workers:
        rack = racks.get(worker.rack)
        racks[worker.rack] = model.RackSpec(
            worker.rack,
            data_centre,
            rack.workers + 1 if rack else 1,
            1,
            worker.cores,
            worker.memory_mib,
        )
    quota = max(64, len(workers) // 2)
    guarantees = {
        f"g-{account}": model.GuaranteeSpec(
            f"g-{account}", account, data_centre, 8, model.WITHIN_RACK
        )
        for account in accounts[::4]
    }
    return model.Configuration(
        revision=1,
        data_centres={
            data_centre: model.DataCentreSpec(data_centre, "region-1")
        },
        racks=racks,
        accounts={
            name: model.AccountSpec(name, "", quota_accelerators=quota)
            for name in accounts
        },
        guarantees=guarantees,
    )


def _make_arrivals(
    kinds: tuple[JobKind, ...],
    data_centre: str,
    *,
    work_s: float,
    duration_s: float,
    rng: random.Random,
) -> tuple[Arrival, ...]:
    arrivals: list[Arrival] = []
    for kind in kinds:
        estimate_factors = {
            name: 10 ** rng.uniform(-1, 1) for name in kind.accounts
        }
        remaining_work_s = kind.work_share * work_s
        while remaining_work_s > 0:
            at_s = rng.uniform(0, duration_s)
            account = rng.choice(kind.accounts)
            for _number in range(rng.randint(1, kind.max_burst)):
                arrival = _make_arrival(
                    kind,
                    account,
                    data_centre,
                    at_s,
                    estimate_factors[account],
                    rng,
                )
                arrivals.append(arrival)
                remaining_work_s -= arrival.run_s * arrival.job.accelerators
    arrivals.sort(key=lambda arrival: arrival.job.submitted_s)
    return tuple(
        dataclasses.replace(
            arrival,
            job=dataclasses.replace(arrival.job, job_id=f"j{number:05d}"),
        )
        for number, arrival in enumerate(arrivals)
    )


def _make_arrival(
    kind: JobKind,
    account: str,
    data_centre: str,
    at_s: float,
    estimate_factor: float,
    rng: random.Random,
) -> Arrival:
    tasks, accelerators, within = rng.choice(kind.shapes)
    run_s = rng.uniform(*kind.run_s)
    declared_s = run_s * estimate_factor * 10 ** rng.uniform(-0.2, 0.2)
    declared_s = min(max(declared_s, run_s / 10), run_s * 10)
    event_draw = rng.random()
    return Arrival(
        job=model.JobSpec(
            job_id="",
            account=account,
            data_centre=data_centre,
            kind=kind.name,
            tasks=tasks,
            accelerators_per_task=accelerators,
            cores_per_task=accelerators * kind.cores_per_accelerator,
            memory_mib_per_task=accelerators * 4096,
            within=within,
            urgency=kind.urgency,
            declared_run_s=declared_s,
            submitted_s=at_s,
        ),
        run_s=run_s,
        always_fails=event_draw < 0.01,
        cancel_after_s=rng.uniform(10, 3000) if event_draw > 0.96 else 0.0,
    )
