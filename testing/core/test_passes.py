"""Scheduling passes apart from events, and in slices."""

from __future__ import annotations

import hypothesis
import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import invariant
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy
from testing.core import scenario
from testing.core import short_runs
from testing.core import test_random_events


def _count_searches(
    engine: engine_module.Engine, monkeypatch: pytest.MonkeyPatch
) -> list[str]:
    """Return a list that gets the job of each search for room."""
    searched: list[str] = []
    search = engine.state.search

    def counted(job):
        searched.append(job.job_id)
        return search(job)

    monkeypatch.setattr(engine.state, "search", counted)
    return searched


def _full_engine(waiting: int) -> engine_module.Engine:
    """Return an engine without room, and jobs of so many classes.

    The job ``first`` runs.
    """
    engine = short_runs.engine(workers=1)
    short_runs.start(engine, short_runs.job("first"), now_s=0.0)
    for number in range(waiting):
        job = short_runs.job(
            f"w{number:03}",
            accelerators_per_task=0,
            cores_per_task=32_000,
            memory_mib_per_task=100 + number,
        )
        engine.handle(event.JobSubmitted(job), now_s=0.0)
    return engine


def _slices(
    engine: engine_module.Engine, now_s: float
) -> list[decision.Decision]:
    taken: list[decision.Decision] = []
    while engine.needs_pass:
        taken.extend(engine.schedule(now_s=now_s, tries=1))
    return taken


def test_an_event_alone_tries_no_job(monkeypatch):
    engine = _full_engine(waiting=10)
    searched = _count_searches(engine, monkeypatch)
    for number in range(5):
        engine.apply(event.Tick(), now_s=1.0 + number)
    assert not searched
    assert engine.needs_pass


@pytest.mark.parametrize("waiting", [10, 20, 40])
def test_one_pass_serves_all_events_before_it(waiting, monkeypatch):
    engine = _full_engine(waiting=waiting)
    searched = _count_searches(engine, monkeypatch)
    for number in range(5):
        engine.apply(event.Tick(), now_s=1.0 + number)
    engine.schedule(now_s=6.0)
    assert len(searched) == waiting
    assert not engine.needs_pass


def test_a_slice_tries_no_more_jobs_than_asked_for(monkeypatch):
    engine = _full_engine(waiting=10)
    searched = _count_searches(engine, monkeypatch)
    engine.apply(event.Tick(), now_s=1.0)
    slices = 0
    while engine.needs_pass:
        before = len(searched)
        engine.schedule(now_s=1.0, tries=2)
        assert len(searched) - before <= 2
        slices += 1
    assert len(set(searched)) == len(searched) == 10
    assert slices <= 10


@pytest.mark.parametrize("waiting", [10, 20, 40])
def test_the_queue_is_sorted_once_for_the_slices_of_a_pass(
    waiting, monkeypatch
):
    engine = _full_engine(waiting=waiting)
    engine.apply(event.Tick(), now_s=1.0)
    sorted_for: list[str] = []
    ready_heads = engine.state.waiting.ready_heads

    def counted(left_out):
        sorted_for.append("")
        return ready_heads(left_out)

    monkeypatch.setattr(engine.state.waiting, "ready_heads", counted)
    _slices(engine, 1.0)
    assert len(sorted_for) == 1


def test_every_class_has_its_turn_while_all_are_woken_again(monkeypatch):
    engine = _full_engine(waiting=10)
    searched = _count_searches(engine, monkeypatch)
    for number in range(30):
        engine.apply(event.Tick(), now_s=1.0 + number)
        engine.schedule(now_s=1.0 + number, tries=1)
    assert len(set(searched)) == 10


def test_a_job_submitted_during_a_pass_is_tried_before_later_ones():
    engine = _full_engine(waiting=10)
    engine.apply(event.Tick(), now_s=1.0)
    engine.schedule(now_s=1.0, tries=4)
    small = short_runs.job("small", accelerators_per_task=0, precedence=1)
    engine.apply(event.JobSubmitted(small), now_s=1.0)
    taken = engine.schedule(now_s=1.0, tries=1)
    assert [s.job.job_id for s in short_runs.starts(taken)] == ["small"]


def test_a_job_that_ends_during_a_pass_is_left_out():
    engine = _full_engine(waiting=3)
    engine.apply(event.Tick(), now_s=1.0)
    engine.schedule(now_s=1.0, tries=2)
    for number in range(3):
        engine.apply(event.JobCancelled(f"w{number:03}"), now_s=1.0)
    assert not short_runs.starts(_slices(engine, 1.0))
    assert invariant.violations(engine) == []


