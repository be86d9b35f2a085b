"""Steps of the leaving feature."""

from __future__ import annotations

import pytest_bdd

from standins import loopback
from testing.features import story as story_module

Story = story_module.Story
MOST_ARRIVALS = 1

pytest_bdd.scenarios("leaving.feature")


def _first(story: Story) -> str:
    return next(iter(story.fleet.executor_urls))


def _arrivals(story: Story) -> int:
    url = story.fleet.executor_urls[_first(story)]
    return len(loopback.call("GET", url + "/log").json()["log"])


@pytest_bdd.when("the platform lists one executor as leaving")
def _listed(story: Story) -> None:
    vms = story.fleet.vms()
    for vm in vms:
        vm["leaving"] = vm["vm_id"] == _first(story)
    story.fleet.list_vms(vms)


@pytest_bdd.when("the platform lists nothing")
def _nothing(story: Story) -> None:
    story.fleet.list_vms([])


@pytest_bdd.when("the VMs have read the list")
def _read(story: Story) -> None:
    def reads() -> int:
        return story.fleet.platform("GET", "/counts").json()["vms"]

    before = reads()
    loopback.until(lambda: reads() >= before + 2, what="reads of the list")


@pytest_bdd.when("one executor says that it is leaving")
def _says(story: Story) -> None:
    story.fleet.executor_faults(_first(story), leaving=True)


@pytest_bdd.then("the leaving executor got none of them")
def _none(story: Story) -> None:
    assert _arrivals(story) == 0


@pytest_bdd.then("the leaving executor got few of them")
def _few(story: Story) -> None:
    assert _arrivals(story) <= MOST_ARRIVALS
