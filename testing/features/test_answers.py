"""Steps of the answers feature."""

from __future__ import annotations

import pytest_bdd
from pytest_bdd import parsers

from standins import caller
from testing.features import story as story_module

Story = story_module.Story

pytest_bdd.scenarios("answers.feature")


@pytest_bdd.given(parsers.parse("the next answer of an executor is {fault:w}"))
def _wrong_answer(story: Story, fault: str) -> None:
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, late_s=20.0, **{fault: 1})


@pytest_bdd.given(
    parsers.parse(
        "an executor drops the connection {moment:w} it runs the request"
    )
)
def _drops(story: Story, moment: str) -> None:
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, **{f"drop_{moment}": 1})


@pytest_bdd.then("the booking was refused and did not run")
def _refused(story: Story) -> None:
    booking = story.callers.told[0]
    assert booking.outcome == caller.DID_NOT_RUN
    story.fleet.faults(outage=False)
    ran = [entry["request_id"] for entry in story.fleet.executions()]
    assert booking.key not in ran
