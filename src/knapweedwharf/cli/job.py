"""``knapweedwharf job``: submit, list, show, watch, cancel, explain."""

from __future__ import annotations

import time
import typing
from urllib import parse

import click

from knapweedwharf.charts import chart
from knapweedwharf.cli import client as client_module
from knapweedwharf.cli import output
from knapweedwharf.core import model

_POLL_WAIT_S = 5.0


@click.group()
def job() -> None:
    """Submit, inspect and cancel jobs."""


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
def submit(url: str, token: str, as_json: bool, **given: typing.Any) -> None:
    """Submit a gang job."""
    document = {k: v for k, v in given.items() if v is not None}
    client = client_module.Client(url=url, token=token)
    answer = client.call("POST", "/v1/jobs", document)
    output.show(answer, [f"{answer['job_id']} accepted"], as_json=as_json)


@job.command("list")
@client_module.options
@click.option("--state", help="only jobs in this state")
@click.option("--account", help="only this account's jobs, for operators")
@click.option("--after", help="only jobs with ids after this one")
@click.option("--limit", type=click.IntRange(1, 500))
def list_jobs(url: str, token: str, as_json: bool, **given: object) -> None:
    """List the account's jobs."""
    query = parse.urlencode({k: v for k, v in given.items() if v is not None})
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", f"/v1/jobs?{query}")
    lines = [_job_line(item) for item in answer["jobs"]] or ["no jobs"]
    if answer["next_after"]:
        lines.append(f"more: --after {answer['next_after']}")
    for name in answer["unread_data_centres"]:
        lines.append(f"not read now: jobs of {name}")
    output.show(answer, lines, as_json=as_json)


@job.command()
@client_module.options
@click.argument("job_id")
def show(url: str, token: str, as_json: bool, job_id: str) -> None:
    """Show one job."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", f"/v1/jobs/{job_id}")
    output.show(answer, [_job_line(answer)], as_json=as_json)


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
    """Show why a job waits, runs or has ended."""
    client = client_module.Client(url=url, token=token)
    answer = client.call("GET", f"/v1/jobs/{job_id}/explain")
    lines = [f"{job_id}: {answer['state']}"]
    lines += [f"  {_reason_line(reason)}" for reason in answer["reasons"]]
    output.show(answer, lines, as_json=as_json)


@job.command()
@client_module.options
@click.argument("job_id")
def watch(url: str, token: str, as_json: bool, job_id: str) -> None:
    """Follow a job until it ends; exit with 1 unless it finished."""
    client = client_module.Client(url=url, token=token)
    final = chart.load("job").final
    state = ""
    while state not in final:
        query = parse.urlencode({"wait_s": _POLL_WAIT_S, "state": state})
        path = f"/v1/jobs/{job_id}"
        answer = client.call("GET", f"{path}?{query}" if state else path)
        if answer["state"] == state:
            continue
        state = answer["state"]
        reasons = answer["reasons"][-1:]
        reason_text = _reason_line(reasons[0]) if reasons else ""
        output.show(
            answer, [f"{job_id}: {state}  {reason_text}"], as_json=as_json
        )
    if state != "finished":
        raise SystemExit(output.EXIT_REFUSED)


def _reason_line(reason: dict) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(reason["at_s"]))
    line = f"{at} UTC  revision {reason['revision']}  {reason['code']}: "
    line += reason["text"]
    if reason.get("guarantee"):
        line += f" Guarantee {reason['guarantee']}."
    if reason.get("other_job_id"):
        line += f" Other job: {reason['other_job_id']}."
    return line


def _job_line(item: dict) -> str:
    spec = item["job"]
    return (
        f"{spec['job_id']}  {item['state']}  {spec['account']}  "
        f"{spec['tasks']} x {spec['accelerators_per_task']} accelerators  "
        f"{spec['data_centre']}"
    )