class _SlicedSite(scenario.Site):
    """Runs each pass in slices of one try and checks after each."""

    def tell(self, happened: event.Event) -> list[decision.Decision]:
        taken = self.engine.apply(happened, now_s=self.now_s)
        assert invariant.violations(self.engine) == []
        # Some passes are still under way at the next event.
        for _slice in range(3):
            taken = taken + self.engine.schedule(now_s=self.now_s, tries=1)
            assert invariant.violations(self.engine) == []
        assert invariant.wrong_stops(self.engine, taken) == []
        assert invariant.wrong_starts(self.engine, taken) == []
        self.decisions.extend(taken)
        for one in taken:
            if isinstance(one, decision.StartGang):
                self.starts[one.attempt_id] = one
            elif isinstance(one, decision.StopGang):
                self.stops[one.attempt_id] = one
        return taken


@pytest.mark.parametrize("policy", ["guaranteed", "short-runs"])
@hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)
@hypothesis.given(steps=test_random_events.STEPS)
def test_invariants_hold_between_slices(policy: str, steps: list) -> None:
    site = _SlicedSite(policy=policy)
    if policy == "short-runs":
        site.configure(policy=fleet_policy.configuration().policy)
    site.workers(6, accelerators=8, per_rack=3)
    site.guarantee("g1", "valle", accelerators=16, within="rack")
    site.guarantee("g2", "sur", accelerators=8, within="worker", count=2)
    player = test_random_events.Player(site)
    for kind, first, second in steps:
        player.step(kind, first, second)


def test_a_job_that_breaks_a_pass_does_not_keep_others_from_theirs(
    monkeypatch,
):
    engine = _full_engine(waiting=10)
    searched: list[str] = []

    def search(job):
        searched.append(job.job_id)
        if job.job_id == "w003":
            raise RuntimeError("of a test")

    monkeypatch.setattr(engine.state, "search", search)
    engine.apply(event.Tick(), now_s=1.0)
    with pytest.raises(RuntimeError):
        _slices(engine, 1.0)
    assert len(searched) == 4
    for _slice in range(6):
        engine.schedule(now_s=1.0, tries=1)
    assert sorted(searched) == [f"w{number:03}" for number in range(10)]


def test_urgent_work_that_must_start_does_not_await_a_pass(monkeypatch):
    """The pass is slow: it tries one job each time the loop lets it."""
    engine = _full_engine(waiting=0)
    urgent = short_runs.job(
        "urgent",
        submitted_s=10.0,
        urgency=model.URGENT,
        precedence=2,
        start_within_s=2.0,
        declared_run_s=1.0,
    )
    engine.handle(event.JobSubmitted(urgent), now_s=10.0)
    engine.handle(event.Tick(), now_s=11.0)
    assert engine.records["first"].state == "running"
    for number in range(30):
        waiting = short_runs.job(
            f"w{number:03}",
            submitted_s=11.0,
            accelerators_per_task=0,
            cores_per_task=32_000,
            memory_mib_per_task=100 + number,
        )
        engine.apply(event.JobSubmitted(waiting), now_s=11.0)
    searched = _count_searches(engine, monkeypatch)
    now_s = 11.9
    while engine.records["first"].state == "running" and now_s < 14.0:
        engine.schedule(now_s=now_s, tries=1)
        now_s += 0.05
    assert now_s < 12.2
    assert len(searched) < 10


def test_urgent_work_that_cannot_start_leaves_steps_to_others():
    """All workers hold work of the same rank, so no victim is found."""
    engine = short_runs.engine(workers=4)
    urgent = {"urgency": model.URGENT, "precedence": 2, "start_within_s": 2.0}
    for number in range(4):
        held = short_runs.job(f"h{number}", declared_run_s=900.0, **urgent)
        short_runs.start(engine, held, now_s=0.0)
    for number in range(20):
        waiting = short_runs.job(
            f"u{number:02}",
            submitted_s=8.5,
            memory_mib_per_task=200 + number,
            **urgent,
        )
        engine.apply(event.JobSubmitted(waiting), now_s=10.0)
    small = short_runs.job("small", submitted_s=10.0, accelerators_per_task=0)
    engine.apply(event.JobSubmitted(small), now_s=10.0)
    now_s = 10.0
    while engine.records["small"].state == "queued" and now_s < 20.0:
        engine.apply(event.Tick(), now_s=now_s)
        if engine.needs_pass:
            engine.schedule(now_s=now_s, tries=1)
        now_s += 0.1
    assert now_s < 16.0
