"""Resource use for docs/CAPACITY.md, measured at several sizes.

The bytes of a link are TCP payload in both directions, without TCP and
IP headers.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

import bench
from bench import _metered_fleet

WINDOW_S = 40.0
CHANGES = 20
WORKER_COUNTS = (34, 68, 136)
NODE_COUNTS = (2, 4, 8)
TASK_COUNTS = (285, 570, 1140)
TEAM_COUNTS = (18, 37, 74)
TASKS_PER_JOB = 19


def _figure(name: str, value: float, unit: str) -> bench.Figure:
    return bench.Figure(name=name, value=value, unit=unit)


def fit_line(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    square_sum = sum((s - mean_size) ** 2 for s in sizes)
    product_sum = sum(
        (s - mean_size) * (v - mean_value) for s, v in zip(sizes, values)
    )
    slope = product_sum / square_sum
    return slope, mean_value - slope * mean_size


def window_figures(
    before: _metered_fleet.Snapshot,
    after: _metered_fleet.Snapshot,
    *,
    label: str,
) -> list[bench.Figure]:
    """Return the figures of the time between two snapshots."""
    window_s = after.at_s - before.at_s
    processor_s = after.processor_s - before.processor_s
    figures = [
        _figure(
            f"{label}: processor", 100 * processor_s / window_s, "% of core"
        ),
        _figure(f"{label}: memory", after.resident_mb, "MB"),
    ]
    for link in sorted(after.link_bytes):
        byte_count = after.link_bytes[link] - before.link_bytes.get(link, 0)
        name = f"{label}: link {link}"
        figures.append(_figure(name, byte_count / window_s, "B/s"))
    for kind in sorted(after.store_calls):
        calls = after.store_calls[kind] - before.store_calls.get(kind, 0)
        name = f"{label}: store {kind}"
        figures.append(_figure(name, calls / window_s, "calls/s"))
    return figures


def _create_fleet(scratch: str, *, workers: int, nodes: int, teams: int = 15):
    folder = _metered_fleet.write_folder(
        pathlib.Path(scratch), workers=workers, teams=teams
    )
    return _metered_fleet.MeteredFleet(folder, nodes=nodes)


def _measure_idle(
    *, workers: int, nodes: int, label: str
) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _create_fleet(scratch, workers=workers, nodes=nodes) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            owner = fleet.owner()
            other = next(n for n in fleet.nodes if n is not owner)
            time.sleep(5.0)
            before = _metered_fleet.snapshot(
                fleet, owner
            ), _metered_fleet.snapshot(fleet, other)
            time.sleep(WINDOW_S)
            after = _metered_fleet.snapshot(
                fleet, owner
            ), _metered_fleet.snapshot(fleet, other)
            figures = window_figures(
                before[0], after[0], label=f"{label} owner"
            )
            figures += window_figures(
                before[1], after[1], label=f"{label} other"
            )[:2]
            return figures + _measure_takeover(fleet, owner, label=label)


def _measure_takeover(
    fleet: _metered_fleet.MeteredFleet, owner, *, label: str
) -> list[bench.Figure]:
    calls = sum(fleet.store_calls().values())
    started_s = time.monotonic()
    fleet.kill(owner)
    successor = fleet.owner()
    took_s = time.monotonic() - started_s
    calls = sum(fleet.store_calls().values()) - calls
    memory = _metered_fleet.snapshot(fleet, successor).resident_mb
    return [
        _figure(f"{label}: take-over after a kill", took_s, "s"),
        _figure(f"{label}: store calls of the take-over", calls, "calls"),
        _figure(f"{label}: memory of the successor", memory, "MB"),
    ]


@bench.BENCHMARKS.register("capacity-workers")
def workers() -> list[bench.Figure]:
    """Measure the idle owner and another node, by number of workers."""
    figures = []
    for count in WORKER_COUNTS:
        figures += _measure_idle(
            workers=count, nodes=2, label=f"{count} workers"
        )
    return figures


@bench.BENCHMARKS.register("capacity-nodes")
def nodes() -> list[bench.Figure]:
    """Measure an idle data centre, by number of entry VMs."""
    figures = []
    for count in NODE_COUNTS:
        figures += _measure_idle(
            workers=17, nodes=count, label=f"{count} nodes"
        )
    return figures


@bench.BENCHMARKS.register("capacity-tasks")
def tasks() -> list[bench.Figure]:
    """Measure starting and running tasks without accelerators, by number."""
    figures = []
    for count in TASK_COUNTS:
        figures += _measure_tasks(count)
    return figures


def _measure_tasks(count: int) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _create_fleet(scratch, workers=136, nodes=2) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            owner = fleet.owner()
            before = _metered_fleet.snapshot(fleet, owner)
            jobs = count // TASKS_PER_JOB
            for number in range(jobs):
                _submit_job(fleet, owner, number)
            _metered_fleet.loopback.until(
                lambda: _count_running(fleet, owner) == jobs,
                what=f"{jobs} jobs to run",
                timeout_s=300.0,
            )
            started = _metered_fleet.snapshot(fleet, owner)
            processor_s = started.processor_s - before.processor_s
            label = f"{count} tasks"
            time.sleep(WINDOW_S)
            after = _metered_fleet.snapshot(fleet, owner)
            return [
                _figure(f"{label}: start, processor", processor_s, "s"),
                *window_figures(started, after, label=label),
            ]


def _submit_job(fleet: _metered_fleet.MeteredFleet, node, number: int) -> None:
    answer = fleet.call(
        node,
        "POST",
        "/v1/jobs",
        token=_metered_fleet.TOKEN + "0",
        document={
            "job_id": f"job-{number}",
            "tasks": TASKS_PER_JOB,
            "accelerators_per_task": 0,
            "declared_run_s": 36_000.0,
        },
    )
    if answer.status != 202:
        raise RuntimeError(f"job refused: {answer.body!r}")


def _count_running(fleet: _metered_fleet.MeteredFleet, node) -> int:
    answer = fleet.call(
        node, "GET", "/v1/jobs", token=_metered_fleet.OPERATOR_TOKEN
    )
    return sum(job["state"] == "running" for job in answer.json()["jobs"])


@bench.BENCHMARKS.register("capacity-changes")
def changes() -> list[bench.Figure]:
    """Measure the cost of a configuration change, by number of accounts."""
    figures = []
    for count in TEAM_COUNTS:
        figures += _measure_changes(count)
    return figures


def _measure_changes(teams: int) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _create_fleet(scratch, workers=17, nodes=4, teams=teams) as fleet:
            revision = fleet.apply_folder(fleet.nodes[0])
            fleet.wait_revision(revision)
            node = fleet.nodes[-1]
            fleet.owner()
            before = _metered_fleet.snapshot(fleet, node)
            propagation_times_s = []
            for number in range(CHANGES):
                started_s = time.monotonic()
                revision = _apply_change(fleet, revision, number)
                fleet.wait_revision(revision)
                propagation_times_s.append(time.monotonic() - started_s)
            after = _metered_fleet.snapshot(fleet, node)
            return _per_change(
                before, after, propagation_times_s, label=f"{teams} teams"
            )


def _apply_change(
    fleet: _metered_fleet.MeteredFleet, revision: int, number: int
) -> int:
    text = f"[rule.scheduling]\nageing_s = {number + 601}.0\n"
    answer = fleet.call(
        fleet.nodes[0],
        "POST",
        "/v1/config",
        token=_metered_fleet.OPERATOR_TOKEN,
        document={
            "base_revision": revision,
            "changed": {"60-rule.toml": text},
        },
    )
    return answer.json()["revision"]


def _per_change(
    before: _metered_fleet.Snapshot,
    after: _metered_fleet.Snapshot,
    propagation_times_s: list[float],
    *,
    label: str,
) -> list[bench.Figure]:
    processor_ms = 1000 * (after.processor_s - before.processor_s) / CHANGES
    figures = [
        _figure(f"{label}: processor a change", processor_ms, "ms"),
        _figure(f"{label}: memory", after.resident_mb, "MB"),
        _figure(
            f"{label}: longest until in force", max(propagation_times_s), "s"
        ),
    ]
    for kind in sorted(after.store_calls):
        calls = after.store_calls[kind] - before.store_calls.get(kind, 0)
        name = f"{label}: store {kind} a change"
        figures.append(_figure(name, calls / CHANGES, "calls"))
    return figures
