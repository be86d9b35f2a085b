"""A fleet that runs until interrupted, for trying out commands."""

from __future__ import annotations

import pathlib
import signal
import threading

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")


def main() -> None:
    """Start the fleet, print its connection settings and wait."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_arguments: stopped.set())
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], nodes_per_data_centre=2
    ) as fleet:
        token = fleet_module.BOOTSTRAP_TOKEN
        print(f"export KNAPWEEDWHARF_URL={fleet.nodes[0].url}")
        print(f"export KNAPWEEDWHARF_TOKEN={token}", flush=True)
        stopped.wait()


if __name__ == "__main__":
    main()
