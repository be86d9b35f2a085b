"""Steps of the guarantee feature."""

from __future__ import annotations

import pytest_bdd

from testing.features import context as context_module

Context = context_module.Context
SHAPE = {
    "tasks": 2,
    "accelerators_per_task": 8,
    "within": "rack",
    "cores_per_task": 16,
    "memory_mib_per_task": 65536,
}

pytest_bdd.scenarios("guarantee.feature")


@pytest_bdd.given("the workers of antigua ignore orders to checkpoint")
def _ignore_checkpoint(context: Context) -> None:
    for worker in context.fleet.workers:
        context.fleet.worker_faults(
            worker["worker_id"], ignore_checkpoint=True
        )


@pytest_bdd.when("valle-cafe asks for its guaranteed shape")
def _ask(context: Context) -> None:
    answer = context.callers.submit(
        "guaranteed", account="valle-cafe", declared_run_s=0.5, **SHAPE
    )
    assert answer.status == 202


@pytest_bdd.then("the guaranteed job finishes")
def _finishes(context: Context) -> None:
    context.callers.wait_job("guaranteed", "finished")


@pytest_bdd.then("the borrower was preempted for it")
def _preempted(context: Context) -> None:
    reasons = context.callers.job("borrower")["reasons"]
    assert "preempted" in [reason["code"] for reason in reasons]
