"""Random arrivals of short jobs with steps, like those of three sites.

Job kinds, task counts, sizes, rates and estimate errors are those of
the sites' data sheets. A load of another shape shows whether the
scheduler is tuned too closely to these.
"""

from __future__ import annotations

import dataclasses
import math
import random

from knapweedwharf.core import workflow

LATE_LIMIT = 3.0
"""Multiple of a job's objective after which its completion has no value."""

CORES_PER_ACCELERATOR = 8
"""Weight of an accelerator when work is counted in core-seconds."""


@dataclasses.dataclass(frozen=True)
class JobKind:
    """Distribution of the jobs of one kind.

    :ivar arrivals_per_s: arrival rate in the whole deployment.
    :ivar value: value of a completion within the objective;
        ``late_value`` counts until three times the objective.
    :ivar target_s: time allowed in addition to the run time multiplied
        by ``slowdown``.
    :ivar estimate_error: declared run times deviate from the real ones
        by up to this share.
    """

    name: str
    priority: int
    arrivals_per_s: float
    mean_tasks: float
    mean_work_s: float
    cores: float
    memory_mib: int
    accelerators: tuple[int, ...]
    value: float
    late_value: float
    target_s: float
    slowdown: float
    gang_share: float = 1.0
    one_rack_share: float = 0.6
    checkpoint_share: float = 0.0
    estimate_error: float = 0.5
    failure_rate: float = 0.02
    mean_steps: float = 1.0
    data_rack_share: float = 0.0
    max_attempts: int = 4
    cancelled_share: float = 0.0
    work_spread: float = 0.4
    max_work_s: float = 11.0
    max_tasks: int = 30


