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
from testing.features import context as context_module

Context = context_module.Context


@pytest.fixture
def open_context() -> abc.Iterator[abc.Callable[..., Context]]:
    """Return a function that starts a fleet for the scenario."""
    with contextlib.ExitStack() as stack:

        def start(data_centres: list[str], nodes: int) -> Context:
            fleet = stack.enter_context(
                fleet_module.Fleet(
                    folder=context_module.FOLDER,
                    data_centres=data_centres,
                    nodes_per_data_centre=nodes,
                    executors_per_data_centre=2,
                )
            )
            fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
            return Context(fleet=fleet, callers=caller.Callers(fleet))

        yield start


@pytest_bdd.given(
    parsers.re(r"(?P<nodes>\d) entry VMs? in antigua$"),
    converters={"nodes": int},
    target_fixture="context",
)
def _one_data_centre(open_context, nodes: int) -> Context:
    return open_context(["antigua"], nodes)


@pytest_bdd.given(
    "1 entry VM in antigua and in chimal", target_fixture="context"
)
def _two_data_centres(open_context) -> Context:
    return open_context(["antigua", "chimal"], 1)


@pytest_bdd.given("a borrower fills antigua")
def _borrower(context: Context) -> None:
    context.callers.submit(
        "borrower",
        account="citricos-norte",
        declared_run_s=600.0,
        **context_module.GANG,
    )
    context.callers.wait_job("borrower", "running")


@pytest_bdd.given("executors take 1 second")
def _slow_executors(context: Context) -> None:
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, delay_s=1.0)


@pytest_bdd.when("the VM that schedules antigua is killed")
def _kill_owner(context: Context) -> None:
    context.fleet.kill(context.owner())


@pytest_bdd.when("the VM that schedules antigua is frozen")
def _freeze_owner(context: Context) -> None:
    context.frozen = context.owner()
    context.fleet.freeze(context.frozen)


@pytest_bdd.when("another VM takes over")
def _take_over(context: Context) -> None:
    context.owner()


@pytest_bdd.when("the frozen VM resumes")
def _thaw(context: Context) -> None:
    context.fleet.thaw(context.frozen)
    context.frozen = None


@pytest_bdd.when(
    parsers.parse("the store is unavailable for {seconds:d} seconds")
)
def _outage(context: Context, seconds: int) -> None:
    context.fleet.faults(outage=True)
    time.sleep(seconds)
    context.fleet.faults(outage=False)


@pytest_bdd.when("the store becomes unavailable")
def _store_unavailable(context: Context) -> None:
    context.fleet.faults(outage=True)


@pytest_bdd.when("the store loses its next answer")
def _lose_answer(context: Context) -> None:
    context.fleet.faults(lose_answers=1)


@pytest_bdd.when("an entry VM is replaced")
def _replace(context: Context) -> None:
    node = context.fleet.nodes[0]
    context.fleet.kill(node)
    context.fleet.restart(node)


@pytest_bdd.when("an operator changes the folder")
def _change(context: Context) -> None:
    context.change("one change", base_revision=context.revision())


@pytest_bdd.when("valle-cafe sends a booking")
@pytest_bdd.when("valle-cafe sends the same booking again")
def _booking(context: Context) -> None:
    context.callers.send(
        context_module.ONCE_SERVICE,
        account="valle-cafe",
        body="ladder 12, orchard 7",
        key="booking-1",
    )


@pytest_bdd.when("mostrador asks for a booking check")
def _check(context: Context) -> None:
    context.callers.send("booking-check", account="mostrador", body="ladder 3")


@pytest_bdd.when(parsers.parse("{count:d} booking checks are sent"))
def _checks(context: Context, count: int) -> None:
    for number in range(count):
        context.callers.send(
            "booking-check", account="mostrador", body=f"ladder {number}"
        )


@pytest_bdd.then("every caller got its own complete answer or a true outcome")
def _answers_are_true(context: Context) -> None:
    context.fleet.faults(outage=False)
    assert context.answer_violations() == []


@pytest_bdd.then("nothing ran twice")
def _once(context: Context) -> None:
    assert [b for b in context.answer_violations() if "times" in b] == []


@pytest_bdd.then("every booking check ran")
@pytest_bdd.then("the booking check ran")
def _every_check_ran(context: Context) -> None:
    checks = [
        t for t in context.callers.responses if t.service == "booking-check"
    ]
    assert [r for r in checks if not r.complete] == []


@pytest_bdd.then("no worker holds anything")
def _nothing_held(context: Context) -> None:
    loopback.until(
        lambda: not oracle.find_leftover_attempts(context.fleet),
        what="empty workers",
    )
    assert oracle.check_worker_histories(context.fleet) == []
