"""State of a simulated worker: epochs, leases, attempts, outcomes.

It uses no sockets and takes its clock as a parameter, so that tests can
drive it in their own process.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc
import dataclasses
import json
import time

DEFAULT_RUN_S = 1.0
MAX_EVENTS = 1_024
USAGE_LAG_S = 5.0
MAX_ENDED = 256
MAX_STOPPED = 1_024


class Fenced(Exception):
    """The order's epoch is older than the newest one seen."""


@dataclasses.dataclass
class Attempt:
    """The tasks of an attempt on this worker."""

    attempt_id: str
    state: str
    tasks: list[dict]
    descriptor: str
    number: int
    expires_at_s: float
    ends_at_s: float = 0.0
    throttled: bool = False
    reported_at_s: float = 0.0
    outcomes: list[dict] = dataclasses.field(default_factory=list)

    def to_document(self) -> dict:
        """Return the attempt in the form that a seal reports."""
        return {
            "attempt_id": self.attempt_id,
            "state": self.state,
            "tasks": self.tasks,
            "descriptor": self.descriptor,
            "outcomes": self.outcomes,
        }


@dataclasses.dataclass
class Faults:
    """Fault switches of one worker.

    :ivar lose_answers: number of next answers to orders that are not
        sent.
    :ivar excess: factor by which tasks exceed their declared cores
        until they are throttled; 0 switches it off.
    """

    frozen: bool = False
    fail_all: bool = False
    ignore_stop: bool = False
    ignore_checkpoint: bool = False
    refuse_hold: bool = False
    refuse_start: bool = False
    refuse_confirm: bool = False
    lose_answers: int = 0
    excess: float = 0.0
    ignore_throttle: bool = False


