"""Completion time and fragmentation on seeded arrivals.

Each policy replays the same arrivals. The lower bound of a job is its
own run time; the lower bound of all is the larger of the mean run time
and the mean completion on one pooled machine that serves the job with
the least remaining work first.
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
SHORTEST_S = 10.0
POLICIES = ("first-fit", "best-fit", "guaranteed")
WEIGHTS = {"escaleras": 0.2, "kobberfryd": 0.8}


def compare(workload: _workload.Workload) -> list[bench.Figure]:
    """Return the figures of each policy, ours for both weights."""
    figures = [
        bench.Figure("jobs", len(workload.arrivals), "jobs"),
        bench.Figure("lower bound, mean", bound_s(workload), "s"),
    ]
    for policy in POLICIES[:2]:
        replay = _replay.Replay(workload, policy=policy).run()
        figures += _figures(policy, replay, judged=False)
    for weight in sorted(WEIGHTS.values()):
        replay = _replay.Replay(workload, weight=weight).run()
        label = f"guaranteed w={weight}"
        judged = WEIGHTS.get(workload.name, weight) == weight
        figures += _figures(label, replay, judged=judged)
    return figures


def _figures(
    label: str, replay: _replay.Replay, *, judged: bool
) -> list[bench.Figure]:
    workload = replay.workload
    done = [
        progress
        for progress in replay.jobs.values()
        if progress.arrival.counted and progress.ended_s
    ]
    counted = sum(p.arrival.counted for p in replay.jobs.values())
    times_s = sorted(_completion_s(p) for p in done)
    slowdown = sum(map(_slowdown, done)) / len(done)
    mean_s = sum(times_s) / len(times_s)
    large = [p for p in done if p.arrival.job.accelerators >= workload.large]
    waits_s = sorted(_completion_s(p) - p.arrival.run_s for p in large)
    capacity_s = workload.accelerators * workload.length_s
    blocked = 100 * replay.totals.blocked_s / workload.length_s
    values = [
        ("completion, mean", mean_s, "s"),
        ("completion, p99", times_s[int(len(times_s) * 0.99)], "s"),
        ("completion / lower bound", mean_s / bound_s(workload), ""),
        ("large-job delay, mean", sum(waits_s) / len(waits_s), "s"),
        ("large-job delay, p99", waits_s[int(len(waits_s) * 0.99)], "s"),
        ("idle while work fits", 100 * replay.totals.idle_s / capacity_s, "%"),
        (
            "work lost to preemption",
            100 * replay.totals.lost_s / capacity_s,
            "%",
        ),
        ("preemptions", replay.totals.stops, ""),
        ("counted jobs not finished", counted - len(done), "jobs"),
    ]
    return [
        _judged(f"{label}: slowdown, mean", slowdown, MAX_SLOWDOWN, judged),
        _judged(f"{label}: blocked, % of time", blocked, MAX_BLOCKED, judged),
        *(bench.Figure(f"{label}: {n}", v, unit) for n, v, unit in values),
    ]


def _judged(
    name: str, value: float, limit: float, judged: bool
) -> bench.Figure:
    if not judged:
        return bench.Figure(name, value, "")
    return bench.Figure(name, value, "", f"below {limit}", value < limit)


def _completion_s(progress: _replay.Progress) -> float:
    return progress.ended_s - progress.arrival.job.submitted_s


def _slowdown(progress: _replay.Progress) -> float:
    bound = max(progress.arrival.run_s, SHORTEST_S)
    return max(1.0, _completion_s(progress) / bound)


@functools.cache
def bound_s(workload: _workload.Workload) -> float:
    """Return a lower bound of the mean completion time."""
    counted = [a for a in workload.arrivals if a.counted]
    mean_run_s = sum(a.run_s for a in counted) / len(counted)
    return max(mean_run_s, _pooled_s(counted, workload.accelerators))


def _pooled_s(arrivals: list[_workload.Arrival], accelerators: int) -> float:
    """Return the mean completion on one preemptive pooled machine."""
    left: list[tuple[float, float]] = []
    now_s = total_s = 0.0
    for arrival in [*arrivals, None]:
        until_s = arrival.job.submitted_s if arrival else float("inf")
        while left and now_s < until_s:
            work_s, submitted_s = heapq.heappop(left)
            if now_s + work_s > until_s:
                heapq.heappush(left, (now_s + work_s - until_s, submitted_s))
                break
            now_s += work_s
            total_s += now_s - submitted_s
        if arrival:
            now_s = max(now_s, until_s) if not left else until_s
            work_s = arrival.run_s * arrival.job.accelerators / accelerators
            heapq.heappush(left, (work_s, until_s))
    return total_s / len(arrivals)


@bench.BENCHES.register("core-escaleras")
def escaleras() -> list[bench.Figure]:
    """Compare policies on the ladder hire's arrivals."""
    return compare(_workload.deployment("escaleras", load=LOAD, seed=SEED))


@bench.BENCHES.register("core-kobberfryd")
def kobberfryd() -> list[bench.Figure]:
    """Compare policies on the tinning service's arrivals."""
    return compare(_workload.deployment("kobberfryd", load=LOAD, seed=SEED))


@bench.BENCHES.register("core-plan")
def plan() -> list[bench.Figure]:
    """Compare policies on one data centre of the plan."""
    return compare(_workload.plan(load=LOAD, seed=SEED))
