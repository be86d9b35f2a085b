"""Reported progress: the predicted end of a run and stalled runs."""

from __future__ import annotations

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import progress as progress_module
from knapweedwharf.core import record as record_module
from testing.core import short_runs


def test_the_end_is_predicted_from_the_rate_of_progress():
    progress = progress_module.Progress()
    progress.record("a", 0.1, 1.0)
    progress.record("a", 0.2, 2.0)
    assert round(progress.remaining_s("a", 2.0), 3) == 8.0
    assert round(progress.remaining_s("a", 4.0), 3) == 6.0


def test_the_prediction_follows_a_change_of_rate():
    progress = progress_module.Progress()
    for second in range(5):
        progress.record("a", 0.1 * second, float(second))
    for second in range(5, 12):
        progress.record("a", 0.4 + 0.02 * (second - 4), float(second))
    assert progress.remaining_s("a", 11.0) > 20.0


def test_no_end_is_predicted_for_a_stalled_run():
    progress = progress_module.Progress()
    for second in range(6):
        progress.record("a", 0.5, float(second))
    assert progress.remaining_s("a", 5.0) is None
    assert progress.stalled_s("a") == 5.0


def test_a_reservation_follows_progress_and_not_the_estimate():
    """Both workers are full; the run with the longer estimate ends first."""
    engine = short_runs.engine(2)
    slow = short_runs.start(
        engine, short_runs.job("slow", declared_run_s=2.0), 0.0
    )
    fast = short_runs.start(
        engine, short_runs.job("fast", declared_run_s=60.0), 0.0
    )
    waiting = short_runs.job("gang")
    engine.handle(event.JobSubmitted(waiting), now_s=0.1)
    for second in range(1, 4):
        for start, pace in ((slow, 0.05), (fast, 0.25)):
            place = start.assignments[0].worker_id
            seen = event.ProgressSeen(
                place, ((start.attempt_id, pace * second),)
            )
            engine.handle(seen, now_s=float(second))
        engine.handle(event.Tick(), now_s=second + 0.1)
    kept = engine.state.reservations.by_job["gang"]
    assert list(kept.tasks) == [fast.assignments[0].worker_id]


def test_a_worker_with_stalled_work_gets_no_new_work():
    engine = short_runs.engine(2)
    start = short_runs.start(
        engine, short_runs.job("j", accelerators_per_task=1), 0.0
    )
    stalled = start.assignments[0].worker_id
    for second in range(1, 4):
        seen = event.ProgressSeen(stalled, ((start.attempt_id, 0.5),))
        engine.handle(seen, now_s=float(second) * 1.01)
    other = short_runs.start(
        engine, short_runs.job("k", accelerators_per_task=1), 3.1
    )
    assert other.assignments[0].worker_id != stalled


def test_stalled_work_restarts_once_it_waited_for_what_a_stop_loses():
    engine = short_runs.engine(2)
    start = short_runs.start(
        engine, short_runs.job("j", saves_progress=False), 0.0
    )
    stalled = start.assignments[0].worker_id
    stopped_s = None
    for tenth in range(1, 100):
        now_s = tenth / 10
        share = min(now_s, 3.0) / 10
        seen = event.ProgressSeen(stalled, ((start.attempt_id, share),))
        taken = engine.handle(seen, now_s=now_s)
        if any(isinstance(t, decision.StopGang) for t in taken):
            stopped_s = now_s
            break
    restart_s = engine.configuration.policy.restart_s
    assert stopped_s is not None
    assert abs(stopped_s - (3.0 + 3.0 + restart_s)) < 0.3


def test_work_without_an_end_never_counts_as_stalled():
    engine = short_runs.engine(1)
    start = short_runs.start(engine, short_runs.job("j", is_lasting=True), 0.0)
    for second in range(1, 30):
        seen = event.ProgressSeen("w0", ((start.attempt_id, 1.0),))
        assert not engine.handle(seen, now_s=float(second))