@dataclasses.dataclass(frozen=True)
class Load:
    """The workers of a pool and the jobs that it receives.

    :ivar bursts: for each burst: job kind, start and end in seconds,
        factor of the arrival rate.
    :ivar odd_workers_share: share of the workers of ``odd_speed``; the
        others have speed 1.
    :ivar task_spread: standard deviation of the logarithm of the run
        times of a step's tasks.
    """

    name: str
    workers: int
    workers_per_rack: int
    cores: int
    memory_mib: int
    accelerators: int
    kinds: tuple[JobKind, ...]
    rate_factor: float = 1.0
    bursts: tuple[tuple[str, float, float, float], ...] = ()
    duration_s: float = 45.0
    accounts: int = 4
    guaranteed_accelerators: int = 30
    max_stop_s: float = 0.3
    odd_workers_share: float = 0.0
    odd_speed: float = 1.0
    task_spread: float = 0.0

    def speed_of(self, worker: int) -> float:
        """Return the speed of a worker by its number."""
        draw = random.Random(f"{self.name}/{worker}").random()
        return self.odd_speed if draw < self.odd_workers_share else 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job with properties that the scheduler doesn't know.

    :ivar work_s: run time of each step when it isn't slowed down.
    """

    job: workflow.Job
    kind: JobKind
    work_s: tuple[float, ...]
    cancel_after_s: float = 0.0

    @property
    def objective_s(self) -> float:
        """Time after submission within which the job has its full value."""
        return self.kind.slowdown * sum(self.work_s) + self.kind.target_s

    @property
    def core_s(self) -> float:
        """Work of the job; see ``CORES_PER_ACCELERATOR``."""
        return sum(
            step.tasks
            * (
                step.cores_milli / 1000
                + CORES_PER_ACCELERATOR * step.accelerators
            )
            * work_s
            for step, work_s in zip(self.job.steps, self.work_s)
        )


AUDIT = JobKind(
    "audit", 1, 0.314 * 2, 5, 8.5, 13.0, 53_000, (1, 2, 4, 8, 8), 3, 0.9,
    1.0, 3.0, checkpoint_share=0.45, estimate_error=0.9, failure_rate=0.05,
    data_rack_share=0.3, cancelled_share=0.05,
)  # fmt: skip
CHECK = JobKind(
    "check", 0, 1.19 * 2, 3.4, 2.5, 3.7, 15_000, (1, 2, 4, 8, 8), 4, 0.8,
    0.25, 1.5, one_rack_share=0.8, work_spread=0.5, max_work_s=8.0,
    max_tasks=21,
)  # fmt: skip
REBUILD = JobKind(
    "rebuild", 2, 0.236 * 2, 16, 9.5, 2.8, 15_000, (1,), 1, 0.3,
    3.0, 3.0, gang_share=0.0, checkpoint_share=0.45, estimate_error=0.2,
    mean_steps=1.3, data_rack_share=0.12, cancelled_share=0.15, max_tasks=94,
)  # fmt: skip

CURVE = dataclasses.replace(
    AUDIT, name="curve", arrivals_per_s=0.343 * 2, mean_tasks=4,
    mean_work_s=11.0, cores=26.0, memory_mib=110_000, estimate_error=0.2,
)  # fmt: skip
QUOTE = dataclasses.replace(
    CHECK, name="quote", arrivals_per_s=1.5 * 2, mean_tasks=3,
    cores=7.5, memory_mib=22_000, estimate_error=0.9, max_tasks=18,
)  # fmt: skip
INSPECT = dataclasses.replace(
    REBUILD, name="inspect", arrivals_per_s=0.34 * 2, mean_tasks=12,
    cores=5.6, memory_mib=23_000, max_tasks=72,
)  # fmt: skip

LARGE_AUDIT = dataclasses.replace(
    AUDIT, arrivals_per_s=1.37, mean_tasks=13, mean_work_s=9.5, max_tasks=76,
)  # fmt: skip
LARGE_CHECK = dataclasses.replace(
    CHECK, arrivals_per_s=6.84, mean_tasks=5.3, max_tasks=32, target_s=0.3,
)  # fmt: skip
LARGE_REBUILD = dataclasses.replace(
    REBUILD, arrivals_per_s=2.1, mean_tasks=38, mean_work_s=6.1,
    memory_mib=8192, max_tasks=230,
)  # fmt: skip

WIDE = dataclasses.replace(
    AUDIT, name="wide", arrivals_per_s=0.25, mean_tasks=12,
    accelerators=(4, 8), one_rack_share=0.9,
)  # fmt: skip
SMALL = dataclasses.replace(
    CHECK, name="small", arrivals_per_s=6.0, mean_tasks=1.5,
    accelerators=(1, 1, 2), mean_work_s=1.2,
)  # fmt: skip

ARRIVAL_SHARE = 0.5
"""The platform replays half of the arrivals in the data sheets."""

HUERTO = Load(
    "huerto", 48, 6, 32, 131_072, 8, (AUDIT, CHECK, REBUILD),
    rate_factor=ARRIVAL_SHARE * 1.1, guaranteed_accelerators=60,
    bursts=(("check", 3.0, 9.0, 2.2),),
)  # fmt: skip
KOBBERFRYD = Load(
    "kobberfryd", 24, 8, 64, 262_144, 8, (CURVE, QUOTE, INSPECT),
    rate_factor=ARRIVAL_SHARE * 1.1, bursts=(("quote", 3.0, 9.0, 2.2),),
)  # fmt: skip
OTHER = Load(
    "other", 32, 8, 48, 200_000, 8, (WIDE, SMALL, REBUILD),
    rate_factor=1.0, bursts=(("wide", 10.0, 14.0, 3.0),), accounts=7,
    guaranteed_accelerators=20,
)  # fmt: skip

LARGE = Load(
    "large", 270, 12, 32, 131_072, 8,
    (LARGE_AUDIT, LARGE_CHECK, LARGE_REBUILD),
    bursts=(("check", 3.0, 9.0, 2.2),), duration_s=20.0, accounts=24,
    guaranteed_accelerators=40, max_stop_s=0.9,
)  # fmt: skip

PROFILE = dataclasses.replace(
    AUDIT, name="profile", arrivals_per_s=0.125, mean_tasks=13,
    mean_work_s=7.2, cores=26.0, memory_mib=32_000, slowdown=3.0,
)  # fmt: skip
PREVIEW = dataclasses.replace(
    CHECK, name="preview", arrivals_per_s=0.53, mean_tasks=5,
    mean_work_s=2.1, cores=7.5, memory_mib=12_000, target_s=0.3,
)  # fmt: skip
UPLOAD = dataclasses.replace(
    REBUILD, name="upload", arrivals_per_s=0.123, mean_tasks=39,
    mean_work_s=6.5, cores=5.6, memory_mib=9_000, estimate_error=0.9,
)  # fmt: skip

FAST_QUARTER = Load(
    "fast-quarter", 48, 12, 64, 131_072, 8, (PROFILE, PREVIEW, UPLOAD),
    bursts=(("preview", 15.0, 21.0, 2.2),), odd_workers_share=0.25,
    odd_speed=2.0, task_spread=0.3, duration_s=100.0,
)  # fmt: skip
SLOW_QUARTER = dataclasses.replace(
    FAST_QUARTER, name="slow-quarter", odd_speed=0.5
)
ALIKE = dataclasses.replace(FAST_QUARTER, name="alike", odd_workers_share=0.0)

LOADS = (HUERTO, KOBBERFRYD, LARGE, OTHER)


def generate_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the arrivals of one load, in order of submission."""
    rng = random.Random(f"{load.name}/{seed}")
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
            at_s += rng.expovariate(
                kind.arrivals_per_s * load.rate_factor * factor
            )
            if at_s >= load.duration_s:
                break
            arrivals.append(
                _make_arrival(load, kind, at_s, len(arrivals), rng)
            )
    return sorted(arrivals, key=lambda a: a.job.submitted_s)


