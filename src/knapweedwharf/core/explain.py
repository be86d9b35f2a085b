"""Explanations of why a job waits, for its account."""

from __future__ import annotations

import time

from knapweedwharf.core import amount
from knapweedwharf.core import model
from knapweedwharf.core import state as state_module

_DISTANCES = {
    model.WITHIN_WORKER: "one worker",
    model.WITHIN_RACK: "one rack",
    model.WITHIN_DATA_CENTRE: "the data centre",
}


def shape(job: model.JobSpec) -> str:
    """Return a description of the resources that a job requests."""
    need = (
        f"{job.accelerators_per_task} accelerators, "
        f"{job.cores_per_task} cores and {job.memory_mib_per_task} MiB"
    )
    return f"{job.tasks} x ({need}) within {_DISTANCES[job.within]}"


def no_room(state: state_module.State, job: model.JobSpec) -> str:
    """Return what a job needs, what is free and when that may change."""
    text = f"Needs {shape(job)}; {_best(state.topology, job)}."
    reservation = state.reservations.by_job.get(job.job_id)
    if reservation is not None:
        text += f" Reserved capacity is expected {at(reservation.expected_s)}."
    return text


def over_quota(state: state_module.State, job: model.JobSpec) -> str:
    """Return how a job exceeds its account's quota."""
    quota = state.configuration.accounts[job.account].quota_accelerators
    used = state.used.get(job.account, 0)
    return (
        f"Account {job.account} holds {used} of its quota of {quota} "
        f"accelerators; the job needs {job.accelerators}. It starts when "
        f"{used + job.accelerators - quota} are released."
    )


def at(time_s: float) -> str:
    """Format a time in UTC."""
    return time.strftime("at %Y-%m-%d %H:%M:%S UTC", time.gmtime(time_s))


def _best(topology, job: model.JobSpec) -> str:
    need = amount.of_task(job)
    total = topology.open_accelerators
    if job.within == model.WITHIN_WORKER:
        best = max((key[2] for key in topology.buckets), default=0)
        return f"the best worker has {best} free, all have {total}"
    if job.within == model.WITHIN_RACK:
        best = max(
            (rack.open_accelerators for rack in topology.racks.values()),
            default=0,
        )
        return f"the best rack has {best} accelerators free, all have {total}"
    if not need.accelerators:
        return "no worker has the cores and memory free"
    return f"{total} accelerators are free"
