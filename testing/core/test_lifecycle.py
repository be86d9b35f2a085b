"""Gangs start and stop as a whole, and their ends are recorded."""

from __future__ import annotations

import pytest

from knapweedwharf.core import decision
from knapweedwharf.core import event

WHOLE = {"tasks": 2, "accelerators_per_task": 8, "within": "rack"}


def test_two_gangs_of_all_workers_run_one_after_the_other(site) -> None:
    site.workers(64, accelerators=1, per_rack=16)
    first = site.run("a", "norte", tasks=64)
    second = site.run("b", "sur", tasks=64)
    assert (first.state, second.state) == ("running", "queued")
    site.end(first)
    site.confirm_starts()
    assert (first.state, second.state) == ("finished", "running")


def test_tasks_that_end_while_starting_are_counted(site) -> None:
    site.workers(2)
    record = site.submit("a", "norte", **WHOLE)
    attempt_id = record.attempt_id
    site.end(record)
    assert record.state == "finished"
    assert site.tell(event.GangStarted(attempt_id)) == []
    assert site.tell(event.GangRefused(attempt_id, "", "ended")) == []


def test_task_that_fails_while_starting_stops_the_gang(site) -> None:
    site.workers(2)
    record = site.submit("a", "norte", **WHOLE)
    place = record.assignments[0]
    site.tell(
        event.TaskEnded(record.attempt_id, 0, place.worker_id, False, "x")
    )
    assert (record.state, record.after_stop) == ("stopping", "requeue")
    assert record.failures == 1


def test_lapsed_lease_does_not_count_as_a_failure(site) -> None:
    site.workers(2)
    record = site.run("a", "norte", **WHOLE)
    site.tell(
        event.TaskEnded(record.attempt_id, 0, "r0-w0", False, "", lapsed=True)
    )
    assert (record.state, record.failures) == ("stopping", 0)


@pytest.mark.parametrize("moment", ["queued", "claiming", "starting"])
def test_cancel_releases_all_capacity(site, moment: str) -> None:
    site.workers(2)
    site.guarantee("g", "valle", accelerators=16, within="rack")
    if moment != "starting":
        site.run("b", "norte", **WHOLE)
    account = "valle" if moment == "claiming" else "norte"
    record = site.submit("a", account, **WHOLE)
    site.tell(event.JobCancelled("a"))
    site.confirm_stops()
    assert record.state == "cancelled"
    for other in list(site.engine.records):
        site.tell(event.JobCancelled(other))
    site.confirm_stops()
    assert site.engine.topology.free_accelerators() == 16


def test_cancelling_many_jobs_stops_each_once(site) -> None:
    site.workers(6)
    for number in range(96):
        site.run(f"j{number}", "norte")
    taken = []
    for number in reversed(range(96)):
        taken += site.tell(event.JobCancelled(f"j{number}"))
    stops = [one for one in taken if isinstance(one, decision.StopGang)]
    assert (len(taken), len(stops)) == (144, 48)


def test_adopted_gang_is_kept(site) -> None:
    site.workers(2)
    site.run("b", "norte", **WHOLE)
    record = site.submit("a", "sur", **WHOLE)
    site.end(site.engine.records["b"])
    places = record.assignments
    site.tell(event.GangRefused(record.attempt_id, "", "store is down"))
    site.tell(event.GangAdopted("a", "old-7", places))
    assert (record.state, record.attempt_id) == ("running", "old-7")


def test_oversized_gang_is_throttled_before_it_is_stopped(site) -> None:
    site.workers(1)
    record = site.run("a", "norte")
    kinds = []
    for _number in range(4):
        taken = site.tell(event.UsageReported(record.attempt_id, 0, 9.0, 1024))
        kinds += [type(one).__name__ for one in taken]
    assert kinds == ["JobChanged", "ThrottleGang", "JobChanged", "StopGang"]
    assert record.reasons[-1].code == "oversized"
