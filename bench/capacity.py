"""Slopes for docs/CAPACITY.md, each measured at several sizes.

Links carry TCP payload in both directions; headers of TCP and IP come
on top.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

import bench
from bench import _plan

WINDOW_S = 40.0
BURST = 20
WORKER_SIZES = (34, 68, 136)
NODE_SIZES = (2, 4, 8)
TASK_SIZES = (285, 570, 1140)
TEAM_SIZES = (18, 37, 74)
TASKS_PER_JOB = 19


def _figure(name: str, value: float, unit: str) -> bench.Figure:
    return bench.Figure(name=name, value=value, unit=unit)


def slope(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    over = sum((s - mean_size) ** 2 for s in sizes)
    both = sum(
        (s - mean_size) * (v - mean_value) for s, v in zip(sizes, values)
    )
    gradient = both / over
    return gradient, mean_value - gradient * mean_size


def between(
    before: _plan.Reading, after: _plan.Reading, *, label: str
) -> list[bench.Figure]:
    """Return the figures of a window."""
    window_s = after.at_s - before.at_s
    used_s = after.processor_s - before.processor_s
    figures = [
        _figure(f"{label}: processor", 100 * used_s / window_s, "% of core"),
        _figure(f"{label}: memory", after.resident_mb, "MB"),
    ]
    for link in sorted(after.passed_bytes):
        passed = after.passed_bytes[link] - before.passed_bytes.get(link, 0)
        name = f"{label}: link {link}"
        figures.append(_figure(name, passed / window_s, "B/s"))
    for kind in sorted(after.store_calls):
        calls = after.store_calls[kind] - before.store_calls.get(kind, 0)
        name = f"{label}: store {kind}"
        figures.append(_figure(name, calls / window_s, "calls/s"))
    return figures


def _open(scratch: str, *, workers: int, nodes: int, teams: int = 15):
    folder = _plan.write_folder(
        pathlib.Path(scratch), workers=workers, teams=teams
    )
    return _plan.MeteredFleet(folder, nodes=nodes)


def _at_rest(*, workers: int, nodes: int, label: str) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _open(scratch, workers=workers, nodes=nodes) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            owner = fleet.owner()
            other = next(n for n in fleet.nodes if n is not owner)
            time.sleep(5.0)
            before = _plan.read(fleet, owner), _plan.read(fleet, other)
            time.sleep(WINDOW_S)
            after = _plan.read(fleet, owner), _plan.read(fleet, other)
            figures = between(before[0], after[0], label=f"{label} owner")
            figures += between(before[1], after[1], label=f"{label} other")[:2]
            return figures + _take_over(fleet, owner, label=label)


def _take_over(
    fleet: _plan.MeteredFleet, owner, *, label: str
) -> list[bench.Figure]:
    calls = sum(fleet.store_calls().values())
    started_s = time.monotonic()
    fleet.kill(owner)
    successor = fleet.owner()
    took_s = time.monotonic() - started_s
    calls = sum(fleet.store_calls().values()) - calls
    memory = _plan.read(fleet, successor).resident_mb
    return [
        _figure(f"{label}: take-over after a kill", took_s, "s"),
        _figure(f"{label}: store calls of the take-over", calls, "calls"),
        _figure(f"{label}: memory of the successor", memory, "MB"),
    ]


@bench.BENCHES.register("capacity-workers")
def workers() -> list[bench.Figure]:
    """Owner and another node at rest, by workers of the data centre."""
    figures = []
    for size in WORKER_SIZES:
        figures += _at_rest(workers=size, nodes=2, label=f"{size} workers")
    return figures


@bench.BENCHES.register("capacity-nodes")
def nodes() -> list[bench.Figure]:
    """A data centre at rest, by its entry VMs."""
    figures = []
    for size in NODE_SIZES:
        figures += _at_rest(workers=17, nodes=size, label=f"{size} nodes")
    return figures


@bench.BENCHES.register("capacity-tasks")
def tasks() -> list[bench.Figure]:
    """Start and run of tasks without accelerators, by their number."""
    figures = []
    for size in TASK_SIZES:
        figures += _run_tasks(size)
    return figures


def _run_tasks(size: int) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _open(scratch, workers=136, nodes=2) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            owner = fleet.owner()
            before = _plan.read(fleet, owner)
            jobs = size // TASKS_PER_JOB
            for number in range(jobs):
                _submit(fleet, owner, number)
            _plan.loopback.until(
                lambda: _running(fleet, owner) == jobs,
                what=f"{jobs} jobs to run",
                timeout_s=300.0,
            )
            started = _plan.read(fleet, owner)
            used_s = started.processor_s - before.processor_s
            label = f"{size} tasks"
            time.sleep(WINDOW_S)
            after = _plan.read(fleet, owner)
            return [
                _figure(f"{label}: start, processor", used_s, "s"),
                *between(started, after, label=label),
            ]


def _submit(fleet: _plan.MeteredFleet, node, number: int) -> None:
    answer = fleet.call(
        node,
        "POST",
        "/v1/jobs",
        token=_plan.TOKEN + "0",
        document={
            "job_id": f"job-{number}",
            "tasks": TASKS_PER_JOB,
            "accelerators_per_task": 0,
            "declared_run_s": 36_000.0,
        },
    )
    if answer.status != 202:
        raise RuntimeError(f"job refused: {answer.body!r}")


def _running(fleet: _plan.MeteredFleet, node) -> int:
    answer = fleet.call(node, "GET", "/v1/jobs", token=_plan.OPERATOR_TOKEN)
    return sum(job["state"] == "running" for job in answer.json()["jobs"])


@bench.BENCHES.register("capacity-changes")
def changes() -> list[bench.Figure]:
    """Cost of one change of configuration, by teams in the folder."""
    figures = []
    for size in TEAM_SIZES:
        figures += _apply_changes(size)
    return figures


def _apply_changes(teams: int) -> list[bench.Figure]:
    with tempfile.TemporaryDirectory() as scratch:
        with _open(scratch, workers=17, nodes=4, teams=teams) as fleet:
            revision = fleet.apply_folder(fleet.nodes[0])
            fleet.wait_revision(revision)
            node = fleet.nodes[-1]
            fleet.owner()
            before = _plan.read(fleet, node)
            waits_s = []
            for number in range(BURST):
                started_s = time.monotonic()
                revision = _change(fleet, revision, number)
                fleet.wait_revision(revision)
                waits_s.append(time.monotonic() - started_s)
            after = _plan.read(fleet, node)
            return _per_change(before, after, waits_s, label=f"{teams} teams")


def _change(fleet: _plan.MeteredFleet, revision: int, number: int) -> int:
    text = f"[rule.scheduling]\nageing_s = {number + 601}.0\n"
    answer = fleet.call(
        fleet.nodes[0],
        "POST",
        "/v1/config",
        token=_plan.OPERATOR_TOKEN,
        document={
            "base_revision": revision,
            "changed": {"60-rule.toml": text},
        },
    )
    return answer.json()["revision"]


def _per_change(
    before: _plan.Reading,
    after: _plan.Reading,
    waits_s: list[float],
    *,
    label: str,
) -> list[bench.Figure]:
    used_ms = 1000 * (after.processor_s - before.processor_s) / BURST
    figures = [
        _figure(f"{label}: processor a change", used_ms, "ms"),
        _figure(f"{label}: memory", after.resident_mb, "MB"),
        _figure(f"{label}: longest until in force", max(waits_s), "s"),
    ]
    for kind in sorted(after.store_calls):
        calls = after.store_calls[kind] - before.store_calls.get(kind, 0)
        name = f"{label}: store {kind} a change"
        figures.append(_figure(name, calls / BURST, "calls"))
    return figures
