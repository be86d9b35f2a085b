"""Steps of the configuration feature."""

from __future__ import annotations

import functools

import pytest_bdd

from standins import loopback
from standins import oracle
from testing.features import story as story_module

Story = story_module.Story
DROPPED_EVENTS = 4

pytest_bdd.scenarios("configuration.feature")


@pytest_bdd.when("two operators change the folder at once through both VMs")
def _race(story: Story) -> None:
    base_revision = story.revision()
    story_module.at_once(
        *(
            functools.partial(
                story.change,
                f"change through {node.node_id}",
                base_revision=base_revision,
                node=node,
            )
            for node in story.fleet.nodes
        )
    )


@pytest_bdd.when("chimal is cut off")
def _cut(story: Story) -> None:
    story.fleet.isolate("chimal")


@pytest_bdd.when("mostrador asks for a booking check in chimal")
def _check_there(story: Story) -> None:
    node = next(n for n in story.fleet.nodes if n.data_centre == "chimal")
    told = story.callers.send(
        "booking-check", account="mostrador", body="ladder 8", node=node
    )
    assert told.whole


@pytest_bdd.when("chimal is joined again")
def _join(story: Story) -> None:
    story.fleet.join()


@pytest_bdd.when("the store drops its next events")
def _drop_events(story: Story) -> None:
    story.fleet.faults(drop_events=DROPPED_EVENTS)


@pytest_bdd.then("exactly one change was accepted")
def _one_accepted(story: Story) -> None:
    assert sorted(story.callers.changes.values()) == [200, 409]


@pytest_bdd.then("the audit trail holds each accepted change once")
def _audited(story: Story) -> None:
    assert oracle.audit(story.history(), story.callers.changes) == []


@pytest_bdd.then("every VM has the latest revision in force")
def _in_force(story: Story) -> None:
    accepted = [m for m, s in story.callers.changes.items() if s == 200]
    assert accepted
    for node in story.fleet.nodes:
        loopback.until(
            lambda node=node: story.status(node).get("revision", 0)
            >= 1 + len(accepted),
            what=f"the latest revision on {node.node_id}",
        )
