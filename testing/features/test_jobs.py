"""Steps of the jobs feature."""

from __future__ import annotations

import pytest_bdd
from pytest_bdd import parsers

from testing.features import context as context_module

Context = context_module.Context
ACCOUNT = "aguacates-sur"

pytest_bdd.scenarios("jobs.feature")


@pytest_bdd.given("one worker of antigua fails everything")
def _fails_all(context: Context) -> None:
    worker_id = context.fleet.workers[0]["worker_id"]
    context.fleet.worker_faults(worker_id, fail_all=True)


def _submit(context: Context, count: int, **fields) -> None:
    for number in range(count):
        job_id = f"job-{number}"
        context.remembered_ids.append(job_id)
        answer = context.callers.submit(job_id, account=ACCOUNT, **fields)
        assert answer.status == 202


@pytest_bdd.when("a job that no worker could hold is submitted")
def _too_wide(context: Context) -> None:
    context.answer = context.callers.submit(
        "too-wide", account=ACCOUNT, accelerators_per_task=64, within="worker"
    )


@pytest_bdd.then("the submission is refused with the reason")
def _refused(context: Context) -> None:
    assert context.answer.status == 422
    error = context.answer.json()["error"]
    assert error["code"] == "never-runnable"
    assert "1 x 64 accelerators within one worker" in error["message"]


@pytest_bdd.then("no such job exists")
def _no_job(context: Context) -> None:
    found = context.fleet.call(
        context.fleet.nodes[0],
        "GET",
        "/v1/jobs/too-wide",
        token=context.fleet.operator_token(),
    )
    assert found.status == 404


@pytest_bdd.when(
    parsers.parse("{count:d} jobs are submitted and all are cancelled")
)
def _cancel_all(context: Context, count: int) -> None:
    _submit(context, count, accelerators_per_task=8)
    for job_id in context.remembered_ids:
        assert context.callers.cancel(job_id).status == 202


@pytest_bdd.then("every one of them is cancelled")
def _cancelled(context: Context) -> None:
    for job_id in context.remembered_ids:
        context.callers.wait_job(job_id, "cancelled")


@pytest_bdd.then("they never held an accelerator")
def _never_held(context: Context) -> None:
    for job_id in context.remembered_ids:
        assert context.callers.job(job_id)["attempts"] == 0


@pytest_bdd.when(
    parsers.parse("{count:d} jobs of one worker each are submitted")
)
def _one_worker_each(context: Context, count: int) -> None:
    _submit(context, count, accelerators_per_task=8, declared_run_s=0.5)


@pytest_bdd.then("all of them finish")
def _finish(context: Context) -> None:
    for job_id in context.remembered_ids:
        context.callers.wait_job(job_id, "finished")
