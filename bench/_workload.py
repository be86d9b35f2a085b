"""Seeded arrivals made from the two deployments and from the plan."""

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
class Kind:
    """One kind of job in a mix.

    :ivar work_share: its share of the accelerator-seconds.
    :ivar burst: most jobs that arrive together.
    :ivar run_s: shortest and longest run.
    """

    name: str
    accounts: tuple[str, ...]
    shapes: tuple[tuple[int, int, str], ...]
    run_s: tuple[float, float]
    work_share: float
    burst: int = 1
    urgency: str = model.NORMAL
    cores_per_accelerator: int = 2


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job, how it behaves and when it arrives.

    :ivar run_s: how long it really runs.
    :ivar broken: it fails on every worker.
    :ivar cancel_after_s: when its caller cancels it, or 0.
    """

    job: model.JobSpec
    run_s: float
    broken: bool = False
    cancel_after_s: float = 0.0

    @property
    def counted(self) -> bool:
        """Whether its completion is measured."""
        return not self.broken and not self.cancel_after_s


@dataclasses.dataclass(frozen=True, eq=False)
class Workload:
    """Hardware, rules and arrivals of one data centre."""

    name: str
    data_centre: str
    configuration: model.Configuration
    workers: tuple[model.WorkerSpec, ...]
    arrivals: tuple[Arrival, ...]
    length_s: float
    large: int
    failing: str = ""

    @property
    def accelerators(self) -> int:
        """Accelerators of the data centre."""
        return sum(worker.accelerators for worker in self.workers)


_ESCALERAS = (
    Kind(
        "fleet-audit",
        ("valle-cafe", "citricos-norte"),
        ((2, 8, "rack"), (1, 8, "worker"), (3, 8, "rack")),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.5,
        burst=3,
        urgency=model.BATCH,
    ),
    Kind(
        "tariff-rebuild",
        ("aguacates-sur", "citricos-norte"),
        ((4, 2, "data_centre"), (1, 4, "worker")),
        (0.25 * HOUR_S, 1.5 * HOUR_S),
        0.3,
        burst=2,
    ),
    Kind(
        "booking-check",
        ("mostrador", "valle-cafe"),
        ((1, 1, "worker"), (1, 2, "worker")),
        (5 * MINUTE_S, 30 * MINUTE_S),
        0.2,
        burst=12,
        urgency=model.URGENT,
    ),
)

_KOBBERFRYD = (
    Kind(
        "bath-curve-fit",
        ("bench-crew",),
        ((4, 8, "rack"), (2, 8, "rack"), (1, 8, "worker")),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.4,
        burst=2,
        cores_per_accelerator=4,
    ),
    Kind(
        "bath-curve-fit",
        ("kro-havnen",),
        ((1, 8, "worker"),),
        (0.5 * HOUR_S, 3 * HOUR_S),
        0.1,
        cores_per_accelerator=4,
    ),
    Kind(
        "photo-inspection",
        ("fotobatch", "kro-skoven"),
        ((1, 2, "worker"), (4, 1, "data_centre"), (1, 4, "worker")),
        (10 * MINUTE_S, HOUR_S),
        0.3,
        burst=8,
        urgency=model.BATCH,
        cores_per_accelerator=4,
    ),
    Kind(
        "quote-check",
        ("kro-havnen", "kro-skoven"),
        ((1, 1, "worker"),),
        (3 * MINUTE_S, 20 * MINUTE_S),
        0.2,
        burst=12,
        cores_per_accelerator=4,
    ),
)


def deployment(
    name: str, *, load: float, seed: int, days: float = 4.0
) -> Workload:
    """Return the workload of a sample deployment's first data centre."""
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
            length_s=days * DAY_S,
            large=8,
            failing=workers[-1].worker_id,
        ),
        kinds,
        load=load,
        seed=seed,
    )


def _plan_kinds(accounts: tuple[str, ...]) -> tuple[Kind, ...]:
    return (
        Kind(
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
        Kind(
            "analysis",
            accounts,
            ((4, 1, "rack"), (2, 1, "rack"), (1, 1, "worker")),
            (0.5 * HOUR_S, 6 * HOUR_S),
            0.35,
            burst=4,
        ),
        Kind(
            "check",
            accounts,
            ((1, 1, "worker"),),
            (5 * MINUTE_S, 30 * MINUTE_S),
            0.05,
            burst=10,
            urgency=model.URGENT,
        ),
    )


def plan(*, load: float, seed: int, days: float = 2.0) -> Workload:
    """Return one of the plan's five data centres.

    A fifth of 680 workers, 690 accelerators and 74 accounts; a quarter
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
            length_s=days * DAY_S,
            large=16,
            failing=workers[-1].worker_id,
        ),
        _plan_kinds(accounts),
        load=load,
        seed=seed,
    )


def _with_arrivals(
    empty: Workload, kinds: tuple[Kind, ...], *, load: float, seed: int
) -> Workload:
    """Return a workload whose arrivals load its accelerators so far."""
    accelerators = sum(worker.accelerators for worker in empty.workers)
    arrivals = _arrivals(
        kinds,
        empty.data_centre,
        work_s=load * accelerators * empty.length_s,
        length_s=empty.length_s,
        rng=random.Random(seed),
    )
    return dataclasses.replace(empty, arrivals=arrivals)


def plan_workers(count: int, data_centre: str) -> tuple[model.WorkerSpec, ...]:
    """Return workers of the plan: one accelerator each, some two."""
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
    """Return accounts with quotas and, for one in four, guarantees."""
    racks: dict[str, model.RackSpec] = {}
    for worker in workers:
        known = racks.get(worker.rack)
        racks[worker.rack] = model.RackSpec(
            worker.rack,
            data_centre,
            known.workers + 1 if known else 1,
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


def _arrivals(
    kinds: tuple[Kind, ...],
    data_centre: str,
    *,
    work_s: float,
    length_s: float,
    rng: random.Random,
) -> tuple[Arrival, ...]:
    arrivals: list[Arrival] = []
    for kind in kinds:
        bias = {name: 10 ** rng.uniform(-1, 1) for name in kind.accounts}
        left_s = kind.work_share * work_s
        while left_s > 0:
            at_s = rng.uniform(0, length_s)
            account = rng.choice(kind.accounts)
            for _number in range(rng.randint(1, kind.burst)):
                arrival = _arrival(
                    kind, account, data_centre, at_s, bias[account], rng
                )
                arrivals.append(arrival)
                left_s -= arrival.run_s * arrival.job.accelerators
    arrivals.sort(key=lambda arrival: arrival.job.submitted_s)
    return tuple(
        dataclasses.replace(
            arrival,
            job=dataclasses.replace(arrival.job, job_id=f"j{number:05d}"),
        )
        for number, arrival in enumerate(arrivals)
    )


def _arrival(
    kind: Kind,
    account: str,
    data_centre: str,
    at_s: float,
    bias: float,
    rng: random.Random,
) -> Arrival:
    tasks, accelerators, within = rng.choice(kind.shapes)
    run_s = rng.uniform(*kind.run_s)
    declared_s = run_s * bias * 10 ** rng.uniform(-0.2, 0.2)
    declared_s = min(max(declared_s, run_s / 10), run_s * 10)
    draw = rng.random()
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
        broken=draw < 0.01,
        cancel_after_s=rng.uniform(10, 3000) if draw > 0.96 else 0.0,
    )
