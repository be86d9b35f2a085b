"""``knapweedwharf job``: submit, list, show, cancel, explain."""

from __future__ import annotations

import typing

import click

from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output
from knapweedwharf.core import model


@click.group()
def job() -> None:
    """Work with jobs."""


@job.command()
@client_module.options
@click.option("--job-id", help="makes the submission idempotent")
@click.option("--data-centre")
@click.option("--kind")
@click.option("--tasks", type=int)
@click.option("--accelerators-per-task", type=int)
@click.option("--cores-per-task", type=int)
@click.option("--memory-mib-per-task", type=int)
@click.option("--within", type=click.Choice(model.WITHIN_LEVELS))
@click.option("--urgency", type=click.Choice(model.URGENCIES))
@click.option("--declared-run-s", type=float)
def submit(url: str, token: str, as_json: bool, **asked: typing.Any) -> None:
    """Submit a gang job."""
    document = {k: v for k, v in asked.items() if v is not None}
    client = client_module.Client(url=url, token=token)
    answer = client.call("POST", "/v1/jobs", document)
    output.show(answer, [f"{answer['job_id']} accepted"], as_json=as_json)


@job.command("list")
@client_module.options
def list_jobs(url: str, token: str, as_json: bool) -> None:
    """List the account's jobs."""
    answer = client_module.Client(url=url, token=token).call("GET", "/v1/jobs")
    lines = [_line(item) for item in answer["jobs"]]
    output.show(answer, lines or ["no jobs"], as_json=as_json)


@job.command()
@client_module.options
@click.argument("job_id")
def show(url: str, token: str, as_json: bool, job_id: str) -> None:
    """Show one job."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", f"/v1/jobs/{job_id}")
    output.show(answer, [_line(answer)], as_json=as_json)


@job.command()
@client_module.options
@click.argument("job_id")
def cancel(url: str, token: str, as_json: bool, job_id: str) -> None:
    """Cancel one job."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("DELETE", f"/v1/jobs/{job_id}")
    output.show(answer, [f"{job_id} is being cancelled"], as_json=as_json)


@job.command()
@client_module.options
@click.argument("job_id")
def explain(url: str, token: str, as_json: bool, job_id: str) -> None:
    """Tell why a job waits, runs or ended."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", f"/v1/jobs/{job_id}/explain")
    lines = [f"{job_id}: {answer['state']}"]
    for reason in answer["reasons"]:
        lines.append(
            f"  revision {reason['revision']}  {reason['code']}: "
            f"{reason['text']}"
        )
    output.show(answer, lines, as_json=as_json)


def _line(item: dict) -> str:
    spec = item["job"]
    return (
        f"{spec['job_id']}  {item['state']}  {spec['account']}  "
        f"{spec['tasks']} x {spec['accelerators_per_task']} accelerators  "
        f"{spec['data_centre']}"
    )
