"""The reasons of parts that wait are logged with the room left free."""

from __future__ import annotations

import asyncio

import pytest
import structlog.testing

from knapweedwharf.core import claim
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.core import topology
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import waiting_report as waiting_report_module
from testing.core import short_runs
from testing.fleet import scene as scene_module

PERIOD_S = waiting_report_module.REPORT_INTERVAL_S
AGE_S = waiting_report_module.WAITING_AGE_S


@pytest.fixture(name="now_s")
def _now_s(monkeypatch) -> list[float]:
    now_s = [0.0]
    monkeypatch.setattr(clock, "elapsed_s", lambda: now_s[0])
    monkeypatch.setattr(clock, "steady_s", lambda: now_s[0])
    return now_s


def _submit(engine, job_id: str, at_s: float, **fields) -> None:
    job = short_runs.job(job_id, at_s, **fields)
    engine.handle(event.JobSubmitted(job), now_s=at_s)


def _waiting(lines: list[dict]) -> list[dict]:
    return [line for line in lines if line["event"] == "parts-waiting"]


def _report(engine, now_s: list[float], at_s: float) -> list[dict]:
    """Return the lines of a report that is due at a time."""
    now_s[0] = at_s - PERIOD_S
    report = waiting_report_module.WaitingReport(
        engines={"pool": engine}, epoch=1
    )
    now_s[0] = at_s
    with structlog.testing.capture_logs() as lines:
        report.tick()
    return _waiting(lines)


def test_parts_are_counted_by_reason_with_the_oldest(now_s):
    engine = short_runs.engine(2)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    short_runs.start(engine, short_runs.job("b"), 0.0)
    _submit(engine, "c", 1.0)
    _submit(engine, "d", 2.0)
    (line,) = _report(engine, now_s, 6.0)
    assert line["reasons"] == {
        "no-room": {"parts": 2, "oldest": "c", "age_s": 5.0}
    }
    assert line["waiting"] == 2
    assert line["free_accelerators"] == 0
    assert line["executors"] == 2


def test_room_kept_from_use_is_shown_with_its_reason(now_s):
    engine = short_runs.engine(3)
    engine.topology.exclude("w0", topology.QUARANTINE)
    engine.topology.exclude("w1", topology.QUARANTINE)
    engine.topology.exclude("w1", topology.LEAVING)
    _submit(engine, "a", 0.0, tasks=2)
    (line,) = _report(engine, now_s, 6.0)
    assert line["excluded"] == {"leaving": 1, "quarantine": 2}
    assert line["free_accelerators"] == 8


def test_parts_that_wait_briefly_give_no_line(now_s):
    engine = short_runs.engine(1)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    _submit(engine, "b", 6.0 - AGE_S / 2)
    assert _report(engine, now_s, 6.0) == []


def test_a_part_of_an_old_job_has_its_own_age(now_s):
    engine = short_runs.engine(1)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    engine.handle(
        event.JobSubmitted(short_runs.job("b", submitted_s=-60.0)), now_s=5.0
    )
    assert _report(engine, now_s, 6.0) == []
    (line,) = _report(engine, now_s, 9.0)
    assert line["reasons"]["no-room"]["age_s"] == 4.0


def test_a_part_waits_for_the_newest_reason_of_its_class(now_s):
    engine = short_runs.engine(1)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    _submit(engine, "b", 0.0)
    _submit(engine, "c", 0.0)
    kept = model.Reason("room-kept", "Kept.", at_s=3.0, revision=1)
    engine.state.waiting.block("b", kept)
    (line,) = _report(engine, now_s, 6.0)
    assert line["reasons"]["room-kept"]["parts"] == 2


def test_a_part_that_claims_room_still_waits(now_s):
    engine = short_runs.engine(1)
    state = engine.state
    started = short_runs.start(engine, short_runs.job("a"), 0.0)
    _submit(engine, "b", 0.0)
    record = state.records["b"]
    state.waiting.discard("b")
    record.note(state.reason("preempting", "Waits for a stop."))
    victims = {started.attempt_id: None}
    state.claims.add(
        claim.Claim(record.job, {"w0": 1}, victims, record.reasons[-1])
    )
    (line,) = _report(engine, now_s, 6.0)
    assert line["reasons"]["preempting"]["oldest"] == "b"
    assert (line["waiting"], line["claiming"]) == (0, 1)


def test_a_report_looks_at_a_limited_number_of_parts(now_s, monkeypatch):
    monkeypatch.setattr(waiting_report_module, "MAX_PARTS", 3)
    engine = short_runs.engine(1)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    for number in range(5):
        _submit(engine, f"b{number}", 0.0)
    (line,) = _report(engine, now_s, 6.0)
    assert line["reasons"]["no-room"]["parts"] == 3
    assert line["waiting"] == 5


def test_a_report_changes_nothing_in_the_engine(now_s):
    engine = short_runs.engine(1)
    short_runs.start(engine, short_runs.job("a"), 0.0)
    _submit(engine, "b", 0.0)
    before = repr(engine.records), repr(vars(engine.topology))
    assert _report(engine, now_s, 6.0)
    assert (repr(engine.records), repr(vars(engine.topology))) == before


def test_the_owner_reports_once_a_period(monkeypatch):
    async def main(scene):
        await scene.open(vms=2, executors=1)
        vm = scene.bystander()
        lasting = {"run_s": 60.0}
        step = scene_module.step(accelerators=8, expected_run_s=60.0)
        for _number in range(2):
            await scene.submit(vm, step, behaviour=lasting)
        await asyncio.sleep(4 * PERIOD_S + 1.0)

    with structlog.testing.capture_logs() as lines:
        scene_module.run_on_virtual_time(main, monkeypatch)
    shown = _waiting(lines)
    assert 3 <= len(shown) <= 4
    assert {line["service"] for line in shown} == {"pool"}
    assert all(line["waiting"] == 1 for line in shown)
