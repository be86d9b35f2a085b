"""Steps of the gang feature."""

from __future__ import annotations

import pytest_bdd
from pytest_bdd import parsers

from standins import loopback
from standins import oracle
from testing.features import context as context_module

Context = context_module.Context
RUN_S = 1.0

pytest_bdd.scenarios("gang.feature")


def _submit(context: Context, job_id: str) -> None:
    context.remembered_ids.append(job_id)
    answer = context.callers.submit(
        job_id,
        account="citricos-norte",
        declared_run_s=RUN_S,
        **context_module.GANG,
    )
    assert answer.status == 202


@pytest_bdd.given(
    parsers.re(r"one worker of antigua refuses to (?P<step>\w+)$")
)
def _refuses(context: Context, step: str) -> None:
    worker_id = context.fleet.workers[0]["worker_id"]
    context.fleet.worker_faults(worker_id, **{f"refuse_{step}": True})


@pytest_bdd.when("a gang over all workers of antigua is submitted")
def _submit_one(context: Context) -> None:
    _submit(context, "gang")


@pytest_bdd.when("two gangs over all workers of antigua are submitted")
def _submit_two(context: Context) -> None:
    _submit(context, "gang-1")
    _submit(context, "gang-2")


@pytest_bdd.when("a gang over all workers of antigua runs")
def _runs(context: Context) -> None:
    _submit(context, "gang")
    context.callers.wait_job("gang", "running")


@pytest_bdd.when("every entry VM is killed")
def _kill_all(context: Context) -> None:
    for node in context.fleet.nodes:
        context.fleet.kill(node)


@pytest_bdd.when("the workers have ended the gang")
def _ended(context: Context) -> None:
    loopback.until(
        lambda: not oracle.find_leftover_attempts(context.fleet),
        what="the gang's end",
    )


@pytest_bdd.when("every entry VM is started again")
def _start_all(context: Context) -> None:
    for node in context.fleet.nodes:
        context.fleet.start_node(node)
    for node in context.fleet.nodes:
        context.fleet.wait_ready(node)


@pytest_bdd.then("no worker holds a part of the gang")
def _no_part(context: Context) -> None:
    worker_id = context.fleet.workers[1]["worker_id"]
    loopback.until(
        lambda: context.fleet.worker_state(worker_id)["history"],
        what="a first attempt at the start",
    )
    loopback.until(
        lambda: not oracle.find_leftover_attempts(context.fleet),
        what="empty workers",
    )
    assert context.callers.state("gang") != "finished"


@pytest_bdd.when("the worker of antigua accepts orders again")
def _obeys(context: Context) -> None:
    worker_id = context.fleet.workers[0]["worker_id"]
    context.fleet.worker_faults(
        worker_id, refuse_hold=False, refuse_start=False, refuse_confirm=False
    )


@pytest_bdd.then("the gang finishes")
@pytest_bdd.then("both gangs finish")
def _finishes(context: Context) -> None:
    for job_id in context.remembered_ids:
        context.callers.wait_job(job_id, "finished")
