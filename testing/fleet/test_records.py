"""Records of jobs are small and survive encoding."""

from __future__ import annotations

import json

import pytest

from knapweedwharf.core import model as core_model
from knapweedwharf.core import workflow
from knapweedwharf.fleet import records
from testing.fleet import scene as scene_module

WIDE_STEP_TASKS = 161
MAX_BYTES_PER_TASK = 30


def _wide_flow() -> workflow.Workflow:
    """Return a job with a wide step of which every third task is done."""
    job = workflow.Job(
        job_id="6cdd4870f447a33c",
        route="q",
        service="pool",
        account="acme",
        specification="{}",
        steps=(scene_module.step(tasks=WIDE_STEP_TASKS, saves_progress=True),),
        submitted_s=1.0,
    )
    flow = workflow.Workflow(job)
    for number, part in enumerate(flow.release_ready_parts(2.0)):
        part.run = 3
        part.failures = number % 2
        part.failed_run = 2 * part.failures
        part.checkpoint = f"{number * 7919:016x}"
        part.placed_s = 1_788_000_000 + number / 7
        worker_id = f"i-{number * 104_729:010x}"
        part.incarnations = {worker_id: 1_788_000_000_000 + 7 * number}
        if number == 1:
            part.crashes = (workflow.Crash(0, "i-1", 1_788, 2, at_start=True),)
        part.placements = (
            core_model.Assignment(
                task_index=0,
                worker_id=worker_id,
                accelerators=(),
                cores=1000,
                memory_mib=1000,
            ),
        )
        if number % 3 == 0:
            flow.mark_part_done(part)
    return flow


def test_the_record_of_a_wide_job_is_small():
    stored = records.dump_progress(_wide_flow())
    assert len(stored) < MAX_BYTES_PER_TASK * WIDE_STEP_TASKS


def test_progress_survives_encoding():
    flow = _wide_flow()
    loaded = records.load_progress(flow.job, records.dump_progress(flow))
    assert records.load_state(records.dump_progress(flow)) == flow.state
    for part in flow.parts.values():
        found = loaded.parts[part.part_id]
        assert found.done == part.done
        if part.done:
            continue
        assert found.failures == part.failures
        assert found.failed_run == part.failed_run
        assert found.run == part.run
        assert found.checkpoint == part.checkpoint
        assert found.placements == part.placements
        assert found.placed_s == round(part.placed_s, 3)
        assert found.incarnations == part.incarnations
        assert found.crashes == part.crashes


def test_a_record_of_an_earlier_release_loads():
    job = _wide_flow().job
    part_id = f"{job.job_id}.0.0.5"
    document = {
        "state": workflow.ACTIVE,
        "begun": True,
        "parts": {part_id: [1, 1, 2, "c", [], 3.5]},
    }
    value = json.dumps(document).encode()
    loaded = records.load_progress(job, value)
    assert loaded.parts[part_id].done
    assert loaded.parts[part_id].crashes == ()


@pytest.mark.parametrize("value", [b"", b"\x78\x01broken", b"{", b"[]"])
def test_a_malformed_record_is_a_known_error(value):
    with pytest.raises((ValueError, TypeError, LookupError)):
        records.load_progress(_wide_flow().job, value)


def test_a_cancellation_keeps_its_time():
    value = records.dump_cancellation(12.5)
    assert records.load_cancellation(value) == 12.5
    assert records.load_cancellation(b"{}") is None


@pytest.mark.parametrize("value", [b"[]", b'{"cancelled_s": "1"}', b"{"])
def test_a_malformed_cancellation_is_reported_as_such(value):
    with pytest.raises(ValueError):
        records.load_cancellation(value)
