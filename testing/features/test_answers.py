"""Steps of the answers feature."""

from __future__ import annotations

import pytest_bdd
from pytest_bdd import parsers

from standins import caller
from testing.features import context as context_module

Context = context_module.Context

pytest_bdd.scenarios("answers.feature")


@pytest_bdd.given(parsers.parse("the next answer of an executor is {fault:w}"))
def _wrong_answer(context: Context, fault: str) -> None:
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, late_s=20.0, **{fault: 1})


@pytest_bdd.given(
    parsers.parse(
        "an executor drops the connection {moment:w} it runs the request"
    )
)
def _drops(context: Context, moment: str) -> None:
    for vm_id in context.fleet.executor_urls:
        context.fleet.executor_faults(vm_id, **{f"drop_{moment}": 1})


@pytest_bdd.then("the booking was refused and did not run")
def _refused(context: Context) -> None:
    booking = context.callers.responses[0]
    assert booking.outcome == caller.DID_NOT_RUN
    context.fleet.faults(outage=False)
    ran = [entry["request_id"] for entry in context.fleet.executions()]
    assert booking.key not in ran
