"""Tracing a request through the log lines of several VMs."""

from __future__ import annotations

import json

from knapweedwharf import request_trace

JOB = "00000000000000aa"


def _log_line(event: str, at: str, node: str = "vm-1", **fields) -> str:
    return json.dumps(
        {"event": event, "timestamp": at, "node_id": node, **fields}
    )


def test_lines_of_several_vms_are_put_in_order():
    texts = [
        _log_line("job-completed", "03", job_id=JOB, after_s=2, declared_s=4),
        _log_line("call-stored", "01", "vm-2", job_id=JOB),
        _log_line("job-taken", "02", job_id=JOB),
        _log_line("job-taken", "02", job_id="00000000000000bb"),
    ]
    lines = request_trace.find_lines(texts, JOB)
    assert [line.event for line in lines] == [
        "call-stored",
        "job-taken",
        "job-completed",
    ]
    assert (
        request_trace.explain_outcome(lines)
        == "It completed 2 s after it was stored."
    )


def test_half_lines_and_text_before_a_line_are_no_trouble():
    whole = _log_line("job-cancelled", "01", job_id=JOB)
    lines = request_trace.find_lines(
        [f" 12.1 vm-1 {whole}\n", whole[:-9], JOB], JOB
    )
    assert len(lines) == 1


def test_a_late_request_names_its_setbacks():
    texts = [
        _log_line("job-taken", "01", "vm-1", job_id=JOB),
        _log_line("run-ended", "02", job_id=JOB, how="lapsed"),
        _log_line("job-taken", "03", "vm-2", job_id=JOB),
        _log_line("job-completed", "04", "vm-2", job_id=JOB, after_s=31),
    ]
    explanation = request_trace.explain_outcome(
        request_trace.find_lines(texts, JOB)
    )
    assert "A run ended: lapsed" in explanation
    assert "2 owners scheduled it in turn" in explanation


def test_a_long_wait_is_told_with_its_reason():
    texts = [
        _log_line(
            "part-placed",
            "02",
            job_id=JOB,
            part=f"{JOB}.0.0",
            waited_s=7.2,
            waited_for=["no-room"],
        ),
        _log_line(
            "part-placed", "02", job_id=JOB, part="other", waited_s=0.02
        ),
        _log_line("job-completed", "04", job_id=JOB, after_s=9, declared_s=1),
    ]
    explanation = request_trace.explain_outcome(
        request_trace.find_lines(texts, JOB)
    )
    assert "waited 7.2 s for ['no-room']" in explanation
    assert "other" not in explanation


def test_a_run_beyond_its_declared_time_is_told():
    texts = [
        _log_line(
            "call-refused", "01", path=f"/q/{JOB}", detail="store-silent"
        ),
        _log_line("run-ended", "03", job_id=JOB, how="done", ran_s=5.03),
        _log_line(
            "job-completed", "04", job_id=JOB, after_s=5.1, declared_s=0.6
        ),
    ]
    explanation = request_trace.explain_outcome(
        request_trace.find_lines(texts, JOB)
    )
    assert "1 calls were refused before (store-silent)" in explanation
    assert "a run took 5.03 s, 0.6 s were declared" in explanation


def test_a_refused_call_is_found_by_its_path():
    text = _log_line(
        "call-refused", "01", path=f"/q/{JOB}", why="did-not-run", detail="x"
    )
    explanation = request_trace.explain_outcome(
        request_trace.find_lines([text], JOB)
    )
    assert explanation == "The call was refused: did-not-run (x)."


def test_a_start_that_was_withheld_is_told_with_its_data_centre():
    texts = [
        _log_line("start-withheld", "01", job_id=JOB, data_centre="north"),
        _log_line("job-completed", "02", job_id=JOB, after_s=2),
    ]
    explanation = request_trace.explain_outcome(
        request_trace.find_lines(texts, JOB)
    )
    assert "A start was not sent: north is evacuated" in explanation


def test_no_line_is_said_so():
    assert "reached none" in request_trace.explain_outcome(
        request_trace.find_lines([], JOB)
    )
