"""Each check detects its failure when the protection is disabled.

The entry VMs of each test lack one protection mechanism (see
``testing.proofs.mutant``), and the oracle must report the failure that
the mechanism prevents. The features run similar scenarios on unmodified
entry VMs.
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
from testing.features import context as context_module

FOLDER = pathlib.Path("examples/escaleras/folder")
ATTEMPTS = 40
IN_FLIGHT = 4

StartFleet = abc.Callable[..., context_module.Context]


@pytest.fixture
def without() -> abc.Iterator[StartFleet]:
    """Return a function that starts a fleet of mutant entry VMs."""
    with contextlib.ExitStack() as stack:

        def start(mutant: str, *, nodes: int = 1) -> context_module.Context:
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
            return context_module.Context(fleet=fleet, callers=callers)

        yield start


def _booking(
    context: context_module.Context, key: str, node=None
) -> caller.CallerResponse:
    return context.callers.send(
        context_module.ONCE_SERVICE,
        account="valle-cafe",
        body=f"ladder {key}",
        key=key,
        node=node,
    )


def _check(
    context: context_module.Context, number: int
) -> caller.CallerResponse:
    return context.callers.send(
        "booking-check", account="mostrador", body=f"ladder {number}"
    )


def _first_executor(context: context_module.Context) -> str:
    return next(iter(context.fleet.executor_urls))


def test_second_run_is_seen_without_claim(without: StartFleet) -> None:
    context = without("no-claim", nodes=2)
    for node in context.fleet.nodes:
        _booking(context, "booking-1", node)
    assert "booking-1 ran 2 times" in context.answer_violations()


def test_foreign_answer_is_seen_without_correlation(
    without: StartFleet,
) -> None:
    context = without("no-correlation")
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, crossed=1)
    _booking(context, "booking-1")
    assert (
        "booking-1: incomplete answer or that of another request"
        in context.answer_violations()
    )


def test_false_refusal_is_seen_without_unknown(without: StartFleet) -> None:
    context = without("no-unknown")
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, drop_after=5)
    _booking(context, "booking-1")
    assert (
        "booking-1: reported as not run, but was executed"
        in context.answer_violations()
    )


def test_new_work_is_seen_without_leaving_signal(without: StartFleet) -> None:
    context = without("no-leaving")
    vm_id = _first_executor(context)
    context.fleet.executor_faults(vm_id, leaving=True)
    for number in range(ATTEMPTS):
        _check(context, number)
    url = context.fleet.executor_urls[vm_id] + "/log"
    assert len(loopback.call("GET", url).json()["log"]) > 1


def test_refusals_are_seen_when_empty_list_is_believed(
    without: StartFleet,
) -> None:
    context = without("believe-empty-list")
    context.fleet.list_vms([])
    refusal = loopback.until(
        lambda: _check(context, 1).outcome != caller.RAN, what="a refusal"
    )
    assert refusal


def test_cut_requests_are_seen_without_drain(without: StartFleet) -> None:
    context = without("no-drain")
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, delay_s=1.0)
    sends = [
        functools.partial(_booking, context, f"booking-{number}")
        for number in range(IN_FLIGHT)
    ]
    sending = threading.Thread(
        target=context_module.run_concurrently, args=sends
    )
    sending.start()
    loopback.until(
        lambda: len(context.fleet.executions()) == IN_FLIGHT,
        what="requests in flight",
    )
    context.fleet.drain(context.fleet.nodes[0])
    sending.join()
    assert [r for r in context.callers.responses if not r.complete]


def test_lost_change_is_seen_without_position(without: StartFleet) -> None:
    context = without("no-position", nodes=2)

    def race() -> list[str]:
        base_revision = context.revision()
        changes = [
            functools.partial(
                context.change,
                f"{base_revision} through {node.node_id}",
                base_revision=base_revision,
                node=node,
            )
            for node in context.fleet.nodes
        ]
        context_module.run_concurrently(*changes)
        return oracle.check_audit_trail(
            context.history(), context.callers.changes
        )

    assert loopback.until(race, what="a lost change")


def test_waiting_guarantee_is_seen_without_reclaim(
    without: StartFleet,
) -> None:
    context = without("no-reclaim")
    context.callers.submit(
        "borrower",
        account="citricos-norte",
        declared_run_s=600.0,
        **context_module.GANG,
    )
    context.callers.wait_job("borrower", "running")
    context.callers.submit(
        "guaranteed",
        account="valle-cafe",
        tasks=2,
        accelerators_per_task=8,
        within="rack",
    )
    loopback.until(
        lambda: "no-room"
        in [r["code"] for r in context.callers.job("guaranteed")["reasons"]],
        what="the guaranteed job to be passed over",
    )
    assert context.callers.state("guaranteed") == "queued"


def test_part_of_gang_is_seen_without_refusals(without: StartFleet) -> None:
    context = without("no-whole-gang")
    refusing = context.fleet.workers[0]["worker_id"]
    context.fleet.worker_faults(refusing, refuse_hold=True)
    context.callers.submit(
        "gang",
        account="citricos-norte",
        declared_run_s=600.0,
        **context_module.GANG,
    )
    job = context.callers.wait_job("gang", "running")
    sizes = {job["attempt_id"]: len(context.fleet.workers)}
    assert oracle.find_partial_gangs(context.fleet, sizes) == [
        f"{job['attempt_id']} runs on 5 of 6 workers"
    ]
