"""What delays starts is measured."""

from __future__ import annotations

import types

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import start_delay as start_delay_module
from testing.fleet import scene as scene_module

LINK_BPS = 2e6


def _estimate_s(
    *, specification: str = "", tasks: int = 1, stops_s: tuple = ()
) -> float:
    delay = start_delay_module.StartDelay(
        link_bps=LINK_BPS,
        stop_timeout_s=0.9,
        answer_times=types.SimpleNamespace(typical_s=0.0),
        progress_writer=types.SimpleNamespace(write_s=0.0),
    )
    for took_s in stops_s:
        delay.add_stop(took_s)
    step = scene_module.step(tasks=tasks)
    job = workflow.Job(
        job_id="1",
        route="q",
        service="pool",
        account="acme",
        specification=specification,
        steps=(step,),
        submitted_s=1.0,
    )
    return delay.estimate_s(job, step)


def test_the_starts_of_a_wide_step_take_the_link():
    one_s = _estimate_s(specification="x" * 4400)
    assert one_s == pytest.approx(0.02)
    assert _estimate_s(specification="x" * 4400, tasks=50) == 50 * one_s


def test_stops_that_end_late_count():
    on_time_s = _estimate_s(stops_s=(0.2, 0.9))
    assert on_time_s == _estimate_s()
    late_s = _estimate_s(stops_s=(1.4, 0.9))
    assert 0.3 < late_s - on_time_s <= 0.5


def test_a_late_stop_fades():
    assert _estimate_s(stops_s=(1.9, *[0.5] * 40)) < _estimate_s() + 0.05