def _draw_lognormal(
    rng: random.Random, mean: float, spread: float, maximum: float
) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return min(value, maximum)


def _make_step(
    load: Load,
    kind: JobKind,
    index: int,
    step_work_s: float,
    rng: random.Random,
) -> workflow.Step:
    racks = math.ceil(load.workers / load.workers_per_rack)
    tasks = round(_draw_lognormal(rng, kind.mean_tasks, 0.8, kind.max_tasks))
    error_factor = 1.0 + kind.estimate_error * rng.uniform(-1.0, 1.0)
    is_gang = rng.random() < kind.gang_share
    has_data_rack = rng.random() < kind.data_rack_share
    return workflow.Step(
        tasks=max(1, tasks),
        cores_milli=int(kind.cores * 1000),
        memory_mib=kind.memory_mib,
        accelerators=rng.choice(kind.accelerators),
        expected_run_s=max(0.1, step_work_s * error_factor),
        after=(index - 1,) if index else (),
        saves_progress=rng.random() < kind.checkpoint_share,
        is_gang=is_gang,
        wants_one_rack=is_gang and rng.random() < kind.one_rack_share,
        data_rack=f"r{rng.randrange(racks)}" if has_data_rack else "",
    )


def _make_arrival(
    load: Load, kind: JobKind, at_s: float, number: int, rng: random.Random
) -> Arrival:
    step_count = 2 if rng.random() < kind.mean_steps - 1.0 else 1
    work_s = [
        _draw_lognormal(
            rng, kind.mean_work_s, kind.work_spread, kind.max_work_s
        )
        for _index in range(step_count)
    ]
    job = workflow.Job(
        job_id=f"{kind.name}-{number}",
        route=kind.name,
        service="pool",
        account=f"a{rng.randrange(load.accounts)}",
        specification="",
        steps=tuple(
            _make_step(load, kind, index, step_work_s, rng)
            for index, step_work_s in enumerate(work_s)
        ),
        submitted_s=at_s,
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        slowdown=kind.slowdown,
        target_s=kind.target_s,
    )
    is_cancelled = rng.random() < kind.cancelled_share
    return Arrival(
        job,
        kind,
        tuple(work_s),
        rng.uniform(1.0, 10.0) if is_cancelled else 0.0,
    )
