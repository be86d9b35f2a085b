"""Jobs over HTTP on running nodes: idempotence, waiting, listing."""

from __future__ import annotations

from collections import abc
import os
import pathlib
import subprocess
import sys

import pytest

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
ACCOUNT = "citricos-norte"
OTHER_ACCOUNT = "mostrador"


class Site:
    """HTTP calls to a fleet of two VMs, with the accounts' tokens."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.tokens = fleet.workload()["tokens"]

    def call(self, method: str, path: str, *, number: int = 0, **options):
        """Call one VM; ``account`` defaults to ``ACCOUNT``."""
        account = options.pop("account", ACCOUNT)
        return self.fleet.call(
            self.fleet.nodes[number],
            method,
            path,
            token=self.tokens[account],
            **options,
        )

    def submit(self, **job):
        """Submit a job of 0.3 s to antigua unless ``job`` differs."""
        document = {"declared_run_s": 0.3, "data_centre": "antigua", **job}
        return self.call("POST", "/v1/jobs", document=document)

    def wait(self, job_id: str, state: str) -> dict:
        """Wait until a job is in a state; return the job."""
        path = f"/v1/jobs/{job_id}"
        return fleet_module.until(
            lambda: (
                job := self.call("GET", path).json(),
                job.get("state") == state,
            )[1]
            and job,
            what=f"{job_id} to be {state}",
        )


@pytest.fixture(scope="module")
def site() -> abc.Iterator[Site]:
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=["antigua"], nodes_per_data_centre=2
    ) as fleet:
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        yield Site(fleet)


def test_submission_is_idempotent_by_job_id(site: Site) -> None:
    first = site.submit(job_id="same", tasks=2)
    again = site.submit(job_id="same", tasks=2)
    assert (first.status, again.status) == (202, 202)
    assert first.json() == again.json()
    site.wait("same", "finished")
    assert site.submit(job_id="same", tasks=2).status == 202
    assert site.call("GET", "/v1/jobs/same").json()["attempts"] == 1


def test_other_job_of_the_same_id_is_refused(site: Site) -> None:
    site.submit(job_id="taken", tasks=1)
    refused = site.submit(job_id="taken", tasks=2)
    assert refused.status == 409
    assert refused.json()["error"]["code"] == "conflict"
    site.wait("taken", "finished")
    assert site.submit(job_id="taken", tasks=2).status == 409


def test_wait_returns_when_the_state_changes(site: Site) -> None:
    site.submit(job_id="awaited", declared_run_s=1.0)
    site.wait("awaited", "running")
    path = "/v1/jobs/awaited?wait_s=14&state=running"
    assert site.call("GET", path, number=1).json()["state"] == "finished"


def test_list_comes_in_parts_and_shows_own_jobs(site: Site) -> None:
    for number in range(3):
        site.submit(job_id=f"part-{number}")
        site.wait(f"part-{number}", "finished")
    path = "/v1/jobs?limit=2&state=finished&after=part"
    listed = site.call("GET", path, number=1).json()
    ids = [item["job"]["job_id"] for item in listed["jobs"]]
    assert ids == ["part-0", "part-1"]
    assert listed["next_after"] == "part-1"
    assert (
        site.call("GET", "/v1/jobs", account=OTHER_ACCOUNT).json()["jobs"]
        == []
    )
    shown = site.call("GET", "/v1/jobs/part-0", account=OTHER_ACCOUNT)
    assert shown.status == 404


@pytest.mark.parametrize("query", ["limit=0", "state=gone", "colour=red"])
def test_wrong_query_is_refused_with_its_field(site: Site, query: str) -> None:
    refused = site.call("GET", f"/v1/jobs?{query}")
    assert refused.status == 400
    assert refused.json()["error"]["field"] == query.split("=")[0]


def test_watch_prints_each_state_and_ends(site: Site) -> None:
    site.submit(job_id="watched")
    ended = subprocess.run(
        [
            sys.executable,
            "-m",
            "knapweedwharf",
            "job",
            "watch",
            "watched",
            f"--url={site.fleet.nodes[1].url}",
            f"--token={site.tokens[ACCOUNT]}",
        ],
        env={**os.environ, "PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
    assert "watched: finished" in ended.stdout


def test_without_the_store_no_job_is_said_to_be_absent(site: Site) -> None:
    site.fleet.faults(outage=True)
    try:
        asked = site.call("GET", "/v1/jobs/never-seen")
    finally:
        site.fleet.faults(outage=False)
    assert asked.status == 503


def test_a_data_centre_that_is_not_heard_is_not_chosen(site: Site) -> None:
    # The account has its guarantee in another data centre, without VMs.
    answer = site.call(
        "POST",
        "/v1/jobs",
        account="aguacates-sur",
        document={"job_id": "unplaced", "declared_run_s": 0.1},
    )
    assert answer.json()["data_centre"] == "antigua"