class Worker:
    """State of one worker.

    :param clock: monotonic time in seconds.
    :ivar stopped: numbers of stopped attempts by id, oldest first.
    :ivar newest_evicted_number: highest number evicted from ``stopped``;
        holds of attempts up to it are refused.
    :ivar history: log of all state changes, for assertions.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        rack: str,
        data_centre: str,
        accelerators: int,
        cores: int,
        memory_mib: int,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.data_centre = data_centre
        self.accelerators = accelerators
        self.cores = cores
        self.memory_mib = memory_mib
        self.clock = clock
        self.epoch = 0
        self.faults = Faults()
        self.attempts: dict[str, Attempt] = {}
        self.stopped: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.newest_evicted_number = 0
        self.events: list[dict] = []
        self.sequence = 0
        self.history: list[dict] = []
        self.changed = asyncio.Event()

    # Calls of the scheduler

    def adopt_epoch(self, epoch: int) -> None:
        """Adopt an epoch; raise ``Fenced`` if it is older than the last."""
        if epoch < self.epoch:
            raise Fenced()
        if epoch > self.epoch:
            # Holds of older epochs are refused by the epoch check from
            # now on, so their stopped attempts need not be kept.
            self.stopped.clear()
            self.newest_evicted_number = 0
            self.changed.set()
        self.epoch = epoch

    def seal(self, epoch: int) -> dict:
        """Adopt an epoch and report the worker's state."""
        self.adopt_epoch(epoch)
        self.advance()
        return {
            "worker_id": self.worker_id,
            "rack": self.rack,
            "data_centre": self.data_centre,
            "accelerators": self.accelerators,
            "cores": self.cores,
            "memory_mib": self.memory_mib,
            "sequence": self.sequence,
            "clock_s": self.clock(),
            "attempts": [a.to_document() for a in self.attempts.values()],
        }

    def send(self, epoch: int, orders: list[dict]) -> dict:
        """Execute orders and return the result of each."""
        self.adopt_epoch(epoch)
        self.advance()
        results = []
        for order in orders:
            accepted, reason = getattr(self, "_" + order["kind"])(order)
            results.append(
                {
                    "attempt_id": order["attempt_id"],
                    "accepted": accepted,
                    "reason": reason,
                }
            )
        return {"results": results}

    def renew_leases(self, epoch: int, asked: dict) -> None:
        """Extend leases of running attempts; release ended ones."""
        self.adopt_epoch(epoch)
        self.advance()
        expires_at_s = asked["as_of_s"] + asked["lease_s"]
        for attempt in list(self.attempts.values()):
            if attempt.attempt_id in asked["release"]:
                if attempt.state == "ended":
                    del self.attempts[attempt.attempt_id]
            elif attempt.state == "running":
                attempt.expires_at_s = max(attempt.expires_at_s, expires_at_s)

    def events_after(self, epoch: int, after_sequence: int) -> dict:
        """Return the events after a sequence number."""
        self.adopt_epoch(epoch)
        events = [e for e in self.events if e["sequence"] > after_sequence]
        return {
            "events": events,
            "sequence": self.sequence,
            "clock_s": self.clock(),
        }

    def advance(self) -> None:
        """End finished tasks and attempts whose lease has expired."""
        if self.faults.frozen:
            return
        now_s = self.clock()
        for attempt in list(self.attempts.values()):
            if attempt.state == "ended":
                continue
            if attempt.expires_at_s < now_s:
                self._end(attempt, "lapsed")
            elif attempt.state == "running" and self.faults.fail_all:
                self._end(attempt, "failed")
            elif attempt.state == "running" and attempt.ends_at_s < now_s:
                self._end(attempt, "ended")
            elif attempt.state == "running" and self.faults.excess:
                self._report_usage(attempt, now_s)

    # Orders

    def _hold(self, order: dict) -> tuple[bool, str]:
        attempt_id = order["attempt_id"]
        number = order.get("number", 0)
        if attempt_id in self.stopped:
            return False, "already stopped"
        if attempt_id in self.attempts:
            return True, ""
        if number and number <= self.newest_evicted_number:
            return False, "older than attempts that are no longer tracked"
        if self.faults.refuse_hold:
            return False, "refused"
        if not self._has_room(order["tasks"]):
            return False, "no room"
        self.attempts[attempt_id] = Attempt(
            attempt_id=attempt_id,
            state="held",
            tasks=order["tasks"],
            descriptor=order["descriptor"],
            number=number,
            expires_at_s=self.clock() + order["lease_s"],
        )
        self.record_history("held", attempt_id)
        return True, ""

    def _has_room(self, tasks: list[dict]) -> bool:
        live = [a for a in self.attempts.values() if a.state != "ended"]
        held = [task for attempt in live for task in attempt.tasks]
        used = {index for task in held for index in task["accelerators"]}
        wanted = [i for task in tasks for i in task["accelerators"]]
        cores = sum(task["cores"] for task in [*held, *tasks])
        memory_mib = sum(task["memory_mib"] for task in [*held, *tasks])
        return (
            len(set(wanted)) == len(wanted)
            and not used.intersection(wanted)
            and all(index < self.accelerators for index in wanted)
            and cores <= self.cores
            and memory_mib <= self.memory_mib
        )

    def _start(self, order: dict) -> tuple[bool, str]:
        attempt = self.attempts.get(order["attempt_id"])
        if attempt is None or self.faults.refuse_start:
            return False, "not held"
        if attempt.state == "held":
            attempt.state = "provisional"
            attempt.expires_at_s = self.clock() + order["lease_s"]
            attempt.ends_at_s = self.clock() + run_s(attempt)
            self.record_history("started", attempt.attempt_id)
        return True, ""

    def _confirm(self, order: dict) -> tuple[bool, str]:
        attempt = self.attempts.get(order["attempt_id"])
        started = ("provisional", "running")
        if attempt is None or attempt.state not in started:
            return False, "not started"
        if self.faults.refuse_confirm:
            return False, "refused"
        attempt.state = "running"
        attempt.expires_at_s = self.clock() + order["lease_s"]
        self.record_history("confirmed", attempt.attempt_id)
        return True, ""

    def _checkpoint(self, order: dict) -> tuple[bool, str]:
        if self.faults.ignore_checkpoint:
            return False, "ignored"
        self.record_history("checkpointed", order["attempt_id"])
        return True, ""

    def _throttle(self, order: dict) -> tuple[bool, str]:
        self.record_history("throttled", order["attempt_id"])
        attempt = self.attempts.get(order["attempt_id"])
        if attempt is not None and not self.faults.ignore_throttle:
            attempt.throttled = True
        return True, ""

    def _report_usage(self, attempt: Attempt, now_s: float) -> None:
        if attempt.throttled or now_s < attempt.reported_at_s + USAGE_LAG_S:
            return
        attempt.reported_at_s = now_s
        for task in attempt.tasks:
            self._append_event("usage", attempt.attempt_id, task["task_index"])
            self.events[-1]["cores"] = task["cores"] * self.faults.excess
            self.events[-1]["memory_mib"] = task["memory_mib"]

    def _stop(self, order: dict) -> tuple[bool, str]:
        if self.faults.ignore_stop:
            return False, "ignored"
        attempt_id = order["attempt_id"]
        attempt = self.attempts.pop(attempt_id, None)
        number = attempt.number if attempt else order.get("number", 0)
        self._remember_stopped(attempt_id, number)
        if attempt is not None and attempt.state != "ended":
            self.record_history("stopped", attempt_id)
        return True, ""

    def _remember_stopped(self, attempt_id: str, number: int) -> None:
        self.stopped[attempt_id] = number
        while len(self.stopped) > MAX_STOPPED:
            _oldest, forgotten = self.stopped.popitem(last=False)
            self.newest_evicted_number = max(
                self.newest_evicted_number, forgotten
            )

    # Outcomes

    def _end(self, attempt: Attempt, kind: str) -> None:
        self._remember_stopped(attempt.attempt_id, attempt.number)
        self.record_history(kind, attempt.attempt_id)
        if attempt.state == "held":
            del self.attempts[attempt.attempt_id]
            return
        attempt.state = "ended"
        for task in attempt.tasks:
            index = task["task_index"]
            attempt.outcomes.append({"task_index": index, "kind": kind})
            self._append_event(kind, attempt.attempt_id, index)
        ended = [a for a in self.attempts.values() if a.state == "ended"]
        for oldest in ended[:-MAX_ENDED]:
            del self.attempts[oldest.attempt_id]

    def _append_event(self, kind: str, attempt_id: str, index: int) -> None:
        self.sequence += 1
        self.events.append(
            {
                "sequence": self.sequence,
                "kind": kind,
                "attempt_id": attempt_id,
                "task_index": index,
                "detail": "",
            }
        )
        del self.events[:-MAX_EVENTS]
        self.changed.set()

    def record_history(self, kind: str, attempt_id: str) -> None:
        """Append to the history that tests check."""
        self.history.append(
            {"at_s": time.time(), "kind": kind, "attempt_id": attempt_id}
        )


def run_s(attempt: Attempt) -> float:
    """Return the simulated run time of an attempt, in seconds."""
    if not attempt.descriptor:
        return DEFAULT_RUN_S
    job = json.loads(attempt.descriptor)["job"]
    return float(job["declared_run_s"])
