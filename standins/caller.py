"""Simulated callers and operators behind a round-robin load balancer.

All responses are kept, so that they can be checked against what was
executed.
"""

from __future__ import annotations

import dataclasses
import itertools
import typing

from standins import fleet as fleet_module
from standins import loopback

RAN = "ran"
DID_NOT_RUN = "did-not-run"
UNKNOWN = "unknown"
NO_ANSWER = "no-answer"
FINAL_STATES = frozenset({"finished", "cancelled", "rejected", "failed"})


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """The response that a caller received to one request.

    :ivar key: the idempotency key, or the request id of the response.
    :ivar complete: the body is the complete answer to this request.
    """

    key: str
    service: str
    outcome: str
    complete: bool
    status: int


class Callers:
    """Sends requests, jobs and changes and records the responses.

    :ivar responses: every response to a request, in order.
    :ivar accepted_jobs: job id to account, of jobs answered with 202.
    :ivar changes: message of a change to its HTTP status.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._tokens = fleet.workload()["tokens"]
        self._turn = itertools.count()
        self.responses: list[CallerResponse] = []
        self.accepted_jobs: dict[str, str] = {}
        self.changes: dict[str, int] = {}

    def next_node(self) -> fleet_module.NodeProcess:
        """Return the next running entry VM, in round-robin order."""
        running = [node for node in self._fleet.nodes if node.running]
        return running[next(self._turn) % len(running)]

    def send(
        self,
        service: str,
        *,
        account: str,
        body: str,
        key: str = "",
        node: fleet_module.NodeProcess | None = None,
    ) -> CallerResponse:
        """Send a request through a VM and record the response."""
        answer = self._fleet.call(
            node or self.next_node(),
            "POST",
            f"/v1/services/{service}",
            token=self._tokens[account],
            body=body.encode(),
            headers={"Idempotency-Key": key} if key else {},
        )
        response = _parse_response(answer, service=service, body=body, key=key)
        self.responses.append(response)
        return response

    def submit(
        self,
        job_id: str,
        *,
        account: str,
        node: fleet_module.NodeProcess | None = None,
        **fields: typing.Any,
    ) -> loopback.Answer:
        """Submit a job through a VM."""
        answer = self._fleet.call(
            node or self.next_node(),
            "POST",
            "/v1/jobs",
            token=self._tokens[account],
            document={"job_id": job_id, **fields},
        )
        if answer.status == 202:
            self.accepted_jobs[job_id] = account
        return answer

    def cancel(self, job_id: str) -> loopback.Answer:
        """Cancel a job through the next VM."""
        token = self._tokens[self.accepted_jobs[job_id]]
        return self._fleet.call(
            self.next_node(), "DELETE", f"/v1/jobs/{job_id}", token=token
        )

    def job(self, job_id: str) -> dict:
        """Return a job as its account sees it, or an empty dict."""
        token = self._tokens[self.accepted_jobs[job_id]]
        answer = self._fleet.call(
            self.next_node(), "GET", f"/v1/jobs/{job_id}", token=token
        )
        return answer.json() if answer.status == 200 else {}

    def state(self, job_id: str) -> str:
        """Return a job's state, or an empty string."""
        return self.job(job_id).get("state", "")

    def wait_job(self, job_id: str, *states: str) -> dict:
        """Wait until a job is in one of these states."""
        try:
            loopback.until(
                lambda: self.state(job_id) in states,
                what=f"{job_id} to be {' or '.join(states)}",
                timeout_s=2 * loopback.WAIT_TIMEOUT_S,
            )
        except TimeoutError as error:
            raise TimeoutError(
                f"{error}; last seen: {self.job(job_id)}"
            ) from None
        return self.job(job_id)

    def change(
        self,
        message: str,
        *,
        files: dict[str, str],
        base_revision: int,
        node: fleet_module.NodeProcess | None = None,
    ) -> loopback.Answer:
        """Submit a change of the configuration folder through a VM."""
        answer = self._fleet.call(
            node or self.next_node(),
            "POST",
            "/v1/config",
            token=self._fleet.operator_token(),
            document={
                "base_revision": base_revision,
                "changed": files,
                "message": message,
            },
        )
        self.changes[message] = answer.status
        return answer


def _parse_response(
    answer: loopback.Answer, *, service: str, body: str, key: str
) -> CallerResponse:
    outcome = answer.headers.get("knapweedwharf-outcome", NO_ANSWER)
    return CallerResponse(
        key=key or answer.headers.get("knapweedwharf-request-id", ""),
        service=service,
        outcome=outcome,
        complete=outcome == RAN and _echo(answer) == body,
        status=answer.status,
    )


def _echo(answer: loopback.Answer) -> str | None:
    try:
        return answer.json()["echo"]
    except (ValueError, KeyError, TypeError):
        return None
