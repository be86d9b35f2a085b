"""Workers whose capacity changes while work starts and runs on them."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import event
from testing.core import scenario


def _resize(site: scenario.Site, **fields) -> None:
    (room,) = site.engine.topology.workers.values()
    site.tell(event.WorkerSealed(dataclasses.replace(room.spec, **fields)))


def _site() -> scenario.Site:
    site = scenario.Site(policy="short-runs")
    site.workers(1)
    return site


def test_starts_that_no_longer_fit_are_requeued_the_newest_first():
    site = _site()
    running = site.run("running", "valle", accelerators_per_task=2)
    starting = [
        site.submit(f"s{number}", "valle", accelerators_per_task=2)
        for number in range(3)
    ]
    _resize(site, accelerators=5)
    assert running.state == "running"
    assert [r.state for r in starting] == ["starting", "stopping", "stopping"]
    site.confirm_stops()
    assert [r.state for r in starting] == ["starting", "queued", "queued"]
    _resize(site, accelerators=8)
    assert [r.state for r in starting] == ["starting"] * 3


def test_starts_that_take_nothing_of_what_is_missing_stay():
    site = _site()
    site.run("running", "valle", accelerators_per_task=6)
    starting = site.submit("s", "valle", accelerators_per_task=0)
    _resize(site, accelerators=4)
    assert starting.state == "starting"


def test_running_work_stays_on_a_worker_that_shrinks_to_nothing():
    site = _site()
    running = site.run("running", "valle", accelerators_per_task=8)
    _resize(site, accelerators=0, cores=0, memory_mib=0)
    waiting = site.submit("w", "valle", accelerators_per_task=0)
    assert running.state == "running"
    assert waiting.state == "queued"
    site.end(running)
    assert running.state == "finished"
    _resize(site, accelerators=8, cores=32, memory_mib=131072)
    assert waiting.state == "starting"
