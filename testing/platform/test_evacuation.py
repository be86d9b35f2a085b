"""Requests to evacuate a data centre, and executors that are cold."""

from __future__ import annotations

import json

import pytest

from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import model
from knapweedwharf.platform import decode
from knapweedwharf.platform import program
from testing.platform import odd_values

MACHINE = {"machine": "m-1", "pool": "pool", "state": "up"}


def _entry(**fields) -> model.Executor:
    document = {**odd_values.ENTRY, **fields}
    return decode.executor("e", json.dumps(document).encode())


def _evacuations() -> evacuations_module.Evacuations:
    return evacuations_module.Evacuations(
        store_schema=program.STORE_SCHEMA,
        evacuation_s=5.0,
        age_s=lambda: 0.0,
    )


@pytest.mark.parametrize("value", [b"{}", b"", b"[]", b"\xff", b'{"a": 1}'])
def test_the_key_of_a_request_tells_the_data_centre(value):
    evacuations = _evacuations()
    item = model.Item("op/evacuate/qld-bne-a", value, 7)
    evacuations.apply_changes(model.Changes((item,), 7))
    assert evacuations.in_force == {"qld-bne-a": 7}


@pytest.mark.parametrize(
    "key", ["op/evacuate/", "op/evacuate", "op/config", "op/wave/1"]
)
def test_other_keys_of_the_operator_request_no_evacuation(key):
    evacuations = _evacuations()
    evacuations.apply_listing(model.Listing((model.Item(key, b"{}", 7),), 7))
    assert not evacuations.in_force


def test_an_executor_tells_for_how_long_it_is_cold():
    assert _entry(cold_remaining_ms=2500).cold_s == 2.5
    assert _entry(cold_remaining_ms=2500.5).cold_s == 2.5005
    assert _entry().cold_s == 0.0


@pytest.mark.parametrize(
    "value", [*odd_values.NO_DURATIONS, -1, None, [2500], "2500"]
)
def test_an_odd_time_for_which_it_is_cold_counts_as_none(value):
    assert _entry(cold_remaining_ms=value).cold_s == 0.0


def test_a_time_that_ticks_down_is_no_new_entry():
    assert _entry(cold_remaining_ms=2500) == _entry(cold_remaining_ms=1000)


@pytest.mark.parametrize("value", [*odd_values.NO_TEXTS[:3], None, {}])
def test_a_machine_with_an_odd_data_centre_is_listed(value):
    listed, odd = decode.machines({"machines": [{**MACHINE, "zone": value}]})
    assert [machine.data_centre for machine in listed] == [""]
    assert odd == 0


def test_a_machine_tells_its_data_centre():
    listed, _odd = decode.machines({"machines": [{**MACHINE, "zone": "a"}]})
    assert listed[0].data_centre == "a"
