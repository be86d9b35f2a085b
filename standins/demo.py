"""Demonstration of requests and jobs on a fleet of real processes.

Two entry VMs in each of two data centres serve the sample requests
and jobs while one entry VM is killed and the store has an outage.
Exits 0 only if every check passed.
"""

from __future__ import annotations

import pathlib
import sys
import time

from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")
DATA_CENTRES = ["antigua", "chimal"]
OUTAGE_S = 3.0
JOB_TIMEOUT_S = 40.0


class Demo:
    """One run of the demonstration; collects failed checks.

    :ivar violations: descriptions of the failed checks.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._workload = fleet.workload()
        self._tokens = self._workload["tokens"]
        self.violations: list[str] = []

    def run(self) -> None:
        """Run all steps in order."""
        started_s = time.monotonic()
        self._apply()
        self._send_requests(self._fleet.nodes[1])
        self._submit_jobs(self._fleet.nodes[1])
        self._kill_first_node()
        self._run_store_outage()
        self._restart_killed()
        self._check_jobs()
        self._check_executions()
        print(f"took {time.monotonic() - started_s:.1f} s")

    def _check(self, passed: bool, description: str) -> None:
        print(f"  {'held  ' if passed else 'BROKEN'}  {description}")
        if not passed:
            self.violations.append(description)

    def _apply(self) -> None:
        print("Operators apply the sample folder.")
        revision = self._fleet.apply_folder(self._fleet.nodes[0])
        self._fleet.wait_revision(revision)
        self._check(True, f"revision {revision} in force on every VM")

    def _send_requests(self, node: fleet_module.NodeProcess) -> None:
        print(f"Callers send requests to {node.node_id}.")
        for request in self._workload["requests"]:
            self._send(node, request, "ran")

    def _send(
        self, node: fleet_module.NodeProcess, request: dict, expected: str
    ) -> None:
        headers = {}
        if "key" in request:
            headers["Idempotency-Key"] = request["key"]
        answer = self._fleet.call(
            node,
            "POST",
            f"/v1/services/{request['service']}",
            token=self._tokens[request["account"]],
            body=request["body"].encode(),
            headers=headers,
        )
        outcome = answer.headers.get("knapweedwharf-outcome", "no answer")
        complete = outcome != "ran" or answer.json()["echo"] == request["body"]
        self._check(
            outcome == expected and complete,
            f"{request['account']}: {request['service']} {outcome}",
        )

    def _submit_jobs(self, node: fleet_module.NodeProcess) -> None:
        print(f"Callers submit jobs to {node.node_id}.")
        for job in self._workload["jobs"]:
            document = dict(job)
            account = document.pop("account")
            refused = document.pop("expect") == "refused"
            answer = self._fleet.call(
                node,
                "POST",
                "/v1/jobs",
                token=self._tokens[account],
                document=document,
            )
            name = f"{account}: {job['job_id']}"
            if refused:
                self._check(answer.status == 422, f"{name} can never run")
                print(f"            {answer.json()['error']['message']}")
                continue
            self._check(answer.status == 202, f"{name} accepted")
            self._wait_placed(job["job_id"])

    def _wait_placed(self, job_id: str) -> None:
        fleet_module.until(
            lambda: self._job(job_id).get("state", "queued") != "queued",
            what=f"{job_id} to leave the queue",
            timeout_s=JOB_TIMEOUT_S,
        )

    def _kill_first_node(self) -> None:
        node = self._fleet.nodes[0]
        print(f"{node.node_id} is killed.")
        self._fleet.kill(node)
        request = self._workload["requests"][0]
        self._send(self._fleet.nodes[1], request, "ran")

    def _run_store_outage(self) -> None:
        print(f"The store has an outage of {OUTAGE_S:.0f} s.")
        self._fleet.faults(outage=True)
        node = self._fleet.nodes[1]
        self._send(node, self._workload["requests"][0], "ran")
        booking = {
            "account": "valle-cafe",
            "service": "booking",
            "key": "booking-during-outage",
            "body": "ladder 13, orchard 8",
        }
        self._send(node, booking, "did-not-run")
        time.sleep(OUTAGE_S)
        self._fleet.faults(outage=False)

    def _restart_killed(self) -> None:
        node = self._fleet.nodes[0]
        print(f"{node.node_id} is started again under the same name.")
        self._fleet.restart(node)
        self._fleet.wait_revision(1)
        self._check(True, "the configuration is in force on it")
        repeated = self._workload["requests"][1]
        self._send(node, repeated, "ran")

    def _check_jobs(self) -> None:
        print("Jobs reach their final states.")
        for job in self._workload["jobs"]:
            if job["expect"] != "refused":
                self._check_job(job["job_id"], job["expect"])

    def _check_job(self, job_id: str, expected: str) -> None:
        wanted = {"preempted": {"queued", "running", "starting"}}
        states = wanted.get(expected, {expected})
        try:
            fleet_module.until(
                lambda: self._job(job_id).get("state") in states,
                what=f"{job_id} to be {expected}",
                timeout_s=JOB_TIMEOUT_S,
            )
        except TimeoutError:
            pass
        found = self._job(job_id)
        codes = [reason["code"] for reason in found.get("reasons", [])]
        held = found.get("state") in states
        if expected == "preempted":
            held = held and "preempted" in codes
        self._check(held, f"{job_id}: {found.get('state')} ({expected})")
        for reason in found.get("reasons", []):
            print(f"            {reason['code']}: {reason['text']}")

    def _job(self, job_id: str) -> dict:
        answer = self._fleet.call(
            self._fleet.nodes[1],
            "GET",
            f"/v1/jobs/{job_id}",
            token=self._fleet.operator_token(),
        )
        return answer.json() if answer.status == 200 else {}

    def _check_executions(self) -> None:
        executed = [e["request_id"] for e in self._fleet.executions()]
        self._check(
            executed.count("booking-0001") == 1, "a booking ran exactly once"
        )
        self._check(
            "booking-during-outage" not in executed,
            "a request reported as not run was not executed",
        )


def main() -> int:
    """Run the demonstration; return 0 if every check passed."""
    with fleet_module.Fleet(
        folder=FOLDER, data_centres=DATA_CENTRES, nodes_per_data_centre=2
    ) as fleet:
        demo = Demo(fleet)
        demo.run()
    if fleet.processes.alive():
        demo.violations.append("no process is left behind")
    print("every promise held" if not demo.violations else "BROKEN PROMISES")
    return 1 if demo.violations else 0


if __name__ == "__main__":
    sys.exit(main())
