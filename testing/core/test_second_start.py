"""A gang that lost a member starts again as soon as it queues again.

The load: a gang of the first priority on a pool in use, of which one
worker is lost. Its objective has passed when the loss is certain.
"""

from __future__ import annotations

import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import model
from testing.core import short_runs

LOST_AFTER_S = 6.4
"""How long a worker may be silent until its lease has surely ended."""


def _gang(**fields) -> model.JobSpec:
    return short_runs.job(
        "gang",
        0.0,
        tasks=2,
        declared_run_s=2.0,
        objective_s=3.3,
        slowdown=1.5,
        **fields,
    )


GUARANTEED = {
    "urgency": model.URGENT,
    "precedence": 2,
    "start_within_s": 1.0,
}
BORROWING = {"precedence": 1}


def _tell(engine, happened: event.Event, now_s: float) -> None:
    """Pass an event to the engine; each stop that it asks for takes place."""
    for taken in engine.handle(happened, now_s=now_s):
        if isinstance(taken, decision.StopGang):
            stopped = event.GangStopped(taken.attempt_id, False)
            _tell(engine, stopped, now_s)


def _lose_a_member(engine, gang: model.JobSpec) -> None:
    started = short_runs.start(engine, gang, 0.0)
    gone = event.WorkerGone(started.assignments[0].worker_id)
    _tell(engine, gone, LOST_AFTER_S)


@pytest.mark.parametrize("fields", [GUARANTEED, BORROWING])
def test_it_starts_at_once_where_there_is_room(fields):
    engine = short_runs.engine(4)
    _lose_a_member(engine, _gang(**fields))
    assert engine.records["gang"].attempts == 2
    assert engine.records["gang"].queued_s == LOST_AFTER_S


@pytest.mark.parametrize("fields", [GUARANTEED, BORROWING])
def test_it_goes_before_work_that_can_wait(fields):
    """The pool is full of guaranteed work, of which some ends."""
    engine = short_runs.engine(3)
    other = short_runs.job("other", 0.0, precedence=2, declared_run_s=60.0)
    holder = short_runs.start(engine, other, 0.0)
    batch = short_runs.job(
        "batch", 9.0, tasks=2, objective_s=30.0, slowdown=3.0
    )
    gang = _gang(**fields)
    started = short_runs.start(engine, gang, 0.0)
    _tell(engine, event.JobSubmitted(batch), 9.0)
    gone = event.WorkerGone(started.assignments[0].worker_id)
    _tell(engine, gone, LOST_AFTER_S)
    assert engine.records["gang"].attempts == 1
    place = holder.assignments[0]
    ended = event.TaskEnded(holder.attempt_id, 0, place.worker_id, True, "")
    _tell(engine, ended, LOST_AFTER_S + 1.0)
    assert engine.records["gang"].attempts == 2
    assert engine.records["batch"].attempts == 0


def test_a_guaranteed_one_displaces_what_fills_the_pool():
    engine = short_runs.engine(3)
    other = short_runs.job("other", 0.0, declared_run_s=60.0)
    short_runs.start(engine, other, 0.0)
    _lose_a_member(engine, _gang(**GUARANTEED))
    assert engine.records["gang"].attempts == 2
    assert engine.records["other"].preemptions == 1
