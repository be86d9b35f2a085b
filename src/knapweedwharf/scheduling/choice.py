"""Which data centre a job goes to when its caller names none."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import model
from knapweedwharf.core import packing
from knapweedwharf.core import placement


def can_ever_run(
    configuration: model.Configuration, job: model.JobSpec
) -> bool:
    """Tell whether the racks declared for the job's place could run it.

    A data centre without declared racks is not judged.
    """
    declared = packing.declared_workers(configuration, job.data_centre)
    return not declared or placement.could_ever_fit(declared, job)


def data_centre(
    configuration: model.Configuration,
    job: model.JobSpec,
    *,
    rooms: abc.Mapping[str, int],
) -> str:
    """Return where to send a job whose place is this VM's by default.

    The account's guarantee goes first, then room, then this VM's own.
    A data centre whose owner is not heard is never chosen.

    :param rooms: free accelerators of the data centres that are heard.
    """
    own = job.data_centre
    able = [
        name
        for name in sorted(configuration.data_centres)
        if (name == own or name in rooms)
        and can_ever_run(configuration, _moved(job, name))
    ]
    promised = {
        guarantee.data_centre
        for guarantee in configuration.guarantees.values()
        if guarantee.account == job.account
        and guarantee.accelerators >= job.accelerators
    }
    guaranteed = [name for name in able if name in promised]
    if guaranteed:
        return own if own in guaranteed else guaranteed[0]
    roomy = [name for name in able if rooms.get(name, 0) >= job.accelerators]
    if own in roomy or not roomy:
        return own if own in able or not able else able[0]
    return max(roomy, key=lambda name: rooms[name])


def _moved(job: model.JobSpec, name: str) -> model.JobSpec:
    return model.JobSpec(**{**vars(job), "data_centre": name})
