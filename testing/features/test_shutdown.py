"""Steps of the shutdown feature."""

from __future__ import annotations

import functools
import threading

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from testing.features import story as story_module

Story = story_module.Story
SERVICES = {"bookings": "booking", "booking checks": "booking-check"}

pytest_bdd.scenarios("shutdown.feature")


@pytest_bdd.when(
    parsers.re(
        r"a VM is asked to stop while (?P<count>\d) "
        r"(?P<what>bookings|booking checks) are in flight$"
    )
)
def _stop(story: Story, count: str, what: str) -> None:
    node = story.fleet.nodes[0]
    sends = [
        functools.partial(
            story.callers.send,
            SERVICES[what],
            account="valle-cafe",
            body=f"ladder {number}",
            key=f"key-{number}",
            node=node,
        )
        for number in range(int(count))
    ]
    sending = threading.Thread(target=story_module.at_once, args=sends)
    sending.start()
    loopback.until(
        lambda: len(story.fleet.executions()) == int(count),
        what="requests in flight",
    )
    story.fleet.drain(node)
    sending.join()


@pytest_bdd.then("every request in flight was answered with its own answer")
def _answered(story: Story) -> None:
    assert [told for told in story.callers.told if not told.whole] == []