def test_work_that_ends_in_time_stays_on_a_leaving_worker():
    engine = short_runs.engine(2)
    starts = [
        short_runs.start(
            engine, short_runs.job(name, accelerators_per_task=4), 0.0
        )
        for name in ("ends", "stays")
    ]
    assert len({s.assignments[0].worker_id for s in starts}) == 1
    worker = starts[0].assignments[0].worker_id
    for second in (1, 2):
        shares = (
            (starts[0].attempt_id, 0.3 * second),
            (starts[1].attempt_id, 0.02 * second),
        )
        seen = event.ProgressSeen(worker, shares)
        engine.handle(seen, now_s=float(second))
    leaving = event.WorkerLeaving(worker, remaining_s=2.0)
    engine.handle(leaving, now_s=2.1)
    assert engine.records["ends"].state == record_module.RUNNING
    assert engine.records["stays"].state == record_module.STOPPING


def _report_each_second(
    engine, start: decision.StartGang, share_at, seconds: int
) -> tuple[list[float], set[str]]:
    """Report a run's progress; return the stops' times and exclusions."""
    worker = start.assignments[0].worker_id
    stopped_s: list[float] = []
    excluded: set[str] = set()
    for second in range(1, seconds):
        share = int(100 * share_at(second)) / 100
        seen = event.ProgressSeen(worker, ((start.attempt_id, share),))
        taken = engine.handle(seen, now_s=float(second))
        if any(isinstance(t, decision.StopGang) for t in taken):
            stopped_s.append(float(second))
        excluded |= engine.state.topology.workers[worker].exclusions
    return stopped_s, excluded


def test_a_run_that_takes_seconds_for_a_percent_is_not_stalled():
    """Reports are whole percents; a slow run's stay equal for a while."""
    engine = short_runs.engine(2)
    job = short_runs.job("j", declared_run_s=150.0)
    start = short_runs.start(engine, job, 0.0)

    def share_at(second: int) -> float:
        return second / 165

    # The first percents come before their rate is known.
    stopped_s, _excluded = _report_each_second(engine, start, share_at, 160)
    assert not stopped_s
    assert engine.records["j"].state == record_module.RUNNING


def test_a_slow_run_that_hangs_is_still_stopped():
    engine = short_runs.engine(2)
    job = short_runs.job("j", declared_run_s=150.0, saves_progress=True)
    start = short_runs.start(engine, job, 0.0)

    def share_at(second: int) -> float:
        return min(second, 40) / 165

    stopped_s, excluded = _report_each_second(engine, start, share_at, 120)
    assert stopped_s
    assert "still" in excluded


def test_reports_that_pause_do_not_hide_a_run_that_hangs():
    """A pause makes the run look slow; that prolongs the wait by a bound."""
    engine = short_runs.engine(2)
    start = short_runs.start(engine, short_runs.job("j"), 0.0)
    worker = start.assignments[0].worker_id
    excluded: set[str] = set()
    for second, share in (
        (1, 0.1),
        (31, 0.11),
        *((n, 0.11) for n in range(32, 40)),
    ):
        seen = event.ProgressSeen(worker, ((start.attempt_id, share),))
        engine.handle(seen, now_s=float(second))
        excluded |= engine.state.topology.workers[worker].exclusions
    assert "still" in excluded


def test_the_rate_of_a_run_is_sampled_once():
    progress = progress_module.Progress()
    for second in range(5):
        progress.record("a", 0.1 * second, float(second))
        rate = progress.sample("a")
        assert (rate is not None) == (second == 2)


def test_a_hanging_run_has_no_rate():
    progress = progress_module.Progress()
    for second, share in enumerate((0.0, 0.1, 0.1, 0.1)):
        progress.record("a", share, float(second))
        assert progress.sample("a") is None


def test_a_run_that_ends_early_is_sampled_at_its_end():
    progress = progress_module.Progress()
    progress.record("a", 0.5, 1.0)
    assert progress.sample_end("a", 2.0) == 0.5
    assert progress.sample_end("a", 2.0) is None
