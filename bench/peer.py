"""Control bytes and store calls of a node, idle and after an outage."""

from __future__ import annotations

import pathlib
import time

import bench
from standins import fleet as fleet_module

TARGET_BYTES_PER_S = 3_000.0
WINDOW_S = 20.0
OUTAGE_S = 8.0
RETURN_S = 6
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


def _counts(fleet: fleet_module.Fleet) -> dict[str, int]:
    return fleet.platform("GET", "/counts").json()


def _difference(
    before: dict[str, int], after: dict[str, int], per: float
) -> dict[str, float]:
    return {
        kind: (after[kind] - before.get(kind, 0)) / per
        for kind in sorted(after)
    }


def _idle(fleet: fleet_module.Fleet, count: int) -> list[bench.Figure]:
    bytes_before, counts_before = _control_bytes(fleet), _counts(fleet)
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    bytes_after, counts_after = _control_bytes(fleet), _counts(fleet)
    elapsed_s = time.monotonic() - started_s
    worst = max(
        (after - before) / elapsed_s
        for before, after in zip(bytes_before, bytes_after)
    )
    figures = [
        bench.Figure(
            f"control, sent and received, {count} nodes",
            worst,
            "bytes/s",
            f"at most {TARGET_BYTES_PER_S:.0f}",
            worst <= TARGET_BYTES_PER_S,
        )
    ]
    rates = _difference(counts_before, counts_after, elapsed_s * count)
    for kind, rate in rates.items():
        name = f"store calls a node, {kind}, {count} nodes"
        figures.append(bench.Figure(name, rate, "calls/s"))
    return figures


def _outage(fleet: fleet_module.Fleet, count: int) -> list[bench.Figure]:
    fleet.faults(outage=True)
    time.sleep(OUTAGE_S)
    before = _counts(fleet)
    fleet.faults(outage=False)
    highest = 0.0
    for _second in range(RETURN_S):
        time.sleep(1.0)
        after = _counts(fleet)
        highest = max(highest, sum(_difference(before, after, 1.0).values()))
        before = after
    name = f"store calls at return, busiest second, {count} nodes"
    return [bench.Figure(name, highest, "calls/s")]


@bench.BENCHES.register("peer-control")
def control() -> list[bench.Figure]:
    """Measure three, six and nine entry VMs in three data centres."""
    figures = []
    for each in (1, 2, 3):
        count = each * len(_DATA_CENTRES)
        with fleet_module.Fleet(
            folder=_FOLDER,
            data_centres=_DATA_CENTRES,
            nodes_per_data_centre=each,
            node_options=_OPTIONS,
        ) as fleet:
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            figures.extend(_idle(fleet, count))
            if each == 3:
                figures.extend(_outage(fleet, count))
    return figures
