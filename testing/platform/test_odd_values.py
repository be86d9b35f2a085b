"""Odd values of other writers are refused by the decoders, with a reason."""

from __future__ import annotations

import json
import math

import pytest

from knapweedwharf.platform import decode
from knapweedwharf.platform import field as field_module
from testing.platform import odd_values


def _text(document: object) -> bytes:
    return json.dumps(document).encode()


def _rows(field: str, values: list) -> list:
    return [(field, value) for value in values]


ODD_FIELDS = [
    *_rows("address", [*odd_values.NO_ADDRESSES, 7, None, []]),
    *_rows("state", [7, [], None, "gone", "READY"]),
    *_rows("service", [*odd_values.NO_TEXTS, None]),
    *_rows("zone", odd_values.NO_TEXTS),
    *_rows("machine", [7, {}, True, "x" * 100_000, [7]]),
    *_rows("labels", odd_values.NO_LABELS),
    *_rows("capacity", [None, 5, [], "a", True]),
    *[
        ("capacity", {**odd_values.ENTRY["capacity"], name: value})
        for name in ("cpu", "mem_mb", "gpu")
        for value in odd_values.NO_AMOUNTS
    ],
    *_rows("born", odd_values.NO_AMOUNTS),
    *_rows("remaining_ms", odd_values.NO_DURATIONS),
]


@pytest.mark.parametrize("field, value", ODD_FIELDS, ids=odd_values.shown)
def test_an_odd_field_of_an_executor_is_refused(field, value):
    with pytest.raises(decode.Malformed):
        decode.executor("e", _text({**odd_values.ENTRY, field: value}))


ODD_TEXTS = [
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"5",
    b'"text"',
    b"[]",
    b"{}",
    b'{"state": "ready"',
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b'{"labels":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"born":' + b"9" * 5_000 + b"}",
]
DECODERS = [
    lambda text: decode.executor("e", text),
    lambda text: decode.desired(text, 1),
    decode.wave,
]


@pytest.mark.parametrize(
    "text", ODD_TEXTS, ids=lambda text: odd_values.shown(text)
)
@pytest.mark.parametrize("decoder", DECODERS, ids=["entry", "state", "wave"])
def test_bytes_that_are_no_document_are_refused(decoder, text):
    if text == b"{}" and decoder is DECODERS[1]:
        assert decoder(text).routes == ()
        return
    with pytest.raises(decode.Malformed):
        decoder(text)


def test_a_duplicate_field_counts_once():
    text = _text(odd_values.ENTRY)[:-1] + b', "address": "10.128.0.9:70000"}'
    with pytest.raises(decode.Malformed):
        decode.executor("e", text)


@pytest.mark.parametrize(
    "executor_id", ["", "a b", "a\r\nX: y", "é", "\ud800", "x" * 300]
)
def test_an_id_that_no_header_can_carry_is_refused(executor_id):
    with pytest.raises(decode.Malformed):
        decode.executor(executor_id, _text(odd_values.ENTRY))


USUAL_FORMS = [
    {},
    {"labels": None},
    {"labels": []},
    {"labels": ["a"]},
    {"capacity": {"cpu": 16e3, "mem_mb": 32768.0}},
    {"capacity": {}},
    {"born": 1.7e12},
    {"remaining_ms": 0},
    {"remaining_ms": 1.5},
    {"remaining_ms": -3},
    {
        "cold_remaining_ms": math.inf,
        "sequence": odd_values.HUGE,
        "slots": "many",
    },
    {"machine": None},
    {"machine": ["m-1"]},
    {"address": "10.128.0.9:1"},
    {"address": "10.128.0.9:65535"},
    {"state": "draining"},
    {"unknown": {"deep": [[[[[]]]]]}},
]


@pytest.mark.parametrize("fields", USUAL_FORMS, ids=odd_values.shown)
def test_usual_forms_of_an_entry_are_taken(fields):
    executor = decode.executor("e", _text({**odd_values.ENTRY, **fields}))
    assert executor.service == "pool"
    assert executor.remaining_s >= 0.0


@pytest.mark.parametrize("name", ["labels", "machine", "zone", "remaining_ms"])
def test_an_entry_may_lack_a_field_that_is_not_needed(name):
    fields = {k: v for k, v in odd_values.ENTRY.items() if k != name}
    assert decode.executor("e", _text(fields)).executor_id == "e"


ODD_MACHINES = [
    *[7, None, "m", [], True, {}],
    *[
        {**odd_values.MACHINE, "machine": value}
        for value in [*odd_values.NO_TEXTS, None]
    ],
    *[{**odd_values.MACHINE, "pool": value} for value in odd_values.NO_TEXTS],
    *[{**odd_values.MACHINE, "state": value} for value in (7, None, [])],
    *[{**odd_values.MACHINE, "labels": value} for value in (5, [5], [{}])],
    *[
        {**odd_values.MACHINE, "capacity": {"cpu": value}}
        for value in odd_values.NO_AMOUNTS
    ],
    {**odd_values.MACHINE, "capacity": 5},
    {**odd_values.MACHINE, "id": 7},
]


@pytest.mark.parametrize("row", ODD_MACHINES, ids=odd_values.shown)
def test_an_odd_machine_hides_no_other(row):
    found, odd_rows = decode.machines({"machines": [row, odd_values.MACHINE]})
    assert [machine.machine_id for machine in found] == ["m-1"]
    assert odd_rows == 1


