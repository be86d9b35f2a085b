"""Guaranteed work preempts in time for its bound, whatever delays it."""

from __future__ import annotations

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import model
from knapweedwharf.fleet import policy
from testing.fleet import scene as scene_module

BOUNDS = model.TimeLimits()


def _start_within_s(start_delay_s: float) -> float:
    job = workflow.Job(
        job_id="1",
        route="q",
        service="pool",
        account="acme",
        specification="{}",
        steps=(scene_module.step(),),
        submitted_s=1.0,
        priority=0,
    )
    priority = policy.scheduling_priority(
        job,
        job.steps[0],
        guaranteed=8,
        claimed=8,
        bounds=BOUNDS,
        start_delay_s=start_delay_s,
    )
    return priority.start_within_s


@pytest.mark.parametrize("start_delay_s", [0.0, 0.4, 1.0])
def test_what_delays_a_start_is_left_for_it(start_delay_s):
    used_s = (
        _start_within_s(start_delay_s) + BOUNDS.stop_timeout_s + start_delay_s
    )
    assert used_s + policy.ORDER_MARGIN_S <= BOUNDS.reclaim_timeout_s + 1e-9


def test_a_bound_that_is_too_short_still_sets_a_time():
    assert _start_within_s(10.0) == policy.URGENT_PATIENCE_S
