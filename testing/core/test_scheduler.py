"""Queueing, quotas, quarantine and the reasons given to callers."""

from __future__ import annotations

import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import event
from knapweedwharf.core import model

WHOLE = {"accelerators_per_task": 8, "within": "worker"}


def test_urgent_work_preempts_borrowers_in_one_round(site) -> None:
    site.workers(2)
    for number in range(16):
        site.run(f"b{number}", "norte")
    record = site.submit("u", "sur", urgency="urgent")
    assert len(site.stops) == 1
    site.confirm_stops()
    assert record.state == "starting"


def test_urgent_work_does_not_preempt_urgent_work(site) -> None:
    site.workers(1)
    site.run("a", "norte", urgency="urgent", **WHOLE)
    record = site.submit("u", "sur", urgency="urgent", **WHOLE)
    assert not site.stops
    assert record.reasons[-1].code == "no-room"


def test_quota_applies_until_accelerators_are_released(site) -> None:
    site.workers(2)
    spec = model.AccountSpec("norte", "", quota_accelerators=8)
    site.configure(accounts={"norte": spec})
    first = site.run("a", "norte", **WHOLE)
    second = site.submit("b", "norte")
    assert second.reasons[-1].code == "over-quota"
    assert "It starts when 1 are released." in second.reasons[-1].text
    site.end(first)
    assert second.state == "starting"


@pytest.mark.parametrize(
    ("fields", "quota"),
    [
        ({"accelerators_per_task": 9}, 0),
        ({"tasks": 3, "accelerators_per_task": 8}, 0),
        ({"cores_per_task": 33}, 0),
        ({"accelerators_per_task": 4}, 2),
    ],
)
def test_job_that_can_never_run_is_rejected_at_once(
    site, fields: dict, quota: int
) -> None:
    site.workers(2)
    spec = model.AccountSpec("norte", "", quota_accelerators=quota)
    site.configure(accounts={"norte": spec})
    record = site.submit("a", "norte", **fields)
    assert record.state == "rejected"
    assert record.reasons[-1].code == "never"


def test_job_waits_for_hardware_that_left_and_starts_on_return(site) -> None:
    site.workers(1)
    site.run("b", "norte", **WHOLE)
    record = site.submit("a", "norte", **WHOLE)
    site.tell(event.WorkerGone("r0-w0"))
    assert record.reasons[-1].code == "hardware-absent"
    site.confirm_stops()
    spec = model.WorkerSpec("r0-w0", "r0", "antigua", 8, 32, 131072)
    site.tell(event.WorkerSealed(spec))
    states = {r.state for r in site.engine.records.values()}
    assert states == {"starting", "queued"}


def test_job_is_rejected_when_its_hardware_is_no_longer_declared(
    site,
) -> None:
    site.workers(1)
    site.run("b", "norte", **WHOLE)
    record = site.submit("a", "norte", **WHOLE)
    site.tell(event.WorkerGone("r0-w0"))
    site.configure(racks={})
    assert record.state == "rejected"


def test_reason_names_what_is_missing(site) -> None:
    site.workers(2)
    for number in range(2):
        site.run(f"b{number}", "norte", accelerators_per_task=5)
    record = site.submit("a", "sur", **WHOLE)
    assert "the best worker has 3 free, all have 6" in record.reasons[-1].text


def test_small_jobs_cannot_starve_a_gang(site) -> None:
    site.workers(2)
    gang = None
    for number in range(400):
        site.run(f"s{number}", "norte", declared_run_s=600.0)
        if number == 20:
            gang = site.submit(
                "g", "sur", tasks=2, accelerators_per_task=8, within="rack"
            )
        site.wait(5)
        running = [
            record
            for record in site.engine.records.values()
            if record.state == "running" and record.job.account == "norte"
        ]
        if len(running) >= 16:
            site.end(min(running, key=lambda r: r.started_s))
        site.confirm_stops()
        site.confirm_starts()
    assert gang.started_s > 0


def test_worker_that_fails_everything_is_quarantined_and_returns(
    site,
) -> None:
    site.workers(6)
    for number in range(60):
        account = ("norte", "sur")[number % 2]
        record = site.run(f"j{number}", account, **WHOLE)
        worker_id = record.assignments[0].worker_id
        bad = worker_id == "r0-w0" and not _standings(site)
        site.end(record, succeeded=not bad)
        site.confirm_stops()
        site.wait(30)
    assert _standings(site) == [
        ("r0-w0", "quarantined"),
        ("r0-w0", "probation"),
        ("r0-w0", "trusted"),
    ]


def test_job_that_fails_everywhere_blames_no_worker(site) -> None:
    site.workers(6)
    record = site.run("bad", "norte", **WHOLE)
    while record.state not in ("failed", "queued"):
        site.end(record, succeeded=False)
        site.confirm_stops()
        site.confirm_starts()
    assert record.state == "failed"
    assert _standings(site) == []


def test_refusing_worker_is_backed_off_exponentially(site) -> None:
    site.workers(1)
    record = site.submit("a", "norte")
    starts = 1
    for _second in range(60):
        if record.state == "starting":
            refused = event.GangRefused(record.attempt_id, "r0-w0", "full")
            site.tell(refused)
        site.wait(1)
        starts += record.state == "starting"
    assert starts == 6


def _standings(site) -> list[tuple[str, str]]:
    return [
        (one.worker_id, one.standing)
        for one in site.decisions
        if isinstance(one, decision.WorkerChanged)
    ]


def test_job_is_not_retried_where_it_failed(site) -> None:
    site.workers(2)
    record = site.run("a", "norte", **WHOLE)
    first = record.assignments[0].worker_id
    site.end(record, succeeded=False)
    site.confirm_stops()
    assert record.assignments[0].worker_id != first


def test_only_worker_is_tried_again_after_its_back_off(site) -> None:
    site.workers(1)
    record = site.run("a", "norte", **WHOLE)
    site.end(record, succeeded=False)
    site.confirm_stops()
    assert record.state == "queued"
    site.wait(1)
    assert record.state == "starting"
