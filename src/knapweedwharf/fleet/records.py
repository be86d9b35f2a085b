"""Keys and encoding of the records in the store."""

from __future__ import annotations

from collections import abc
import dataclasses
import json
import typing
import zlib

from knapweedwharf.core import model as core_model
from knapweedwharf.core import part_spec
from knapweedwharf.core import workflow
from knapweedwharf.fleet import backlog as backlog_module

JOBS = "jobs/"
OWNER_KEY = "control/owner"
EPOCH_KEY = "control/epoch"
PENDING_KEY = "published/pending"
DEMAND_KEY = "control/demand"
DEPARTURES_KEY = "control/departures"
BACKLOG_KEY = "published/backlog"
WAVES = "waves/"

SPEC = "spec"
PROGRESS = "progress"
CANCEL = "cancel"

COMPRESSED_FROM_BYTES = 512
"""Smaller records gain little."""

_FASTEST = 1
_JSON_START = b"{"

_DEFAULTS = workflow.Step._field_defaults


def job_prefix(job_id: str) -> str:
    """Return the prefix of all records of a job."""
    return f"{JOBS}{job_id}/"


def key(job_id: str, kind: str) -> str:
    """Return the key of one record of a job."""
    return job_prefix(job_id) + kind


def split_key(key_: str) -> tuple[str, str] | None:
    """Return (job id, kind) of a job's record; None for another key."""
    if not key_.startswith(JOBS):
        return None
    job_id, _slash, kind = key_[len(JOBS) :].partition("/")
    return (job_id, kind) if kind else None


def _dump(document: typing.Any) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


def _compress(value: bytes) -> bytes:
    if len(value) < COMPRESSED_FROM_BYTES:
        return value
    return zlib.compress(value, _FASTEST)


def _load_compressed(value: bytes) -> typing.Any:
    """Decode a document that may be compressed; ValueError if malformed."""
    if not value.startswith(_JSON_START):
        try:
            value = zlib.decompress(value)
        except zlib.error as error:
            raise ValueError(f"compressed record: {error}") from error
    return json.loads(value)


def dump_job(job: workflow.Job) -> bytes:
    """Encode a submitted job; step fields at their default are left out."""
    document = {
        field.name: getattr(job, field.name)
        for field in dataclasses.fields(job)
        if field.name != "steps"
    }
    document["steps"] = [
        {
            name: value
            for name, value in step._asdict().items()
            if name not in _DEFAULTS or value != _DEFAULTS[name]
        }
        for step in job.steps
    ]
    return _dump(document)


def dump_ended_job(job: workflow.Job) -> bytes:
    """Encode a job that has ended: without its steps and specification.

    Later calls need its account, and a resubmission needs the record.
    """
    return dump_job(dataclasses.replace(job, specification="", steps=()))


def load_job(value: bytes) -> workflow.Job:
    """Decode a submitted job."""
    document = json.loads(value)
    steps = []
    for step in document.pop("steps"):
        step["after"] = tuple(step.get("after", ()))
        steps.append(workflow.Step(**step))
    return workflow.Job(steps=tuple(steps), **document)


def dump_progress(
    progress: workflow.Workflow, *, with_parts: bool = True
) -> bytes:
    """Encode the progress of a job.

    :param with_parts: include its parts, as long as any may run.

    A part is [done, failures, run, checkpoint, placements, Unix time of
    the placement], or [done] once it is done; a placement is [task index,
    worker, accelerators]. The record is written at every change of any
    part, so a large one is compressed.
    ``failed_runs`` has the newest run of each part that its failures count,
    ``incarnations`` those of the placements' executors in their order, and
    ``crashes`` the fields of each crash.
    """
    document: dict[str, typing.Any] = {
        "state": progress.state,
        "begun": progress.has_started,
        "parts": {
            part_id: _dump_part(part)
            for part_id, part in progress.parts.items()
            if with_parts and (part.done or part.run)
        },
    }
    if with_parts:
        document |= _dump_extras(progress)
    return _compress(_dump(document))


def _dump_extras(progress: workflow.Workflow) -> dict[str, dict]:
    """Return what few parts have, by name and part, without what is empty."""
    undone = {i: part for i, part in progress.parts.items() if not part.done}
    extras: dict[str, dict] = {
        "failed_runs": {
            i: part.failed_run for i, part in undone.items() if part.failed_run
        },
        "incarnations": {
            i: [part.incarnations.get(p.worker_id) for p in part.placements]
            for i, part in undone.items()
            if part.placements and part.incarnations
        },
        "crashes": {
            i: part.crashes for i, part in undone.items() if part.crashes
        },
    }
    return {name: values for name, values in extras.items() if values}


def _dump_part(part: workflow.Part) -> list:
    if part.done:
        return [1]
    places = [
        [place.task_index, place.worker_id, list(place.accelerators)]
        for place in part.placements
    ]
    return [
        0,
        part.failures,
        part.run,
        part.checkpoint,
        places,
        round(part.placed_s, 3),
    ]


def load_state(value: bytes) -> str:
    """Return the job state in an encoded progress record."""
    return _load_compressed(value)["state"]


def load_progress(job: workflow.Job, value: bytes) -> workflow.Workflow:
    """Decode a job's progress."""
    document = _load_compressed(value)
    progress = workflow.Workflow(job)
    progress.has_started = document["begun"]
    progress.completed = document["state"] == workflow.COMPLETED
    progress.failed = document["state"] == workflow.FAILED
    progress.cancelled = document["state"] == workflow.CANCELLED
    failed_runs = document.get("failed_runs", {})
    incarnations = document.get("incarnations", {})
    crashes = document.get("crashes", {})
    for part_id, row in document["parts"].items():
        part = _load_part(job, part_id, row)
        part.failed_run = failed_runs.get(part_id, 0)
        part.crashes = tuple(
            workflow.Crash(*crash) for crash in crashes.get(part_id, ())
        )
        part.incarnations = {
            place.worker_id: incarnation_ms
            for place, incarnation_ms in zip(
                part.placements, incarnations.get(part_id, ())
            )
            if incarnation_ms
        }
        progress.parts[part_id] = part
    return progress


