"""Order and room by what waiting work is worth yet, under overload."""

from __future__ import annotations

from knapweedwharf.core import decision
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import headroom as headroom_module
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy
from testing.core import short_runs


def _job(job_id: str, submitted_s: float, **fields) -> model.JobSpec:
    fields.setdefault("declared_run_s", 2.0)
    return short_runs.job(job_id, submitted_s, **fields)


def _crowded(*, busy: int, free: int) -> engine_module.Engine:
    """Return an engine of which most workers are busy for long."""
    engine = short_runs.engine(busy + free)
    for number in range(busy):
        job = _job(
            f"long{number}", 0.0, cores_per_task=32_000, declared_run_s=900.0
        )
        short_runs.start(engine, job, 0.0)
    return engine


def _started(decisions) -> list[str]:
    return [taken.job.job_id for taken in short_runs.starts(decisions)]


def _serve_in_turn(jobs: list[model.JobSpec], *, objective_s: float) -> int:
    """Serve a queue on one worker; returns how many are in time."""
    engine = short_runs.engine(1)
    waiting = sorted(jobs, key=lambda job: job.submitted_s)
    running: tuple[float, str] | None = None
    in_time = 0
    by_id = {job.job_id: job for job in jobs}
    for tenth in range(1200):
        now_s = tenth / 10
        decisions = []
        while waiting and waiting[0].submitted_s <= now_s:
            submitted = event.JobSubmitted(waiting.pop(0))
            decisions += engine.handle(submitted, now_s=now_s)
        if running and running[0] <= now_s:
            job_id = running[1]
            attempt_id = engine.records[job_id].attempt_id
            ended = event.TaskEnded(attempt_id, 0, "w0", True, "")
            running = None
            decisions += engine.handle(ended, now_s=now_s)
            took_s = now_s - by_id[job_id].submitted_s
            in_time += took_s <= objective_s
        decisions += engine.handle(event.Tick(), now_s=now_s)
        for job_id in _started(decisions):
            attempt_id = engine.records[job_id].attempt_id
            engine.handle(event.GangStarted(attempt_id), now_s=now_s)
            running = (now_s + 2.0, job_id)
    return in_time


def test_a_burst_does_not_make_all_that_follows_late():
    """A burst of twenty, then a load that one worker just carries.

    In the order of arrival three of all jobs would be in time.
    """
    objective_s = 6.0
    burst = [_job(f"b{n}", 0.0, objective_s=objective_s) for n in range(20)]
    after = [
        _job(f"j{n}", 1.0 + 2.2 * n, objective_s=objective_s)
        for n in range(25)
    ]
    in_time = _serve_in_turn([*burst, *after], objective_s=objective_s)
    assert in_time >= 20


def test_work_that_is_worth_nothing_any_more_is_still_done():
    engine = short_runs.engine(1)
    late = _job("late", 0.0, objective_s=1.0)
    (started,) = _started(engine.handle(event.JobSubmitted(late), now_s=50.0))
    assert started == "late"


def test_the_use_of_first_work_is_provided_for():
    headroom = headroom_module.Headroom()
    for second in range(60):
        headroom.in_use = 16 if second % 4 < 2 else 0
        headroom.sample(float(second), memory_s=10.0)
    headroom.in_use = 0
    assert 6 < headroom.required(0.0) < 10
    assert headroom.required(1.0) > 12
    headroom.in_use = 64
    assert headroom.required(1.0) == 0.0


def _first(job_id: str, submitted_s: float) -> model.JobSpec:
    return _job(job_id, submitted_s, precedence=1, objective_s=3.0)


def test_work_that_can_wait_leaves_room_for_what_goes_first():
    """First work comes every few seconds; other work has time."""
    engine = _crowded(busy=5, free=3)
    now_s = 0.0
    for number in range(10):
        first = _first(f"f{number}", now_s)
        start = short_runs.start(engine, first, now_s)
        for _tenth in range(20):
            now_s += 0.1
            engine.handle(event.Tick(), now_s=now_s)
        worker_id = start.assignments[0].worker_id
        ended = event.TaskEnded(start.attempt_id, 0, worker_id, True, "")
        engine.handle(ended, now_s=now_s)
    patient = [
        _job(f"p{n}", now_s, objective_s=60.0, declared_run_s=9.0)
        for n in range(3)
    ]
    taken = []
    for job in patient:
        taken += engine.handle(event.JobSubmitted(job), now_s=now_s)
    assert len(_started(taken)) == 2
    first = engine.handle(
        event.JobSubmitted(_first("next", now_s + 0.1)), now_s=now_s + 0.1
    )
    assert _started(first) == ["next"]
    assert not any(isinstance(t, decision.StopGang) for t in first)


def test_no_room_is_kept_while_half_of_it_is_free():
    engine = _crowded(busy=1, free=2)
    engine.state.headroom.in_use = 24
    engine.handle(event.Tick(), now_s=20.0)
    engine.state.headroom.in_use = 0
    job = _job("p", 20.0, objective_s=60.0)
    assert _started(engine.handle(event.JobSubmitted(job), now_s=20.0))


def test_no_job_waits_long_for_the_sake_of_first_work():
    """First work used three workers; most of that is still expected."""
    engine = _crowded(busy=2, free=1)
    engine.state.headroom.in_use = 24
    engine.handle(event.Tick(), now_s=0.0)
    engine.state.headroom.in_use = 0
    job = _job("p", 0.1, objective_s=900.0)
    assert not _started(engine.handle(event.JobSubmitted(job), now_s=0.1))
    placed_s = None
    for tenth in range(2, 400):
        if _started(engine.handle(event.Tick(), now_s=tenth / 10)):
            placed_s = tenth / 10
            break
    assert placed_s is not None
    assert abs(placed_s - fleet_policy.HEADROOM_PATIENCE_S) < 0.3


def test_work_that_would_be_late_takes_the_room_that_was_kept():
    engine = _crowded(busy=2, free=1)
    engine.state.headroom.in_use = 8
    engine.handle(event.Tick(), now_s=20.0)
    engine.state.headroom.in_use = 0
    job = _job("p", 20.0, objective_s=10.0)
    taken = engine.handle(event.JobSubmitted(job), now_s=20.0)
    assert _started(taken) == []
    started_s = None
    for tenth in range(200):
        now_s = 20.0 + tenth / 10
        if _started(engine.handle(event.Tick(), now_s=now_s)):
            started_s = now_s
            break
    assert started_s is not None
    assert started_s + 2.0 <= 20.0 + 10.0