@pytest.mark.parametrize(
    "rows", [5, "m", {"m": 1}, True], ids=odd_values.shown
)
def test_a_list_of_machines_of_another_type_is_refused(rows):
    with pytest.raises(decode.Malformed):
        decode.machines({"machines": rows})


@pytest.mark.parametrize(
    "row",
    [5, None, "ab", {}, [], ["e"], [7, "t"], ["e", 7]],
    ids=odd_values.shown,
)
def test_an_odd_row_of_the_advisor_hides_no_other(row):
    approval = decode.approval({"approved": [row, ["e", "ticket"]]})
    assert approval.tickets == {"e": "ticket"}


@pytest.mark.parametrize(
    "document",
    [
        *[{"approved": value} for value in (5, "ab", {"e": "t"}, True)],
        *[{"validity_ms": value} for value in [*odd_values.NO_DURATIONS, -1]],
    ],
    ids=odd_values.shown,
)
def test_an_odd_answer_of_the_advisor_is_refused(document):
    with pytest.raises(decode.Malformed):
        decode.approval(document)


ODD_RUNS = [
    *[7, None, "abcde", {}, [], ["j.0.0.0"], [7, 1, "", 0]],
    *[["j.0.0.0", value, "", 0] for value in [*odd_values.NO_AMOUNTS, None]],
]
ODD_ENDS = [
    *[7, None, "abcde", {}, [], odd_values.END[:3]],
    *[
        [value, *odd_values.END[1:]]
        for value in [*odd_values.NO_AMOUNTS, None]
    ],
    *[[3, "j", value, "done", ""] for value in [*odd_values.NO_AMOUNTS, None]],
    [3, 7, 1, "done", ""],
    [3, "j", 1, 7, ""],
]


@pytest.mark.parametrize("row", ODD_RUNS, ids=odd_values.shown)
def test_an_odd_run_hides_no_other_and_means_no_end(row):
    report = decode.report(
        {**odd_values.REPORT, "running": [row, odd_values.RUN]}
    )
    assert [run.task_id for run in report.runs] == ["j.0.0.0"]
    assert [end.number for end in report.ends] == [3]
    assert not report.has_all_runs
    assert report.odd_rows == 1


@pytest.mark.parametrize("row", ODD_ENDS, ids=odd_values.shown)
def test_an_odd_end_hides_no_other(row):
    report = decode.report(
        {**odd_values.REPORT, "finished": [row, odd_values.END]}
    )
    assert [end.number for end in report.ends] == [3]
    assert report.has_all_runs
    assert report.odd_rows == 1


@pytest.mark.parametrize("odd", [0, 1])
@pytest.mark.parametrize("number", [499, 500])
def test_a_full_list_of_ends_may_not_be_all_of_them(number, odd):
    ends = [[n, "j", n, "done", ""] for n in range(1, number - odd + 1)]
    report = decode.report(
        {**odd_values.REPORT, "running": [], "finished": [None] * odd + ends}
    )
    assert len(report.ends) == number - odd
    assert report.has_all_ends == (number < 500)


@pytest.mark.parametrize(
    "value", [7, [], {}, None, "x" * 100_000], ids=odd_values.shown
)
def test_an_end_with_an_odd_checkpoint_is_an_end(value):
    report = decode.report(
        {**odd_values.REPORT, "finished": [[*odd_values.END[:4], value]]}
    )
    assert [(end.number, end.checkpoint) for end in report.ends] == [(3, "")]


@pytest.mark.parametrize(
    "tail",
    [
        *[
            ["", value, 7]
            for value in [
                *odd_values.NOT_FINITE,
                odd_values.HUGE,
                "a",
                None,
                -1,
            ]
        ],
        *[
            ["", 40, value]
            for value in [
                *odd_values.NOT_FINITE,
                odd_values.HUGE,
                "a",
                None,
                -1,
            ]
        ],
        *[[value, 40, 7] for value in (5, [], {}, "x" * 100_000)],
        [],
    ],
    ids=odd_values.shown,
)
def test_a_run_whose_name_can_be_read_is_not_missing(tail):
    report = decode.report(
        {**odd_values.REPORT, "running": [["j.0.0.0", 1, *tail]]}
    )
    assert [(run.task_id, run.run) for run in report.runs] == [("j.0.0.0", 1)]
    assert report.has_all_runs
    run = report.runs[0]
    assert isinstance(run.checkpoint, str)
    assert 0 <= run.percent <= 100
    assert 0 <= run.load <= field_module.MAX_AMOUNT


ODD_REPORTS = [
    *[
        {**odd_values.REPORT, "clock_ms": value}
        for value in odd_values.NO_AMOUNTS
    ],
    *[{**odd_values.REPORT, "born": value} for value in odd_values.NO_AMOUNTS],
    *[
        {**odd_values.REPORT, "running": value}
        for value in (5, "ab", {"a": 1}, True)
    ],
    *[
        {**odd_values.REPORT, "finished": value}
        for value in (5, "ab", {"a": 1}, True)
    ],
]


@pytest.mark.parametrize("document", ODD_REPORTS, ids=odd_values.shown)
def test_an_odd_report_is_refused(document):
    with pytest.raises(decode.Malformed):
        decode.report(document)
