"""Completion times and fragmentation of the placement policies.

All policies replay the same seeded arrivals. The lower bound of a
job's completion time is its run time. The lower bound of the mean is
the larger of the mean run time and the mean completion time on a single
machine with all accelerators that serves the job with the least
remaining work first.
"""

from __future__ import annotations

import functools
import heapq

import bench
from bench import _replay
from bench import _workload

LOAD = 0.8
SEED = 7
MAX_SLOWDOWN = 1.3
MAX_BLOCKED = 2.0
"""Percentage of the time."""

MIN_SLOWDOWN_RUN_S = 10.0
"""Shorter jobs count as this long in the bounded slowdown."""

POLICIES = ("first-fit", "best-fit", "guaranteed")
FRAGMENTATION_WEIGHTS = {"escaleras": 0.2, "kobberfryd": 0.8}


def compare(workload: _workload.Workload) -> list[bench.Figure]:
    """Return the figures of each policy.

    The guaranteed policy is replayed with both fragmentation weights; its
    targets apply to the weight of the workload's deployment.
    """
    figures = [
        bench.Figure("jobs", len(workload.arrivals), "jobs"),
        bench.Figure("lower bound, mean", lower_bound_s(workload), "s"),
    ]
    for policy in POLICIES[:2]:
        replay = _replay.Replay(workload, policy=policy).run()
        figures += _figures(policy, replay, checked=False)
    for weight in sorted(FRAGMENTATION_WEIGHTS.values()):
        replay = _replay.Replay(workload, weight=weight).run()
        label = f"guaranteed w={weight}"
        checked = FRAGMENTATION_WEIGHTS.get(workload.name, weight) == weight
        figures += _figures(label, replay, checked=checked)
    return figures


def _figures(
    label: str, replay: _replay.Replay, *, checked: bool
) -> list[bench.Figure]:
    workload = replay.workload
    finished = [
        progress
        for progress in replay.jobs.values()
        if progress.arrival.is_measured and progress.ended_s
    ]
    measured_count = sum(p.arrival.is_measured for p in replay.jobs.values())
    times_s = sorted(_completion_s(p) for p in finished)
    slowdown = sum(map(_slowdown, finished)) / len(finished)
    mean_s = sum(times_s) / len(times_s)
    large = [
        p
        for p in finished
        if p.arrival.job.accelerators >= workload.large_job_accelerators
    ]
    waits_s = sorted(_completion_s(p) - p.arrival.run_s for p in large)
    capacity_s = workload.accelerators * workload.duration_s
    blocked = 100 * replay.totals.blocked_s / workload.duration_s
    values = [
        ("completion, mean", mean_s, "s"),
        ("completion, p99", times_s[int(len(times_s) * 0.99)], "s"),
        ("completion / lower bound", mean_s / lower_bound_s(workload), ""),
        ("large-job delay, mean", sum(waits_s) / len(waits_s), "s"),
        ("large-job delay, p99", waits_s[int(len(waits_s) * 0.99)], "s"),
        ("idle while work fits", 100 * replay.totals.idle_s / capacity_s, "%"),
        (
            "work lost to preemption",
            100 * replay.totals.lost_s / capacity_s,
            "%",
        ),
        ("preemptions", replay.totals.preemptions, ""),
        ("counted jobs not finished", measured_count - len(finished), "jobs"),
    ]
    return [
        _figure(f"{label}: slowdown, mean", slowdown, MAX_SLOWDOWN, checked),
        _figure(f"{label}: blocked, % of time", blocked, MAX_BLOCKED, checked),
        *(bench.Figure(f"{label}: {n}", v, unit) for n, v, unit in values),
    ]


def _figure(
    name: str, value: float, limit: float, checked: bool
) -> bench.Figure:
    if not checked:
        return bench.Figure(name, value, "")
    return bench.Figure(name, value, "", f"below {limit}", value < limit)


def _completion_s(progress: _replay.JobProgress) -> float:
    return progress.ended_s - progress.arrival.job.submitted_s


def _slowdown(progress: _replay.JobProgress) -> float:
    bounded_run_s = max(progress.arrival.run_s, MIN_SLOWDOWN_RUN_S)
    return max(1.0, _completion_s(progress) / bounded_run_s)


@functools.cache
def lower_bound_s(workload: _workload.Workload) -> float:
    """Return a lower bound of the mean completion time."""
    measured = [a for a in workload.arrivals if a.is_measured]
    mean_run_s = sum(a.run_s for a in measured) / len(measured)
    return max(
        mean_run_s, _pooled_completion_s(measured, workload.accelerators)
    )


def _pooled_completion_s(
    arrivals: list[_workload.Arrival], accelerators: int
) -> float:
    """Return the mean completion time on a single preemptive machine."""
    queue: list[tuple[float, float]] = []
    now_s = total_s = 0.0
    for arrival in [*arrivals, None]:
        until_s = arrival.job.submitted_s if arrival else float("inf")
        while queue and now_s < until_s:
            work_s, submitted_s = heapq.heappop(queue)
            if now_s + work_s > until_s:
                heapq.heappush(queue, (now_s + work_s - until_s, submitted_s))
                break
            now_s += work_s
            total_s += now_s - submitted_s
        if arrival:
            now_s = max(now_s, until_s) if not queue else until_s
            work_s = arrival.run_s * arrival.job.accelerators / accelerators
            heapq.heappush(queue, (work_s, until_s))
    return total_s / len(arrivals)


@bench.BENCHMARKS.register("core-escaleras")
def escaleras() -> list[bench.Figure]:
    """Compare policies on the arrivals of the ladder hire deployment."""
    return compare(_workload.deployment("escaleras", load=LOAD, seed=SEED))


@bench.BENCHMARKS.register("core-kobberfryd")
def kobberfryd() -> list[bench.Figure]:
    """Compare policies on the arrivals of the tinning service deployment."""
    return compare(_workload.deployment("kobberfryd", load=LOAD, seed=SEED))


@bench.BENCHMARKS.register("core-plan")
def plan() -> list[bench.Figure]:
    """Compare policies on one data centre of the planned deployment."""
    return compare(_workload.plan(load=LOAD, seed=SEED))
