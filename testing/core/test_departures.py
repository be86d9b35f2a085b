"""Work that stays on a leaving worker stops once it proves too slow.

The load: gangs on a worker that is emptied at short notice, of which one
runs much longer than declared.
"""

from __future__ import annotations

import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import event
from testing.core import short_runs

NOTICE_S = 7.0


def _stopped_s(run_s: float, **fields) -> float | None:
    """Run a gang that is declared to end in time; return when it stops.

    Two workers run it, and one of them leaves after ``NOTICE_S``.
    """
    engine = short_runs.engine(4)
    job = short_runs.job("g", tasks=2, declared_run_s=5.0, **fields)
    start = short_runs.start(engine, job, 0.0)
    workers = [place.worker_id for place in start.assignments]
    leaving = event.WorkerLeaving(workers[0], NOTICE_S, keeps_lasting=True)
    assert not engine.handle(leaving, now_s=0.0)
    for second in range(1, int(NOTICE_S)):
        taken = []
        for worker_id in workers:
            shares = ((start.attempt_id, second / run_s),)
            seen = event.ProgressSeen(worker_id, shares)
            taken += engine.handle(seen, now_s=float(second))
        taken += engine.handle(event.Tick(), now_s=second + 0.1)
        if any(isinstance(t, decision.StopGang) for t in taken):
            return float(second)
    return None


def test_a_gang_that_will_not_end_in_time_stops_as_soon_as_that_is_known():
    assert _stopped_s(run_s=9.0) <= 3.0


@pytest.mark.parametrize("run_s", [4.0, 6.5])
def test_a_gang_that_will_end_in_time_stays(run_s):
    assert _stopped_s(run_s=run_s) is None


def test_work_without_an_end_stays():
    assert _stopped_s(run_s=60.0, is_lasting=True) is None


def test_a_run_of_unknown_end_stops_before_the_worker_leaves():
    engine = short_runs.engine(2)
    start = short_runs.start(engine, short_runs.job("j"), 0.0)
    worker_id = start.assignments[0].worker_id
    engine.handle(event.WorkerLeaving(worker_id, NOTICE_S), now_s=0.0)
    assert not engine.handle(event.Tick(), now_s=NOTICE_S - 1.5)
    taken = engine.handle(event.Tick(), now_s=NOTICE_S - 0.5)
    assert any(isinstance(t, decision.StopGang) for t in taken)


def test_a_worker_that_stays_after_all_loses_nothing():
    engine = short_runs.engine(2)
    start = short_runs.start(engine, short_runs.job("j"), 0.0)
    worker = engine.topology.workers[start.assignments[0].worker_id].spec
    engine.handle(event.WorkerLeaving(worker.worker_id, NOTICE_S), now_s=0.0)
    engine.handle(event.WorkerSealed(worker), now_s=3.0)
    for second in range(4, 12):
        assert not engine.handle(event.Tick(), now_s=float(second))