def _load_part(job: workflow.Job, part_id: str, row: list) -> workflow.Part:
    fields = part_id.split(".")
    occurrence, number = int(fields[1]), int(fields[2])
    step = job.steps[number]
    done, failures, run, checkpoint, places, placed_s = (
        row if len(row) > 1 else (row[0], 0, 0, "", (), 0.0)
    )
    probe = workflow.Part(
        part_id,
        occurrence,
        number,
        int(fields[3]) if len(fields) > 3 else 0,
        step.tasks if step.is_gang else 1,
        done=bool(done),
        failures=failures,
        run=run,
        checkpoint=checkpoint,
        placed_s=placed_s,
    )
    if not places:
        return probe
    spec = part_spec.of_part(
        workflow.Workflow(job), probe, priority=part_spec.SchedulingPriority()
    )
    probe.placements = tuple(
        core_model.Assignment(
            task_index=index,
            worker_id=worker_id,
            accelerators=tuple(accelerators),
            cores=spec.cores_per_task,
            memory_mib=spec.memory_mib_per_task,
        )
        for index, worker_id, accelerators in places
    )
    return probe


def dump_cancellation(cancelled_s: float) -> bytes:
    """Encode a cancellation.

    :param cancelled_s: Unix time by the clock of the VM that accepted it.
    """
    return _dump({"cancelled_s": cancelled_s})


def load_cancellation(value: bytes) -> float | None:
    """Return when a job was cancelled; None if the record does not say.

    :raises ValueError: if the record is malformed.
    """
    document = json.loads(value)
    cancelled_s = (
        document.get("cancelled_s") if isinstance(document, dict) else ""
    )
    if cancelled_s is not None and not isinstance(cancelled_s, (int, float)):
        raise ValueError("the cancellation's time is not a number")
    return cancelled_s


def dump_epoch(*, epoch: int, node_id: str, nonce: str) -> bytes:
    """Encode the owner's epoch, node id and nonce."""
    return _dump({"ordinal": epoch, "node_id": node_id, "nonce": nonce})


def load_epoch(value: bytes) -> tuple[int, str]:
    """Return the epoch and the nonce of the last owner."""
    document = json.loads(value)
    return document["ordinal"], document["nonce"]


def dump_pending(pending: dict[str, int]) -> bytes:
    """Encode how many jobs of each queue have not started."""
    return _dump(pending)


def load_pending(value: bytes) -> dict[str, int]:
    """Decode how many jobs of each queue have not started."""
    return json.loads(value)


def dump_demand(
    averages: dict[str, tuple[float, float]], unix_s: float
) -> bytes:
    """Encode the averages of each service's headroom and their time."""
    return _dump({"at_s": unix_s, "averages": averages})


def load_demand(value: bytes) -> tuple[dict[str, tuple[float, float]], float]:
    """Decode the averages of each service's headroom and their time."""
    document = json.loads(value)
    averages = {
        service: (float(mean), float(mean_square))
        for service, (mean, mean_square) in document["averages"].items()
    }
    return averages, float(document["at_s"])


def dump_backlog(backlog: backlog_module.Backlog) -> bytes:
    """Encode what an owner's jobs take, by client account."""
    return _dump(
        {
            "bytes": backlog.by_account,
            "freed_bytes_per_s": round(backlog.freed_bytes_per_s),
        }
    )


def load_backlog(value: bytes) -> backlog_module.Backlog:
    """Decode what an owner's jobs take."""
    document = json.loads(value)
    return backlog_module.Backlog(
        {str(a): int(held) for a, held in document["bytes"].items()},
        float(document["freed_bytes_per_s"]),
    )


def dump_departures(
    leaving: abc.Iterable[tuple[str, int]], revision: int
) -> bytes:
    """Encode which incarnations of executors leave or have left.

    :param leaving: (executor id, incarnation in Unix milliseconds).
    :param revision: up to which the executors' entries were followed.
    """
    rows = [list(incarnation) for incarnation in leaving]
    return _dump({"followed": revision, "leaving": rows})


def load_departures(value: bytes) -> tuple[list[tuple[str, int]], int]:
    """Decode the leaving incarnations, and the revision followed."""
    document = json.loads(value)
    leaving = [
        (str(executor_id), int(incarnation_ms))
        for executor_id, incarnation_ms in document["leaving"]
    ]
    return leaving, int(document["followed"])


def wave_key(number: int) -> str:
    """Return the key of a maintenance wave's progress."""
    return f"{WAVES}{number}"


def dump_wave(
    begun: dict[str, str], accepted: abc.Iterable[str], finished: set[str]
) -> bytes:
    """Encode the progress of a maintenance wave.

    :param begun: machines for which an order is intended, and the executor
        incarnation that each had.
    :param accepted: those whose order was accepted.
    :param finished: machines that are back or have left for good.
    """
    return _dump(
        {
            "begun": begun,
            "accepted": sorted(accepted),
            "finished": sorted(finished),
        }
    )


def load_wave(value: bytes) -> tuple[dict[str, str], set[str], set[str]]:
    """Decode a wave's progress: (begun, accepted, finished).

    Records of earlier releases don't tell which orders were accepted.
    """
    document = json.loads(value)
    accepted = set(document.get("accepted", ()))
    return document["begun"], accepted, set(document["finished"])
