"""Fleet fixture and the steps that several features share."""

from __future__ import annotations

from collections import abc
import contextlib
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from standins import caller
from standins import fleet as fleet_module
from standins import loopback
from standins import oracle
from testing.features import story as story_module

Story = story_module.Story


@pytest.fixture
def open_story() -> abc.Iterator[abc.Callable[..., Story]]:
    """Start fleets that end with the scenario."""
    with contextlib.ExitStack() as stack:

        def start(data_centres: list[str], nodes: int) -> Story:
            fleet = stack.enter_context(
                fleet_module.Fleet(
                    folder=story_module.FOLDER,
                    data_centres=data_centres,
                    nodes_per_data_centre=nodes,
                    executors_per_data_centre=2,
                )
            )
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            return Story(fleet=fleet, callers=caller.Callers(fleet))

        yield start


@pytest_bdd.given(
    parsers.re(r"(?P<nodes>\d) entry VMs? in antigua$"),
    converters={"nodes": int},
    target_fixture="story",
)
def _one_data_centre(open_story, nodes: int) -> Story:
    return open_story(["antigua"], nodes)


@pytest_bdd.given(
    "1 entry VM in antigua and in chimal", target_fixture="story"
)
def _two_data_centres(open_story) -> Story:
    return open_story(["antigua", "chimal"], 1)


@pytest_bdd.given("a borrower fills antigua")
def _borrower(story: Story) -> None:
    story.callers.submit(
        "borrower",
        account="citricos-norte",
        declared_run_s=600.0,
        **story_module.GANG,
    )
    story.callers.wait_job("borrower", "running")


@pytest_bdd.given("executors take 1 second")
def _slow_executors(story: Story) -> None:
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, delay_s=1.0)


@pytest_bdd.when("the VM that schedules antigua is killed")
def _kill_owner(story: Story) -> None:
    story.fleet.kill(story.owner())


@pytest_bdd.when("the VM that schedules antigua is frozen")
def _freeze_owner(story: Story) -> None:
    story.frozen = story.owner()
    story.fleet.freeze(story.frozen)


@pytest_bdd.when("another VM takes over")
def _take_over(story: Story) -> None:
    story.owner()


@pytest_bdd.when("the frozen VM goes on")
def _thaw(story: Story) -> None:
    story.fleet.thaw(story.frozen)
    story.frozen = None


@pytest_bdd.when(parsers.parse("the store is away for {seconds:d} seconds"))
def _outage(story: Story, seconds: int) -> None:
    story.fleet.faults(outage=True)
    time.sleep(seconds)
    story.fleet.faults(outage=False)


@pytest_bdd.when("the store goes away")
def _store_away(story: Story) -> None:
    story.fleet.faults(outage=True)


@pytest_bdd.when("the store loses its next answer")
def _lose_answer(story: Story) -> None:
    story.fleet.faults(lose_answers=1)


@pytest_bdd.when("an entry VM is replaced")
def _replace(story: Story) -> None:
    node = story.fleet.nodes[0]
    story.fleet.kill(node)
    story.fleet.restart(node)


@pytest_bdd.when("an operator changes the folder")
def _change(story: Story) -> None:
    story.change("one change", base_revision=story.revision())


@pytest_bdd.when("valle-cafe sends a booking")
@pytest_bdd.when("valle-cafe sends the same booking again")
def _booking(story: Story) -> None:
    story.callers.send(
        story_module.ONCE_SERVICE,
        account="valle-cafe",
        body="ladder 12, orchard 7",
        key="booking-1",
    )


@pytest_bdd.when("mostrador asks for a booking check")
def _check(story: Story) -> None:
    story.callers.send("booking-check", account="mostrador", body="ladder 3")


@pytest_bdd.when(parsers.parse("{count:d} booking checks are sent"))
def _checks(story: Story, count: int) -> None:
    for number in range(count):
        story.callers.send(
            "booking-check", account="mostrador", body=f"ladder {number}"
        )


@pytest_bdd.then("every caller got its own whole answer or the truth")
def _truth(story: Story) -> None:
    story.fleet.faults(outage=False)
    assert story.broken_answers() == []


@pytest_bdd.then("nothing ran twice")
def _once(story: Story) -> None:
    assert [b for b in story.broken_answers() if "times" in b] == []


@pytest_bdd.then("every booking check ran")
@pytest_bdd.then("the booking check ran")
def _every_check_ran(story: Story) -> None:
    checks = [t for t in story.callers.told if t.service == "booking-check"]
    assert [told for told in checks if not told.whole] == []


@pytest_bdd.then("no worker holds anything")
def _nothing_held(story: Story) -> None:
    loopback.until(
        lambda: not oracle.nothing_left(story.fleet), what="empty workers"
    )
    assert oracle.histories(story.fleet) == []
