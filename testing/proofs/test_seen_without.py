"""Each failure is seen once its mechanism is taken out.

The features run the same stories against whole nodes; here the entry
VMs lack one mechanism each, and the oracle must notice.
"""

from __future__ import annotations

from collections import abc
import contextlib
import functools
import pathlib
import threading

import pytest

from standins import caller
from standins import fleet as fleet_module
from standins import loopback
from standins import oracle
from testing.features import story as story_module

FOLDER = pathlib.Path("examples/escaleras/folder")
ATTEMPTS = 40
IN_FLIGHT = 4

Open = abc.Callable[..., story_module.Story]


@pytest.fixture
def without() -> abc.Iterator[Open]:
    """Start a fleet whose entry VMs lack a mechanism."""
    with contextlib.ExitStack() as stack:

        def start(mutant: str, *, nodes: int = 1) -> story_module.Story:
            fleet = stack.enter_context(
                fleet_module.Fleet(
                    folder=FOLDER,
                    data_centres=["antigua"],
                    nodes_per_data_centre=nodes,
                    executors_per_data_centre=2,
                    node_command=("testing.proofs.mutant", mutant, "serve"),
                )
            )
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            callers = caller.Callers(fleet)
            return story_module.Story(fleet=fleet, callers=callers)

        yield start


def _booking(story: story_module.Story, key: str, node=None) -> caller.Told:
    return story.callers.send(
        story_module.ONCE_SERVICE,
        account="valle-cafe",
        body=f"ladder {key}",
        key=key,
        node=node,
    )


def _check(story: story_module.Story, number: int) -> caller.Told:
    return story.callers.send(
        "booking-check", account="mostrador", body=f"ladder {number}"
    )


def _first_executor(story: story_module.Story) -> str:
    return next(iter(story.fleet.executor_urls))


def test_second_run_is_seen_without_claim(without: Open) -> None:
    story = without("no-claim", nodes=2)
    for node in story.fleet.nodes:
        _booking(story, "booking-1", node)
    assert "booking-1 ran 2 times" in story.broken_answers()


def test_foreign_answer_is_seen_without_correlation(without: Open) -> None:
    story = without("no-correlation")
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, crossed=1)
    _booking(story, "booking-1")
    assert "booking-1: not its own whole answer" in story.broken_answers()


def test_false_refusal_is_seen_without_unknown(without: Open) -> None:
    story = without("no-unknown")
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, drop_after=5)
    _booking(story, "booking-1")
    assert "booking-1: said not to have run, ran" in story.broken_answers()


def test_new_work_is_seen_without_leaving_signal(without: Open) -> None:
    story = without("no-leaving")
    vm_id = _first_executor(story)
    story.fleet.executor_faults(vm_id, leaving=True)
    for number in range(ATTEMPTS):
        _check(story, number)
    url = story.fleet.executor_urls[vm_id] + "/log"
    assert len(loopback.call("GET", url).json()["log"]) > 1


def test_refusals_are_seen_when_empty_list_is_believed(without: Open) -> None:
    story = without("believe-empty-list")
    story.fleet.list_vms([])
    told = loopback.until(
        lambda: _check(story, 1).outcome != caller.RAN, what="a refusal"
    )
    assert told


def test_cut_requests_are_seen_without_drain(without: Open) -> None:
    story = without("no-drain")
    for vm_id in story.fleet.executor_urls:
        story.fleet.executor_faults(vm_id, delay_s=1.0)
    sends = [
        functools.partial(_booking, story, f"booking-{number}")
        for number in range(IN_FLIGHT)
    ]
    sending = threading.Thread(target=story_module.at_once, args=sends)
    sending.start()
    loopback.until(
        lambda: len(story.fleet.executions()) == IN_FLIGHT,
        what="requests in flight",
    )
    story.fleet.drain(story.fleet.nodes[0])
    sending.join()
    assert [told for told in story.callers.told if not told.whole]


def test_lost_change_is_seen_without_position(without: Open) -> None:
    story = without("no-position", nodes=2)

    def race() -> list[str]:
        base_revision = story.revision()
        changes = [
            functools.partial(
                story.change,
                f"{base_revision} through {node.node_id}",
                base_revision=base_revision,
                node=node,
            )
            for node in story.fleet.nodes
        ]
        story_module.at_once(*changes)
        return oracle.audit(story.history(), story.callers.changes)

    assert loopback.until(race, what="a lost change")


def test_waiting_guarantee_is_seen_without_reclaim(without: Open) -> None:
    story = without("no-reclaim")
    story.callers.submit(
        "borrower",
        account="citricos-norte",
        declared_run_s=600.0,
        **story_module.GANG,
    )
    story.callers.wait_job("borrower", "running")
    story.callers.submit(
        "guaranteed",
        account="valle-cafe",
        tasks=2,
        accelerators_per_task=8,
        within="rack",
    )
    loopback.until(
        lambda: "no-room"
        in [r["code"] for r in story.callers.job("guaranteed")["reasons"]],
        what="the guaranteed job to be passed over",
    )
    assert story.callers.state("guaranteed") == "queued"


def test_part_of_gang_is_seen_without_refusals(without: Open) -> None:
    story = without("no-whole-gang")
    refusing = story.fleet.workers[0]["worker_id"]
    story.fleet.worker_faults(refusing, refuse_hold=True)
    story.callers.submit(
        "gang",
        account="citricos-norte",
        declared_run_s=600.0,
        **story_module.GANG,
    )
    job = story.callers.wait_job("gang", "running")
    sizes = {job["attempt_id"]: len(story.fleet.workers)}
    assert oracle.whole_gangs(story.fleet, sizes) == [
        f"{job['attempt_id']} runs on 5 of 6 workers"
    ]
