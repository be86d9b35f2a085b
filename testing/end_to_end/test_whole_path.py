"""A request and a gang job pass end to end through real processes."""

from __future__ import annotations

import pathlib

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")


def test_request_and_gang_reach_their_end() -> None:
    with fleet_module.Fleet(folder=FOLDER, data_centres=["antigua"]) as fleet:
        node = fleet.nodes[0]
        fleet.wait_revision(fleet.apply_folder(node))
        tokens = fleet.workload()["tokens"]
        answer = fleet.call(
            node,
            "POST",
            "/v1/services/booking-check",
            token=tokens["mostrador"],
            body=b"ladder 12",
        )
        assert answer.headers["knapweedwharf-outcome"] == "ran"
        assert answer.json()["echo"] == "ladder 12"
        job = {
            "job_id": "gang",
            "tasks": 2,
            "accelerators_per_task": 8,
            "within": "rack",
            "declared_run_s": 0.2,
        }
        token = tokens["citricos-norte"]
        fleet.call(node, "POST", "/v1/jobs", token=token, document=job)
        fleet_module.until(
            lambda: fleet.call(
                node, "GET", "/v1/jobs/gang", token=token
            ).json()["state"]
            == "finished",
            what="gang to finish",
        )
