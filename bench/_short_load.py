"""Arrivals of short step jobs like those of the users' two sites.

Figures are those of the users' sheets: kinds of job, widths, sizes,
rates, how far estimates are off. Other shapes are there so that nothing
is tuned to two files.
"""

from __future__ import annotations

import dataclasses
import math
import random

from knapweedwharf.core import workflow

LONG_S = 3.0
"""Multiple of a job's objective after which it earns nothing."""

WORK_CORES = 8
"""Cores that an accelerator counts as."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of job.

    :ivar per_s: arrivals in the whole deployment.
    :ivar target_s: allowed beside the slowdown of its work.
    :ivar worth: earned within the objective; ``late_worth`` until three
        times that.
    :ivar estimate_off: declared times are off by up to this share.
    """

    name: str
    priority: int
    per_s: float
    tasks: float
    work_s: float
    cores: float
    memory_mib: int
    accelerators: tuple[int, ...]
    worth: float
    late_worth: float
    target_s: float
    slowdown: float
    gang: float = 1.0
    one_rack: float = 0.6
    saves: float = 0.0
    estimate_off: float = 0.5
    failing: float = 0.02
    steps: float = 1.0
    near_data: float = 0.0
    attempts: int = 4
    cancelled: float = 0.0
    work_spread: float = 0.4
    longest_s: float = 11.0
    widest: int = 30


@dataclasses.dataclass(frozen=True)
class Load:
    """A pool and what is asked of it.

    :ivar bursts: (kind, from, until, factor).
    """

    name: str
    workers: int
    per_rack: int
    cores: int
    memory_mib: int
    accelerators: int
    kinds: tuple[Kind, ...]
    rate: float = 1.0
    bursts: tuple[tuple[str, float, float, float], ...] = ()
    length_s: float = 45.0
    accounts: int = 4
    guaranteed: int = 30
    stop_s: float = 0.3


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One job, and what the scheduler does not know of it.

    :ivar work_s: how long each step runs on a sound worker.
    """

    job: workflow.Job
    kind: Kind
    work_s: tuple[float, ...]
    cancel_after_s: float = 0.0

    @property
    def objective_s(self) -> float:
        """Time within which it earns its whole worth."""
        return self.kind.slowdown * sum(self.work_s) + self.kind.target_s

    @property
    def core_s(self) -> float:
        """Its work; an accelerator counts as several cores."""
        return sum(
            step.tasks
            * (step.cores_milli / 1000 + WORK_CORES * step.accelerators)
            * work_s
            for step, work_s in zip(self.job.steps, self.work_s)
        )


AUDIT = Kind(
    "audit", 1, 0.314 * 2, 5, 8.5, 13.0, 53_000, (1, 2, 4, 8, 8), 3, 0.9,
    1.0, 3.0, saves=0.45, estimate_off=0.9, failing=0.05, near_data=0.3,
    cancelled=0.05,
)  # fmt: skip
CHECK = Kind(
    "check", 0, 1.19 * 2, 3.4, 2.5, 3.7, 15_000, (1, 2, 4, 8, 8), 4, 0.8,
    0.25, 1.5, one_rack=0.8, work_spread=0.5, longest_s=8.0, widest=21,
)  # fmt: skip
REBUILD = Kind(
    "rebuild", 2, 0.236 * 2, 16, 9.5, 2.8, 15_000, (1,), 1, 0.3,
    3.0, 3.0, gang=0.0, saves=0.45, estimate_off=0.2, steps=1.3,
    near_data=0.12, cancelled=0.15, widest=94,
)  # fmt: skip

CURVE = dataclasses.replace(
    AUDIT, name="curve", per_s=0.343 * 2, tasks=4, work_s=11.0, cores=26.0,
    memory_mib=110_000, estimate_off=0.2,
)  # fmt: skip
QUOTE = dataclasses.replace(
    CHECK, name="quote", per_s=1.5 * 2, tasks=3, cores=7.5,
    memory_mib=22_000, estimate_off=0.9, widest=18,
)  # fmt: skip
INSPECT = dataclasses.replace(
    REBUILD, name="inspect", per_s=0.34 * 2, tasks=12, cores=5.6,
    memory_mib=23_000, widest=72,
)  # fmt: skip

WIDE = dataclasses.replace(
    AUDIT, name="wide", per_s=0.25, tasks=12, accelerators=(4, 8),
    one_rack=0.9,
)  # fmt: skip
SMALL = dataclasses.replace(
    CHECK, name="small", per_s=6.0, tasks=1.5, accelerators=(1, 1, 2),
    work_s=1.2,
)  # fmt: skip

THIN = 0.5
"""The platform plays half of the sheets' arrivals."""

