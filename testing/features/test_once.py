"""Steps of the at-most-once feature."""

from __future__ import annotations

import functools
import threading

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from testing.features import story as story_module

Story = story_module.Story

pytest_bdd.scenarios("once.feature")


def _send(story: Story, key: str, node=None) -> None:
    story.callers.send(
        story_module.ONCE_SERVICE,
        account="valle-cafe",
        body=f"ladder {key}",
        key=key,
        node=node,
    )


@pytest_bdd.when(
    parsers.parse("one booking is sent to both VMs at once, {count:d} times")
)
def _both(story: Story, count: int) -> None:
    for number in range(count):
        sends = [
            functools.partial(_send, story, f"booking-{number}", node)
            for node in story.fleet.nodes
        ]
        story_module.at_once(*sends)


@pytest_bdd.when(
    "a booking's VM is killed while it runs and the caller tries again"
)
def _killed(story: Story) -> None:
    first, second = story.fleet.nodes
    sending = threading.Thread(target=_send, args=(story, "booking-1", first))
    sending.start()
    loopback.until(story.fleet.executions, what="the booking to run")
    story.fleet.kill(first)
    sending.join()
    _send(story, "booking-1", second)
