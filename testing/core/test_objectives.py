"""Queue order and headroom by objectives, under overload."""

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
    """Return an engine with ``busy`` workers occupied by long runs."""
    engine = short_runs.engine(busy + free)
    for number in range(busy):
        job = _job(
            f"long{number}", 0.0, cores_per_task=32_000, declared_run_s=900.0
        )
        short_runs.start(engine, job, 0.0)
    return engine


def _started(decisions) -> list[str]:
    return [taken.job.job_id for taken in short_runs.starts(decisions)]


def _count_in_time(jobs: list[model.JobSpec], *, objective_s: float) -> int:
    """Run jobs on one worker; return how many meet the objective."""
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
    """A burst of 20 jobs, then a load that one worker can just sustain.

    In order of arrival only three of all jobs would be in time.
    """
    objective_s = 6.0
    burst = [_job(f"b{n}", 0.0, objective_s=objective_s) for n in range(20)]
    after = [
        _job(f"j{n}", 1.0 + 2.2 * n, objective_s=objective_s)
        for n in range(25)
    ]
    in_time = _count_in_time([*burst, *after], objective_s=objective_s)
    assert in_time >= 20


def test_work_without_value_left_still_runs():
    engine = short_runs.engine(1)
    late = _job("late", 0.0, objective_s=1.0)
    (started,) = _started(engine.handle(event.JobSubmitted(late), now_s=50.0))
    assert started == "late"


def test_headroom_covers_the_use_of_work_with_precedence():
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


def test_work_that_can_wait_leaves_the_headroom_free():
    """Work with precedence arrives every few seconds; other work can wait."""
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


def test_no_headroom_is_kept_while_half_the_capacity_is_free():
    engine = _crowded(busy=1, free=2)
    engine.state.headroom.in_use = 24
    engine.handle(event.Tick(), now_s=20.0)
    engine.state.headroom.in_use = 0
    job = _job("p", 20.0, objective_s=60.0)
    assert _started(engine.handle(event.JobSubmitted(job), now_s=20.0))


def test_a_new_engine_keeps_the_headroom_that_was_used_before():
    """Its first tick, with nothing of precedence at work, changes little."""
    engine = _crowded(busy=2, free=1)
    recalled = event.DemandRecalled(mean=24.0, mean_square=24.0**2)
    engine.handle(recalled, now_s=20.0)
    engine.handle(event.Tick(), now_s=20.2)
    job = _job("p", 20.2, objective_s=60.0, declared_run_s=9.0)
    assert not _started(engine.handle(event.JobSubmitted(job), now_s=20.2))
    first = engine.handle(event.JobSubmitted(_first("next", 20.3)), now_s=20.3)
    assert _started(first) == ["next"]


def test_no_job_waits_for_headroom_beyond_the_limit():
    """Work with precedence used three workers, and is expected back."""
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


def test_work_that_would_be_late_uses_the_headroom():
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
