"""Steps of the gang feature."""

from __future__ import annotations

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from standins import oracle
from testing.features import story as story_module

Story = story_module.Story
RUN_S = 1.0

pytest_bdd.scenarios("gang.feature")


def _submit(story: Story, job_id: str) -> None:
    story.marked.append(job_id)
    answer = story.callers.submit(
        job_id,
        account="citricos-norte",
        declared_run_s=RUN_S,
        **story_module.GANG,
    )
    assert answer.status == 202


@pytest_bdd.given(
    parsers.re(r"one worker of antigua refuses to (?P<step>\w+)$")
)
def _refuses(story: Story, step: str) -> None:
    worker_id = story.fleet.workers[0]["worker_id"]
    story.fleet.worker_faults(worker_id, **{f"refuse_{step}": True})


@pytest_bdd.when("a gang over all workers of antigua is submitted")
def _submit_one(story: Story) -> None:
    _submit(story, "gang")


@pytest_bdd.when("two gangs over all workers of antigua are submitted")
def _submit_two(story: Story) -> None:
    _submit(story, "gang-1")
    _submit(story, "gang-2")


@pytest_bdd.when("a gang over all workers of antigua runs")
def _runs(story: Story) -> None:
    _submit(story, "gang")
    story.callers.wait_job("gang", "running")


@pytest_bdd.when("every entry VM is killed")
def _kill_all(story: Story) -> None:
    for node in story.fleet.nodes:
        story.fleet.kill(node)


@pytest_bdd.when("the workers have ended the gang")
def _ended(story: Story) -> None:
    loopback.until(
        lambda: not oracle.nothing_left(story.fleet), what="the gang's end"
    )


@pytest_bdd.when("every entry VM is started again")
def _start_all(story: Story) -> None:
    for node in story.fleet.nodes:
        story.fleet.start_node(node)
    for node in story.fleet.nodes:
        story.fleet.wait_ready(node)


@pytest_bdd.then("no part of the gang stays behind")
def _no_part(story: Story) -> None:
    worker_id = story.fleet.workers[1]["worker_id"]
    loopback.until(
        lambda: story.fleet.worker_state(worker_id)["history"],
        what="a first attempt at the start",
    )
    loopback.until(
        lambda: not oracle.nothing_left(story.fleet), what="empty workers"
    )
    assert story.callers.state("gang") != "finished"


@pytest_bdd.when("the worker of antigua obeys again")
def _obeys(story: Story) -> None:
    worker_id = story.fleet.workers[0]["worker_id"]
    story.fleet.worker_faults(
        worker_id, refuse_hold=False, refuse_start=False, refuse_confirm=False
    )


@pytest_bdd.then("the gang finishes")
@pytest_bdd.then("both gangs finish")
def _finishes(story: Story) -> None:
    for job_id in story.marked:
        story.callers.wait_job(job_id, "finished")