HUERTO = Load(
    "huerto", 48, 6, 32, 131_072, 8, (AUDIT, CHECK, REBUILD),
    rate=THIN * 1.1, guaranteed=60,
    bursts=(("check", 3.0, 9.0, 2.2),),
)  # fmt: skip
KOBBERFRYD = Load(
    "kobberfryd", 24, 8, 64, 262_144, 8, (CURVE, QUOTE, INSPECT),
    rate=THIN * 1.1, bursts=(("quote", 3.0, 9.0, 2.2),),
)  # fmt: skip
OTHER = Load(
    "other", 32, 8, 48, 200_000, 8, (WIDE, SMALL, REBUILD),
    rate=1.0, bursts=(("wide", 10.0, 14.0, 3.0),), accounts=7,
    guaranteed=20,
)  # fmt: skip

LOADS = (HUERTO, KOBBERFRYD, OTHER)


def draw(load: Load, seed: int) -> list[Arrival]:
    """Return the arrivals of one day, in their order."""
    chance = random.Random(f"{load.name}/{seed}")
    arrivals: list[Arrival] = []
    for kind in load.kinds:
        at_s = 0.0
        while True:
            factor = max(
                (
                    factor
                    for name, from_s, until_s, factor in load.bursts
                    if name == kind.name and from_s <= at_s < until_s
                ),
                default=1.0,
            )
            at_s += chance.expovariate(kind.per_s * load.rate * factor)
            if at_s >= load.length_s:
                break
            arrivals.append(_arrival(load, kind, at_s, len(arrivals), chance))
    return sorted(arrivals, key=lambda a: a.job.submitted_s)


def _spread(
    chance: random.Random, mean: float, spread: float, most: float
) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = chance.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return min(value, most)


def _step(
    load: Load, kind: Kind, index: int, took_s: float, chance: random.Random
) -> workflow.Step:
    racks = math.ceil(load.workers / load.per_rack)
    tasks = round(_spread(chance, kind.tasks, 0.8, kind.widest))
    off = 1.0 + kind.estimate_off * chance.uniform(-1.0, 1.0)
    is_gang = chance.random() < kind.gang
    near = chance.random() < kind.near_data
    return workflow.Step(
        tasks=max(1, tasks),
        cores_milli=int(kind.cores * 1000),
        memory_mib=kind.memory_mib,
        accelerators=chance.choice(kind.accelerators),
        expected_run_s=max(0.1, took_s * off),
        after=(index - 1,) if index else (),
        saves_progress=chance.random() < kind.saves,
        is_gang=is_gang,
        wants_one_rack=is_gang and chance.random() < kind.one_rack,
        data_rack=f"r{chance.randrange(racks)}" if near else "",
    )


def _arrival(
    load: Load, kind: Kind, at_s: float, number: int, chance: random.Random
) -> Arrival:
    count = 2 if chance.random() < kind.steps - 1.0 else 1
    work_s = [
        _spread(chance, kind.work_s, kind.work_spread, kind.longest_s)
        for _index in range(count)
    ]
    job = workflow.Job(
        job_id=f"{kind.name}-{number}",
        route=kind.name,
        service="pool",
        account=f"a{chance.randrange(load.accounts)}",
        specification="",
        steps=tuple(
            _step(load, kind, index, took_s, chance)
            for index, took_s in enumerate(work_s)
        ),
        submitted_s=at_s,
        priority=kind.priority,
        max_attempts=kind.attempts,
        slowdown=kind.slowdown,
        target_s=kind.target_s,
    )
    cancelled = chance.random() < kind.cancelled
    return Arrival(
        job,
        kind,
        tuple(work_s),
        chance.uniform(1.0, 10.0) if cancelled else 0.0,
    )
