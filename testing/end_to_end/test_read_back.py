"""An accepted job can be read back immediately through another VM."""

from __future__ import annotations

import pathlib

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
JOBS = 30


def test_accepted_job_is_found_at_once() -> None:
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], nodes_per_data_centre=2
    ) as fleet:
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        token = fleet.workload()["tokens"]["citricos-norte"]
        for number in range(JOBS):
            job_id = f"job-{number}"
            fleet.call(
                fleet.nodes[0],
                "POST",
                "/v1/jobs",
                token=token,
                document={"job_id": job_id, "declared_run_s": 0.1},
            )
            found = fleet.call(
                fleet.nodes[1], "GET", f"/v1/jobs/{job_id}", token=token
            )
            assert found.status == 200
