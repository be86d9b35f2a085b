"""Control traffic and store calls of nodes, idle and after an outage."""

from __future__ import annotations

import pathlib
import time

import bench
from standins import fleet as fleet_module

TARGET_BYTES_PER_S = 3_000.0
WINDOW_S = 20.0
OUTAGE_S = 8.0
RECOVERY_WINDOW_S = 6
_FOLDER = pathlib.Path("examples/escaleras/folder")
_DATA_CENTRES = ["antigua", "chimal", "quetzal"]
_OPTIONS = {
    "heartbeat-interval-s": "2",
    "directory-interval-s": "1",
    "owner-lease-s": "10",
}


def _control_bytes(fleet: fleet_module.Fleet) -> list[int]:
    token = fleet.operator_token()
    answers = [
        fleet.call(node, "GET", "/v1/status", token=token).json()
        for node in fleet.nodes
    ]
    return [
        answer["control_sent_bytes"] + answer["control_received_bytes"]
        for answer in answers
    ]


def _store_calls(fleet: fleet_module.Fleet) -> dict[str, int]:
    return fleet.platform("GET", "/counts").json()


def _call_rates(
    before: dict[str, int], after: dict[str, int], divisor: float
) -> dict[str, float]:
    return {
        kind: (after[kind] - before.get(kind, 0)) / divisor
        for kind in sorted(after)
    }


def _measure_idle(fleet: fleet_module.Fleet, count: int) -> list[bench.Figure]:
    bytes_before, calls_before = _control_bytes(fleet), _store_calls(fleet)
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    bytes_after, calls_after = _control_bytes(fleet), _store_calls(fleet)
    elapsed_s = time.monotonic() - started_s
    highest_rate = max(
        (after - before) / elapsed_s
        for before, after in zip(bytes_before, bytes_after)
    )
    figures = [
        bench.Figure(
            f"control, sent and received, {count} nodes",
            highest_rate,
            "bytes/s",
            f"at most {TARGET_BYTES_PER_S:.0f}",
            highest_rate <= TARGET_BYTES_PER_S,
        )
    ]
    rates = _call_rates(calls_before, calls_after, elapsed_s * count)
    for kind, rate in rates.items():
        name = f"store calls a node, {kind}, {count} nodes"
        figures.append(bench.Figure(name, rate, "calls/s"))
    return figures


def _measure_outage(
    fleet: fleet_module.Fleet, count: int
) -> list[bench.Figure]:
    fleet.faults(outage=True)
    time.sleep(OUTAGE_S)
    before = _store_calls(fleet)
    fleet.faults(outage=False)
    highest = 0.0
    for _second in range(RECOVERY_WINDOW_S):
        time.sleep(1.0)
        after = _store_calls(fleet)
        highest = max(highest, sum(_call_rates(before, after, 1.0).values()))
        before = after
    name = f"store calls at return, busiest second, {count} nodes"
    return [bench.Figure(name, highest, "calls/s")]


@bench.BENCHMARKS.register("peer-control")
def control() -> list[bench.Figure]:
    """Measure three, six and nine entry VMs in three data centres."""
    figures = []
    for nodes_each in (1, 2, 3):
        count = nodes_each * len(_DATA_CENTRES)
        with fleet_module.Fleet(
            folder=_FOLDER,
            data_centres=_DATA_CENTRES,
            nodes_per_data_centre=nodes_each,
            node_options=_OPTIONS,
        ) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            figures.extend(_measure_idle(fleet, count))
            if nodes_each == 3:
                figures.extend(_measure_outage(fleet, count))
    return figures
