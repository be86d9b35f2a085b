"""Placement constraints: labels, limits per worker and data racks."""

from __future__ import annotations

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.fleet import policy as fleet_policy


def _engine() -> engine_module.Engine:
    engine = engine_module.Engine(
        data_centre="pool", attempt_prefix="t", policy="short-runs"
    )
    configured = event.ConfigurationChanged(fleet_policy.configuration())
    engine.handle(configured, now_s=0.0)
    for number in range(4):
        worker = model.WorkerSpec(
            f"w{number}",
            f"r{number // 2}",
            "pool",
            8,
            32_000,
            64000,
            labels=frozenset({"big"} if number == 3 else ()),
        )
        engine.handle(event.WorkerSealed(worker), now_s=0.0)
    return engine


def _places(
    engine: engine_module.Engine, job_id: str, *, now_s: float = 0.0, **fields
) -> list[str]:
    defaults = {
        "tasks": 1,
        "accelerators_per_task": 1,
        "cores_per_task": 1000,
        "memory_mib_per_task": 100,
        "declared_run_s": 5.0,
    }
    job = model.JobSpec(
        job_id=job_id,
        account="a",
        data_centre="pool",
        kind="k",
        submitted_s=now_s,
        **{**defaults, **fields},
    )
    engine.handle(event.JobSubmitted(job), now_s=now_s)
    return [p.worker_id for p in engine.records[job_id].assignments]


def _full_engine() -> engine_module.Engine:
    """Return an engine whose workers all run work of low precedence."""
    engine = _engine()
    for number in range(4):
        _places(
            engine,
            f"low{number}",
            accelerators_per_task=8,
            saves_progress=False,
        )
        attempt_id = engine.records[f"low{number}"].attempt_id
        engine.handle(event.GangStarted(attempt_id), now_s=0.0)
    return engine


def test_a_label_is_required():
    engine = _engine()
    assert _places(engine, "a", label="big") == ["w3"]
    assert _places(engine, "b", label="none") == []


def test_a_spread_group_is_limited_on_each_worker():
    engine = _engine()
    fields = {"spread_group": "g", "max_per_worker": 1}
    placed = [_places(engine, f"j{n}", **fields) for n in range(5)]
    assert sorted(p[0] for p in placed[:4]) == ["w0", "w1", "w2", "w3"]
    assert placed[4] == []


def test_a_gang_is_limited_on_each_worker():
    engine = _engine()
    fields = {"spread_group": "g", "max_per_worker": 2}
    placed = _places(engine, "gang", tasks=8, **fields)
    assert sorted(placed) == sorted(["w0", "w1", "w2", "w3"] * 2)


def test_a_job_waits_for_its_data_rack_and_then_goes_elsewhere():
    engine = _engine()
    for name in ("a", "b"):
        filled = _places(engine, name, accelerators_per_task=8, data_rack="r1")
        assert filled[0] in ("w2", "w3")
    assert _places(engine, "late", data_rack="r1") == []
    patience_s = 5.0 * fleet_policy.NEAR_PATIENCE_RUNS
    engine.handle(event.Tick(), now_s=patience_s + 0.1)
    places = engine.records["late"].assignments
    assert [p.worker_id for p in places][0] in ("w0", "w1")


def test_when_capacity_is_scarce_a_job_waits_longer_for_its_data_rack():
    engine = _engine()
    whole = {"accelerators_per_task": 8, "cores_per_task": 24_000}
    for name in ("a", "b"):
        _places(engine, name, data_rack="r1", **whole)
    _places(engine, "c", accelerators_per_task=4, data_rack="r0")
    assert _places(engine, "late", data_rack="r1") == []
    for patience_s, is_placed in (
        (fleet_policy.NEAR_PATIENCE_RUNS * 5.0, False),
        (fleet_policy.CROWDED_PATIENCE_S, True),
    ):
        engine.handle(event.Tick(), now_s=patience_s + 0.1)
        assert bool(engine.records["late"].assignments) == is_placed


def test_work_with_precedence_preempts_only_if_little_is_lost():
    engine = _full_engine()
    fields = {"accelerators_per_task": 8, "precedence": 1}
    _places(engine, "first", now_s=4.0, **fields)
    engine.handle(event.Tick(), now_s=5.0)
    states = {engine.records[f"low{n}"].state for n in range(4)}
    assert states == {"running"}


def test_guaranteed_work_preempts_regardless_of_loss_when_it_is_due():
    engine = _full_engine()
    _places(
        engine,
        "owed",
        now_s=4.0,
        accelerators_per_task=8,
        urgency=model.URGENT,
        precedence=2,
        start_within_s=1.9,
    )
    engine.handle(event.Tick(), now_s=5.0)
    assert engine.records["low0"].state == "running"
    engine.handle(event.Tick(), now_s=6.0)
    states = [engine.records[f"low{n}"].state for n in range(4)]
    assert states.count("stopping") == 1
