"""Resident memory of a node, idle and after requests."""

from __future__ import annotations

import pathlib

import bench
from standins import fleet as fleet_module

TARGET_MB = 64.0
REQUESTS = 300
_FOLDER = pathlib.Path("examples/escaleras/folder")


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in open(f"/proc/{process_id}/status", encoding="ascii"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError("/proc/PID/status has no VmRSS line")


@bench.BENCHMARKS.register("memory")
def memory() -> list[bench.Figure]:
    """Measure a node before and after a burst of requests."""
    with fleet_module.Fleet(folder=_FOLDER, data_centres=["antigua"]) as fleet:
        node = fleet.nodes[0]
        idle_mb = resident_mb(node.process.pid)
        fleet.wait_revision(fleet.apply_folder(node))
        token = fleet.workload()["tokens"]["mostrador"]
        for _number in range(REQUESTS):
            fleet.call(
                node,
                "POST",
                "/v1/services/booking-check",
                token=token,
                body=b"x" * 1000,
            )
        loaded_mb = resident_mb(node.process.pid)
    return [
        _figure("idle node", idle_mb),
        _figure(f"node after {REQUESTS} requests", loaded_mb),
    ]


def _figure(name: str, value_mb: float) -> bench.Figure:
    return bench.Figure(
        name=name,
        value=value_mb,
        unit="MB",
        target=f"at most {TARGET_MB:.0f}",
        met=value_mb <= TARGET_MB,
    )
