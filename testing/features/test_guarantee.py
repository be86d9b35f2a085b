"""Steps of the guarantee feature."""

from __future__ import annotations

import pytest_bdd

from testing.features import story as story_module

Story = story_module.Story
SHAPE = {
    "tasks": 2,
    "accelerators_per_task": 8,
    "within": "rack",
    "cores_per_task": 16,
    "memory_mib_per_task": 65536,
}

pytest_bdd.scenarios("guarantee.feature")


@pytest_bdd.given("the workers of antigua ignore orders to checkpoint")
def _ignore_checkpoint(story: Story) -> None:
    for worker in story.fleet.workers:
        story.fleet.worker_faults(worker["worker_id"], ignore_checkpoint=True)


@pytest_bdd.when("valle-cafe asks for its guaranteed shape")
def _ask(story: Story) -> None:
    answer = story.callers.submit(
        "guaranteed", account="valle-cafe", declared_run_s=0.5, **SHAPE
    )
    assert answer.status == 202


@pytest_bdd.then("the guaranteed job finishes")
def _finishes(story: Story) -> None:
    story.callers.wait_job("guaranteed", "finished")


@pytest_bdd.then("the borrower was preempted for it")
def _preempted(story: Story) -> None:
    reasons = story.callers.job("borrower")["reasons"]
    assert "preempted" in [reason["code"] for reason in reasons]
