"""Selects the data centre of a job whose caller names none."""

from __future__ import annotations

from collections import abc

from knapweedwharf.core import model
from knapweedwharf.core import packing
from knapweedwharf.core import placement


def could_ever_run(
    configuration: model.Configuration, job: model.JobSpec
) -> bool:
    """Return whether the racks declared for its data centre can fit a job.

    True for a data centre without declared racks: its capacity is unknown.
    """
    declared = packing.declared_workers(configuration, job.data_centre)
    return not declared or placement.could_ever_fit(declared, job)


def choose_data_centre(
    configuration: model.Configuration,
    job: model.JobSpec,
    *,
    free_accelerators: abc.Mapping[str, int],
) -> str:
    """Return the data centre for a job whose caller named none.

    The job's ``data_centre`` is this VM's own by default. Preferred are, in
    this order: a data centre with a guarantee of the account that covers
    the job; this VM's own, if it has enough free accelerators; the one with
    the most free accelerators, if they are enough; this VM's own. Another
    data centre is never chosen while its owner sends no heartbeats.

    :param free_accelerators: by data centre whose owner sends heartbeats.
    """
    own = job.data_centre
    eligible = [
        name
        for name in sorted(configuration.data_centres)
        if (name == own or name in free_accelerators)
        and could_ever_run(configuration, _with_data_centre(job, name))
    ]
    guaranteed_names = {
        guarantee.data_centre
        for guarantee in configuration.guarantees.values()
        if guarantee.account == job.account
        and guarantee.accelerators >= job.accelerators
    }
    guaranteed = [name for name in eligible if name in guaranteed_names]
    if guaranteed:
        return own if own in guaranteed else guaranteed[0]
    with_room = [
        name
        for name in eligible
        if free_accelerators.get(name, 0) >= job.accelerators
    ]
    if own in with_room or not with_room:
        return own if own in eligible or not eligible else eligible[0]
    return max(with_room, key=lambda name: free_accelerators[name])


def _with_data_centre(job: model.JobSpec, name: str) -> model.JobSpec:
    return model.JobSpec(**{**vars(job), "data_centre": name})
