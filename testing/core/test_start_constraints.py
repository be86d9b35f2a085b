"""Each way to a start asks for the constraints of its job."""

from __future__ import annotations

import dataclasses

import pytest

from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import record as record_module
from testing.core import scenario

WORKER = "r0-w0"
WHOLE = {"accelerators_per_task": 8}


def _site(policy: str, workers: int) -> scenario.Site:
    site = scenario.Site(policy=policy)
    site.workers(workers)
    return site


def _is_on_worker(record) -> bool:
    return WORKER in {place.worker_id for place in record.assignments}


def _constrained(site, constraint: str) -> dict:
    """Return fields of a job that must not start on ``WORKER``."""
    if constraint == "label":
        spec = dataclasses.replace(
            site.engine.topology.workers[WORKER].spec,
            worker_id="labelled",
            labels=("other",),
        )
        site.tell(event.WorkerSealed(spec))
        site.run("blocker", "norte", label="other", **WHOLE)
        return {"label": "other"}
    if constraint == "approval":
        site.tell(event.WorkersApproved("step", (), (WORKER,)))
        return {"approval": "step"}
    fields = {"spread_group": "step", "max_per_worker": 1}
    site.run("sibling", "acme", **fields)
    return fields


CONSTRAINTS = pytest.mark.parametrize(
    "constraint", ["label", "approval", "spread"]
)


@CONSTRAINTS
def test_a_worker_on_probation_gets_no_job_that_it_may_not_run(constraint):
    """It got the next single task, whatever that required."""
    site = _site("short-runs", 1)
    fields = _constrained(site, constraint)
    site.engine.state.quarantine.begin(WORKER, now_s=site.now_s, length_s=1.0)
    site.engine.topology.exclude(WORKER, "quarantine")
    site.wait(1.1)
    assert WORKER in site.engine.state.quarantine.probation
    site.engine.state.quarantine._histories[WORKER].probation_tasks = 2
    assert not _is_on_worker(site.submit("job", "acme", **fields))
    assert site.submit("any", "acme").state == record_module.STARTING


@CONSTRAINTS
@pytest.mark.parametrize("is_full", [False, True])
def test_a_guaranteed_job_starts_on_no_worker_that_it_may_not_run_on(
    constraint, is_full
):
    """Neither on the free room of its cell nor on that of borrowers."""
    site = _site("guaranteed", 1)
    site.guarantee("g", "acme", accelerators=4, within="worker")
    fields = _constrained(site, constraint)
    if is_full:
        for number in range(8):
            site.run(f"borrower-{number}", "norte")
    record = site.submit("job", "acme", **fields)
    site.wait(5.0)
    site.confirm_stops()
    assert not _is_on_worker(record)


def _claim(site, **fields):
    """Let a job claim ``WORKER``, whose victim is being stopped."""
    site.configure(
        policy=dataclasses.replace(
            site.configuration.policy, urgent_patience_s=0.0
        )
    )
    site.run("victim", "norte", **WHOLE)
    record = site.submit(
        "job", "acme", precedence=1, urgency=model.URGENT, **WHOLE, **fields
    )
    site.wait(1.0)
    assert site.stops
    return record


def test_an_approval_that_is_withdrawn_under_a_claim_forbids_the_start():
    site = _site("short-runs", 1)
    site.tell(event.WorkersApproved("step", (WORKER,), ()))
    record = _claim(site, approval="step")
    site.tell(event.WorkersApproved("step", (), (WORKER,)))
    site.confirm_stops()
    assert record.state == record_module.QUEUED


def test_a_label_that_goes_under_a_claim_forbids_the_start():
    site = _site("short-runs", 1)
    spec = site.engine.topology.workers[WORKER].spec
    site.tell(event.WorkerSealed(dataclasses.replace(spec, labels=("kind",))))
    record = _claim(site, label="kind")
    site.tell(event.WorkerSealed(spec))
    site.confirm_stops()
    assert record.state == record_module.QUEUED


def test_a_path_that_forgets_the_constraints_can_not_start_a_job():
    site = _site("short-runs", 1)
    record = site.submit("job", "acme", label="other")
    room = site.engine.topology.workers[WORKER]
    reason = site.engine.state.reason("placed", "")
    with pytest.raises(ValueError, match="label"):
        site.engine.state.start(record, [(room, 1)], reason)
