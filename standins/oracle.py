"""Compares what callers were told with what the stand-ins did.

Each function returns the broken promises in words; none is the pass.
"""

from __future__ import annotations

import collections

from standins import caller
from standins import fleet as fleet_module

ACTIVE_STATES = frozenset({"provisional", "running"})


def requests(
    told: list[caller.Told], executions: list[dict], *, once: str
) -> list[str]:
    """Check answers against the execution logs.

    :param once: the service whose requests run at most once.
    """
    runs = collections.Counter(
        entry["request_id"] for entry in executions if entry["service"] == once
    )
    broken = [f"{key} ran {n} times" for key, n in runs.items() if n > 1]
    executed = {entry["request_id"] for entry in executions}
    asked = collections.Counter(answer.key for answer in told)
    for answer in told:
        if answer.outcome == caller.RAN and not answer.whole:
            broken.append(f"{answer.key}: not its own whole answer")
        if answer.outcome == caller.RAN and answer.key not in executed:
            broken.append(f"{answer.key}: said to have run, did not")
        refused = answer.outcome == caller.DID_NOT_RUN
        if refused and asked[answer.key] == 1 and answer.key in executed:
            broken.append(f"{answer.key}: said not to have run, ran")
    return broken


def nothing_left(fleet: fleet_module.Fleet) -> list[str]:
    """Check that no worker holds or runs anything."""
    return [
        f"{worker['worker_id']} still has {attempt_id} {state}"
        for worker in fleet.workers
        for attempt_id, state in _attempts(fleet, worker).items()
    ]


def whole_gangs(fleet: fleet_module.Fleet, sizes: dict) -> list[str]:
    """Check that what runs at rest runs on every worker of its gang.

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


def histories(fleet: fleet_module.Fleet) -> list[str]:
    """Check that no worker confirmed what it had not started."""
    broken = []
    for worker in fleet.workers:
        worker_id = worker["worker_id"]
        started: set[str] = set()
        for entry in fleet.worker_state(worker_id)["history"]:
            if entry["kind"] == "started":
                started.add(entry["attempt_id"])
            if entry["kind"] == "confirmed":
                if entry["attempt_id"] not in started:
                    broken.append(f"{worker_id}: confirmed before start")
    return broken


def audit(history: list[dict], changes: dict[str, int]) -> list[str]:
    """Check the audit trail against what operators were told.

    :param changes: message of each change to its HTTP status.
    """
    broken = []
    numbers = [entry["revision"] for entry in history]
    if numbers != list(range(1, len(numbers) + 1)):
        broken.append(f"revisions are not in turn: {numbers}")
    seen = collections.Counter(entry["message"] for entry in history)
    for message, status in changes.items():
        if status == 200 and seen[message] != 1:
            broken.append(f"accepted {message!r} is there {seen[message]}x")
        if status in (400, 403, 409) and seen[message]:
            broken.append(f"refused {message!r} is in the trail")
        if seen[message] > 1:
            broken.append(f"{message!r} is there {seen[message]} times")
    return broken


def never_falls(seen: list[int]) -> list[str]:
    """Check that the revisions seen on one VM only grow."""
    return [
        f"revision fell from {before} to {after}"
        for before, after in zip(seen, seen[1:])
        if after < before
    ]
