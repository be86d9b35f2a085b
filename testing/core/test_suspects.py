"""Jobs under which workers crash are kept apart from each other."""

from __future__ import annotations

import pytest

from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import suspects
from testing.core import scenario


def _site(workers: int) -> scenario.Site:
    site = scenario.Site(policy="short-runs")
    site.workers(workers)
    return site


def _start(site: scenario.Site, job_id: str, **fields) -> str:
    """Start a job; return its worker, or an empty text if it waits."""
    record = site.submit(job_id, "a", **fields)
    site.confirm_starts()
    places = record.assignments
    return places[0].worker_id if places else ""


def _pass_alone_time(site: scenario.Site) -> None:
    site.now_s += suspects.ALONE_S
    site.tell(event.Tick())


def test_two_suspects_never_share_a_worker():
    site = _site(2)
    workers = [_start(site, f"s{n}", is_suspect=True) for n in range(3)]
    assert sorted(workers) == ["", "r0-w0", "r0-w1"]
    _pass_alone_time(site)
    assert not site.engine.records["s2"].assignments


def test_a_suspect_takes_an_idle_worker():
    site = _site(3)
    used = _start(site, "sound")
    assert _start(site, "other") == used
    assert _start(site, "suspect", is_suspect=True) != used


def test_a_suspect_goes_where_least_would_be_lost():
    site = _site(2)
    busy = _start(site, "wide", accelerators_per_task=6)
    less_busy = _start(site, "other", accelerators_per_task=4)
    assert busy != less_busy
    assert _start(site, "suspect", is_suspect=True) == less_busy


def test_a_suspect_shares_a_worker_if_none_is_idle():
    site = _site(1)
    used = _start(site, "sound")
    assert _start(site, "suspect", is_suspect=True) == used


def test_nothing_joins_a_suspect_that_has_just_started():
    site = _site(1)
    used = _start(site, "suspect", is_suspect=True)
    assert not _start(site, "sound")
    _pass_alone_time(site)
    places = site.engine.records["sound"].assignments
    assert [place.worker_id for place in places] == [used]


@pytest.mark.parametrize("is_running", [True, False])
def test_a_cleared_job_no_longer_keeps_others_off(is_running):
    site = _site(1)
    _start(site, "suspect", is_suspect=True)
    if is_running:
        site.tell(event.JobSuspected("suspect", False))
        assert _start(site, "other", is_suspect=True)
    else:
        _start(site, "other", is_suspect=True)
        site.tell(event.JobSuspected("other", False))
        _pass_alone_time(site)
        assert site.engine.records["other"].assignments


def test_a_job_that_is_given_up_while_it_runs_stops_and_fails():
    site = _site(1)
    _start(site, "suspect", is_suspect=True)
    site.tell(event.JobGivenUp("suspect", "Workers crash under it."))
    site.confirm_stops()
    assert site.engine.records["suspect"].state == "failed"
    assert _start(site, "other", is_suspect=True)


def test_a_job_that_is_given_up_while_it_waits_fails():
    site = _site(1)
    _start(site, "running", is_suspect=True)
    assert not _start(site, "waiting", is_suspect=True)
    site.tell(event.JobGivenUp("waiting", "Workers crash under it."))
    assert site.engine.records["waiting"].state == "failed"


def test_a_suspect_that_claimed_room_joins_no_other_suspect():
    site = _site(1)
    _start(site, "victim", cores_per_task=10)
    site.submit(
        "claiming",
        "a",
        cores_per_task=30,
        urgency=model.URGENT,
        precedence=1,
        is_suspect=True,
    )
    site.now_s += 10.0
    site.tell(event.Tick())
    assert site.engine.records["victim"].state == "stopping"
    _start(site, "other", cores_per_task=0, is_suspect=True)
    site.confirm_stops()
    holding = [
        job_id
        for job_id in ("claiming", "other")
        if site.engine.records[job_id].assignments
    ]
    assert len(holding) == 1
