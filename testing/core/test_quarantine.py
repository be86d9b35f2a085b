"""Which workers get no work after failures, and which jobs are at fault."""

from __future__ import annotations

from knapweedwharf.core import event
from knapweedwharf.core import record as record_module
from knapweedwharf.core import topology


def _excluded(site) -> set[str]:
    return {
        worker_id
        for worker_id, room in site.engine.topology.workers.items()
        if topology.REFUSED in room.exclusions
    }


def _run_step(site, name: str, tasks: int, **fields) -> list:
    """Run tasks of a step that end independently; return their records."""
    return [
        site.run(
            f"{name}.{number}",
            "acme",
            accelerators_per_task=2,
            spread_group=name,
            max_attempts=9,
            **fields,
        )
        for number in range(tasks)
    ]


def _worker_of(record) -> str:
    return record.assignments[0].worker_id


def test_a_step_that_fails_everywhere_keeps_no_worker_from_work(site):
    """A wide job that can never be done kept all workers idle."""
    site.workers(12)
    for record in _run_step(site, "hopeless", 24):
        site.end(record, succeeded=False)
    assert not _excluded(site)
    sound = site.run("sound", "acme")
    assert sound.state == record_module.RUNNING


def test_many_steps_that_fail_leave_most_workers_usable(site):
    """Each of them fails on too few workers to be known as hopeless."""
    site.workers(12)
    for number in range(24):
        for record in _run_step(site, f"hopeless-{number}", 2):
            site.end(record, succeeded=False)
    assert len(_excluded(site)) <= 4


def test_a_worker_that_fails_a_sound_step_backs_off(site):
    site.workers(6)
    records = _run_step(site, "step", 24)
    faulty = _worker_of(records[0])
    for record in records:
        if _worker_of(record) == faulty:
            site.end(record, succeeded=False)
    assert _excluded(site) == {faulty}
    assert site.engine.topology.workers[faulty].exclusions


def test_faulty_workers_back_off_longer_with_each_failure(site):
    site.workers(6)
    (record,) = _run_step(site, "first", 1)
    faulty = _worker_of(record)
    site.end(record, succeeded=False)
    site.wait(1.1)
    assert not _excluded(site)
    for name in ("second", "third", "fourth"):
        for record in _run_step(site, name, 4):
            if _worker_of(record) == faulty:
                site.end(record, succeeded=False)
    site.wait(1.1)
    assert _excluded(site) == {faulty}


def test_the_workers_with_most_failures_back_off_where_not_all_may(site):
    """Workers that failed one task each don't shield the faulty one."""
    site.workers(6)
    by_worker = {}
    for number in range(12):
        for record in _run_step(site, f"step-{number}", 2):
            by_worker.setdefault(_worker_of(record), []).append(record)
    first, second, third = list(by_worker.values())[:3]
    site.end(first[0], succeeded=False)
    site.end(second[0], succeeded=False)
    faulty = _worker_of(third[0])
    for record in third:
        site.end(record, succeeded=False)
    assert faulty in _excluded(site)
    assert len(_excluded(site)) == 2


def test_a_back_off_ends_for_a_worker_that_has_left_probation(site):
    """A refused start during the last probation broke every later tick."""
    site.workers(3)
    quarantine = site.engine.state.quarantine
    quarantine.begin("r0-w0", now_s=site.now_s, length_s=1.0)
    site.wait(1.1)
    quarantine.record_refusal(
        "r0-w0", placed_s=site.now_s, now_s=site.now_s, workers=3
    )
    site.engine.topology.exclude("r0-w0", topology.REFUSED)
    job = site.run("sound", "acme").job
    for _number in range(4):
        quarantine.record_success("r0-w0", job)
    site.tell(event.Tick())
    site.wait(2.0)
    assert "r0-w0" not in _excluded(site)


def _refuse(site, record) -> None:
    site.tell(event.GangRefused(record.attempt_id, _worker_of(record), "full"))


def test_starts_refused_side_by_side_count_once(site):
    """Eight of them made the longest back-off."""
    site.workers(1)
    records = [site.submit(f"job-{number}", "acme") for number in range(8)]
    for record in records:
        _refuse(site, record)
    assert _excluded(site) == {"r0-w0"}
    site.wait(1.0)
    assert not _excluded(site)
    assert all(record.state == "starting" for record in records)


def test_a_start_refused_long_after_it_was_placed_counts_once(site):
    """Its executor was out of reach; all answers come when it is back."""
    site.workers(1)
    records = [site.submit(f"job-{number}", "acme") for number in range(8)]
    site.wait(5.0)
    for record in records[:4]:
        _refuse(site, record)
    site.wait(1.5)
    assert not _excluded(site)
    for record in records[4:]:
        _refuse(site, record)
    assert not _excluded(site)


def test_workers_that_all_refuse_are_soon_tried_again(site):
    """All of a service stayed idle for a minute."""
    site.workers(6)
    records = [site.submit(f"job-{number}", "acme") for number in range(48)]
    for _round in range(80):
        for record in records:
            if record.state == "starting":
                _refuse(site, record)
        site.wait(0.25)
    refusing = _excluded(site)
    site.wait(2.0)
    assert len(refusing & _excluded(site)) <= 2


def test_a_worker_that_refuses_everything_stays_off_for_long(site):
    """It is tried again after back-offs of up to a minute."""
    site.workers(6)
    records = [site.submit(f"job-{number}", "acme") for number in range(60)]
    tried = 0
    for _quarter in range(4 * 120):
        for record in records:
            if record.state == "starting" and _worker_of(record) == "r0-w0":
                tried += 1
                _refuse(site, record)
        site.wait(0.25)
    assert _excluded(site) == {"r0-w0"}
    assert tried <= 8 * 8


def test_refusals_long_ago_make_no_back_off_longer(site):
    """The worker has had nothing to do since, so no success ended them."""
    site.workers(1)
    record = site.submit("job", "acme")
    for _round in range(4):
        _refuse(site, record)
        site.wait(10.0)
    site.tell(event.JobCancelled("job"))
    site.wait(90.0)
    record = site.submit("next", "acme")
    _refuse(site, record)
    site.wait(1.0)
    assert not _excluded(site)
