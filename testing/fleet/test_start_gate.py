"""What is checked when a start is about to be sent."""

from __future__ import annotations

import asyncio
import types

import pytest

from knapweedwharf.core import workflow
from knapweedwharf.fleet import attempt as attempt_module
from knapweedwharf.fleet import start_gate
from knapweedwharf import metrics
from testing.fleet import scene as scene_module


async def _may_start() -> bool:
    return True


def _attempt() -> attempt_module.Attempt:
    job = workflow.Job(
        job_id="1",
        route="q",
        service="pool",
        account="acme",
        specification="{}",
        steps=(scene_module.step(label="a"),),
        submitted_s=0.0,
    )
    (part,) = workflow.Workflow(job).release_ready_parts(0.0)
    member = attempt_module.Member(0, "1.0.0.0", "e0")
    member.phase = attempt_module.ORDERED
    return attempt_module.Attempt("x", part, job, 1, {0: member})


@pytest.mark.parametrize("labels", [("a", "r0"), ("b", "r0")])
def test_a_start_waits_while_its_executor_returns_as_another_kind(labels):
    """It was sent to the next incarnation, whatever its labels."""
    gate = start_gate.StartGate(
        may_start=_may_start,
        evacuations=types.SimpleNamespace(forbids=lambda _centre: False),
        sender=metrics.Metrics(None),
    )
    session = types.SimpleNamespace(
        takes_starts=True,
        executor=types.SimpleNamespace(labels=labels, data_centre="dc"),
    )
    attempt = _attempt()
    admitted = asyncio.run(gate.admits(attempt, attempt.members[0], session))
    assert admitted == (labels[0] == "a")
