"""Property tests: invariants hold for random sequences of events."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from knapweedwharf.core import event
from knapweedwharf.core import model
from testing.core import scenario

ACCOUNTS = ("valle", "sur", "norte")
KINDS = (
    "submit",
    "submit",
    "submit",
    "started",
    "started",
    "stopped",
    "stopped",
    "ended",
    "ended",
    "failed",
    "refused",
    "cancel",
    "lost",
    "gone",
    "sealed",
    "resized",
    "tick",
    "configure",
    "usage",
    "warming",
)
SHAPES = (
    {"accelerators_per_task": 0, "cores_per_task": 8},
    {"accelerators_per_task": 1},
    {"accelerators_per_task": 4, "cores_per_task": 4},
    {"accelerators_per_task": 8, "within": "worker"},
    {"tasks": 2, "accelerators_per_task": 8, "within": "rack"},
    {"tasks": 12, "accelerators_per_task": 1, "within": "rack"},
    {"tasks": 4, "accelerators_per_task": 6},
)
_NOT_ALL_CAPACITY = (
    "lost",
    "gone",
    "resized",
    "failed",
    "refused",
    "configure",
)
"""Kinds after which not all of the capacity can be used."""

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(KINDS),
        strategies.integers(0, 99),
        strategies.integers(0, 99),
    ),
    min_size=20,
    max_size=70,
)


def _guaranteed(accelerators: int) -> scenario.Site:
    site = scenario.Site()
    site.workers(6, accelerators=accelerators, per_rack=3)
    size = 2 * accelerators
    site.guarantee("g1", "valle", accelerators=size, within="rack")
    site.guarantee(
        "g2", "sur", accelerators=accelerators, within="worker", count=2
    )
    return site


class Player:
    """Maps random numbers to events about existing jobs and workers."""

    def __init__(self, site: scenario.Site) -> None:
        self.site = site
        self.specs = [r.spec for r in site.engine.topology.workers.values()]
        self.jobs = 0

    def step(self, kind: str, first: int, second: int) -> None:
        """Pass one event of a kind to the engine."""
        self.site.now_s += second / 10
        getattr(self, f"_{kind}")(first, second)

    def _submit(self, first: int, second: int) -> None:
        self.jobs += 1
        self.site.submit(
            f"j{self.jobs}",
            ACCOUNTS[first % len(ACCOUNTS)],
            urgency=model.URGENCIES[second % 3],
            declared_run_s=10.0 + second,
            **SHAPES[first % len(SHAPES)],
        )

    def _attempt(self, number: int, *states: str):
        found = [
            record
            for record in self.site.engine.records.values()
            if record.state in states
        ]
        return found[number % len(found)] if found else None

    def _started(self, first: int, _second: int) -> None:
        record = self._attempt(first, "starting", "stopping")
        if record is not None:
            self.site.tell(event.GangStarted(record.attempt_id))

    def _stopped(self, first: int, second: int) -> None:
        record = self._attempt(first, "stopping")
        if record is not None:
            stopped = event.GangStopped(record.attempt_id, second % 2 == 0)
            self.site.tell(stopped)
            self.site.tell(stopped)

    def _ended(self, first: int, second: int, *, succeeded=True) -> None:
        record = self._attempt(first, "starting", "running", "stopping")
        if record is not None:
            place = record.assignments[second % len(record.assignments)]
            ended = event.TaskEnded(
                record.attempt_id,
                place.task_index,
                place.worker_id,
                succeeded,
                "",
                lapsed=not succeeded and second % 4 == 0,
            )
            self.site.tell(ended)
            self.site.tell(ended)

    def _failed(self, first: int, second: int) -> None:
        self._ended(first, second, succeeded=False)

    def _refused(self, first: int, second: int) -> None:
        record = self._attempt(first, "starting", "stopping")
        if record is not None:
            worker_id = record.assignments[0].worker_id if second % 3 else ""
            self.site.tell(
                event.GangRefused(record.attempt_id, worker_id, "full")
            )

    def _cancel(self, first: int, _second: int) -> None:
        self.site.tell(event.JobCancelled(f"j{first % (self.jobs + 1)}"))

    def _lost(self, first: int, _second: int) -> None:
        worker_id = self.specs[first % len(self.specs)].worker_id
        self.site.tell(event.WorkerLost(worker_id))

    def _gone(self, first: int, _second: int) -> None:
        worker_id = self.specs[first % len(self.specs)].worker_id
        self.site.tell(event.WorkerGone(worker_id))

    def _sealed(self, first: int, _second: int) -> None:
        self.site.tell(event.WorkerSealed(self.specs[first % 6]))

    def _resized(self, first: int, second: int) -> None:
        spec = self.specs[first % len(self.specs)]
        resized = dataclasses.replace(
            spec,
            accelerators=spec.accelerators * (second % 5) // 4,
            cores=spec.cores * (second % 4) // 3,
        )
        self.site.tell(event.WorkerSealed(resized))

    def _warming(self, first: int, second: int) -> None:
        worker_id = self.specs[first % len(self.specs)].worker_id
        until_s = self.site.now_s + second % 20
        self.site.tell(event.WorkerWarming(worker_id, until_s))

    def _tick(self, _first: int, second: int) -> None:
        self.site.wait(second)

    def _configure(self, first: int, second: int) -> None:
        guarantees = dict(self.site.configuration.guarantees)
        guarantees["g2"] = dataclasses.replace(
            guarantees["g2"], count=first % 3 + 1
        )
        quota = model.AccountSpec("norte", "", quota_accelerators=second)
        self.site.configure(guarantees=guarantees, accounts={"norte": quota})

    def _usage(self, first: int, second: int) -> None:
        record = self._attempt(first, "running")
        if record is not None:
            self.site.tell(
                event.UsageReported(record.attempt_id, 0, second, 512)
            )


@pytest.mark.parametrize("accelerators", [8, 1])
@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    database=None,
)
@hypothesis.given(steps=STEPS)
def test_invariants_hold_after_every_event(
    accelerators: int, steps: list
) -> None:
    player = Player(_guaranteed(accelerators))
    for kind, first, second in steps:
        player.step(kind, first, second)


@hypothesis.settings(
    derandomize=True, max_examples=40, deadline=None, database=None
)
@hypothesis.given(steps=STEPS)
def test_every_guarantee_is_reclaimed_from_any_state(steps: list) -> None:
    site = _guaranteed(8)
    player = Player(site)
    for kind, first, second in steps:
        if kind not in _NOT_ALL_CAPACITY:
            player.step(kind, first, second)
    for job_id, record in list(site.engine.records.items()):
        if record.job.account in ("valle", "sur"):
            site.tell(event.JobCancelled(job_id))
    site.confirm_stops()
    wanted = [
        site.submit(
            f"claim-{number}",
            account,
            tasks=tasks,
            accelerators_per_task=8,
            within="rack",
        )
        for number, (account, tasks) in enumerate(
            [("valle", 2), ("sur", 1), ("sur", 1)]
        )
    ]
    site.confirm_stops()
    assert [r.state for r in wanted] == ["starting"] * 3
    assert all(r.guarantee for r in wanted)
