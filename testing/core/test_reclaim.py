"""Guarantees: conflicts, reclaiming, suspension and restoration."""

from __future__ import annotations

import dataclasses

import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import guarantee_conflict
from knapweedwharf.core import model

RACK_OF_8 = model.RackSpec("r0", "antigua", 4, 8, 32, 131072)
RACK_OF_1 = model.RackSpec("r0", "antigua", 8, 1, 32, 131072)


def _configuration(rack: model.RackSpec, *guarantees) -> model.Configuration:
    specs = {
        name: model.GuaranteeSpec(
            name, "a", "antigua", size, within, count, cores, 1024
        )
        for name, size, within, count, cores in guarantees
    }
    return model.Configuration(racks={"r0": rack}, guarantees=specs)


@pytest.mark.parametrize(
    ("rack", "guarantees", "conflict"),
    [
        (RACK_OF_8, [("g", 8, "worker", 4, 1)], []),
        (RACK_OF_8, [("g", 16, "worker", 1, 1)], ["g"]),
        (RACK_OF_8, [("g", 8, "worker", 1, 5)], ["g"]),
        (RACK_OF_1, [("g", 2, "worker", 1, 1)], ["g"]),
        (RACK_OF_1, [("g", 8, "rack", 1, 1)], []),
        (
            RACK_OF_8,
            [("a", 5, "worker", 4, 1), ("b", 3, "worker", 4, 1)],
            [],
        ),
        (
            RACK_OF_8,
            [
                ("a", 6, "worker", 4, 1),
                ("b", 3, "worker", 1, 1),
                ("c", 1, "worker", 1, 1),
            ],
            ["a", "b"],
        ),
    ],
)
def test_smallest_conflict_of_guarantees_is_found(
    rack, guarantees, conflict
) -> None:
    configuration = _configuration(rack, *guarantees)
    found = guarantee_conflict.smallest_conflict(configuration, "antigua")
    assert [guarantee.name for guarantee in found] == conflict


def test_reclaim_stops_every_victim_in_one_round(site) -> None:
    site.workers(6)
    site.guarantee("g", "valle", accelerators=16, within="rack")
    small = [site.run(f"s{n}", "norte") for n in range(48)]
    claim = site.submit("c", "valle", tasks=2, accelerators_per_task=8)
    assert len(site.stops) == 16
    site.submit("late", "norte")
    site.confirm_stops()
    assert claim.state == "starting"
    assert claim.guarantee == "g"
    stopped = [record for record in small if record.preemptions]
    assert stopped[0].reasons[-2].guarantee == "g" or any(
        reason.other_job_id == "c" and reason.guarantee == "g"
        for reason in stopped[0].reasons
    )


def test_the_victim_that_loses_least_work_is_preempted(site) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=8, within="worker")
    old = site.run("old", "norte", accelerators_per_task=8)
    site.wait(3000)
    young = site.run("young", "norte", accelerators_per_task=8)
    site.submit("c", "valle", accelerators_per_task=8)
    assert (old.state, young.state) == ("running", "stopping")


def test_free_capacity_is_used_before_anything_is_preempted(site) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=8, within="worker")
    site.run("b", "norte", accelerators_per_task=8)
    claim = site.run("c", "valle", accelerators_per_task=8)
    assert not site.stops
    assert claim.guarantee == "g"


def test_work_inside_its_guarantee_is_not_preempted(site) -> None:
    site.workers(2)
    for account in ("valle", "sur"):
        site.guarantee(account, account, accelerators=8, within="worker")
    kept = site.run("v", "valle", accelerators_per_task=8)
    extra = site.run("v2", "valle", accelerators_per_task=8)
    site.submit("s", "sur", accelerators_per_task=8)
    assert (kept.state, extra.state) == ("running", "stopping")


def test_small_jobs_share_one_unit(site) -> None:
    site.workers(1)
    site.guarantee("g", "valle", accelerators=8, within="worker")
    records = [
        site.run(f"v{n}", "valle", accelerators_per_task=2) for n in range(4)
    ]
    assert {record.unit for record in records} == {1}


def test_lost_hardware_suspends_the_last_unit_until_it_returns(site) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=8, within="worker", count=2)
    site.tell(event.WorkerGone("r0-w0"))
    told = [
        (one.unit, one.met)
        for one in site.decisions
        if isinstance(one, decision.GuaranteeChanged)
    ]
    assert told == [(2, False)]
    spec = model.WorkerSpec("r0-w0", "r0", "antigua", 8, 32, 131072)
    site.tell(event.WorkerSealed(spec))
    last = site.decisions[-1]
    assert (last.unit, last.met) == (2, True)


def test_claim_survives_the_loss_of_its_worker(site) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=8, within="worker")
    for number in range(2):
        site.run(f"b{number}", "norte", accelerators_per_task=8)
    claim = site.submit("c", "valle", accelerators_per_task=8)
    (victim,) = site.stops.values()
    worker_id = site.engine.records[victim.job_id].assignments[0].worker_id
    site.tell(event.WorkerGone(worker_id))
    site.confirm_stops()
    assert claim.state == "starting"


def test_restored_work_is_inside_its_guarantee_again(site) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=8, within="worker")
    kept = site.run("v", "valle", accelerators_per_task=8)
    other = type(site)()
    other.engine.restore(kept)
    (spec,) = site.configuration.guarantees.values()
    first = dataclasses.replace(spec, name="first", account="sur")
    other.configure(guarantees={"first": first, "g": spec})
    other.workers(2)
    assert other.engine.state.ledger.unit_of("v").guarantee.name == "g"
