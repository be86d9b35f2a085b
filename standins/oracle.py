"""Checks the answers that callers received against what was executed.

Each function returns a list of violations; an empty list is a pass.
"""

from __future__ import annotations

import collections

from standins import caller
from standins import fleet as fleet_module

ACTIVE_STATES = frozenset({"provisional", "running"})


def check_requests(
    responses: list[caller.CallerResponse],
    executions: list[dict],
    *,
    once: str,
) -> list[str]:
    """Check answers against the execution logs.

    :param once: the service whose requests must run at most once.
    """
    runs = collections.Counter(
        entry["request_id"] for entry in executions if entry["service"] == once
    )
    violations = [f"{key} ran {n} times" for key, n in runs.items() if n > 1]
    executed = {entry["request_id"] for entry in executions}
    request_counts = collections.Counter(answer.key for answer in responses)
    for answer in responses:
        if answer.outcome == caller.RAN and not answer.complete:
            violations.append(
                f"{answer.key}: incomplete answer or that of another request"
            )
        if answer.outcome == caller.RAN and answer.key not in executed:
            violations.append(
                f"{answer.key}: reported as run, but was not executed"
            )
        refused = answer.outcome == caller.DID_NOT_RUN
        if (
            refused
            and request_counts[answer.key] == 1
            and answer.key in executed
        ):
            violations.append(
                f"{answer.key}: reported as not run, but was executed"
            )
    return violations


def find_leftover_attempts(fleet: fleet_module.Fleet) -> list[str]:
    """Check that no worker holds or runs an attempt."""
    return [
        f"{worker['worker_id']} still has {attempt_id} {state}"
        for worker in fleet.workers
        for attempt_id, state in _attempts(fleet, worker).items()
    ]


def find_partial_gangs(fleet: fleet_module.Fleet, sizes: dict) -> list[str]:
    """Check that each running attempt runs on all workers of its gang.

    Valid only once no start or stop is in progress.

    :param sizes: attempt id to the number of workers of its gang.
    """
    found: collections.Counter = collections.Counter()
    for worker in fleet.workers:
        for attempt_id, state in _attempts(fleet, worker).items():
            found[attempt_id] += state in ACTIVE_STATES
    return [
        f"{attempt_id} runs on {count} of {sizes.get(attempt_id, 0)} workers"
        for attempt_id, count in found.items()
        if count and count != sizes.get(attempt_id, 0)
    ]


def _attempts(fleet: fleet_module.Fleet, worker: dict) -> dict[str, str]:
    return fleet.worker_state(worker["worker_id"])["attempts"]


def check_worker_histories(fleet: fleet_module.Fleet) -> list[str]:
    """Check that no worker confirmed an attempt before starting it."""
    violations = []
    for worker in fleet.workers:
        worker_id = worker["worker_id"]
        started: set[str] = set()
        for entry in fleet.worker_state(worker_id)["history"]:
            if entry["kind"] == "started":
                started.add(entry["attempt_id"])
            if entry["kind"] == "confirmed":
                if entry["attempt_id"] not in started:
                    violations.append(f"{worker_id}: confirmed before start")
    return violations


def check_audit_trail(
    history: list[dict], changes: dict[str, int]
) -> list[str]:
    """Check the audit trail against the answers to operators.

    :param changes: message of each change to its HTTP status.
    """
    violations = []
    numbers = [entry["revision"] for entry in history]
    if numbers != list(range(1, len(numbers) + 1)):
        violations.append(f"revisions are not consecutive: {numbers}")
    seen = collections.Counter(entry["message"] for entry in history)
    for message, status in changes.items():
        if status == 200 and seen[message] != 1:
            violations.append(
                f"accepted {message!r} occurs {seen[message]} times"
            )
        if status in (400, 403, 409) and seen[message]:
            violations.append(f"refused {message!r} is in the audit trail")
        if seen[message] > 1:
            violations.append(f"{message!r} occurs {seen[message]} times")
    return violations


def find_revision_decreases(seen: list[int]) -> list[str]:
    """Check that the revisions seen on one VM never decrease."""
    return [
        f"revision decreased from {before} to {after}"
        for before, after in zip(seen, seen[1:])
        if after < before
    ]
