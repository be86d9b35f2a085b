"""Workers that are slow after their start."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.core import speed
from knapweedwharf.core import speed_class
from testing.core import scenario

WARMING_S = 10.0
COLD = "r0-w0"


def _site() -> scenario.Site:
    site = scenario.Site()
    site.workers(3)
    site.tell(event.WorkerWarming(COLD, site.now_s + WARMING_S))
    return site


def _class_of(site: scenario.Site) -> int:
    return site.engine.topology.workers[COLD].speed_class


def _worker_of(site: scenario.Site, job_id: str) -> str:
    record = site.engine.records[job_id]
    (place,) = record.assignments
    return place.worker_id


def _start(site: scenario.Site, number: int) -> str:
    job_id = f"j{number}"
    site.run(job_id, "acme", accelerators_per_task=8)
    return _worker_of(site, job_id)


def test_a_cold_worker_is_used_after_the_warm_ones():
    site = _site()
    assert [_start(site, number) for number in range(3)][-1] == COLD


def test_a_worker_that_is_warm_is_used_like_the_others():
    site = _site()
    before = site.engine.topology.workers[COLD].key
    site.now_s += WARMING_S
    site.tell(event.Tick())
    warm = site.engine.topology.workers["r0-w2"].key
    assert site.engine.topology.workers[COLD].key == warm != before
    assert site.engine.state.speeds.of(COLD, site.now_s) == 1.0


def test_a_worker_that_is_warm_early_is_used_like_the_others():
    site = _site()
    assert site.engine.state.speeds.of(COLD, site.now_s) < 1.0
    site.tell(event.WorkerWarming(COLD, site.now_s))
    assert _class_of(site) == speed_class.USUAL


def test_a_cold_worker_stays_cold_when_it_is_announced_again():
    """As after an evacuation."""
    site = _site()
    spec = site.engine.topology.workers[COLD].spec
    site.tell(event.WorkerLost(COLD))
    site.tell(event.WorkerSealed(spec))
    assert _class_of(site) == speed_class.COLD
    now_s = site.now_s
    assert site.engine.state.speeds.of(COLD, now_s) == speed.WARMING_SPEED


def test_the_next_life_of_a_worker_is_not_cold_by_the_former_one():
    site = _site()
    spec = site.engine.topology.workers[COLD].spec
    site.tell(event.WorkerGone(COLD))
    site.tell(event.WorkerSealed(spec))
    assert _class_of(site) == speed_class.USUAL
